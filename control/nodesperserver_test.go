package control

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// replay hands recorded events to a new controller, with a count of sharers in each list, and gives its
// actions.
func replay(t *testing.T, s Settings, seed uint64, events []handledEvent, sharers float64) (actions []string) {
	t.Helper()
	c, err := New(s, seed)
	require.NoError(t, err)
	for _, x := range events {
		if l, ok := x.event.(EndpointUpdate); ok {
			l.NodesPerServer = sharers
			x.event = l
		}
		for _, a := range c.Handle(x.at, x.event) {
			actions = append(actions, fmt.Sprintf("%v %T%+v", x.at, a, a))
		}
	}
	return actions
}

// A list that tells no sharers is one whose servers the whole group shares: the same events have the same
// actions. With fewer sharers they have others, where a group is of many.
func TestNoSharersIsTheWholeGroup(t *testing.T) {
	differ := 0
	for seed := uint64(1); seed <= 20; seed++ {
		w := runRandomEvents(t, seed, 2500)
		none := replay(t, w.settings, seed, w.events, 0)
		all := replay(t, w.settings, seed, w.events, float64(w.settings.FleetSize))
		require.Equal(t, none, all, "seed %d, a group of %d", seed, w.settings.FleetSize)
		if !reflect.DeepEqual(none, replay(t, w.settings, seed, w.events, 1.5)) {
			differ++
		}
	}
	require.Positive(t, differ, "sharers change nothing")
}

// A patch of the list tells sharers anew; what can't be a count is the whole group.
func TestSharersAreOfTheLatestList(t *testing.T) {
	c, err := New(fleetSettings(5800), 1)
	require.NoError(t, err)
	require.Equal(t, 5800.0, c.servers.nodesPerServer)
	now := time.Hour
	for _, x := range []struct{ told, want float64 }{{13.6, 13.6}, {20, 20}, {0, 5800}, {-1, 5800}} {
		c.Handle(now, EndpointUpdate{Kind: Delta, Endpoints: endpoints(1), NodesPerServer: x.told})
		require.Equal(t, x.want, c.servers.nodesPerServer)
	}
}

// initialBoundAndFloor gives the first bound and the floor of a node among 200 servers.
func initialBoundAndFloor(t *testing.T, group int, sharers float64) (first, floor float64) {
	t.Helper()
	var ids []uint32
	for id := uint32(1); id <= 200; id++ {
		ids = append(ids, id)
	}
	c, err := New(fleetSettings(group), 1)
	require.NoError(t, err)
	c.Handle(time.Hour, EndpointUpdate{Kind: Cached, Endpoints: endpoints(ids...), NodesPerServer: sharers})
	return c.concurrency.bound, c.concurrency.minBound()
}

// A node of 5,800 with 200 servers that each 13.6 of them share has the bounds of a fleet with 13.6
// nodes to a server; by its group alone it could keep none of its servers at work.
func TestBoundsOfAGatewayWithAPartOfTheServers(t *testing.T) {
	first, floor := initialBoundAndFloor(t, 5800, 13.6)
	assert.InDelta(t, 200*initialFleetBoundPerServer/13.6, first, 1e-9)
	assert.InDelta(t, 200*minFleetBoundPerServer/13.6, floor, 1e-9)
	asMany, asFloor := initialBoundAndFloor(t, 14, 0)
	assert.InEpsilon(t, asMany, first, 0.05)
	assert.InEpsilon(t, asFloor, floor, 0.05)
	strangled, _ := initialBoundAndFloor(t, 5800, 0)
	assert.Less(t, strangled, 1.0)
}

// The nodes that share a server that is warming up stay within its formula together, also where there are
// a quarter more of them than the list tells, and use the room: by the count of the whole group they
// would leave nearly all of it. A group of as many as the sharers does the same.
func TestSharersStayWithinTheColdFormula(t *testing.T) {
	s := fleetSettings(5800)
	for _, from := range []float64{0.1, 0.3, 0.9} {
		for seed := uint64(1); seed <= 3; seed++ {
			for _, gateways := range []int{11, 14, 17} {
				worst, mean := runWarmupSumWithSettings(t, s, gateways, 13.6, 200, from, 0.7, seed)
				assert.Less(t, worst, 1.0, "%d sharers, from %.2f, seed %d", gateways, from, seed)
				assert.Greater(t, mean, 0.35, "%d sharers, from %.2f, seed %d", gateways, from, seed)
			}
			_, alike := runWarmupSum(t, 14, 200, from, 0.7, seed)
			_, mean := runWarmupSumWithSettings(t, s, 14, 13.6, 200, from, 0.7, seed)
			assert.InEpsilon(t, alike, mean, 0.1, "from %.2f, seed %d", from, seed)
		}
		_, strangled := runWarmupSumWithSettings(t, s, 14, 0, 200, from, 0.7, 1)
		assert.Less(t, strangled, 0.2, "from %.2f", from)
	}
}

// Whole controllers of the nodes that share some servers send to ones that are warming up, in the sum,
// what a group of that size sends, whatever comes with these. Single runs have a tail that is that of the
// group too: in 16 seeds of a zone's servers among 60, at a load of 1.1, the group's worst is 1.21 of the
// formula and the sharers' 1.22, the other 15 of each at most 0.88. So the medians over seeds are
// compared; each of these seeds stays within the formula.
func TestSumOfSharersSendsToColdServers(t *testing.T) {
	for name, x := range warmupCases(14, 30) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x.loadFraction = 1.1
			var group, sharers, uses []float64
			for seed := uint64(1); seed <= 5; seed++ {
				x.fleetSize, x.nodesPerServer = 0, 0
				worst, _ := runWarmup(t, x, seed)
				group = append(group, worst)
				x.fleetSize, x.nodesPerServer = 5800, 13.6
				worst, use := runWarmup(t, x, seed)
				sharers = append(sharers, worst)
				uses = append(uses, use)
			}
			slices.Sort(group)
			slices.Sort(sharers)
			slices.Sort(uses)
			t.Logf("worst %.2f of the formula, a group of 14 %.2f", sharers, group)
			assert.Less(t, sharers[len(sharers)-1], 1.0, "the worst of all seeds")
			assert.Greater(t, uses[2], 0.05, "of what the settings allow")
			assert.Less(t, sharers[2], 1.4*group[2])
		})
	}
}
