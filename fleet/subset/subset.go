// Package subset chooses the servers that an edge node uses from a long list of servers.
//
// Servers and nodes have positions on a ring of 2^64 points. The position of a server is the hash of its ID.
// The position of a node is its number with the bits reversed, which spreads any number of nodes evenly
// without knowing how many there are. A node uses the first MaxServers available servers clockwise from its
// position; they are its window. If a zone has fewer than MinPerZone servers in the window, its next servers
// are added up to that minimum, as far as they lie within twice the length of the window. The choice of
// available servers depends only on the content of the list, not on its order, so that a restarted node
// makes the same choice again. A list of at most MaxServers servers is used whole.
//
// A chosen server that begins to drain is replaced at once. It stays in the set, as Draining, until it is
// removed from the list or available again. At most MaxServers draining servers stay; beyond that those that
// have been draining longest leave the set.
//
// A Set holds the list and the choice. Set.Apply applies a delta, and Set.NewList and Set.Replace replace the
// whole list. A change of the list costs O(log N), and O(MaxServers) more if it affects the node's chosen
// servers. The package holds no lock, starts no goroutine and reads no clock.
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

	// NoZoneMinimum as MinPerZone means that zones have no minimum.
	NoZoneMinimum = -1
	// MaxZones is the maximum number of zones of a list with more than MaxServers servers.
	MaxZones = 64

	// Maximum values of the fields of a Config.
	maxNode           = 1 << 30
	maxServersBound   = 4096
	maxPerZoneMinimum = 64
	maxListedBound    = 1 << 20
)

// Config is the configuration of a Set. A value of 0 means the default, except for Node.
type Config struct {
	Node       int // number of the node in its group, from 0
	MaxServers int // available servers in the window; a list of at most this length is used whole
	MinPerZone int // minimum servers of each zone that has as many within twice the length of the window
	MaxListed  int // maximum number of servers in the list
}

// withDefaults returns the configuration with the defaults of fields that are 0.
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

// MaxChosen returns the maximum number of chosen servers: the window, the minimums of MaxZones zones, and as
// many draining servers as the window can hold.
func (c Config) MaxChosen() int {
	c = c.withDefaults()
	return c.MaxServers + MaxZones*max(c.MinPerZone, 0) + c.MaxServers
}

// checkZones returns a *TooManyError if a list with a number of servers has too many zones.
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
	draining        []*entry          // chosen servers that drain, longest-draining first
	windowEnd       *entry            // last server of a full window; nil if it is not full
	maxZoneDistance uint64            // distance from start within which zone minimums are filled
	zoneEnds        map[string]*entry // by zone, its last server that counts for the minimum; none if it has too few
	visited         int               // entries visited by all choices so far, for tests
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

// Sharers returns the mean number of nodes that use one available server, for a group of a number of nodes.
// It is the whole group if the list is used whole, and 0 if no server is available in a longer list.
func (s *Set) Sharers(group int) float64 {
	if s.Whole() {
		return float64(group)
	}
	if s.Available() == 0 {
		return 0
	}
	return float64(group) * float64(s.chosenAvailable) / float64(s.Available())
}
