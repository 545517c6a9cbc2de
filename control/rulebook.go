package control

import "slices"

// This file looks up what a version of the rules says; what comes of it is in rules.go.

// prices gives the plans' prices by the rules.
func (e *Rules) prices(plans []*plan) []float64 {
	all := make([]float64, len(plans))
	for i, p := range plans {
		if all[i] = p.Price; i < len(e.Price) && e.Price[i] >= 0 { // a NaN is not
			all[i] = e.Price[i]
		}
	}
	return all
}

// quota gives by how much the rules multiply the quota of a customer.
func (e *Rules) quota(p *plan, key string) float64 {
	f, ok := e.Customers[key]
	if !ok && p.index < len(e.Quota) {
		f, ok = e.Quota[p.index], true
	}
	if !ok || !(f >= 0) {
		return 1
	}
	return f
}

// closed tells whether the rules close a server's zone.
func (e *Rules) closed(s *server) bool { return slices.Contains(e.Closed, s.Zone) }

// mostSends is how many attempts a request may have, by the settings and its rules; 0 is no limit.
func (c *Controller) mostSends(r *request) int {
	for i := range r.rules.Attempts {
		if i < len(c.set.Classes) && r.class == &c.set.Classes[i] {
			return tighter(r.rules.Attempts[i], c.set.SendCap)
		}
	}
	return c.set.SendCap
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
func (c *Controller) Version(id string) uint64 {
	if r := c.reqs[id]; r != nil {
		return r.rules.Version
	}
	return 0
}
