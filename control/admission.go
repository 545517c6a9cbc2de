package control

import "time"

// admission decides whether an arriving request is admitted.
type admission struct {
	env               *environment
	tenants           *tenantTable
	concurrency       *concurrencyLimit
	traffic           *trafficStats
	counts            *rejectionCounts
	maxPriorityWeight float64 // largest priority weight of a class
}

const (
	// lowPriorityFraction is the fraction of the largest priority weight below which a class has a low priority:
	// its requests are rejected while slots or tokens are scarce.
	lowPriorityFraction = 0.5
	// scarceFraction is the fraction of the burst below which a tenant's tokens are scarce.
	scarceFraction = 0.5
	// filledFraction is the fraction of the burst from which a bucket that readings cover admits a request
	// without a draw of the rejection chance.
	filledFraction = 0.08
	// minLevelFraction is the minimum fraction of a request's tokens that the bucket must hold for the request
	// to be admitted.
	minLevelFraction = 0.5
	// The owner of a tenant's bucket reports one level to many nodes, and each of them may admit a request by
	// the same report. For a tenant of many nodes the bucket must therefore hold the request's tokens plus up to
	// sharedMargin times as many, but no more than sharedFilledFraction of the burst.
	sharedMargin         = 2.5
	sharedFilledFraction = 0.7

	// maxQueueFraction is the maximum time in the queue, as a fraction of the latency objective.
	maxQueueFraction = 0.4
	// maxSlotQueueFraction replaces maxQueueFraction where the plan limits a tenant's attempts in flight.
	maxSlotQueueFraction = 0.7
	// minLatenciesLeft is the minimum time, in mean latencies, that the client must have left when a request is
	// dispatched.
	minLatenciesLeft = 2.0
	// minQueueTime is the queue time that is allowed to a request whose latency objective cannot be met.
	minQueueTime = 100 * time.Millisecond
)

// maxPriorityWeight returns the largest priority weight of the classes.
func maxPriorityWeight(classes []Class) float64 {
	weight := 0.0
	for _, class := range classes {
		weight = max(weight, class.PriorityWeight)
	}
	return weight
}

// onRequest adds an admitted request to the queue of its plan and rejects any other. A request whose ID is
// already known is ignored.
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

// admits reports whether a request is admitted. waited is the time that its client has waited so far. A
// request is rejected if
//   - its response can only be late, and readings do not cover the tenant's use,
//   - its response can only be late, or its class has a low priority, while slots or tokens are scarce,
//   - hasQuota reports that the tenant has no quota left for it.
func (a *admission) admits(t *tenant, class *Class, tokens float64, waited time.Duration) bool {
	late := waited+seconds(a.traffic.latency) >= class.LatencyObjective
	t.requested.add(1)
	t.addRequest(a.env.now, tokens)
	a.counts.requests++
	sheddable := late || class.PriorityWeight < lowPriorityFraction*a.maxPriorityWeight
	switch {
	case (late && !a.tenants.isCovered(t)) || (sheddable && a.isScarce(t)):
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

// hasQuota reports whether the tenant has quota for a request of the given tokens. A request beyond the hard
// ceiling has none. The bucket alone decides where its owner has reported its level, where it is well filled
// and readings cover the tenant's use, and where it is too low (a surge that the meter has not reported yet).
// In between, the rejection chance decides.
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

// requiredLevel returns the bucket level from which a request of the given tokens is admitted without a draw
// of the rejection chance.
func requiredLevel(t *tenant, tokens float64) float64 {
	if t.levelReported {
		return MinSharedBucketLevel(t.plan.Burst, tokens, t.visibility())
	}
	return max(filledFraction*t.plan.Burst, tokens)
}

// minLevel returns the bucket level below which a request of the given tokens is rejected.
func minLevel(t *tenant, tokens float64) float64 {
	return (minLevelFraction + (1-minLevelFraction)*(1-t.visibility())) * tokens
}

// MinSharedBucketLevel returns the level that the owner of a bucket must report for a request of the given
// tokens to be admitted. visibility is 1 where few nodes share the tenant and falls with their number; see
// sharedMargin.
func MinSharedBucketLevel(burst, tokens, visibility float64) float64 {
	return min(tokens*(1+sharedMargin*(1-visibility)), sharedFilledFraction*burst)
}

// drawChance reports whether an event of the given chance occurs. The remainder is carried over from call to
// call, so that the fraction of events is exact even over few requests.
func (t *tenant) drawChance(chance float64) bool {
	t.chanceRemainder += 1 - chance
	if t.chanceRemainder >= 1 {
		t.chanceRemainder--
		return false
	}
	return true
}

// maxQueueTime returns the maximum time that a request may wait for its dispatch. It ends the wait once no
// response could arrive within the client's time: the request would use tokens and a slot for nothing.
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
