package control

import (
	"fmt"
	"testing"
	"time"
)

func TestTurnsFollowShares(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2)...)
	g.controller.scheduler.plans[0].share, g.controller.scheduler.plans[1].share = 0.25, 0.75
	for i := 0; i < 80; i++ {
		g.request(fmt.Sprint("l", i), "job", "low", "a")
		g.request(fmt.Sprint("h", i), "job", "high", "b")
	}
	for i := 0; i < 80; i++ { // keep the bound full
		g.endAttempt(g.sends[i].ID, OK, 0)
	}
	high := 0
	for _, s := range g.sends[4:84] {
		if s.ID[0] == 'h' {
			high++
		}
	}
	if high < 57 || high > 63 {
		t.Errorf("%d of 80 turns went to the plan with three quarters of the share", high)
	}
}

func TestAnEmptyQueuePassesItsTurn(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2)...)
	g.controller.scheduler.plans[0].share, g.controller.scheduler.plans[1].share = 0, 1
	g.request("a", "job", "low", "x")
	if len(g.sends) != 1 {
		t.Errorf("%d sends for the only request", len(g.sends))
	}
}

func TestBoundStartsAtTwiceTheServersAndHalvesOnce(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2, 3)...)
	for i := 0; i < 20; i++ {
		g.request(fmt.Sprint(i), "job", "low", "x")
	}
	if len(g.sends) != 6 {
		t.Fatalf("%d in flight with three servers at start", len(g.sends))
	}
	g.controller.concurrency.bound = 40
	for i := 0; i < 10; i++ { // time-outs and refusals, many in each interval
		g.controller.interval.overloads, g.controller.interval.responses = 5, 5
		before := g.controller.concurrency.bound
		g.controller.endInterval(1)
		if g.controller.concurrency.bound < before/2 {
			t.Errorf("the bound went from %g to %g in one interval", before, g.controller.concurrency.bound)
		}
	}
	if g.controller.concurrency.bound != 6 {
		t.Errorf("the bound fell to %g, the part of two gateways of four a server is 6", g.controller.concurrency.bound)
	}
}

// Guards against a few long requests that pin the bound to its floor.
func TestOneTimeOutDoesNotCutTheBound(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2)...)
	g.controller.concurrency.bound, g.controller.interval.overloads, g.controller.interval.responses = 40, 1, 99
	g.controller.endInterval(1)
	if g.controller.concurrency.bound < 40 {
		t.Errorf("bound %g after one time-out in a hundred answers", g.controller.concurrency.bound)
	}
	g.controller.interval.overloads, g.controller.interval.responses = 30, 70
	g.controller.endInterval(1)
	if g.controller.concurrency.bound != 20 {
		t.Errorf("bound %g after thirty in a hundred", g.controller.concurrency.bound)
	}
}

// Guards against many nodes that jam the fleet by their floors alone.
func TestFloorsOfALargeGroupAreShared(t *testing.T) {
	s := testSettings()
	s.FleetSize = 16
	g := newHarness(t, s, endpoints(1, 2, 3, 4, 5, 6, 7, 8)...)
	for i := 0; i < 50; i++ {
		g.request(fmt.Sprint(i), "job", "low", "x")
	}
	if per := float64(16*len(g.sends)) / 8; per > 8 {
		t.Errorf("a group of 16 starts with %g requests in each server", per)
	}
}

// However often the bound is cut, a group of the usual size keeps the cores of its servers busy:
// each has three.
func TestFloorKeepsAllCoresBusy(t *testing.T) {
	for _, group := range []int{3, 4} {
		s := testSettings()
		s.FleetSize = group
		g := newHarness(t, s, endpoints(1, 2, 3, 4, 5, 6, 7, 8, 9)...)
		for range 10 {
			g.controller.interval.overloads, g.controller.interval.responses = 5, 5
			g.controller.endInterval(1)
		}
		if per := g.controller.concurrency.bound * float64(group) / 9; per < 3 {
			t.Errorf("%d gateways keep %.1f requests in a server of three cores", group, per)
		}
	}
}

// requireFewDiscoveryCalls checks that the controller asked for no health check and at most once for the endpoint list.
func (g *harness) requireFewDiscoveryCalls(deployment string) {
	g.t.Helper()
	asked := 0
	for _, a := range g.actions {
		switch a.(type) {
		case HealthCheck:
			g.t.Fatalf("%s: a probe", deployment)
		case Watch, FetchList:
			asked++
		}
	}
	if asked > 1 {
		g.t.Fatalf("%s: the list is asked for %d times in a second", deployment, asked)
	}
}

// What all nodes together have in flight at the start, and so the connections that they can open
// at that moment, is bounded by the servers and not by the size of the group, but for one request
// each; nobody probes or asks for lists beyond its watch.
func TestSumOfSendsAtTheStart(t *testing.T) {
	for _, group := range []int{1, 3, 20, 80, 300} {
		for _, servers := range []int{1, 10, 60, 200} {
			var ids []uint32
			for id := uint32(1); id <= uint32(servers); id++ {
				ids = append(ids, id)
			}
			sum := 0
			for i := 0; i < group; i++ {
				s := fleetSettings(group)
				s.NodeIndex, s.HealthChecks, s.PollDiscovery = i, true, true
				g := newHarnessWithSeed(t, s, uint64(i), endpoints(ids...)...)
				for j := 0; j < 2*int(initialFleetBoundPerServer)*servers/group+10; j++ {
					g.request(fmt.Sprint(j), "job", "low", fmt.Sprint(j))
				}
				sum += len(g.sends)
				g.advance(time.Second)
				g.requireFewDiscoveryCalls(fmt.Sprintf("%d gateways, %d servers", group, servers))
			}
			if most := int(initialFleetBoundPerServer)*servers + group; sum > most || sum == 0 {
				t.Errorf("%d gateways, %d servers: %d in flight at the start, at most %d", group, servers, sum, most)
			}
		}
	}
}
