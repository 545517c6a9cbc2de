// Package link is the network between the parties of a play. Whatever passes between two parties
// crosses a Path, whose conditions can be changed while connections are open: delay, loss, silence
// in one direction or both, resets, refusals. The kernel is left as it is.
package link

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	retransmit   = 200 * time.Millisecond // what a lost packet costs a stream, as Linux's least time-out
	delayLeast   = 300 * time.Microsecond // below it a sleep takes longer than the delay; sockets have that much
	backlog      = 1024
	dummyTimeout = 200 * time.Millisecond // a connection to one's own full queue
)

// State is the conditions of a path at one time. Up is the direction from the party that dials.
type State struct {
	Delay            time.Duration // one way
	Loss             float64       // part of the packets
	HoldUp, HoldDown bool          // nothing passes and nothing is said
}

type moment struct {
	State
	changed chan struct{} // closed when other conditions hold
}

// Path joins two parties. It is safe for concurrent use.
type Path struct {
	From, To     int // the parties, as the play numbers them
	now          atomic.Pointer[moment]
	Opened       atomic.Int64 // connections that came up
	Up, Down     atomic.Int64 // bytes
	mu           sync.Mutex
	conns        map[*Conn]struct{}
	wakeListener func()
}

// NewPath makes a path with a delay.
func NewPath(from, to int, delay time.Duration) *Path {
	p := &Path{From: from, To: to, conns: make(map[*Conn]struct{})}
	p.now.Store(&moment{State{Delay: delay}, make(chan struct{})})
	return p
}

// Change puts other conditions in force.
func (p *Path) Change(f func(*State)) {
	p.mu.Lock()
	old := p.now.Load()
	next := &moment{old.State, make(chan struct{})}
	f(&next.State)
	p.now.Store(next)
	close(old.changed)
	wake := p.wakeListener
	p.mu.Unlock()
	if wake != nil {
		wake()
	}
}

// Reset ends all open connections with a reset on both sides.
func (p *Path) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

// pass waits until a packet of one direction is through; it gives false where the connection
// ends before.
func (p *Path) pass(up bool, done <-chan struct{}) bool {
	m := p.now.Load()
	wait := m.Delay
	if m.Loss > 0 && rand.Float64() < m.Loss {
		wait += retransmit
	}
	if wait >= delayLeast {
		time.Sleep(wait)
	}
	for {
		m = p.now.Load()
		if !(up && m.HoldUp || !up && m.HoldDown) {
			return true
		}
		select {
		case <-m.changed:
		case <-done:
			return false
		}
	}
}

// Conn is one end of a connection that crosses a path.
type Conn struct {
	net.Conn
	Path   *Path
	dialed bool // this end dialed: what it writes goes up
	done   chan struct{}
	once   sync.Once
}

func (p *Path) wrap(c net.Conn, dialed bool) *Conn {
	x := &Conn{Conn: c, Path: p, dialed: dialed, done: make(chan struct{})}
	p.Opened.Add(1)
	p.mu.Lock()
	p.conns[x] = struct{}{}
	p.mu.Unlock()
	return x
}

// Read gives what has come through; also an end or a reset has to come through.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	var timeout net.Error
	if err != nil && errors.As(err, &timeout) && timeout.Timeout() {
		return n, err
	}
	if !c.Path.pass(!c.dialed, c.done) {
		return 0, net.ErrClosed
	}
	c.count(!c.dialed, n)
	return n, err
}

func (c *Conn) Write(b []byte) (int, error) {
	if !c.Path.pass(c.dialed, c.done) {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.count(c.dialed, n)
	return n, err
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
	c.Close()
}

func (c *Conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Conn.Close()
}

// Dial opens a connection across the path. Where nothing passes it does not come up until ctx ends.
func (p *Path) Dial(ctx context.Context, address string) (*Conn, error) {
	for m := p.now.Load(); m.HoldUp || m.HoldDown; m = p.now.Load() {
		select {
		case <-m.changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if d := p.now.Load().Delay; d >= delayLeast {
		time.Sleep(2 * d)
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return p.wrap(c, true), nil
}

// Listener takes the connections that come across a path.
type Listener struct {
	*net.TCPListener
	path *Path
	open chan struct{} // closed by Close
	once sync.Once
}

// Listen takes connections of a path at an address.
func (p *Path) Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	x := &Listener{TCPListener: l.(*net.TCPListener), path: p, open: make(chan struct{})}
	p.mu.Lock()
	p.wakeListener = func() { x.SetDeadline(time.Unix(1, 0)) }
	p.mu.Unlock()
	return x, nil
}

// Close ends the listening; connections already open stay.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.open) })
	return l.TCPListener.Close()
}

// Accept gives the next connection, as net.Listener does. While nothing passes none comes up.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		select {
		case <-l.open: // also while nothing passes
			return nil, net.ErrClosed
		default:
		}
		if m := l.path.now.Load(); m.HoldUp || m.HoldDown {
			l.silent(m)
		}
		l.SetDeadline(time.Time{})
		if m := l.path.now.Load(); m.HoldUp || m.HoldDown { // changed before the deadline was lifted
			continue
		}
		c, err := l.TCPListener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return l.path.wrap(c, false), nil
	}
}

// silent keeps new connections from coming up until the path passes again: it fills the queue of
// the listening socket, whereupon the kernel drops what asks for more.
func (l *Listener) silent(m *moment) {
	l.queue(0)
	dummy, err := net.DialTimeout("tcp", l.Addr().String(), dummyTimeout)
	for m.HoldUp || m.HoldDown {
		select {
		case <-m.changed:
		case <-l.open:
			m = &moment{}
			continue
		}
		m = l.path.now.Load()
	}
	l.queue(backlog)
	if err != nil {
		return
	}
	own := dummy.LocalAddr().String()
	dummy.Close()
	l.SetDeadline(time.Now().Add(dummyTimeout))
	for { // the dummy and, before it, whoever came while the queue was shortened
		c, err := l.TCPListener.Accept()
		if err != nil {
			return
		}
		last := c.RemoteAddr().String() == own
		c.Close()
		if last {
			return
		}
	}
}

// queue sets how many connections may wait to be accepted.
func (l *Listener) queue(n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}
