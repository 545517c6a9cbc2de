package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sloestile/control"
)

// outcome is how an attempt ended.
type outcome struct {
	reason control.Outcome
	err    error // why, where there was no answer
	header http.Header
	body   []byte
	held   *holding // of the budget for answers
	begun  bool     // the answer has been passed on as it came
}

// attempt is one sending of a request.
type attempt struct {
	start   start
	until   time.Time // by which it begins, or never; zero is no bound
	req     *http.Request
	first   []byte      // of a long body
	rest    *clientBody // of a long body; nil is none
	written func()      // called when the last byte has gone out
	// Called when a good answer begins that is not held, with its first bytes. It gives where
	// the rest goes; nil is nowhere.
	begin func(o outcome, length int64) *io.PipeWriter
}

// expired tells whether it is too late to begin.
func (a *attempt) expired() bool { return !a.until.IsZero() && !time.Now().Before(a.until) }

// start is the one way into an attempt: either it begins to be written, or it is called off and
// never will be. Guards against a request that is written on a connection which came up after its
// client had left.
type start struct{ state atomic.Int32 }

const (
	startOpen = iota // its connection is looked for
	startBegun
	startOff
)

// begin tells whether the attempt may be written, once and for all.
func (s *start) begin() bool { return s.state.CompareAndSwap(startOpen, startBegun) }

// callOff keeps an attempt from beginning; one that has begun goes on.
func (s *start) callOff() { s.state.CompareAndSwap(startOpen, startOff) }

// upstream sends requests to app servers, one at a time on a connection. It never
// sends one again by itself: net/http's Transport would, and doesn't tell whether
// the last byte of a request went out.
type upstream struct {
	idleFor time.Duration
	rest    time.Duration
	idle    int // connections that idle to one app server at most
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	sockets *sockets
	budget  *budget

	mu    sync.Mutex
	pools map[*pool]struct{} // those that are not retired

	count connCounts
}

func newUpstream(connect, keepalive time.Duration, group int, s *sockets, b *budget) *upstream {
	d := net.Dialer{Timeout: connect, KeepAlive: -1}
	u := &upstream{dial: d.DialContext, rest: idleRest, idle: max(idleLeast, idleGroup/max(group, 1)), idleFor: time.Duration(idlePart * float64(keepalive)), sockets: s,
		budget: b, pools: make(map[*pool]struct{})}
	s.evictServer = u.evict
	return u
}

// try makes one attempt, which lasts until ctx ends at the most.
func (u *upstream) try(ctx context.Context, p *pool, a *attempt) outcome {
	c, err := u.get(ctx, p)
	if errors.Is(err, errNoDescriptor) { // speaks against no app server
		return outcome{reason: control.NeverSent, err: err}
	} else if err != nil {
		return outcome{reason: control.ConnectFailed, err: err}
	}
	// No sooner: a connection takes its time to come up, and what it was for may be over then.
	if ctx.Err() != nil || a.expired() || !a.start.begin() {
		u.put(p, c)
		return outcome{reason: control.NeverSent, err: errOff}
	}
	c.in.start(ctx)
	// Guards against a peer that takes or gives nothing: both directions end with ctx.
	unhook := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	keep := false
	defer func() {
		if unhook() && keep {
			c.since = time.Now()
			c.rests = c.since.Add(u.rest)
			u.put(p, c)
		} else {
			u.count.broken.Add(1)
			_ = c.Close()
		}
	}()
	var o outcome
	if a.rest != nil {
		o, keep = u.tryLong(c, a)
	} else {
		// An app server begins a request with its last byte: what breaks before has not run.
		if err := c.send(ctx, a); err != nil {
			return outcome{reason: control.ConnectFailed, err: err}
		}
		a.written()
		o, keep = u.read(c, a, func() error { return nil })
	}
	if o.reason == control.ResetByPeer && ctx.Err() != nil {
		o.reason = control.TimedOut
		if errors.Is(context.Cause(ctx), context.Canceled) {
			o.reason = control.Cancelled
		}
	}
	return o
}

// tryLong sends a body that streams and looks for the answer meanwhile: an app server may refuse it
// before it has all.
func (u *upstream) tryLong(c *conn, a *attempt) (o outcome, keep bool) {
	ctx, end := context.WithCancel(c.in.ctx)
	defer end()
	sent := make(chan error, 1)
	go func() {
		err := c.send(ctx, a)
		if err == nil {
			a.written()
		} else {
			_ = c.SetReadDeadline(time.Now().Add(answerGrace))
		}
		sent <- err
	}()
	early := false
	cut := sync.OnceValue(func() error { // ends the sending
		select {
		case err := <-sent:
			return err
		default:
		}
		early = true
		end()
		a.rest.stop()
		_ = c.SetWriteDeadline(past)
		return <-sent
	})
	o, keep = u.read(c, a, cut)
	err := cut()
	if err == nil || o.err == nil || errors.Is(o.err, errEarly) {
		return o, keep && !early && err == nil
	}
	// What breaks before its last byte has not run.
	o.held.shrink(0)
	a.rest.mu.Lock()
	defer a.rest.mu.Unlock()
	if a.rest.fault != nil { // the client's: speaks against no app server
		return outcome{reason: control.NeverSent, err: a.rest.fault}, false
	}
	return outcome{reason: control.ConnectFailed, err: err}, false
}
