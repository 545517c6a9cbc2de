package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	maxRequestHeaderBytes = 16 << 10                // size of a request header
	clientIdleTimeout     = 10 * time.Second        // time between two requests of a connection
	requestHeaderTimeout  = 2600 * time.Millisecond // time until a request header is complete
	clientCloseTimeout    = 250 * time.Millisecond  // time for the client to close too; less than drainWriteTimeout
	newConnEvictionAge    = 250 * time.Millisecond  // minimum age for evicting a connection without a complete header
	progressWriteBytes    = 2 << 10                 // size of a write for which progress is looked at; any socket takes a shorter one at once
	pipelinedReadBytes    = 512                     // size of the buffer with which bytes behind an open request are read
)

// server returns the HTTP server for the clients. Each client must get a response or a close soon after it has
// connected, so a header must be complete in time, and a body must make progress. net/http must not answer OPTIONS * by
// itself: a response with status 200 is a server's.
func (f *frontend) server() *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: maxRequestHeaderBytes, IdleTimeout: clientIdleTimeout, ConnState: f.connStateChanged,
		DisableGeneralOptionsHandler: true, ReadHeaderTimeout: requestHeaderTimeout, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
}

// connStateChanged tracks the connections on which no request is open.
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
		f.conns[c] = struct{}{}
		f.accepted.Add(1)
		f.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		delete(f.conns, c)
		f.openConns.Add(-1)
	}
}

// closeIdle closes the connections on which no request has been open for idlePollInterval, including new ones that have
// sent nothing.
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

// closeAll closes all connections but those of open streams, and returns how many it closed.
func (f *frontend) closeAll() (closed int) {
	streaming := f.openStreams.conns()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if _, ok := streaming[c]; !ok {
			_ = c.countedConn.Close()
			closed++
		}
	}
	return closed
}

// evict closes the oldest connection that has sent no complete header within newConnEvictionAge, else the one that has
// been idle for the longest time, else the one whose client is furthest behind in sending a body. It reports whether it
// closed one.
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
	slow := f.openBodies.evict(func(b *clientBody) bool { return b.conn != nil })
	if slow == nil {
		return false
	}
	_ = slow.conn.countedConn.Close()
	f.evicted.Add(1)
	return true
}

// evictConn closes a connection and frees its descriptor at once. With allowPartialHeader it also closes a connection
// that has sent a part of a header.
func (f *frontend) evictConn(conns map[*clientConn]time.Time, c *clientConn, allowPartialHeader bool) bool {
	if !c.closeIfIdle(allowPartialHeader) {
		return false
	}
	delete(conns, c)
	_ = c.countedConn.Close()
	f.evicted.Add(1)
	return true
}

// oldestFirst returns the connections sorted by their times.
func oldestFirst(conns map[*clientConn]time.Time) []*clientConn {
	return slices.SortedFunc(maps.Keys(conns), func(a, b *clientConn) int { return conns[a].Compare(conns[b]) })
}

var errTooMuchPipelined = errors.New("watching for a disconnect: too much pipelined data before the response")

// clientConn is a client's connection that records the raw header of the request it carries: net/http drops a
// Content-Length next to a Transfer-Encoding and does not report that it was there.
type clientConn struct {
	countedConn
	mu               sync.Mutex
	header           requestHeader
	hasReadDeadline  bool
	pipelined        []byte // bytes received behind the open request
	rawConn          syscall.RawConn
	pendingSince     time.Time // time from which the connection may have been pending; zero after its first request
	responseStarted  bool      // a byte of the response to the current request was written
	requestStarted   bool      // net/http has bytes of a request that is not finished
	closedForWriting bool      // the node has half-closed the connection; net/http gets no more bytes
	discardDeadline  time.Time // time until which received bytes are discarded; zero before the close
	discardedBytes   int       // number of bytes received after the half-close
}

func newClientConn(c *net.TCPConn, s *sockets, headerMemory *semaphore.Weighted) (*clientConn, error) {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{countedConn: countedConn{Conn: c, sockets: s}, rawConn: rawConn, header: requestHeader{memory: headerMemory}}, nil
}

// Read returns what the client sends. While a request is open, net/http detects a disconnect by reading one byte
// without a deadline, and detects none once it has that byte. So such a read buffers what comes behind the request for
// later, and returns when the connection ends, or when net/http stops it by a deadline.
func (c *clientConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(p) == 1 && !c.hasReadDeadline {
		c.mu.Unlock()
		return 0, c.watchForDisconnect(p)
	}
	if len(c.pipelined) > 0 && !c.closedForWriting {
		n := copy(p, c.pipelined)
		c.pipelined = c.pipelined[n:]
		if len(c.pipelined) == 0 {
			c.pipelined = nil
		}
		c.recordRequestBytes(p[:n])
		c.mu.Unlock()
		runtime.Gosched() // as in receive
		return c.checkHeader(n, nil)
	}
	c.mu.Unlock()
	return c.checkHeader(c.receive(p, c.recordRequestBytes))
}

// receive reads available bytes and passes them to record with the lock held. So bytes are either recorded and
// returned, or discarded after the connection was closed for writing, never both. A client whose bytes never run out lets
// other goroutines run after each read: Go would let it, and the goroutines that it wakes, use a whole time slice of 10 ms.
func (c *clientConn) receive(p []byte, record func([]byte)) (n int, err error) {
	for {
		discard, waited := false, false
		waitErr := c.rawConn.Read(func(fd uintptr) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			n, err = ignoringEINTR(func() (int, error) { return syscall.Read(int(fd), p) })
			switch {
			case errors.Is(err, syscall.EAGAIN):
				waited = true
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
				op.Op = "read" // net/http checks for this value
			}
			return 0, waitErr
		case err != nil:
			return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
		case discard:
			continue
		case n == 0 || c.isClosing():
			return 0, io.EOF
		}
		if !waited {
			runtime.Gosched()
		}
		return n, nil
	}
}

// Write records that the response has started: from now on the client may send its next request. The write deadline limits
// the time without progress: a client that reads on, however slowly, is not cut off.
func (c *clientConn) Write(p []byte) (written int, err error) {
	c.mu.Lock()
	c.responseStarted = true
	c.mu.Unlock()
	if len(p) < progressWriteBytes {
		return c.countedConn.Write(p)
	}
	for unread := c.unreadByClient(); ; {
		n, err := c.countedConn.Write(p[written:])
		written += n
		if written == len(p) || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		before := unread + n
		if unread = c.unreadByClient(); unread >= before {
			return written, err
		}
		_ = c.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	}
}

// watchForDisconnect reads and buffers what comes until the client disconnects, or has sent more than
// maxRequestHeaderBytes. Without memory for more it leaves the rest unread too. The next request may be longer and arrive between the last byte of the response and the moment
// when net/http stops this read: the rest of it is left unread.
func (c *clientConn) watchForDisconnect(p []byte) error {
	for {
		size, responding, hasMemory := 0, false, true
		if _, err := c.receive(p, func(b []byte) {
			c.pipelined = append(c.pipelined, b...)
			size, responding = len(c.pipelined), c.responseStarted
			hasMemory = c.header.reservePipelined(size)
		}); err != nil {
			return err
		}
		switch {
		case !hasMemory, size > maxRequestHeaderBytes && responding:
			return c.awaitClose()
		case size > maxRequestHeaderBytes:
			return errTooMuchPipelined
		}
		if len(p) == 1 {
			p = make([]byte, pipelinedReadBytes)
		}
	}
}

// SetReadDeadline sets the deadline and records whether there is one. It has no effect once the connection discards
// what it receives.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.discardDeadline.IsZero() {
		return nil
	}
	c.hasReadDeadline = !t.IsZero()
	return c.countedConn.SetReadDeadline(t)
}

// closeIfIdle closes a connection for writing unless a part of a request was received; with allowPartialHeader, a part
// of a header does not count. It reports whether it did. What comes later is discarded and not passed to net/http, and
// the connection is closed when the client closes it, or after clientCloseTimeout. So the client knows that its request
// was not accepted, and there is no close with unread bytes, which would be a reset and could destroy a response that
// the client has not read yet.
func (c *clientConn) closeIfIdle(allowPartialHeader bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedForWriting || (c.requestStarted && (c.header.complete || !allowPartialHeader)) || len(c.pipelined) > 0 || c.hasUnreadBytes() {
		return false
	}
	_ = c.closeWrite()
	c.startDiscarding()
	return true
}

// closeWrite closes the connection for writing. The caller must hold c.mu.
func (c *clientConn) closeWrite() error {
	if c.closedForWriting {
		return nil
	}
	c.closedForWriting = true
	return c.countedConn.Conn.(*net.TCPConn).CloseWrite()
}

// startDiscarding sets the time until which bytes are read and discarded. The caller must hold c.mu.
func (c *clientConn) startDiscarding() {
	if c.discardDeadline.IsZero() {
		c.discardDeadline = time.Now().Add(clientCloseTimeout)
		_ = c.countedConn.SetReadDeadline(c.discardDeadline)
	}
}

// CloseWrite closes the connection for writing. net/http calls it after an error response to a peer that may still
// send.
func (c *clientConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeWrite()
}

// Close closes the connection for writing, discards what the client still sends for up to clientCloseTimeout, and
// closes.
func (c *clientConn) Close() error {
	c.mu.Lock()
	_ = c.closeWrite()
	c.startDiscarding()
	c.mu.Unlock()
	buffer := shortBuffers.Get().(*[unbudgetedBytes]byte)
	_, _ = c.receive(buffer[:], func([]byte) {})
	shortBuffers.Put(buffer)
	c.logDiscarded()
	c.mu.Lock()
	c.header.reset()
	c.mu.Unlock()
	return c.countedConn.Close()
}

// abort resets the connection.
func (c *clientConn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.countedConn.Close()
}

// logDiscarded counts, and now and then logs, that bytes were discarded because they came when the connection was closed for
// writing already, such as a request that crossed the end of an idle connection.
func (c *clientConn) logDiscarded() {
	c.mu.Lock()
	n, requestStarted := c.discardedBytes, c.requestStarted
	c.mu.Unlock()
	if n == 0 {
		return
	}
	total := c.sockets.discarded.Add(1)
	if c.sockets.discardedLog.allow() {
		slog.Info("closed a connection over bytes that came after its end", "client", c.RemoteAddr(), "bytes", n,
			"in_request", requestStarted, "total", total)
	}
}

// isClosing reports whether the connection is closed for writing.
func (c *clientConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedForWriting
}

// hasUnreadBytes reports whether the kernel holds received bytes that are not read yet. The caller must hold c.mu.
func (c *clientConn) hasUnreadBytes() bool {
	n, err := c.peek()
	return err == nil && n > 0
}
