package subset

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// realOrdering is the ordering that New uses.
var realOrdering = ordering{hash: xxhash.Sum64String, less: lessOnRing}

func mustNew(t testing.TB, config Config) *Set {
	t.Helper()
	set, err := New(config)
	require.NoError(t, err)
	return set
}

// replace stages the servers in their order and replaces the set's list by them.
func replace(t testing.TB, set *Set, servers []Server) Change {
	t.Helper()
	list := set.NewList()
	for _, server := range servers {
		if err := list.Add(server); err != nil {
			t.Fatal(err)
		}
	}
	return set.Replace(list)
}

// apply applies a valid delta.
func apply(t testing.TB, set *Set, servers ...Server) Change {
	t.Helper()
	change, err := set.Apply(servers)
	require.NoError(t, err)
	return change
}

// inState returns copies of the servers with another state.
func inState(state State, servers ...Server) []Server {
	changed := make([]Server, len(servers))
	for i, server := range servers {
		server.State = state
		changed[i] = server
	}
	return changed
}

// idsOf returns the IDs of the servers in a state.
func idsOf(servers []Server, state State) []string {
	var ids []string
	for _, server := range servers {
		if server.State == state {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// newServers returns servers of equal capacity whose IDs depend on the seed, distributed over zones by their
// weights. IDs have 20 bytes and endpoints 16 to 18.
func newServers(seed uint64, count int, zoneWeights []float64) []Server {
	random := rand.New(rand.NewPCG(seed, 0))
	total := 0.0
	for _, weight := range zoneWeights {
		total += weight
	}
	servers := make([]Server, count)
	zone, zoneEnd := 0, zoneWeights[0]/total*float64(count)
	for i := range servers {
		for float64(i) >= zoneEnd && zone+1 < len(zoneWeights) {
			zone++
			zoneEnd += zoneWeights[zone] / total * float64(count)
		}
		servers[i] = Server{
			ID:       fmt.Sprintf("srv-%016x", random.Uint64()),
			Endpoint: fmt.Sprintf("10.%d.%d.%d:8080", 100+i>>16, i>>8&255, i&255),
			Zone:     fmt.Sprintf("zone-%02d", zone),
			Model:    fmt.Sprintf("model-%d", i%5),
			Group:    i % 40,
			Capacity: 1,
			BootMS:   1.7e12 + float64(i),
		}
	}
	return servers
}

// evenZoneWeights returns the weights of 17 zones of the same size.
func evenZoneWeights() []float64 {
	weights := make([]float64, 17)
	for i := range weights {
		weights[i] = 1
	}
	return weights
}

// unevenZoneWeights returns the weights of 17 zones, the largest of which is ten times the smallest.
func unevenZoneWeights() []float64 {
	weights := make([]float64, 17)
	for i := range weights {
		weights[i] = 1 + 9*float64(i)/16
	}
	return weights
}

// targetGroup returns the sets of 5,800 nodes with 85,000 servers in uneven or even zones. It is built once
// for each seed and kind of zones; tests must not change it.
func targetGroup(t testing.TB, seed uint64, uneven bool) []*Set {
	t.Helper()
	key := targetKey{seed: seed, uneven: uneven}
	if targetGroups[key] == nil {
		weights := evenZoneWeights()
		if uneven {
			weights = unevenZoneWeights()
		}
		targetGroups[key] = group(t, targetNodes, Config{}, newServers(seed, targetServers, weights))
	}
	return targetGroups[key]
}

type targetKey struct {
	seed   uint64
	uneven bool
}

var targetGroups = make(map[targetKey][]*Set)

// group returns the sets of nodes 0 to size-1. They share one index so that thousands fit in memory, but each
// makes its own choice.
func group(t testing.TB, size int, config Config, servers []Server) []*Set {
	t.Helper()
	first := mustNew(t, config)
	replace(t, first, servers)
	sets := make([]*Set, size)
	for node := range sets {
		config.Node = node
		sets[node] = mustNew(t, config)
		sets[node].index = first.index
		sets[node].chosen = sets[node].pick()
	}
	return sets
}
