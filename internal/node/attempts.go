package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sloestile/control"
)

// exchangeAttempt is the event loop's record of one attempt of a request.
type exchangeAttempt struct {
	number      int
	server      uint32
	sentAt      time.Time
	cancel      context.CancelCauseFunc
	stopTimers  func()      // stops the timers that end the attempt
	timeoutAt   time.Time   // time at which the decision module's timeout ends the attempt; zero means none
	streaming   atomic.Bool // the response is streamed: the deadline no longer applies
	stragglerID uint64      // ID of the attempt in stragglerWatch
	events      eventSequence
}

// stop stops the attempt's timer and cancels its context.
func (t *exchangeAttempt) stop() {
	t.stopTimers()
	t.cancel(context.Canceled)
}

// expire ends the attempt at its deadline, unless its response is streamed: the deadline applies to the first bytes
// only, and streamIdleTimeout limits the rest.
func (t *exchangeAttempt) expire() { t.cancelUnlessStreaming(context.DeadlineExceeded) }

// cancelUnlessStreaming cancels the attempt's context, unless its response is streamed.
func (t *exchangeAttempt) cancelUnlessStreaming(cause error) {
	if !t.streaming.Load() {
		t.cancel(cause)
	}
}

// eventSequence posts the events of one attempt to the event loop in their order, without blocking the attempt: neither
// a response nor a body waits for the loop.
type eventSequence struct {
	mu       sync.Mutex
	previous chan struct{} // closed when the latest event has been posted; nil if there is none
}

// post posts an event behind those before it.
func (s *eventSequence) post(l *loop, event func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, posted := s.previous, make(chan struct{})
	s.previous = posted
	go func() { // ends when the loop takes the event or has ended
		defer close(posted)
		if previous != nil {
			<-previous
		}
		l.post(event)
	}()
}

// postLast posts the last event of the attempt. It blocks until the loop takes the event or has ended.
func (s *eventSequence) postLast(l *loop, event func()) {
	s.mu.Lock()
	previous := s.previous
	s.mu.Unlock()
	if previous != nil {
		<-previous
	}
	l.post(event)
}

// send starts an attempt that the decision module requested. If the attempt can't start, the module gets an event with
// the outcome NeverSent.
func (l *loop) send(a control.Send) {
	x := l.exchanges[a.ID]
	if x == nil {
		l.pendingEvents = append(l.pendingEvents, control.AttemptEnded{ID: a.ID, Server: a.Server, Outcome: control.NeverSent, Done: true})
		return
	}
	ctx, t := l.newExchangeAttempt(x, a)
	x.attempts = append(x.attempts, t)
	pool := l.pools[a.Server]
	overLimit := l.maxAttempts > 0 && len(x.attempts) > l.maxAttempts
	releaseBody := x.holdBody()
	outgoing := l.newAttempt(x, t, l.wallTime(a.NotAfter), releaseBody)
	if pool == nil || ctx.Err() != nil || x.bodyConsumed() || overLimit || !x.completion.addAttempt(&outgoing.start) {
		t.stop()
		releaseBody()
		l.pendingEvents = append(l.pendingEvents, control.AttemptEnded{ID: a.ID, Attempt: t.number, Server: a.Server,
			Outcome: control.NeverSent, Done: x.completion.isComplete(), BodyConsumed: x.bodyConsumed()})
		return
	}
	x.inFlight++
	l.rememberID(x)
	l.recordSend(x, t)
	t.sentAt = time.Now()
	go func() { // returns when ctx ends at the latest
		o := l.upstream.attempt(ctx, pool, outgoing)
		releaseBody()
		latency := time.Since(t.sentAt)
		answered := o.reason == control.OK && !o.streamed &&
			x.complete(o.response(nil, 0))
		if !answered {
			o.reservation.shrinkTo(0)
		}
		t.events.postLast(l, func() { l.attemptEnded(x, t, o, latency, answered) })
	}()
}

// newExchangeAttempt returns a new attempt of a request and its context, which ends at the client's deadline or after
// the decision module's timeout, whichever comes first.
func (l *loop) newExchangeAttempt(x *exchange, a control.Send) (context.Context, *exchangeAttempt) {
	ctx, cancel := context.WithCancelCause(l.attemptCtx)
	t := &exchangeAttempt{number: len(x.attempts), server: a.Server, cancel: cancel, stopTimers: func() {}}
	if x.clock.remaining() <= 0 {
		cancel(context.DeadlineExceeded)
		return ctx, t
	}
	deadline := x.clock.afterFunc(0, t.expire)
	t.stopTimers = deadline.stop
	if a.Timeout > 0 {
		t.timeoutAt = time.Now().Add(a.Timeout)
		timeout := time.AfterFunc(a.Timeout, t.expire)
		t.stopTimers = func() {
			deadline.stop()
			timeout.Stop()
		}
	}
	return ctx, t
}

// recordSend reports a started attempt to the parts that a fleet file enables. Token buckets are charged for the first
// attempt only.
func (l *loop) recordSend(x *exchange, t *exchangeAttempt) {
	if l.stragglers != nil {
		t.stragglerID = l.stragglers.attemptStarted(t.server)
	}
	if t.number > 0 {
		return
	}
	if l.limitSharing != nil {
		l.limitSharing.consume(&x.req, x.req.Tokens, false)
	}
	if l.persistence != nil {
		l.persistence.recordGrant(&x.req)
	}
}

// newAttempt returns the attempt to pass to upstream. Its callbacks report to the event loop and do not wait for it. The
// attempt calls releaseBody when it has written the body.
func (l *loop) newAttempt(x *exchange, t *exchangeAttempt, startDeadline time.Time, releaseBody func()) *attempt {
	req := x.newAttemptRequest()
	beforeSend := func() { setTimeLeft(req, x.clock.remaining()) }
	timeLeft := func() time.Duration {
		if left := x.clock.remaining(); t.timeoutAt.IsZero() || left < time.Until(t.timeoutAt) {
			return left
		}
		return time.Until(t.timeoutAt)
	}
	onWritten := func() {
		releaseBody()
		l.stats.attempts.Add(1)
		if x.streamedBody != nil {
			t.events.post(l, func() { l.handle(control.BodySent{ID: x.req.ID, Attempt: t.number}) })
		}
	}
	onStreamStart := func(o outcome, length int64) *responseStream {
		stream := newResponseStream()
		t.streaming.Store(true)
		if !x.complete(o.response(stream, length)) {
			return nil
		}
		latency := time.Since(t.sentAt)
		o.body = nil // it belongs to the client's goroutine now
		t.events.post(l, func() { l.responseStarted(x, t, o, latency) })
		return stream
	}
	return &attempt{req: req, body: x.body, bodyStream: x.streamedBody, startDeadline: startDeadline,
		isLate: func() bool { return l.shutdown.isLate(x) }, beforeSend: beforeSend, timeLeft: timeLeft, onWritten: onWritten, onStreamStart: onStreamStart}
}

// responseStarted records that a streamed response has become the final one.
func (l *loop) responseStarted(x *exchange, t *exchangeAttempt, o outcome, latency time.Duration) {
	x.done, x.body = true, nil
	l.reportCost(x, o)
	l.handle(control.ResponseStarted{ID: x.req.ID, Attempt: t.number, Server: t.server, Latency: latency,
		Tokens: o.trueCost(l.maxTokens), MeterReading: o.meterReading()})
}

// attemptEnded records the outcome of an attempt. answered reports whether its response has become the final one.
func (l *loop) attemptEnded(x *exchange, t *exchangeAttempt, o outcome, latency time.Duration, answered bool) {
	t.stop()
	l.reportCost(x, o)
	if l.stragglers != nil {
		l.stragglers.attemptEnded(t.stragglerID, o.reason)
	}
	x.inFlight--
	x.lastOutcome = o.reason
	x.mayHaveRun = x.mayHaveRun || mayHaveRun(o.reason)
	x.done = x.done || answered
	r := control.AttemptEnded{ID: x.req.ID, Attempt: t.number, Server: t.server, Outcome: o.reason, Latency: latency,
		Done: x.completion.isComplete(), BodyConsumed: x.bodyConsumed()}
	if o.header != nil && !o.streamed {
		r.MeterReading = o.meterReading()
		r.Tokens = o.trueCost(l.maxTokens)
		r.LoadReport = o.loadReport()
	}
	l.release(x)
	l.handle(r)
}

// mayHaveRun reports whether a server may have processed a request whose attempt ended so.
func mayHaveRun(reason control.Outcome) bool {
	return reason != control.NeverSent && reason != control.ConnectFailed && reason != control.Overloaded
}

// reportCost reports the true cost of a request to the other nodes, once.
func (l *loop) reportCost(x *exchange, o outcome) {
	if l.limitSharing == nil || x.costReported || o.header == nil {
		return
	}
	cost := o.trueCost(l.maxTokens)
	if cost <= 0 {
		return
	}
	x.costReported = true
	l.limitSharing.consume(&x.req, cost-x.req.Tokens, true)
}
