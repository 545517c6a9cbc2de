package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"sloestile/control"
)

// exchangeAttempt is the event loop's record of one attempt of a request.
type exchangeAttempt struct {
	number      int
	server      uint32
	sentAt      time.Time
	cancel      context.CancelCauseFunc
	timer       *time.Timer // ends the attempt at the client's deadline or its timeout; nil while it has neither
	start       *startState // nil if the attempt was not handed to upstream
	stragglerID uint64      // ID of the attempt in stragglerWatch
}

// stop stops the attempt's timer and cancels its context.
func (t *exchangeAttempt) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel(context.Canceled)
}

// startTimer makes the attempt end at the client's deadline, unless it has a timer already.
func (t *exchangeAttempt) startTimer(deadline time.Time) {
	if t.timer == nil {
		t.timer = time.AfterFunc(time.Until(deadline), func() { t.cancel(context.DeadlineExceeded) })
	}
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
	if pool == nil || x.done || ctx.Err() != nil || x.bodyConsumed() || overLimit {
		t.stop()
		l.pendingEvents = append(l.pendingEvents, control.AttemptEnded{ID: a.ID, Attempt: t.number, Server: a.Server,
			Outcome: control.NeverSent, Done: x.done, BodyConsumed: x.bodyConsumed()})
		return
	}
	x.inFlight++
	l.recordSend(x, t)
	t.sentAt = time.Now()
	outgoing := l.newAttempt(x, t, l.wallTime(a.NotAfter))
	t.start = &outgoing.start
	go func() { // returns when ctx ends at the latest
		o := l.upstream.attempt(ctx, pool, outgoing)
		if !l.post(func() { l.attemptEnded(x, t, o) }) {
			o.reservation.shrinkTo(0)
		}
	}()
}

// newExchangeAttempt returns a new attempt of a request and its context, which ends at the client's deadline or after
// the decision module's timeout, whichever comes first.
func (l *loop) newExchangeAttempt(x *exchange, a control.Send) (context.Context, *exchangeAttempt) {
	ctx, cancel := context.WithCancelCause(l.attemptCtx)
	t := &exchangeAttempt{number: len(x.attempts), server: a.Server, cancel: cancel}
	hasDeadline := !x.deadline.IsZero()
	if !hasDeadline && a.Timeout <= 0 {
		return ctx, t
	}
	timeout := time.Until(x.deadline)
	if !hasDeadline || (a.Timeout > 0 && a.Timeout < timeout) {
		timeout = a.Timeout
	}
	if timeout <= 0 {
		cancel(context.DeadlineExceeded)
		return ctx, t
	}
	t.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
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

// newAttempt returns the attempt to pass to upstream. Its callbacks report to the event loop.
func (l *loop) newAttempt(x *exchange, t *exchangeAttempt, startDeadline time.Time) *attempt {
	onWritten := func() {
		l.stats.attempts.Add(1)
		if x.streamedBody != nil {
			l.post(func() { l.handle(control.BodySent{ID: x.req.ID, Attempt: t.number}) })
		}
	}
	onStreamStart := func(o outcome, length int64) (writer *io.PipeWriter) {
		handled := make(chan struct{})
		posted := l.post(func() {
			writer = l.responseStarted(x, t, o, length)
			close(handled)
		})
		if !posted {
			return nil
		}
		select {
		case <-handled:
			return writer
		case <-l.ended:
			return nil
		}
	}
	return &attempt{req: x.newAttemptRequest(), bodyPrefix: x.body, bodyStream: x.streamedBody, startDeadline: startDeadline, onWritten: onWritten, onStreamStart: onStreamStart}
}

// responseStarted makes a streamed response with status 200 the final one. It returns the writer for the rest of the
// response, or nil if the request already has its final response.
func (l *loop) responseStarted(x *exchange, t *exchangeAttempt, o outcome, length int64) *io.PipeWriter {
	if x.done {
		return nil
	}
	if t.timer != nil {
		t.timer.Stop() // the deadline applies to the first bytes only; streamIdleTimeout limits the rest
	}
	l.reportCost(x, o)
	reader, writer := io.Pipe()
	x.finish(response{status: http.StatusOK, header: o.header, body: o.body, stream: reader, length: length})
	l.handle(control.ResponseStarted{ID: x.req.ID, Attempt: t.number, Server: t.server, Latency: time.Since(t.sentAt),
		Tokens: o.trueCost(l.maxTokens), MeterReading: o.meterReading()})
	return writer
}

// attemptEnded applies the outcome of an attempt. The first response with status 200 is the final one.
func (l *loop) attemptEnded(x *exchange, t *exchangeAttempt, o outcome) {
	t.stop()
	l.reportCost(x, o)
	if l.stragglers != nil {
		l.stragglers.attemptEnded(t.stragglerID, o.reason)
	}
	x.inFlight--
	x.lastOutcome = o.reason
	r := control.AttemptEnded{ID: x.req.ID, Attempt: t.number, Server: t.server, Outcome: o.reason, Latency: time.Since(t.sentAt),
		BodyConsumed: x.bodyConsumed()}
	if o.header != nil && !o.streamed {
		r.MeterReading = o.meterReading()
		r.Tokens = o.trueCost(l.maxTokens)
		r.LoadReport = o.loadReport()
	}
	if o.reason == control.OK && !x.done {
		l.finish(x, response{status: http.StatusOK, header: o.header, body: o.body, reservation: o.reservation})
	} else {
		o.reservation.shrinkTo(0)
	}
	r.Done = x.done
	l.release(x)
	l.handle(r)
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
