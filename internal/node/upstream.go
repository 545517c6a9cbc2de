package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sloestile/control"
)

// outcome is how an attempt ended.
type outcome struct {
	reason       control.Outcome
	err          error // reason why there was no response
	header       http.Header
	body         []byte
	reservation  *reservation // memory reserved for header and body
	headerMemory int64        // bytes of it that are reserved for the header
	streamed     bool         // the response was streamed to the client
}

// attempt is one sending of a request to a server.
type attempt struct {
	start         startState
	startDeadline time.Time // time from which the attempt must not start; zero means no limit
	req           *http.Request
	beforeSend    func()               // called when the connection is open, to set the header that depends on the time; nil means none
	body          []byte               // whole body; nil once it is written, and if it is streamed
	bodyStream    *clientBody          // streamed body; nil if the body is not streamed
	timeLeft      func() time.Duration // time until the attempt is ended; nil means no limit
	onWritten     func()               // called when the last byte of the request has been written
	isLate        func() bool          // reports whether the request came late in the process's shutdown; nil means never
	isRetired     func() bool          // reports whether nothing new may be sent to the server; set when the attempt starts
	// onStreamStart is called when a response with status 200 starts to stream, with the bytes read so far and its
	// length in bytes (below 0 means unknown). It returns the stream for the rest, or nil if nobody reads it.
	onStreamStart func(o outcome, length int64) *responseStream
}

// expired reports whether startDeadline has passed.
func (a *attempt) expired() bool {
	return !a.startDeadline.IsZero() && !time.Now().Before(a.startDeadline)
}

// clientLeft reports whether the client of a streamed body has closed its connection, and ends its request then. That of
// another request is noticed by net/http, which reads on while the request is open.
func (a *attempt) clientLeft() bool {
	return a.bodyStream != nil && a.bodyStream.endIfDisconnected()
}

// startState decides the race between the start of an attempt and its cancellation: it either starts, or is canceled
// and never starts. So no request is written on a connection that opened after the client had disconnected.
type startState struct{ state atomic.Int32 }

const (
	startPending  = iota // neither started nor canceled
	startDone            // started
	startCanceled        // never starts
)

// tryStart reports whether the attempt may be written. It returns true at most once.
func (s *startState) tryStart() bool { return s.state.CompareAndSwap(startPending, startDone) }

// cancel keeps an attempt from starting. It has no effect on one that has started, and returns false then.
func (s *startState) cancel() bool {
	s.state.CompareAndSwap(startPending, startCanceled)
	return s.state.Load() == startCanceled
}

// upstream sends requests to servers, one at a time on a connection, and never retries on its own. net/http's Transport
// would retry, and does not report whether the last byte of a request was written.
type upstream struct {
	maxIdleAge       time.Duration // time for which a connection may be idle
	reuseDelay       time.Duration // minimum time between two uses of a connection
	maxIdlePerServer int           // maximum number of idle connections
	dial             func(ctx context.Context, network, address string) (net.Conn, error)
	sockets          *sockets
	budget           *budget

	mu        sync.Mutex
	idlePools map[*pool]struct{} // pools with idle connections

	counts connCounts
}

func newUpstream(connectTimeout, keepalive time.Duration, fleetSize int, s *sockets, b *budget) *upstream {
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	u := &upstream{
		dial:             d.DialContext,
		reuseDelay:       connReuseDelay,
		maxIdlePerServer: max(minNodeIdleConns, maxFleetIdleConns/max(fleetSize, 1)),
		maxIdleAge:       time.Duration(idleKeepaliveFraction * float64(keepalive)),
		sockets:          s,
		budget:           b,
		idlePools:        make(map[*pool]struct{}),
	}
	s.evictServer = u.evict
	return u
}

// attempt makes one attempt at the server of a pool. It returns when ctx ends at the latest.
func (u *upstream) attempt(ctx context.Context, p *pool, a *attempt) outcome {
	c, err := u.get(ctx, p)
	if errors.Is(err, errNoDescriptor) { // not a failure of the server
		return outcome{reason: control.NeverSent, err: err}
	}
	if err != nil {
		return outcome{reason: control.ConnectFailed, err: err}
	}
	// Checked after the connection is open: opening took time, and the request may have ended meanwhile.
	if ctx.Err() != nil || a.expired() || a.clientLeft() || !a.start.tryStart() {
		u.put(p, c)
		return outcome{reason: control.NeverSent, err: errAttemptCanceled}
	}
	if a.beforeSend != nil {
		a.beforeSend()
	}
	a.isRetired = func() bool { return u.isRetired(p) }
	c.responses.start(ctx, &reservation{pool: u.budget.responses})
	// A server that neither reads nor writes must not block the attempt: reads and writes fail when ctx ends.
	keepDeadlines := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	o, reusable := u.sendAndRead(ctx, c, a)
	if o.reason == control.ResetByPeer && ctx.Err() != nil {
		o.reason = contextOutcome(ctx)
	}
	if keepDeadlines() && reusable {
		c.lastUsedAt = time.Now()
		c.reusableAt = c.lastUsedAt.Add(u.reuseDelay)
		u.put(p, c)
		return o
	}
	u.counts.broken.Add(1)
	_ = c.Close()
	return o
}

// contextOutcome returns the outcome of an attempt that ended with its context.
func contextOutcome(ctx context.Context) control.Outcome {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return control.Cancelled
	}
	return control.TimedOut
}

// sendAndRead writes a request and reads its response. reusable reports whether the connection can be used again.
func (u *upstream) sendAndRead(ctx context.Context, c *serverConn, a *attempt) (o outcome, reusable bool) {
	if a.bodyStream != nil {
		return u.sendStreaming(c, a)
	}
	// A server starts processing with the last byte of a request: a request that failed before that has not run.
	if err := c.send(ctx, a, u.budget); err != nil {
		return outcome{reason: control.ConnectFailed, err: err}, false
	}
	a.body = nil // its memory is free from onWritten on
	a.onWritten()
	return u.readResponse(c, a, func() error { return nil })
}

// sendStreaming streams a long body and reads the response at the same time, as a server may reject the request before
// it has the whole body. reusable reports whether the connection can be used again.
func (u *upstream) sendStreaming(c *serverConn, a *attempt) (o outcome, reusable bool) {
	ctx, cancel := context.WithCancel(c.responses.ctx)
	defer cancel()
	sent := make(chan error, 1)
	go func() {
		err := c.send(ctx, a, u.budget)
		if err == nil {
			a.onWritten()
		} else {
			c.responses.limitLateResponse()
		}
		sent <- err
	}()
	early := false
	stopSending := sync.OnceValue(func() error {
		select {
		case err := <-sent:
			return err
		default:
		}
		early = true
		cancel()
		a.bodyStream.stop()
		_ = c.SetWriteDeadline(pastDeadline)
		return <-sent
	})
	o, reusable = u.readResponse(c, a, stopSending)
	err := stopSending()
	if err == nil || o.err == nil || errors.Is(o.err, errEarlyResponse) {
		return o, reusable && !early && err == nil
	}
	// A request that failed before its last byte has not run.
	o.reservation.shrinkTo(0)
	if errors.Is(err, errBodyConsumed) {
		return outcome{reason: control.NeverSent, err: err}, false
	}
	a.bodyStream.mu.Lock()
	defer a.bodyStream.mu.Unlock()
	if a.bodyStream.readErr != nil { // the client's failure does not count against the server
		return outcome{reason: control.NeverSent, err: a.bodyStream.readErr}, false
	}
	return outcome{reason: control.ConnectFailed, err: err}, false
}
