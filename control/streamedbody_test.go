package control

import (
	"fmt"
	"testing"
	"time"
)

// askLong asks with a body that goes on as it comes.
func (g *harness) requestStreamed(id string) {
	g.t.Helper()
	g.handle(Request{ID: id, Class: "job", Plan: "low", Tenant: "c", TimeLeft: 5 * time.Second, Tokens: 1, TenantNodes: 2, StreamedBody: true})
}

// A body that a slow client still sends takes no place under the bound and speaks against no
// server; the client's time runs from its end.
func TestLongRequestLoadsNobodyUntilWritten(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2)...)
	for i := range 50 {
		g.requestStreamed(fmt.Sprint("l", i))
	}
	if len(g.sends) != 50 || g.controller.concurrency.busy() != 0 {
		t.Fatalf("%d sent on, %g at work", len(g.sends), g.controller.concurrency.busy())
	}
	g.advance(8 * time.Second) // longer than a client waits for an answer
	if len(g.finalAnswers) > 0 {
		t.Errorf("ended while their clients send: %v", g.finalAnswers)
	}
	if n := g.controller.AvoidedServers(g.now); n != 0 {
		t.Errorf("%d servers are avoided for what clients do", n)
	}
	for i := range 2 {
		g.handle(BodySent{ID: fmt.Sprint("l", i)})
	}
	if g.controller.concurrency.busy() != 2 {
		t.Errorf("%g at work, not the 2 written", g.controller.concurrency.busy())
	}
	g.advance(100 * ms)
	g.handle(AttemptEnded{ID: "l0", Server: g.sends[0].Server, Outcome: OK, Done: true})
	if l := g.controller.traffic.latency; l < 0.09 || l > 0.2 {
		t.Errorf("a latency of %g s, not from the last byte", l)
	}
	g.handle(AttemptEnded{ID: "l2", Server: g.sends[2].Server, Outcome: NeverSent, Done: true})
	if g.controller.concurrency.busy() != 1 {
		t.Errorf("%g at work, not 1", g.controller.concurrency.busy())
	}
}

// A request of which a part is gone is not sent again, also where its class would allow it.
func TestSpentRequestIsNotSentAgain(t *testing.T) {
	for _, spent := range []bool{false, true} {
		g := newHarness(t, testSettings(), endpoints(1, 2)...)
		g.requestStreamed("a")
		g.handle(AttemptEnded{ID: "a", Server: g.sends[0].Server, Outcome: ConnectFailed, BodyConsumed: spent})
		if again := len(g.sends) == 2; again == spent {
			t.Errorf("spent %v: sent again %v", spent, again)
		}
		if _, refused := g.finalAnswers["a"].(Reject); refused != spent {
			t.Errorf("spent %v: ended with %v", spent, g.finalAnswers["a"])
		}
	}
}

// The server of an answer that has begun has done its work: what its client takes is no load, and
// what the answer's head tells counts at once.
func TestAnswerThatStreamsLoadsNobody(t *testing.T) {
	s := testSettings()
	s.ResponsesReportTokens = true
	g := newHarness(t, s, endpoints(1)...)
	g.request("a", "job", "low", "c")
	g.advance(50 * ms)
	q := g.controller.tenants.byKey["low c"]
	level := q.level
	g.handle(ResponseStarted{ID: "a", Server: 1, Latency: 50 * ms, Tokens: 11, MeterReading: 1})
	if d := level - q.level; d < 7 || d > 11 {
		t.Errorf("%g units settled, not about 10", d)
	}
	if !q.metered {
		t.Error("the use told in the head is not read")
	}
	g.advance(20 * time.Second)
	if srv := g.controller.servers.byID[1]; g.controller.concurrency.busy() != 0 || srv.activeAttempts() != 0 {
		t.Errorf("%g at work, %d at the server", g.controller.concurrency.busy(), srv.activeAttempts())
	}
	g.handle(AttemptEnded{ID: "a", Server: 1, Outcome: OK, Done: true})
	if srv := g.controller.servers.byID[1]; g.controller.concurrency.inFlight != 0 || g.controller.concurrency.responding != 0 || srv.inFlight != 0 || srv.responding != 0 {
		t.Error("an answer's end is not booked")
	}
}

// A trial that came to nothing leaves its server open to the next one.
func TestMootTrialIsMadeAnew(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1)...)
	g.request("a", "job", "low", "c")
	g.endAttempt("a", ConnectFailed, 0)
	g.advance(10 * time.Second)
	g.request("b", "job", "low", "c")
	g.endAttempt("b", NeverSent, 0)
	if n := g.controller.AvoidedServers(g.now); n != 0 {
		t.Errorf("%d servers avoided for a trial that was not made", n)
	}
}

// A repeat that waits for its turn is not sent once its repeats are no longer dropped.
func TestQueuedRepeatEndsWithItsWindow(t *testing.T) {
	s := testSettings()
	s.Classes = append(s.Classes, Class{Name: "post", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1,
		Idempotency: IdempotentByKey, KeyScope: KeyScopeZone, IdempotencyWindow: 500 * ms})
	g := newHarness(t, s, endpoints(1)...)
	g.request("a", "post", "low", "c")
	for i := range 20 { // more than the bound
		g.request(fmt.Sprint(i), "job", "low", "c")
	}
	g.controller.concurrency.bound = 0 // none more for now
	g.advance(100 * ms)
	g.endAttempt("a", ResetByPeer, 0)
	if g.finalAnswers["a"] != nil || g.attempts["a"] != 1 {
		t.Fatalf("ended with %v after %d attempts", g.finalAnswers["a"], g.attempts["a"])
	}
	g.advance(500 * ms)
	g.controller.concurrency.bound = 100
	g.advance(100 * ms)
	if _, failed := g.finalAnswers["a"].(Fail); !failed || g.attempts["a"] != 1 {
		t.Errorf("ended with %v after %d attempts", g.finalAnswers["a"], g.attempts["a"])
	}
}

// Nodes of a herd use servers that are warming up for their part, by their warm-up, and hold less in flight
// while the fleet is cold.
func TestHerdSharesColdServers(t *testing.T) {
	s := testSettings()
	s.FleetSize = 36
	members := endpoints(1, 2, 3, 4)
	for i := range members[1:] {
		members[i+1].HasStartedAt, members[i+1].StartedAt = true, time.Hour-3*time.Second // 0.2 + 0.8 * 0.3 = 0.44 warm
	}
	g := newHarness(t, s, members...)
	if f, want := g.controller.concurrency.minBound(), 4.0/36*(1+3*0.44); f < want-0.01 || f > want+0.01 {
		t.Errorf("a floor of %g, not %g", f, want)
	}
	g.controller.concurrency.bound = 4
	n := map[uint32]int{}
	for i := 0; i < 70; i++ { // 7 s: one request in 100 ms is more than this gateway's part
		id := fmt.Sprint(i)
		g.request(id, "job", "high", "c")
		if g.attempts[id] > 0 {
			n[g.sends[len(g.sends)-1].Server]++
			g.advance(100 * ms)
			g.endAttempt(id, OK, 0)
		} else {
			g.advance(100 * ms)
		}
	}
	cold := n[2] + n[3] + n[4]
	// Of 4 attempts at a time and 100 ms each, times the warm-up, a 36th is 0.5 to 1.1 a second.
	if cold < 5 || cold > 40 || n[1] <= cold/3 {
		t.Errorf("%d attempts at the warm server, %d at three cold ones", n[1], cold)
	}
}
