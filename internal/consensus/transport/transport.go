// Package transport connects the nodes of a fleet with the voters of its consensus group. A voter's Transport accepts
// two kinds of streams on one address: streams of the raft library, which a StreamLayer passes to the library, and
// streams with a single call, which Config.HandleCall answers. Any node can make calls with Transport.Call.
//
// Each stream begins with a header that names the fleet and the voter that it is for. A stream without a valid header
// is closed within three seconds.
package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"sloestile/internal/oneline"
)

const (
	headerTimeout          = 3 * time.Second // time limit for the header of an accepted stream
	callTimeout            = 5 * time.Second // time limit for a call and its answer
	maxUnidentifiedStreams = 16              // accepted streams without a header yet; above it the oldest is closed
	maxRaftStreams         = 64              // open streams of the raft library, incoming and outgoing
	maxConcurrentCalls     = 16              // calls answered at the same time; above it a new call is closed

	minAcceptRetryDelay = 5 * time.Millisecond // delay after a failed accept; doubled up to maxAcceptRetryDelay
	maxAcceptRetryDelay = time.Second
)

// UnreachableError means that a call to a voter failed.
type UnreachableError struct {
	Peer string // name of the voter
	Err  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("council: voter %s is unreachable: %s; check its process and the link to it", e.Peer, oneline.Of(e.Err))
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// Reasons for which this voter does not open a stream.
var (
	errStalled        = errors.New("this voter's disk is stalled")
	errClosed         = errors.New("this voter's stream layer is closed")
	errTooManyStreams = errors.New("council: too many streams")
)

// Config is the configuration of a node's transport.
type Config struct {
	Label         string            // label of the fleet; streams with another label are rejected
	Name          string            // name of this node
	ListenAddress string            // host and port of a voter's listener; "" means no listener
	DialAddresses map[string]string // addresses to dial in place of peer addresses, by peer address
	// HandleCall returns the answer to a call of the node with the given name. A nil answer closes the call. It is
	// called by several goroutines at the same time. If it is nil, all calls are closed.
	HandleCall func(from string, body []byte) []byte
}

// Transport opens streams to voters and, at a voter, accepts them. Close ends its goroutines.
type Transport struct {
	config   Config
	listener net.Listener // nil if the node does not listen
	running  sync.WaitGroup
	ctx      context.Context // canceled by Close
	cancel   context.CancelFunc

	mu              sync.Mutex
	identity        string              // identity for which raft streams are accepted; "" means none
	accepted        chan net.Conn       // accepted raft streams, for the stream layer; nil if there is no layer
	unidentified    map[net.Conn]uint64 // accepted streams whose header has not arrived, with their sequence numbers
	lastSequence    uint64              // sequence number of the stream accepted last
	raftStreams     map[net.Conn]bool   // open streams of the raft library, incoming and outgoing
	activeCalls     int                 // number of calls being answered
	rejectedStreams uint64
	stalled         bool // the disk is stalled: no stream is opened or accepted
}

// Open returns a transport. It starts to listen if the configuration has a listen address.
func Open(cfg Config) (*Transport, error) {
	t := &Transport{config: cfg, unidentified: make(map[net.Conn]uint64), raftStreams: make(map[net.Conn]bool)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	if cfg.ListenAddress == "" {
		return t, nil
	}
	listener, err := net.Listen("tcp", cfg.ListenAddress)
	if err != nil {
		t.cancel()
		return nil, fmt.Errorf("council: %w", err)
	}
	t.listener = listener
	t.running.Go(t.accept)
	return t, nil
}

// Close stops the listener, closes all streams except those of calls being answered, and waits until these have ended.
func (t *Transport) Close() error {
	t.cancel()
	var err error
	if t.listener != nil {
		err = t.listener.Close()
	}
	t.mu.Lock()
	for conn := range t.unidentified {
		closeConn(conn)
	}
	for conn := range t.raftStreams {
		closeConn(conn)
	}
	t.mu.Unlock()
	t.running.Wait()
	return err
}

// closeConn closes a connection. It ignores the error, because nothing more is sent on the connection either way.
func closeConn(conn net.Conn) { _ = conn.Close() }

// RejectedStreams returns the number of incoming streams that were rejected: they had no valid header of this fleet,
// were for another identity or name, exceeded a limit, or came while the disk was stalled. A stream that is closed
// because there are maxUnidentifiedStreams already counts twice.
func (t *Transport) RejectedStreams() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejectedStreams
}

func (t *Transport) accept() {
	delay := minAcceptRetryDelay
	for {
		conn, err := t.listener.Accept()
		if err != nil { // wait before the next accept: the process may be out of file descriptors
			select {
			case <-t.ctx.Done():
				return
			case <-time.After(delay):
			}
			delay = min(2*delay, maxAcceptRetryDelay)
			continue
		}
		delay = minAcceptRetryDelay
		t.addUnidentified(conn)
		t.running.Go(func() { t.serveStream(conn) })
	}
}

// addUnidentified adds a stream whose header has not arrived. If there are maxUnidentifiedStreams already, it closes
// the oldest.
func (t *Transport) addUnidentified(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unidentified) >= maxUnidentifiedStreams {
		var oldest net.Conn
		for other, sequence := range t.unidentified {
			if oldest == nil || sequence < t.unidentified[oldest] {
				oldest = other
			}
		}
		delete(t.unidentified, oldest)
		closeConn(oldest)
		t.rejectedStreams++
	}
	t.lastSequence++
	t.unidentified[conn] = t.lastSequence
}

// serveStream reads the header of an accepted stream and passes the stream to the stream layer or answers its call.
func (t *Transport) serveStream(conn net.Conn) {
	setDeadline(conn, time.Now().Add(headerTimeout))
	kind, h, err := readHeader(conn)
	t.mu.Lock()
	delete(t.unidentified, conn)
	valid := err == nil && h.Label == t.config.Label && !t.stalled
	switch {
	case valid && kind == kindRaft && t.acceptsRaftStream(h.To):
		t.raftStreams[conn] = true
		accepted := t.accepted
		t.mu.Unlock()
		t.deliver(conn, accepted)
		return
	case valid && kind == kindCall && t.acceptsCall(h.To):
		t.activeCalls++
		t.mu.Unlock()
		t.serveCall(conn, h.From)
		t.mu.Lock()
		t.activeCalls--
	default:
		t.rejectedStreams++
	}
	t.mu.Unlock()
	closeConn(conn)
}

// acceptsRaftStream reports whether a raft stream for an identity is accepted. The caller holds t.mu.
func (t *Transport) acceptsRaftStream(identity string) bool {
	return t.identity != "" && identity == t.identity && t.accepted != nil && len(t.raftStreams) < maxRaftStreams
}

// acceptsCall reports whether a call to the node with the given name is answered. The caller holds t.mu.
func (t *Transport) acceptsCall(name string) bool {
	return name == t.config.Name && t.config.HandleCall != nil && t.activeCalls < maxConcurrentCalls
}

// deliver passes a stream to the stream layer, or closes it if the layer does not accept it within headerTimeout.
func (t *Transport) deliver(conn net.Conn, accepted chan<- net.Conn) {
	setDeadline(conn, time.Time{})
	s := &raftStream{Conn: conn, transport: t}
	select {
	case accepted <- s:
	case <-t.ctx.Done():
		closeConn(conn)
	case <-time.After(headerTimeout):
		closeConn(s)
	}
}

// serveCall reads the body of a call and writes the answer.
func (t *Transport) serveCall(conn net.Conn, from string) {
	body, err := readBody(conn)
	if err != nil {
		return
	}
	setDeadline(conn, time.Now().Add(callTimeout))
	if answer := t.config.HandleCall(from, body); answer != nil {
		_ = writeBody(conn, answer) // on an error the caller reads an incomplete answer
	}
}

// setDeadline sets the deadline of a connection; the zero time removes it. It ignores the error, which means that the
// connection is closed: the next read or write fails then.
func setDeadline(conn net.Conn, deadline time.Time) { _ = conn.SetDeadline(deadline) }

// dial connects to a peer address, or to the dial address configured for it, and writes the header.
func (t *Transport) dial(ctx context.Context, address string, kind byte, to string) (net.Conn, error) {
	if dialAddress, ok := t.config.DialAddresses[address]; ok {
		address = dialAddress
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		setDeadline(conn, deadline)
	}
	if err := writeHeader(conn, kind, header{t.config.Label, to, t.config.Name}); err != nil {
		closeConn(conn)
		return nil, err
	}
	return conn, nil
}

// Call sends a call to the voter with the given name and address, and returns the answer. It fails after callTimeout at
// the latest. Its error is an *UnreachableError.
func (t *Transport) Call(ctx context.Context, name, address string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := t.call(ctx, name, address, body)
	if err != nil {
		return nil, &UnreachableError{Peer: name, Err: err}
	}
	return answer, nil
}

func (t *Transport) call(ctx context.Context, name, address string, body []byte) ([]byte, error) {
	t.mu.Lock()
	stalled := t.stalled
	t.mu.Unlock()
	if stalled {
		return nil, errStalled
	}
	conn, err := t.dial(ctx, address, kindCall, name)
	if err != nil {
		return nil, err
	}
	defer closeConn(conn)
	defer context.AfterFunc(ctx, func() { closeConn(conn) })()
	if err := writeBody(conn, body); err != nil {
		return nil, err
	}
	return readBody(conn)
}
