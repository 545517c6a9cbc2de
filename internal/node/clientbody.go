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
	errMessageTooLong = errors.New("a message of more than 32 MB")
	errClientLeft     = errors.New("the client has left")
	errBodyEndedEarly = errors.New("the client's body has ended early")
	errBodyNotWanted  = errors.New("the body is wanted no more")
	deadlinePassed    = time.Unix(1, 0)
)

// clientBody reads a client's body, with bounds on its length, on silence and on its whole time.
type clientBody struct {
	src       io.Reader
	deadlines *http.ResponseController
	onEnd     func()      // called when the body has been read to its end
	spent     atomic.Bool // a part was read that is not held

	mu      sync.Mutex
	stopped bool
	fault   error // why the body can't be read to its end
	ended   bool
	begun   time.Time
	total   int64
	broken  chan struct{} // closed when fault is set
}

func newClientBody(src io.Reader, limit *http.ResponseController) *clientBody {
	return &clientBody{src: src, deadlines: limit, onEnd: func() {}, broken: make(chan struct{})}
}

func (b *clientBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	switch {
	case b.ended:
		b.mu.Unlock()
		return 0, io.EOF
	case b.fault != nil || b.stopped:
		b.mu.Unlock()
		return 0, errBodyEndedEarly
	}
	now := time.Now()
	if b.begun.IsZero() {
		b.begun = now
	}
	// The second deadline ends a body of which a byte comes now and then.
	_ = b.deadlines.SetReadDeadline(earlier(now.Add(bodyIdleTimeout), b.begun.Add(maxDuration(bodyTimeout, b.total))))
	b.mu.Unlock()

	n, err := b.src.Read(p)

	b.mu.Lock()
	defer b.mu.Unlock()
	b.total += int64(n)
	if b.total > maxMessageBytes && err == nil {
		err = errMessageTooLong
	}
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
		_ = b.deadlines.SetReadDeadline(time.Time{})
		b.onEnd()
	case err != nil && b.stopped:
		err = errBodyNotWanted
	case err != nil:
		b.fault = err
		close(b.broken)
	}
	return n, err
}

// maxDuration returns how long a message of so many bytes may take.
func maxDuration(least time.Duration, bytes int64) time.Duration {
	return least + time.Duration(bytes)*time.Second/minBytesPerSecond
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
	if !b.ended {
		_ = b.deadlines.SetReadDeadline(deadlinePassed)
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
	case errors.Is(b.fault, errMessageTooLong):
		return newBadRequest(http.StatusRequestEntityTooLarge, "%v", errMessageTooLong)
	case errors.Is(b.fault, os.ErrDeadlineExceeded):
		return newBadRequest(http.StatusRequestTimeout, "the body came to a halt")
	}
	return newBadRequest(http.StatusBadRequest, "reading the body: %v", b.fault)
}

// discard reads and drops what the client still sends. Closing a connection with unread data would be a reset, which
// can take the answer from a client that reads it after it has sent all.
func (b *clientBody) discard(r *http.Request) {
	b.mu.Lock()
	// A client that waits for 100 Continue has got the final answer instead.
	over := b.ended || b.fault != nil || (b.total == 0 && r.Header.Get("Expect") != "")
	b.mu.Unlock()
	if over {
		return
	}
	piece := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(piece)
	for end := time.Now().Add(discardTimeout); time.Now().Before(end); {
		_ = b.deadlines.SetReadDeadline(time.Now().Add(discardIdleTimeout))
		if _, err := b.src.Read(piece[:]); err != nil {
			return
		}
	}
}

// readUpTo reads up to most bytes. whole reports whether the body has ended with them.
func (b *clientBody) readUpTo(most int) (held []byte, whole bool, err error) {
	held = make([]byte, 0, min(most, uncountedBytes))
	for len(held) < most {
		if len(held) == cap(held) {
			held = append(held, 0)[:len(held)]
		}
		n, err := b.Read(held[len(held):min(cap(held), most)])
		held = held[:len(held)+n]
		if errors.Is(err, io.EOF) {
			return held, true, nil
		} else if err != nil {
			return nil, false, err
		}
	}
	return held, false, nil
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
