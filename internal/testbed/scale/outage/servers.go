package outage

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"sloestile/fleet/subset"
	"sloestile/internal/testbed/discovery"
)

const (
	serverCapacity = 52.0 // requests a second of a warm server; the target's peak is 0.7 of all of them
	bootLongAgo    = 1_700_000_000_000.0
	// reach is how many servers from its position on a hollow node is given, in windows: its choice
	// depends on no server beyond two windows, see fleet/subset.
	reach = 4
)

// subsetMost is the size of the window that the events are simulated with.
const subsetMost = subset.DefaultMaxServers

// serverList is the list of all servers, and their order on the ring of fleet/subset. All hollow nodes
// share it.
type serverList struct {
	size    fleetSize
	servers []subset.Server
	ring    []ringPlace
}

// ringPlace is a server's position on the ring.
type ringPlace struct {
	position uint64
	index    int
}

// newServerList draws a list: the servers of a zone are on racks of 40, in groups of 100.
func newServerList(f fleetSize, seed uint64) *serverList {
	rng := rand.New(rand.NewPCG(seed, 11))
	l := &serverList{size: f, servers: make([]subset.Server, f.servers), ring: make([]ringPlace, f.servers)}
	for i := range l.servers {
		id := fmt.Sprintf("rating-%08x-%06d", rng.Uint32(), i)
		l.servers[i] = subset.Server{ID: id, Endpoint: fmt.Sprintf("10.%d.%d.%d:8443", i>>16, i>>8&255, i&255),
			Zone: zoneName(f.zoneOf(i)), Model: fmt.Sprintf("model-%d", rng.IntN(4)), Group: i / f.zones / 100,
			Capacity: serverCapacity, BootMS: bootLongAgo}
		l.ring[i] = ringPlace{xxhash.Sum64String(id), i}
	}
	slices.SortFunc(l.ring, func(a, b ringPlace) int { return cmp.Compare(a.position, b.position) })
	return l
}

// near returns the servers on which a node's choice can depend, a shared part of the list: those that
// follow its position on the ring.
func (l *serverList) near(node int) []subset.Server {
	n := min(reach*subsetMost, len(l.ring))
	start := bits.Reverse64(uint64(node))
	from := sort.Search(len(l.ring), func(i int) bool { return l.ring[i].position >= start })
	out := make([]subset.Server, n)
	for k := range out {
		out[k] = l.servers[l.ring[(from+k)%len(l.ring)].index]
	}
	return out
}

// newSet returns a node's set over a part of the list.
func newSet(node int, servers []subset.Server) (*subset.Set, error) {
	set, err := subset.New(subset.Config{Node: node, MaxServers: subsetMost})
	if err != nil {
		return nil, err
	}
	list := set.NewList()
	for _, s := range servers {
		if err := list.Add(s); err != nil {
			return nil, err
		}
	}
	set.Replace(list)
	return set, nil
}

// sharers returns how many nodes use one server in the mean, by a set that was given a part of the list.
func (l *serverList) sharers(set *subset.Set, listed int) float64 {
	return set.Sharers(l.size.nodes) * float64(set.Available()) / float64(listed)
}

// removed returns the servers as a delta that removes them brings them.
func removed(servers []subset.Server) []subset.Server {
	out := slices.Clone(servers)
	for i := range out {
		out[i].State = subset.Removed
	}
	return out
}

// message encodes servers as discovery sends them.
func message(servers []subset.Server, whole bool) ([]byte, error) {
	states := map[subset.State]string{subset.Available: "up", subset.Draining: "draining", subset.Removed: "removed"}
	m := discovery.Listing{Rev: 1_234_567, All: whole, Targets: make([]discovery.Target, len(servers))}
	for i, s := range servers {
		m.Targets[i] = discovery.Target{UID: s.ID, Endpoint: s.Endpoint, AZ: s.Zone, Model: s.Model, PodGroup: s.Group,
			State: states[s.State], Capacity: s.Capacity, BootMS: int64(s.BootMS)}
	}
	return json.Marshal(m)
}

// decode reads a message of discovery.
func decode(raw []byte) ([]subset.Server, error) {
	states := map[string]subset.State{"up": subset.Available, "draining": subset.Draining, "removed": subset.Removed}
	var m discovery.Listing
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	out := make([]subset.Server, len(m.Targets))
	for i, t := range m.Targets {
		out[i] = subset.Server{ID: t.UID, Endpoint: t.Endpoint, Zone: t.AZ, Model: t.Model, Group: t.PodGroup,
			State: states[t.State], Capacity: t.Capacity, BootMS: float64(t.BootMS)}
	}
	return out, nil
}

// pushMost is the most time that discovery takes to tell a node of a change.
const pushMost = 2 * time.Second

// pushDelay draws the time until discovery has told a node of a change: 0.1 s at least, 0.5 s in the
// mean, and pushMost.
func pushDelay(rng *rand.Rand) time.Duration {
	const least, mean = 100 * time.Millisecond, 500 * time.Millisecond
	return min(pushMost, least+time.Duration(rng.ExpFloat64()*float64(mean-least)))
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
