package control

import "time"

// retryPolicy bounds retries by a budget: each request earns a part of a retry, and each retry spends one
// or less.
type retryPolicy struct {
	env     *environment
	traffic *trafficStats
	budget  float64 // retries that may be made now
}

const (
	retryBudgetPerRequest = 0.1  // retries earned by each request
	minRetryCost          = 0.1  // least cost, in retries, of an attempt that failed at once
	maxRetryBudget        = 20.0 // retries that each node of a small fleet may save up
	minRetryBudgetLimit   = 3.0  // retries that each node of a large fleet may save up
	// fullBudgetNodes is the fleet size up to which each node may save up maxRetryBudget. What the whole
	// fleet may save up is bounded, as many nodes spend it at once at their start and when a zone is
	// lost.
	fullBudgetNodes = 4.0
	// minRetryTime is the time that must be left to the client for a retry.
	minRetryTime = time.Millisecond
)

func newRetryPolicy(env *environment, traffic *trafficStats) retryPolicy {
	p := retryPolicy{env: env, traffic: traffic}
	p.budget = p.maxBudget()
	return p
}

// maxBudget returns how many retries may be saved up.
func (p *retryPolicy) maxBudget() float64 {
	return max(minRetryBudgetLimit, maxRetryBudget*min(1, fullBudgetNodes/float64(p.env.settings.FleetSize)))
}

// deposit adds what a request earns.
func (p *retryPolicy) deposit() { p.budget = min(p.maxBudget(), p.budget+retryBudgetPerRequest) }

// cost returns what a retry costs after an outcome. An attempt that failed at once took little work and
// costs little.
func (p *retryPolicy) cost(a *attempt, outcome Outcome) float64 {
	if outcome != Errored && outcome != ResetByPeer && outcome != ConnectFailed {
		return 1
	}
	took := p.env.since(a.startedAt)
	return min(1, max(minRetryCost, took/max(p.traffic.latency, epsilon)))
}

// allows reports whether a request may be retried after an attempt. What may have run is retried only if
// its class is idempotent, or by key within the idempotency window; all by the budget, the limit of
// attempts and the client's time.
func (p *retryPolicy) allows(r *request, e AttemptEnded, cost float64) bool {
	if e.Outcome == NeverSent || e.BodyConsumed {
		return false
	}
	if limit := p.env.settings.maxAttempts(r); limit > 0 && r.attempts >= limit {
		return false
	}
	if p.budget < cost || p.env.now >= r.giveUpAt-minRetryTime {
		return false
	}
	if r.mayHaveRun && r.class.Idempotency != Idempotent {
		return r.hasIdempotencyWindow() && p.env.now < r.idempotencyWindowEnd()
	}
	return true
}

// retryOrEnd queues a request for another attempt where the retry policy allows one, and else ends it.
// A retry does not wait beyond the client's time, nor beyond its idempotency window.
func (c *Controller) retryOrEnd(r *request, a *attempt, e AttemptEnded) {
	cost := c.retries.cost(a, e.Outcome)
	if !c.retries.allows(r, e, cost) {
		c.counts.failed++
		c.rejectOrFail(r)
		return
	}
	c.retries.budget -= cost
	c.scheduler.enqueue(r, true)
	until := r.giveUpAt
	if r.hasIdempotencyWindow() {
		until = min(until, r.idempotencyWindowEnd())
	}
	c.setTimer(r, until-c.env.now-minRetryTime)
}
