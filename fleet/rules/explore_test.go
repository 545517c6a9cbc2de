package rules

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// explore plays every run that departs from the calm order so often at most, each state with as many
// departures left once. A step out of turn is one departure, as is a fault; what is calm goes on after.
func explore(w *cluster, departures int, seen map[uint64]int) (states int, wrong string) {
	for {
		h := w.hash()
		if left, ok := seen[h]; ok && left >= departures {
			return states, ""
		}
		seen[h] = departures
		states++
		if wrong := w.violation(); wrong != "" {
			return states, wrong
		}
		steps := w.steps()
		calm := slices.IndexFunc(steps, func(s step) bool { return s.normal })
		for i, step := range steps {
			if i == calm || departures == 0 {
				continue
			}
			next := w.clone()
			step.do(next)
			n, wrong := explore(next, departures-1, seen)
			if states += n; wrong != "" {
				return states, wrong
			}
		}
		if calm < 0 {
			return states, ""
		}
		steps[calm].do(w)
	}
}

// newCluster gives a world in which all act by version 1 and version 2 is awaited.
func newCluster(t require.TestingT, p injectedBug, kind ActivationKind, parents [3][]int, rate [3]time.Duration) *cluster {
	w := &cluster{bug: p, rate: rate, grantors: parents, tick: -10, lastTick: 6}
	for i := range w.nodes {
		w.restart(i, 0)
	}
	do := func(c Command) {
		_, err := w.registry.ApplyCommand(c)
		require.NoError(t, err)
	}
	do(Command{Publish: &Publish{Text: []byte("# 1")}})
	do(Command{Activate: &Activate{Number: 1, Kind: kind}})
	do(Command{Prepare: &Prepare{Number: 1}})
	do(Command{Commit: &Commit{Number: 1, Revision: 1}})
	w.elect(0)
	w.nodes[0].grantor.unknownLeasesUntil, w.nodes[0].grantor.previousLeasesUntil = 0, 0 // it was long ago
	for ; w.tick <= 0; w.tick++ {                                                        // until all act by it
		for i := range w.nodes {
			w.runNode(i)
		}
		w.confirmedRound[0] = w.begunRound[0]
		w.nodes[0].LeadershipConfirmed(w.clock(0), w.confirmedRound[0])
		w.runNode(0)
		for len(w.packets) > 0 {
			f := w.packets[0]
			w.packets = w.packets[1:]
			w.deliver(f)
			w.confirmedRound[0] = w.begunRound[0]
			w.nodes[0].LeadershipConfirmed(w.clock(0), w.confirmedRound[0])
			w.runNode(0)
		}
	}
	w.tick = 0
	for i, n := range w.nodes {
		number, _, why := n.EffectiveVersion(w.clock(i))
		require.EqualValues(t, 1, number, "node %d: %v", i, why)
	}
	do(Command{Publish: &Publish{Parent: 1, Text: []byte("# 2")}})
	do(Command{Activate: &Activate{Number: 2, Kind: kind}})
	return w
}

var (
	direct  = [3][]int{nil, {0}, {0, 1}}
	chained = [3][]int{nil, {0}, {1}} // the third asks the second
)

// An activation by three nodes, in every run with so many departures from the calm order at most:
// deliveries in any order, losses, doublings, pauses, an election, crashes with restarts from this disk
// or an older one, a cancellation, with links cut from the second tick on and clocks as far apart as
// may be. None is wrong; each bug that is planted is found.
func TestActivationIsSafeInEveryInterleaving(t *testing.T) {
	none := func(int, int) bool { return false }
	third := func(from, to int) bool { return from == 2 || to == 2 }
	second := func(from, to int) bool { return from == 0 && to == 1 }
	fast, slow := [3]time.Duration{2, 1, 1}, [3]time.Duration{1, 2, 1}
	for _, c := range []struct {
		plant      injectedBug
		kind       ActivationKind
		cut        func(from, to int) bool
		parents    [3][]int
		rate       [3]time.Duration
		departures int
	}{
		{noBug, Exclusive, none, direct, fast, 2},
		{noBug, Exclusive, third, chained, slow, 2},
		{noBug, Overlap, none, direct, slow, 2},
		{noBug, Overlap, second, chained, fast, 2},
		{leaseFromGrantArrival, Exclusive, third, direct, fast, 2},
		{earlyCommit, Exclusive, none, direct, fast, 1},
		{noDriftMargin, Exclusive, third, direct, fast, 1},
		{deposedLeaderGrants, Exclusive, none, direct, fast, 1},
		{formerLeasesIgnored, Exclusive, none, direct, fast, 1},
		{olderVersionAfterRestart, Overlap, second, direct, fast, 2},
		{ackForFormerIncarnation, Exclusive, none, chained, fast, 1},
	} {
		t.Run(fmt.Sprint(c.plant, " ", c.kind), func(t *testing.T) {
			t.Parallel()
			w := newCluster(t, c.plant, c.kind, c.parents, c.rate)
			w.isCut, w.grantors = c.cut, chained // a process that is started again asks so
			w.duplicationsLeft, w.electionsLeft, w.crashesLeft, w.cancellationsLeft = 1, 1, 1, 1
			states, wrong := explore(w, c.departures, map[uint64]int{})
			t.Logf("%d states, %s", states, wrong)
			assert.Equal(t, c.plant == noBug, wrong == "", "%s in %d states", wrong, states)
		})
	}
}

// Long runs of many versions, of both kinds, with any number of faults: none is wrong.
func TestActivationsAreSafeInRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]ActivationKind{Overlap, Exclusive})
		rates := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(1, 2).Draw(t, "ms")) })
		w := newCluster(t, noBug, kind.Draw(t, "kind"), rapid.SampledFrom([][3][]int{direct, chained}).Draw(t, "parents"),
			[3]time.Duration{rates.Draw(t, "rate"), rates.Draw(t, "rate"), rates.Draw(t, "rate")})
		w.isCut = func(from, to int) bool { return false }
		w.duplicationsLeft, w.electionsLeft, w.crashesLeft, w.cancellationsLeft, w.lastTick = 20, 4, 6, 4, 1000
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 400 {
			if _, _, ok := w.registry.NextActivation(); !ok && !w.registry.state.Prepared {
				n := w.registry.Newest()
				_, _ = w.registry.ApplyCommand(Command{Publish: &Publish{Parent: n, Text: fmt.Append(nil, "# ", n)}})
				_, _ = w.registry.ApplyCommand(Command{Activate: &Activate{Number: n + 1, Kind: kind.Draw(t, "kind")}})
			}
			steps := w.steps()
			calm := slices.IndexFunc(steps, func(s step) bool { return s.normal })
			if rng.IntN(3) > 0 {
				calm = rng.IntN(len(steps))
			}
			steps[calm].do(w)
			if wrong := w.violation(); wrong != "" {
				t.Fatalf("%s at tick %d", wrong, int(w.tick))
			}
		}
	})
}

// An ask that comes again while the first is being confirmed does not set that back: over links whose
// round is longer than the time to try again nobody would ever get a lease.
func TestRepeatedRequestDoesNotDelayItsGrant(t *testing.T) {
	n := NewNode(Config{Node: 0, Incarnation: 1, LeaseParams: DefaultLeaseParams}, 0)
	n.Observe(0, VersionState{Revision: 2, Active: VersionID{Number: 1}})
	n.BecomeLeader(0)
	ask := func(at time.Duration, seq uint32) {
		n.Receive(at, &Message{Sender: 1, Incarnation: 2, Request: &LeaseRequest{Sequence: seq, Revision: 2, Fresh: true}})
	}
	ask(time.Millisecond, 1)
	round, ok := n.BeginConfirmation()
	require.True(t, ok)
	ask(100*time.Millisecond, 2)
	n.LeadershipConfirmed(150*time.Millisecond, round)
	for _, o := range n.Flush(150 * time.Millisecond) {
		if o.To == 1 && o.Message.Grant != nil {
			assert.EqualValues(t, 1, o.Message.Grant.Sequence)
			return
		}
	}
	t.Fatal("no grant")
}
