package config

import (
	"errors"
	"fmt"

	"sloestile/fleet/subset"
)

// Subset switches on that the node uses a subset of a long endpoint list. A nil field has its default: see subset.Config.
type Subset struct {
	MaxServers *int `toml:"servers"`    // in the subset; a shorter list is used whole
	MinPerZone *int `toml:"zone_least"` // servers of each zone, where the zone has as many; 0 is no floor
	MaxListed  *int `toml:"list_most"`  // entries of a list; a longer list is dropped
}

// subsetFileKeys maps the keys of a subset.ConfigError to those of the fleet file.
var subsetFileKeys = map[string]string{"most": "subset.servers", "zone least": "subset.zone_least", "list most": "subset.list_most"}

// check returns the first key with an invalid value, and why it is invalid.
func (c *Subset) check() (key string, err error) {
	for _, k := range []struct {
		name  string
		value *int
		least int
	}{{"subset.servers", c.MaxServers, 1}, {"subset.zone_least", c.MinPerZone, 0}, {"subset.list_most", c.MaxListed, 1}} {
		if k.value != nil && *k.value < k.least {
			return k.name, fmt.Errorf("%d is below %d", *k.value, k.least)
		}
	}
	var wrong *subset.ConfigError
	if !errors.As(c.config(0).Validate(), &wrong) {
		return "", nil
	}
	return subsetFileKeys[wrong.Key], fmt.Errorf("%d is not in %d to %d", wrong.Value, wrong.Min, wrong.Max)
}

func (c *Subset) config(node int) subset.Config {
	s := subset.Config{Node: node, MaxServers: subset.DefaultMaxServers, MinPerZone: subset.DefaultMinPerZone, MaxListed: subset.DefaultMaxListed}
	if c.MaxServers != nil {
		s.MaxServers = *c.MaxServers
	}
	if c.MinPerZone != nil {
		s.MinPerZone = *c.MinPerZone
		if s.MinPerZone == 0 {
			s.MinPerZone = subset.NoZoneMinimum
		}
	}
	if c.MaxListed != nil {
		s.MaxListed = *c.MaxListed
	}
	return s
}

// SubsetOf returns how the node with an index chooses its subset of the endpoint list; nil means the whole list.
func (f *Fleet) SubsetOf(node int) *subset.Config {
	if f == nil || f.Subset == nil {
		return nil
	}
	s := f.Subset.config(node)
	return &s
}
