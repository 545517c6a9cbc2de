package subset

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat"
)

// The target's size.
const (
	targetNodes   = 5_800
	targetServers = 85_000
)

// idealUsers is the mean number of nodes that use one server at the target's size.
const idealUsers = float64(targetNodes) * DefaultMaxServers / targetServers

// spread is a distribution relative to its mean.
type distribution struct{ min, p99, max float64 }

func distributionOf(values []float64) distribution {
	sorted := slices.Sorted(slices.Values(values))
	mean := stat.Mean(sorted, nil)
	return distribution{
		min: sorted[0] / mean,
		p99: stat.Quantile(0.99, stat.Empirical, sorted, nil) / mean,
		max: sorted[len(sorted)-1] / mean,
	}
}

// perServer sums over all nodes what each puts on each of its available servers. It has one value for
// each available server of the list.
func perServer(sets []*Set, amount func(chosen []*entry, e *entry) float64) []float64 {
	sums := make(map[*entry]float64)
	for _, set := range sets {
		for _, e := range set.chosen {
			if e.available() {
				sums[e] += amount(set.chosen, e)
			}
		}
	}
	values := make([]float64, 0, len(sums))
	sets[0].index.available.Ascend(func(e *entry) bool {
		values = append(values, sums[e])
		return true
	})
	return values
}

// one counts the nodes that use a server.
func countOne([]*entry, *entry) float64 { return 1 }

// evenPart is the part of a node's traffic that each of its servers gets if it is split evenly.
func evenShare(chosen []*entry, _ *entry) float64 { return 1 / float64(len(chosen)) }

// meanSharers returns the mean of what the sets state as the users of one server.
func meanSharers(sets []*Set) float64 {
	sum := 0.0
	for _, set := range sets {
		sum += set.Sharers(len(sets))
	}
	return sum / float64(len(sets))
}

// TestLoadIsEvenAtTargetSize has 5,800 nodes that split equal traffic evenly over their servers, of
// 85,000 with equal capacity. A server that comes or goes changes the subsets of exactly the nodes that
// use it while it is listed (see TestChangeConcernsItsUsers), so that the users of each server are also
// the nodes that its coming or going concerns.
func TestLoadIsEvenAtTargetSize(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		for seed := uint64(1); seed <= 3; seed++ {
			sets := targetGroup(t, seed, uneven)
			load := distributionOf(perServer(sets, evenShare))
			users := perServer(sets, countOne)
			mean := stat.Mean(users, nil) / idealUsers
			change := distributionOf(users)
			t.Logf("uneven zones %v, seed %d: load / mean: least %.3f, p99 %.3f, most %.3f; nodes changed by one server / ideal %.2f: mean %.3f, p99 %.3f, most %.3f",
				uneven, seed, load.min, load.p99, load.max, idealUsers, mean, change.p99*mean, change.max*mean)
			require.InDelta(t, mean*idealUsers, meanSharers(sets), 1e-6)
			require.Greater(t, load.min, 0.5)
			require.LessOrEqual(t, load.p99, 1.25)
			require.LessOrEqual(t, mean, 1.05)
			require.LessOrEqual(t, change.p99*mean, 1.5)
			// Floors are filled within twice the window, so that a server of a small zone can have twice
			// the users of another.
			maxChange := 1.5
			if uneven {
				maxChange *= zoneReachFactor
			}
			require.LessOrEqual(t, change.max*mean, maxChange)
		}
	}
}

// TestChangeConcernsItsUsers removes servers one by one from the lists of 300 nodes and lists them again.
func TestChangeAffectsExactlyTheUsers(t *testing.T) {
	servers := newServers(4, 10_000, unevenZoneWeights())
	sets := group(t, 300, Config{}, servers)
	index := sets[0].index
	random := rand.New(rand.NewPCG(4, 1))
	for range 10 {
		server := servers[random.IntN(len(servers))]
		probe := index.probe(server.ID)
		e := index.find(&probe)
		byRemoval, byAddition := affectedBy(sets, e, index.remove), affectedBy(sets, e, index.insert)
		var users []int
		for node, set := range sets {
			if slices.Contains(set.chosen, e) {
				users = append(users, node)
			}
		}
		require.NotEmpty(t, users)
		require.Equal(t, users, byRemoval)
		require.Equal(t, users, byAddition)
	}
}

// changedBy changes the index that the nodes share and returns those whose chosen servers change.
func affectedBy(sets []*Set, e *entry, update func(*entry)) []int {
	update(e)
	var changed []int
	for node, set := range sets {
		change := set.choose()
		if len(change.Updated)+len(change.Removed) > 0 {
			changed = append(changed, node)
		}
	}
	return changed
}

// TestLoadWithCapacityThatDiffersTenfold has each node split its traffic by capacity, of servers whose
// capacity is 1 to 10, evenly on a logarithmic scale. Capacity has no part in the choice. The bound on p99
// over mean of load by capacity leaves a margin over the 1.235 measured for these seeds.
func TestLoadWithTenfoldCapacityDifferences(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		sets := targetGroup(t, seed, false)
		random := rand.New(rand.NewPCG(seed, 2))
		capacity := make(map[*entry]float64)
		sets[0].index.available.Ascend(func(e *entry) bool {
			capacity[e] = math.Pow(10, random.Float64())
			return true
		})
		totals := make(map[**entry]float64) // capacity of a node's servers, by its first one
		for _, set := range sets {
			for _, e := range set.chosen {
				totals[&set.chosen[0]] += capacity[e]
			}
		}
		byCapacity := func(chosen []*entry, _ *entry) float64 { return 1 / totals[&chosen[0]] }
		load := distributionOf(perServer(sets, byCapacity))
		t.Logf("seed %d: load by capacity / mean: least %.3f, p99 %.3f, most %.3f", seed, load.min, load.p99, load.max)
		require.LessOrEqual(t, load.p99, 1.3)
	}
}

// TestGroupSizeNeedNotBeKnown takes away a tenth of the nodes at the end. The others choose as before
// since a set is not told the size of its group, and the load stays even.
func TestLoadStaysEvenWithFewerNodes(t *testing.T) {
	sets := targetGroup(t, 1, false)[:targetNodes*9/10]
	load := distributionOf(perServer(sets, evenShare))
	t.Logf("%d nodes: load / mean: least %.3f, p99 %.3f, most %.3f", len(sets), load.min, load.p99, load.max)
	require.LessOrEqual(t, load.p99, 1.25)
}
