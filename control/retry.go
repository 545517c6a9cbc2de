package control

import "time"

// retryPolicy limits retries by a budget: each request adds a fraction of a retry, and each retry spends at
// most one.
type retryPolicy struct {
	env     *environment
	traffic *trafficStats
	budget  float64 // retries that are allowed now
}

const (
	retryBudgetPerRequest = 0.1  // retries that each request adds to the budget
	minRetryCost          = 0.1  // minimum cost, in retries, of a retry after an attempt that failed at once
	maxRetryBudget        = 20.0 // maximum budget, in retries, of each node of a small fleet
	minRetryBudgetLimit   = 3.0  // lower limit of the maximum budget of each node of a large fleet
	// fullBudgetNodes is the largest fleet size in which each node may save up maxRetryBudget. In a larger fleet
	// the sum over all nodes is limited, as many nodes spend their budgets at once when the fleet starts and
	// when a zone fails.
	fullBudgetNodes = 4.0
	// minRetryTime is the minimum time that the client must have left for a retry.
	minRetryTime = time.Millisecond
)

func newRetryPolicy(env *environment, traffic *trafficStats) retryPolicy {
	p := retryPolicy{env: env, traffic: traffic}
	p.budget = p.maxBudget()
	return p
}

// maxBudget returns the maximum budget of this node.
func (p *retryPolicy) maxBudget() float64 {
	return max(minRetryBudgetLimit, maxRetryBudget*min(1, fullBudgetNodes/float64(p.env.settings.FleetSize)))
}

// deposit adds to the budget for one request.
func (p *retryPolicy) deposit() { p.budget = min(p.maxBudget(), p.budget+retryBudgetPerRequest) }

// cost returns the cost, in retries, of a retry after an attempt with the given outcome. A retry after an
// attempt that failed at once costs less than one, as that attempt caused little work.
func (p *retryPolicy) cost(a *attempt, outcome Outcome) float64 {
	if outcome != Errored && outcome != ResetByPeer && outcome != ConnectFailed {
		return 1
	}
	took := p.env.since(a.startedAt)
	return min(1, max(minRetryCost, took/max(p.traffic.latency, epsilon)))
}

// allows reports whether a request may be retried after an attempt. The retry budget, the maximum number of
// attempts and the client's time left must allow it. A request that may have run is retried only if its class
// is idempotent, or idempotent with a key while its idempotency window lasts. No request is retried after an
// attempt that was never sent, or once its body is no longer held in full.
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

// retryOrEnd queues a request for another attempt if the retry policy allows one, and otherwise ends it. A
// retry waits no longer than the client does, and not beyond the idempotency window.
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
