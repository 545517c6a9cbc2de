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
	idleKeepaliveFraction = 2.0 / 3     // of the servers' keepalive that a connection may idle here
	maxIdlePerFleet       = 64          // connections of a whole group that idle to one app server
	minIdlePerNode        = 2           // and of one node of it, at least
	idleSweepInterval     = time.Second // how often idle connections are looked at
	connBufferBytes       = 4 << 10
	// Between two uses of a connection. A spoilt app server may answer a second time some milliseconds
	// later: by then that is there to be seen, and else it would be read as the answer to the next request.
	idleRestTime = 20 * time.Millisecond
)

// connCounts tells how connections to app servers begin and end, since the node started.
type connCounts struct {
	dialed, failed, reused atomic.Int64
	gone                   atomic.Int64 // idle, and closed or spoiled by the app server
	aged                   atomic.Int64 // idle for too long
	broken                 atomic.Int64 // not to be used again after an attempt
	resting                atomic.Int64 // times that all idle ones had been used just before
}

// report gives the counts and the number of idle connections as attributes of a log line.
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

// pool holds the idle connections to one app server at one address. Guards against those
// of an app server that has gone being used for one that is now at its address.
type pool struct {
	endpoint string
	idle     []*conn // the most recently used last; nil for good once the pool is retired
}

// conn is a connection to an app server.
type conn struct {
	countedConn
	raw        syscall.RawConn
	answers    answerReader
	r          *bufio.Reader
	w          *bufio.Writer
	since      time.Time // of the end of its last use
	restsUntil time.Time // until when it is not used; zero for one that never was
}

// pool makes a pool of connections to an address.
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

// get gives the most recently used idle connection that has rested and is still good, else a new one.
func (u *upstream) get(ctx context.Context, p *pool) (*conn, error) {
	for {
		c := u.pop(p)
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

// good tells whether an idle connection can be used, and counts why not.
func (u *upstream) usable(c *conn) bool {
	switch {
	case !c.quiet():
		u.count.gone.Add(1)
	case time.Since(c.since) >= u.maxIdle:
		u.count.aged.Add(1)
	default:
		return true
	}
	return false
}

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

// quiet tells whether an idle connection is open and has nothing to read. Guards
// against writing to one that the app server has closed, which would be a reset, and
// against taking what came behind the last answer for the next one.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

func (u *upstream) pop(p *pool) *conn {
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

func (u *upstream) put(p *pool, c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	// Guards against many nodes that together keep more connections than an app server holds.
	if _, ok := u.pools[p]; !ok || len(p.idle) >= u.maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// sweep closes idle connections that are old or that the app server has closed,
// until ctx ends.
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

// drop closes the idle connections of which is tells so.
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

// evict closes the connection that has been idle for the longest time, where there are more
// than some.
func (u *upstream) evict(keep int) bool {
	var oldest *conn
	n := 0
	u.closeIdleWhere(func(c *conn) bool {
		if n++; oldest == nil || c.since.Before(oldest.since) {
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
