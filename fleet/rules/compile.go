package rules

import (
	"math"
	"slices"
)

// Settings is what a node's own settings have, of what a rule set may name.
type Settings struct {
	Plans, Classes, Zones []string
	MaxAttempts           int // of one request; 0 is no limit
	MaxInFlight           int // requests held at once; 0 is no limit
}

// Check reports whether a node can act by the set: an UnknownNameError where it names a plan, a class or a zone that the
// node does not have, and a LooserError where it is looser than the node's settings.
func (s *Set) Check(have Settings) error {
	plans := sortedKeys(s.Plans)
	for _, key := range sortedKeys(s.Tenants) {
		plan, _ := splitTenantKey(key)
		plans = append(plans, plan)
	}
	for _, named := range []struct {
		kind        string
		names, have []string
	}{
		{"plan", plans, have.Plans},
		{"class", sortedKeys(s.Classes), have.Classes},
		{"zone", sortedKeys(s.Zones), have.Zones},
	} {
		for _, name := range named.names {
			if !slices.Contains(named.have, name) {
				return &UnknownNameError{named.kind, name}
			}
		}
	}
	if err := s.checkLimits(have); err != nil {
		return err
	}
	isOpen := func(zone string) bool { return !s.Zones[zone].Closed }
	if len(have.Zones) > 0 && !slices.ContainsFunc(have.Zones, isOpen) {
		return &AllClosedError{have.Zones}
	}
	return nil
}

// checkLimits names the first limit that is looser than the settings'.
func (s *Set) checkLimits(have Settings) error {
	if err := checkNotLooser("limits.in_flight", s.Limits.InFlight, have.MaxInFlight); err != nil {
		return err
	}
	if err := checkNotLooser("limits.attempts", s.Limits.Attempts, have.MaxAttempts); err != nil {
		return err
	}
	for _, name := range sortedKeys(s.Classes) {
		if err := checkNotLooser("classes."+name+".attempts", s.Classes[name].Attempts, have.MaxAttempts); err != nil {
			return err
		}
	}
	return nil
}

func checkNotLooser(key string, value *int, limit int) error {
	if value != nil && limit > 0 && *value > limit {
		return &LooserError{key, *value, limit}
	}
	return nil
}

// Compiled is a set as a node's decisions use it: plain numbers in the order of its settings.
type Compiled struct {
	PriceFactor       []float64          // by plan; NaN is the settings'
	QuotaFactor       []float64          // by plan: times the settings' rate and burst
	TenantQuotaFactor map[string]float64 // by "PLAN ID": in place of QuotaFactor
	MaxAttempts       []int              // by class: of one request; 0 is no limit
	MaxInFlight       int                // 0 is no limit
	ClosedZones       []string           // sorted
	CrossZoneCost     map[string]float64 // by zone: of an attempt from another one, where it is not the settings'
}

// Compile checks the set against a node's settings and returns it in the form that its decisions use.
func (s *Set) Compile(have Settings) (*Compiled, error) {
	if err := s.Check(have); err != nil {
		return nil, err
	}
	c := &Compiled{TenantQuotaFactor: map[string]float64{}, CrossZoneCost: map[string]float64{}}
	for _, name := range have.Plans {
		c.PriceFactor = append(c.PriceFactor, valueOr(s.Plans[name].Price, math.NaN()))
		c.QuotaFactor = append(c.QuotaFactor, valueOr(s.Plans[name].Quota, 1))
	}
	for key, tenant := range s.Tenants {
		if tenant.Quota != nil {
			c.TenantQuotaFactor[key] = *tenant.Quota
		}
	}
	maxAttempts := valueOr(s.Limits.Attempts, have.MaxAttempts)
	for _, name := range have.Classes {
		n := valueOr(s.Classes[name].Attempts, maxAttempts)
		if maxAttempts > 0 {
			n = min(n, maxAttempts)
		}
		c.MaxAttempts = append(c.MaxAttempts, n)
	}
	c.MaxInFlight = valueOr(s.Limits.InFlight, have.MaxInFlight)
	for _, name := range sortedKeys(s.Zones) {
		zone := s.Zones[name]
		if zone.Closed {
			c.ClosedZones = append(c.ClosedZones, name)
		}
		if zone.Cost != nil {
			c.CrossZoneCost[name] = *zone.Cost
		}
	}
	return c, nil
}

// valueOr returns the value behind a pointer, or another one for nil.
func valueOr[T any](pointer *T, otherwise T) T {
	if pointer == nil {
		return otherwise
	}
	return *pointer
}
