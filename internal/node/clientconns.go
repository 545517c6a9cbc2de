package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	maxHeadBytes       = 16 << 10                // of a request's head
	clientIdleTimeout  = 10 * time.Second        // between two requests of a connection
	headTimeout        = 2600 * time.Millisecond // of a request's head
	clientCloseTimeout = 250 * time.Millisecond  // for the client's close after this side's; less than drainWriteTime
	maxSilence         = 250 * time.Millisecond  // of a new connection where others need its place
)

// server returns the HTTP server for the clients. Each client must get an answer or a close soon after it has connected,
// so a head has to come whole in time, and a body has to make progress.
func (f *front) server() *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: maxHeadBytes, IdleTimeout: clientIdleTimeout, ConnState: f.connStateChanged,
		ReadHeaderTimeout: headTimeout, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
}

// connStateChanged keeps track of the connections on which no request is open.
func (f *front) connStateChanged(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.idle, c)
	delete(f.fresh, c)
	switch s {
	case http.StateIdle:
		f.idle[c] = time.Now()
		c.nextRequest()
	case http.StateNew:
		f.fresh[c] = time.Now()
		f.accepted.Add(1)
		f.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.conns.Add(-1)
	}
}

// closeIdle closes the connections on which no request is open, also new ones that have sent nothing for a while.
func (f *front) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conns := range []map[*clientConn]time.Time{f.idle, f.fresh} {
		for c, since := range conns {
			if time.Since(since) >= idlePollInterval && c.closeIfIdle(false) {
				delete(conns, c)
			}
		}
	}
}

// evict closes a connection that has sent nothing for too long, else the one that has been idle for the longest time.
func (f *front) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range byAge(f.fresh) {
		if time.Since(f.fresh[c]) >= maxSilence && f.evictConn(f.fresh, c, true) {
			return true
		}
	}
	for _, c := range byAge(f.idle) {
		if f.evictConn(f.idle, c, false) {
			return true
		}
	}
	return false
}

// evictConn closes a connection and frees its place at once. part allows it where a part of a head has come.
func (f *front) evictConn(of map[*clientConn]time.Time, c *clientConn, part bool) bool {
	if !c.closeIfIdle(part) {
		return false
	}
	delete(of, c)
	_ = c.countedConn.Close()
	f.evicted.Add(1)
	return true
}

// byAge returns the connections, the oldest first.
func byAge(conns map[*clientConn]time.Time) []*clientConn {
	return slices.SortedFunc(maps.Keys(conns), func(a, b *clientConn) int { return conns[a].Compare(conns[b]) })
}

var errTooMuchPipelined = errors.New("too much behind a request that has no answer yet")

// clientConn is a client's connection that records the raw head of the request it carries: net/http drops a
// Content-Length next to a Transfer-Encoding and does not tell that it was there.
type clientConn struct {
	countedConn
	mu               sync.Mutex
	head             []byte
	headComplete     bool // the head has ended, or is too long to be recorded
	hasReadDeadline  bool
	pipelined        []byte // bytes that came after the open request
	raw              syscall.RawConn
	answerBegun      bool      // of the answer to the present request
	requestBegun     bool      // net/http has bytes of a request without an answer
	closedForWriting bool      // nothing more is written, and net/http gets nothing more
	dropUntil        time.Time // until then what still comes is dropped
	droppedBytes     int       // bytes
}

func newClientConn(c *net.TCPConn, s *sockets) (*clientConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{countedConn: countedConn{Conn: c, sockets: s}, raw: raw}, nil
}

// Read returns what the client sends. While a request is open, net/http notices a hang-up by the read of one byte without
// a deadline, and notices none once it has that byte. So such a read keeps what comes after the request for later, and
// ends with the connection, or when net/http ends it by a deadline.
func (c *clientConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(p) == 1 && !c.hasReadDeadline {
		c.mu.Unlock()
		return 0, c.watchForHangup(p)
	}
	if len(c.pipelined) > 0 && !c.closedForWriting {
		defer c.mu.Unlock()
		n := copy(p, c.pipelined)
		c.pipelined = c.pipelined[n:]
		if len(c.pipelined) == 0 {
			c.pipelined = nil
		}
		c.requestBytes(p[:n])
		return n, nil
	}
	c.mu.Unlock()
	return c.receive(p, c.requestBytes)
}

// receive reads what has come and passes it to got with the lock held. So bytes are either passed on, or dropped after the
// connection was closed for writing, never both.
func (c *clientConn) receive(p []byte, got func([]byte)) (n int, err error) {
	for {
		shut := false
		wait := c.raw.Read(func(fd uintptr) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			for again := true; again; again = err == syscall.EINTR {
				n, err = syscall.Read(int(fd), p)
			}
			switch {
			case err == syscall.EAGAIN:
				return false
			case err == nil && n > 0 && c.closedForWriting:
				c.droppedBytes += n
				shut = c.droppedBytes <= maxHeadBytes+maxHeldBytes
			case err == nil && n > 0:
				got(p[:n])
				return true
			}
			return true
		})
		switch {
		case wait != nil:
			if op := (*net.OpError)(nil); errors.As(wait, &op) {
				op.Op = "read" // by which net/http knows it
			}
			return 0, wait
		case err != nil:
			return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
		case shut:
			continue
		case n == 0 || c.isClosing():
			return 0, io.EOF
		}
		return n, nil
	}
}

// Write records that the answer has begun: from now on the client may send its next request.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answerBegun = true
	c.mu.Unlock()
	return c.countedConn.Write(p)
}

// watchForHangup reads and keeps what comes until the client has left, or has sent more than maxHeadBytes. A next request
// that is longer may come between the answer's last byte and the end of this read by net/http: its rest is left unread.
func (c *clientConn) watchForHangup(p []byte) error {
	for {
		kept, answering := 0, false
		if _, err := c.receive(p, func(b []byte) {
			c.pipelined = append(c.pipelined, b...)
			kept, answering = len(c.pipelined), c.answerBegun
		}); err != nil {
			return err
		}
		switch {
		case kept > maxHeadBytes && answering:
			return c.raw.Read(func(uintptr) bool { return false })
		case kept > maxHeadBytes:
			return errTooMuchPipelined
		}
		if len(p) == 1 {
			p = make([]byte, uncountedBytes)
		}
	}
}

// SetReadDeadline records whether there is a deadline. A connection that is closed for writing keeps its own.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.dropUntil.IsZero() {
		return nil
	}
	c.hasReadDeadline = !t.IsZero()
	return c.countedConn.SetReadDeadline(t)
}

// closeIfIdle closes a connection for writing unless a request has begun to come; with part, a part of a head does not
// count. What comes later is dropped without net/http, and the connection is closed when the client closes it, or soon. So
// the client knows that its request was not received, and there is no close with unread bytes, which would be a reset and
// could take back an answer.
func (c *clientConn) closeIfIdle(part bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedForWriting || (c.requestBegun && (c.headComplete || !part)) || len(c.pipelined) > 0 || c.hasUnreadBytes() {
		return false
	}
	_ = c.closeWrite()
	c.limitDropping()
	return true
}

// closeWrite closes the connection for writing. The lock is held.
func (c *clientConn) closeWrite() error {
	if c.closedForWriting {
		return nil
	}
	c.closedForWriting = true
	return c.countedConn.Conn.(*net.TCPConn).CloseWrite()
}

// limitDropping sets the time until which bytes are still read and dropped. The lock is held.
func (c *clientConn) limitDropping() {
	if c.dropUntil.IsZero() {
		c.dropUntil = time.Now().Add(clientCloseTimeout)
		_ = c.countedConn.SetReadDeadline(c.dropUntil)
	}
}

// CloseWrite closes the connection for writing. net/http calls it after an error to a peer that may still send.
func (c *clientConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeWrite()
}

// Close closes the connection for writing, drops what the client still sends for a while, and closes.
func (c *clientConn) Close() error {
	c.mu.Lock()
	_ = c.closeWrite()
	c.limitDropping()
	c.mu.Unlock()
	piece := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(piece)
	_, _ = c.receive(piece[:], func([]byte) {})
	return c.countedConn.Close()
}

// isClosing reports whether the connection is closed for writing.
func (c *clientConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedForWriting
}

// hasUnreadBytes reports whether bytes have come that are not read. The lock is held.
func (c *clientConn) hasUnreadBytes() bool {
	some := false
	_ = c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = err == nil && n > 0
	})
	return some
}

// requestBytes records bytes that net/http gets. The lock is held.
func (c *clientConn) requestBytes(b []byte) {
	c.requestBegun = true
	c.recordHead(b)
}

// recordHead records what of the head is in b.
func (c *clientConn) recordHead(b []byte) {
	if c.headComplete || len(b) == 0 {
		return
	}
	from := max(len(c.head)-3, 0)
	c.head = append(c.head, b...)
	if i := bytes.Index(c.head[from:], []byte("\n\r\n")); i >= 0 {
		c.head, c.headComplete = c.head[:from+i+3], true
	} else if i := bytes.Index(c.head[from:], []byte("\n\n")); i >= 0 {
		c.head, c.headComplete = c.head[:from+i+2], true
	}
	c.headComplete = c.headComplete || len(c.head) > maxHeadBytes
}

// nextRequest forgets the head of a request that has been answered.
func (c *clientConn) nextRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.headComplete, c.requestBegun, c.answerBegun = c.head[:0], false, false, false
	if cap(c.head) > uncountedBytes {
		c.head = nil
	}
}

// hasContentLength reports whether the head of a chunked request names a Content-Length too, or is not known: it may have
// come together with the request before it, as no proper client sends it.
func (c *clientConn) hasContentLength(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, rest, ok := bytes.Cut(c.head, []byte("\n"))
	if !ok || !bytes.HasPrefix(first, []byte(r.Method+" "+r.RequestURI+" ")) {
		return true
	}
	for line := range bytes.Lines(rest) {
		if name, _, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return true
		}
	}
	return false
}
