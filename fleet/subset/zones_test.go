package subset

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// capacityLeft returns the least part of the chosen servers that a node has left, over all nodes, when a
// zone is lost and before the list says so.
func minFractionLeft(sets []*Set) float64 {
	minLeft := 1.0
	for _, set := range sets {
		byZone := make(map[string]int)
		for _, e := range set.chosen {
			byZone[e.zone()]++
		}
		for _, lost := range byZone {
			minLeft = min(minLeft, 1-float64(lost)/float64(len(set.chosen)))
		}
	}
	return minLeft
}

// TestZoneLossLeavesCapacity loses each of 17 zones of uneven size at each of 5,800 nodes. The largest
// zone has 10.7% of the servers. The bound has a margin of 0.05 below the 0.800 measured for these seeds.
// See TestZoneLossIsRefilled for what follows when the list reports the loss.
func TestZoneLossLeavesMostServers(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		left := minFractionLeft(targetGroup(t, seed, true))
		t.Logf("seed %d: least part of its servers left to a node by the loss of one zone: %.3f", seed, left)
		require.GreaterOrEqual(t, left, 0.75)
	}
}

// TestZoneLossIsRefilled removes the largest zone from the list of some nodes in one delta.
func TestZoneLossIsRefilled(t *testing.T) {
	servers := newServers(6, 20_000, unevenZoneWeights())
	largest := servers[len(servers)-1].Zone
	var lost []Server
	for _, server := range servers {
		if server.Zone == largest {
			lost = append(lost, server)
		}
	}
	for node := range 3 {
		set := mustNew(t, Config{Node: node})
		replace(t, set, servers)
		before := set.Chosen()
		apply(t, set, inState(Removed, lost...)...)
		require.GreaterOrEqual(t, len(set.Chosen()), DefaultMaxServers)
		for _, server := range set.Chosen() {
			require.NotEqual(t, largest, server.Zone)
		}
		apply(t, set, lost...)
		require.Equal(t, before, set.Chosen())
	}
}

// TestZoneFloor has a zone of a hundredth of the servers: a node has two of it wherever two lie within
// twice the length of its window, and no node has more of it than it would have without a floor or two.
func TestZoneMinimum(t *testing.T) {
	servers := newServers(7, 20_000, []float64{1, 33, 33, 33})
	small := servers[0].Zone
	withMinimum := group(t, 500, Config{}, servers)
	withoutMinimum := group(t, 500, Config{MinPerZone: NoZoneMinimum}, servers)
	filled, short := 0, 0
	for node, set := range withMinimum {
		inReach, before, after := 0, 0, 0
		limit := 2 * float64(set.windowEnd.position-set.start)
		set.index.zones[small].available.Ascend(func(e *entry) bool {
			if float64(e.position-set.start) <= limit {
				inReach++
			}
			return true
		})
		for _, e := range withoutMinimum[node].chosen {
			if e.zone() == small {
				before++
			}
		}
		for _, e := range set.chosen {
			if e.zone() == small {
				after++
			}
		}
		require.Equal(t, max(before, min(DefaultMinPerZone, inReach)), after)
		if after > before {
			filled++
		}
		if after < DefaultMinPerZone {
			short++
		}
	}
	t.Logf("of 500 nodes %d had their floor filled, %d have fewer than two servers of the zone", filled, short)
	require.Positive(t, filled)
}

// TestHalfDrainsAtOnce drains every second server in one delta. Each node has a full window of available
// servers, keeps what it had chosen as draining, and stays within the stated maximum.
func TestHalfDrainsAtOnce(t *testing.T) {
	servers := newServers(8, 4_000, unevenZoneWeights())
	var half []Server
	for i := 0; i < len(servers); i += 2 {
		half = append(half, servers[i])
	}
	for node := range 10 {
		set := mustNew(t, Config{Node: node})
		replace(t, set, servers)
		before := idsOf(set.Chosen(), Available)
		drained := inState(Draining, half...)
		change := apply(t, set, drained...)
		require.GreaterOrEqual(t, len(idsOf(set.Chosen(), Available)), DefaultMaxServers)
		require.ElementsMatch(t, intersection(before, drained), idsOf(set.Chosen(), Draining))
		require.ElementsMatch(t, intersection(before, drained), idsOf(change.Updated, Draining))
		require.LessOrEqual(t, len(set.Chosen()), set.config.MaxChosen())
		apply(t, set, inState(Removed, half...)...)
		require.Empty(t, idsOf(set.Chosen(), Draining))
		require.GreaterOrEqual(t, len(set.Chosen()), DefaultMaxServers)
	}
}

// shared returns the IDs that are among the servers.
func intersection(ids []string, servers []Server) []string {
	among := make(map[string]bool)
	for _, server := range servers {
		among[server.ID] = true
	}
	var common []string
	for _, id := range ids {
		if among[id] {
			common = append(common, id)
		}
	}
	return common
}

// TestDrainingServersAreBounded drains each chosen server again and again: those kept as draining never
// exceed Most, and the longest-draining ones leave.
func TestDrainingServersAreBounded(t *testing.T) {
	servers := newServers(9, 2000, evenZoneWeights())
	config := Config{MaxServers: 50}
	set := mustNew(t, config)
	replace(t, set, servers)
	var drained []string
	for range 10 {
		var available []Server
		for _, server := range set.Chosen() {
			if server.State == Available {
				available = append(available, server)
			}
		}
		change := apply(t, set, inState(Draining, available...)...)
		drained = append(drained, idsOf(available, Available)...)
		kept := drained[max(0, len(drained)-config.MaxServers):]
		require.ElementsMatch(t, kept, idsOf(set.Chosen(), Draining))
		require.LessOrEqual(t, len(set.Chosen()), config.MaxChosen())
		require.Empty(t, intersection(change.Removed, inState(Draining, set.Chosen()...)))
	}
	require.Greater(t, len(drained), 5*config.MaxServers)
}
