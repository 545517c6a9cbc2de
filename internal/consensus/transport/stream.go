package transport

import (
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

var (
	errStill = errors.New("this voter's disk stands still")
	errEnded = errors.New("this voter's part has ended")
)

// Address is where a voter of an identity is. The library keeps it whole, so that what is meant for
// an identity never comes to another that has its place.
func Address(identity, hostport string) raft.ServerAddress {
	return raft.ServerAddress(identity + "@" + hostport)
}

// stream is a stream of the library; the link can close it.
type stream struct {
	net.Conn
	of *Link
}

func (s *stream) Close() error {
	s.of.mu.Lock()
	delete(s.of.open, s.Conn)
	s.of.mu.Unlock()
	return s.Conn.Close()
}

// Layer carries the library's streams for one identity until it is closed.
type Layer struct {
	link  *Link
	at    raft.ServerAddress
	taken chan net.Conn
	life  context.Context
	end   context.CancelFunc
}

var _ raft.StreamLayer = (*Layer)(nil)

// Layer begins to take streams that are meant for an identity.
func (l *Link) Layer(identity string) *Layer {
	y := &Layer{link: l, at: Address(identity, l.cfg.Bind), taken: make(chan net.Conn)}
	y.life, y.end = context.WithCancel(l.life)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.identity, l.taken = identity, y.taken
	return y
}

// Accept gives the next stream that has come.
func (y *Layer) Accept() (net.Conn, error) {
	select {
	case c := <-y.taken:
		return c, nil
	case <-y.life.Done():
		return nil, errEnded
	}
}

// Close ends the taking and all streams.
func (y *Layer) Close() error {
	y.end()
	y.link.mu.Lock()
	if y.link.taken == y.taken {
		y.link.identity, y.link.taken = "", nil
	}
	y.link.mu.Unlock()
	y.link.cut()
	return nil
}

// Addr is where others reach this identity.
func (y *Layer) Addr() net.Addr { return address(y.at) }

// Dial opens a stream to an identity.
func (y *Layer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	if y.life.Err() != nil {
		return nil, errEnded
	}
	identity, at, ok := cutLast(string(to), "@")
	if !ok {
		return nil, errors.New("council: " + string(to) + " is no voter's address")
	}
	ctx, cancel := context.WithTimeout(y.life, within)
	defer cancel()
	y.link.mu.Lock()
	still, many := y.link.still, len(y.link.open) >= streams
	y.link.mu.Unlock()
	if still {
		return nil, errStill
	}
	if many {
		return nil, errors.New("council: too many streams")
	}
	c, err := y.link.dial(ctx, at, kindRaft, identity)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Time{})
	y.link.mu.Lock()
	y.link.open[c] = true
	y.link.mu.Unlock()
	return &stream{Conn: c, of: y.link}, nil
}

func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// cut closes the library's streams.
func (l *Link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.Close()
		delete(l.open, c)
	}
}

// Still has nothing go out or come in while on, so that the others go on without a voter whose disk
// stands still: it could not keep what it says.
func (l *Link) Still(on bool) {
	l.mu.Lock()
	l.still = on
	l.mu.Unlock()
	if on {
		l.cut()
	}
}

type address raft.ServerAddress

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }
