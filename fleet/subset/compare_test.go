package subset

import (
	"cmp"
	"flag"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

var long = flag.Bool("long", false, "compare the selection schemes at the target's size, for about a minute")

// scheme is an algorithm by which the nodes of a group choose servers. A server is identified by its number
// in a list of hash keys.
type scheme interface {
	// assign returns the servers that each node chooses from the listed ones.
	assign(nodes int, listed []int32) [][]int32
	// chooseOne makes the choice of one node, as at its start.
	chooseOne(node int, listed []int32)
	// removeUnused applies the removal of a server that the node does not use. It returns the number of list
	// entries that were visited to choose again.
	removeUnused(node int, listed []int32, removed int32) int
}

// mix hashes a key with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvous is rendezvous hashing: a node uses the servers with the highest hash of node and server.
type rendezvous struct {
	keys       []uint64
	lowestUsed uint64 // lowest score of a used server
	scratch    []scored
}

type scored struct {
	score  uint64
	server int32
}

func (r *rendezvous) assign(nodes int, listed []int32) [][]int32 {
	sets := make([][]int32, nodes)
	for node := range sets {
		r.chooseOne(node, listed)
		sets[node] = make([]int32, DefaultMaxServers)
		for i := range sets[node] {
			sets[node][i] = r.scratch[i].server
		}
	}
	return sets
}

// chooseOne sorts only the scores above a threshold, which about twice as many servers as needed exceed.
func (r *rendezvous) chooseOne(node int, listed []int32) {
	salt := mix(uint64(node) + 1)
	wanted := min(1, 2*float64(DefaultMaxServers)/float64(len(listed)))
	threshold := uint64((1 - wanted) * (1 << 63) * 2)
	r.scratch = r.scratch[:0]
	for _, server := range listed {
		if score := mix(r.keys[server] ^ salt); score >= threshold {
			r.scratch = append(r.scratch, scored{score, server})
		}
	}
	if len(r.scratch) < DefaultMaxServers {
		panic("too few servers have a score above the threshold")
	}
	slices.SortFunc(r.scratch, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	r.lowestUsed = r.scratch[DefaultMaxServers-1].score
}

func (r *rendezvous) removeUnused(node int, _ []int32, removed int32) int {
	if mix(r.keys[removed]^mix(uint64(node)+1)) >= r.lowestUsed {
		panic("the node uses the server")
	}
	return 1
}

// rounds divides all servers among a group of nodes in each round, so that each server is used once, in an
// order that differs by round. The order is by hash, so that a change moves as few servers as possible with
// this scheme.
type rounds struct{ keys []uint64 }

func (r *rounds) order(round int, listed []int32) []int32 {
	salt := mix(uint64(round) + 1)
	ordered := slices.Clone(listed)
	slices.SortFunc(ordered, func(a, b int32) int {
		return cmp.Compare(mix(r.keys[a]^salt), mix(r.keys[b]^salt))
	})
	return ordered
}

func (r *rounds) assign(nodes int, listed []int32) [][]int32 {
	parts := len(listed) / DefaultMaxServers
	sets := make([][]int32, nodes)
	var ordered []int32
	for node := range sets {
		part := node % parts
		if part == 0 {
			ordered = r.order(node/parts, listed)
		}
		sets[node] = ordered[part*DefaultMaxServers : (part+1)*DefaultMaxServers]
	}
	return sets
}

func (r *rounds) chooseOne(node int, listed []int32) {
	r.order(node/(len(listed)/DefaultMaxServers), listed)
}

func (r *rounds) removeUnused(node int, listed []int32, _ int32) int {
	r.chooseOne(node, listed)
	return len(listed)
}

// boundedRing is consistent hashing with bounded loads: a server that already has its maximum number of
// users, a multiple of the mean, is skipped. A node has to compute the choices of all nodes with lower
// numbers, and to know the number of nodes.
type boundedRing struct {
	keys     []uint64
	nodes    int
	multiple float64
	ring     []int32 // listed servers by position
}

func (b *boundedRing) assign(nodes int, listed []int32) [][]int32 {
	b.ring = slices.Clone(listed)
	slices.SortFunc(b.ring, func(x, y int32) int { return cmp.Compare(b.keys[x], b.keys[y]) })
	return b.walk(nodes)
}

// walk assigns servers to the nodes in the order of their numbers.
func (b *boundedRing) walk(nodes int) [][]int32 {
	limit := int(b.multiple * float64(b.nodes) * DefaultMaxServers / float64(len(b.ring)))
	users := make([]int, len(b.ring))
	sets := make([][]int32, nodes)
	for node := range sets {
		start := bits.Reverse64(uint64(node))
		at := sort.Search(len(b.ring), func(i int) bool { return b.keys[b.ring[i]] >= start })
		set := make([]int32, 0, DefaultMaxServers)
		for ; len(set) < DefaultMaxServers; at++ {
			if at %= len(b.ring); users[at] < limit {
				users[at]++
				set = append(set, b.ring[at])
			}
		}
		sets[node] = set
	}
	return sets
}

func (b *boundedRing) chooseOne(node int, _ []int32) { b.walk(node + 1) }

func (b *boundedRing) removeUnused(node int, _ []int32, _ int32) int {
	b.walk(node + 1)
	return (node + 1) * DefaultMaxServers
}

// subsetScheme is the algorithm of this package.
type subsetScheme struct {
	t       *testing.T
	servers []Server
	numbers map[string]int32 // by ID
	set     *Set             // set of the node of chooseOne
}

func (s *subsetScheme) list(listed []int32) []Server {
	servers := make([]Server, len(listed))
	for i, number := range listed {
		servers[i] = s.servers[number]
	}
	return servers
}

func (s *subsetScheme) assign(nodes int, listed []int32) [][]int32 {
	sets := make([][]int32, nodes)
	for node, set := range group(s.t, nodes, Config{}, s.list(listed)) {
		for _, e := range set.chosen {
			sets[node] = append(sets[node], s.numbers[e.id()])
		}
	}
	return sets
}

func (s *subsetScheme) chooseOne(node int, listed []int32) {
	s.set = mustNew(s.t, Config{Node: node})
	list := s.set.NewList()
	for _, number := range listed {
		if err := list.Add(s.servers[number]); err != nil {
			s.t.Fatal(err)
		}
	}
	s.set.Replace(list)
}

func (s *subsetScheme) removeUnused(_ int, _ []int32, removed int32) int {
	visited := s.set.visited
	server := s.servers[removed]
	for _, state := range []State{Removed, Available} {
		server.State = state
		change, err := s.set.Apply([]Server{server})
		if err != nil || len(change.Removed) > 0 {
			s.t.Fatal(err, change)
		}
	}
	return s.set.visited - visited
}

// comparison holds the measurements of a scheme. Times and visited entries are those of one node.
type comparison struct {
	load                        distribution
	affected, affectedByBusiest float64       // nodes affected by the removal of a server, relative to the ideal number
	chooseTime, unusedTime      time.Duration // of a choice, and of the removal of an unused server
	visitedEntries              int           // entries visited at the removal of an unused server
}

// TestComparison compares selection schemes with 200 servers for each node: at a twentieth of the target's
// size, or with -long at the target's size. It guards against a change by which this package's scheme
// distributes load less evenly or makes changes more expensive.
func TestComparison(t *testing.T) {
	nodes, count := targetNodes/20, targetServers/20
	if *long {
		nodes, count = targetNodes, targetServers
	}
	servers := newServers(1, count, evenZoneWeights())
	keys, numbers := make([]uint64, count), make(map[string]int32)
	for i, server := range servers {
		keys[i], numbers[server.ID] = xxhash.Sum64String(server.ID), int32(i)
	}
	schemes := []struct {
		name      string
		candidate scheme
	}{
		{"rendezvous", &rendezvous{keys: keys}},
		{"rounds", &rounds{keys: keys}},
		{"ring 1.25", &boundedRing{keys: keys, nodes: nodes, multiple: 1.25}},
		{"ring 1.1", &boundedRing{keys: keys, nodes: nodes, multiple: 1.1}},
		{"ours", &subsetScheme{t: t, servers: servers, numbers: numbers}},
	}
	results := make(map[string]comparison)
	for _, s := range schemes {
		c := compareScheme(s.candidate, nodes, count)
		t.Logf("%-10s load / mean: p99 %.3f, max %.3f; nodes affected / ideal: %.2f, of the busiest servers %.2f; choose %v; change of an unused server %v, %d entries",
			s.name, c.load.p99, c.load.max, c.affected, c.affectedByBusiest, c.chooseTime, c.unusedTime, c.visitedEntries)
		results[s.name] = c
	}
	require.LessOrEqual(t, results["ours"].load.p99, 1.25)
	require.LessOrEqual(t, results["ours"].affectedByBusiest, 1.5)
	require.Zero(t, results["ours"].visitedEntries)
	require.Greater(t, results["rendezvous"].load.p99, 1.5, "rendezvous hashing distributes load at random")
	require.Greater(t, results["rounds"].affected, 10.0, "a change shifts the division of the servers")
	require.Greater(t, results["ring 1.25"].visitedEntries, count, "a node computes the choices of the other nodes")
}

// compareScheme measures a scheme, with the removal of six random servers and of the four with the most
// users.
func compareScheme(candidate scheme, nodes, count int) comparison {
	listed := make([]int32, count)
	for i := range listed {
		listed[i] = int32(i)
	}
	before := candidate.assign(nodes, listed)
	users := make([]float64, count)
	for _, set := range before {
		for _, server := range set {
			users[server]++
		}
	}
	affectedNodes := func(removed int32) float64 {
		remaining := slices.Delete(slices.Clone(listed), int(removed), int(removed)+1)
		ideal := float64(nodes) * DefaultMaxServers / float64(count)
		return float64(countDifferent(before, candidate.assign(nodes, remaining))) / ideal
	}
	c := comparison{load: distributionOf(users)}
	random := rand.New(rand.NewPCG(1, 3))
	const randomRemovals, busiestRemovals = 6, 4
	for range randomRemovals {
		c.affected += affectedNodes(int32(random.IntN(count))) / randomRemovals
	}
	byUsers := slices.SortedStableFunc(slices.Values(listed), func(a, b int32) int { return cmp.Compare(users[b], users[a]) })
	for _, removed := range byUsers[:busiestRemovals] {
		c.affectedByBusiest += affectedNodes(removed) / busiestRemovals
	}
	candidate.assign(nodes, listed)
	c.measureNode(candidate, nodes-1, listed, before[nodes-1])
	return c
}

// countDifferent returns the number of nodes whose sets differ, regardless of order.
func countDifferent(before, after [][]int32) int {
	count := 0
	for node := range before {
		a, b := slices.Sorted(slices.Values(before[node])), slices.Sorted(slices.Values(after[node]))
		if !slices.Equal(a, b) {
			count++
		}
	}
	return count
}

// measureNode measures a choice and the removal of an unused server at one node. Each time is the minimum of
// three measurements.
func (c *comparison) measureNode(candidate scheme, node int, listed, used []int32) {
	unused := int32(0)
	for slices.Contains(used, unused) {
		unused++
	}
	c.chooseTime, c.unusedTime = time.Hour, time.Hour
	for range 3 {
		start := time.Now()
		candidate.chooseOne(node, listed)
		c.chooseTime = min(c.chooseTime, time.Since(start))
		const repeats = 20
		start = time.Now()
		for range repeats {
			c.visitedEntries = candidate.removeUnused(node, listed, unused)
		}
		c.unusedTime = min(c.unusedTime, time.Since(start)/repeats)
	}
}
