package control

import (
	"math"
	"time"
)

// tenantDemand is what is known of a tenant's demand, from meter readings and from requests at this node.
type tenantDemand struct {
	requestedTokens float64       // tokens of requests at this node, decaying
	requestedAt     time.Duration // time of the last request
	readTokens      float64       // tokens used according to the readings, decaying
	readSeconds     float64       // seconds of unrejected demand in which readTokens were used, decaying
	coveredSeconds  float64       // seconds of use that the readings cover, decaying
	readAt          time.Duration // time of the last reading
}

const (
	maxRejectionChance = 0.95 // maximum of the rejection chance
	// demandLifetime is the time in seconds after which a reading has lost 63% of its weight.
	demandLifetime = 20.0
	// readingLifetimeTokens is the number of tokens by which a quota refills until a reading has lost 63% of its
	// weight. It is up to twice as large for a tenant of many nodes.
	readingLifetimeTokens = 8.0

	// The prior belief about a tenant's demand is a gamma distribution with shape demandShape. Its mean is
	// demandMean, as a fraction of the tenant's rate: few tenants request much more than their rate.
	demandShape = 0.5
	demandMean  = 0.8
	// lowVisibilityDemandMean replaces demandMean where each of many nodes knows little of the demand and use
	// beyond the quota costs its full value.
	lowVisibilityDemandMean = 1.02
	// ownDemandWeight is the weight of requests at this node relative to readings, where a tenant has many
	// nodes.
	ownDemandWeight = 0.1
	// chanceBurstFraction is the fraction of the burst that the rejection chance allows over demandLifetime in
	// addition to the rate.
	chanceBurstFraction = 0.5
	// unmeteredChanceFraction is the fraction of the rejection chance that applies before the first reading,
	// where a tenant has many nodes and use beyond the quota costs nothing.
	unmeteredChanceFraction = 0.5
	// requestSizeExponent is added to the exponent of the admissible fraction for a request of mean size, where
	// a tenant has many nodes.
	requestSizeExponent = 2.0
	// minCoverage is the minimum fraction of the use that readings must cover for the bucket to decide in place
	// of the rejection chance.
	minCoverage = 0.3
)

// addRequest adds the tokens of a request to the demand.
func (d *tenantDemand) addRequest(now time.Duration, tokens float64) {
	d.requestedTokens = d.requestedTokens*decay((now-d.requestedAt).Seconds(), demandLifetime) + tokens
	d.requestedAt = now
}

// addReading adds a reading: the tokens used in a period of some seconds, while the given fraction of the
// demand was rejected. rate is the tenant's quota in tokens per second.
func (d *tenantDemand) addReading(now time.Duration, used, rejected, period, rate, visibility float64) {
	weight := decay((now - d.readAt).Seconds(), demandLifetime)
	d.coveredSeconds = d.coveredSeconds*weight + period
	weight *= math.Exp(-rate * period / (readingLifetimeTokens * (2 - visibility)))
	d.readTokens = d.readTokens*weight + used
	d.readSeconds = d.readSeconds*weight + (1-rejected)*period
	d.readAt = now
}

// isCovered reports whether the readings cover enough of a tenant's use for its bucket to be trusted. The use
// counts only from the time when the tenant was first seen here, so a node that has just started does not
// wait for readings of earlier use. A level reported by the bucket's owner is always trusted.
func (table *tenantTable) isCovered(t *tenant) bool {
	possible := demandLifetime * (1 - decay(table.env.since(t.firstSeen), demandLifetime))
	required := 1 - (1-minCoverage)*t.visibility()
	return t.levelReported ||
		t.coveredSeconds*decay(table.env.since(t.readAt), demandLifetime) > required*possible
}

// rejectionChance returns the chance with which a request of mean size is rejected: 1-(1-d')*100/p in the
// operators' DESIGN page, where p is taken from the latest readings and from the requests at this node. The
// fewer requests the readings stand for and the older they are, the less they count against a prior belief
// about the demand.
func (table *tenantTable) rejectionChance(t *tenant) float64 {
	return table.rejectionChanceOf(t, table.traffic.meanTokens)
}

// rejectionChanceOf returns the rejection chance of a request of the given tokens. Where each of many nodes
// knows little of a bucket, a large request is more likely than a small one to exceed it, so its chance is
// higher.
func (table *tenantTable) rejectionChanceOf(t *tenant, tokens float64) float64 {
	if t.plan.Rate == 0 {
		return t.slotRejectionChance
	}
	unseen := 1 - t.visibility()
	exponent := 1 + unseen*requestSizeExponent*tokens/table.traffic.meanTokens
	chance := min(maxRejectionChance, 1-math.Pow(table.admissibleFraction(t), exponent))
	if !t.metered {
		chance *= t.unmeteredChanceWeight()
	}
	return chance
}

// admissibleFraction returns the estimated fraction of a tenant's demand that fits its quota.
func (table *tenantTable) admissibleFraction(t *tenant) float64 {
	rate := t.plan.Rate
	visibility := t.visibility()
	ownWeight := ownDemandWeight + (1-ownDemandWeight)*visibility
	ownTokens := ownWeight * t.requestedTokens * decay(table.env.since(t.requestedAt), demandLifetime)
	ownSeconds := ownWeight * min(demandLifetime, table.env.since(table.observingSince)) / t.nodes
	shape := demandShape * (1 + (1-visibility)*(table.traffic.meanTokens-1))
	mean := demandMean + max(0, 2*t.unmeteredChanceWeight()-1)*(lowVisibilityDemandMean-demandMean)
	readWeight := decay(table.env.since(t.readAt), demandLifetime)
	tokens := shape + readWeight*t.readTokens + ownTokens
	seconds := shape/(mean*rate) + readWeight*t.readSeconds + ownSeconds
	demand := tokens / seconds
	return min(1, (rate+visibility*chanceBurstFraction*t.plan.Burst/demandLifetime)/demand)
}

// unmeteredChanceWeight returns the fraction of the rejection chance that applies before the first reading.
// It is near 1 where many nodes decide without a reading and use beyond the quota costs its full value:
// otherwise nearly all requests of the heaviest tenants would be admitted.
func (t *tenant) unmeteredChanceWeight() float64 {
	unseen := 1 - t.visibility()
	cost := min(1, t.plan.OverQuotaCost*t.plan.OverQuotaCost)
	return unseen * (unmeteredChanceFraction + cost*(unseen-unmeteredChanceFraction))
}
