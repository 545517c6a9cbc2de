package control

import (
	"fmt"
	"testing"
	"time"
)

func TestNothingGoesToADrainingServer(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2)...)
	g.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{{Server: 1, Condition: Draining}}})
	for i := 0; i < 4; i++ {
		g.request(fmt.Sprint(i), "job", "low", "x")
	}
	g.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(3)})
	g.request("x", "job", "low", "x")
	for _, s := range g.sends {
		if s.Server == 1 || s.ID == "x" && s.Server != 3 {
			t.Errorf("%s went to %d", s.ID, s.Server)
		}
	}
}

func TestDeadServerIsLeftAlone(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2, 3, 4)...)
	bad := 0
	for i := 0; i < 200; i++ {
		id := fmt.Sprint(i)
		g.request(id, "job", "low", "x")
		for g.finalAnswers[id] == nil {
			if g.sends[len(g.sends)-1].Server == 2 {
				bad++
				g.endAttempt(id, ConnectFailed, 0)
			} else {
				g.now += 50 * ms
				g.endAttempt(id, OK, 0)
			}
		}
	}
	if bad > 12 {
		t.Errorf("%d attempts on a server that takes no connection, in 10 s", bad)
	}
}

// Guards against a server that fails at once, looks idle and draws all traffic.
func TestServerThatFailsFastDoesNotDrawTheTraffic(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2, 3, 4)...)
	bad := 0
	for i := 0; i < 300; i++ {
		id := fmt.Sprint(i)
		g.request(id, "job", "low", "x")
		for g.finalAnswers[id] == nil {
			if g.sends[len(g.sends)-1].Server == 2 {
				bad++
				g.now += ms
				g.endAttempt(id, Errored, 0)
			} else {
				g.now += 50 * ms
				g.endAttempt(id, OK, 0)
			}
		}
	}
	if bad > 20 {
		t.Errorf("%d attempts in 15 s on a server that only fails", bad)
	}
}

// Guards against servers that fail every second request at once: never ejected, they look
// idle and draw the traffic.
func TestServerThatFailsHalfIsChosenLess(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2, 3, 4)...)
	tries := make(map[uint32]int)
	for i := 0; i < 400; i++ {
		id := fmt.Sprint(i)
		g.request(id, "job", "low", "x")
		for g.finalAnswers[id] == nil {
			s := g.sends[len(g.sends)-1].Server
			if tries[s]++; s == 2 && tries[s]%2 == 0 {
				g.now += ms
				g.endAttempt(id, Errored, 0)
			} else {
				g.now += 50 * ms
				g.endAttempt(id, OK, 0)
			}
		}
	}
	if tries[2] > tries[1]/2 {
		t.Errorf("tries by server: %v", tries)
	}
}

// Guards against a server that takes requests and never answers.
func TestSilentServerIsLeftAlone(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2, 3, 4)...)
	silent := 0
	for i := 0; i < 200; i++ {
		id := fmt.Sprint(i)
		g.request(id, "job", "low", "x")
		g.advance(20 * ms)
		if g.sends[len(g.sends)-1].Server == 2 {
			silent++
		} else if g.attempts[id] > 0 {
			g.endAttempt(id, OK, 0)
		}
	}
	if silent == 0 || silent > 6 {
		t.Errorf("%d of 200 requests in 4 s went to a server that never answers", silent)
	}
}

// A slow server is still known for slow when a node of many comes round to it again; one that
// sees each server often forgets sooner, as before.
func TestSlowServerIsRememberedForSomeVisits(t *testing.T) {
	var members []uint32
	for id := uint32(1); id <= 60; id++ {
		members = append(members, id)
	}
	g := newHarness(t, fleetSettings(80), endpoints(members...)...)
	g.runWithLatency(30*time.Second, 200*ms, func(uint32) time.Duration { return 200 * ms })
	slow := g.controller.servers.ordered[6]
	slow.observeLatency(g.controller.env.now, 2)
	g.advance(12 * time.Second) // in which it sends to each server once
	if ratio := g.controller.balancer.cost(slow) / g.controller.balancer.cost(g.controller.servers.ordered[7]); ratio < 2 {
		t.Errorf("a server that took ten times as long costs %.1f times as much at the next visit", ratio)
	}
	few := newHarness(t, fleetSettings(3), endpoints(members[:9]...)...)
	few.runWithLatency(30*time.Second, 50*ms, func(uint32) time.Duration { return 200 * ms })
	if r := few.controller.traffic.observationLifetime(few.controller.servers.usable); r != minObservationLifetime {
		t.Errorf("it is remembered for %.1f s where each server answers often", r)
	}
}

// A server that others speak against gets next to nothing until the word is too old, or an own answer
// speaks for it; no more than a third of all are taken so. A zone that is left gets nothing while
// another is there, and all where it is the only one.
func TestOthersWordAndZones(t *testing.T) {
	fresh := func() *harness {
		g := newHarness(t, testSettings(), endpoints(1, 2, 3, 4, 5, 6)...)
		g.sendsByServer(60)
		return g
	}
	g := fresh()
	g.controller.Handle(g.now, OutlierReport{Server: 1, Reporters: 4, Until: g.now + time.Second})
	if got := g.sendsByServer(60); got[1] > 2 {
		t.Errorf("others speak against 1: sent %v", got)
	}
	g.now += time.Second
	if got := g.sendsByServer(60); got[1] == 0 {
		t.Errorf("the word is old: sent %v", got)
	}
	g = fresh()
	for s := range uint32(6) {
		g.controller.Handle(g.now, OutlierReport{Server: s + 1, Until: g.now + time.Minute})
	}
	if got := g.sendsByServer(60); len(got) != 3 {
		t.Errorf("others speak against all of six: sent %v", got)
	}
	g = fresh()
	s := g.controller.servers.byID[1]
	g.controller.Handle(g.now, OutlierReport{Server: 1, Until: g.now + time.Minute})
	if s.latencyAt = g.now + 1; g.controller.outliers.reportedSlow(s) {
		t.Error("an own answer as fast as others' does not speak for a server")
	}
	g = fresh()
	for n, m := range g.controller.servers.ordered {
		m.Zone = map[bool]string{true: "z1", false: "z2"}[n < 3]
	}
	g.controller.Handle(g.now, ZoneEvacuation{Evacuated: map[string]float64{"z2": 1}})
	if got := g.sendsByServer(60); got[4]+got[5]+got[6] > 0 {
		t.Errorf("z2 is left: sent %v", got)
	}
	g.controller.Handle(g.now, ZoneEvacuation{Evacuated: map[string]float64{"z1": 1, "z2": 1}})
	if got := g.sendsByServer(60); len(got) < 5 {
		t.Errorf("all are left: sent %v", got)
	}
	g.controller.Handle(g.now, ZoneEvacuation{Evacuated: map[string]float64{"z2": 0.5}})
	if got := g.sendsByServer(400); got[4]+got[5]+got[6] < 50 || got[4]+got[5]+got[6] > 180 {
		t.Errorf("z2 has half of its traffic: sent %v", got)
	}
}
