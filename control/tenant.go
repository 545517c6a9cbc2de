package control

import (
	"maps"
	"math"
	"slices"
	"time"
)

// tenant is the state of one tenant of a plan at this node, including this node's part of the tenant's
// quotas.
type tenant struct {
	queue       *planQueue    // queue of the tenant's plan
	plan        *Plan         // plan of the settings, with the quota by the rules in force
	quotaFactor float64       // factor of the rules on the quota of the settings
	nodes       float64       // number of nodes that the tenant's requests may arrive at
	firstSeen   time.Duration // time of the first request at this node

	level         float64       // level of the quota's token bucket
	ceilingLevel  float64       // level of the hard ceiling's token bucket
	refilledAt    time.Duration // time of the last refill of both buckets
	levelReported bool          // level was reported by the bucket's owner
	queuedTokens  float64       // tokens of queued requests without an attempt

	chanceRemainder float64 // see drawChance
	tenantSlots
	tenantDemand
	tenantUsage
}

const (
	// initialUseFraction is the fraction of its rate that a tenant is assumed to use before the first
	// reading.
	initialUseFraction = 0.3
	// initialCeilingFraction is the initial level of a ceiling's bucket as a fraction of the overdraft. It
	// is below one because what an earlier process admitted is not known.
	initialCeilingFraction = 0.5
	// wellObservedNodes is the number of a tenant's nodes up to which each of them observes most of the
	// tenant's use.
	wellObservedNodes = 4.0

	// An idle tenant with full buckets is forgotten after tenantRetention. Where the table has more than
	// half of maxTenants, or more than Settings.MaxTenants, those that are not established are forgotten
	// after minTenantRetention, or sooner if they are still too many.
	tenantRetention    = time.Minute
	minTenantRetention = time.Second
	maxTenants         = 20000

	// tenantEstablishTime is the time between a tenant's first and last request from which it is
	// established. Where there are too many tenants, the others are forgotten first: names that come once
	// must not displace tenants in service.
	tenantEstablishTime = 2 * time.Second
	// maxTenantGrowth is how far the table may grow between two sweeps, as a fraction of its limit.
	maxTenantGrowth = 0.25
)

// tenantTable holds the tenants of all plans.
type tenantTable struct {
	env     *environment
	traffic *trafficStats
	byKey   map[string]*tenant // by tenantKey
	// observingSince is the time since which a tenant that is not in the table has sent no request here; 0
	// until the first event.
	observingSince time.Duration
}

// tenantKey returns the key of a tenant among those of all plans.
func tenantKey(plan, tenant string) string { return plan + " " + tenant }

// get returns a tenant with its buckets refilled, and creates it if it is not known. The number of nodes is
// the largest that was reported.
func (table *tenantTable) get(plan *planQueue, id string, nodes int) *tenant {
	key := tenantKey(plan.Name, id)
	t := table.byKey[key]
	if t == nil {
		if len(table.byKey) >= table.maxSize() {
			table.makeRoom()
		}
		t = table.create(plan, key, nodes)
		table.byKey[key] = t
	}
	t.nodes = max(t.nodes, float64(nodes))
	table.refill(t)
	return t
}

// create returns a new tenant. The caller adds it to the table.
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

// refill adds the tokens that accrued since the last refill, up to the bursts. Use at other nodes is
// charged by consume and not here, so that it is not counted twice.
func (table *tenantTable) refill(t *tenant) {
	elapsed := table.env.since(t.refilledAt)
	t.refilledAt = table.env.now
	t.advance(table.env.currentBin())
	fraction := table.env.quotaFraction()
	t.level = min(fraction*t.plan.Burst, t.level+fraction*elapsed*t.plan.Rate)
	t.ceilingLevel = min(fraction*t.plan.CeilingBurst/t.nodes,
		t.ceilingLevel+fraction*elapsed*t.plan.CeilingRate/t.nodes)
}

// consume charges the tokens of a request's first attempt to the buckets. The quota's bucket is also
// charged for what the other nodes are assumed to have sent meanwhile.
func (table *tenantTable) consume(t *tenant, tokens float64) {
	table.refill(t)
	t.ceilingLevel -= tokens
	charged := tokens
	if !t.levelReported { // otherwise the owner's report contains the use at other nodes
		charged *= t.fleetUsePerToken()
	}
	t.level = max(-t.plan.Burst, t.level-charged)
	t.sent.add(tokens)
	t.charged.add(charged)
}

// settle replaces the expected cost of a request by the true one, in tokens.
func (table *tenantTable) settle(t *tenant, expected, tokens float64) {
	if tokens > 0 && table.env.settings.ResponsesReportTokens {
		table.refill(t)
		t.level -= tokens - expected
	}
}

// sweep forgets idle tenants whose buckets are full. Where there are too many tenants it forgets others
// too: those that are not established after a shorter time, and if that is not enough, as many as there
// are too many.
func (table *tenantTable) sweep() {
	maps.DeleteFunc(table.byKey, func(_ string, t *tenant) bool {
		return table.isIdle(t, tenantRetention) && table.isFull(t)
	})
	if len(table.byKey) > table.limit() {
		table.forgetIdle(minTenantRetention, func(t *tenant) bool { return !t.isEstablished() })
	}
	if len(table.byKey) > table.limit() {
		table.makeRoom()
	}
}

// makeRoom forgets idle tenants until the table is within its limit: those that are not established, then
// the ones that have been idle for the longest time. Tenants with requests in work stay.
func (table *tenantTable) makeRoom() {
	table.forgetIdle(0, func(t *tenant) bool { return !t.isEstablished() })
	excess := len(table.byKey) - table.limit()
	if excess <= 0 {
		return
	}
	idleSince := make([]time.Duration, 0, len(table.byKey))
	for _, t := range table.byKey {
		if table.isIdle(t, 0) {
			idleSince = append(idleSince, t.refilledAt)
		}
	}
	if len(idleSince) == 0 {
		return
	}
	slices.Sort(idleSince)
	last := idleSince[min(excess, len(idleSince))-1]
	table.forgetIdle(0, func(t *tenant) bool { return t.refilledAt <= last })
}

// forgetIdle forgets the tenants that have been idle for more than a time and for which forgets returns
// true. The ceilings' buckets of these may not be full, so observingSince is moved: the bucket of a new
// tenant is filled from that time on.
func (table *tenantTable) forgetIdle(idle time.Duration, forgets func(*tenant) bool) {
	table.observingSince = max(table.observingSince, table.env.now-idle)
	maps.DeleteFunc(table.byKey, func(_ string, t *tenant) bool { return table.isIdle(t, idle) && forgets(t) })
}

// isIdle reports whether a tenant has had no request for more than a time and has none in work. With a
// time of 0 its latest request may be of now.
func (table *tenantTable) isIdle(t *tenant, idle time.Duration) bool {
	return (idle == 0 || table.env.now-t.refilledAt > idle) && t.inFlight == 0 && t.queuedTokens == 0
}

// isEstablished reports whether the tenant's requests have come over some time.
func (t *tenant) isEstablished() bool { return t.refilledAt-t.firstSeen >= tenantEstablishTime }

// limit returns the number of tenants above which idle ones are forgotten sooner.
func (table *tenantTable) limit() int {
	limit := maxTenants / 2
	if table.env.settings.MaxTenants > 0 {
		limit = min(limit, table.env.settings.MaxTenants)
	}
	return limit
}

// maxSize returns the number of tenants at which room is made for a new one.
func (table *tenantTable) maxSize() int { return int((1 + maxTenantGrowth) * float64(table.limit())) }

// isFull reports whether an idle tenant's buckets have filled up since the last refill. It returns false
// for a tenant with a quota of attempts in flight, whose slot limit would be lost with the tenant.
func (table *tenantTable) isFull(t *tenant) bool {
	elapsed := table.env.since(t.refilledAt)
	quotaFull := t.plan.Rate == 0 || t.level+elapsed*t.plan.Rate >= t.plan.Burst
	ceilingFull := t.plan.CeilingRate == 0 ||
		t.ceilingLevel+elapsed*t.plan.CeilingRate/t.nodes >= t.plan.CeilingBurst/t.nodes
	return t.plan.MaxConcurrent == 0 && quotaFull && ceilingFull
}

// applyBucketReport sets the level to the one that the bucket's owner reported. A report that is a lower
// bound never lowers the level. nil means that there is no report.
func (t *tenant) applyBucketReport(bucket *SharedBucket) {
	t.levelReported = bucket != nil
	if !t.levelReported {
		return
	}
	if !bucket.LowerBound || bucket.Tokens > t.level {
		t.level = math.Min(bucket.Tokens, t.plan.Burst)
	}
}

// visibility returns 1 for a tenant with so few nodes that each observes most of its use, and less the more
// nodes there are. Where it is low, this node knows little of the tenant's use, and readings, own
// observations and the bucket's level count less.
func (t *tenant) visibility() float64 { return min(1, wellObservedNodes/t.nodes) }
