package control

import "slices"

// This file looks up what a version of the rules says; what comes of it is in rules.go.

// prices gives the plans' prices by the rules.
func (e *Rules) prices(plans []*plan) []float64 {
	all := make([]float64, len(plans))
	for i, p := range plans {
		if all[i] = p.PriceFactor; i < len(e.PriceFactor) && e.PriceFactor[i] >= 0 { // a NaN is not
			all[i] = e.PriceFactor[i]
		}
	}
	return all
}

// quota gives by how much the rules multiply the quota of a customer.
func (e *Rules) quota(p *plan, key string) float64 {
	f, ok := e.TenantQuotaFactor[key]
	if !ok && p.index < len(e.QuotaFactor) {
		f, ok = e.QuotaFactor[p.index], true
	}
	if !ok || !(f >= 0) {
		return 1
	}
	return f
}

// closed tells whether the rules close a server's zone.
func (e *Rules) closed(s *server) bool { return slices.Contains(e.ClosedZones, s.Zone) }

// mostSends is how many attempts a request may have, by the settings and its rules; 0 is no limit.
func (c *Controller) mostSends(r *request) int {
	for i := range r.rules.MaxAttempts {
		if i < len(c.set.Classes) && r.class == &c.set.Classes[i] {
			return tighter(r.rules.MaxAttempts[i], c.set.MaxAttempts)
		}
	}
	return c.set.MaxAttempts
}

// tighter is the lower of two limits of which 0 is none.
func tighter(a, b int) int {
	if a <= 0 || b > 0 && b < a {
		return b
	}
	return a
}

// Version gives the version of the rules that a request goes by which has not had its final answer;
// 0 is the settings alone.
func (c *Controller) RuleVersion(id string) uint64 {
	if r := c.reqs[id]; r != nil {
		return r.rules.Version
	}
	return 0
}
