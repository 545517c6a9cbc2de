package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bodyIdleTimeout    = 2500 * time.Millisecond // silence of a client within a body
	bodyTimeout        = 10 * time.Second        // of a body, and the time that its length takes at minBytesPerSecond
	minBytesPerSecond  = 16 << 10                // of a message as a whole
	clientWriteTimeout = 4 * time.Second         // for which a client may read nothing of its answer
	discardTimeout     = 10 * time.Second        // for which the rest of a rejected body is read and dropped
	discardIdleTimeout = time.Second             // silence of a client within that rest
)

var (
	errMessageTooLong     = errors.New("a message of more than 32 MB")
	errClientDisconnected = errors.New("the client has left")
	errBodyUnreadable     = errors.New("the client's body has ended early")
	errBodyStopped        = errors.New("the body is wanted no more")
	pastDeadline          = time.Unix(1, 0)
)

// clientBody reads a client's body, with bounds on its length, on silence and on its whole time.
type clientBody struct {
	src        io.Reader
	controller *http.ResponseController
	onComplete func()      // called when the body has been read to its end
	consumed   atomic.Bool // a part was read that is not held

	mu        sync.Mutex
	stopped   bool
	readErr   error // why the body can't be read to its end
	complete  bool
	startedAt time.Time
	bytesRead int64
	failed    chan struct{} // closed when fault is set
}

func newClientBody(src io.Reader, controller *http.ResponseController) *clientBody {
	return &clientBody{src: src, controller: controller, onComplete: func() {}, failed: make(chan struct{})}
}

func (b *clientBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	switch {
	case b.complete:
		b.mu.Unlock()
		return 0, io.EOF
	case b.readErr != nil || b.stopped:
		b.mu.Unlock()
		return 0, errBodyUnreadable
	}
	now := time.Now()
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	// The second deadline ends a body of which a byte comes now and then.
	_ = b.controller.SetReadDeadline(earlier(now.Add(bodyIdleTimeout), b.startedAt.Add(messageTimeout(bodyTimeout, b.bytesRead))))
	b.mu.Unlock()

	n, err := b.src.Read(p)

	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesRead += int64(n)
	if b.bytesRead > maxMessageBytes && err == nil {
		err = errMessageTooLong
	}
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		_ = b.controller.SetReadDeadline(time.Time{})
		b.onComplete()
	case err != nil && b.stopped:
		err = errBodyStopped
	case err != nil:
		b.readErr = err
		close(b.failed)
	}
	return n, err
}

// maxDuration returns how long a message of so many bytes may take.
func messageTimeout(base time.Duration, bytes int64) time.Duration {
	return base + time.Duration(bytes)*time.Second/minBytesPerSecond
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stop ends reading, also a read that waits for the client.
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

// badRequest returns the answer to a client whose body could not be read.
func (b *clientBody) badRequest() *badRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case errors.Is(b.readErr, errMessageTooLong):
		return newBadRequest(http.StatusRequestEntityTooLarge, "%v", errMessageTooLong)
	case errors.Is(b.readErr, os.ErrDeadlineExceeded):
		return newBadRequest(http.StatusRequestTimeout, "the body came to a halt")
	}
	return newBadRequest(http.StatusBadRequest, "reading the body: %v", b.readErr)
}

// discard reads and drops what the client still sends. Closing a connection with unread data would be a reset, which
// can take the answer from a client that reads it after it has sent all.
func (b *clientBody) discard(r *http.Request) {
	b.mu.Lock()
	// A client that waits for 100 Continue has got the final answer instead.
	done := b.complete || b.readErr != nil || (b.bytesRead == 0 && r.Header.Get("Expect") != "")
	b.mu.Unlock()
	if done {
		return
	}
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	for deadline := time.Now().Add(discardTimeout); time.Now().Before(deadline); {
		_ = b.controller.SetReadDeadline(time.Now().Add(discardIdleTimeout))
		if _, err := b.src.Read(buffer[:]); err != nil {
			return
		}
	}
}

// readUpTo reads up to most bytes. whole reports whether the body has ended with them.
func (b *clientBody) readUpTo(maxBytes int) (buffered []byte, complete bool, err error) {
	buffered = make([]byte, 0, min(maxBytes, unbudgetedBytes))
	for len(buffered) < maxBytes {
		if len(buffered) == cap(buffered) {
			buffered = append(buffered, 0)[:len(buffered)]
		}
		n, err := b.Read(buffered[len(buffered):min(cap(buffered), maxBytes)])
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

// setSocketBuffers makes the kernel's buffers small, so that the progress of a slow peer is seen and long messages do not
// pile up in them.
func setSocketBuffers(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBufferBytes)
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
}

const socketBufferBytes = 64 << 10
