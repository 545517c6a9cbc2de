package control

import (
	"fmt"
	"testing"
	"time"
)

// requestStreamed sends a request whose body is passed on while the client sends it.
func (h *harness) requestStreamed(id string) {
	h.t.Helper()
	h.handle(Request{
		ID:           id,
		Class:        "job",
		Plan:         "low",
		Tenant:       "c",
		TimeLeft:     5 * time.Second,
		Tokens:       1,
		TenantNodes:  2,
		StreamedBody: true,
	})
}

// While a slow client sends its body, the attempt takes no slot of the in-flight bound and counts against no
// server. The client's time and the latency run from the end of the body.
func TestStreamedRequestLoadsNoServerUntilBodyIsSent(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2)...)
	for i := range 50 {
		h.requestStreamed(fmt.Sprint("l", i))
	}
	if len(h.sends) != 50 || h.controller.concurrency.busy() != 0 {
		t.Fatalf("%d attempts sent, %g slots taken", len(h.sends), h.controller.concurrency.busy())
	}
	h.advance(8 * time.Second) // longer than a client waits for a response
	if len(h.finalResponses) > 0 {
		t.Errorf("final responses while the clients send their bodies: %v", h.finalResponses)
	}
	if n := h.controller.AvoidedServers(h.now); n != 0 {
		t.Errorf("%d servers are avoided because of slow clients", n)
	}
	for i := range 2 {
		h.handle(BodySent{ID: fmt.Sprint("l", i)})
	}
	if h.controller.concurrency.busy() != 2 {
		t.Errorf("%g slots taken after two bodies were sent", h.controller.concurrency.busy())
	}
	h.advance(100 * ms)
	h.handle(AttemptEnded{ID: "l0", Server: h.sends[0].Server, Outcome: OK, Done: true})
	if l := h.controller.traffic.latency; l < 0.09 || l > 0.2 {
		t.Errorf("latency %g s is not counted from the end of the body", l)
	}
	h.handle(AttemptEnded{ID: "l2", Server: h.sends[2].Server, Outcome: NeverSent, Done: true})
	if h.controller.concurrency.busy() != 1 {
		t.Errorf("%g slots taken, not 1", h.controller.concurrency.busy())
	}
}

// A request of whose body a part is consumed is not retried, even if its class allows it.
func TestRequestWithConsumedBodyIsNotRetried(t *testing.T) {
	for _, consumed := range []bool{false, true} {
		h := newHarness(t, testSettings(), endpoints(1, 2)...)
		h.requestStreamed("a")
		h.handle(AttemptEnded{
			ID:           "a",
			Server:       h.sends[0].Server,
			Outcome:      ConnectFailed,
			BodyConsumed: consumed,
		})
		if retried := len(h.sends) == 2; retried == consumed {
			t.Errorf("body consumed %v: retried %v", consumed, retried)
		}
		if _, rejected := h.finalResponses["a"].(Reject); rejected != consumed {
			t.Errorf("body consumed %v: final response %v", consumed, h.finalResponses["a"])
		}
	}
}

// A server whose streamed response has started has done its work: the time that the client takes to read the
// rest is no load, and what the response's header reports counts at once.
func TestStreamedResponseLoadsNoServer(t *testing.T) {
	s := testSettings()
	s.ResponsesReportTokens = true
	h := newHarness(t, s, endpoints(1)...)
	h.request("a", "job", "low", "c")
	h.advance(50 * ms)
	tenant := h.controller.tenants.byKey["low c"]
	level := tenant.level
	h.handle(ResponseStarted{ID: "a", Server: 1, Latency: 50 * ms, Tokens: 11, MeterReading: 1})
	if d := level - tenant.level; d < 7 || d > 11 {
		t.Errorf("the response's header took %g more tokens, not about 10", d)
	}
	if !tenant.metered {
		t.Error("the meter reading of the response's header is not applied")
	}
	h.advance(20 * time.Second)
	server := h.controller.servers.byID[1]
	if h.controller.concurrency.busy() != 0 || server.activeAttempts() != 0 {
		t.Errorf("%g slots taken, %d attempts load the server",
			h.controller.concurrency.busy(), server.activeAttempts())
	}
	h.handle(AttemptEnded{ID: "a", Server: 1, Outcome: OK, Done: true})
	ended := h.controller.servers.byID[1]
	if h.controller.concurrency.inFlight != 0 || h.controller.concurrency.responding != 0 ||
		ended.inFlight != 0 || ended.responding != 0 {
		t.Error("the end of the response is not counted")
	}
}

// A trial attempt that was never sent leaves its server open to the next trial.
func TestUnsentTrialIsRepeated(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1)...)
	h.request("a", "job", "low", "c")
	h.endAttempt("a", ConnectFailed, 0)
	h.advance(10 * time.Second)
	h.request("b", "job", "low", "c")
	h.endAttempt("b", NeverSent, 0)
	if n := h.controller.AvoidedServers(h.now); n != 0 {
		t.Errorf("%d servers avoided after a trial that was never sent", n)
	}
}

// A retry that waits in the queue is not sent after its idempotency window, when its duplicates are no longer
// dropped.
func TestQueuedRetryEndsWithIdempotencyWindow(t *testing.T) {
	s := testSettings()
	s.Classes = append(s.Classes, Class{
		Name:              "post",
		LatencyObjective:  2 * time.Second,
		Deadline:          6 * time.Second,
		PriorityWeight:    1,
		Idempotency:       IdempotentByKey,
		KeyScope:          KeyScopeZone,
		IdempotencyWindow: 500 * ms,
	})
	h := newHarness(t, s, endpoints(1)...)
	h.request("a", "post", "low", "c")
	for i := range 20 { // more than the in-flight bound
		h.request(fmt.Sprint(i), "job", "low", "c")
	}
	h.controller.concurrency.bound = 0 // no attempt may start
	h.advance(100 * ms)
	h.endAttempt("a", ResetByPeer, 0)
	if h.finalResponses["a"] != nil || h.attempts["a"] != 1 {
		t.Fatalf("final response %v after %d attempts, want a queued retry", h.finalResponses["a"], h.attempts["a"])
	}
	h.advance(500 * ms)
	h.controller.concurrency.bound = 100
	h.advance(100 * ms)
	if _, failed := h.finalResponses["a"].(Fail); !failed || h.attempts["a"] != 1 {
		t.Errorf("final response %v after %d attempts, want a failure after one",
			h.finalResponses["a"], h.attempts["a"])
	}
}

// A node of a large fleet sends to servers that are warming up no more than its part, by their warm-up
// fraction, and has a lower minimum bound while most servers are warming up.
func TestLargeFleetSharesWarmingUpServers(t *testing.T) {
	s := testSettings()
	s.FleetSize = 36
	servers := endpoints(1, 2, 3, 4)
	for i := range servers[1:] { // a warm-up fraction of 0.2 + 0.8 * 0.3 = 0.44
		servers[i+1].HasStartedAt, servers[i+1].StartedAt = true, time.Hour-3*time.Second
	}
	h := newHarness(t, s, servers...)
	got, want := h.controller.concurrency.minBound(), 4.0/36*(1+3*0.44)
	if got < want-0.01 || got > want+0.01 {
		t.Errorf("minimum bound %g, not %g", got, want)
	}
	h.controller.concurrency.bound = 4
	attempts := map[uint32]int{}
	for i := 0; i < 70; i++ { // in 7 s: one request in 100 ms is more than this node's part
		id := fmt.Sprint(i)
		h.request(id, "job", "high", "c")
		if h.attempts[id] > 0 {
			attempts[h.sends[len(h.sends)-1].Server]++
			h.advance(100 * ms)
			h.endAttempt(id, OK, 0)
		} else {
			h.advance(100 * ms)
		}
	}
	warmingUp := attempts[2] + attempts[3] + attempts[4]
	// A server that works on 4 requests of 100 ms at a time does 40 per second. A 36th of that times the
	// warm-up fraction is 0.5 to 1.1 per second.
	if warmingUp < 5 || warmingUp > 40 || attempts[1] <= warmingUp/3 {
		t.Errorf("%d attempts at the warm server, %d at three that are warming up", attempts[1], warmingUp)
	}
}
