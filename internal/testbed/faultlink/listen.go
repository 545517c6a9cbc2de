package faultlink

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

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
	p.wakeListener = func() { _ = x.SetDeadline(time.Unix(1, 0)) }
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
		if m := l.path.now.Load(); m.silent() {
			l.keepOut(m)
		}
		_ = l.SetDeadline(time.Time{})
		if m := l.path.now.Load(); m.silent() { // changed before the deadline was lifted
			continue
		}
		c, err := l.TCPListener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		x := l.path.wrap(c, false)
		if l.path.now.Load().resets(x.luck) {
			x.Abort()
			continue
		}
		return x, nil
	}
}

// keepOut keeps new connections from coming up until the path passes again: it fills the queue of
// the listening socket, whereupon the kernel drops what asks for more.
func (l *Listener) keepOut(m *moment) {
	l.queue(0)
	dummy, err := net.DialTimeout("tcp", l.Addr().String(), dummyTimeout)
	for m.silent() {
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
	_ = dummy.Close()
	_ = l.SetDeadline(time.Now().Add(dummyTimeout))
	for { // the dummy and, before it, whoever came while the queue was shortened
		c, err := l.TCPListener.Accept()
		if err != nil {
			return
		}
		last := c.RemoteAddr().String() == own
		_ = c.Close()
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
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}
