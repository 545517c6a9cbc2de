package transport

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// Address returns where a voter of an identity is. The library keeps it whole, so that what is meant for an identity never
// comes to another one that has its place.
func Address(identity, hostport string) raft.ServerAddress {
	return raft.ServerAddress(identity + "@" + hostport)
}

// stream is a stream of the library; the transport can close it.
type stream struct {
	net.Conn
	transport *Transport
}

// Close ends the stream.
func (s *stream) Close() error {
	s.transport.mu.Lock()
	delete(s.transport.streams, s.Conn)
	s.transport.mu.Unlock()
	return s.Conn.Close()
}

// StreamLayer carries the library's streams for one identity until it is closed.
type StreamLayer struct {
	transport *Transport
	address   raft.ServerAddress
	accepted  chan net.Conn
	ctx       context.Context // ends with Close
	cancel    context.CancelFunc
}

var _ raft.StreamLayer = (*StreamLayer)(nil)

// StreamLayer begins to accept streams that are meant for an identity.
func (t *Transport) NewStreamLayer(identity string) *StreamLayer {
	l := &StreamLayer{transport: t, address: Address(identity, t.config.ListenAddress), accepted: make(chan net.Conn)}
	l.ctx, l.cancel = context.WithCancel(t.ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.identity = identity
	t.accepted = l.accepted
	return l
}

// Accept returns the next stream that has come.
func (l *StreamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.ctx.Done():
		return nil, errClosed
	}
}

// Close accepts no more streams and ends those that there are.
func (l *StreamLayer) Close() error {
	l.cancel()
	l.transport.mu.Lock()
	if l.transport.accepted == l.accepted {
		l.transport.identity = ""
		l.transport.accepted = nil
	}
	l.transport.mu.Unlock()
	l.transport.closeStreams()
	return nil
}

// Addr returns where others reach this identity.
func (l *StreamLayer) Addr() net.Addr { return address(l.address) }

// Dial opens a stream to an identity.
func (l *StreamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	if l.ctx.Err() != nil {
		return nil, errClosed
	}
	identity, hostport, ok := cutLast(string(to), "@")
	if !ok {
		return nil, &net.AddrError{Err: "council: not a voter's address", Addr: string(to)}
	}
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	t := l.transport
	t.mu.Lock()
	stalled := t.stalled
	full := len(t.streams) >= maxStreams
	t.mu.Unlock()
	if stalled {
		return nil, errStalled
	}
	if full {
		return nil, errManyStreams
	}
	conn, err := t.dial(ctx, hostport, kindRaft, identity)
	if err != nil {
		return nil, err
	}
	setDeadline(conn, time.Time{})
	t.mu.Lock()
	t.streams[conn] = true
	t.mu.Unlock()
	return &stream{Conn: conn, transport: t}, nil
}

func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// closeStreams closes the library's streams.
func (t *Transport) closeStreams() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.streams {
		closeQuietly(conn)
		delete(t.streams, conn)
	}
}

// SetStalled has nothing go out or come in while the voter's disk is stalled, so that the others go on without it: it could
// not persist what it sends.
func (t *Transport) SetStalled(stalled bool) {
	t.mu.Lock()
	t.stalled = stalled
	t.mu.Unlock()
	if stalled {
		t.closeStreams()
	}
}

// address is a voter's address as the library wants it.
type address raft.ServerAddress

// Network returns the name of the network.
func (address) Network() string { return "tcp" }

// String returns the address.
func (a address) String() string { return string(a) }
