package control

import (
	"math"
	"time"
)

// tenantDemand is what is known of a tenant's demand: by readings of the meter, and by requests here.
type tenantDemand struct {
	requestedTokens float64 // of requests at this node, decaying
	requestedAt     time.Duration
	readTokens      float64 // used by the readings, decaying
	readSeconds     float64 // of full demand that readTokens stand for, decaying
	coveredSeconds  float64 // of use that the readings cover, decaying
	readAt          time.Duration
}

const (
	maxRejectionChance = 0.95
	// demandLifetime is the time after which a reading has lost 63% of its weight.
	demandLifetime = 20.0 // s
	// readingLifetimeTokens is the tokens of quota after which a reading has lost as much.
	readingLifetimeTokens = 8.0

	// The prior belief about a tenant's demand: a gamma distribution with this shape, and a mean in parts
	// of the tenant's rate. Few tenants request much more than their rate.
	demandShape = 0.5
	demandMean  = 0.8
	// lowVisibilityDemandMean is the mean where many nodes each know little and use beyond the quota costs its
	// full value.
	lowVisibilityDemandMean = 1.02
	// ownDemandWeight is the weight of requests at this node beside readings, where the nodes are many.
	ownDemandWeight = 0.1
	// chanceBurstFraction is the part of the burst that the rejection chance grants over demandLifetime.
	chanceBurstFraction = 0.5
	// unmeteredChanceFraction is the part of the rejection chance that counts before the first reading, where
	// use beyond the quota costs nothing.
	unmeteredChanceFraction = 0.5
	// requestSizeExponent is by how much the rejection chance of a request of mean size grows where the nodes
	// are many.
	requestSizeExponent = 2.0
	// minCoverage is the fraction of the use that readings must cover for the bucket to go before the chance.
	minCoverage = 0.3
)

// addRequest adds a addRequest's tokens to the demand.
func (d *tenantDemand) addRequest(now time.Duration, tokens float64) {
	d.requestedTokens = d.requestedTokens*decay((now-d.requestedAt).Seconds(), demandLifetime) + tokens
	d.requestedAt = now
}

// addReading adds a reading of tokens that were used in a period, while a fraction of the demand was
// rejected.
func (d *tenantDemand) addReading(now time.Duration, used, rejected, period, rate, visibility float64) {
	weight := decay((now - d.readAt).Seconds(), demandLifetime)
	d.coveredSeconds = d.coveredSeconds*weight + period
	weight *= math.Exp(-rate * period / (readingLifetimeTokens * (2 - visibility)))
	d.readTokens = d.readTokens*weight + used
	d.readSeconds = d.readSeconds*weight + (1-rejected)*period
	d.readAt = now
}

// isCovered reports whether readings cover enough of a tenant's use, of what they could since it was
// first seen: a node that has just started is not held to have missed what was before.
func (table *tenantTable) isCovered(t *tenant) bool {
	possible := demandLifetime * (1 - decay(table.env.since(t.firstSeen), demandLifetime))
	required := 1 - (1-minCoverage)*t.visibility()
	return t.levelReported ||
		t.coveredSeconds*decay(table.env.since(t.readAt), demandLifetime) > required*possible
}

// rejectionChance returns the chance with which a request of mean size is rejected, 1-(1-d')*100/p in the
// operators' DESIGN page, with p over the latest readings that amount to some tokens and over own
// requests. Readings of few requests and old ones count less against a prior belief about the demand.
func (table *tenantTable) rejectionChance(t *tenant) float64 {
	return table.rejectionChanceOf(t, table.traffic.meanTokens)
}

// rejectionChanceOf returns the chance for a request of some tokens. Where many nodes each know little of
// a bucket, a large request is the more likely to find it too low.
func (table *tenantTable) rejectionChanceOf(t *tenant, tokens float64) float64 {
	if t.plan.Rate == 0 {
		return t.slotRejectionChance
	}
	hidden := 1 - t.visibility()
	exponent := 1 + hidden*requestSizeExponent*tokens/table.traffic.meanTokens
	chance := min(maxRejectionChance, 1-math.Pow(table.admissibleFraction(t), exponent))
	if !t.metered {
		chance *= t.unmeteredChanceWeight()
	}
	return chance
}

// admissibleFraction returns the fraction of a tenant's demand that its quota holds, as far as is known.
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

// unmeteredChanceWeight returns the part of the rejection chance that counts before the first reading: all of
// it where many nodes decide without one and use beyond the quota costs its full value, as the heavy
// tenants' requests would else nearly all pass.
func (t *tenant) unmeteredChanceWeight() float64 {
	hidden := 1 - t.visibility()
	cost := min(1, t.plan.OverQuotaCost*t.plan.OverQuotaCost)
	return hidden * (unmeteredChanceFraction + cost*(hidden-unmeteredChanceFraction))
}
