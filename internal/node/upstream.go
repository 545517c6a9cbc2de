package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"martennotch/control"
)

const (
	answerHead     = 64 << 10                // an answer's head, and those ahead of it
	answerStall    = 2500 * time.Millisecond // silence of an app server within an answer
	streamStall    = 6 * time.Second         // the same once the answer is passed on, and for which it may take nothing
	answerHold     = 500 * time.Millisecond  // after which what has come of an answer is passed on
	answerMostTime = 30 * time.Second        // of an answer, and as much more as it needs at slowest
	answerGrace    = 100 * time.Millisecond  // for an answer that came while the request broke
	idlePart       = 2.0 / 3                 // of the servers' keepalive that a connection may idle here
	idleGroup      = 64                      // connections of a whole group that idle to one app server
	idleLeast      = 2                       // and of one node of it, at least
	idleSweep      = time.Second             // how often idle connections are looked at
	connBuffer     = 4 << 10
	usedMost       = 10000 // per cent; what a meter may tell
	loadMost       = 1e6   // of any figure in a load report
)

// Headers of the protocol between edge nodes, clients and app servers.
const (
	headerID       = "X-Correlation-Id"
	headerPlan     = "X-Tariff"
	headerTimeLeft = "X-Time-Left"
	headerWeight   = "X-Weight"
	headerRepeat   = "X-Repeat"
	headerKey      = "Idempotency-Key"
	headerUnseen   = "X-Unprocessed"
	headerUsed     = "X-Allowance-Used"
	headerCost     = "X-True-Cost"
	headerLoad     = "X-Backend-Load"
)

// outcome is how an attempt ended.
type outcome struct {
	reason control.Reason
	err    error // why, where there was no answer
	header http.Header
	body   []byte
	held   *holding // of the budget for answers
	begun  bool     // the answer has been passed on as it came
}

// attempt is one sending of a request.
type attempt struct {
	req     *http.Request
	first   []byte      // of a long body
	rest    *clientBody // of a long body; nil is none
	written func()      // called when the last byte has gone out
	// Called when a good answer begins that is not held, with its first bytes. It gives where
	// the rest goes; nil is nowhere.
	begin func(o outcome, length int64) *io.PipeWriter
}

// upstream sends requests to app servers, one at a time on a connection. It never
// sends one again by itself: net/http's Transport would, and doesn't tell whether
// the last byte of a request went out.
type upstream struct {
	connect time.Duration
	idleFor time.Duration
	idle    int // connections that idle to one app server at most
	sockets *sockets
	budget  *budget

	mu    sync.Mutex
	pools map[*pool]struct{} // those that are not retired

	count connCounts
}

// connCounts tells how connections to app servers begin and end, since the node started.
type connCounts struct {
	dialed, failed, reused atomic.Int64
	gone                   atomic.Int64 // idle, and closed or spoiled by the app server
	aged                   atomic.Int64 // idle for too long
	broken                 atomic.Int64 // not to be used again after an attempt
}

// report gives the counts and the number of idle connections as attributes of a log line.
func (u *upstream) report() []any {
	n := 0
	u.mu.Lock()
	for p := range u.pools {
		n += len(p.idle)
	}
	u.mu.Unlock()
	c := &u.count
	return []any{"dialed", c.dialed.Load(), "failed", c.failed.Load(), "reused", c.reused.Load(),
		"gone", c.gone.Load(), "aged", c.aged.Load(), "broken", c.broken.Load(), "idle", n}
}

// pool holds the idle connections to one app server at one address. Guards against those
// of an app server that has gone being used for one that is now at its address.
type pool struct {
	endpoint string
	idle     []*conn // the most recently used last; nil for good once the pool is retired
}

// conn is a connection to an app server.
type conn struct {
	counted
	raw   syscall.RawConn
	in    answerReader
	r     *bufio.Reader
	w     *bufio.Writer
	since time.Time // idle since
}

// answerReader reads answers: a head is bounded in bytes, and what has begun has to move. Guards
// against answers that don't end or stop half way.
type answerReader struct {
	net.Conn
	ctx   context.Context // of the attempt
	left  int             // bytes of a head; below 0 is no bound
	begun bool
	set   bool // some deadline is set
	stall time.Duration
	// Called once, when an answer that is held has taken until then; nil is not wanted.
	late   func()
	lateAt time.Time
}

var (
	errTooLong      = fmt.Errorf("an answer's head of more than %d bytes", answerHead)
	errSlow         = errors.New("an answer that does not come to its end")
	errNoDescriptor = errors.New("no descriptor is left")
)

func (r *answerReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, errTooLong
	} else if r.left > 0 {
		b = b[:min(len(b), r.left)]
	}
	for {
		if late := r.late; late != nil && !time.Now().Before(r.lateAt) {
			r.late = nil
			late()
		}
		if r.begun {
			at := time.Now().Add(r.stall)
			if r.late != nil && r.lateAt.Before(at) {
				at = r.lateAt
			}
			r.SetReadDeadline(at)
			// Guards against undoing the end of an attempt that comes at this moment.
			if r.set = true; r.ctx.Err() != nil {
				r.SetReadDeadline(past)
			}
		}
		n, err := r.Conn.Read(b)
		if n == 0 && r.late != nil && r.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
			continue // late, and no more than that
		}
		if r.left > 0 {
			r.left -= n
		}
		r.begun = r.begun || n > 0
		return n, err
	}
}

// start makes the reader ready for the answer to an attempt.
func (r *answerReader) start(ctx context.Context) {
	if r.set {
		r.SetReadDeadline(time.Time{})
	}
	*r = answerReader{Conn: r.Conn, ctx: ctx, left: answerHead, stall: answerStall}
}

// again makes the reader ready for a further answer, after an interim one. Guards, by looking at
// the attempt's end, against undoing the deadline of one that ends at this moment.
func (r *answerReader) again() {
	if r.set {
		r.SetReadDeadline(time.Time{})
		if r.ctx.Err() != nil {
			r.SetReadDeadline(past)
		}
	}
	r.begun = false
}

// requestWriter writes a request. The body of one that streams goes out as it comes, for as long
// as the app server takes it.
type requestWriter struct {
	*conn
	streams bool
}

func (w *requestWriter) WriteByte(b byte) error { return w.w.WriteByte(b) }

func (w *requestWriter) WriteString(s string) (int, error) { return w.w.WriteString(s) }

func (w *requestWriter) Write(b []byte) (int, error) {
	if !w.streams {
		return w.w.Write(b)
	}
	w.SetWriteDeadline(time.Now().Add(streamStall))
	if w.in.ctx.Err() != nil {
		w.SetWriteDeadline(past)
	}
	n, err := w.w.Write(b)
	if err == nil {
		err = w.w.Flush()
	}
	return n, err
}

// longBody gives a long body to the request's writer, which it tells where the head has ended.
type longBody struct {
	to    *requestWriter
	first []byte
	rest  *clientBody
}

func (b *longBody) Read(p []byte) (int, error) {
	b.to.streams = true
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	b.rest.spent.Store(true)
	return b.rest.Read(p)
}

func (b *longBody) Close() error { return nil }

func newUpstream(connect, keepalive time.Duration, group int, s *sockets, b *budget) *upstream {
	u := &upstream{connect: connect, idle: max(idleLeast, idleGroup/max(group, 1)), idleFor: time.Duration(idlePart * float64(keepalive)), sockets: s,
		budget: b, pools: make(map[*pool]struct{})}
	s.evictServer = u.evict
	return u
}

// pool makes a pool of connections to an address.
func (u *upstream) pool(endpoint string) *pool {
	p := &pool{endpoint: endpoint}
	u.mu.Lock()
	u.pools[p] = struct{}{}
	u.mu.Unlock()
	return p
}

// retire closes a pool's idle connections; those in use are closed when they come back.
func (u *upstream) retire(p *pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.pools, p)
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// try makes one attempt, which lasts until ctx ends at the most.
func (u *upstream) try(ctx context.Context, p *pool, a *attempt) outcome {
	c, err := u.get(ctx, p)
	if errors.Is(err, errNoDescriptor) { // speaks against no app server
		return outcome{reason: control.Moot, err: err}
	} else if err != nil {
		return outcome{reason: control.ConnectFailed, err: err}
	}
	c.in.start(ctx)
	// Guards against a peer that takes or gives nothing: both directions end with ctx.
	unhook := context.AfterFunc(ctx, func() { c.SetDeadline(past) })
	keep := false
	defer func() {
		if unhook() && keep {
			u.put(p, c)
		} else {
			u.count.broken.Add(1)
			c.Close()
		}
	}()
	var o outcome
	if a.rest != nil {
		o, keep = u.tryLong(c, a)
	} else {
		// An app server begins a request with its last byte: what breaks before has not run.
		if err := c.send(a); err != nil {
			return outcome{reason: control.ConnectFailed, err: err}
		}
		a.written()
		o, keep = u.read(c, a)
	}
	if o.reason == control.ResetByPeer && ctx.Err() != nil {
		o.reason = control.TimedOut
		if errors.Is(context.Cause(ctx), context.Canceled) {
			o.reason = control.Cancelled
		}
	}
	return o
}

// send writes a request.
func (c *conn) send(a *attempt) error {
	w := &requestWriter{conn: c}
	if a.rest != nil {
		a.req.Body = &longBody{to: w, first: a.first, rest: a.rest}
	}
	if err := a.req.Write(w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	if w.streams {
		return c.SetWriteDeadline(time.Time{})
	}
	return nil
}

// tryLong sends a body that streams and looks for the answer meanwhile: an app server may answer
// before it has all.
func (u *upstream) tryLong(c *conn, a *attempt) (o outcome, keep bool) {
	sent := make(chan error, 1)
	go func() {
		err := c.send(a)
		if err == nil {
			a.written()
		} else {
			c.SetReadDeadline(time.Now().Add(answerGrace))
		}
		sent <- err
	}()
	o, keep = u.read(c, a)
	var err error
	select {
	case err = <-sent:
	default:
		keep = false
		a.rest.stop()
		c.SetWriteDeadline(past)
		err = <-sent
	}
	if err == nil || o.err == nil {
		return o, keep && err == nil
	}
	// What breaks before its last byte has not run.
	o.held.shrink(0)
	a.rest.mu.Lock()
	defer a.rest.mu.Unlock()
	if a.rest.fault != nil { // the client's: speaks against no app server
		return outcome{reason: control.Moot, err: a.rest.fault}, false
	}
	return outcome{reason: control.ConnectFailed, err: err}, false
}

// read reads one answer and tells whether the connection can be used again. What isn't whole
// and well formed is a reset: the request may have run.
func (u *upstream) read(c *conn, a *attempt) (o outcome, keep bool) {
	resp, err := http.ReadResponse(c.r, a.req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols { // an interim answer
		if c.r.Buffered() == 0 {
			c.in.again()
		}
		resp, err = http.ReadResponse(c.r, a.req)
	}
	if err == nil && resp.StatusCode < 200 {
		err = fmt.Errorf("unasked for: %s", resp.Status)
	}
	if err == nil && resp.ContentLength > longMost {
		err = errLong
	}
	if err != nil {
		return outcome{reason: control.ResetByPeer, err: err}, false
	}
	defer resp.Body.Close()
	c.in.left = -1
	o.header = resp.Header
	switch {
	case resp.StatusCode == http.StatusOK:
		o.reason = control.OK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(headerUnseen) == "1":
		o.reason = control.Full
	default:
		o.reason = control.Errored
	}
	o, whole := u.take(c.in.ctx, c, a, o, resp)
	return o, whole && !resp.Close && c.r.Buffered() == 0
}

// take reads the body of an answer: what is short and comes soon is held whole; else a good answer
// is passed on as it comes, and of another one the rest is left.
func (u *upstream) take(ctx context.Context, c *conn, a *attempt, o outcome, resp *http.Response) (got outcome, whole bool) {
	length, size := resp.ContentLength, int64(bodyMost)
	switch {
	case length > bodyMost:
		size = pieceSize
	case length >= 0:
		size = length
	}
	fail := func(reason control.Reason, err error) (outcome, bool) {
		o.held.shrink(0)
		return outcome{reason: reason, err: err, begun: o.begun}, false
	}
	var err error
	if o.held, err = hold(ctx, u.budget.answers, size); err != nil {
		return fail(control.ResetByPeer, err)
	}
	var to *io.PipeWriter
	begin := func() {
		c.in.late, c.in.stall = nil, streamStall
		o.begun = true
		to = a.begin(o, length)
		o.body = nil
		o.held.shrink(pieceSize)
	}
	switch {
	case o.reason != control.OK:
	case length > bodyMost:
		begin()
	default:
		c.in.late, c.in.lateAt = begin, time.Now().Add(answerHold)
		defer func() { c.in.late = nil }()
	}
	if length > 0 && !o.begun {
		o.body = make([]byte, 0, length)
	}
	piece := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(piece)
	start := time.Now()
	for total := int64(0); ; {
		n, err := resp.Body.Read(piece[:])
		if total += int64(n); total > longMost && err == nil {
			err = errLong
		} else if err == nil && time.Since(start) > mostTime(answerMostTime, total) {
			err = errSlow
		}
		switch {
		case o.begun && to == nil:
			return fail(control.Moot, errLeft)
		case o.begun && n > 0:
			if _, gone := to.Write(piece[:n]); gone != nil {
				return fail(control.Moot, gone)
			}
		case !o.begun:
			if o.body = append(o.body, piece[:n]...); len(o.body) > bodyMost && o.reason != control.OK {
				o.body = nil
				return o, false // its status has told all
			} else if len(o.body) > bodyMost {
				begin()
			}
		}
		if err == io.EOF {
			if o.begun && to != nil {
				to.Close()
			}
			return o, true
		}
		if err != nil {
			if o.begun && to != nil {
				to.CloseWithError(err)
			}
			return fail(control.ResetByPeer, err)
		}
	}
}

// get gives the most recently used idle connection that is still good, else a new one.
func (u *upstream) get(ctx context.Context, p *pool) (*conn, error) {
	for {
		c := u.pop(p)
		if c == nil {
			return u.dial(ctx, p.endpoint)
		}
		if u.good(c) {
			u.count.reused.Add(1)
			return c, nil
		}
		c.Close()
	}
}

// good tells whether an idle connection can be used, and counts why not.
func (u *upstream) good(c *conn) bool {
	switch {
	case !c.quiet():
		u.count.gone.Add(1)
	case time.Since(c.since) >= u.idleFor:
		u.count.aged.Add(1)
	default:
		return true
	}
	return false
}

func (u *upstream) dial(ctx context.Context, endpoint string) (*conn, error) {
	if !u.sockets.take(0) {
		return nil, errNoDescriptor
	}
	d := net.Dialer{Timeout: u.connect, KeepAlive: -1}
	tcp, err := d.DialContext(ctx, "tcp", endpoint)
	if err != nil {
		u.count.failed.Add(1)
		u.sockets.open.Add(-1)
		return nil, err
	}
	u.count.dialed.Add(1)
	tune(tcp)
	c := &conn{counted: counted{Conn: tcp, sockets: u.sockets}, in: answerReader{Conn: tcp}}
	if c.raw, err = tcp.(*net.TCPConn).SyscallConn(); err != nil {
		c.Close()
		return nil, err
	}
	c.r, c.w = bufio.NewReaderSize(&c.in, connBuffer), bufio.NewWriterSize(tcp, connBuffer)
	return c, nil
}

// quiet tells whether an idle connection is open and has nothing to read. Guards
// against writing to one that the app server has closed, which would be a reset, and
// against taking what came behind the last answer for the next one.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

func (u *upstream) pop(p *pool) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle[len(p.idle)-1] = nil
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (u *upstream) put(p *pool, c *conn) {
	c.since = time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	// Guards against many nodes that together keep more connections than an app server holds.
	if _, ok := u.pools[p]; !ok || len(p.idle) >= u.idle {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// sweep closes idle connections that are old or that the app server has closed,
// until ctx ends.
func (u *upstream) sweep(ctx context.Context) {
	t := time.NewTicker(idleSweep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			u.drop(func(c *conn) bool { return !u.good(c) })
		}
	}
}

// drop closes the idle connections of which is tells so.
func (u *upstream) drop(is func(*conn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range u.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if is(c) {
				c.Close()
			} else {
				kept = append(kept, c)
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
	}
}

// evict closes the connection that has been idle for the longest time, where there are more
// than some.
func (u *upstream) evict(keep int) bool {
	var oldest *conn
	n := 0
	u.drop(func(c *conn) bool {
		if n++; oldest == nil || c.since.Before(oldest.since) {
			oldest = c
		}
		return false
	})
	if oldest == nil || n <= keep {
		return false
	}
	u.drop(func(c *conn) bool { return c == oldest })
	return true
}

// used reads the customer's use; the module counts from 1, as 0 is not told.
func (o *outcome) used() int {
	v, err := strconv.Atoi(o.header.Get(headerUsed))
	if err != nil || v < 0 || v > usedMost {
		return 0
	}
	return v + 1
}

// cost reads the true units, of which a request can have so many at the most.
func (o *outcome) cost(most float64) float64 {
	v, err := parseNumber(o.header.Get(headerCost))
	if err != nil || v < 0 || most > 0 && v > most {
		return 0
	}
	return v
}

// load reads the app server's report. The header's words for the figures are not
// those of the settings; what is not known, or can't be, is skipped.
func (o *outcome) load() *control.Load {
	none := control.Load{Active: -1, Waiting: -1, CPU: -1, AvgMS: -1, RPS: -1, ErrRPS: -1}
	l := none
	for pair := range strings.SplitSeq(o.header.Get(headerLoad), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := parseNumber(value)
		if err != nil || v < 0 || v > loadMost {
			continue
		}
		switch name {
		case "inflight", "active":
			l.Active = v
		case "queue", "waiting":
			l.Waiting = v
		case "util", "cpu":
			l.CPU = v
		case "latency_ms", "avg_ms":
			l.AvgMS = v
		case "qps", "rps":
			l.RPS = v
		case "eps", "err_rps":
			l.ErrRPS = v
		}
	}
	if l == none {
		return nil
	}
	return &l
}

// parseNumber reads a finite number.
func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = fmt.Errorf("%q is not finite", s)
	}
	return v, err
}
