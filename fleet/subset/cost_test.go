package subset

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// newCountingSet returns a set with a number of servers, the servers, and a counter of its comparisons in
// ordered trees.
func newCountingSet(t testing.TB, size int) (*Set, []Server, *int) {
	t.Helper()
	comparisons := new(int)
	order := realOrdering
	order.less = func(a, b *entry) bool {
		*comparisons++
		return lessOnRing(a, b)
	}
	set, err := newSet(Config{Node: 4321}, order)
	require.NoError(t, err)
	servers := newServers(1, size, unevenZoneWeights())
	replace(t, set, servers)
	return set, servers, comparisons
}

// TestCostOfChangeIsBounded guards against a change whose cost grows with the length of the list. It counts
// comparisons in ordered trees and entries visited to choose again, which do not depend on the machine.
func TestCostOfChangeIsBounded(t *testing.T) {
	for _, size := range []int{1000, 10_000, targetServers} {
		set, servers, comparisons := newCountingSet(t, size)
		chosen := make(map[string]bool)
		for _, server := range set.Chosen() {
			chosen[server.ID] = true
		}
		var unused, used []Server
		for _, server := range servers {
			if chosen[server.ID] {
				used = append(used, server)
			} else {
				unused = append(unused, server)
			}
		}
		unusedComparisons, unusedVisits := costliestChange(t, set, unused, comparisons)
		usedComparisons, usedVisits := costliestChange(t, set, used, comparisons)
		t.Logf("%d servers: a change of an unused server: at most %d comparisons, %d entries visited; of a chosen server: %d and %d",
			size, unusedComparisons, unusedVisits, usedComparisons, usedVisits)
		require.LessOrEqual(t, unusedComparisons, 200)
		require.Zero(t, unusedVisits)
		require.LessOrEqual(t, usedComparisons, 200+17*60)
		require.LessOrEqual(t, usedVisits, DefaultMaxServers+17*DefaultMinPerZone)
	}
}

// costliestChange drains, removes and lists again 100 of the servers, one change at a time. It returns the
// maximum numbers of comparisons and visited entries of a change.
func costliestChange(t *testing.T, set *Set, servers []Server, comparisons *int) (maxComparisons, maxVisited int) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		server := servers[random.IntN(len(servers))]
		for _, state := range []State{Draining, Removed, Available} {
			*comparisons, set.visited = 0, 0
			apply(t, set, inState(state, server)...)
			maxComparisons, maxVisited = max(maxComparisons, *comparisons), max(maxVisited, set.visited)
		}
	}
	return maxComparisons, maxVisited
}

// heapInUse returns the heap in use after a full garbage collection, in bytes.
func heapInUse() int {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// realisticServer returns entry i of a list in random order, with an ID of 20 bytes and an endpoint of 17 or
// 18. Its strings are allocated at each call, like those of a decoded message.
func realisticServer(seed uint64, i int) Server {
	hash := rand.New(rand.NewPCG(seed, uint64(i))).Uint64()
	return Server{
		ID:       fmt.Sprintf("srv-%016x", hash),
		Endpoint: fmt.Sprintf("10.%d.%d.%d:18080", 100+i>>16, 100+i>>8&127, 100+i&127),
		Zone:     fmt.Sprintf("zone-%02d", hash%17),
		Model:    fmt.Sprintf("model-%d", hash%5),
		Group:    int(hash % 40),
		Capacity: float64(hash%100) / 10,
		BootMS:   1.7e12 + float64(i),
	}
}

// maxHeapBytes is the maximum heap of a set of 85,000 servers, in bytes.
const maxHeapBytes = 16 << 20

// TestHeapIsBounded guards against a larger heap of a set of 85,000 servers: with a repeated list staged, after
// changes, and with a list of all new servers staged, when two lists are held.
func TestHeapIsBounded(t *testing.T) {
	start := heapInUse()
	set := mustNew(t, Config{Node: 99})
	stage := func(seed uint64) *List {
		list := set.NewList()
		for i := range targetServers {
			require.NoError(t, list.Add(realisticServer(seed, i)))
		}
		return list
	}
	set.Replace(stage(1))
	listed := heapInUse() - start
	repeated := stage(1)
	withRepeated := heapInUse() - start
	set.Replace(repeated)
	for i := range targetServers / 2 {
		server := realisticServer(1, 2*i)
		apply(t, set, inState(Draining, server)...)
		apply(t, set, server)
	}
	changed := heapInUse() - start
	other := stage(2)
	withOther := heapInUse() - start
	set.Replace(other)
	replaced := heapInUse() - start
	t.Logf("heap in MB: %.1f listed, %.1f with a repeated list staged, %.1f after 85,000 changes, %.1f with another list staged, %.1f after it replaced the first",
		megabytes(listed), megabytes(withRepeated), megabytes(changed), megabytes(withOther), megabytes(replaced))
	for _, bytes := range []int{listed, withRepeated, changed, replaced} {
		require.Less(t, bytes, maxHeapBytes)
	}
	require.Less(t, withOther, 2*maxHeapBytes)
	runtime.KeepAlive(set)
}

func megabytes(bytes int) float64 { return float64(bytes) / (1 << 20) }

// BenchmarkChangeElsewhere measures one change of a server that the node does not use.
func BenchmarkChangeElsewhere(b *testing.B) {
	for _, size := range []int{1000, 10_000, targetServers} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkChange(b, size, false) })
	}
}

// BenchmarkChangeOfChosen measures one change of a chosen server.
func BenchmarkChangeOfChosen(b *testing.B) {
	for _, size := range []int{1000, 10_000, targetServers} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkChange(b, size, true) })
	}
}

// benchmarkChange removes servers and lists them again, one for each change.
func benchmarkChange(b *testing.B, size int, ofChosen bool) {
	set := mustNew(b, Config{Node: 4321})
	servers := newServers(1, size, evenZoneWeights())
	replace(b, set, servers)
	chosen := make(map[string]bool)
	for _, server := range set.Chosen() {
		chosen[server.ID] = true
	}
	var candidates []Server
	for _, server := range servers {
		if chosen[server.ID] == ofChosen {
			candidates = append(candidates, server)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		server := candidates[i/2%len(candidates)]
		if i%2 == 0 {
			server.State = Removed
		}
		if _, err := set.Apply([]Server{server}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkZoneReturns lists the 5,000 servers of a zone by one delta and removes them by another.
func BenchmarkZoneReturns(b *testing.B) {
	set := mustNew(b, Config{Node: 4321})
	servers := newServers(1, targetServers, evenZoneWeights())
	replace(b, set, servers)
	zone := servers[:5000]
	removals := inState(Removed, zone...)
	b.ReportAllocs()
	for b.Loop() {
		for _, delta := range [][]Server{removals, zone} {
			if _, err := set.Apply(delta); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkReplace stages a list of 85,000 servers and replaces the set's list by it: the same list as
// before, or one of other servers.
func BenchmarkReplace(b *testing.B) {
	lists := [][]Server{newServers(1, targetServers, evenZoneWeights()), newServers(2, targetServers, evenZoneWeights())}
	for name, step := range map[string]int{"same": 0, "other": 1} {
		b.Run(name, func(b *testing.B) {
			set := mustNew(b, Config{Node: 4321})
			replace(b, set, lists[0])
			b.ReportAllocs()
			for i := 1; b.Loop(); i++ {
				list := set.NewList()
				for _, server := range lists[i*step%2] {
					if err := list.Add(server); err != nil {
						b.Fatal(err)
					}
				}
				set.Replace(list)
			}
		})
	}
}

// BenchmarkChoose chooses again from 85,000 servers without a change.
func BenchmarkChoose(b *testing.B) {
	set := mustNew(b, Config{Node: 4321})
	replace(b, set, newServers(1, targetServers, evenZoneWeights()))
	b.ReportAllocs()
	for b.Loop() {
		set.choose()
	}
}
