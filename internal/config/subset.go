package config

import (
	"errors"
	"fmt"

	"sloestile/fleet/subset"
)

// Subset enables the use of a subset of a long endpoint list. A nil field means the default of subset.Config.
type Subset struct {
	MaxServers *int `toml:"servers"`    // number of servers, to which zone minimums may add; a shorter list is used whole
	MinPerZone *int `toml:"zone_least"` // minimum number of servers of each zone, if it has as many; 0 means no minimum
	MaxListed  *int `toml:"list_most"`  // maximum number of entries in an endpoint list; a longer list is dropped
}

// subsetFileKeys maps the keys of a subset.ConfigError to the keys of the fleet file.
var subsetFileKeys = map[string]string{"most": "subset.servers", "zone least": "subset.zone_least", "list most": "subset.list_most"}

// check returns the first key with an invalid value, and the reason.
func (c *Subset) check() (key string, err error) {
	for _, k := range []struct {
		name     string
		value    *int
		minValue int
	}{{"subset.servers", c.MaxServers, 1}, {"subset.zone_least", c.MinPerZone, 0}, {"subset.list_most", c.MaxListed, 1}} {
		if k.value != nil && *k.value < k.minValue {
			return k.name, fmt.Errorf("%d is below %d", *k.value, k.minValue)
		}
	}
	var configErr *subset.ConfigError
	if !errors.As(c.config(0).Validate(), &configErr) {
		return "", nil
	}
	return subsetFileKeys[configErr.Key], fmt.Errorf("%d is not in %d to %d", configErr.Value, configErr.Min, configErr.Max)
}

// config returns the subset configuration of the node with index node, with defaults for nil fields.
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

// SubsetOf returns the subset configuration of the node with index node; nil means that it uses the whole list. A nil f
// is valid.
func (f *Fleet) SubsetOf(node int) *subset.Config {
	if f == nil || f.Subset == nil {
		return nil
	}
	s := f.Subset.config(node)
	return &s
}
