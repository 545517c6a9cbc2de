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
	reason      control.Outcome
	err         error // why there was no answer
	header      http.Header
	body        []byte
	reservation *reservation // for the body
	streamed    bool         // the answer has been passed on as it came
}

// attempt is one sending of a request to a server.
type attempt struct {
	start         startState
	startDeadline time.Time // after which it must not start; zero is no bound
	req           *http.Request
	bodyPrefix    []byte      // of a long body, before rest
	bodyStream    *clientBody // of a long body; nil is none
	onWritten     func()      // called when the last byte of the request has been written
	// onStreamStart is called when a good answer begins that is not held whole, with its first bytes and its length, which
	// is below 0 where it is not known. It returns the writer for the rest; nil is that nobody reads it.
	onStreamStart func(o outcome, length int64) *io.PipeWriter
}

// expired reports whether it is too late to start.
func (a *attempt) expired() bool {
	return !a.startDeadline.IsZero() && !time.Now().Before(a.startDeadline)
}

// start decides between an attempt that begins to be written and its client who leaves: either it begins, or it is
// called off and never will. So no request is written on a connection that opened after its client had left.
type startState struct{ state atomic.Int32 }

const (
	startPending = iota // no connection yet
	startDone
	startCanceled
)

// begin reports whether the attempt may be written. It may be called once.
func (s *startState) tryStart() bool { return s.state.CompareAndSwap(startPending, startDone) }

// callOff keeps an attempt from beginning. One that has begun goes on.
func (s *startState) cancel() { s.state.CompareAndSwap(startPending, startCanceled) }

// upstream sends requests to servers, one at a time on a connection, and never retries by itself. net/http's Transport
// would retry, and does not tell whether the last byte of a request was written.
type upstream struct {
	maxIdleAge       time.Duration // for which a connection is kept idle
	reuseDelay       time.Duration // between two uses of a connection
	maxIdlePerServer int           // idle connections
	dial             func(ctx context.Context, network, address string) (net.Conn, error)
	sockets          *sockets
	budget           *budget

	mu    sync.Mutex
	pools map[*pool]struct{} // that are not retired

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
		pools:            make(map[*pool]struct{}),
	}
	s.evictServer = u.evict
	return u
}

// attempt makes one attempt at a server of a pool. It lasts until ctx ends at the latest.
func (u *upstream) attempt(ctx context.Context, p *pool, a *attempt) outcome {
	c, err := u.get(ctx, p)
	if errors.Is(err, errNoDescriptor) { // says nothing about the server
		return outcome{reason: control.NeverSent, err: err}
	}
	if err != nil {
		return outcome{reason: control.ConnectFailed, err: err}
	}
	// Only now: opening the connection took time, and the request may be over.
	if ctx.Err() != nil || a.expired() || !a.start.tryStart() {
		u.put(p, c)
		return outcome{reason: control.NeverSent, err: errAttemptCanceled}
	}
	c.responses.start(ctx)
	// A server that neither reads nor writes must not hold the attempt: both directions end with ctx.
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

// endOf returns the outcome of an attempt that its context ended.
func contextOutcome(ctx context.Context) control.Outcome {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return control.Cancelled
	}
	return control.TimedOut
}

// sendAndRead writes a request and reads its answer. keep reports whether the connection can be used again.
func (u *upstream) sendAndRead(ctx context.Context, c *serverConn, a *attempt) (o outcome, reusable bool) {
	if a.bodyStream != nil {
		return u.sendStreaming(c, a)
	}
	// A server starts its work with the last byte of a request: what breaks before has not run.
	if err := c.send(ctx, a); err != nil {
		return outcome{reason: control.ConnectFailed, err: err}, false
	}
	a.onWritten()
	return u.readResponse(c, a, func() error { return nil })
}

// attemptStreaming sends a long body as it comes and reads the answer meanwhile, as a server may reject the request
// before it has the whole body.
func (u *upstream) sendStreaming(c *serverConn, a *attempt) (o outcome, reusable bool) {
	ctx, cancel := context.WithCancel(c.responses.ctx)
	defer cancel()
	sent := make(chan error, 1)
	go func() {
		err := c.send(ctx, a)
		if err == nil {
			a.onWritten()
		} else {
			_ = c.SetReadDeadline(time.Now().Add(lateResponseTimeout))
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
	// What breaks before the last byte of the request has not run.
	o.reservation.shrinkTo(0)
	a.bodyStream.mu.Lock()
	defer a.bodyStream.mu.Unlock()
	if a.bodyStream.readErr != nil { // the client's: says nothing about the server
		return outcome{reason: control.NeverSent, err: a.bodyStream.readErr}, false
	}
	return outcome{reason: control.ConnectFailed, err: err}, false
}
