package control

import "slices"

// scheduler queues requests by plan and dispatches them by weighted round robin: each plan receives dispatch
// slots in proportion to its share.
type scheduler struct {
	env      *environment
	balancer *balancer
	plans    []*planQueue
	byName   map[string]*planQueue
	refusals []scopeRefusal // valid during one call of firstDispatchable
}

// scopeRefusal records that no server of a scope may receive a request of the given tokens now.
type scopeRefusal struct {
	scope  KeyScope
	zone   string
	cell   int
	tokens float64
}

// refusalFor returns the refusal of a request that is bound to the scope of its key.
func refusalFor(r *request) scopeRefusal {
	refusal := scopeRefusal{scope: r.dedupScope(), tokens: r.tokens}
	switch refusal.scope {
	case KeyScopeZone:
		refusal.zone = r.dedupServer.Zone
	case KeyScopeCell:
		refusal.cell = r.dedupServer.Cell
	}
	return refusal
}

// refused reports whether the scope of a request has refused one of no more tokens in this pass.
func (s *scheduler) refused(r *request) bool {
	if len(s.refusals) == 0 || r.dedupServer == nil {
		return false
	}
	wanted := refusalFor(r)
	return slices.ContainsFunc(s.refusals, func(refusal scopeRefusal) bool {
		sameScope := refusal.scope == wanted.scope && refusal.zone == wanted.zone && refusal.cell == wanted.cell
		return sameScope && refusal.tokens <= wanted.tokens
	})
}

// planQueue is the queue of a plan and the state of the plan in the round robin.
type planQueue struct {
	Plan
	index    int        // index of the plan in Settings.Plans
	requests []*request // in the order of the queue
	share    float64    // fraction of the dispatch slots
	credit   float64    // dispatch slots that the plan is owed

	latenessSum   float64 // sum of latency over latency objective in this control interval
	latenessCount float64 // number of values in latenessSum
	lateness      float64 // mean of the last interval that had a value

	candidate       *request // request that can be dispatched now; valid during one call of scheduler.next
	candidateServer *server  // server of candidate
}

func newScheduler(env *environment, balancer *balancer) scheduler {
	s := scheduler{env: env, balancer: balancer, byName: map[string]*planQueue{}}
	plans := env.settings.Plans
	for i, p := range plans {
		queue := &planQueue{Plan: p, index: i, share: 1 / float64(len(plans))}
		s.plans = append(s.plans, queue)
		s.byName[p.Name] = queue
	}
	return s
}

// priceFactors returns the price factors of the plans by the settings.
func (s *scheduler) priceFactors() []float64 {
	prices := make([]float64, len(s.plans))
	for i, p := range s.plans {
		prices[i] = p.PriceFactor
	}
	return prices
}

// next returns the request to dispatch now and its server, or nil if there is none. It is one slot of the
// weighted round robin: each plan with a dispatchable request earns credit by its share, and the one with the
// most credit is chosen and charged for the slot. Plans without a dispatchable request keep their credit.
func (s *scheduler) next() (*request, *server) {
	var chosen *planQueue
	total := 0.0
	for _, p := range s.plans {
		p.candidate, p.candidateServer = s.firstDispatchable(p)
		if p.candidate == nil {
			continue
		}
		p.credit += p.share
		total += p.share
		if chosen == nil || p.credit > chosen.credit {
			chosen = p
		}
	}
	if chosen == nil {
		return nil, nil
	}
	chosen.credit -= total
	return chosen.candidate, chosen.candidateServer
}

// firstDispatchable returns the first request of a plan's queue that can be dispatched now, and its server. A
// request that waits for a slot of its tenant, or for a server that drops its duplicates, does not block
// those behind it. A scope that has refused a request is not examined again for those behind it.
func (s *scheduler) firstDispatchable(p *planQueue) (*request, *server) {
	s.refusals = s.refusals[:0]
	for _, r := range p.requests {
		if p.MaxConcurrent > 0 && r.attempts == 0 && !r.tenant.hasFreeSlot(s.env.now) {
			r.tenant.slotsExhausted = true
			continue
		}
		if r.hasIdempotencyWindow() && s.env.now >= r.idempotencyWindowEnd() {
			continue // its timer will end the request
		}
		if s.refused(r) {
			continue
		}
		if server := s.balancer.pick(r); server != nil {
			return r, server
		}
		if r.dedupServer == nil {
			return nil, nil
		}
		s.refusals = append(s.refusals, refusalFor(r))
	}
	return nil, nil
}

// enqueue adds a request to the queue of its plan, at the front if it is a retry.
func (s *scheduler) enqueue(r *request, front bool) {
	r.queued = true
	if r.attempts == 0 {
		r.tenant.queuedTokens += r.tokens
	}
	if front {
		r.plan.requests = append([]*request{r}, r.plan.requests...)
	} else {
		r.plan.requests = append(r.plan.requests, r)
	}
}

// dequeue removes a request from the queue of its plan, if it is queued.
func (s *scheduler) dequeue(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	if r.attempts == 0 {
		r.tenant.queuedTokens -= r.tokens
	}
	for i, other := range r.plan.requests {
		if other == r {
			r.plan.requests = append(r.plan.requests[:i], r.plan.requests[i+1:]...)
			break
		}
	}
}

// observeLateness adds a value of latency over latency objective.
func (p *planQueue) observeLateness(lateness float64) {
	p.latenessSum += lateness
	p.latenessCount++
}

// endInterval returns the mean lateness of the control interval that ends now, or of the last one that had a
// value, and begins the next interval.
func (p *planQueue) endInterval() float64 {
	if p.latenessCount > 0 {
		p.lateness = p.latenessSum / p.latenessCount
	}
	p.latenessSum = 0
	p.latenessCount = 0
	return p.lateness
}
