package control

import "time"

func (c *Controller) onStarted(e ResponseStarted) {
	a := c.attempts[attemptKey{e.ID, e.Attempt}]
	if a == nil || a.req.streaming {
		return
	}
	c.begun(a)
	c.meter(a.cust, e.MeterReading, a.req.units)
	c.settleUnits(a, e.Tokens)
	c.answered(a, e.Delay)
}

// settleUnits takes the true units of a request from its customer's store in place of the guess.
func (c *Controller) settleUnits(a *attempt, cost float64) {
	if cost > 0 && c.set.CostWithAnswer {
		c.refill(a.cust)
		a.cust.level -= cost - a.req.units
	}
}

func (c *Controller) onResponse(e AttemptEnded) {
	a := c.settle(attemptKey{e.ID, e.Attempt})
	if a == nil {
		return
	}
	r := a.req
	a.srv.heard = c.now
	if part := c.bound - c.busyNow(); part > 0 && part < 1 {
		c.restUntil = c.now + seconds((1/part-1)*c.latency)
	}
	if pause := 1/max(a.cust.openCap, tiny) - 1; a.cust.plan.MaxConcurrent > 0 && pause > 0 {
		a.cust.openNext = c.now + time.Duration(pause*float64(c.now-a.sent))
	}
	c.meter(a.cust, e.MeterReading, r.units)
	c.judge(a, e)
	switch {
	case c.reqs[r.id] != r: // it was ended before
	case e.Done:
		c.forget(r)
	case !r.queued && r.out == 0:
		c.again(r, a, e)
	}
}

// judge takes an outcome's lesson on the server, the bound and the plan.
func (c *Controller) judge(a *attempt, e AttemptEnded) {
	s, r := a.srv, a.req
	took := (c.now - a.sent).Seconds()
	switch e.Outcome {
	case OK:
		s.strikes, s.probing, s.aside = 0, false, 0
		c.fared(s, 0)
		if !s.coldRamp {
			c.served += r.units
		}
		c.settleUnits(a, e.Tokens)
		if !r.streaming {
			c.answered(a, c.now-a.sent)
		}
	case Overloaded: // some servers refuse one plan only
		c.strike(s, 1)
		s.shut[r.plan] = c.now + shutFor
		c.bad++
	case ConnectFailed:
		c.strike(s, strikesOut)
	case ResetByPeer, Errored: // a server that fails at once looks idle and draws the rest
		if c.fared(s, 1); c.failing(s) > failMost {
			c.strike(s, 1)
		}
		s.probing = false
	case NeverSent: // says nothing of the server, which may be tried anew
		s.probing = false
	case TimedOut:
		// Guards against clients that give up before an answer is due: what they did not wait for
		// speaks neither against the server nor for a lower bound.
		if took < r.class.LatencyObjective.Seconds() {
			break
		}
		c.strike(s, 1)
		c.sawLatency(s, took)
		c.bad++
	}
	late := e.Outcome == TimedOut || e.Outcome == Cancelled
	if late { // its work may go on
		s.ghosts++
		c.ghosts = append(c.ghosts, ghost{s, c.now + seconds(min(took, zombieLife*c.latency))})
	}
	if ran := e.Outcome == Errored || e.Outcome == ResetByPeer || late; ran && !r.mayRun {
		r.mayRun, r.firstRun, r.group = true, a.sent, s
	}
}

// answered takes the latency of a good answer.
func (c *Controller) answered(a *attempt, took time.Duration) {
	t := took.Seconds()
	c.sawLatency(a.srv, t)
	aim := a.req.class.LatencyObjective.Seconds()
	if a.srv.coldRamp {
		if c.coldLatency == 0 {
			c.coldLatency = t
		}
		c.coldLatency += coldGain * (min(t, aim) - c.coldLatency)
	}
	c.seen++
	c.latency += max(fleetGain, 1/c.seen) * (min(t, aim) - c.latency)
	c.secSum += min(t, aim)
	c.latSum += min(1, t/aim)
	c.latN++
	c.answers++
	if c.chanceNow(a.cust) == 0 {
		a.req.plan.saw((c.now - a.req.arrived).Seconds() / aim)
	}
}

// again gives a request a further attempt where the rules, the attempt limit, the retry budget and its
// time allow one; else it ends it. What failed at once took little work and takes little of the budget.
func (c *Controller) again(r *request, a *attempt, e AttemptEnded) {
	price, why := 1.0, e.Outcome
	if why == Errored || why == ResetByPeer || why == ConnectFailed {
		price = min(1, max(retryLeast, (c.now-a.sent).Seconds()/max(c.latency, tiny)))
	}
	ok := why != NeverSent && !e.BodySpent && c.retries >= price && c.now < r.giveUp-time.Millisecond &&
		(c.mostSends(r) == 0 || r.sends < c.mostSends(r))
	if r.mayRun && r.class.Idempotency != Idempotent {
		ok = ok && c.dropped(r) && c.now < r.firstRun+r.class.IdempotencyWindow
	}
	if !ok {
		c.tally.ended++
		c.finish(r)
		return
	}
	c.retries -= price
	c.enqueue(r, true)
	// Guards against a further attempt that waits in the queue beyond the client's time, or beyond
	// the time for which repeats are dropped.
	until := r.giveUp
	if c.dropped(r) {
		until = min(until, r.firstRun+r.class.IdempotencyWindow)
	}
	c.wake(r, until-c.now-time.Millisecond)
}

// retryRoom is how many further attempts may be saved up: a part of what a whole group may. Guards
// against many gateways that each have theirs full when they start, or when a hall is lost.
func (c *Controller) retryRoom() float64 {
	return max(retryFew, retryMost*min(1, fewGateways/float64(c.set.FleetSize)))
}

// dropped tells whether a request may go again for a while only, in which repeats are dropped.
func (c *Controller) dropped(r *request) bool {
	return r.mayRun && r.class.Idempotency == IdempotentByKey
}
