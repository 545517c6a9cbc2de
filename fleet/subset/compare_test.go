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

var long = flag.Bool("long", false, "compare the ways of choosing at the target's size, for about a minute")

// scheme is a way in which the nodes of a group choose servers. Servers are named by their number in a
// list of hash keys.
type scheme interface {
	// assign returns the servers of each node among those that are listed.
	assign(nodes int, listed []int32) [][]int32
	// one chooses for one node, as it does when it starts.
	chooseOne(node int, listed []int32)
	// elsewhere takes in the removal of a server that the node does not use. It returns how many entries
	// of the list it looked at to choose again.
	removeUnused(node int, listed []int32, removed int32) int
}

// mix spreads the bits of a key, as the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvous has a node use the servers with the highest scores, a hash of node and server.
type rendezvous struct {
	keys       []uint64
	lowestUsed uint64 // the lowest score that was used
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

// one sorts only the scores above a threshold that about twice as many as needed exceed.
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
		panic("the threshold leaves too few")
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

// rounds divides the servers among as many nodes as it takes to use each once, in an order that differs
// by round. The order is by hash, so that a change moves as few servers as this way allows.
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

// boundedRing is a ring on which a server that has its maximum of users already, a multiple of the mean, is
// passed over. A node has to work out the choices of all nodes with lower numbers, and to know how many
// nodes there are.
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

// ours is the package's own choice.
type subsetScheme struct {
	t       *testing.T
	servers []Server
	numbers map[string]int32 // by ID
	set     *Set             // of the node in one
}

func (o *subsetScheme) list(listed []int32) []Server {
	servers := make([]Server, len(listed))
	for i, number := range listed {
		servers[i] = o.servers[number]
	}
	return servers
}

func (o *subsetScheme) assign(nodes int, listed []int32) [][]int32 {
	sets := make([][]int32, nodes)
	for node, set := range group(o.t, nodes, Config{}, o.list(listed)) {
		for _, e := range set.chosen {
			sets[node] = append(sets[node], o.numbers[e.id()])
		}
	}
	return sets
}

func (o *subsetScheme) chooseOne(node int, listed []int32) {
	o.set = mustNew(o.t, Config{Node: node})
	list := o.set.NewList()
	for _, number := range listed {
		if err := list.Add(o.servers[number]); err != nil {
			o.t.Fatal(err)
		}
	}
	o.set.Replace(list)
}

func (o *subsetScheme) removeUnused(_ int, _ []int32, removed int32) int {
	visited := o.set.visited
	server := o.servers[removed]
	for _, state := range []State{Removed, Available} {
		server.State = state
		change, err := o.set.Apply([]Server{server})
		if err != nil || len(change.Removed) > 0 {
			o.t.Fatal(err, change)
		}
	}
	return o.set.visited - visited
}

// comparison is what is measured of a scheme. Times and entries are those of one node; elsewhere is one
// change that does not concern it, of which entries are looked at to choose again.
type comparison struct {
	load                        distribution
	affected, affectedByBusiest float64 // nodes changed by one server's going, by the ideal number
	chooseTime, unusedTime      time.Duration
	visitedEntries              int
}

// TestComparison compares ways of choosing 200 servers for each node: at a twentieth of the target's size, or
// with -long at the target's size.
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
		name string
		way  scheme
	}{
		{"rendezvous", &rendezvous{keys: keys}},
		{"rounds", &rounds{keys: keys}},
		{"ring 1.25", &boundedRing{keys: keys, nodes: nodes, multiple: 1.25}},
		{"ring 1.1", &boundedRing{keys: keys, nodes: nodes, multiple: 1.1}},
		{"ours", &subsetScheme{t: t, servers: servers, numbers: numbers}},
	}
	results := make(map[string]comparison)
	for _, s := range schemes {
		c := compareScheme(s.way, nodes, count)
		t.Logf("%-10s load / mean: p99 %.3f, most %.3f; nodes changed / ideal: %.2f, of the busiest %.2f; choose %v; change elsewhere %v, %d entries",
			s.name, c.load.p99, c.load.max, c.affected, c.affectedByBusiest, c.chooseTime, c.unusedTime, c.visitedEntries)
		results[s.name] = c
	}
	require.LessOrEqual(t, results["ours"].load.p99, 1.25)
	require.LessOrEqual(t, results["ours"].affectedByBusiest, 1.5)
	require.Zero(t, results["ours"].visitedEntries)
	require.Greater(t, results["rendezvous"].load.p99, 1.5, "its servers are drawn by chance")
	require.Greater(t, results["rounds"].affected, 10.0, "a change shifts what is divided")
	require.Greater(t, results["ring 1.25"].visitedEntries, count, "a node works out what all others choose")
}

// compareScheme measures a scheme, with the going of six servers that are drawn and of the four with the
// most users.
func compareScheme(way scheme, nodes, count int) comparison {
	listed := make([]int32, count)
	for i := range listed {
		listed[i] = int32(i)
	}
	before := way.assign(nodes, listed)
	users := make([]float64, count)
	for _, set := range before {
		for _, server := range set {
			users[server]++
		}
	}
	affectedNodes := func(removed int32) float64 {
		remaining := slices.Delete(slices.Clone(listed), int(removed), int(removed)+1)
		ideal := float64(nodes) * DefaultMaxServers / float64(count)
		return float64(countDifferent(before, way.assign(nodes, remaining))) / ideal
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
	way.assign(nodes, listed)
	c.measureNode(way, nodes-1, listed, before[nodes-1])
	return c
}

// differing returns how many nodes have another set, in whatever order.
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

// measureNode measures a choice and a change elsewhere at one node, by the least time of three spans.
func (c *comparison) measureNode(way scheme, node int, listed, used []int32) {
	unused := int32(0)
	for slices.Contains(used, unused) {
		unused++
	}
	c.chooseTime, c.unusedTime = time.Hour, time.Hour
	for range 3 {
		start := time.Now()
		way.chooseOne(node, listed)
		c.chooseTime = min(c.chooseTime, time.Since(start))
		const repeats = 20
		start = time.Now()
		for range repeats {
			c.visitedEntries = way.removeUnused(node, listed, unused)
		}
		c.unusedTime = min(c.unusedTime, time.Since(start)/repeats)
	}
}
