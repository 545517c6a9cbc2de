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

// explore runs every sequence of steps that deviates from the normal order at most the given number of times. It
// returns the number of states explored and the first violation found, "" if there is none. A deviation is a fault, or
// a normal step that is not the first one possible. seen holds, by the hash of a state, the number of deviations that
// were left when it was explored; it is explored again only if more are left.
func explore(c *cluster, deviations int, seen map[uint64]int) (states int, violation string) {
	for {
		h := c.hash()
		if left, ok := seen[h]; ok && left >= deviations {
			return states, ""
		}
		seen[h] = deviations
		states++
		if violation := c.violation(); violation != "" {
			return states, violation
		}
		steps := c.steps()
		normal := slices.IndexFunc(steps, func(s step) bool { return s.normal })
		for i, step := range steps {
			if i == normal || deviations == 0 {
				continue
			}
			next := c.clone()
			step.do(next)
			n, violation := explore(next, deviations-1, seen)
			if states += n; violation != "" {
				return states, violation
			}
		}
		if normal < 0 {
			return states, ""
		}
		steps[normal].do(c)
	}
}

// newCluster returns a cluster in which version 1 is in effect at all nodes and the activation of version 2 is
// scheduled.
func newCluster(t require.TestingT, bug injectedBug, kind ActivationKind, grantors [3][]int, rate [3]time.Duration) *cluster {
	c := &cluster{bug: bug, rate: rate, grantors: grantors, tick: -10, lastTick: 6}
	for i := range c.nodes {
		c.restart(i, 0)
	}
	apply := func(command Command) {
		_, err := c.registry.ApplyCommand(command)
		require.NoError(t, err)
	}
	apply(Command{Publish: &Publish{Text: []byte("# 1")}})
	apply(Command{Activate: &Activate{Number: 1, Kind: kind}})
	apply(Command{Prepare: &Prepare{Number: 1}})
	apply(Command{Commit: &Commit{Number: 1, Revision: 1}})
	c.elect(0)
	c.nodes[0].grantor.unknownLeasesUntil, c.nodes[0].grantor.previousLeasesUntil = 0, 0 // former leases have expired
	for ; c.tick <= 0; c.tick++ {                                                        // until version 1 is in effect
		for i := range c.nodes {
			c.runNode(i)
		}
		c.confirmedRound[0] = c.begunRound[0]
		c.nodes[0].LeadershipConfirmed(c.clock(0), c.confirmedRound[0])
		c.runNode(0)
		for len(c.packets) > 0 {
			p := c.packets[0]
			c.packets = c.packets[1:]
			c.deliver(p)
			c.confirmedRound[0] = c.begunRound[0]
			c.nodes[0].LeadershipConfirmed(c.clock(0), c.confirmedRound[0])
			c.runNode(0)
		}
	}
	c.tick = 0
	for i, n := range c.nodes {
		number, _, reason := n.EffectiveVersion(c.clock(i))
		require.EqualValues(t, 1, number, "node %d: %v", i, reason)
	}
	apply(Command{Publish: &Publish{Parent: 1, Text: []byte("# 2")}})
	apply(Command{Activate: &Activate{Number: 2, Kind: kind}})
	return c
}

// Grantors by node.
var (
	direct  = [3][]int{nil, {0}, {0, 1}} // both other nodes prefer the leader
	chained = [3][]int{nil, {0}, {1}}    // node 2 requests from node 1 as its relay
)

// The test explores one activation in a cluster of three nodes, in every interleaving with a bounded number of
// deviations from the normal order: reordered, lost and duplicated messages, paused processes, an election, a restart
// with the current or an older disk, a cancellation, cut links from tick 2 on, and clocks that differ as much as is
// allowed. No run may violate the guarantees. With an injected bug, the exploration has to find a violation.
func TestActivationIsSafeInEveryInterleaving(t *testing.T) {
	noLink := func(int, int) bool { return false }
	node2 := func(from, to int) bool { return from == 2 || to == 2 }
	leaderToNode1 := func(from, to int) bool { return from == 0 && to == 1 }
	fastLeader, slowLeader := [3]time.Duration{2, 1, 1}, [3]time.Duration{1, 2, 1}
	for _, tt := range []struct {
		bug        injectedBug
		kind       ActivationKind
		isCut      func(from, to int) bool
		grantors   [3][]int
		rate       [3]time.Duration
		deviations int
	}{
		{noBug, Exclusive, noLink, direct, fastLeader, 2},
		{noBug, Exclusive, node2, chained, slowLeader, 2},
		{noBug, Overlap, noLink, direct, slowLeader, 2},
		{noBug, Overlap, leaderToNode1, chained, fastLeader, 2},
		{leaseFromGrantArrival, Exclusive, node2, direct, fastLeader, 2},
		{earlyCommit, Exclusive, noLink, direct, fastLeader, 1},
		{noDriftMargin, Exclusive, node2, direct, fastLeader, 1},
		{deposedLeaderGrants, Exclusive, noLink, direct, fastLeader, 1},
		{formerLeasesIgnored, Exclusive, noLink, direct, fastLeader, 1},
		{olderVersionAfterRestart, Overlap, leaderToNode1, direct, fastLeader, 2},
		{ackForFormerIncarnation, Exclusive, noLink, chained, fastLeader, 1},
	} {
		t.Run(fmt.Sprint(tt.bug, " ", tt.kind), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, tt.bug, tt.kind, tt.grantors, tt.rate)
			c.isCut, c.grantors = tt.isCut, chained // a restarted node 2 requests from node 1
			c.duplicationsLeft, c.electionsLeft, c.crashesLeft, c.cancellationsLeft = 1, 1, 1, 1
			states, violation := explore(c, tt.deviations, map[uint64]int{})
			t.Logf("%d states, %s", states, violation)
			assert.Equal(t, tt.bug == noBug, violation == "", "violation %q after %d states", violation, states)
		})
	}
}

// The test runs long random sequences of activations of both kinds with many faults. None may violate the guarantees.
func TestActivationsAreSafeInRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]ActivationKind{Overlap, Exclusive})
		rates := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(1, 2).Draw(t, "ms")) })
		c := newCluster(t, noBug, kind.Draw(t, "kind"), rapid.SampledFrom([][3][]int{direct, chained}).Draw(t, "grantors"),
			[3]time.Duration{rates.Draw(t, "rate"), rates.Draw(t, "rate"), rates.Draw(t, "rate")})
		c.isCut = func(from, to int) bool { return false }
		c.duplicationsLeft, c.electionsLeft, c.crashesLeft, c.cancellationsLeft, c.lastTick = 20, 4, 6, 4, 1000
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 400 {
			if _, _, ok := c.registry.NextActivation(); !ok && !c.registry.state.Prepared {
				n := c.registry.Newest()
				_, _ = c.registry.ApplyCommand(Command{Publish: &Publish{Parent: n, Text: fmt.Append(nil, "# ", n)}})
				_, _ = c.registry.ApplyCommand(Command{Activate: &Activate{Number: n + 1, Kind: kind.Draw(t, "kind")}})
			}
			steps := c.steps()
			next := slices.IndexFunc(steps, func(s step) bool { return s.normal })
			if rng.IntN(3) > 0 {
				next = rng.IntN(len(steps))
			}
			steps[next].do(c)
			if violation := c.violation(); violation != "" {
				t.Fatalf("%s at tick %d", violation, int(c.tick))
			}
		}
	})
}

// A retransmitted request must not replace the pending one that a confirmation round is about to answer. Otherwise no
// node would ever get a lease over links whose round trip is longer than RetryInterval.
func TestRepeatedRequestDoesNotDelayItsGrant(t *testing.T) {
	n := NewNode(Config{Node: 0, Incarnation: 1, LeaseParams: DefaultLeaseParams}, 0)
	n.Observe(0, VersionState{Revision: 2, Active: VersionID{Number: 1}})
	n.BecomeLeader(0)
	request := func(at time.Duration, sequence uint32) {
		n.Receive(at, &Message{Sender: 1, Incarnation: 2, Request: &LeaseRequest{Sequence: sequence, Revision: 2, Fresh: true}})
	}
	request(time.Millisecond, 1)
	round, ok := n.BeginConfirmation()
	require.True(t, ok)
	request(100*time.Millisecond, 2)
	n.LeadershipConfirmed(150*time.Millisecond, round)
	for _, o := range n.Flush(150 * time.Millisecond) {
		if o.To == 1 && o.Message.Grant != nil {
			assert.EqualValues(t, 1, o.Message.Grant.Sequence)
			return
		}
	}
	t.Fatal("the request was not answered by a grant")
}
