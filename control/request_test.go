package control

import (
	"fmt"
	"testing"
	"time"
)

// A request of an unknown class or plan is rejected once, and events that name nothing known are ignored.
func TestUnknownClassOrPlanIsRejectedOnce(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1)...)
	h.request("a", "other", "low", "x")
	h.request("b", "job", "other", "x")
	for _, id := range []string{"a", "b"} {
		if _, ok := h.finalResponses[id].(Reject); !ok {
			t.Errorf("%s: final response %v is no rejection", id, h.finalResponses[id])
		}
	}
	h.handle(ClientGone{ID: "z"})
	h.handle(AttemptEnded{ID: "z", Server: 9, Outcome: OK})
	h.handle(Timer{Label: 999})
	h.handle(HealthCheckResult{Server: 77})
	h.handle(CounterResult{Name: 4})
	h.handle(PeerMessage{From: 1})
	h.handle(ResponseStarted{ID: "z"})
}

func TestQueuedRequestsAreAnsweredInTime(t *testing.T) {
	h := newHarness(t, testSettings()) // no server is listed
	h.request("a", "job", "low", "x")
	h.advance(5 * time.Second)
	r, ok := h.finalResponses["a"].(Reject)
	if !ok || r.RetryAfter != time.Second {
		t.Errorf("final response %#v is no rejection with a Retry-After of 1 s", h.finalResponses["a"])
	}
}

// Guards against a retry that waits in the queue beyond its client's time.
func TestRequeuedRequestIsAnsweredInTime(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1)...)
	h.request("a", "job", "low", "x")
	h.advance(4 * time.Second)
	h.handle(EndpointUpdate{Kind: Complete})
	h.endAttempt("a", Errored, 0)
	h.advance(990 * ms)
	if h.finalResponses["a"] != nil {
		return
	}
	h.advance(10 * ms)
	if h.finalResponses["a"] == nil {
		t.Error("no final response when the client gives up")
	}
}

// First attempts of clients that give up sooner than most are admitted like others, though they come with an
// unusually short time left. Retries that can only be answered late are still rejected where the tenant's
// use is not known.
func TestImpatientClientsAreNotTakenForRetries(t *testing.T) {
	// send sends n requests of different tenants and returns how many were rejected.
	send := func(h *harness, n int, timeLeft func(i int) time.Duration) (rejected int) {
		for i := range n {
			id := fmt.Sprint("x", h.now, i)
			h.handle(Request{
				ID:          id,
				Class:       "job",
				Plan:        "low",
				Tenant:      fmt.Sprint(i),
				TimeLeft:    timeLeft(i),
				Tokens:      1,
				TenantNodes: 2,
			})
			if _, ok := h.finalResponses[id].(Reject); ok {
				rejected++
			} else {
				h.endAttempt(id, OK, 0)
			}
			h.advance(10 * ms)
		}
		return rejected
	}
	for _, k := range []struct {
		name     string
		timeLeft func(i int) time.Duration
		high     int // most and least rejections of 40 requests
		low      int
	}{
		{
			"first attempts of impatient clients, all with one time left",
			func(int) time.Duration { return 300 * ms }, 4, 0,
		},
		{
			"retries after responses that took various times",
			func(i int) time.Duration { return time.Duration(3000-i*37) * ms }, 40, 40,
		},
		{
			"retries after the Retry-After of an immediate rejection",
			func(i int) time.Duration { return 3*time.Second - time.Duration(5+i%2)*ms }, 40, 40,
		},
		{
			"retries after the Retry-After of a rejection from the queue",
			func(i int) time.Duration { return 2640 * ms }, 40, 40,
		},
	} {
		s := testSettings()
		s.MaxRetryAfter = time.Second
		s.Classes[0].LatencyObjective = 900 * ms
		s.Classes[0].Deadline = 4 * time.Second
		h := newHarness(t, s, endpoints(1, 2)...)
		send(h, 40, func(int) time.Duration { return 3500 * ms })
		if n := send(h, 40, k.timeLeft); n > k.high || n < k.low {
			t.Errorf("%s: %d of 40 were rejected, want %d to %d", k.name, n, k.low, k.high)
		}
	}
}

// A request of an impatient client waits in the queue only while a response can still arrive in the client's
// time. Else it is rejected at once, and takes neither tokens nor a slot.
func TestRequestIsNotQueuedWithoutTimeForResponse(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2, 3)...)
	h.runWithLatency(10*time.Second, 300*ms, func(uint32) time.Duration { return 200 * ms })
	request := func(id string, timeLeft time.Duration) {
		h.handle(Request{
			ID:          id,
			Class:       "job",
			Plan:        "low",
			Tenant:      id,
			TimeLeft:    timeLeft,
			Tokens:      1,
			TenantNodes: 2,
		})
	}
	const impatient = 300 * ms
	for i := 0; i < 8; i++ { // the node learns that some clients have this time
		id := fmt.Sprint(i)
		request(id, impatient)
		if h.attempts[id] > 0 {
			h.endAttempt(id, OK, 0)
		}
	}
	h.controller.concurrency.bound = 1
	request("first", 5*time.Second)
	if h.attempts["first"] != 1 {
		t.Fatalf("a bound of 1 has no capacity for one attempt: %v in flight", h.controller.concurrency.busy())
	}
	request("impatient", impatient)
	request("patient", 5*time.Second)
	h.advance(10 * ms)
	if _, rejected := h.finalResponses["impatient"].(Reject); !rejected {
		t.Errorf("a request with 300 ms left, where responses take 200 ms, has final response %T",
			h.finalResponses["impatient"])
	}
	if h.finalResponses["patient"] != nil {
		t.Errorf("a request with 5 s left has final response %T at once", h.finalResponses["patient"])
	}
	h.endAttempt("first", OK, 0)
	if h.attempts["patient"] != 1 || h.attempts["impatient"] != 0 {
		t.Errorf("attempts: patient client %d, impatient client %d", h.attempts["patient"], h.attempts["impatient"])
	}
}
