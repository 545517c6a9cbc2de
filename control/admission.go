package control

import "time"

// admission decides on a request when it arrives.
type admission struct {
	env               *environment
	tenants           *tenantTable
	concurrency       *concurrencyLimit
	traffic           *trafficStats
	counts            *rejectionCounts
	maxPriorityWeight float64 // the largest priority weight of a class
}

const (
	// lowPriorityFraction is the fraction of the largest priority weight below which a class yields to
	// others.
	lowPriorityFraction = 0.5
	// scarceFraction is the fraction of its burst below which a tenant's tokens are scarce.
	scarceFraction = 0.5
	// filledFraction is the fraction of the burst from which a well covered bucket decides alone.
	filledFraction = 0.08
	// minLevelFraction is the fraction of a request's tokens that the bucket must hold at least.
	minLevelFraction = 0.5
	// A bucket that is reported to many nodes holds sharedMargin times a request's tokens more than those, or
	// sharedFilledFraction of the burst: each node may send one by the same report.
	sharedMargin         = 2.5
	sharedFilledFraction = 0.7

	// maxQueueFraction is the fraction of its latency objective that a request may wait in the queue.
	maxQueueFraction = 0.4
	// maxSlotQueueFraction is the same where the tenant has a quota of attempts in flight.
	maxSlotQueueFraction = 0.7
	// minLatenciesLeft is how many mean latencies of the client's time must be left when a request is
	// dispatched.
	minLatenciesLeft = 2.0
	// minQueueTime is the least wait of a request whose objective can't be met.
	minQueueTime = 100 * time.Millisecond
)

// maxPriorityWeight returns the largest priority weight of a class.
func maxPriorityWeight(classes []Class) float64 {
	weight := 0.0
	for _, class := range classes {
		weight = max(weight, class.PriorityWeight)
	}
	return weight
}

// onRequest admits a request into the queue of its plan, or rejects it.
func (c *Controller) onRequest(e Request) {
	if c.requests[e.ID] != nil {
		return
	}
	class, plan := c.classes[e.Class], c.scheduler.byName[e.Plan]
	if class == nil || plan == nil || !(e.Tokens >= 0) || e.TimeLeft <= 0 {
		c.reject(e.ID)
		return
	}
	t := c.tenants.get(plan, e.Tenant, e.TenantNodes)
	t.applyBucketReport(e.Bucket)
	waited := c.classifier.clientWaitTime(e, class)
	if !c.admission.admits(t, class, e.Tokens, waited) {
		c.reject(e.ID)
		return
	}
	r := &request{
		id:           e.ID,
		class:        class,
		plan:         plan,
		tenant:       t,
		rules:        c.env.rules,
		tokens:       e.Tokens,
		streamedBody: e.StreamedBody,
		arrivedAt:    c.env.now,
		objectiveAt:  c.env.now + class.LatencyObjective - waited,
		giveUpAt:     c.env.now + e.TimeLeft,
	}
	c.requests[r.id] = r
	c.retries.deposit()
	c.scheduler.enqueue(r, false)
	c.setTimer(r, c.admission.maxQueueTime(r, e.TimeLeft))
}

// admits decides on a request of some tokens whose client has waited for a time. A request is rejected if
//   - its answer can only be late and too little is known of the tenant's use,
//   - its answer can only be late, or its class has a low priority, while slots or tokens are scarce,
//   - the tenant's ceiling or quota is used up, or the metered rejection chance hits it: hasQuota.
func (a *admission) admits(t *tenant, class *Class, tokens float64, waited time.Duration) bool {
	late := waited+seconds(a.traffic.latency) >= class.LatencyObjective
	t.requested.add(1)
	t.addRequest(a.env.now, tokens)
	a.counts.requests++
	yields := late || class.PriorityWeight < lowPriorityFraction*a.maxPriorityWeight
	switch {
	case (late && !a.tenants.isCovered(t)) || (yields && a.isScarce(t)):
		a.counts.late++
	case a.hasQuota(t, tokens):
		return true
	}
	t.rejected.add(1)
	return false
}

// isScarce reports whether the in-flight bound is reached or the tenant's bucket is low.
func (a *admission) isScarce(t *tenant) bool {
	if !a.concurrency.hasCapacity() {
		return true
	}
	return t.plan.Rate > 0 && t.level-t.queuedTokens < scarceFraction*t.plan.Burst
}

// hasQuota holds a request against the tenant's ceiling, its bucket and the rejection chance. The chance
// decides where the bucket is neither empty (a surge that the meter has not reported) nor well filled and
// covered by readings.
func (a *admission) hasQuota(t *tenant, tokens float64) bool {
	if t.plan.CeilingRate > 0 && t.ceilingLevel-t.queuedTokens < tokens {
		a.counts.bucket++
		return false
	}
	if t.plan.Rate > 0 {
		level := t.level - t.queuedTokens
		if level >= requiredLevel(t, tokens) && a.tenants.isCovered(t) {
			return true
		}
		if t.levelReported || level < minLevel(t, tokens) {
			a.counts.bucket++
			return false
		}
	}
	if t.drawChance(a.tenants.rejectionChanceOf(t, tokens)) {
		a.counts.chance++
		return false
	}
	return true
}

// requiredLevel returns what the bucket must hold for a request of some tokens to be admitted without a draw.
func requiredLevel(t *tenant, tokens float64) float64 {
	if t.levelReported {
		return MinSharedBucketLevel(t.plan.Burst, tokens, t.visibility())
	}
	return max(filledFraction*t.plan.Burst, tokens)
}

// minLevel returns what the bucket must hold for a request of some tokens to be admitted at all.
func minLevel(t *tenant, tokens float64) float64 {
	return (minLevelFraction + (1-minLevelFraction)*(1-t.visibility())) * tokens
}

// MinSharedBucketLevel returns what a bucket must hold, by its owner's report, for a request of some
// tokens to be admitted. Visibility is 1 where few nodes share the tenant, and falls with their number.
func MinSharedBucketLevel(burst, tokens, visibility float64) float64 {
	return min(tokens*(1+sharedMargin*(1-visibility)), sharedFilledFraction*burst)
}

// drawChance draws a chance and reports whether it hit. The remainder is carried over from draw to draw,
// which keeps the chance exact over few requests.
func (t *tenant) drawChance(chance float64) bool {
	t.chanceRemainder += 1 - chance
	if t.chanceRemainder >= 1 {
		t.chanceRemainder--
		return false
	}
	return true
}

// maxQueueTime returns how long a request may wait for its dispatch. An impatient client's request is
// rejected when no answer can be there in its time any more: it would take tokens and a slot for nothing.
func (a *admission) maxQueueTime(r *request, timeLeft time.Duration) time.Duration {
	fraction := maxQueueFraction
	if r.plan.MaxConcurrent > 0 {
		fraction = maxSlotQueueFraction
	}
	latency := seconds(a.traffic.latency)
	byClass := time.Duration(fraction * float64(r.class.LatencyObjective))
	byClient := timeLeft - seconds(minLatenciesLeft*a.traffic.latency)
	byObjective := max(r.objectiveAt-a.env.now-latency, minQueueTime)
	return min(byClass, timeLeft/2, byClient, byObjective)
}
