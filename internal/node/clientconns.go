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
	maxHeadBytes         = 16 << 10
	clientIdleTimeout    = 10 * time.Second
	headTimeout          = 2600 * time.Millisecond // of a request's head
	closeTimeoutOfClient = 250 * time.Millisecond  // for which a connection that is let go waits for the client's close; less than drainWrite
	maxSilence           = 250 * time.Millisecond  // of a new connection where others want its place
)

// server is the HTTP server of the clients. An answer or a close is owed to each soon after it
// has connected, so a head has to come whole in time; a body has to move.
func (f *front) server() *http.Server {
	return &http.Server{Handler: f, MaxHeaderBytes: maxHeadBytes, IdleTimeout: clientIdleTimeout, ConnState: f.connStateChanged,
		ReadHeaderTimeout: headTimeout, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
}

// state keeps track of the client connections on which no request is open.
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
		c.next()
	case http.StateNew:
		f.fresh[c] = time.Now()
		f.accepted.Add(1)
		f.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.conns.Add(-1)
	}
}

// closeIdle ends the client connections on which nothing is open, also new ones that have said
// nothing for a while.
func (f *front) closeIdle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conns := range []map[*clientConn]time.Time{f.idle, f.fresh} {
		for c, since := range conns {
			if time.Since(since) >= idlePollInterval && c.end(false) {
				delete(conns, c)
			}
		}
	}
}

// evict closes a client connection that has said nothing for too long, else the one that
// has been idle for the longest time.
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

// drop ends a connection and gives its place back at once.
func (f *front) evictConn(of map[*clientConn]time.Time, c *clientConn, part bool) bool {
	if !c.end(part) {
		return false
	}
	delete(of, c)
	_ = c.countedConn.Close()
	f.evicted.Add(1)
	return true
}

// byAge gives connections, the longest known first.
func byAge(conns map[*clientConn]time.Time) []*clientConn {
	return slices.SortedFunc(maps.Keys(conns), func(a, b *clientConn) int { return conns[a].Compare(conns[b]) })
}

var errTooMuchPipelined = errors.New("too much behind a request that has no answer yet")

// clientConn is a client's connection that remembers the raw head of the request it carries.
// net/http drops a Content-Length next to a Transfer-Encoding, and forgets that it was there.
type clientConn struct {
	countedConn
	mu        sync.Mutex
	head      []byte
	full      bool   // the head has ended, or is too long to be remembered
	limited   bool   // reads have a deadline
	ahead     []byte // what came behind the request that is held
	raw       syscall.RawConn
	answering bool      // to the present request
	begun     bool      // net/http has bytes of a request that is not answered
	shut      bool      // nothing more is sent, and net/http is given nothing more
	until     time.Time // for which what still comes is dropped, once shut
	dropped   int       // bytes
}

func newClientConn(c *net.TCPConn, s *sockets) (*clientConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{countedConn: countedConn{Conn: c, sockets: s}, raw: raw}, nil
}

// Read gives net/http what the client sends. While a request is held, net/http notices a hang-up
// by the read of one byte, with no deadline, and looks no further once it has that byte. So such a
// read keeps for later what comes behind the request, and ends with the connection or when
// net/http ends it by a deadline.
func (c *clientConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(p) == 1 && !c.limited {
		c.mu.Unlock()
		return 0, c.watch(p)
	}
	if len(c.ahead) > 0 && !c.shut {
		defer c.mu.Unlock()
		n := copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.hand(p[:n])
		return n, nil
	}
	c.mu.Unlock()
	return c.receive(p, c.hand)
}

// receive reads what has come and gives it to got with the lock held, so that bytes have either
// been taken, or are dropped after the sending has ended: never taken and dropped.
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
			case err == nil && n > 0 && c.shut:
				c.dropped += n
				shut = c.dropped <= maxHeadBytes+maxHeldBytes
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
		case n == 0 || c.over():
			return 0, io.EOF
		}
		return n, nil
	}
}

// Write notes that an answer has begun: from now on the client may send its next request.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answering = true
	c.mu.Unlock()
	return c.countedConn.Write(p)
}

// watch reads ahead until the client has left, or sends more than is kept. Guards against a next
// request, longer than that, which comes between the answer's last byte and net/http's end of the
// watch: it is left unread.
func (c *clientConn) watch(p []byte) error {
	for {
		kept, answering := 0, false
		if _, err := c.receive(p, func(b []byte) {
			c.ahead = append(c.ahead, b...)
			kept, answering = len(c.ahead), c.answering
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

// SetReadDeadline notes whether there is one. A connection that is shut keeps its own.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.until.IsZero() {
		return nil
	}
	c.limited = !t.IsZero()
	return c.countedConn.SetReadDeadline(t)
}

// end ends the sending on a connection unless a request has begun to come; a part of its head is
// none where part is set. What comes later is dropped unread by net/http, and the connection
// closed by the client's end or soon. So the client knows that its request was not taken, and the
// close comes over no unread byte, by which it would be a reset and take back an answer.
func (c *clientConn) end(part bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut || c.begun && (c.full || !part) || len(c.ahead) > 0 || c.waiting() {
		return false
	}
	_ = c.closeWrite()
	c.expire()
	return true
}

// closeWrite ends the sending. The lock is held.
func (c *clientConn) closeWrite() error {
	if c.shut {
		return nil
	}
	c.shut = true
	return c.countedConn.Conn.(*net.TCPConn).CloseWrite()
}

// expire sets the end of what is still read. The lock is held.
func (c *clientConn) expire() {
	if c.until.IsZero() {
		c.until = time.Now().Add(closeTimeoutOfClient)
		_ = c.countedConn.SetReadDeadline(c.until)
	}
}

// CloseWrite ends the sending, as net/http does behind an error to a peer that may still send.
func (c *clientConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeWrite()
}

// Close ends the sending, drops what the client still sends until it closes, for a while, and
// then closes.
func (c *clientConn) Close() error {
	c.mu.Lock()
	_ = c.closeWrite()
	c.expire()
	c.mu.Unlock()
	piece := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(piece)
	_, _ = c.receive(piece[:], func([]byte) {})
	return c.countedConn.Close()
}

// over tells whether the connection is given up.
func (c *clientConn) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut
}

// waiting tells whether bytes have come that are not read. The lock is held.
func (c *clientConn) waiting() bool {
	some := false
	_ = c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = err == nil && n > 0
	})
	return some
}

// hand notes bytes that net/http is given. The lock is held.
func (c *clientConn) hand(b []byte) {
	c.begun = true
	c.note(b)
}

// note remembers what of the head is in b.
func (c *clientConn) note(b []byte) {
	if c.full || len(b) == 0 {
		return
	}
	from := max(len(c.head)-3, 0)
	c.head = append(c.head, b...)
	if i := bytes.Index(c.head[from:], []byte("\n\r\n")); i >= 0 {
		c.head, c.full = c.head[:from+i+3], true
	} else if i := bytes.Index(c.head[from:], []byte("\n\n")); i >= 0 {
		c.head, c.full = c.head[:from+i+2], true
	}
	c.full = c.full || len(c.head) > maxHeadBytes
}

// next forgets the head, for the next request: this one is answered.
func (c *clientConn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.full, c.begun, c.answering = c.head[:0], false, false, false
	if cap(c.head) > uncountedBytes {
		c.head = nil
	}
}

// lengthAsWell tells whether the head of a request that is sent in chunks names a length too, or
// is not known: it may have come with the request before it, as no proper client sends it.
func (c *clientConn) lengthAsWell(r *http.Request) bool {
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
