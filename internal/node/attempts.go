package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"sloestile/control"
)

// exchangeAttempt is what the event loop keeps of one attempt of a request.
type exchangeAttempt struct {
	number      int
	server      uint32
	sentAt      time.Time
	cancel      context.CancelCauseFunc
	timer       *time.Timer // ends the attempt with the client's time; nil while that does not run
	start       *start      // nil where nothing was sent
	stragglerID uint64      // number by which stragglers are watched
}

// stop ends the attempt's timer and its context.
func (t *exchangeAttempt) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel(context.Canceled)
}

// expireAt has the attempt end with the client's time, unless it has an end already.
func (t *exchangeAttempt) expireAt(deadline time.Time) {
	if t.timer == nil {
		t.timer = time.AfterFunc(time.Until(deadline), func() { t.cancel(context.DeadlineExceeded) })
	}
}

// send starts an attempt that the decision module asked for. Where it can't begin, the module is told that it was
// never sent.
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
	l.countSend(x, t)
	t.sentAt = time.Now()
	sending := l.newAttempt(x, t, l.wallTime(a.NotAfter))
	t.start = &sending.start
	go func() { // ends with ctx at the latest
		o := l.upstream.attempt(ctx, pool, sending)
		if !l.post(func() { l.attemptEnded(x, t, o) }) {
			o.reservation.shrinkTo(0)
		}
	}()
}

// newExchangeAttempt returns a further attempt of a request with its context, which ends with the client's time or with
// the timeout that the decision module gave, whichever is first.
func (l *loop) newExchangeAttempt(x *exchange, a control.Send) (context.Context, *exchangeAttempt) {
	ctx, cancel := context.WithCancelCause(l.attemptCtx)
	t := &exchangeAttempt{number: len(x.attempts), server: a.Server, cancel: cancel}
	hasDeadline := !x.deadline.IsZero()
	if !hasDeadline && a.Timeout <= 0 {
		return ctx, t
	}
	left := time.Until(x.deadline)
	if !hasDeadline || (a.Timeout > 0 && a.Timeout < left) {
		left = a.Timeout
	}
	if left <= 0 {
		cancel(context.DeadlineExceeded)
		return ctx, t
	}
	t.timer = time.AfterFunc(left, func() { cancel(context.DeadlineExceeded) })
	return ctx, t
}

// countSend tells the parts that a fleet file switches on of an attempt. Token buckets are charged for the first only.
func (l *loop) countSend(x *exchange, t *exchangeAttempt) {
	if l.stragglers != nil {
		t.stragglerID = l.stragglers.began(t.server)
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

// newAttempt returns what the upstream side needs of an attempt.
func (l *loop) newAttempt(x *exchange, t *exchangeAttempt, startBy time.Time) *attempt {
	written := func() {
		l.stats.attempts.Add(1)
		if x.streamedBody != nil {
			l.post(func() { l.handle(control.BodySent{ID: x.req.ID, Attempt: t.number}) })
		}
	}
	streamStarted := func(o outcome, length int64) (to *io.PipeWriter) {
		taken := make(chan struct{})
		posted := l.post(func() {
			to = l.responseStarted(x, t, o, length)
			close(taken)
		})
		if !posted {
			return nil
		}
		select {
		case <-taken:
			return to
		case <-l.ended:
			return nil
		}
	}
	return &attempt{req: x.newAttemptRequest(), first: x.body, rest: x.streamedBody, startBy: startBy, onWritten: written, onStreamStart: streamStarted}
}

// responseStarted makes a good answer that streams the final one. It returns the writer for the answer's rest, or nil
// where nobody waits for it.
func (l *loop) responseStarted(x *exchange, t *exchangeAttempt, o outcome, length int64) *io.PipeWriter {
	if x.done {
		return nil
	}
	if t.timer != nil {
		t.timer.Stop() // its first bytes are in time; the rest takes what it takes
	}
	l.reportCost(x, o)
	from, to := io.Pipe()
	x.finish(answer{status: http.StatusOK, header: o.header, body: o.body, stream: from, length: length})
	l.handle(control.ResponseStarted{ID: x.req.ID, Attempt: t.number, Server: t.server, Latency: time.Since(t.sentAt),
		Tokens: o.tokens(l.maxTokens), MeterReading: o.meterReading()})
	return to
}

// attemptEnded takes the outcome of an attempt. The first good answer is the final one.
func (l *loop) attemptEnded(x *exchange, t *exchangeAttempt, o outcome) {
	t.stop()
	l.reportCost(x, o)
	if l.stragglers != nil {
		l.stragglers.ended(t.stragglerID, o.reason)
	}
	x.inFlight--
	x.lastOutcome = o.reason
	r := control.AttemptEnded{ID: x.req.ID, Attempt: t.number, Server: t.server, Outcome: o.reason, Latency: time.Since(t.sentAt),
		BodyConsumed: x.bodyConsumed()}
	if o.header != nil && !o.streamed {
		r.MeterReading = o.meterReading()
		r.Tokens = o.tokens(l.maxTokens)
		r.LoadReport = o.loadReport()
	}
	if o.reason == control.OK && !x.done {
		l.finish(x, answer{status: http.StatusOK, header: o.header, body: o.body, reservation: o.reservation})
	} else {
		o.reservation.shrinkTo(0)
	}
	r.Done = x.done
	l.release(x)
	l.handle(r)
}

// reportCost tells the other nodes the true cost of a request, once.
func (l *loop) reportCost(x *exchange, o outcome) {
	if l.limitSharing == nil || x.costReported || o.header == nil {
		return
	}
	cost := o.tokens(l.maxTokens)
	if cost <= 0 {
		return
	}
	x.costReported = true
	l.limitSharing.consume(&x.req, cost-x.req.Tokens, true)
}
