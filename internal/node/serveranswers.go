package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"sloestile/control"
)

const (
	answerHead     = 64 << 10                // an answer's head, and those ahead of it
	answerStall    = 2500 * time.Millisecond // silence of an app server within an answer
	streamStall    = 6 * time.Second         // the same once the answer is passed on, and for which it may take nothing
	answerHold     = 500 * time.Millisecond  // after which what has come of an answer is passed on
	answerMostTime = 30 * time.Second        // of an answer, and as much more as it needs at slowest
	answerGrace    = 100 * time.Millisecond  // for an answer that came while the request broke
)

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
	errEarly        = errors.New("a good answer before the request was whole")
	errOff          = errors.New("called off before it began")
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
			_ = r.SetReadDeadline(at)
			// Guards against undoing the end of an attempt that comes at this moment.
			if r.set = true; r.ctx.Err() != nil {
				_ = r.SetReadDeadline(past)
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
		_ = r.SetReadDeadline(time.Time{})
	}
	*r = answerReader{Conn: r.Conn, ctx: ctx, left: answerHead, stall: answerStall}
}

// again makes the reader ready for a further answer, after an interim one. Guards, by looking at
// the attempt's end, against undoing the deadline of one that ends at this moment.
func (r *answerReader) again() {
	if r.set {
		_ = r.SetReadDeadline(time.Time{})
		if r.ctx.Err() != nil {
			_ = r.SetReadDeadline(past)
		}
	}
	r.begun = false
}

// read reads one answer and tells whether the connection can be used again. What isn't whole
// and well formed is a reset: the request may have run. A good answer ends the sending by cut,
// which tells whether the request's last byte had gone out: an app server begins its work with that.
func (u *upstream) read(c *conn, a *attempt, cut func() error) (o outcome, keep bool) {
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
	// Guards against a second answer to the request before on this connection that comes late.
	if err == nil && resp.StatusCode == http.StatusOK && cut() != nil {
		err = errEarly
	}
	if err != nil {
		return outcome{reason: control.ResetByPeer, err: err}, false
	}
	defer func() { _ = resp.Body.Close() }()
	c.in.left = -1
	o.header = resp.Header
	switch {
	case resp.StatusCode == http.StatusOK:
		o.reason = control.OK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(headerUnseen) == "1":
		o.reason = control.Overloaded
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
	fail := func(reason control.Outcome, err error) (outcome, bool) {
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
			return fail(control.NeverSent, errLeft)
		case o.begun && n > 0:
			if _, gone := to.Write(piece[:n]); gone != nil {
				return fail(control.NeverSent, gone)
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
				_ = to.Close()
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
