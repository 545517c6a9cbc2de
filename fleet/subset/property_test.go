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

// referenceModel chooses servers from the full list after each message. It shares no code with Set.
type referenceModel struct {
	config   Config
	hash     func(string) uint64
	list     map[string]Server
	chosen   []string // IDs in ring order
	draining []string // IDs of draining servers that were chosen, longest-draining first
}

// ring returns the listed servers clockwise from the node's position.
func (m *referenceModel) ring() []Server {
	start := bits.Reverse64(uint64(m.config.Node))
	var all []Server
	for _, server := range m.list {
		all = append(all, server)
	}
	slices.SortFunc(all, func(a, b Server) int {
		distanceA, distanceB := m.hash(a.ID)-start, m.hash(b.ID)-start
		if distanceA < distanceB || distanceA == distanceB && a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// recompute chooses servers from the list.
func (m *referenceModel) recompute() {
	var draining []string
	for _, id := range append(slices.Clone(m.draining), m.chosen...) {
		server, listed := m.list[id]
		if listed && server.State == Draining && !slices.Contains(draining, id) {
			draining = append(draining, id)
		}
	}
	for len(draining) > m.config.MaxServers {
		draining = draining[1:]
	}
	m.draining = draining
	m.chosen = nil
	ring := m.ring()
	limit := m.maxZoneDistance(ring)
	taken, takenOfZone := 0, make(map[string]int)
	for _, server := range ring {
		available := server.State == Available
		if available {
			taken++
			takenOfZone[server.Zone]++
		}
		switch {
		case len(m.list) <= m.config.MaxServers:
		case available && taken <= m.config.MaxServers:
		case available && takenOfZone[server.Zone] <= m.config.MinPerZone && m.distance(server) <= limit:
		case slices.Contains(draining, server.ID):
		default:
			continue
		}
		m.chosen = append(m.chosen, server.ID)
	}
}

// distance returns the distance of a server clockwise from the node's position.
func (m *referenceModel) distance(server Server) float64 {
	return float64(m.hash(server.ID) - bits.Reverse64(uint64(m.config.Node)))
}

// maxZoneDistance returns the distance within which zone minimums are filled: twice that of the window's end.
func (m *referenceModel) maxZoneDistance(ring []Server) float64 {
	taken := 0
	for _, server := range ring {
		if server.State == Available {
			taken++
		}
		if taken == m.config.MaxServers {
			return 2 * m.distance(server)
		}
	}
	return math.Inf(1)
}

// servers returns the chosen servers.
func (m *referenceModel) servers() []Server {
	servers := []Server{}
	for _, id := range m.chosen {
		servers = append(servers, m.list[id])
	}
	return servers
}

// update applies a delta to the list, unless the delta or the list would exceed the maximum number of entries.
// It reports whether it applied the delta.
func (m *referenceModel) update(delta []Server) bool {
	if len(delta) > m.config.MaxListed {
		return false
	}
	after := make(map[string]Server)
	for id, server := range m.list {
		after[id] = server
	}
	for _, server := range delta {
		after[server.ID] = server
		if server.State == Removed {
			delete(after, server.ID)
		}
	}
	if len(after) > m.config.MaxListed {
		return false
	}
	m.list = after
	return true
}

// drawMessage draws entries with distinct IDs from a small range, so that later messages repeat them.
func drawMessage(t *rapid.T, maxEntries int) []Server {
	server := rapid.Custom(func(t *rapid.T) Server {
		return Server{
			ID:       fmt.Sprintf("s%d", rapid.IntRange(0, 39).Draw(t, "id")),
			Endpoint: rapid.SampledFrom([]string{"a:1", "b:1"}).Draw(t, "endpoint"),
			Zone:     rapid.SampledFrom([]string{"north", "south", "east", "west"}).Draw(t, "zone"),
			State:    rapid.SampledFrom([]State{Available, Available, Available, Draining, Removed}).Draw(t, "state"),
		}
	})
	byID := func(server Server) string { return server.ID }
	return rapid.SliceOfNDistinct(server, 0, maxEntries, byID).Draw(t, "message")
}

// applyChange applies a Change to a consumer's copy of the chosen servers.
func applyChange(known map[string]Server, change Change) {
	for _, id := range change.Removed {
		delete(known, id)
	}
	for _, server := range change.Updated {
		known[server.ID] = server
	}
}

// send sends a message, a complete list or a delta, to the set and the reference model. It requires an error
// exactly if the message exceeds the maximum size of a list.
func send(t *rapid.T, set *Set, model *referenceModel, complete bool, message []Server) Change {
	if !complete {
		change, err := set.Apply(message)
		fits := model.update(message)
		require.Equal(t, fits, err == nil)
		if fits {
			model.recompute()
		}
		return change
	}
	list := set.NewList()
	var err error
	for _, server := range message {
		err = list.Add(server)
	}
	change := set.Replace(list)
	fits := len(message) <= model.config.MaxListed
	require.Equal(t, fits, err == nil)
	if fits {
		model.list = map[string]Server{}
		model.update(message)
		model.recompute()
	}
	return change
}

// checkMany checks a property 2,000 times, with rapid's default of 100 checks for each call, because some
// faults need a rare sequence of messages.
func checkMany(t *testing.T, property func(*rapid.T)) {
	for range 20 {
		rapid.Check(t, property)
	}
}

// TestChosenMatchesReferenceModel guards against errors of incremental updates. It sends random messages and
// compares the set after each with the reference model, and with the copy of a consumer that applies the
// changes. Half of the runs use a hash with eight values, so that most servers collide.
func TestChosenMatchesReferenceModel(t *testing.T) {
	checkMany(t, func(t *rapid.T) {
		config := Config{
			Node:       rapid.IntRange(0, 9).Draw(t, "node"),
			MaxServers: rapid.IntRange(1, 8).Draw(t, "maxServers"),
			MinPerZone: rapid.SampledFrom([]int{NoZoneMinimum, 1, 2, 3}).Draw(t, "minPerZone"),
			MaxListed:  30,
		}
		order := realOrdering
		if rapid.Bool().Draw(t, "collisions") {
			order.hash = func(id string) uint64 { return xxhash.Sum64String(id) &^ (1<<61 - 1) }
		}
		set, err := newSet(config, order)
		require.NoError(t, err)
		model := &referenceModel{config: config, hash: order.hash, list: map[string]Server{}}
		known := make(map[string]Server)
		for range rapid.IntRange(1, 25).Draw(t, "messages") {
			complete := rapid.IntRange(0, 4).Draw(t, "complete") == 0
			maxEntries := rapid.SampledFrom([]int{1, 1, 3, 20, 40}).Draw(t, "size")
			message := drawMessage(t, maxEntries)
			applyChange(known, send(t, set, model, complete, message))
			compareWithModel(t, set, model, known)
		}
	})
}

// compareWithModel requires that the set, the reference model and the consumer's copy agree.
func compareWithModel(t *rapid.T, set *Set, model *referenceModel, known map[string]Server) {
	require.Equal(t, model.servers(), set.Chosen())
	require.Equal(t, len(model.list), set.Len())
	require.LessOrEqual(t, len(set.Chosen()), set.config.MaxChosen())
	byID := make(map[string]Server)
	for _, server := range set.Chosen() {
		byID[server.ID] = server
	}
	require.Equal(t, byID, known)
}
