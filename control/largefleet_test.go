package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// The tests of this file run one node of a fleet of hundreds, which receives a few requests per second.

// largeFleetSettings returns testSettings for a fleet of 300 nodes, with small quotas in the first plan.
func largeFleetSettings() Settings {
	s := testSettings()
	s.FleetSize = 300
	s.Plans[0].Rate, s.Plans[0].Burst = 1, 4
	return s
}

// runWithFixedLatency calls request once in each interval for a duration, and answers each attempt after
// 200 ms with a meter reading.
func (h *harness) runWithFixedLatency(duration, interval time.Duration, reading int, request func(i int)) {
	h.t.Helper()
	var next int
	answered := len(h.sends)
	for i, end := 0, h.now+duration; h.now < end; i++ {
		request(i)
		h.advance(200 * ms)
		for next = answered; next < len(h.sends); next++ {
			h.endAttempt(h.sends[next].ID, OK, reading)
		}
		answered = next
		h.advance(interval - 200*ms)
	}
}

// Guards against a heavy tenant that each of many nodes takes for a new one: after a few readings, though
// seconds apart, most of its requests must be rejected. A light tenant sends so seldom that each of its
// requests weighs more, but most of them must be admitted.
func TestFewReadingsSetRejectionChance(t *testing.T) {
	for _, k := range []struct {
		reading, interval int     // interval in seconds
		low, high         float64 // limits of the fraction of requests that is forwarded
	}{{401, 4, 0, 0.5}, {31, 30, 0.55, 1}} {
		h := newHarness(t, largeFleetSettings(), endpoints(1, 2, 3, 4)...)
		requests := 0
		h.runWithFixedLatency(5*time.Minute, time.Duration(k.interval)*time.Second, k.reading, func(i int) {
			requests++
			h.handle(Request{
				ID:          fmt.Sprint(i),
				Class:       "job",
				Plan:        "low",
				Tenant:      "c",
				TimeLeft:    3 * time.Second,
				Tokens:      1,
				TenantNodes: 60,
			})
		})
		if fraction := float64(len(h.sends)) / float64(requests); fraction < k.low || fraction > k.high {
			t.Errorf("readings of %d%%: %.2f of the requests forwarded, want %v to %v",
				k.reading-1, fraction, k.low, k.high)
		}
	}
}

// Guards against in-flight bounds below one that stop all traffic: an attempt may start, and a pause follows
// it.
func TestFractionalBoundPausesBetweenAttempts(t *testing.T) {
	h := newHarness(t, largeFleetSettings(), endpoints(1)...)
	h.controller.concurrency.bound = 0.25
	h.controller.traffic.latency = 0.1
	h.controller.traffic.idleLatency = 0.1
	h.controller.traffic.responses = 100
	h.request("a", "job", "high", "x")
	h.request("b", "job", "high", "y")
	if len(h.sends) != 1 {
		t.Fatalf("%d attempts in flight with a bound of a quarter", len(h.sends))
	}
	h.now += 100 * ms
	h.endAttempt("a", OK, 0)
	if len(h.sends) != 1 {
		t.Fatal("no pause after an attempt")
	}
	h.advance(450 * ms)
	if len(h.sends) != 2 {
		t.Error("the pause is longer than three times the attempt")
	}
}

// Guards against first attempts of clients that a node handles late, after a stall of its process, being
// taken for retries.
func TestStallDoesNotMakeFirstAttemptsLate(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, endpoints(1, 2)...)
	class := &h.controller.env.settings.Classes[0]
	for i := 0; i < 3; i++ {
		if w := h.controller.classifier.clientWaitTime(Request{TimeLeft: 3 * time.Second}, class); w != 0 {
			t.Fatalf("the client of a first attempt has waited %v", w)
		}
	}
	h.controller.env.sinceLastEvent = 1500 * ms
	if w := h.controller.classifier.clientWaitTime(Request{TimeLeft: 2 * time.Second}, class); w != time.Second {
		t.Errorf("a first attempt delayed 1 s by a stall: its client has waited %v", w)
	}
	h.controller.env.sinceLastEvent = 4 * ms
	w := h.controller.classifier.clientWaitTime(Request{TimeLeft: 2 * time.Second}, class)
	if w != 4*time.Second {
		t.Errorf("a retry with 2 s of 6 s left: its client has waited %v", w)
	}
	if w := h.controller.classifier.clientWaitTime(Request{TimeLeft: 5 * time.Second}, class); w != time.Second {
		t.Errorf("a retry with more time left than a first attempt: its client has waited %v", w)
	}
	h.controller.env.settings.ClientsMarkRetries = true
	if w := h.controller.classifier.clientWaitTime(Request{TimeLeft: 5 * time.Second}, class); w != 0 {
		t.Errorf("a request without the mark of a retry: its client has waited %v", w)
	}
}

// After a stall of the process all events arrive at once. No request is sent whose client is about to
// give up, and each request is sent or has its final response.
func TestBacklogAfterStallIsHandled(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2)...)
	h.request("old", "job", "high", "x")
	for i := 0; i < 40; i++ {
		h.request(fmt.Sprint("q", i), "job", "high", "x")
	}
	h.now += 4990 * ms // the stall: no timer fires
	for i := 0; i < 40; i++ {
		h.request(fmt.Sprint("n", i), "job", "high", "x")
	}
	sent := len(h.sends)
	h.advance(0)
	for _, s := range h.sends[sent:] {
		if s.ID[0] == 'q' {
			t.Errorf("%s was sent with 10 ms of its client's time left", s.ID)
		}
	}
	h.advance(6 * time.Second)
	for i := 0; i < 40; i++ {
		for _, id := range []string{fmt.Sprint("q", i), fmt.Sprint("n", i)} {
			if h.finalResponses[id] == nil && h.attempts[id] == 0 {
				t.Errorf("%s was neither sent nor has a final response", id)
			}
		}
	}
}

// Guards against servers that reject one plan only: their rejections must not cut the in-flight bound, and
// the plan must not be tried there again and again.
func TestServersThatRejectOnePlan(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2, 3, 4)...)
	h.controller.traffic.latency = 0.1
	h.controller.traffic.idleLatency = 0.1
	h.controller.traffic.responses = 100
	before := h.controller.concurrency.bound
	rejections := 0
	for i := 0; i < 30; i++ {
		for _, plan := range []string{"low", "high"} {
			id := fmt.Sprint(plan, i)
			h.request(id, "job", plan, "x")
			h.now += 100 * ms
			for h.finalResponses[id] == nil {
				last := h.sends[len(h.sends)-1]
				if last.ID != id {
					t.Fatalf("%s was not sent at once", id)
				}
				if plan == "low" && last.Server <= 2 {
					rejections++
					h.endAttempt(id, Overloaded, 0)
				} else {
					h.endAttempt(id, OK, 0)
				}
			}
		}
		h.advance(100 * ms)
	}
	if rejections > 3 {
		t.Errorf("two servers rejected the plan %d times in 6 s", rejections)
	}
	if h.controller.concurrency.bound < before {
		t.Errorf("the in-flight bound fell from %g to %g though servers have capacity",
			before, h.controller.concurrency.bound)
	}
}

// Shares move where a node receives two responses per second: the control interval is extended until it has
// enough outcomes.
func TestSharesMoveAtLowRequestRate(t *testing.T) {
	s := largeFleetSettings()
	s.Plans[0].Rate, s.Plans[0].Burst = 1000, 1000
	h := newHarness(t, s, endpoints(1, 2, 3, 4)...)
	h.runWithFixedLatency(40*time.Second, 500*ms, 0, func(i int) {
		plan := s.Plans[i%2]
		h.handle(Request{
			ID:          fmt.Sprint(i),
			Class:       "job",
			Plan:        plan.Name,
			Tenant:      "c",
			TimeLeft:    3 * time.Second,
			Tokens:      1,
			TenantNodes: 9,
		})
		h.controller.scheduler.plans[1].observeLateness(1.8)
	})
	if share := h.controller.scheduler.plans[1].share; math.Abs(share-0.5) < 0.05 || share < 0.5 {
		t.Errorf("the late plan with the higher price has a share of %g", share)
	}
}

// A class with a far lower priority weight leaves the lower half of a tenant's bucket to the others.
func TestLowPriorityClassYieldsScarceTokens(t *testing.T) {
	s := testSettings()
	s.Classes = append(s.Classes, Class{
		Name:             "low-priority",
		LatencyObjective: 2 * time.Second,
		Deadline:         6 * time.Second,
		PriorityWeight:   0.2,
	})
	s.Plans[0].Rate, s.Plans[0].Burst = 1, 10
	h := newHarness(t, s, endpoints(1, 2)...)
	h.controller.tenants.get(h.controller.scheduler.plans[0], "x", 2).level = 4
	h.request("low-priority", "low-priority", "low", "x")
	h.request("normal", "job", "low", "x")
	if h.finalResponses["low-priority"] == nil || h.finalResponses["normal"] != nil {
		t.Error("the low-priority class did not yield to the other one")
	}
}

// BenchmarkRequest measures the CPU time of one request with several numbers of servers.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []uint32{10, 30, 90, 300} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			s := testSettings()
			c, _ := New(s, 1)
			var servers []Endpoint
			for i := uint32(1); i <= n; i++ {
				servers = append(servers, Endpoint{Server: i, Zone: "z1"})
			}
			c.Handle(time.Hour, EndpointUpdate{Kind: Cached, Endpoints: servers})
			for i := 0; i < b.N; i++ {
				now := time.Hour + time.Duration(i)*time.Millisecond
				id := fmt.Sprint(i)
				for _, a := range c.Handle(now, Request{
					ID:          id,
					Class:       "job",
					Plan:        "high",
					Tenant:      "x",
					TimeLeft:    5 * time.Second,
					Tokens:      1,
					TenantNodes: 2,
				}) {
					if a, ok := a.(Send); ok {
						c.Handle(now, AttemptEnded{
							ID:           id,
							Server:       a.Server,
							Outcome:      OK,
							Done:         true,
							MeterReading: 50,
						})
						break
					}
				}
			}
		})
	}
}

// Guards against a first control interval with many responses that leaves the idle latency at zero.
func TestIdleLatencyIsSetInFirstInterval(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2)...)
	for i := 0; i < 60; i++ {
		h.request(fmt.Sprint(i), "job", "high", "x")
		h.now += 20 * ms
		h.endAttempt(fmt.Sprint(i), OK, 0)
	}
	h.controller.endInterval(1)
	if h.controller.traffic.idleLatency < 0.015 || h.controller.traffic.idleLatency > 0.03 {
		t.Errorf("idle latency %g s after responses within 20 ms", h.controller.traffic.idleLatency)
	}
}

// Guards against a second cut of the in-flight bound by responses to attempts from before the first cut.
func TestBoundIsCutOncePerTwoMeanLatencies(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2)...)
	h.controller.concurrency.bound = 80
	h.controller.traffic.latency = 1.2
	h.controller.traffic.idleLatency = 0.1
	h.controller.traffic.responses = 100
	for i, want := range []float64{40, 40, 40, 20} {
		h.controller.interval.latencyCount = 10
		h.controller.interval.responses = 10
		h.controller.interval.latencyRatioSum = 7
		h.controller.interval.latencySecondsSum = 14
		h.controller.env.now = h.now + time.Duration(i)*time.Second
		h.controller.endInterval(1)
		if h.controller.concurrency.bound != want {
			t.Errorf("in-flight bound %g after %d s of late responses, want %g",
				h.controller.concurrency.bound, i+1, want)
		}
	}
}
