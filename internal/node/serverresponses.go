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
	maxResponseHeaderBytes = 64 << 10                // of an answer's head and of the interim ones before it
	responseIdleTimeout    = 2500 * time.Millisecond // silence of a server within an answer that is held
	streamIdleTimeout      = 6 * time.Second         // silence within one that is passed on, and for which a server may read nothing
	responseBufferTimeout  = 500 * time.Millisecond  // after which what has come of an answer is passed on
	responseTimeout        = 30 * time.Second        // of an answer, and the time that its length takes at minBytesPerSecond
	lateResponseTimeout    = 100 * time.Millisecond  // for an answer that came while the sending of its request broke
)

// answerReader reads answers with a bound on the bytes of a head and on silence within an answer.
type responseReader struct {
	net.Conn
	ctx             context.Context // of the attempt
	headerBytesLeft int             // below 0 is no bound
	started         bool            // a byte of the answer has come
	deadlineSet     bool
	idleTimeout     time.Duration
	// onLate is called once, where the answer has not ended by lateAt; nil is nothing.
	onBufferTimeout func()
	bufferDeadline  time.Time
}

var (
	errHeaderTooLong   = fmt.Errorf("an answer's head of more than %d bytes", maxResponseHeaderBytes)
	errResponseTooSlow = errors.New("an answer that does not come to its end")
	errNoDescriptor    = errors.New("no descriptor is left")
	errEarlyResponse   = errors.New("a good answer before the request was whole")
	errAttemptCanceled = errors.New("called off before it began")
)

// Read reads for the attempt's answer within its bounds.
func (r *responseReader) Read(b []byte) (int, error) {
	if r.headerBytesLeft == 0 {
		return 0, errHeaderTooLong
	}
	if r.headerBytesLeft > 0 {
		b = b[:min(len(b), r.headerBytesLeft)]
	}
	for {
		if onTimeout := r.onBufferTimeout; onTimeout != nil && !time.Now().Before(r.bufferDeadline) {
			r.onBufferTimeout = nil
			onTimeout()
		}
		if r.started {
			deadline := time.Now().Add(r.idleTimeout)
			if r.onBufferTimeout != nil && r.bufferDeadline.Before(deadline) {
				deadline = r.bufferDeadline
			}
			_ = r.SetReadDeadline(deadline)
			r.deadlineSet = true
			// The attempt may have ended at this moment: its deadline must not be undone.
			if r.ctx.Err() != nil {
				_ = r.SetReadDeadline(pastDeadline)
			}
		}
		n, err := r.Conn.Read(b)
		if n == 0 && r.onBufferTimeout != nil && r.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
			continue // only late
		}
		if r.headerBytesLeft > 0 {
			r.headerBytesLeft -= n
		}
		r.started = r.started || n > 0
		return n, err
	}
}

// start prepares the reader for the answer to an attempt.
func (r *responseReader) start(ctx context.Context) {
	if r.deadlineSet {
		_ = r.SetReadDeadline(time.Time{})
	}
	*r = responseReader{Conn: r.Conn, ctx: ctx, headerBytesLeft: maxResponseHeaderBytes, idleTimeout: responseIdleTimeout}
}

// nextAnswer prepares the reader for a further answer after an interim one. The attempt may end at this moment: its end is
// looked at again so that the deadline by which it ends is not undone.
func (r *responseReader) startNext() {
	if r.deadlineSet {
		_ = r.SetReadDeadline(time.Time{})
		if r.ctx.Err() != nil {
			_ = r.SetReadDeadline(pastDeadline)
		}
	}
	r.started = false
}

// readAnswer reads one answer. keep reports whether the connection can be used again. What is not whole and well formed
// counts as a reset: the request may have run. A good answer ends the sending by stopSending, which returns an error where
// the last byte of the request had not been written: a server starts its work with that byte.
func (u *upstream) readResponse(c *serverConn, a *attempt, stopSending func() error) (o outcome, reusable bool) {
	resp, err := http.ReadResponse(c.reader, a.req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols { // an interim answer
		if c.reader.Buffered() == 0 {
			c.responses.startNext()
		}
		resp, err = http.ReadResponse(c.reader, a.req)
	}
	if err == nil && resp.StatusCode < 200 {
		err = fmt.Errorf("unasked for: %s", resp.Status)
	}
	if err == nil && resp.ContentLength > maxMessageBytes {
		err = errMessageTooLong
	}
	// This may be a late second answer to the request before on this connection.
	if err == nil && resp.StatusCode == http.StatusOK && stopSending() != nil {
		err = errEarlyResponse
	}
	if err != nil {
		return outcome{reason: control.ResetByPeer, err: err}, false
	}
	defer func() { _ = resp.Body.Close() }()
	c.responses.headerBytesLeft = -1
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
	o, complete := u.readResponseBody(c.responses.ctx, c, a, o, resp)
	return o, complete && !resp.Close && c.reader.Buffered() == 0
}

// readAnswerBody reads the body of an answer. What is short and comes soon is held whole; else a good answer is passed on
// as it comes, and the rest of another one is not read. whole reports whether the body was read to its end.
func (u *upstream) readResponseBody(ctx context.Context, c *serverConn, a *attempt, o outcome, resp *http.Response) (result outcome, complete bool) {
	b := &responseBody{conn: c, attempt: a, outcome: o, length: resp.ContentLength}
	if err := b.reserve(ctx, u.budget.responses); err != nil {
		return b.fail(control.ResetByPeer, err)
	}
	defer func() { c.responses.onBufferTimeout = nil }()
	b.chooseMode()
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	start := time.Now()
	bytesRead := int64(0)
	for {
		n, err := resp.Body.Read(buffer[:])
		bytesRead += int64(n)
		if err == nil {
			err = checkProgress(bytesRead, start)
		}
		if addErr := b.add(buffer[:n]); addErr != nil {
			return b.fail(control.NeverSent, addErr)
		}
		if len(b.outcome.body) > maxBufferedBytes {
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
func checkProgress(bytesRead int64, start time.Time) error {
	switch {
	case bytesRead > maxMessageBytes:
		return errMessageTooLong
	case time.Since(start) > messageTimeout(responseTimeout, bytesRead):
		return errResponseTooSlow
	}
	return nil
}

// answerBody is the body of one answer while it is read.
type responseBody struct {
	conn    *serverConn
	attempt *attempt
	outcome outcome
	length  int64          // in bytes; below 0 is not known
	stream  *io.PipeWriter // of an answer that is passed on; nil is that nobody reads it
}

// reserve reserves memory for what is held of the body.
func (b *responseBody) reserve(ctx context.Context, budget *semaphore.Weighted) (err error) {
	size := int64(maxBufferedBytes)
	switch {
	case b.length > maxBufferedBytes:
		size = streamBufferBytes
	case b.length >= 0:
		size = b.length
	}
	b.outcome.reservation, err = reserve(ctx, budget, size)
	return err
}

// prepare has a good answer passed on at once where it is long, and else when it has taken answerHoldTime.
func (b *responseBody) chooseMode() {
	if b.outcome.reason == control.OK {
		if b.length > maxBufferedBytes {
			b.startStream()
		} else {
			b.conn.responses.onBufferTimeout = b.startStream
			b.conn.responses.bufferDeadline = time.Now().Add(responseBufferTimeout)
		}
	}
	if b.length > 0 && !b.outcome.streamed {
		b.outcome.body = make([]byte, 0, b.length)
	}
}

// startStream begins to pass the answer on, with what is held of it.
func (b *responseBody) startStream() {
	b.conn.responses.onBufferTimeout = nil
	b.conn.responses.idleTimeout = streamIdleTimeout
	b.outcome.streamed = true
	b.stream = b.attempt.onStreamStart(b.outcome, b.length)
	b.outcome.body = nil
	b.outcome.reservation.shrinkTo(streamBufferBytes)
}

// add holds a part of the body or passes it on. It returns an error where nobody reads it any more.
func (b *responseBody) add(part []byte) error {
	if !b.outcome.streamed {
		b.outcome.body = append(b.outcome.body, part...)
		return nil
	}
	if b.stream == nil {
		return errClientDisconnected
	}
	if len(part) == 0 {
		return nil
	}
	_, err := b.stream.Write(part)
	return err
}

// closeStream ends what is passed on, with the error where the answer broke.
func (b *responseBody) closeStream(err error) {
	if b.stream != nil {
		_ = b.stream.CloseWithError(err) // always nil
	}
}

// fail returns the outcome of an answer that broke.
func (b *responseBody) fail(reason control.Outcome, err error) (outcome, bool) {
	b.outcome.reservation.shrinkTo(0)
	return outcome{reason: reason, err: err, streamed: b.outcome.streamed}, false
}
