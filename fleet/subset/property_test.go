package subset

import (
	"fmt"
	"math"
	"math/bits"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// naive recomputes the chosen servers from the full list after each message. It shares no code with Set.
type naive struct {
	config Config
	hash   func(string) uint64
	list   map[string]Server
	chosen []string // IDs in ring order
	kept   []string // IDs of draining servers that had been chosen, the longest-draining first
}

// ring returns the listed servers clockwise from the node's position.
func (n *naive) ring() []Server {
	start := bits.Reverse64(uint64(n.config.Node))
	var all []Server
	for _, server := range n.list {
		all = append(all, server)
	}
	slices.SortFunc(all, func(a, b Server) int {
		distanceA, distanceB := n.hash(a.ID)-start, n.hash(b.ID)-start
		if distanceA < distanceB || distanceA == distanceB && a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// recompute determines the chosen servers from the list.
func (n *naive) recompute() {
	var kept []string
	for _, id := range append(slices.Clone(n.kept), n.chosen...) {
		server, listed := n.list[id]
		if listed && server.State == Draining && !slices.Contains(kept, id) {
			kept = append(kept, id)
		}
	}
	for len(kept) > n.config.Most {
		kept = kept[1:]
	}
	n.kept = kept
	n.chosen = nil
	ring := n.ring()
	limit := n.floorLimit(ring)
	taken, takenOfZone := 0, make(map[string]int)
	for _, server := range ring {
		available := server.State == Available
		if available {
			taken++
			takenOfZone[server.Zone]++
		}
		switch {
		case len(n.list) <= n.config.Most:
		case available && taken <= n.config.Most:
		case available && takenOfZone[server.Zone] <= n.config.ZoneLeast && n.distance(server) <= limit:
		case slices.Contains(kept, server.ID):
		default:
			continue
		}
		n.chosen = append(n.chosen, server.ID)
	}
}

// distance returns how far a server is clockwise from the node's position.
func (n *naive) distance(server Server) float64 {
	return float64(n.hash(server.ID) - bits.Reverse64(uint64(n.config.Node)))
}

// floorLimit returns the distance up to which floors are filled, twice that of the window's end.
func (n *naive) floorLimit(ring []Server) float64 {
	taken := 0
	for _, server := range ring {
		if server.State == Available {
			taken++
		}
		if taken == n.config.Most {
			return 2 * n.distance(server)
		}
	}
	return math.Inf(1)
}

// servers returns the chosen servers.
func (n *naive) servers() []Server {
	servers := []Server{}
	for _, id := range n.chosen {
		servers = append(servers, n.list[id])
	}
	return servers
}

// update changes the list by a delta. It reports whether both the delta and the list stay within the maximum of entries.
func (n *naive) update(delta []Server) bool {
	if len(delta) > n.config.ListMost {
		return false
	}
	after := make(map[string]Server)
	for id, server := range n.list {
		after[id] = server
	}
	for _, server := range delta {
		after[server.ID] = server
		if server.State == Removed {
			delete(after, server.ID)
		}
	}
	if len(after) > n.config.ListMost {
		return false
	}
	n.list = after
	return true
}

// drawMessage draws entries with distinct IDs from a small range, so that they meet again.
func drawMessage(t *rapid.T, most int) []Server {
	server := rapid.Custom(func(t *rapid.T) Server {
		return Server{
			ID:       fmt.Sprintf("s%d", rapid.IntRange(0, 39).Draw(t, "id")),
			Endpoint: rapid.SampledFrom([]string{"a:1", "b:1"}).Draw(t, "endpoint"),
			Zone:     rapid.SampledFrom([]string{"north", "south", "east", "west"}).Draw(t, "zone"),
			State:    rapid.SampledFrom([]State{Available, Available, Available, Draining, Removed}).Draw(t, "state"),
		}
	})
	byID := func(server Server) string { return server.ID }
	return rapid.SliceOfNDistinct(server, 0, most, byID).Draw(t, "message")
}

// follow applies a Change to what a consumer knows of the chosen servers.
func follow(known map[string]Server, change Change) {
	for _, id := range change.Removed {
		delete(known, id)
	}
	for _, server := range change.Updated {
		known[server.ID] = server
	}
}

// send delivers a message, whole list or delta, to the set and the naive model. It requires an error, and
// no change, exactly where the message exceeds the maximum size of a list.
func send(t *rapid.T, set *Set, model *naive, whole bool, message []Server) Change {
	if !whole {
		change, err := set.Apply(message)
		fits := model.update(message)
		require.Equal(t, fits, err == nil)
		if fits {
			model.recompute()
		}
		return change
	}
	list := set.NewList()
	var failed error
	for _, server := range message {
		failed = list.Add(server)
	}
	change := set.Replace(list)
	fits := len(message) <= model.config.ListMost
	require.Equal(t, fits, failed == nil)
	if fits {
		model.list = map[string]Server{}
		model.update(message)
		model.recompute()
	}
	return change
}

// checkMany checks a property 2,000 times with rapid's default of 100 checks: some faults need a rare
// sequence of messages.
func checkMany(t *testing.T, property func(*rapid.T)) {
	for range 20 {
		rapid.Check(t, property)
	}
}

// TestChosenMatchesNaiveRecomputation sends random messages and compares the set after each with a
// recomputation from the full list, and with what a consumer that follows the changes knows. Half of the
// runs use a hash of eight values, so that most servers collide.
func TestChosenMatchesNaiveRecomputation(t *testing.T) {
	checkMany(t, func(t *rapid.T) {
		config := Config{
			Node:      rapid.IntRange(0, 9).Draw(t, "node"),
			Most:      rapid.IntRange(1, 8).Draw(t, "most"),
			ZoneLeast: rapid.SampledFrom([]int{NoZoneFloor, 1, 2, 3}).Draw(t, "zoneLeast"),
			ListMost:  30,
		}
		order := realOrdering
		if rapid.Bool().Draw(t, "collisions") {
			order.hash = func(id string) uint64 { return xxhash.Sum64String(id) &^ (1<<61 - 1) }
		}
		set, err := newSet(config, order)
		require.NoError(t, err)
		model := &naive{config: config, hash: order.hash, list: map[string]Server{}}
		known := make(map[string]Server)
		for range rapid.IntRange(1, 25).Draw(t, "messages") {
			whole := rapid.IntRange(0, 4).Draw(t, "whole") == 0
			most := rapid.SampledFrom([]int{1, 1, 3, 20, 40}).Draw(t, "size")
			message := drawMessage(t, most)
			follow(known, send(t, set, model, whole, message))
			compareWithModel(t, set, model, known)
		}
	})
}

func compareWithModel(t *rapid.T, set *Set, model *naive, known map[string]Server) {
	require.Equal(t, model.servers(), set.Chosen())
	require.Equal(t, len(model.list), set.Len())
	require.LessOrEqual(t, len(set.Chosen()), set.config.ChosenMost())
	byID := make(map[string]Server)
	for _, server := range set.Chosen() {
		byID[server.ID] = server
	}
	require.Equal(t, byID, known)
}
