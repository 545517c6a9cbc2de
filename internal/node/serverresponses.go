package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"sloestile/control"
)

const (
	maxResponseHeaderBytes = 64 << 10                // size of a header with its interim responses; each line counts responseLineBytes more
	responseLineBytes      = 64                      // memory of a parsed header line besides its text
	responseHeaderByteCost = 2                       // bytes of memory that such a byte takes: parsed, and while it is read
	unbudgetedHeaderBytes  = 2 * connBufferBytes     // such bytes without a reservation; the first ones of the body may be among them
	responseIdleTimeout    = 2500 * time.Millisecond // time without a byte of a buffered response
	streamIdleTimeout      = 6 * time.Second         // time without progress of a streamed body
	responseBufferTimeout  = 500 * time.Millisecond  // time after which an incomplete response is streamed
	streamStartMargin      = 10 * time.Millisecond   // time before the end of an attempt at which a response that has begun is streamed
	lateResponseTimeout    = 100 * time.Millisecond  // time to read a response after sending its request has failed
)

// responseReader reads responses with limits on the size of a header and on the time without a byte within a response.
type responseReader struct {
	net.Conn
	ctx             context.Context // context of the attempt
	reservation     *reservation    // memory reserved for the response
	headerMemory    int64           // bytes of it that are reserved for the header
	headerBytesLeft int             // remaining bytes of the header; below 0 means no limit
	started         bool            // a byte of the response was read
	deadlineSet     bool
	idleTimeout     time.Duration
	// onBufferTimeout is called once if the response is not complete by bufferDeadline; nil disables the check.
	onBufferTimeout func()
	bufferDeadline  time.Time
}

var (
	errHeaderTooLong   = fmt.Errorf("reading the response: header exceeds %d bytes", maxResponseHeaderBytes)
	errNoHeaderMemory  = errors.New("reading the response: no memory left for its long header")
	errNoDescriptor    = errors.New("connecting to a server: no file descriptor left")
	errEarlyResponse   = errors.New("reading the response: status 200 before the request was sent in full")
	errAttemptCanceled = errors.New("sending the request: canceled before the attempt started")
)

// Read reads bytes of the attempt's response within the limits.
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
			// The attempt may just have ended: the past deadline that its end set must not be replaced.
			if r.ctx.Err() != nil {
				_ = r.SetReadDeadline(pastDeadline)
			}
		}
		n, err := r.Conn.Read(b)
		if n == 0 && r.onBufferTimeout != nil && r.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
			continue // the deadline was bufferDeadline
		}
		if r.headerBytesLeft > 0 {
			r.headerBytesLeft = max(0, r.headerBytesLeft-n-responseLineBytes*bytes.Count(b[:n], []byte("\n")))
			if !r.reserveHeader() {
				return 0, errNoHeaderMemory
			}
		}
		r.started = r.started || n > 0
		return n, err
	}
}

// reserveHeader reserves the memory of the header's bytes read so far, beyond what common headers take, and reports whether
// there is enough.
func (r *responseReader) reserveHeader() bool {
	size := maxResponseHeaderBytes - r.headerBytesLeft
	if r.reservation == nil || size <= unbudgetedHeaderBytes {
		return true
	}
	cost := int64(responseHeaderByteCost * size)
	if !r.reservation.growTo(cost) {
		return false
	}
	r.headerMemory = cost
	return true
}

// start prepares the reader for the response to an attempt, whose memory is reserved in reservation.
func (r *responseReader) start(ctx context.Context, reservation *reservation) {
	if r.deadlineSet {
		_ = r.SetReadDeadline(time.Time{})
	}
	*r = responseReader{Conn: r.Conn, ctx: ctx, reservation: reservation, headerBytesLeft: maxResponseHeaderBytes, idleTimeout: responseIdleTimeout}
}

// limitLateResponse gives the server lateResponseTimeout for a response. If the attempt has ended, the past deadline that
// its end set stays.
func (r *responseReader) limitLateResponse() {
	_ = r.SetReadDeadline(time.Now().Add(lateResponseTimeout))
	if r.ctx.Err() != nil {
		_ = r.SetReadDeadline(pastDeadline)
	}
}

// startNext prepares the reader for a further response after an interim one. The attempt may end while the deadline is
// cleared: its context is checked again afterwards, so that the past deadline that its end set stays.
func (r *responseReader) startNext() {
	if r.deadlineSet {
		_ = r.SetReadDeadline(time.Time{})
		if r.ctx.Err() != nil {
			_ = r.SetReadDeadline(pastDeadline)
		}
	}
	r.started = false
}

// readResponse reads one response. reusable reports whether the connection can be used again. An incomplete or
// malformed response counts as a reset: the server may have processed the request. For a response with status 200 it
// calls stopSending, which ends the sending and returns an error if the last byte of the request had not been written:
// a server starts processing with that byte.
func (u *upstream) readResponse(c *serverConn, a *attempt, stopSending func() error) (o outcome, reusable bool) {
	resp, err := http.ReadResponse(c.reader, a.req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols { // interim responses
		if c.reader.Buffered() == 0 {
			c.responses.startNext()
		}
		resp, err = http.ReadResponse(c.reader, a.req)
	}
	if err == nil && resp.StatusCode < 200 {
		err = fmt.Errorf("reading the response: unexpected status %s", resp.Status)
	}
	if err == nil && resp.ContentLength > maxMessageBytes {
		err = errMessageTooLong
	}
	// A response before the end of the request may be a late second response to the previous request on this
	// connection.
	if err == nil && resp.StatusCode == http.StatusOK && stopSending() != nil {
		err = errEarlyResponse
	}
	if err != nil {
		c.responses.reservation.shrinkTo(0)
		return outcome{reason: control.ResetByPeer, err: err}, false
	}
	// The body is not closed: net/http would read it to its end, however slowly that comes. The connection is closed instead.
	c.responses.headerBytesLeft = -1
	o.header, o.reservation, o.headerMemory = resp.Header, c.responses.reservation, c.responses.headerMemory
	switch {
	case resp.StatusCode == http.StatusOK:
		o.reason = control.OK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(headerUnprocessed) == "1":
		o.reason = control.Overloaded
	default:
		o.reason = control.Errored
	}
	o, complete := u.readResponseBody(c, a, o, resp)
	return o, complete && !resp.Close && c.reader.Buffered() == 0
}
