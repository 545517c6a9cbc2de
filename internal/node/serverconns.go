package node

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	idleKeepaliveFraction = 2.0 / 3     // of the servers' keepalive for which a connection is kept idle here
	maxFleetIdleConns     = 64          // idle connections of the whole fleet to one server
	minNodeIdleConns      = 2           // of them that a node may keep at least
	idleSweepInterval     = time.Second // between two looks at idle connections
	connBufferBytes       = 4 << 10
	// idleRestTime is the least time between two uses of a connection. A faulty server may answer a second time some
	// milliseconds later: by then that is seen, else it would be read as the answer to the next request.
	connReuseDelay = 20 * time.Millisecond
)

// connCounts counts how connections to servers begin and end, since the node started.
type connCounts struct {
	dialed, failed, reused atomic.Int64
	closedByServer         atomic.Int64 // idle, and closed or written to by the server
	expired                atomic.Int64 // idle for too long
	broken                 atomic.Int64 // not usable again after an attempt
	notYetReusable         atomic.Int64 // how often all idle connections had been used just before
}

// report returns the counts and the number of idle connections as attributes of a log line.
func (u *upstream) logAttributes() []any {
	n := 0
	u.mu.Lock()
	for p := range u.pools {
		n += len(p.idle)
	}
	u.mu.Unlock()
	c := &u.counts
	return []any{"dialed", c.dialed.Load(), "failed", c.failed.Load(), "reused", c.reused.Load(),
		"gone", c.closedByServer.Load(), "aged", c.expired.Load(), "broken", c.broken.Load(), "resting", c.notYetReusable.Load(), "idle", n}
}

// pool holds the idle connections to one server at one address. A server that is replaced by another one at its address
// has a pool of its own, so that its connections are not used for that one.
type pool struct {
	endpoint string
	idle     []*serverConn // the most recently used last; nil once the pool is retired
}

// serverConn is a connection to a server.
type serverConn struct {
	countedConn
	rawConn    syscall.RawConn
	responses  responseReader
	reader     *bufio.Reader
	writer     *bufio.Writer
	lastUsedAt time.Time // end of its last use
	reusableAt time.Time // not used again before; zero for a new one
}

// pool returns a new pool of connections to an address.
func (u *upstream) newPool(endpoint string) *pool {
	p := &pool{endpoint: endpoint}
	u.mu.Lock()
	u.pools[p] = struct{}{}
	u.mu.Unlock()
	return p
}

// retire closes a pool's idle connections; those in use are closed when they come back.
func (u *upstream) retire(p *pool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.pools, p)
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// get returns the most recently used idle connection that has rested and is usable, else a new one.
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

// usable reports whether an idle connection can be used, and counts why not.
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

// open opens a connection.
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
	c.reader, c.writer = bufio.NewReaderSize(&c.responses, connBufferBytes), bufio.NewWriterSize(tcp, connBufferBytes)
	return c, nil
}

// isQuiet reports whether an idle connection is open and has nothing to read. Writing to one that the server has closed
// would be a reset, and what came after the last answer could be taken for the next one.
func (c *serverConn) isQuiet() bool {
	quiet := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

// popRested removes and returns the most recently used idle connection that has rested, or nil.
func (u *upstream) popReusable(p *pool) *serverConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for i, c := range slices.Backward(p.idle) {
		if !now.Before(c.reusableAt) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	if len(p.idle) > 0 {
		u.counts.notYetReusable.Add(1)
	}
	return nil
}

// put returns a connection to its pool.
func (u *upstream) put(p *pool, c *serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	// The bound keeps many nodes together within the connections that a server holds.
	if _, ok := u.pools[p]; !ok || len(p.idle) >= u.maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// sweep closes idle connections that are old or that the server has closed, until ctx ends.
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

// closeIdleWhere closes the idle connections for which a predicate holds.
func (u *upstream) closeIdleWhere(matches func(*serverConn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range u.pools {
		remaining := p.idle[:0]
		for _, c := range p.idle {
			if matches(c) {
				_ = c.Close()
			} else {
				remaining = append(remaining, c)
			}
		}
		clear(p.idle[len(remaining):])
		p.idle = remaining
	}
}

// evict closes the connection that has been idle for the longest time, where there are more than keep. It reports whether
// it closed one.
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
