package node

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"time"

	"sloestile/control"
)

// responseBody is the body of one response while it is read. A short body with status 200 that arrives soon is buffered
// whole, in memory that is reserved as it comes. A longer or a slower one is streamed, and one for which there is no
// memory too, so no body waits for memory. Of other responses only the status matters.
type responseBody struct {
	conn      *serverConn
	attempt   *attempt
	outcome   outcome
	length    int64           // length in bytes; below 0 means unknown
	bytesRead int64           // number of bytes read
	stream    *responseStream // nil if the response is not streamed, or nobody reads it
}

// bufferSizes are the sizes to which the buffer of a body of unknown length grows.
var bufferSizes = []int{unbudgetedBytes, 16 << 10, maxBufferedBytes}

// readResponseBody reads the body of a response. complete reports whether it was read to its end.
func (u *upstream) readResponseBody(c *serverConn, a *attempt, o outcome, resp *http.Response) (result outcome, complete bool) {
	b := &responseBody{conn: c, attempt: a, outcome: o, length: resp.ContentLength}
	defer func() { c.responses.onBufferTimeout = nil }()
	b.chooseMode()
	buffer := u.budget.newStreamBuffer(b.length)
	defer buffer.free()
	body := io.Reader(resp.Body)
	if len(resp.TransferEncoding) > 0 {
		body = &chunkedBody{reader: c.reader}
	}
	for {
		n, err := body.Read(buffer.bytes)
		b.bytesRead += int64(n)
		if err == nil && b.bytesRead > maxMessageBytes {
			err = errMessageTooLong
		}
		if addErr := b.add(buffer.bytes[:n]); addErr != nil {
			return b.fail(control.NeverSent, addErr)
		}
		runtime.Gosched() // a server whose bytes never run out must not use a whole time slice, as in clientConn.receive
		if o.reason != control.OK && b.bytesRead > maxBufferedBytes {
			return b.outcome, false
		}
		if errors.Is(err, io.EOF) {
			b.endStream(nil)
			return b.outcome, true
		}
		if err != nil {
			b.endStream(err)
			return b.fail(control.ResetByPeer, err)
		}
	}
}

// chooseMode makes a response with status 200 stream: at once if it is long, else when responseBufferTimeout has
// passed. A short response to a late request is buffered until it is whole: it might not be by the end of the process, and can
// be answered as failed until it begins.
func (b *responseBody) chooseMode() {
	if b.outcome.reason != control.OK {
		return
	}
	if b.length > maxBufferedBytes {
		b.startStream()
		return
	}
	if b.attempt.isLate != nil && b.attempt.isLate() {
		return
	}
	b.conn.responses.onBufferTimeout = b.startStream
	b.conn.responses.bufferDeadline = time.Now().Add(b.bufferTime())
}

// bufferTime returns the time for which the response may be buffered. It ends before the attempt does, which would cut off
// what the server still gives: a response that has begun by then is streamed.
func (b *responseBody) bufferTime() time.Duration {
	if b.attempt.timeLeft == nil {
		return responseBufferTimeout
	}
	return min(responseBufferTimeout, b.attempt.timeLeft()-streamStartMargin)
}

// startStream starts to stream the response, beginning with the buffered bytes. They and their memory belong to the reader
// of the stream from then on.
func (b *responseBody) startStream() {
	b.conn.responses.onBufferTimeout = nil
	b.conn.responses.idleTimeout = streamIdleTimeout
	b.outcome.streamed = true
	b.stream = b.attempt.onStreamStart(b.outcome, b.length)
	if b.stream == nil {
		b.outcome.reservation.shrinkTo(0)
	}
	b.outcome.body, b.outcome.reservation = nil, nil
}

// add buffers or streams a part of the body. It returns an error if nobody reads the stream any more.
func (b *responseBody) add(part []byte) error {
	if b.outcome.reason != control.OK || (len(part) == 0 && !b.outcome.streamed) {
		return nil
	}
	if !b.outcome.streamed {
		if b.reserve(len(b.outcome.body) + len(part)) {
			b.outcome.body = append(b.outcome.body, part...)
			return nil
		}
		b.startStream()
	}
	if b.stream == nil {
		return errClientDisconnected
	}
	if len(part) == 0 {
		return nil
	}
	return b.stream.write(part)
}

// reserve makes room for n buffered bytes, and reports whether there is memory for as many.
func (b *responseBody) reserve(n int) bool {
	if n <= cap(b.outcome.body) {
		return true
	}
	for _, size := range bufferSizes {
		if b.length >= 0 {
			size = min(size, int(b.length))
		}
		if size < n {
			continue
		}
		if size > unbudgetedBytes && !b.outcome.reservation.growTo(b.outcome.headerMemory+int64(size)) {
			return false
		}
		b.outcome.body = append(make([]byte, 0, size), b.outcome.body...)
		return true
	}
	return false
}

// endStream ends a streamed response. A nil error means that it is complete.
func (b *responseBody) endStream(err error) {
	if b.stream != nil {
		b.stream.end(err)
	}
}

// fail releases the reservation and returns the outcome of a response that failed.
func (b *responseBody) fail(reason control.Outcome, err error) (outcome, bool) {
	b.outcome.reservation.shrinkTo(0)
	return outcome{reason: reason, err: err, streamed: b.outcome.streamed}, false
}
