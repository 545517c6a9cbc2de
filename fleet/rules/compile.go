package rules

import (
	"math"
	"slices"
)

// Settings holds the part of a node's own settings that a rule set may refer to.
type Settings struct {
	Plans, Classes, Zones []string
	MaxAttempts           int // attempts per request; 0 means no limit
	MaxInFlight           int // requests held at once; 0 means no limit
}

// Check returns an error if a node with these settings can't apply the set: an UnknownNameError for a plan, class or
// zone that the settings do not have, a LooserError for a limit that is looser than the settings', and an
// AllClosedError if every zone is closed.
func (s *Set) Check(settings Settings) error {
	plans := sortedKeys(s.Plans)
	for _, key := range sortedKeys(s.Tenants) {
		plan, _ := splitTenantKey(key)
		plans = append(plans, plan)
	}
	for _, named := range []struct {
		kind         string
		names, known []string
	}{
		{"plan", plans, settings.Plans},
		{"class", sortedKeys(s.Classes), settings.Classes},
		{"zone", sortedKeys(s.Zones), settings.Zones},
	} {
		for _, name := range named.names {
			if !slices.Contains(named.known, name) {
				return &UnknownNameError{named.kind, name}
			}
		}
	}
	if err := s.checkLimits(settings); err != nil {
		return err
	}
	isOpen := func(zone string) bool { return !s.Zones[zone].Closed }
	if len(settings.Zones) > 0 && !slices.ContainsFunc(settings.Zones, isOpen) {
		return &AllClosedError{settings.Zones}
	}
	return nil
}

// checkLimits returns a LooserError for the first limit that is looser than the settings'.
func (s *Set) checkLimits(settings Settings) error {
	if err := checkNotLooser("limits.in_flight", s.Limits.InFlight, settings.MaxInFlight); err != nil {
		return err
	}
	if err := checkNotLooser("limits.attempts", s.Limits.Attempts, settings.MaxAttempts); err != nil {
		return err
	}
	for _, name := range sortedKeys(s.Classes) {
		if err := checkNotLooser("classes."+name+".attempts", s.Classes[name].Attempts, settings.MaxAttempts); err != nil {
			return err
		}
	}
	return nil
}

// checkNotLooser returns a LooserError if a value exceeds a limit. A nil value and a limit of 0 pass.
func checkNotLooser(key string, value *int, limit int) error {
	if value != nil && limit > 0 && *value > limit {
		return &LooserError{key, *value, limit}
	}
	return nil
}

// Compiled is a rule set in the form that a node's decisions use. Its slices are in the order of the plans and classes
// in the node's settings.
type Compiled struct {
	PriceFactor       []float64          // by plan; NaN means the factor in the settings
	QuotaFactor       []float64          // by plan; factor on the settings' rate and burst, 1 if not named
	TenantQuotaFactor map[string]float64 // by "PLAN ID"; replaces QuotaFactor for that tenant
	MaxAttempts       []int              // by class; attempts per request, 0 means no limit
	MaxInFlight       int                // requests held at once; 0 means no limit
	ClosedZones       []string           // sorted
	CrossZoneCost     map[string]float64 // by zone, only if named; value that an attempt from another zone costs
}

// Compile checks the set against a node's settings and returns its compiled form.
func (s *Set) Compile(settings Settings) (*Compiled, error) {
	if err := s.Check(settings); err != nil {
		return nil, err
	}
	c := &Compiled{TenantQuotaFactor: map[string]float64{}, CrossZoneCost: map[string]float64{}}
	for _, name := range settings.Plans {
		c.PriceFactor = append(c.PriceFactor, valueOr(s.Plans[name].Price, math.NaN()))
		c.QuotaFactor = append(c.QuotaFactor, valueOr(s.Plans[name].Quota, 1))
	}
	for key, tenant := range s.Tenants {
		if tenant.Quota != nil {
			c.TenantQuotaFactor[key] = *tenant.Quota
		}
	}
	maxAttempts := valueOr(s.Limits.Attempts, settings.MaxAttempts)
	for _, name := range settings.Classes {
		n := valueOr(s.Classes[name].Attempts, maxAttempts)
		if maxAttempts > 0 {
			n = min(n, maxAttempts)
		}
		c.MaxAttempts = append(c.MaxAttempts, n)
	}
	c.MaxInFlight = valueOr(s.Limits.InFlight, settings.MaxInFlight)
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

// valueOr returns the value behind a pointer, or the fallback for nil.
func valueOr[T any](pointer *T, fallback T) T {
	if pointer == nil {
		return fallback
	}
	return *pointer
}
