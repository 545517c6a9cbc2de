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
	bodyStall    = 2500 * time.Millisecond // silence of a client within a body
	bodyMostTime = 10 * time.Second        // of a body, and as much more as it needs at slowest
	slowest      = 16 << 10                // bytes a second that a message comes with on the whole
	clientStall  = 4 * time.Second         // for which a client may take nothing of its answer
	discardMost  = 10 * time.Second        // for which the rest of a refused body is taken and dropped
	discardStall = time.Second
)

var (
	errLong    = errors.New("a message of more than 32 MB")
	errLeft    = errors.New("the client has left")
	errNoBody  = errors.New("the client's body has ended early")
	errStopped = errors.New("the body is wanted no more")
	past       = time.Unix(1, 0)
)

// clientBody reads a client's body, for as long as it moves.
type clientBody struct {
	src   io.Reader
	limit *http.ResponseController
	whole func()      // called at its end
	spent atomic.Bool // something was read that is not held

	mu      sync.Mutex
	stopped bool
	fault   error // why it can't be read to its end
	ended   bool
	begun   time.Time
	total   int64
	broken  chan struct{} // closed with a fault
}

func newClientBody(src io.Reader, limit *http.ResponseController) *clientBody {
	return &clientBody{src: src, limit: limit, whole: func() {}, broken: make(chan struct{})}
}

func (b *clientBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	switch {
	case b.ended:
		b.mu.Unlock()
		return 0, io.EOF
	case b.fault != nil || b.stopped:
		b.mu.Unlock()
		return 0, errNoBody
	}
	now := time.Now()
	if b.begun.IsZero() {
		b.begun = now
	}
	// Guards, by the second, against a client that sends a byte now and then without end.
	_ = b.limit.SetReadDeadline(earlier(now.Add(bodyStall), b.begun.Add(mostTime(bodyMostTime, b.total))))
	b.mu.Unlock()

	n, err := b.src.Read(p)

	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total += int64(n); b.total > longMost && err == nil {
		err = errLong
	}
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
		_ = b.limit.SetReadDeadline(time.Time{})
		b.whole()
	case err != nil && b.stopped:
		err = errStopped
	case err != nil:
		b.fault = err
		close(b.broken)
	}
	return n, err
}

// mostTime is what a message of so many bytes may take in all.
func mostTime(least time.Duration, bytes int64) time.Duration {
	return least + time.Duration(bytes)*time.Second/slowest
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stop ends a read that waits for the client.
func (b *clientBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped = true; !b.ended {
		_ = b.limit.SetReadDeadline(past)
	}
}

// halted tells whether the body was stopped.
func (b *clientBody) halted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// mistake is what a client is told of a body that could not be read.
func (b *clientBody) mistake() *badRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case errors.Is(b.fault, errLong):
		return bad(http.StatusRequestEntityTooLarge, "%v", errLong)
	case errors.Is(b.fault, os.ErrDeadlineExceeded):
		return bad(http.StatusRequestTimeout, "the body came to a halt")
	}
	return bad(http.StatusBadRequest, "reading the body: %v", b.fault)
}

// discard takes what the client still sends. Guards against a reset, by closing on data unread,
// that takes the answer from a client which reads it after it has sent all.
func (b *clientBody) discard(r *http.Request) {
	b.mu.Lock()
	// A client that awaits a word before it sends its body has had another one.
	over := b.ended || b.fault != nil || b.total == 0 && r.Header.Get("Expect") != ""
	b.mu.Unlock()
	if over {
		return
	}
	piece := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(piece)
	for end := time.Now().Add(discardMost); time.Now().Before(end); {
		_ = b.limit.SetReadDeadline(time.Now().Add(discardStall))
		if _, err := b.src.Read(piece[:]); err != nil {
			return
		}
	}
}

// take reads up to most bytes and tells whether the body has ended with them.
func (b *clientBody) take(most int) (held []byte, whole bool, err error) {
	held = make([]byte, 0, min(most, freeSize))
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

type connKey struct{}

// tune keeps the kernel's buffers small, so that the progress of a slow peer is seen and long
// messages are not piled up there.
func tune(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBuffer)
		_ = tcp.SetWriteBuffer(socketBuffer)
	}
}

const socketBuffer = 64 << 10
