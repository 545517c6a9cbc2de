package control

import (
	"fmt"
	"testing"
	"time"
)

func TestDispatchSlotsFollowShares(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2)...)
	h.controller.scheduler.plans[0].share, h.controller.scheduler.plans[1].share = 0.25, 0.75
	for i := 0; i < 80; i++ {
		h.request(fmt.Sprint("l", i), "job", "low", "a")
		h.request(fmt.Sprint("h", i), "job", "high", "b")
	}
	for i := 0; i < 80; i++ { // the in-flight bound is always reached
		h.endAttempt(h.sends[i].ID, OK, 0)
	}
	high := 0
	for _, s := range h.sends[4:84] {
		if s.ID[0] == 'h' {
			high++
		}
	}
	if high < 57 || high > 63 {
		t.Errorf("%d of 80 dispatch slots went to the plan with a share of 0.75", high)
	}
}

func TestEmptyQueueYieldsItsDispatchSlot(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2)...)
	h.controller.scheduler.plans[0].share, h.controller.scheduler.plans[1].share = 0, 1
	h.request("a", "job", "low", "x")
	if len(h.sends) != 1 {
		t.Errorf("%d attempts for the only request, of a plan with a share of zero", len(h.sends))
	}
}

// The in-flight bound starts at two attempts for each server. Overload halves it at most once in each control
// interval, down to its minimum.
func TestBoundStartsAtTwiceTheServersAndHalvesOncePerInterval(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2, 3)...)
	for i := 0; i < 20; i++ {
		h.request(fmt.Sprint(i), "job", "low", "x")
	}
	if len(h.sends) != 6 {
		t.Fatalf("%d attempts in flight with three servers at the start", len(h.sends))
	}
	h.controller.concurrency.bound = 40
	for i := 0; i < 10; i++ {
		h.controller.interval.overloads, h.controller.interval.responses = 5, 5
		before := h.controller.concurrency.bound
		h.controller.endInterval(1)
		if h.controller.concurrency.bound < before/2 {
			t.Errorf("the in-flight bound fell from %g to %g in one interval",
				before, h.controller.concurrency.bound)
		}
	}
	if h.controller.concurrency.bound != 6 {
		t.Errorf("the in-flight bound fell to %g, not 6: two nodes share four attempts for each server",
			h.controller.concurrency.bound)
	}
}

// Guards against a few long requests that keep the in-flight bound at its minimum.
func TestSingleTimeoutDoesNotCutBound(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2)...)
	h.controller.concurrency.bound = 40
	h.controller.interval.overloads = 1
	h.controller.interval.responses = 99
	h.controller.endInterval(1)
	if h.controller.concurrency.bound < 40 {
		t.Errorf("in-flight bound %g after one timeout in a hundred outcomes", h.controller.concurrency.bound)
	}
	h.controller.interval.overloads, h.controller.interval.responses = 30, 70
	h.controller.endInterval(1)
	if h.controller.concurrency.bound != 20 {
		t.Errorf("in-flight bound %g after thirty timeouts in a hundred outcomes",
			h.controller.concurrency.bound)
	}
}

// Guards against many nodes that overload the servers by their minimum bounds alone.
func TestMinBoundsOfLargeFleetAreShared(t *testing.T) {
	s := testSettings()
	s.FleetSize = 16
	h := newHarness(t, s, endpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
	for i := 0; i < 50; i++ {
		h.request(fmt.Sprint(i), "job", "low", "x")
	}
	if perServer := float64(16*len(h.sends)) / 8; perServer > 8 {
		t.Errorf("a fleet of 16 nodes starts with %g attempts in flight for each server", perServer)
	}
}

// However often the in-flight bound is cut, a fleet of usual size keeps all cores of its servers busy. Each
// server has three.
func TestMinBoundKeepsAllCoresBusy(t *testing.T) {
	for _, nodes := range []int{3, 4} {
		s := testSettings()
		s.FleetSize = nodes
		h := newHarness(t, s, endpoints(1, 2, 3, 4, 5, 6, 7, 8, 9)...)
		for range 10 {
			h.controller.interval.overloads, h.controller.interval.responses = 5, 5
			h.controller.endInterval(1)
		}
		if perServer := h.controller.concurrency.bound * float64(nodes) / 9; perServer < 3 {
			t.Errorf("%d nodes keep %.1f attempts in flight for a server of three cores", nodes, perServer)
		}
	}
}

// requireFewDiscoveryCalls checks that the controller requested no health check, and the endpoint list at
// most once.
func (h *harness) requireFewDiscoveryCalls(deployment string) {
	h.t.Helper()
	calls := 0
	for _, a := range h.actions {
		switch a.(type) {
		case HealthCheck:
			h.t.Fatalf("%s: a health check", deployment)
		case Watch, FetchList:
			calls++
		}
	}
	if calls > 1 {
		h.t.Fatalf("%s: the endpoint list is requested %d times in a second", deployment, calls)
	}
}

// At the start the attempts in flight of all nodes together, and so the connections that they open at that
// moment, are bounded by the number of servers and not by that of nodes, except for one attempt each. No node
// checks servers or requests the endpoint list beyond its watch.
func TestFleetLoadAtStartIsBounded(t *testing.T) {
	for _, nodes := range []int{1, 3, 20, 80, 300} {
		for _, servers := range []int{1, 10, 60, 200} {
			var ids []uint32
			for id := uint32(1); id <= uint32(servers); id++ {
				ids = append(ids, id)
			}
			inFlight := 0
			for i := 0; i < nodes; i++ {
				s := fleetSettings(nodes)
				s.NodeIndex, s.HealthChecks, s.PollDiscovery = i, true, true
				h := newHarnessWithSeed(t, s, uint64(i), endpoints(ids...)...)
				for j := 0; j < 2*int(initialFleetBoundPerServer)*servers/nodes+10; j++ {
					h.request(fmt.Sprint(j), "job", "low", fmt.Sprint(j))
				}
				inFlight += len(h.sends)
				h.advance(time.Second)
				h.requireFewDiscoveryCalls(fmt.Sprintf("%d nodes, %d servers", nodes, servers))
			}
			if limit := int(initialFleetBoundPerServer)*servers + nodes; inFlight > limit || inFlight == 0 {
				t.Errorf("%d nodes, %d servers: %d attempts in flight at the start, limit %d",
					nodes, servers, inFlight, limit)
			}
		}
	}
}
