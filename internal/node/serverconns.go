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
	maxIdlePerFleet       = 64          // idle connections of the whole fleet to one server
	minIdlePerNode        = 2           // of them that a node may keep at least
	idleSweepInterval     = time.Second // between two looks at idle connections
	connBufferBytes       = 4 << 10
	// idleRestTime is the least time between two uses of a connection. A faulty server may answer a second time some
	// milliseconds later: by then that is seen, else it would be read as the answer to the next request.
	idleRestTime = 20 * time.Millisecond
)

// connCounts counts how connections to servers begin and end, since the node started.
type connCounts struct {
	dialed, failed, reused atomic.Int64
	gone                   atomic.Int64 // idle, and closed or written to by the server
	aged                   atomic.Int64 // idle for too long
	broken                 atomic.Int64 // not usable again after an attempt
	resting                atomic.Int64 // how often all idle connections had been used just before
}

// report returns the counts and the number of idle connections as attributes of a log line.
func (u *upstream) report() []any {
	n := 0
	u.mu.Lock()
	for p := range u.pools {
		n += len(p.idle)
	}
	u.mu.Unlock()
	c := &u.count
	return []any{"dialed", c.dialed.Load(), "failed", c.failed.Load(), "reused", c.reused.Load(),
		"gone", c.gone.Load(), "aged", c.aged.Load(), "broken", c.broken.Load(), "resting", c.resting.Load(), "idle", n}
}

// pool holds the idle connections to one server at one address. A server that is replaced by another one at its address
// has a pool of its own, so that its connections are not used for that one.
type pool struct {
	endpoint string
	idle     []*conn // the most recently used last; nil once the pool is retired
}

// conn is a connection to a server.
type conn struct {
	countedConn
	raw        syscall.RawConn
	answers    answerReader
	r          *bufio.Reader
	w          *bufio.Writer
	since      time.Time // end of its last use
	restsUntil time.Time // not used again before; zero for a new one
}

// pool returns a new pool of connections to an address.
func (u *upstream) pool(endpoint string) *pool {
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
func (u *upstream) get(ctx context.Context, p *pool) (*conn, error) {
	for {
		c := u.popRested(p)
		if c == nil {
			return u.open(ctx, p.endpoint)
		}
		if u.usable(c) {
			u.count.reused.Add(1)
			return c, nil
		}
		_ = c.Close()
	}
}

// usable reports whether an idle connection can be used, and counts why not.
func (u *upstream) usable(c *conn) bool {
	switch {
	case !c.isQuiet():
		u.count.gone.Add(1)
	case time.Since(c.since) >= u.maxIdle:
		u.count.aged.Add(1)
	default:
		return true
	}
	return false
}

// open opens a connection.
func (u *upstream) open(ctx context.Context, endpoint string) (*conn, error) {
	if !u.sockets.reservePlace(0) {
		return nil, errNoDescriptor
	}
	tcp, err := u.dial(ctx, "tcp", endpoint)
	if err != nil {
		u.count.failed.Add(1)
		u.sockets.open.Add(-1)
		return nil, err
	}
	u.count.dialed.Add(1)
	setSocketBuffers(tcp)
	c := &conn{countedConn: countedConn{Conn: tcp, sockets: u.sockets}, answers: answerReader{Conn: tcp}, since: time.Now()}
	if c.raw, err = tcp.(*net.TCPConn).SyscallConn(); err != nil {
		_ = c.Close()
		return nil, err
	}
	c.r, c.w = bufio.NewReaderSize(&c.answers, connBufferBytes), bufio.NewWriterSize(tcp, connBufferBytes)
	return c, nil
}

// isQuiet reports whether an idle connection is open and has nothing to read. Writing to one that the server has closed
// would be a reset, and what came after the last answer could be taken for the next one.
func (c *conn) isQuiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

// popRested removes and returns the most recently used idle connection that has rested, or nil.
func (u *upstream) popRested(p *pool) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	for i, c := range slices.Backward(p.idle) {
		if !now.Before(c.restsUntil) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	if len(p.idle) > 0 {
		u.count.resting.Add(1)
	}
	return nil
}

// put returns a connection to its pool.
func (u *upstream) put(p *pool, c *conn) {
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
			u.closeIdleWhere(func(c *conn) bool { return !u.usable(c) })
		}
	}
}

// closeIdleWhere closes the idle connections for which a predicate holds.
func (u *upstream) closeIdleWhere(is func(*conn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range u.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if is(c) {
				_ = c.Close()
			} else {
				kept = append(kept, c)
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
	}
}

// evict closes the connection that has been idle for the longest time, where there are more than keep. It reports whether
// it closed one.
func (u *upstream) evict(keep int) bool {
	var oldest *conn
	n := 0
	u.closeIdleWhere(func(c *conn) bool {
		n++
		if oldest == nil || c.since.Before(oldest.since) {
			oldest = c
		}
		return false
	})
	if oldest == nil || n <= keep {
		return false
	}
	u.closeIdleWhere(func(c *conn) bool { return c == oldest })
	return true
}
