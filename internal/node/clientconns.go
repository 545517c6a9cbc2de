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
	maxRequestHeaderBytes = 16 << 10                // of a request's head
	clientIdleTimeout     = 10 * time.Second        // between two requests of a connection
	requestHeaderTimeout  = 2600 * time.Millisecond // of a request's head
	clientCloseTimeout    = 250 * time.Millisecond  // for the client's close after this side's; less than drainWriteTime
	newConnEvictionAge    = 250 * time.Millisecond  // of a new connection where others need its place
)

// server returns the HTTP server for the clients. Each client must get an answer or a close soon after it has connected,
// so a head has to come whole in time, and a body has to make progress.
func (f *frontend) server() *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: maxRequestHeaderBytes, IdleTimeout: clientIdleTimeout, ConnState: f.connStateChanged,
		ReadHeaderTimeout: requestHeaderTimeout, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
}

// connStateChanged keeps track of the connections on which no request is open.
func (f *frontend) connStateChanged(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.idleSince, c)
	delete(f.newSince, c)
	switch s {
	case http.StateIdle:
		f.idleSince[c] = time.Now()
		c.nextRequest()
	case http.StateNew:
		f.newSince[c] = time.Now()
		f.accepted.Add(1)
		f.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.openConns.Add(-1)
	}
}

// closeIdle closes the connections on which no request is open, also new ones that have sent nothing for a while.
func (f *frontend) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conns := range []map[*clientConn]time.Time{f.idleSince, f.newSince} {
		for c, since := range conns {
			if time.Since(since) >= idlePollInterval && c.closeIfIdle(false) {
				delete(conns, c)
			}
		}
	}
}

// evict closes a connection that has sent nothing for too long, else the one that has been idle for the longest time.
func (f *frontend) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range oldestFirst(f.newSince) {
		if time.Since(f.newSince[c]) >= newConnEvictionAge && f.evictConn(f.newSince, c, true) {
			return true
		}
	}
	for _, c := range oldestFirst(f.idleSince) {
		if f.evictConn(f.idleSince, c, false) {
			return true
		}
	}
	return false
}

// evictConn closes a connection and frees its place at once. part allows it where a part of a head has come.
func (f *frontend) evictConn(conns map[*clientConn]time.Time, c *clientConn, allowPartialHeader bool) bool {
	if !c.closeIfIdle(allowPartialHeader) {
		return false
	}
	delete(conns, c)
	_ = c.countedConn.Close()
	f.evicted.Add(1)
	return true
}

// byAge returns the connections, the oldest first.
func oldestFirst(conns map[*clientConn]time.Time) []*clientConn {
	return slices.SortedFunc(maps.Keys(conns), func(a, b *clientConn) int { return conns[a].Compare(conns[b]) })
}

var errTooMuchPipelined = errors.New("too much behind a request that has no answer yet")

// clientConn is a client's connection that records the raw head of the request it carries: net/http drops a
// Content-Length next to a Transfer-Encoding and does not tell that it was there.
type clientConn struct {
	countedConn
	mu               sync.Mutex
	rawHeader        []byte
	headerComplete   bool // the head has ended, or is too long to be recorded
	hasReadDeadline  bool
	pipelined        []byte // bytes that came after the open request
	rawConn          syscall.RawConn
	responseStarted  bool      // of the answer to the present request
	requestStarted   bool      // net/http has bytes of a request without an answer
	closedForWriting bool      // nothing more is written, and net/http gets nothing more
	discardDeadline  time.Time // until then what still comes is dropped
	discardedBytes   int       // bytes
}

func newClientConn(c *net.TCPConn, s *sockets) (*clientConn, error) {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{countedConn: countedConn{Conn: c, sockets: s}, rawConn: rawConn}, nil
}

// Read returns what the client sends. While a request is open, net/http notices a hang-up by the read of one byte without
// a deadline, and notices none once it has that byte. So such a read keeps what comes after the request for later, and
// ends with the connection, or when net/http ends it by a deadline.
func (c *clientConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(p) == 1 && !c.hasReadDeadline {
		c.mu.Unlock()
		return 0, c.watchForDisconnect(p)
	}
	if len(c.pipelined) > 0 && !c.closedForWriting {
		defer c.mu.Unlock()
		n := copy(p, c.pipelined)
		c.pipelined = c.pipelined[n:]
		if len(c.pipelined) == 0 {
			c.pipelined = nil
		}
		c.recordRequestBytes(p[:n])
		return n, nil
	}
	c.mu.Unlock()
	return c.receive(p, c.recordRequestBytes)
}

// receive reads what has come and passes it to got with the lock held. So bytes are either passed on, or dropped after the
// connection was closed for writing, never both.
func (c *clientConn) receive(p []byte, record func([]byte)) (n int, err error) {
	for {
		discard := false
		waitErr := c.rawConn.Read(func(fd uintptr) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			for retry := true; retry; retry = err == syscall.EINTR {
				n, err = syscall.Read(int(fd), p)
			}
			switch {
			case err == syscall.EAGAIN:
				return false
			case err == nil && n > 0 && c.closedForWriting:
				c.discardedBytes += n
				discard = c.discardedBytes <= maxRequestHeaderBytes+maxBufferedBytes
			case err == nil && n > 0:
				record(p[:n])
				return true
			}
			return true
		})
		switch {
		case waitErr != nil:
			if op := (*net.OpError)(nil); errors.As(waitErr, &op) {
				op.Op = "read" // by which net/http knows it
			}
			return 0, waitErr
		case err != nil:
			return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
		case discard:
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
	c.responseStarted = true
	c.mu.Unlock()
	return c.countedConn.Write(p)
}

// watchForHangup reads and keeps what comes until the client has left, or has sent more than maxHeadBytes. A next request
// that is longer may come between the answer's last byte and the end of this read by net/http: its rest is left unread.
func (c *clientConn) watchForDisconnect(p []byte) error {
	for {
		size, responding := 0, false
		if _, err := c.receive(p, func(b []byte) {
			c.pipelined = append(c.pipelined, b...)
			size, responding = len(c.pipelined), c.responseStarted
		}); err != nil {
			return err
		}
		switch {
		case size > maxRequestHeaderBytes && responding:
			return c.rawConn.Read(func(uintptr) bool { return false })
		case size > maxRequestHeaderBytes:
			return errTooMuchPipelined
		}
		if len(p) == 1 {
			p = make([]byte, unbudgetedBytes)
		}
	}
}

// SetReadDeadline records whether there is a deadline. A connection that is closed for writing keeps its own.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.discardDeadline.IsZero() {
		return nil
	}
	c.hasReadDeadline = !t.IsZero()
	return c.countedConn.SetReadDeadline(t)
}

// closeIfIdle closes a connection for writing unless a request has begun to come; with part, a part of a head does not
// count. What comes later is dropped without net/http, and the connection is closed when the client closes it, or soon. So
// the client knows that its request was not received, and there is no close with unread bytes, which would be a reset and
// could take back an answer.
func (c *clientConn) closeIfIdle(allowPartialHeader bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedForWriting || (c.requestStarted && (c.headerComplete || !allowPartialHeader)) || len(c.pipelined) > 0 || c.hasUnreadBytes() {
		return false
	}
	_ = c.closeWrite()
	c.startDiscarding()
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
func (c *clientConn) startDiscarding() {
	if c.discardDeadline.IsZero() {
		c.discardDeadline = time.Now().Add(clientCloseTimeout)
		_ = c.countedConn.SetReadDeadline(c.discardDeadline)
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
	c.startDiscarding()
	c.mu.Unlock()
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	_, _ = c.receive(buffer[:], func([]byte) {})
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
	unread := false
	_ = c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// requestBytes records bytes that net/http gets. The lock is held.
func (c *clientConn) recordRequestBytes(b []byte) {
	c.requestStarted = true
	c.recordHeader(b)
}

// recordHead records what of the head is in b.
func (c *clientConn) recordHeader(b []byte) {
	if c.headerComplete || len(b) == 0 {
		return
	}
	from := max(len(c.rawHeader)-3, 0)
	c.rawHeader = append(c.rawHeader, b...)
	if i := bytes.Index(c.rawHeader[from:], []byte("\n\r\n")); i >= 0 {
		c.rawHeader, c.headerComplete = c.rawHeader[:from+i+3], true
	} else if i := bytes.Index(c.rawHeader[from:], []byte("\n\n")); i >= 0 {
		c.rawHeader, c.headerComplete = c.rawHeader[:from+i+2], true
	}
	c.headerComplete = c.headerComplete || len(c.rawHeader) > maxRequestHeaderBytes
}

// nextRequest forgets the head of a request that has been answered.
func (c *clientConn) nextRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rawHeader, c.headerComplete, c.requestStarted, c.responseStarted = c.rawHeader[:0], false, false, false
	if cap(c.rawHeader) > unbudgetedBytes {
		c.rawHeader = nil
	}
}

// hasContentLength reports whether the head of a chunked request names a Content-Length too, or is not known: it may have
// come together with the request before it, as no proper client sends it.
func (c *clientConn) mayHaveContentLength(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	requestLine, fields, ok := bytes.Cut(c.rawHeader, []byte("\n"))
	if !ok || !bytes.HasPrefix(requestLine, []byte(r.Method+" "+r.RequestURI+" ")) {
		return true
	}
	for line := range bytes.Lines(fields) {
		if name, _, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return true
		}
	}
	return false
}
