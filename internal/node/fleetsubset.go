package node

import (
	"errors"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"sloestile/fleet/subset"
	"sloestile/internal/discovery"
)

// SubsetConfig switches on that the node uses a part of a long server list. A key that is not given has
// its default.
type SubsetConfig struct {
	Servers   *int // that are used at most; a shorter list is used whole
	ZoneLeast *int `toml:"zone_least"` // of each zone, where it has as many
	ListMost  *int `toml:"list_most"`  // entries; a longer list is dropped
}

// subsetKeys are the fleet file's names of what a subset is configured with.
var subsetKeys = map[string]string{"most": "subset.servers", "zone least": "subset.zone_least", "list most": "subset.list_most"}

// check gives the first key with a value that can't be, and why.
func (c *SubsetConfig) check() (key string, err error) {
	for _, k := range []struct {
		name  string
		value *int
		least int
	}{{"subset.servers", c.Servers, 1}, {"subset.zone_least", c.ZoneLeast, 0}, {"subset.list_most", c.ListMost, 1}} {
		if k.value != nil && *k.value < k.least {
			return k.name, fmt.Errorf("%d is below %d", *k.value, k.least)
		}
	}
	var wrong *subset.ConfigError
	if !errors.As(c.config(0).Validate(), &wrong) {
		return "", nil
	}
	return subsetKeys[wrong.Key], fmt.Errorf("%d is not in %d to %d", wrong.Have, wrong.Least, wrong.Most)
}

func (c *SubsetConfig) config(node int) subset.Config {
	s := subset.Config{Node: node, Most: subset.DefaultMost, ZoneLeast: subset.DefaultZoneLeast, ListMost: subset.DefaultListMost}
	if c.Servers != nil {
		s.Most = *c.Servers
	}
	if c.ZoneLeast != nil {
		if s.ZoneLeast = *c.ZoneLeast; s.ZoneLeast == 0 {
			s.ZoneLeast = subset.NoZoneFloor
		}
	}
	if c.ListMost != nil {
		s.ListMost = *c.ListMost
	}
	return s
}

// subset gives the part of the server list that a node of a number uses; nil is all of it.
func (f *Fleet) subset(node int) *subset.Config {
	if f == nil || f.Subset == nil {
		return nil
	}
	s := f.Subset.config(node)
	return &s
}

func newSubsetDropped() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: "node_subset_dropped_total", Help: "Lists and changes of them that were dropped whole."})
}

// registerSubset names the figures of the subset for the operators.
func registerSubset(r *prometheus.Registry, c *discovery.Counts, dropped prometheus.Counter) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "node_subset_listed", Help: "Rating servers in the whole list."},
			func() float64 { return float64(c.Listed.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "node_subset_chosen", Help: "Rating servers of it that this node uses."},
			func() float64 { return float64(c.Chosen.Load()) }),
		dropped)
}
