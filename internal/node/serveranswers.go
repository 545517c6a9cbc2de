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

	"golang.org/x/sync/semaphore"

	"sloestile/control"
)

const (
	maxAnswerHeadBytes = 64 << 10                // of an answer's head and of the interim ones before it
	answerIdleTimeout  = 2500 * time.Millisecond // silence of a server within an answer that is held
	streamIdleTimeout  = 6 * time.Second         // silence within one that is passed on, and for which a server may read nothing
	answerHoldTime     = 500 * time.Millisecond  // after which what has come of an answer is passed on
	answerTimeout      = 30 * time.Second        // of an answer, and the time that its length takes at minBytesPerSecond
	lateAnswerTime     = 100 * time.Millisecond  // for an answer that came while the sending of its request broke
)

// answerReader reads answers with a bound on the bytes of a head and on silence within an answer.
type answerReader struct {
	net.Conn
	ctx           context.Context // of the attempt
	headBytesLeft int             // below 0 is no bound
	begun         bool            // a byte of the answer has come
	deadlineSet   bool
	idleTimeout   time.Duration
	// onLate is called once, where the answer has not ended by lateAt; nil is nothing.
	onLate func()
	lateAt time.Time
}

var (
	errHeadTooLong   = fmt.Errorf("an answer's head of more than %d bytes", maxAnswerHeadBytes)
	errAnswerTooSlow = errors.New("an answer that does not come to its end")
	errNoDescriptor  = errors.New("no descriptor is left")
	errEarlyAnswer   = errors.New("a good answer before the request was whole")
	errCalledOff     = errors.New("called off before it began")
)

// Read reads for the attempt's answer within its bounds.
func (r *answerReader) Read(b []byte) (int, error) {
	if r.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	if r.headBytesLeft > 0 {
		b = b[:min(len(b), r.headBytesLeft)]
	}
	for {
		if late := r.onLate; late != nil && !time.Now().Before(r.lateAt) {
			r.onLate = nil
			late()
		}
		if r.begun {
			at := time.Now().Add(r.idleTimeout)
			if r.onLate != nil && r.lateAt.Before(at) {
				at = r.lateAt
			}
			_ = r.SetReadDeadline(at)
			r.deadlineSet = true
			// The attempt may have ended at this moment: its deadline must not be undone.
			if r.ctx.Err() != nil {
				_ = r.SetReadDeadline(deadlinePassed)
			}
		}
		n, err := r.Conn.Read(b)
		if n == 0 && r.onLate != nil && r.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
			continue // only late
		}
		if r.headBytesLeft > 0 {
			r.headBytesLeft -= n
		}
		r.begun = r.begun || n > 0
		return n, err
	}
}

// start prepares the reader for the answer to an attempt.
func (r *answerReader) start(ctx context.Context) {
	if r.deadlineSet {
		_ = r.SetReadDeadline(time.Time{})
	}
	*r = answerReader{Conn: r.Conn, ctx: ctx, headBytesLeft: maxAnswerHeadBytes, idleTimeout: answerIdleTimeout}
}

// nextAnswer prepares the reader for a further answer after an interim one. The attempt may end at this moment: its end is
// looked at again so that the deadline by which it ends is not undone.
func (r *answerReader) nextAnswer() {
	if r.deadlineSet {
		_ = r.SetReadDeadline(time.Time{})
		if r.ctx.Err() != nil {
			_ = r.SetReadDeadline(deadlinePassed)
		}
	}
	r.begun = false
}

// readAnswer reads one answer. keep reports whether the connection can be used again. What is not whole and well formed
// counts as a reset: the request may have run. A good answer ends the sending by stopSending, which returns an error where
// the last byte of the request had not been written: a server starts its work with that byte.
func (u *upstream) readAnswer(c *conn, a *attempt, stopSending func() error) (o outcome, keep bool) {
	resp, err := http.ReadResponse(c.r, a.req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols { // an interim answer
		if c.r.Buffered() == 0 {
			c.answers.nextAnswer()
		}
		resp, err = http.ReadResponse(c.r, a.req)
	}
	if err == nil && resp.StatusCode < 200 {
		err = fmt.Errorf("unasked for: %s", resp.Status)
	}
	if err == nil && resp.ContentLength > maxMessageBytes {
		err = errMessageTooLong
	}
	// This may be a late second answer to the request before on this connection.
	if err == nil && resp.StatusCode == http.StatusOK && stopSending() != nil {
		err = errEarlyAnswer
	}
	if err != nil {
		return outcome{reason: control.ResetByPeer, err: err}, false
	}
	defer func() { _ = resp.Body.Close() }()
	c.answers.headBytesLeft = -1
	o.header = resp.Header
	switch {
	case resp.StatusCode == http.StatusOK:
		o.reason = control.OK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(headerUnprocessed) == "1":
		o.reason = control.Overloaded
	default:
		o.reason = control.Errored
	}
	o, whole := u.readAnswerBody(c.answers.ctx, c, a, o, resp)
	return o, whole && !resp.Close && c.r.Buffered() == 0
}

// readAnswerBody reads the body of an answer. What is short and comes soon is held whole; else a good answer is passed on
// as it comes, and the rest of another one is not read. whole reports whether the body was read to its end.
func (u *upstream) readAnswerBody(ctx context.Context, c *conn, a *attempt, o outcome, resp *http.Response) (got outcome, whole bool) {
	b := &answerBody{conn: c, attempt: a, outcome: o, length: resp.ContentLength}
	if err := b.reserve(ctx, u.budget.answers); err != nil {
		return b.fail(control.ResetByPeer, err)
	}
	defer func() { c.answers.onLate = nil }()
	b.prepare()
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	start := time.Now()
	total := int64(0)
	for {
		n, err := resp.Body.Read(buffer[:])
		total += int64(n)
		if err == nil {
			err = checkProgress(total, start)
		}
		if gone := b.add(buffer[:n]); gone != nil {
			return b.fail(control.NeverSent, gone)
		}
		if len(b.outcome.body) > maxHeldBytes {
			if b.outcome.reason != control.OK {
				b.outcome.body = nil
				return b.outcome, false // its status is all that counts
			}
			b.startStream()
		}
		if errors.Is(err, io.EOF) {
			b.closeStream(nil)
			return b.outcome, true
		}
		if err != nil {
			b.closeStream(err)
			return b.fail(control.ResetByPeer, err)
		}
	}
}

// checkProgress returns an error where an answer has become too long, or has taken too long for its length.
func checkProgress(total int64, start time.Time) error {
	switch {
	case total > maxMessageBytes:
		return errMessageTooLong
	case time.Since(start) > maxDuration(answerTimeout, total):
		return errAnswerTooSlow
	}
	return nil
}

// answerBody is the body of one answer while it is read.
type answerBody struct {
	conn    *conn
	attempt *attempt
	outcome outcome
	length  int64          // in bytes; below 0 is not known
	stream  *io.PipeWriter // of an answer that is passed on; nil is that nobody reads it
}

// reserve reserves memory for what is held of the body.
func (b *answerBody) reserve(ctx context.Context, budget *semaphore.Weighted) (err error) {
	size := int64(maxHeldBytes)
	switch {
	case b.length > maxHeldBytes:
		size = streamBufferBytes
	case b.length >= 0:
		size = b.length
	}
	b.outcome.reservation, err = reserve(ctx, budget, size)
	return err
}

// prepare has a good answer passed on at once where it is long, and else when it has taken answerHoldTime.
func (b *answerBody) prepare() {
	if b.outcome.reason == control.OK {
		if b.length > maxHeldBytes {
			b.startStream()
		} else {
			b.conn.answers.onLate = b.startStream
			b.conn.answers.lateAt = time.Now().Add(answerHoldTime)
		}
	}
	if b.length > 0 && !b.outcome.streamed {
		b.outcome.body = make([]byte, 0, b.length)
	}
}

// startStream begins to pass the answer on, with what is held of it.
func (b *answerBody) startStream() {
	b.conn.answers.onLate = nil
	b.conn.answers.idleTimeout = streamIdleTimeout
	b.outcome.streamed = true
	b.stream = b.attempt.onStreamStart(b.outcome, b.length)
	b.outcome.body = nil
	b.outcome.reservation.shrinkTo(streamBufferBytes)
}

// add holds a part of the body or passes it on. It returns an error where nobody reads it any more.
func (b *answerBody) add(part []byte) error {
	if !b.outcome.streamed {
		b.outcome.body = append(b.outcome.body, part...)
		return nil
	}
	if b.stream == nil {
		return errClientLeft
	}
	if len(part) == 0 {
		return nil
	}
	_, err := b.stream.Write(part)
	return err
}

// closeStream ends what is passed on, with the error where the answer broke.
func (b *answerBody) closeStream(err error) {
	if b.stream != nil {
		_ = b.stream.CloseWithError(err) // always nil
	}
}

// fail returns the outcome of an answer that broke.
func (b *answerBody) fail(reason control.Outcome, err error) (outcome, bool) {
	b.outcome.reservation.shrinkTo(0)
	return outcome{reason: reason, err: err, streamed: b.outcome.streamed}, false
}
