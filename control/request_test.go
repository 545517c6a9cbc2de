package control

import (
	"fmt"
	"testing"
	"time"
)

func TestUnknownClassOrPlanIsRefusedOnce(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1)...)
	g.request("a", "other", "low", "x")
	g.request("b", "job", "other", "x")
	for _, id := range []string{"a", "b"} {
		if _, ok := g.finalAnswers[id].(Reject); !ok {
			t.Errorf("%s ended with %v", id, g.finalAnswers[id])
		}
	}
	g.handle(ClientGone{ID: "z"})
	g.handle(AttemptEnded{ID: "z", Server: 9, Outcome: OK})
	g.handle(Timer{Label: 999})
	g.handle(HealthCheckResult{Server: 77})
	g.handle(CounterResult{Name: 4})
	g.handle(PeerMessage{From: 1})
	g.handle(ResponseStarted{ID: "z"})
}

func TestQueuedRequestsAreAnsweredInTime(t *testing.T) {
	g := newHarness(t, testSettings()) // no server at all
	g.request("a", "job", "low", "x")
	g.advance(5 * time.Second)
	r, ok := g.finalAnswers["a"].(Reject)
	if !ok || r.RetryAfter != time.Second {
		t.Errorf("ended with %#v", g.finalAnswers["a"])
	}
}

// Guards against a further attempt that waits beyond the client's time.
func TestRequeuedRequestIsAnsweredInTime(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1)...)
	g.request("a", "job", "low", "x")
	g.advance(4 * time.Second)
	g.handle(EndpointUpdate{Kind: Complete})
	g.endAttempt("a", Errored, 0)
	g.advance(990 * ms)
	if g.finalAnswers["a"] != nil {
		return
	}
	g.advance(10 * ms)
	if g.finalAnswers["a"] == nil {
		t.Error("no answer by the client's time")
	}
}

// Clients that give a try up soon are served like others; a later try that can only be late is
// still rejected where the tenant's use is not known.
func TestHastyClientsAreNotTakenForLateOnes(t *testing.T) {
	ask := func(g *harness, n int, ttl func(i int) time.Duration) (refused int) {
		for i := range n {
			id := fmt.Sprint("x", g.now, i)
			g.handle(Request{ID: id, Class: "job", Plan: "low", Tenant: fmt.Sprint(i), TimeLeft: ttl(i), Tokens: 1, TenantNodes: 2})
			if _, ok := g.finalAnswers[id].(Reject); ok {
				refused++
			} else {
				g.endAttempt(id, OK, 0)
			}
			g.advance(10 * ms)
		}
		return refused
	}
	for _, k := range []struct {
		name string
		ttl  func(i int) time.Duration
		most int
		min  int
	}{
		{"one short time", func(int) time.Duration { return 300 * ms }, 4, 0},
		{"what varying answers leave", func(i int) time.Duration { return time.Duration(3000-i*37) * ms }, 40, 40},
		{"back when told to", func(i int) time.Duration { return 3*time.Second - time.Duration(5+i%2)*ms }, 40, 40},
		{"back when told to after waiting for a turn", func(i int) time.Duration { return 2640 * ms }, 40, 40},
	} {
		s := testSettings()
		s.MaxRetryAfter, s.Classes[0].LatencyObjective, s.Classes[0].Deadline = time.Second, 900*ms, 4*time.Second
		g := newHarness(t, s, endpoints(1, 2)...)
		ask(g, 40, func(int) time.Duration { return 3500 * ms })
		if n := ask(g, 40, k.ttl); n > k.most || n < k.min {
			t.Errorf("%s: %d of 40 were refused, want %d to %d", k.name, n, k.min, k.most)
		}
	}
}

// A try whose client leaves soon waits for a turn only as long as an answer could still be there in
// its time: else it is rejected at once, and takes neither units nor a place.
func TestHastyTryDoesNotWaitForATurnInVain(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2, 3)...)
	g.runWithLatency(10*time.Second, 300*ms, func(uint32) time.Duration { return 200 * ms })
	ask := func(id string, ttl time.Duration) {
		g.handle(Request{ID: id, Class: "job", Plan: "low", Tenant: id, TimeLeft: ttl, Tokens: 1, TenantNodes: 2})
	}
	const hasty = 300 * ms
	for i := 0; i < 8; i++ { // by which such clients are known
		id := fmt.Sprint(i)
		ask(id, hasty)
		if g.attempts[id] > 0 {
			g.endAttempt(id, OK, 0)
		}
	}
	g.controller.concurrency.bound = 1
	ask("out", 5*time.Second)
	if g.attempts["out"] != 1 {
		t.Fatalf("the bound has no room for one: %v", g.controller.concurrency.busy())
	}
	ask("hasty", hasty)
	ask("patient", 5*time.Second)
	g.advance(10 * ms)
	if _, refused := g.finalAnswers["hasty"].(Reject); !refused {
		t.Errorf("a try with 300 ms left, where answers take 200 ms, ends as %T", g.finalAnswers["hasty"])
	}
	if g.finalAnswers["patient"] != nil {
		t.Errorf("a try with 5 s left ends as %T without a wait", g.finalAnswers["patient"])
	}
	g.endAttempt("out", OK, 0)
	if g.attempts["patient"] != 1 || g.attempts["hasty"] != 0 {
		t.Errorf("sent: patient %d, hasty %d", g.attempts["patient"], g.attempts["hasty"])
	}
}
