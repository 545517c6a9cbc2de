package control

import (
	"maps"
	"math"
	"time"
)

// tenant is what a node knows of one tenant of a plan, and its part of the tenant's quota.
type tenant struct {
	queue       *planQueue
	plan        *Plan         // of the settings, with the quota that the rules in force give
	quotaFactor float64       // times the settings' quota
	nodes       float64       // that the tenant may come through
	firstSeen   time.Duration // at this node

	level         float64 // tokens of the quota's bucket
	ceilingLevel  float64 // tokens of the ceiling's bucket
	refilledAt    time.Duration
	levelReported bool    // level is what the bucket's owner reported
	queuedTokens  float64 // of requests without an attempt

	chanceRemainder float64 // carried over from draws of the rejection chance
	tenantSlots
	tenantDemand
	tenantUsage
}

const (
	// initialUseFraction is the fraction of its rate that an unmetered tenant is taken to use.
	initialUseFraction = 0.3
	// initialCeilingFraction is the fraction of the overdraft with which a ceiling's bucket starts: what a
	// process before this one granted is not known.
	initialCeilingFraction = 0.5
	// wellObservedNodes is the number of nodes of a tenant up to which each sees most of its use.
	wellObservedNodes = 4.0

	// An idle tenant with full buckets is forgotten after tenantRetention. Beyond half of maxTenants idle
	// ones are forgotten sooner, down to minTenantRetention.
	tenantRetention    = time.Minute
	minTenantRetention = time.Second
	maxTenants         = 20000
)

// tenantTable holds the tenants of all plans.
type tenantTable struct {
	env     *environment
	traffic *trafficStats
	byKey   map[string]*tenant // by tenantKey
	// observingSince is the time since which a tenant that is not in the table has sent nothing here; 0 is
	// before the first event.
	observingSince time.Duration
}

// tenantKey names a tenant among those of all plans.
func tenantKey(plan, tenant string) string { return plan + " " + tenant }

// get returns a tenant with its buckets refilled, and makes it where it is new. Its number of nodes is
// the largest that was reported.
func (table *tenantTable) get(plan *planQueue, id string, nodes int) *tenant {
	key := tenantKey(plan.Name, id)
	t := table.byKey[key]
	if t == nil {
		t = table.create(plan, key, nodes)
		table.byKey[key] = t
	}
	t.nodes = max(t.nodes, float64(nodes))
	table.refill(t)
	return t
}

func (table *tenantTable) create(plan *planQueue, key string, nodes int) *tenant {
	now := table.env.now
	t := &tenant{
		queue:           plan,
		plan:            &plan.Plan,
		nodes:           max(1, float64(nodes)),
		firstSeen:       now,
		refilledAt:      now,
		chanceRemainder: table.env.random.Float64(),
	}
	table.applyRules(t, key)
	fraction := table.env.quotaFraction()
	observed := table.env.since(table.observingSince)
	filled := initialCeilingFraction*plan.CeilingOverdraft + observed*plan.CeilingRate
	t.level = fraction * t.plan.Burst
	t.meanRate = initialUseFraction * t.plan.Rate
	t.ceilingLevel = fraction * filled / t.nodes
	t.slotLimit = fraction * float64(plan.MaxConcurrent) / t.nodes
	return t
}

// refill adds the tokens accrued since the last refill, up to the bursts. Use at other nodes is charged by
// consume, not here, so that it is not counted twice.
func (table *tenantTable) refill(t *tenant) {
	elapsed := table.env.since(t.refilledAt)
	t.refilledAt = table.env.now
	t.advance(table.env.currentBin())
	fraction := table.env.quotaFraction()
	t.level = min(fraction*t.plan.Burst, t.level+fraction*elapsed*t.plan.Rate)
	t.ceilingLevel = min(fraction*t.plan.CeilingBurst/t.nodes,
		t.ceilingLevel+fraction*elapsed*t.plan.CeilingRate/t.nodes)
}

// consume takes the tokens of a request's first attempt from the buckets, and from the quota's what the other
// nodes are taken to have sent meanwhile.
func (table *tenantTable) consume(t *tenant, tokens float64) {
	table.refill(t)
	t.ceilingLevel -= tokens
	charged := tokens
	if !t.levelReported { // else what others send is in the owner's report
		charged *= t.fleetUsePerToken()
	}
	t.level = max(-t.plan.Burst, t.level-charged)
	t.sent.add(tokens)
	t.charged.add(charged)
}

// settle replaces the expected tokens of a request by the true ones.
func (table *tenantTable) settle(t *tenant, expected, tokens float64) {
	if tokens > 0 && table.env.settings.ResponsesReportTokens {
		table.refill(t)
		t.level -= tokens - expected
	}
}

// sweep forgets tenants that have been idle for long and are as good as new; where there are many, sooner
// and all that are idle. Their ceilings' buckets may not be full then, so observingSince moves: new ones
// fill from there.
func (table *tenantTable) sweep() {
	retention := tenantRetention
	idle := func(_ string, t *tenant) bool {
		return table.env.now-t.refilledAt > retention && t.inFlight == 0 && t.queuedTokens == 0
	}
	maps.DeleteFunc(table.byKey, func(key string, t *tenant) bool { return idle(key, t) && table.isFull(t) })
	limit := maxTenants / 2
	if table.env.settings.MaxTenants > 0 {
		limit = min(limit, table.env.settings.MaxTenants)
	}
	for len(table.byKey) > limit && retention > minTenantRetention {
		retention /= 2
		table.observingSince = max(table.observingSince, table.env.now-retention)
		maps.DeleteFunc(table.byKey, idle)
	}
}

// isFull reports whether an idle tenant's buckets have filled up since the last refill.
func (table *tenantTable) isFull(t *tenant) bool {
	elapsed := table.env.since(t.refilledAt)
	quotaFull := t.plan.Rate == 0 || t.level+elapsed*t.plan.Rate >= t.plan.Burst
	ceilingFull := t.plan.CeilingRate == 0 ||
		t.ceilingLevel+elapsed*t.plan.CeilingRate/t.nodes >= t.plan.CeilingBurst/t.nodes
	return t.plan.MaxConcurrent == 0 && quotaFull && ceilingFull
}

// applyBucketReport takes what the bucket's owner reported in place of what is reckoned here; nil is
// nothing reported.
func (t *tenant) applyBucketReport(bucket *SharedBucket) {
	t.levelReported = bucket != nil
	if !t.levelReported {
		return
	}
	if !bucket.LowerBound || bucket.Tokens > t.level {
		t.level = math.Min(bucket.Tokens, t.plan.Burst)
	}
}

// visibility is 1 for a tenant that comes through so few nodes that each sees most of its use, and
// falls with their number. Where it is low, little is known of a tenant's use: readings, own observations
// and the bucket's level then count less.
func (t *tenant) visibility() float64 { return min(1, wellObservedNodes/t.nodes) }
