package faultlink

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is one end of a connection that crosses a path.
type Conn struct {
	net.Conn
	Path   *Path
	dialed bool    // this end dialed: what it writes goes up
	luck   float64 // by which a part of the connections is drawn
	done   chan struct{}
	once   sync.Once
	after  atomic.Bool // the latest write was made after the other end had closed its side
}

// WroteAfterEnd tells whether the other end had closed its side before the latest write was made: it can't
// have taken these bytes for what it still answers.
func (c *Conn) WroteAfterEnd() bool { return c.after.Load() }

// otherEnded tells whether the other end has closed its side and all that it sent has been read.
func (c *Conn) otherEnded() (ended bool) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil
	})
	return ended
}

func (p *Path) wrap(c net.Conn, dialed bool) *Conn {
	x := &Conn{Conn: c, Path: p, dialed: dialed, luck: rand.Float64(), done: make(chan struct{})}
	p.Opened.Add(1)
	p.mu.Lock()
	p.conns[x] = struct{}{}
	p.mu.Unlock()
	return x
}

// opens waits until bytes of one direction may go on; it gives false where the connection ends before.
func (c *Conn) opens(up bool) bool {
	return c.Path.until(c.done, func(m *moment) bool { return !m.stops(up, c.luck) })
}

// pass waits until a packet of one direction is through; it gives false where the connection
// ends before.
func (c *Conn) pass(up bool) bool {
	pause(c.Path.now.Load().takes(), c.done)
	return c.opens(up)
}

// trickle waits for the next piece of some bytes, and gives its size.
func (c *Conn) trickle(up bool, n int) int {
	rate := c.Path.now.Load().rate(up)
	if rate == 0 {
		return n
	}
	n = min(n, max(1, int(rate*trickleEach.Seconds())))
	pause(time.Duration(float64(n)/rate*float64(time.Second)), c.done)
	return n
}

// Read gives what has come through; also an end or a reset has to come through.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	var timeout net.Error
	if err != nil && errors.As(err, &timeout) && timeout.Timeout() {
		return n, err
	}
	for left := n; left > 0; {
		left -= c.trickle(!c.dialed, left)
	}
	if !c.pass(!c.dialed) {
		return 0, net.ErrClosed
	}
	c.count(!c.dialed, n)
	return n, err
}

func (c *Conn) Write(b []byte) (sent int, err error) {
	for {
		n := c.trickle(c.dialed, len(b))
		if !c.pass(c.dialed) {
			return sent, net.ErrClosed
		}
		c.after.Store(c.otherEnded())
		n, err = c.Conn.Write(b[:n])
		c.count(c.dialed, n)
		sent, b = sent+n, b[n:]
		if err != nil || len(b) == 0 {
			return sent, err
		}
	}
}

func (c *Conn) count(up bool, n int) {
	if up {
		c.Path.Up.Add(int64(n))
	} else {
		c.Path.Down.Add(int64(n))
	}
}

// Close ends this end.
func (c *Conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.Path.mu.Lock()
		delete(c.Path.conns, c)
		c.Path.mu.Unlock()
	})
	return c.Conn.Close()
}

// Abort ends this end with a reset.
func (c *Conn) Abort() {
	c.reset()
	_ = c.Close()
}

func (c *Conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Dial opens a connection across the path. Where nothing passes it does not come up until ctx ends.
func (p *Path) Dial(ctx context.Context, address string) (*Conn, error) {
	if !p.until(ctx.Done(), func(m *moment) bool { return !m.silent() }) {
		return nil, ctx.Err()
	}
	pause(2*p.now.Load().delay, ctx.Done())
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	x := p.wrap(c, true)
	if p.now.Load().resets(x.luck) {
		x.Abort()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return x, nil
}
