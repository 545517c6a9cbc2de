package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bodyIdleTimeout    = 2500 * time.Millisecond // time without a byte of a request body
	bodyTimeout        = 10 * time.Second        // base of messageTimeout for a request body
	minBytesPerSecond  = 16 << 10                // average rate of a message, for messageTimeout
	clientWriteTimeout = 4 * time.Second         // time for which a client may read nothing of its response
	discardTimeout     = 10 * time.Second        // time for which the rest of a rejected body is read and discarded
	discardIdleTimeout = time.Second             // time without a byte while the rest of a body is discarded
)

var (
	errMessageTooLong     = errors.New("a message of more than 32 MB")
	errClientDisconnected = errors.New("client connection: client disconnected")
	errBodyUnreadable     = errors.New("reading the request body: already failed or stopped")
	errBodyStopped        = errors.New("reading the request body: stopped as it is no longer needed")
	pastDeadline          = time.Unix(1, 0) // deadline that makes blocked reads and writes fail at once
)

// clientBody reads a request body with limits on its length, on the time without progress and on its total time.
type clientBody struct {
	src        io.Reader
	conn       *clientConn   // connection of the client; nil if it is not known
	streamed   atomic.Bool   // the body is read while it is sent to a server
	length     int64         // length of the body in bytes; negative if unknown
	clock      *requestClock // clock of the request; it is paused while the client can't have written its last byte
	controller *http.ResponseController
	onComplete func()      // called with mu held when the end of the body is read
	consumed   atomic.Bool // the buffered start is dropped, as an attempt reads on, so the body can't be sent again

	holdsMemory atomic.Bool // memory is reserved for the buffered part

	mu                sync.Mutex
	prefix            []byte       // buffered start of a streamed body, until the body is consumed
	prefixReservation *reservation // memory reserved for prefix

	stopped   bool
	evicted   bool  // given up for other requests
	readErr   error // error that ended reading before the end of the body; nil if none
	complete  bool
	startedAt time.Time
	readingAt time.Time     // start of the read that waits for the client; zero if none does
	waited    time.Duration // time for which earlier reads waited for the client
	bytesRead int64
	failed    chan struct{} // closed when readErr is set
}

func newClientBody(src io.Reader, length int64, clock *requestClock, controller *http.ResponseController) *clientBody {
	b := &clientBody{src: src, length: length, clock: clock, controller: controller, onComplete: func() {}, failed: make(chan struct{})}
	if b.isSurelyIncomplete() {
		clock.pause()
	}
	return b
}

// isSurelyIncomplete reports whether the client can't have written its last byte yet, as more of the body is missing than
// socket buffers hold.
func (b *clientBody) isSurelyIncomplete() bool { return b.length-b.bytesRead > maxUnreadBytes }

// Read reads from the body within the limits. Once reading has failed or was stopped, it returns errBodyUnreadable.
func (b *clientBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	switch {
	case b.complete:
		b.mu.Unlock()
		return 0, io.EOF
	case b.readErr != nil || b.stopped:
		b.mu.Unlock()
		return 0, errBodyUnreadable
	case b.evicted:
		b.fail(errBodyEvicted)
		b.mu.Unlock()
		return 0, errBodyEvicted
	}
	now := time.Now()
	b.readingAt = now
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	// The second deadline ends a body that arrives byte by byte.
	_ = b.controller.SetReadDeadline(earlier(now.Add(bodyIdleTimeout), b.startedAt.Add(messageTimeout(bodyTimeout, b.bytesRead))))
	b.mu.Unlock()

	b.clock.pause()
	n, err := b.src.Read(p)

	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesRead += int64(n)
	b.waited += time.Since(b.readingAt)
	b.readingAt = time.Time{}
	if err != nil || !b.isSurelyIncomplete() {
		b.clock.resume()
	}
	if b.bytesRead > maxMessageBytes && err == nil {
		err = errMessageTooLong
	}
	if errors.Is(err, io.EOF) && b.streamed.Load() && b.conn != nil && b.conn.hasDisconnected() {
		n, err = 0, errClientDisconnected // without its last byte the request does not run
	}
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		_ = b.controller.SetReadDeadline(time.Time{})
		b.onComplete()
	case err != nil && b.stopped:
		err = errBodyStopped
	case err != nil:
		b.fail(err)
	}
	return n, err
}

// unconsumedPrefix returns the buffered start of a streamed body. ok is false if the body is consumed.
func (b *clientBody) unconsumedPrefix() (prefix []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.prefix, !b.consumed.Load()
}

// consume drops the buffered start of a streamed body. It returns true at most once, to the attempt that may read on.
func (b *clientBody) consume() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropPrefix()
}

// giveBack makes a part that an attempt has read, and sent to no server, the start of the body for the next attempt.
func (b *clientBody) giveBack(part []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefix = slices.Clone(part)
	b.consumed.Store(false)
}

// dropPrefix is consume for callers that hold b.mu.
func (b *clientBody) dropPrefix() bool {
	if b.consumed.Swap(true) {
		return false
	}
	b.prefix = nil
	b.prefixReservation.shrinkTo(0)
	b.holdsMemory.Store(false)
	return true
}

// fail records the error that ended reading. The caller must hold b.mu.
func (b *clientBody) fail(err error) {
	b.readErr = err
	close(b.failed)
}

// delay returns how long the client is behind: the time since its last byte, or the time for which the node has waited for
// it beyond what its bytes take at minBytesPerSecond, if that is longer. It is 0 while the node does not wait for the client.
func (b *clientBody) delay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readingAt.IsZero() {
		return 0
	}
	reading := time.Since(b.readingAt)
	return max(reading, b.waited+reading-messageTimeout(0, b.bytesRead))
}

// evict makes the read that waits for the client fail, and reports whether there was one.
func (b *clientBody) evict() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readingAt.IsZero() || b.complete || b.stopped || b.readErr != nil {
		return false
	}
	b.evicted = true
	_ = b.controller.SetReadDeadline(pastDeadline)
	return true
}

// endIfDisconnected makes reading fail if the client has closed its connection, and reports whether it has.
func (b *clientBody) endIfDisconnected() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete || b.stopped || b.readErr != nil || b.conn == nil || !b.conn.hasDisconnected() {
		return false
	}
	b.dropPrefix() // no further attempt can have the body
	b.fail(errClientDisconnected)
	return true
}

// clientLeft reports whether reading ended because the client had closed its connection behind the whole body.
func (b *clientBody) clientLeft() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.readErr, errClientDisconnected)
}

// messageTimeout returns the time that a message of the given size may take: base, plus its time at minBytesPerSecond.
func messageTimeout(base time.Duration, bytes int64) time.Duration {
	return base + time.Duration(bytes)*time.Second/minBytesPerSecond
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stop makes reading fail, including a read that is blocked.
func (b *clientBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	if !b.complete {
		_ = b.controller.SetReadDeadline(pastDeadline)
	}
}

// isStopped reports whether stop was called.
func (b *clientBody) isStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// badRequest returns the error response to a client whose body could not be read.
func (b *clientBody) badRequest() *badRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.evicted:
		return newBadRequest(http.StatusServiceUnavailable, "the body came to a halt while others needed its room")
	case errors.Is(b.readErr, errMessageTooLong):
		return newBadRequest(http.StatusRequestEntityTooLarge, "%v", errMessageTooLong)
	case errors.Is(b.readErr, os.ErrDeadlineExceeded):
		return newBadRequest(http.StatusRequestTimeout, "the body came to a halt")
	}
	return newBadRequest(http.StatusBadRequest, "reading the body: %v", b.readErr)
}

// discard reads and discards what the client still sends, unless the body has ended.
func (b *clientBody) discard(r *http.Request) {
	b.mu.Lock()
	// A client that waits for 100 Continue gets the final response instead and sends no body.
	done := b.complete || b.readErr != nil || (b.bytesRead == 0 && r.Header.Get("Expect") != "")
	b.mu.Unlock()
	if !done {
		discardBody(r, b.controller)
	}
}

// discardBody reads and discards what the client still sends of a body, while it makes progress. Closing a connection with
// unread data resets it, which can destroy the response if the client sends its whole body before it reads.
func discardBody(r *http.Request, controller *http.ResponseController) {
	buffer := shortBuffers.Get().(*[unbudgetedBytes]byte)
	defer shortBuffers.Put(buffer)
	for deadline := time.Now().Add(discardTimeout); time.Now().Before(deadline); {
		_ = controller.SetReadDeadline(time.Now().Add(discardIdleTimeout))
		if _, err := r.Body.Read(buffer[:]); err != nil {
			return
		}
	}
}

// readUpTo appends bytes of the body to buffered up to a total of maxBytes. complete reports whether the end of the body was
// read.
func (b *clientBody) readUpTo(buffered []byte, maxBytes int) (all []byte, complete bool, err error) {
	buffered = append(make([]byte, 0, maxBytes), buffered...)
	for len(buffered) < maxBytes {
		n, err := b.Read(buffered[len(buffered):maxBytes])
		buffered = buffered[:len(buffered)+n]
		if errors.Is(err, io.EOF) {
			return buffered, true, nil
		} else if err != nil {
			return nil, false, err
		}
	}
	return buffered, false, nil
}

// connKey is the key of a request's *clientConn in its context.
type connKey struct{}

// setSocketBuffers limits the kernel's buffers, so that a slow peer blocks writes early and long messages do not
// accumulate in the kernel.
func setSocketBuffers(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBufferBytes)
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
}

// socketBufferBytes is the size of the kernel's read buffer and of its write buffer of a connection.
const socketBufferBytes = 64 << 10
