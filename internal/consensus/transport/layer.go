package transport

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// Address returns the address of a voter for the raft library: its identity, "@", and host and port. It includes the
// identity so that a message never reaches a voter with another identity that listens at the same host and port.
func Address(identity, hostport string) raft.ServerAddress {
	return raft.ServerAddress(identity + "@" + hostport)
}

// raftStream is an open stream of the raft library. The transport keeps it in raftStreams until it is closed.
type raftStream struct {
	net.Conn
	transport *Transport
}

// Close closes the stream.
func (s *raftStream) Close() error {
	s.transport.mu.Lock()
	delete(s.transport.raftStreams, s.Conn)
	s.transport.mu.Unlock()
	return s.Conn.Close()
}

// StreamLayer opens and accepts the streams of the raft library for one identity of this voter.
type StreamLayer struct {
	transport *Transport
	address   raft.ServerAddress
	accepted  chan net.Conn
	ctx       context.Context // canceled by Close
	cancel    context.CancelFunc
}

var _ raft.StreamLayer = (*StreamLayer)(nil)

// NewStreamLayer returns a stream layer for an identity. The transport accepts raft streams for this identity, in place
// of that of an earlier layer, until the layer is closed.
func (t *Transport) NewStreamLayer(identity string) *StreamLayer {
	l := &StreamLayer{transport: t, address: Address(identity, t.config.ListenAddress), accepted: make(chan net.Conn)}
	l.ctx, l.cancel = context.WithCancel(t.ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.identity = identity
	t.accepted = l.accepted
	return l
}

// Accept returns the next incoming stream. It blocks until there is one or the layer is closed.
func (l *StreamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.ctx.Done():
		return nil, errClosed
	}
}

// Close stops accepting streams and closes all raft streams of the transport.
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

// Addr returns the address of this voter's identity.
func (l *StreamLayer) Addr() net.Addr { return netAddress(l.address) }

// Dial opens a stream to the voter with an address that Address returned.
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
	full := len(t.raftStreams) >= maxRaftStreams
	t.mu.Unlock()
	if stalled {
		return nil, errStalled
	}
	if full {
		return nil, errTooManyStreams
	}
	conn, err := t.dial(ctx, hostport, kindRaft, identity)
	if err != nil {
		return nil, err
	}
	setDeadline(conn, time.Time{})
	t.mu.Lock()
	t.raftStreams[conn] = true
	t.mu.Unlock()
	return &raftStream{Conn: conn, transport: t}, nil
}

// cutLast returns the parts of s before and after the last sep; ok is false if s does not contain sep.
func cutLast(s, sep string) (before, after string, ok bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// closeStreams closes all streams of the raft library.
func (t *Transport) closeStreams() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.raftStreams {
		closeConn(conn)
		delete(t.raftStreams, conn)
	}
}

// SetStalled sets whether the voter's disk is stalled. While it is, the transport opens and accepts no streams, and
// raft streams are closed. The other voters then continue without this one, which cannot persist what it acknowledges.
func (t *Transport) SetStalled(stalled bool) {
	t.mu.Lock()
	t.stalled = stalled
	t.mu.Unlock()
	if stalled {
		t.closeStreams()
	}
}

// netAddress is a voter's address as a net.Addr.
type netAddress raft.ServerAddress

// Network returns "tcp".
func (netAddress) Network() string { return "tcp" }

// String returns the address.
func (a netAddress) String() string { return string(a) }
