package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Tests at the size of hundreds of nodes, each of which sees a few requests a second.

func large() Settings {
	s := settings()
	s.FleetSize = 300
	s.Plans[0].Rate, s.Plans[0].Burst = 1, 4
	return s
}

// serve asks every gap for a time d, and answers what is sent after 200 ms.
func (g *harness) serve(d, gap time.Duration, used int, ask func(i int)) {
	g.t.Helper()
	var next int
	open := len(g.sends)
	for i, end := 0, g.now+d; g.now < end; i++ {
		ask(i)
		g.advance(200 * ms)
		for next = open; next < len(g.sends); next++ {
			g.answer(g.sends[next].ID, OK, used)
		}
		open = next
		g.advance(gap - 200*ms)
	}
}

// Guards against a heavy tenant that each of many nodes takes for a new one: after a few
// readings, though seconds apart, most of its tries are rejected; most of a calm one's are let in,
// which come so seldom that each alone speaks for more.
func TestFewReadingsMakeAChance(t *testing.T) {
	for _, k := range []struct {
		used, gap int
		low, high float64
	}{{401, 4, 0, 0.5}, {31, 30, 0.55, 1}} {
		g := newHarness(t, large(), endpoints(1, 2, 3, 4)...)
		asked := 0
		g.serve(5*time.Minute, time.Duration(k.gap)*time.Second, k.used, func(i int) {
			asked++
			g.handle(Request{ID: fmt.Sprint(i), Class: "job", Plan: "low", Tenant: "c", TimeLeft: 3 * time.Second,
				Tokens: 1, TenantNodes: 60})
		})
		if part := float64(len(g.sends)) / float64(asked); part < k.low || part > k.high {
			t.Errorf("told %d%%: %.2f of the tries sent on, want %v to %v", k.used-1, part, k.low, k.high)
		}
	}
}

// Guards against bounds below one that stop the work: a place is used, then rests.
func TestPartOfAPlaceRestsAndFlows(t *testing.T) {
	g := newHarness(t, large(), endpoints(1)...)
	g.c.concurrency.bound, g.c.traffic.latency, g.c.traffic.idleLatency, g.c.traffic.responses = 0.25, 0.1, 0.1, 100
	g.request("a", "job", "high", "x")
	g.request("b", "job", "high", "y")
	if len(g.sends) != 1 {
		t.Fatalf("%d sent with a quarter of a place", len(g.sends))
	}
	g.now += 100 * ms
	g.answer("a", OK, 0)
	if len(g.sends) != 1 {
		t.Fatal("the place did not rest")
	}
	g.advance(450 * ms)
	if len(g.sends) != 2 {
		t.Error("the place rests for more than three times its use")
	}
}

// Guards against first tries that a node finds after a stall being taken for later ones.
func TestStallDoesNotMakeFirstTriesLate(t *testing.T) {
	s := settings()
	g := newHarness(t, s, endpoints(1, 2)...)
	k := &g.c.env.settings.Classes[0]
	for i := 0; i < 3; i++ {
		if w := g.c.classifier.clientWaitTime(Request{TimeLeft: 3 * time.Second}, k); w != 0 {
			t.Fatalf("a first try has waited %v", w)
		}
	}
	g.c.env.sinceLastEvent = 1500 * ms
	if w := g.c.classifier.clientWaitTime(Request{TimeLeft: 2 * time.Second}, k); w != time.Second {
		t.Errorf("a first try that lay for 1 s through a stall has waited %v", w)
	}
	g.c.env.sinceLastEvent = 4 * ms
	if w := g.c.classifier.clientWaitTime(Request{TimeLeft: 2 * time.Second}, k); w != 4*time.Second {
		t.Errorf("a later try with 2 s of 6 s left has waited %v", w)
	}
	if w := g.c.classifier.clientWaitTime(Request{TimeLeft: 5 * time.Second}, k); w != time.Second {
		t.Errorf("a last try, with all the rest of the time, has waited %v", w)
	}
	g.c.env.settings.ClientsMarkRetries = true
	if w := g.c.classifier.clientWaitTime(Request{TimeLeft: 5 * time.Second}, k); w != 0 {
		t.Errorf("a try without the mark of a later one has waited %v", w)
	}
}

// After a stall everything comes at once; whoever can still be served is, all are answered once.
func TestEverythingAtOnceAfterAStall(t *testing.T) {
	g := newHarness(t, settings(), endpoints(1, 2)...)
	g.request("old", "job", "high", "x")
	for i := 0; i < 40; i++ {
		g.request(fmt.Sprint("q", i), "job", "high", "x")
	}
	g.now += 4990 * ms // no timer came in time
	for i := 0; i < 40; i++ {
		g.request(fmt.Sprint("n", i), "job", "high", "x")
	}
	sent := len(g.sends)
	g.advance(0)
	for _, s := range g.sends[sent:] {
		if s.ID[0] == 'q' {
			t.Errorf("%s was sent when its client had all but left", s.ID)
		}
	}
	g.advance(6 * time.Second)
	for i := 0; i < 40; i++ {
		for _, id := range []string{fmt.Sprint("q", i), fmt.Sprint("n", i)} {
			if g.ends[id] == nil && g.n[id] == 0 {
				t.Errorf("%s was not answered", id)
			}
		}
	}
}

// Guards against servers that refuse one plan: they cut no bound and are not tried again for it.
func TestServersThatRefuseOnePlan(t *testing.T) {
	g := newHarness(t, settings(), endpoints(1, 2, 3, 4)...)
	g.c.traffic.latency, g.c.traffic.idleLatency, g.c.traffic.responses = 0.1, 0.1, 100
	before := g.c.concurrency.bound
	refusals := 0
	for i := 0; i < 30; i++ {
		for _, p := range []string{"low", "high"} {
			id := fmt.Sprint(p, i)
			g.request(id, "job", p, "x")
			g.now += 100 * ms
			for g.ends[id] == nil {
				last := g.sends[len(g.sends)-1]
				if last.ID != id {
					t.Fatalf("%s was held", id)
				}
				if p == "low" && last.Server <= 2 {
					refusals++
					g.answer(id, Overloaded, 0)
				} else {
					g.answer(id, OK, 0)
				}
			}
		}
		g.advance(100 * ms)
	}
	if refusals > 3 {
		t.Errorf("two servers refused the plan %d times in 6 s", refusals)
	}
	if g.c.concurrency.bound < before {
		t.Errorf("the bound went from %g to %g on servers with room", before, g.c.concurrency.bound)
	}
}

// Shares move by the law where a node sees two answers a second: the interval lasts longer.
func TestSharesMoveAtAFewRequestsASecond(t *testing.T) {
	s := large()
	s.Plans[0].Rate, s.Plans[0].Burst = 1000, 1000
	g := newHarness(t, s, endpoints(1, 2, 3, 4)...)
	g.serve(40*time.Second, 500*ms, 0, func(i int) {
		p := s.Plans[i%2]
		g.handle(Request{ID: fmt.Sprint(i), Class: "job", Plan: p.Name, Tenant: "c", TimeLeft: 3 * time.Second, Tokens: 1, TenantNodes: 9})
		g.c.scheduler.plans[1].observeLateness(1.8) // the dear plan is late
	})
	if u := g.c.scheduler.plans[1].share; math.Abs(u-0.5) < 0.05 || u < 0.5 {
		t.Errorf("the late dear plan has a share of %g", u)
	}
}

// A class worth far less leaves the lower half of the bucket to the others.
func TestCheapClassYieldsTheStore(t *testing.T) {
	s := settings()
	s.Classes = append(s.Classes, Class{Name: "cheap", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 0.2})
	s.Plans[0].Rate, s.Plans[0].Burst = 1, 10
	g := newHarness(t, s, endpoints(1, 2)...)
	g.c.tenants.get(g.c.scheduler.plans[0], "x", 2).level = 4
	g.request("cheap", "cheap", "low", "x")
	g.request("dear", "job", "low", "x")
	if g.ends["cheap"] == nil || g.ends["dear"] != nil {
		t.Error("the cheap class did not yield to the dear one")
	}
}

// The CPU for one request over fleets of several sizes.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []uint32{10, 30, 90, 300} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			s := settings()
			c, _ := New(s, 1)
			var ms []Endpoint
			for i := uint32(1); i <= n; i++ {
				ms = append(ms, Endpoint{Server: i, Zone: "z1"})
			}
			c.Handle(time.Hour, EndpointUpdate{Kind: Cached, Endpoints: ms})
			for i := 0; i < b.N; i++ {
				now := time.Hour + time.Duration(i)*time.Millisecond
				id := fmt.Sprint(i)
				for _, a := range c.Handle(now, Request{ID: id, Class: "job", Plan: "high", Tenant: "x",
					TimeLeft: 5 * time.Second, Tokens: 1, TenantNodes: 2}) {
					if a, ok := a.(Send); ok {
						c.Handle(now, AttemptEnded{ID: id, Server: a.Server, Outcome: OK, Done: true, MeterReading: 50})
						break
					}
				}
			}
		})
	}
}

// Guards against a first interval with many answers that leaves the idle time at nothing.
func TestIdleTimeIsSeenFromTheFirstInterval(t *testing.T) {
	g := newHarness(t, settings(), endpoints(1, 2)...)
	for i := 0; i < 60; i++ {
		g.request(fmt.Sprint(i), "job", "high", "x")
		g.now += 20 * ms
		g.answer(fmt.Sprint(i), OK, 0)
	}
	g.c.endInterval(1)
	if g.c.traffic.idleLatency < 0.015 || g.c.traffic.idleLatency > 0.03 {
		t.Errorf("idle time %g s after answers within 20 ms", g.c.traffic.idleLatency)
	}
}

// Guards against a second cut of the bound for answers to sends from before the first.
func TestBoundIsCutOncePerAnswerTime(t *testing.T) {
	g := newHarness(t, settings(), endpoints(1, 2)...)
	g.c.concurrency.bound, g.c.traffic.latency, g.c.traffic.idleLatency, g.c.traffic.responses = 80, 1.2, 0.1, 100
	for i, want := range []float64{40, 40, 40, 20} {
		g.c.interval.latencyCount, g.c.interval.responses, g.c.interval.latencyRatioSum, g.c.interval.latencySecondsSum = 10, 10, 7, 14
		g.c.env.now = g.now + time.Duration(i)*time.Second
		g.c.endInterval(1)
		if g.c.concurrency.bound != want {
			t.Errorf("bound %g after %d late seconds, want %g", g.c.concurrency.bound, i+1, want)
		}
	}
}
