package subset

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEmptyList guards against a choice or an error from an empty list.
func TestEmptyList(t *testing.T) {
	set := mustNew(t, Config{})
	require.Empty(t, set.Chosen())
	require.True(t, set.Whole())
	require.Zero(t, set.Len())
	require.Empty(t, replace(t, set, nil))
	require.Empty(t, apply(t, set))
	require.Equal(t, 7.0, set.Sharers(7))
}

// TestOneServer guards against a wrong change when one server is added, repeated, changed and removed.
func TestOneServer(t *testing.T) {
	set := mustNew(t, Config{Node: 3})
	server := Server{ID: "a", Endpoint: "10.0.0.1:80", Zone: "z", Model: "m", Group: 4, Capacity: 2.5, BootMS: 7}
	require.Equal(t, Change{Updated: []Server{server}}, apply(t, set, server))
	require.Equal(t, []Server{server}, set.Chosen())
	require.Empty(t, apply(t, set, server), "the same entry again changes nothing")
	server.Capacity = 3
	require.Equal(t, Change{Updated: []Server{server}}, apply(t, set, server))
	require.Equal(t, Change{Removed: []string{"a"}}, apply(t, set, inState(Removed, server)...))
	require.Zero(t, set.Len())
}

// TestShortListIsUsedWhole guards against a choice from a list that should be used whole. The list has exactly
// MaxServers entries, available and draining, and a zone with draining servers only.
func TestShortListIsUsedWhole(t *testing.T) {
	servers := newServers(1, DefaultMaxServers, evenZoneWeights())
	for i := range servers {
		if servers[i].Zone == "zone-00" || i%9 == 0 {
			servers[i].State = Draining
		}
	}
	set := mustNew(t, Config{Node: 5})
	change := replace(t, set, servers)
	require.ElementsMatch(t, servers, set.Chosen())
	require.Equal(t, set.Chosen(), change.Updated)
	require.Empty(t, change.Removed)
	require.True(t, set.Whole())
	require.Equal(t, 30.0, set.Sharers(30))
}

// TestDeltasCrossWholeListThreshold guards against a wrong choice when deltas make a list longer than
// MaxServers and short enough again. Draining servers that were chosen while the list was used whole stay; a
// new draining server is not chosen.
func TestDeltasCrossWholeListThreshold(t *testing.T) {
	servers := newServers(2, 50, []float64{1, 1})
	servers[0].State = Draining
	extra := newServers(3, 2, []float64{1})
	extra[1].State = Draining
	set := mustNew(t, Config{MaxServers: 50})
	replace(t, set, servers)

	apply(t, set, extra...)
	require.False(t, set.Whole())
	require.Equal(t, 52, set.Len())
	require.Equal(t, 50, set.Available())
	require.Len(t, idsOf(set.Chosen(), Available), 50)
	require.Equal(t, []string{servers[0].ID}, idsOf(set.Chosen(), Draining))

	apply(t, set, inState(Removed, extra...)...)
	require.True(t, set.Whole())
	require.ElementsMatch(t, servers, set.Chosen())

	change := apply(t, set, inState(Available, servers[0], extra[0])...)
	require.False(t, set.Whole())
	require.Len(t, set.Chosen(), 50, "51 are available")
	require.LessOrEqual(t, len(change.Updated)+len(change.Removed), 3)
	require.InDelta(t, 100*50/51.0, set.Sharers(100), 1e-9)
}

// TestRemovalOfUnusedServerMakesListWhole guards against missing that a list is to be used whole after the
// removal of an unused server: then the other draining server is used too.
func TestRemovalOfUnusedServerMakesListWhole(t *testing.T) {
	servers := newServers(3, 51, []float64{1})
	servers[3].State, servers[4].State = Draining, Draining
	set := mustNew(t, Config{MaxServers: 50})
	replace(t, set, servers)
	require.Empty(t, idsOf(set.Chosen(), Draining))
	change := apply(t, set, inState(Removed, servers[3])...)
	require.Equal(t, Change{Updated: servers[4:5]}, change)
	require.True(t, set.Whole())
}

// TestChoiceIgnoresListOrder guards against a choice that depends on the order of the entries or on how they
// are divided into messages, as a restarted node would then choose other servers.
func TestChoiceIgnoresListOrder(t *testing.T) {
	servers := newServers(4, 5000, unevenZoneWeights())
	first := mustNew(t, Config{Node: 17})
	replace(t, first, servers)
	random := rand.New(rand.NewPCG(4, 4))
	shuffled := slices.Clone(servers)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	second := mustNew(t, Config{Node: 17})
	replace(t, second, shuffled)
	third := mustNew(t, Config{Node: 17})
	for part := range slices.Chunk(shuffled, 300) {
		apply(t, third, part...)
	}
	require.Equal(t, first.Chosen(), second.Chosen())
	require.Equal(t, first.Chosen(), third.Chosen())
}

// TestServerReturnsToTheSameNodes guards against another choice after a chosen server is removed and listed
// again, restarted.
func TestServerReturnsToTheSameNodes(t *testing.T) {
	servers := newServers(5, 5000, unevenZoneWeights())
	set := mustNew(t, Config{Node: 8})
	replace(t, set, servers)
	before := set.Chosen()
	removed := before[10]
	change := apply(t, set, inState(Removed, removed)...)
	require.Equal(t, []string{removed.ID}, change.Removed)
	require.Len(t, change.Updated, 1, "the next server takes its place")
	restarted := removed
	restarted.BootMS++
	change = apply(t, set, restarted)
	require.Equal(t, []Server{restarted}, change.Updated)
	require.Len(t, change.Removed, 1)
	before[10] = restarted
	require.Equal(t, before, set.Chosen())
}

// TestAllServersDrainAndReturn guards against an unbounded or empty choice when all servers of a list longer
// than MaxServers drain, and against another choice when they are available again.
func TestAllServersDrainAndReturn(t *testing.T) {
	servers := newServers(6, 1000, unevenZoneWeights())
	set := mustNew(t, Config{})
	replace(t, set, servers)
	before := set.Chosen()
	apply(t, set, inState(Draining, servers...)...)
	require.Zero(t, set.Available())
	require.Zero(t, set.Sharers(10))
	require.Len(t, set.Chosen(), DefaultMaxServers, "chosen servers stay as draining, up to the maximum")
	apply(t, set, servers...)
	require.Equal(t, before, set.Chosen())
}

// TestAllAreUsedIfFewerAvailableThanMax guards against unused available servers in a long list of which fewer
// than MaxServers are available.
func TestAllAreUsedIfFewerAvailableThanMax(t *testing.T) {
	servers := newServers(7, 1000, unevenZoneWeights())
	for i := range servers {
		if i%10 != 0 {
			servers[i].State = Draining
		}
	}
	set := mustNew(t, Config{})
	replace(t, set, servers)
	require.ElementsMatch(t, idsOf(servers, Available), idsOf(set.Chosen(), Available))
	require.Empty(t, idsOf(set.Chosen(), Draining), "this node has never used them")
	require.Equal(t, 30.0, set.Sharers(30), "each node uses each server")
}

// TestRemovalOfUnknownServer guards against a change or an error when a server that is not listed is removed.
func TestRemovalOfUnknownServer(t *testing.T) {
	servers := newServers(8, 1000, unevenZoneWeights())
	set := mustNew(t, Config{})
	replace(t, set, servers)
	before := set.Chosen()
	require.Empty(t, apply(t, set, Server{ID: "unknown", State: Removed}))
	require.Equal(t, before, set.Chosen())
	require.Equal(t, 1000, set.Len())
}

// TestServerMovesToAnotherZone guards against a zone that stays listed when its only two servers move to
// another zone.
func TestServerMovesToAnotherZone(t *testing.T) {
	servers := newServers(9, 300, []float64{149, 1})
	set := mustNew(t, Config{})
	replace(t, set, servers)
	moved := slices.Clone(servers[298:])
	for i := range moved {
		moved[i].Zone = "zone-00"
	}
	apply(t, set, moved...)
	other := mustNew(t, Config{})
	replace(t, other, append(slices.Clone(servers[:298]), moved...))
	require.Equal(t, other.Chosen(), set.Chosen())
	require.Len(t, set.index.zones, 1)
}

// TestCollidingPositions guards against servers that are confused because their positions collide: at one
// position, at the end of the ring, or at the node's own position and the opposite one. They are used in the
// order of their IDs, and each is found and removed by its own ID.
func TestCollidingPositions(t *testing.T) {
	positions := map[string]func(id string) uint64{
		"one":       func(string) uint64 { return 1 << 40 },
		"the end":   func(string) uint64 { return 1<<64 - 1 },
		"the start": func(id string) uint64 { return uint64(id[len(id)-1]&1) << 63 },
	}
	for name, hash := range positions {
		t.Run(name, func(t *testing.T) {
			set, err := newSet(Config{MaxServers: 3, MinPerZone: NoZoneMinimum}, ordering{hash: hash, less: lessOnRing})
			require.NoError(t, err)
			servers := []Server{{ID: "e"}, {ID: "c"}, {ID: "a"}, {ID: "d"}, {ID: "b"}, {ID: "f"}}
			replace(t, set, servers)
			require.Equal(t, 6, set.Len())
			want := []string{"a", "b", "c"}
			if name == "the start" {
				want = []string{"b", "d", "f"}
			}
			require.Equal(t, want, idsOf(set.Chosen(), Available))
			change := apply(t, set, Server{ID: want[1], State: Removed})
			require.Equal(t, []string{want[1]}, change.Removed)
			require.Len(t, change.Updated, 1)
			require.Equal(t, 5, set.Len())
		})
	}
}
