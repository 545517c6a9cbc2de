package control

import (
	"fmt"
	"testing"
	"time"
)

// Neither a draining server nor one that a complete list no longer names gets an attempt.
func TestDrainingServerGetsNoAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2)...)
	h.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{{Server: 1, Condition: Draining}}})
	for i := 0; i < 4; i++ {
		h.request(fmt.Sprint(i), "job", "low", "x")
	}
	h.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(3)})
	h.request("x", "job", "low", "x")
	for _, s := range h.sends {
		if s.Server == 1 || s.ID == "x" && s.Server != 3 {
			t.Errorf("%s was sent to server %d", s.ID, s.Server)
		}
	}
}

// A server that accepts no connections is ejected: it gets few attempts of 200 requests in 10 s.
func TestUnreachableServerIsEjected(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2, 3, 4)...)
	failed := 0
	for i := 0; i < 200; i++ {
		id := fmt.Sprint(i)
		h.request(id, "job", "low", "x")
		for h.finalResponses[id] == nil {
			if h.sends[len(h.sends)-1].Server == 2 {
				failed++
				h.endAttempt(id, ConnectFailed, 0)
			} else {
				h.now += 50 * ms
				h.endAttempt(id, OK, 0)
			}
		}
	}
	if failed > 12 {
		t.Errorf("%d attempts in 10 s at a server that accepts no connections", failed)
	}
}

// Guards against a server that fails at once, therefore looks idle and attracts all traffic.
func TestFastFailingServerDoesNotAttractTraffic(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2, 3, 4)...)
	failed := 0
	for i := 0; i < 300; i++ {
		id := fmt.Sprint(i)
		h.request(id, "job", "low", "x")
		for h.finalResponses[id] == nil {
			if h.sends[len(h.sends)-1].Server == 2 {
				failed++
				h.now += ms
				h.endAttempt(id, Errored, 0)
			} else {
				h.now += 50 * ms
				h.endAttempt(id, OK, 0)
			}
		}
	}
	if failed > 20 {
		t.Errorf("%d attempts in 15 s at a server that fails every attempt", failed)
	}
}

// Guards against a server that fails every second attempt at once: it is never ejected, and its short
// failures make it look idle.
func TestHalfFailingServerGetsLessTraffic(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2, 3, 4)...)
	attempts := make(map[uint32]int)
	for i := 0; i < 400; i++ {
		id := fmt.Sprint(i)
		h.request(id, "job", "low", "x")
		for h.finalResponses[id] == nil {
			s := h.sends[len(h.sends)-1].Server
			if attempts[s]++; s == 2 && attempts[s]%2 == 0 {
				h.now += ms
				h.endAttempt(id, Errored, 0)
			} else {
				h.now += 50 * ms
				h.endAttempt(id, OK, 0)
			}
		}
	}
	if attempts[2] > attempts[1]/2 {
		t.Errorf("attempts by server: %v, server 2 fails every second one", attempts)
	}
}

// Guards against a server that accepts requests and never responds.
func TestSilentServerIsAvoided(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2, 3, 4)...)
	silent := 0
	for i := 0; i < 200; i++ {
		id := fmt.Sprint(i)
		h.request(id, "job", "low", "x")
		h.advance(20 * ms)
		if h.sends[len(h.sends)-1].Server == 2 {
			silent++
		} else if h.attempts[id] > 0 {
			h.endAttempt(id, OK, 0)
		}
	}
	if silent == 0 || silent > 6 {
		t.Errorf("%d of 200 requests in 4 s were sent to a server that never responds", silent)
	}
}

// A node of a large fleet sends to each server seldom, so it must still know that a server was slow at its
// next attempt there. A node that sends to each server often forgets sooner.
func TestLargeFleetRemembersSlowServerLonger(t *testing.T) {
	var ids []uint32
	for id := uint32(1); id <= 60; id++ {
		ids = append(ids, id)
	}
	h := newHarness(t, fleetSettings(80), endpoints(ids...)...)
	h.runWithLatency(30*time.Second, 200*ms, func(uint32) time.Duration { return 200 * ms })
	slow := h.controller.servers.ordered[6]
	slow.observeLatency(h.controller.env.now, 2)
	h.advance(12 * time.Second) // at its request rate the node sends to each server once in this time
	ratio := h.controller.balancer.cost(slow) / h.controller.balancer.cost(h.controller.servers.ordered[7])
	if ratio < 2 {
		t.Errorf("12 s after a latency ten times as long a server costs %.1f times as much as another", ratio)
	}
	small := newHarness(t, fleetSettings(3), endpoints(ids[:9]...)...)
	small.runWithLatency(30*time.Second, 50*ms, func(uint32) time.Duration { return 200 * ms })
	lifetime := small.controller.traffic.observationLifetime(small.controller.servers.usable)
	if lifetime != minObservationLifetime {
		t.Errorf("observations of servers that respond often count for %.1f s", lifetime)
	}
}

// A server that other nodes report as slow gets nearly no traffic until the report expires or a fast response
// to this node rebuts it. Reports count for at most a third of the servers. An evacuated zone gets no
// traffic while another zone is usable, and all of it where every zone is evacuated.
func TestOutlierReportsAndZoneEvacuations(t *testing.T) {
	newNode := func() *harness {
		h := newHarness(t, testSettings(), endpoints(1, 2, 3, 4, 5, 6)...)
		h.sendsByServer(60)
		return h
	}
	h := newNode()
	h.controller.Handle(h.now, OutlierReport{Server: 1, Reporters: 4, Until: h.now + time.Second})
	if sends := h.sendsByServer(60); sends[1] > 2 {
		t.Errorf("server 1 is reported as slow: sends by server %v", sends)
	}
	h.now += time.Second
	if sends := h.sendsByServer(60); sends[1] == 0 {
		t.Errorf("the report of server 1 has expired: sends by server %v", sends)
	}
	h = newNode()
	for s := range uint32(6) {
		h.controller.Handle(h.now, OutlierReport{Server: s + 1, Until: h.now + time.Minute})
	}
	if sends := h.sendsByServer(60); len(sends) != 3 {
		t.Errorf("all six servers are reported as slow: sends by server %v", sends)
	}
	h = newNode()
	s := h.controller.servers.byID[1]
	h.controller.Handle(h.now, OutlierReport{Server: 1, Until: h.now + time.Minute})
	if s.latencyAt = h.now + 1; h.controller.outliers.reportedSlow(s) {
		t.Error("a response to this node within the usual latency does not rebut an outlier report")
	}
	h = newNode()
	for i, server := range h.controller.servers.ordered {
		server.Zone = map[bool]string{true: "z1", false: "z2"}[i < 3]
	}
	h.controller.Handle(h.now, ZoneEvacuation{Evacuated: map[string]float64{"z2": 1}})
	if sends := h.sendsByServer(60); sends[4]+sends[5]+sends[6] > 0 {
		t.Errorf("z2 is evacuated: sends by server %v", sends)
	}
	h.controller.Handle(h.now, ZoneEvacuation{Evacuated: map[string]float64{"z1": 1, "z2": 1}})
	if sends := h.sendsByServer(60); len(sends) < 5 {
		t.Errorf("all zones are evacuated: sends by server %v", sends)
	}
	h.controller.Handle(h.now, ZoneEvacuation{Evacuated: map[string]float64{"z2": 0.5}})
	if sends := h.sendsByServer(400); sends[4]+sends[5]+sends[6] < 50 || sends[4]+sends[5]+sends[6] > 180 {
		t.Errorf("half of z2's traffic is evacuated: sends by server %v", sends)
	}
}
