// Package subset chooses the servers that an edge node uses among a large list of servers.
//
// Servers and nodes have positions on a ring of 2^64 points: a server by the hash of its ID, a node by the
// bits of its number in reverse, which spreads any number of nodes evenly, so that the choice does not
// depend on how many nodes there are. A node uses the first Most available servers clockwise from its
// position, its window. A zone with fewer than ZoneLeast servers in the window adds its next ones up to
// that floor, as far as they lie within twice the length of the window. The choice of available servers
// depends on the list only, not on the order in which it came, so that a node which restarts makes the
// same choice again.
//
// A chosen server that begins to drain is replaced at once. It stays in the set, as Draining, until it is
// removed from the list, available again, or one of more than Most such servers, of which the
// longest-draining leave. A list of at most Most servers is used whole.
//
// A change of the list costs O(log N), and at a node whose chosen servers it concerns O(Most) more. The
// package holds no lock, starts no goroutine and reads no clock.
package subset

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Defaults and bounds of a Config.
const (
	DefaultMaxServers = 200
	DefaultMinPerZone = 2
	DefaultMaxListed  = 131_072

	// NoZoneFloor as ZoneLeast switches the zones' floor off.
	NoZoneMinimum = -1
	// ZonesMost is the maximum number of zones of a list that is longer than Most.
	MaxZones = 64

	maxNode           = 1 << 30
	maxServersBound   = 4096
	maxPerZoneMinimum = 64
	maxListedBound    = 1 << 20
)

// Config is the configuration of a Set. A field that is 0 has its default; Node has none.
type Config struct {
	Node       int // number of the node in its group, from 0
	MaxServers int // available servers of the window; a list that is no longer is used whole
	MinPerZone int // servers of each zone, if it has as many within twice the length of the window
	MaxListed  int // servers of the list, at most
}

// withDefaults returns the configuration with defaults for what is 0.
func (c Config) withDefaults() Config {
	if c.MaxServers == 0 {
		c.MaxServers = DefaultMaxServers
	}
	if c.MinPerZone == 0 {
		c.MinPerZone = DefaultMinPerZone
	}
	if c.MaxListed == 0 {
		c.MaxListed = DefaultMaxListed
	}
	return c
}

// Validate reports the first value that is out of its range, as a *ConfigError.
func (c Config) Validate() error {
	c = c.withDefaults()
	values := []ConfigError{
		{Key: "node", Value: c.Node, Min: 0, Max: maxNode},
		{Key: "most", Value: c.MaxServers, Min: 1, Max: maxServersBound},
		{Key: "zone least", Value: c.MinPerZone, Min: NoZoneMinimum, Max: maxPerZoneMinimum},
		{Key: "list most", Value: c.MaxListed, Min: c.MaxServers, Max: maxListedBound},
	}
	for _, value := range values {
		if value.Value < value.Min || value.Value > value.Max {
			return &value
		}
	}
	return nil
}

// ChosenMost returns the maximum number of chosen servers: the window, the floors of ZonesMost zones, and
// as many draining servers as the window holds.
func (c Config) MaxChosen() int {
	c = c.withDefaults()
	return c.MaxServers + MaxZones*max(c.MinPerZone, 0) + c.MaxServers
}

// checkZones reports whether a list of a size has too many zones.
func (c Config) checkZones(listed, zones int) error {
	if listed > c.MaxServers && zones > MaxZones {
		return &TooManyError{What: "zones", Count: zones, Max: MaxZones}
	}
	return nil
}

// Set holds a server list and the servers chosen from it for one node. It is not safe for concurrent use.
type Set struct {
	config  Config
	order   ordering
	start   uint64 // the node's position
	compare func(a, b *entry) int
	index   *index

	chosen          []*entry // in ring order from start
	chosenAvailable int
	draining        []*entry          // those of the chosen ones that drain, the longest-draining first
	windowEnd       *entry            // the last server of a full window; nil if it is not full
	maxZoneDistance uint64            // distance from start within which floors are filled
	zoneEnds        map[string]*entry // by zone: its server number ZoneLeast; none if it has fewer within floorLimit
	visited         int               // entries visited by all choices so far
}

// New returns a set with an empty list, or a *ConfigError.
func New(config Config) (*Set, error) {
	return newSet(config, ordering{hash: xxhash.Sum64String, less: lessOnRing})
}

func newSet(config Config, order ordering) (*Set, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	start := bits.Reverse64(uint64(config.Node))
	return &Set{
		config:  config.withDefaults(),
		order:   order,
		start:   start,
		compare: compareFrom(start),
		index:   newIndex(order),
	}, nil
}

// Chosen returns the chosen servers in ring order, beginning at the node's position.
func (s *Set) Chosen() []Server {
	servers := make([]Server, len(s.chosen))
	for i, e := range s.chosen {
		servers[i] = e.server()
	}
	return servers
}

// Whole reports whether the chosen servers are the whole list.
func (s *Set) Whole() bool { return s.Len() <= s.config.MaxServers }

// Len returns the number of listed servers.
func (s *Set) Len() int { return s.index.listed() }

// Available returns the number of listed servers that are available.
func (s *Set) Available() int { return s.index.available.Len() }

// Sharers returns how many of a group of nodes use one available server, in the mean. It is the whole
// group if the list is used whole, and 0 if no server is available in a longer list.
func (s *Set) Sharers(group int) float64 {
	if s.Whole() {
		return float64(group)
	}
	if s.Available() == 0 {
		return 0
	}
	return float64(group) * float64(s.chosenAvailable) / float64(s.Available())
}
