package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"sloestile/control"
)

func (l *loop) send(a control.Send) {
	x := l.exchanges[a.ID]
	if x == nil {
		l.pending = append(l.pending, control.AttemptEnded{ID: a.ID, Server: a.Server, Outcome: control.NeverSent, Done: true})
		return
	}
	n, to := x.sends, l.pools[a.Server]
	x.sends++
	var limit *time.Timer
	ctx, stop := context.WithCancelCause(l.life)
	if until := x.deadline; !until.IsZero() || a.Timeout > 0 {
		left := time.Until(until)
		if until.IsZero() || a.Timeout > 0 && a.Timeout < left {
			left = a.Timeout
		}
		if left <= 0 {
			stop(context.DeadlineExceeded)
		} else {
			limit = time.AfterFunc(left, func() { stop(context.DeadlineExceeded) })
		}
	}
	x.stop, x.limit, x.start = append(x.stop, stop), append(x.limit, limit), append(x.start, nil)
	if l.watching != nil {
		x.watched = append(x.watched, 0)
	}
	if to == nil || x.done || ctx.Err() != nil || x.spent() || l.sendCap > 0 && x.sends > l.sendCap {
		l.over(x, n)
		l.pending = append(l.pending, control.AttemptEnded{ID: a.ID, Attempt: n, Server: a.Server, Outcome: control.NeverSent, Done: x.done, BodySpent: x.spent()})
		return
	}
	x.out++
	if l.watching != nil {
		x.watched[n] = l.watching.began(a.Server)
	}
	if l.sharing != nil && n == 0 {
		l.sharing.sent(&x.req, x.req.Tokens, false)
	}
	if l.keeping != nil && n == 0 {
		l.keeping.granted(&x.req)
	}
	sent := time.Now()
	t := &attempt{req: x.message(), first: x.body, rest: x.rest, until: l.at(a.NotAfter),
		written: func() {
			l.stats.calls.Add(1)
			if x.rest != nil {
				l.post(func() { l.handle(control.BodySent{ID: x.req.ID, Attempt: n}) })
			}
		},
		begin: func(o outcome, length int64) (to *io.PipeWriter) {
			told := make(chan struct{})
			if l.post(func() { to = l.started(x, n, a.Server, sent, o, length); close(told) }) {
				select {
				case <-told:
				case <-l.ended:
					return nil
				}
			}
			return to
		}}
	x.start[n] = &t.start
	go func() {
		o := l.upstream.try(ctx, to, t)
		if !l.post(func() { l.settle(x, n, a.Server, sent, o) }) {
			o.held.shrink(0)
		}
	}()
}

// over ends what bounds an attempt.
func (l *loop) over(x *exchange, n int) {
	if x.limit[n] != nil {
		x.limit[n].Stop()
	}
	x.stop[n](context.Canceled)
}

// started takes in that a good answer has begun that is not held: it is the final one. It gives
// where the answer's rest goes, or nil where nobody waits for it.
func (l *loop) started(x *exchange, n int, server uint32, sent time.Time, o outcome, length int64) *io.PipeWriter {
	if x.done {
		return nil
	}
	if x.limit[n] != nil {
		x.limit[n].Stop() // its first bytes are in time; the rest takes what it takes
	}
	l.cost(x, o)
	from, to := io.Pipe()
	x.end(answer{status: http.StatusOK, header: o.header, body: o.body, stream: from, length: length})
	l.handle(control.ResponseStarted{ID: x.req.ID, Attempt: n, Server: server, Delay: time.Since(sent), Tokens: o.cost(l.unitsTop), MeterReading: o.used()})
	return to
}

// settle takes in how an attempt ended. The first good answer is the final one.
func (l *loop) settle(x *exchange, n int, server uint32, sent time.Time, o outcome) {
	l.over(x, n)
	l.cost(x, o)
	if l.watching != nil {
		l.watching.ended(x.watched[n], o.reason)
	}
	x.out--
	x.last = o.reason
	r := control.AttemptEnded{ID: x.req.ID, Attempt: n, Server: server, Outcome: o.reason, Delay: time.Since(sent), BodySpent: x.spent()}
	if o.header != nil && !o.begun {
		r.MeterReading, r.Tokens, r.LoadReport = o.used(), o.cost(l.unitsTop), o.load()
	}
	if o.reason == control.OK && !x.done {
		l.finish(x, answer{status: http.StatusOK, header: o.header, body: o.body, held: o.held})
	} else {
		o.held.shrink(0)
	}
	r.Done = x.done
	l.release(x)
	l.handle(r)
}

// cost tells those who share the customer's limit the true units of a request, once.
func (l *loop) cost(x *exchange, o outcome) {
	if l.sharing == nil || x.settled || o.header == nil {
		return
	}
	if cost := o.cost(l.unitsTop); cost > 0 {
		x.settled = true
		l.sharing.sent(&x.req, cost-x.req.Tokens, true)
	}
}
