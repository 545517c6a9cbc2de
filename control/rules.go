package control

import "math"

// onRules puts other rules in force. A customer keeps what its store holds.
func (c *Controller) onRules(e Rules) {
	c.rules, c.most = &e, math.Inf(1)
	if e.MaxInFlight > 0 {
		c.most = float64(tighter(e.MaxInFlight, c.set.MaxInFlight))
	}
	c.law.weigh(e.prices(c.plans))
	for key, q := range c.custs {
		c.refill(q)
		c.allow(q, key)
	}
}

// allow gives a customer the quota that the rules in force make of the settings'. None may be nothing,
// which in a plan is no quota at all.
func (c *Controller) allow(q *customer, key string) {
	p := c.planOf[q.plan.Name]
	q.plan, q.quota = &p.Plan, 1
	if f := c.rules.quota(p, key); f != 1 && p.Rate > 0 {
		own := p.Plan
		q.plan, q.quota = &own, max(f, quotaLeast)
		own.Rate, own.Burst = p.Rate*q.quota, p.Burst*q.quota
	}
}

// far is the wait at a server that is as dear as what the rules of a request have an attempt in its
// zone cost: an answer that comes an aim late has lost its worth.
func (c *Controller) far(r *request, s *server) float64 {
	if len(r.rules.CrossZoneCost) == 0 || s.Zone == c.set.Zone {
		return 0
	}
	return r.rules.CrossZoneCost[s.Zone] / max(r.class.PriorityWeight, tiny) * r.class.LatencyObjective.Seconds()
}

// keepsOut tells whether a request keeps out of the zones that its rules close, as it may go to another.
func (c *Controller) keepsOut(r *request) bool {
	return len(r.rules.ClosedZones) > 0 &&
		c.count(func(s *server) bool { return s.usable() && c.sameGroup(r, s) && !r.rules.closed(s) }) > 0
}
