package control

import (
	"math"
	"slices"
	"testing"
)

// countServers counts the servers that satisfy a condition, one by one.
func countServers(set *serverSet, condition func(*server) bool) float64 {
	n := 0.0
	for _, s := range set.ordered {
		if condition(s) {
			n++
		}
	}
	return n
}

// checkKeptSums compares what the server set keeps as states change with loops over all servers.
func checkKeptSums(run *randomRun) {
	run.t.Helper()
	c := run.controller
	set := &c.servers
	usableWarmingUp := func(s *server) bool { return s.usable() && s.warmingUp }
	usableWarm := func(s *server) bool { return s.usable() && !s.warmingUp }
	avoided := func(s *server) bool {
		ejected := s.consecutiveFailures >= ejectionFailures && run.now < s.ejectedUntil
		return s.usable() && (s.trialInFlight || ejected || run.now < s.reportedUntil)
	}
	for _, sum := range []struct {
		name       string
		kept, want float64
	}{
		{"usable servers", set.usable, countServers(set, (*server).usable)},
		{"warm servers", set.warm(), countServers(set, usableWarm)},
		{"servers that are warming up", float64(len(set.warmingUp())), countServers(set, usableWarmingUp)},
		{"unlisted servers", float64(len(set.unlisted)), countServers(set, func(s *server) bool { return !s.listed })},
		{"avoided servers", float64(c.AvoidedServers(run.now)), countServers(set, avoided)},
		{"minimum of the bound", c.concurrency.minBound(), loopedMinBound(&c.concurrency)},
		{"servers by ID", float64(len(set.byID)), float64(len(set.ordered))},
	} {
		if math.Abs(sum.kept-sum.want) > 1e-6*max(1, sum.want) {
			run.t.Fatalf("%s: %g are kept, a loop finds %g", sum.name, sum.kept, sum.want)
		}
	}
	checkIndex(run)
}

// loopedMinBound is concurrencyLimit.minBound with a loop over all servers.
func loopedMinBound(l *concurrencyLimit) float64 {
	servers := 0.0
	for _, s := range l.servers.ordered {
		switch {
		case !s.usable() || s.consecutiveFailures >= ejectionFailures:
		case s.warmingUp && l.env.largeFleet():
			servers += l.slowStart.warmupFraction(s)
		default:
			servers++
		}
	}
	return min(boundPerServer, minFleetBoundPerServer/l.servers.nodesPerServer) * max(1, servers)
}

// checkIndex checks that each usable server, and no other, stands once in each of its groups by its role, and
// that each is preferred as the list wants it.
func checkIndex(run *randomRun) {
	run.t.Helper()
	set := &run.controller.servers
	indexed := 0
	for _, s := range set.ordered {
		if s.index.indexed != s.usable() {
			run.t.Fatalf("server %d: indexed is %v, usable is %v", s.Server, s.index.indexed, s.usable())
		}
		if s.preferred != set.isPreferred(s) {
			run.t.Fatalf("server %d: preferred is %v, the list wants %v", s.Server, s.preferred, set.isPreferred(s))
		}
		if !s.usable() {
			continue
		}
		indexed++
		for _, group := range []*serverGroup{&set.index.all, set.index.byZone[s.Zone], set.index.byCell[s.Cell]} {
			if !slices.Contains(group.servers[s.role()], s) {
				run.t.Fatalf("server %d is not in a group by its role %d", s.Server, s.role())
			}
		}
	}
	inZones, inCells := 0, 0
	for _, group := range set.index.byZone {
		inZones += group.len()
	}
	for _, group := range set.index.byCell {
		inCells += group.len()
	}
	if all := set.index.all.len(); all != indexed || inZones != indexed || inCells != indexed {
		run.t.Fatalf("%d usable servers, %d in the index, %d in zones, %d in cells", indexed, all, inZones, inCells)
	}
	if !slices.IsSortedFunc(set.ordered, func(a, b *server) int { return int(a.Server) - int(b.Server) }) {
		run.t.Fatal("the servers are not in the order of their numbers")
	}
}

// Guards against a kept sum or an index that departs from the servers' states in some order of events.
func TestKeptSumsMatchLoopsOverAllServers(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		runRandomEventsWith(t, 8, checkKeptSums, seed, 800)
	}
}

// On a list so long that a choice examines a sample, no sequence of events breaks the checks of randomRun, and
// the kept sums match.
func TestRandomEventsOnALongListBreakNoInvariant(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		steps := 0
		runRandomEventsWith(t, 900, func(run *randomRun) {
			if steps++; steps%50 == 0 {
				checkKeptSums(run)
			}
		}, seed, 1200)
	}
}
