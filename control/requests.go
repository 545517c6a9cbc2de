package control

import "time"

func (c *Controller) onRequest(e Request) {
	k, p := c.classes[e.Class], c.planOf[e.Plan]
	if c.reqs[e.ID] != nil {
		return
	} else if k == nil || p == nil || !(e.Tokens >= 0) || e.TimeLeft <= 0 {
		c.refuse(e.ID)
		return
	}
	q := c.customerOf(p, e.Tenant, e.TenantNodes)
	q.hear(e.Bucket)
	waited := c.waited(e, k)
	if !c.admits(q, k, e.Tokens, waited+seconds(c.latency) >= k.LatencyObjective) {
		c.refuse(e.ID)
		return
	}
	r := &request{id: e.ID, class: k, plan: p, cust: q, rules: c.rules, units: e.Tokens, long: e.StreamedBody,
		arrived: c.now, giveUp: c.now + e.TimeLeft}
	r.aim = c.now + k.LatencyObjective - waited
	c.reqs[r.id] = r
	c.retries = min(c.retryRoom(), c.retries+retryEarn)
	c.enqueue(r, false)
	part := queueAim
	if p.MaxConcurrent > 0 {
		part = openAim
	}
	// Guards, by the third, against a try of a hasty client that is sent when no answer can be there
	// in its time any more: it takes units and a place for nothing.
	queued := time.Duration(part * float64(k.LatencyObjective))
	c.wake(r, min(queued, e.TimeLeft/2, e.TimeLeft-seconds(hastyWait*c.latency),
		max(r.aim-c.now-seconds(c.latency), tick)))
}

// waited is what the client of a try has waited for earlier tries or for this gateway. A later try is
// told by its mark, or by a time unusual for its class; the deadline over all tries then tells. Guards
// against first tries that a gateway that stood still finds late: they lack what its clock skipped.
func (c *Controller) waited(e Request, k *Class) time.Duration {
	u := c.usual[k]
	short := u.ttl - e.TimeLeft
	odd := short > max(c.skipped, tick) || short < -tick
	if odd && u.seen > 0 && !e.Retry && !c.set.ClientsMarkRetries && c.hasty(u, e.TimeLeft, k) {
		return 0
	}
	later := e.Retry || !c.set.ClientsMarkRetries && odd && u.seen > 0
	if !e.Retry {
		u.count(e.TimeLeft, odd)
	}
	if !later {
		return min(max(short, 0), c.skipped)
	} else if !odd { // as long as a first try's: not the last of its client
		return min(c.nextTry, k.Deadline-e.TimeLeft)
	}
	c.nextTry = min(c.nextTry, k.Deadline-e.TimeLeft)
	return k.Deadline - e.TimeLeft
}

// hasty tells whether a try with an unusual time is the first of a client that gives its tries up
// sooner than most, and no later try, which could only be late: what is left to those varies with the
// answers before them, but where a refusal, at once or after the wait for a turn, advised a time.
func (c *Controller) hasty(u *usualTTL, ttl time.Duration, k *Class) bool {
	back, wait := k.Deadline-ttl-c.advice(), time.Duration(openAim*float64(k.LatencyObjective))
	if ttl > u.ttl || back >= 0 && back < wait+tick {
		return false
	}
	u.recur(ttl)
	return u.same(ttl) && u.often >= oftenLeast
}

// advice is when a refused client is told to come back.
func (c *Controller) advice() time.Duration { return min(retryAfter, c.set.MaxRetryAfter) }

func (c *Controller) refuse(id string) {
	c.act(Reject{ID: id, RetryAfter: c.advice()})
}

// finish gives the final answer of a request that was not served: a refusal
// where the rules allow one, else a failure.
func (c *Controller) finish(r *request) {
	if c.harmless(r) {
		c.refuse(r.id)
	} else {
		c.act(Fail{ID: r.id})
	}
	c.forget(r)
}

func (c *Controller) harmless(r *request) bool {
	return r.class.Idempotency == Idempotent || !r.mayRun && r.out == 0 ||
		r.class.Idempotency == IdempotentByKey && r.class.KeyScope == KeyScopeAll
}
