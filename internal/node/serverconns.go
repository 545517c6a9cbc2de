package node

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	idleKeepaliveFraction = 2.0 / 3     // fraction of the servers' keep-alive time for which a connection may be idle
	maxFleetIdleConns     = 64          // idle connections of the whole fleet to one server
	minNodeIdleConns      = 2           // idle connections to one server that each node may keep in any case
	idleSweepInterval     = time.Second // time between two checks of idle connections
	connBufferBytes       = 4 << 10     // size of the read and the write buffer of a connection
	// connReuseDelay is the minimum time between two uses of a connection. A faulty server may send a second response
	// some milliseconds after the first: after the delay it is detected; before, it would be read as the response to
	// the next request.
	connReuseDelay = 20 * time.Millisecond
)

// connCounts counts how connections to servers were opened, used and closed since the node started.
type connCounts struct {
	dialed, failed, reused atomic.Int64
	closedByServer         atomic.Int64 // idle connections that the server closed or sent data on
	expired                atomic.Int64 // connections that were idle for maxIdleAge
	broken                 atomic.Int64 // connections that could not be reused after an attempt
	notYetReusable         atomic.Int64 // times that all idle connections were within reuseDelay
}

// logAttributes returns the counts and the number of idle connections as attributes of a log line.
func (u *upstream) logAttributes() []any {
	n := 0
	u.mu.Lock()
	for p := range u.idlePools {
		n += len(p.idle)
	}
	u.mu.Unlock()
	c := &u.counts
	return []any{"dialed", c.dialed.Load(), "failed", c.failed.Load(), "reused", c.reused.Load(),
		"gone", c.closedByServer.Load(), "aged", c.expired.Load(), "broken", c.broken.Load(), "resting", c.notYetReusable.Load(), "idle", n}
}

// pool holds the idle connections to one server. A server that replaces another one at the same address gets a new
// pool, so that connections to the old one are not used for it.
type pool struct {
	endpoint string
	idle     []*serverConn // ordered by last use, the most recent last; nil once the pool is retired
	retired  bool          // connections are closed when they are returned
}

// serverConn is a connection to a server.
type serverConn struct {
	countedConn
	rawConn    syscall.RawConn
	responses  responseReader
	reader     *bufio.Reader
	writer     *bufio.Writer // buffer of the request that is sent; nil if none is
	lastUsedAt time.Time     // end of the last use; for a new connection, the time when it opened
	reusableAt time.Time     // earliest time of the next use; zero for a new connection
}

// newPool returns a new pool of connections to an address.
func (u *upstream) newPool(endpoint string) *pool { return &pool{endpoint: endpoint} }

// retire closes a pool's idle connections; those in use are closed when they are returned.
func (u *upstream) retire(p *pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p.retired = true
	delete(u.idlePools, p)
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// isRetired reports whether a pool is retired: its server drains, is removed or has another address now.
func (u *upstream) isRetired(p *pool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return p.retired
}

// get returns the most recently used idle connection that is past its reuse delay and usable, else a new one.
func (u *upstream) get(ctx context.Context, p *pool) (*serverConn, error) {
	for {
		c := u.popReusable(p)
		if c == nil {
			return u.open(ctx, p.endpoint)
		}
		if u.isUsable(c) {
			u.counts.reused.Add(1)
			return c, nil
		}
		_ = c.Close()
	}
}

// isUsable reports whether an idle connection can be used, and counts the reason if it can't.
func (u *upstream) isUsable(c *serverConn) bool {
	switch {
	case !c.isQuiet():
		u.counts.closedByServer.Add(1)
	case time.Since(c.lastUsedAt) >= u.maxIdleAge:
		u.counts.expired.Add(1)
	default:
		return true
	}
	return false
}

// open opens a connection. It returns errNoDescriptor at the descriptor limit.
func (u *upstream) open(ctx context.Context, endpoint string) (*serverConn, error) {
	if !u.sockets.acquire(0) {
		return nil, errNoDescriptor
	}
	tcp, err := u.dial(ctx, "tcp", endpoint)
	if err != nil {
		u.counts.failed.Add(1)
		u.sockets.openConns.Add(-1)
		return nil, err
	}
	u.counts.dialed.Add(1)
	setSocketBuffers(tcp)
	c := &serverConn{countedConn: countedConn{Conn: tcp, sockets: u.sockets}, responses: responseReader{Conn: tcp}, lastUsedAt: time.Now()}
	if c.rawConn, err = tcp.(*net.TCPConn).SyscallConn(); err != nil {
		_ = c.Close()
		return nil, err
	}
	c.reader = bufio.NewReaderSize(&c.responses, connBufferBytes)
	return c, nil
}

// writeBuffers holds the write buffers of connections to servers, which have one only while they send a request.
var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, connBufferBytes) }}

// takeWriter gives the connection a write buffer until the returned function is called.
func (c *serverConn) takeWriter() (release func()) {
	writer := writeBuffers.Get().(*bufio.Writer)
	writer.Reset(c.Conn)
	c.writer = writer
	return func() {
		c.writer = nil
		writer.Reset(nil)
		writeBuffers.Put(writer)
	}
}

// isQuiet reports whether an idle connection is open and has nothing to read. A request on one that the server has
// closed would end in a reset, and bytes received after the last response could be taken for the next one.
func (c *serverConn) isQuiet() bool {
	quiet := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, err := ignoringEINTR(func() (int, error) { return syscall.Read(int(fd), b[:]) })
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// popReusable removes and returns the most recently used idle connection that is past its reuse delay, or nil.
func (u *upstream) popReusable(p *pool) *serverConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for i, c := range slices.Backward(p.idle) {
		if !now.Before(c.reusableAt) {
			u.setIdle(p, slices.Delete(p.idle, i, i+1))
			return c
		}
	}
	if len(p.idle) > 0 {
		u.counts.notYetReusable.Add(1)
	}
	return nil
}

// put returns a connection to its pool, or closes it if the pool is retired or full.
func (u *upstream) put(p *pool, c *serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	// The bound keeps the sum over all nodes within the connections that a server accepts.
	if p.retired || len(p.idle) >= u.maxIdlePerServer {
		_ = c.Close()
		return
	}
	u.setIdle(p, append(p.idle, c))
}

// setIdle sets the idle connections of a pool. Only pools with idle connections are walked, however many servers are
// listed. The caller must hold u.mu.
func (u *upstream) setIdle(p *pool, idle []*serverConn) {
	p.idle = idle
	if len(idle) > 0 {
		u.idlePools[p] = struct{}{}
	} else {
		delete(u.idlePools, p)
	}
}

// sweep closes idle connections that are too old or that the server has closed, until ctx ends.
func (u *upstream) sweep(ctx context.Context) {
	t := time.NewTicker(idleSweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			u.closeIdleWhere(func(c *serverConn) bool { return !u.isUsable(c) })
		}
	}
}

// closeIdleWhere closes the idle connections for which matches returns true.
func (u *upstream) closeIdleWhere(matches func(*serverConn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range u.idlePools {
		remaining := p.idle[:0]
		for _, c := range p.idle {
			if matches(c) {
				_ = c.Close()
			} else {
				remaining = append(remaining, c)
			}
		}
		clear(p.idle[len(remaining):])
		u.setIdle(p, remaining)
	}
}

// evict closes the connection that has been idle for the longest time if there are more than keep idle connections. It
// reports whether it closed one.
func (u *upstream) evict(keep int) bool {
	var oldest *serverConn
	n := 0
	u.closeIdleWhere(func(c *serverConn) bool {
		n++
		if oldest == nil || c.lastUsedAt.Before(oldest.lastUsedAt) {
			oldest = c
		}
		return false
	})
	if oldest == nil || n <= keep {
		return false
	}
	u.closeIdleWhere(func(c *serverConn) bool { return c == oldest })
	return true
}
