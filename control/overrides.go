package control

import (
	"math"
	"slices"
)

// minQuotaFactor is the smallest factor on a quota: a rate of zero would mean that there is no quota.
const minQuotaFactor = 1e-6

// onRules puts a version of the operators' rules in force. The buckets keep their levels.
func (c *Controller) onRules(e Rules) {
	c.env.rules = &e
	c.concurrency.rulesBound = math.Inf(1)
	if e.MaxInFlight > 0 {
		c.concurrency.rulesBound = float64(lowerLimit(e.MaxInFlight, c.env.settings.MaxInFlight))
	}
	c.shares.setPrices(e.priceFactors(c.scheduler.plans))
	for key, t := range c.tenants.byKey {
		c.tenants.refill(t)
		c.tenants.applyRules(t, key)
	}
}

// applyRules sets a tenant's quota from the settings and the rules in force.
func (table *tenantTable) applyRules(t *tenant, key string) {
	settings := &t.queue.Plan
	t.plan = settings
	t.quotaFactor = 1
	factor := table.env.rules.quotaFactor(t.queue, key)
	if factor == 1 || settings.Rate <= 0 {
		return
	}
	t.quotaFactor = max(factor, minQuotaFactor)
	plan := *settings
	plan.Rate = settings.Rate * t.quotaFactor
	plan.Burst = settings.Burst * t.quotaFactor
	t.plan = &plan
}

// priceFactors returns the price factors of the plans by the rules. Where the rules have none, or NaN, it is
// that of the settings.
func (e *Rules) priceFactors(plans []*planQueue) []float64 {
	prices := make([]float64, len(plans))
	for i, p := range plans {
		prices[i] = p.PriceFactor
		if i < len(e.PriceFactor) && e.PriceFactor[i] >= 0 {
			prices[i] = e.PriceFactor[i]
		}
	}
	return prices
}

// quotaFactor returns the factor by which the rules multiply the quota of a tenant, 1 if they set none.
func (e *Rules) quotaFactor(plan *planQueue, key string) float64 {
	factor, ok := e.TenantQuotaFactor[key]
	if !ok && plan.index < len(e.QuotaFactor) {
		factor, ok = e.QuotaFactor[plan.index], true
	}
	if !ok || !(factor >= 0) {
		return 1
	}
	return factor
}

// closesZoneOf reports whether the rules close the zone of a server.
func (e *Rules) closesZoneOf(s *server) bool { return slices.Contains(e.ClosedZones, s.Zone) }

// maxAttempts returns the maximum number of attempts of a request by the settings and by its rules; 0 means
// no limit.
func (s *Settings) maxAttempts(r *request) int {
	for i, limit := range r.rules.MaxAttempts {
		if i < len(s.Classes) && r.class == &s.Classes[i] {
			return lowerLimit(limit, s.MaxAttempts)
		}
	}
	return s.MaxAttempts
}

// lowerLimit returns the lower of two limits, where 0 means no limit.
func lowerLimit(a, b int) int {
	if a <= 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// RuleVersion returns the version of the rules that apply to a request without a final response. It returns 0
// if these are the settings alone or the request is not known.
func (c *Controller) RuleVersion(id string) uint64 {
	if r := c.requests[id]; r != nil {
		return r.rules.Version
	}
	return 0
}
