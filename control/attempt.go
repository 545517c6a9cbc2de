package control

import "time"

// startAttempt dispatches a request to a server.
func (c *Controller) startAttempt(r *request, s *server) {
	c.scheduler.dequeue(r)
	if r.attempts == 0 {
		c.tenants.consume(r.tenant, r.tokens)
		c.traffic.meanTokens += meanTokensGain * (r.tokens - c.traffic.meanTokens)
	}
	if r.dedupServer == nil && r.class.Idempotency == IdempotentByKey {
		r.firstRunAt = c.env.now
	}
	if s.warmingUp {
		s.tokens -= r.tokens
	}
	if s.consecutiveFailures >= ejectionFailures {
		c.outliers.beginTrial(s)
	}
	c.recordStart(r, s)
	send := Send{ID: r.id, Server: s.Server}
	if r.hasIdempotencyWindow() { // opening the connection may outlast the window
		send.NotAfter = r.idempotencyWindowEnd()
	}
	c.env.emit(send)
}

// recordStart counts an attempt that starts now. While the body of a streamed request is being sent, the
// attempt counts neither against the server nor against the in-flight bound.
func (c *Controller) recordStart(r *request, s *server) {
	if s.activeAttempts() == 0 {
		s.lastActivityAt = c.env.now
	}
	key := attemptKey{r.id, r.attempts}
	c.attempts[key] = &attempt{
		request:     r,
		server:      s,
		tenant:      r.tenant,
		startedAt:   c.env.now,
		sendingBody: r.streamedBody,
	}
	r.attempts++
	r.outstandingAttempts++
	r.triedServers = append(r.triedServers, s.Server)
	if !r.streamedBody {
		s.inFlight++
		c.concurrency.inFlight++
	}
	r.tenant.inFlight++
}

// onBodySent handles the end of a streamed request body.
func (c *Controller) onBodySent(e BodySent) {
	if a := c.attempts[attemptKey{e.ID, e.Attempt}]; a != nil {
		c.recordBodySent(a)
	}
}

// recordBodySent counts an attempt as in flight from now on. The time until now was spent by the client on
// its body, so the request's times are moved by it.
func (c *Controller) recordBodySent(a *attempt) {
	if !a.sendingBody {
		return
	}
	if a.server.activeAttempts() == 0 {
		a.server.lastActivityAt = c.env.now
	}
	a.sendingBody = false
	a.server.inFlight++
	c.concurrency.inFlight++
	took := c.env.now - a.startedAt
	a.startedAt = c.env.now
	a.request.arrivedAt += took
	a.request.objectiveAt += took
	a.request.giveUpAt += took
}

// onResponseStarted handles the header of a streamed response. From here on the attempt no longer counts as
// work of its server.
func (c *Controller) onResponseStarted(e ResponseStarted) {
	a := c.attempts[attemptKey{e.ID, e.Attempt}]
	if a == nil || a.request.responseStarted {
		return
	}
	c.recordBodySent(a)
	a.request.responseStarted = true
	c.concurrency.responding++
	a.server.responding++
	a.server.lastActivityAt = c.env.now
	c.meter.applyReading(a.tenant, e.MeterReading, a.request.tokens)
	c.tenants.settle(a.tenant, a.request.tokens, e.Tokens)
	c.observeResponse(a, e.Latency)
}

// onAttemptEnded applies the outcome of an attempt. If the request has no final response and no other attempt
// outstanding, it is retried or ended.
func (c *Controller) onAttemptEnded(e AttemptEnded) {
	a := c.recordEnd(attemptKey{e.ID, e.Attempt})
	if a == nil {
		return
	}
	r := a.request
	a.server.lastActivityAt = c.env.now
	c.concurrency.pauseFractionalSlot()
	if a.tenant.plan.MaxConcurrent > 0 {
		a.tenant.pause(c.env.now, c.env.now-a.startedAt)
	}
	c.meter.applyReading(a.tenant, e.MeterReading, r.tokens)
	c.applyOutcome(a, e)
	switch {
	case c.requests[r.id] != r: // the request already has its final response
	case e.Done:
		c.forget(r)
	case !r.queued && r.outstandingAttempts == 0:
		c.retryOrEnd(r, a, e)
	}
}

// recordEnd counts the end of an attempt and returns it. It returns nil if no attempt with this key is
// outstanding.
func (c *Controller) recordEnd(key attemptKey) *attempt {
	a := c.attempts[key]
	if a == nil {
		return nil
	}
	delete(c.attempts, key)
	a.request.outstandingAttempts--
	a.tenant.inFlight--
	if a.sendingBody {
		return a
	}
	a.server.inFlight--
	c.concurrency.inFlight--
	if a.request.responseStarted {
		c.concurrency.responding--
		a.server.responding--
	}
	return a
}

// applyOutcome applies the outcome of an attempt to the server, the in-flight bound and the request.
func (c *Controller) applyOutcome(a *attempt, e AttemptEnded) {
	s, r := a.server, a.request
	took := c.env.since(a.startedAt)
	switch e.Outcome {
	case OK:
		c.applySuccess(a, e)
	case Overloaded:
		c.outliers.recordRejection(s, r.plan)
		c.interval.overloads++
	case ConnectFailed:
		c.outliers.recordFailure(s, ejectionFailures)
	case ResetByPeer, Errored:
		c.outliers.recordError(s)
	case NeverSent: // no evidence about the server
		c.outliers.endTrial(s)
	case TimedOut:
		// A client that gives up before the latency objective is no evidence of a slow server or of
		// overload.
		if took >= r.class.LatencyObjective.Seconds() {
			c.outliers.recordFailure(s, 1)
			s.observeLatency(c.env.now, took)
			c.interval.overloads++
		}
	}
	mayStillRun := e.Outcome == TimedOut || e.Outcome == Cancelled
	if mayStillRun {
		c.concurrency.abandon(s, took)
	}
	ran := mayStillRun || e.Outcome == Errored || e.Outcome == ResetByPeer
	if ran && !r.mayHaveRun {
		r.mayHaveRun = true
		r.firstRunAt = a.startedAt
		r.dedupServer = s
	}
}

// applySuccess applies a successful outcome to the server, the tenant's bucket and the averages.
func (c *Controller) applySuccess(a *attempt, e AttemptEnded) {
	c.outliers.recordSuccess(a.server)
	if !a.server.warmingUp {
		c.interval.servedTokens += a.request.tokens
	}
	c.tenants.settle(a.tenant, a.request.tokens, e.Tokens)
	if !a.request.responseStarted {
		c.observeResponse(a, c.env.now-a.startedAt)
	}
}

// observeResponse adds the latency of a successful response to the averages. took is the time from the start
// of the attempt.
func (c *Controller) observeResponse(a *attempt, took time.Duration) {
	latency := took.Seconds()
	objective := a.request.class.LatencyObjective.Seconds()
	a.server.observeLatency(c.env.now, latency)
	if a.server.warmingUp {
		c.traffic.observeSlowStart(latency, objective)
	}
	c.traffic.observe(min(latency, objective))
	c.interval.latencySecondsSum += min(latency, objective)
	c.interval.latencyRatioSum += min(1, latency/objective)
	c.interval.latencyCount++
	c.interval.responses++
	if c.tenants.rejectionChance(a.tenant) == 0 { // only tenants within their quota count
		a.request.plan.observeLateness(c.env.since(a.request.arrivedAt) / objective)
	}
}
