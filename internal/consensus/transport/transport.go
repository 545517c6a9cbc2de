// Package transport carries what the voters of a consensus group send each other: one listener on the node's address, on
// which a stream of the raft library or one call comes after a header that names the fleet and the voter that is meant. A
// stream without such a header is closed within three seconds.
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
	headerTimeout   = 3 * time.Second // improper peers are owed a close by then
	callTimeout     = 5 * time.Second // for a call and its answer
	maxUnidentified = 16              // streams without a header yet; beyond it the oldest is closed
	maxStreams      = 64              // of the library, at once
	maxCalls        = 16              // that are answered at once; one beyond is closed

	minAcceptPause = 5 * time.Millisecond // after a failed accept, doubled up to maxAcceptPause
	maxAcceptPause = time.Second
)

// UnreachableError says that a voter could not be called.
type UnreachableError struct {
	Peer string
	Err  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("council: voter %s is not reached: %s; look at its process and the link to it", e.Peer, oneline.Of(e.Err))
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// Errors of streams and calls that this voter does not open.
var (
	errStalled     = errors.New("this voter's disk stands still")
	errClosed      = errors.New("this voter's part has ended")
	errManyStreams = errors.New("council: too many streams")
)

// Config is how a node reaches voters, and is reached where it is one.
type Config struct {
	Label         string            // of the fleet
	Name          string            // of this node
	ListenAddress string            // where a voter listens; "" is nowhere
	DialAddresses map[string]string // addresses by which others are reached, where they differ
	// Answer answers a call of a node by its name; nil closes it. It is called by many goroutines at once.
	HandleCall func(from string, body []byte) []byte
}

// Transport is a node's end. Its goroutines end with Close.
type Transport struct {
	config   Config
	listener net.Listener // nil is none
	running  sync.WaitGroup
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc

	mu           sync.Mutex
	identity     string              // for which streams of the library are accepted; "" is none are
	accepted     chan net.Conn       // streams of the library, where somebody takes them
	unidentified map[net.Conn]uint64 // without a header yet, by their order
	lastOrder    uint64
	streams      map[net.Conn]bool // of the library, both ways
	calling      int               // calls that are being answered
	rejected     uint64
	stalled      bool // nothing goes out or comes in
}

// Open begins to listen where the configuration says so.
func Open(cfg Config) (*Transport, error) {
	t := &Transport{config: cfg, unidentified: make(map[net.Conn]uint64), streams: make(map[net.Conn]bool)}
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

// Close ends all streams.
func (t *Transport) Close() error {
	t.cancel()
	var err error
	if t.listener != nil {
		err = t.listener.Close()
	}
	t.mu.Lock()
	for conn := range t.unidentified {
		closeQuietly(conn)
	}
	for conn := range t.streams {
		closeQuietly(conn)
	}
	t.mu.Unlock()
	t.running.Wait()
	return err
}

// closeQuietly closes a connection whose peer gets no more from this node whatever the error.
func closeQuietly(conn net.Conn) { _ = conn.Close() }

// RejectedStreams returns the number of streams that were closed for want of a header of this fleet.
func (t *Transport) RejectedStreams() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejected
}

func (t *Transport) accept() {
	pause := minAcceptPause
	for {
		conn, err := t.listener.Accept()
		if err != nil { // a pause, as descriptors may be out
			select {
			case <-t.ctx.Done():
				return
			case <-time.After(pause):
			}
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		t.addUnidentified(conn)
		t.running.Go(func() { t.identify(conn) })
	}
}

// addUnidentified notes a stream without a header, and closes the oldest where there are too many.
func (t *Transport) addUnidentified(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unidentified) >= maxUnidentified {
		var oldest net.Conn
		for other, order := range t.unidentified {
			if oldest == nil || order < t.unidentified[oldest] {
				oldest = other
			}
		}
		delete(t.unidentified, oldest)
		closeQuietly(oldest)
		t.rejected++
	}
	t.lastOrder++
	t.unidentified[conn] = t.lastOrder
}

// identify reads a stream's header and hands the stream on.
func (t *Transport) identify(conn net.Conn) {
	setDeadline(conn, time.Now().Add(headerTimeout))
	kind, h, err := readHeader(conn)
	t.mu.Lock()
	delete(t.unidentified, conn)
	proper := err == nil && h.Label == t.config.Label && !t.stalled
	switch {
	case proper && kind == kindRaft && t.acceptsFor(h.To):
		t.streams[conn] = true
		accepted := t.accepted
		t.mu.Unlock()
		t.handOn(conn, accepted)
		return
	case proper && kind == kindCall && t.answersAs(h.To):
		t.calling++
		t.mu.Unlock()
		t.answer(conn, h.From)
		t.mu.Lock()
		t.calling--
	default:
		t.rejected++
	}
	t.mu.Unlock()
	closeQuietly(conn)
}

// acceptsFor reports whether a stream of the library for an identity is accepted. The caller holds t.mu.
func (t *Transport) acceptsFor(identity string) bool {
	return t.identity != "" && identity == t.identity && t.accepted != nil && len(t.streams) < maxStreams
}

// answersAs reports whether a call of a name is answered. The caller holds t.mu.
func (t *Transport) answersAs(name string) bool {
	return name == t.config.Name && t.config.HandleCall != nil && t.calling < maxCalls
}

// handOn hands a stream to the library, which takes it soon or not at all.
func (t *Transport) handOn(conn net.Conn, accepted chan<- net.Conn) {
	setDeadline(conn, time.Time{})
	s := &stream{Conn: conn, transport: t}
	select {
	case accepted <- s:
	case <-t.ctx.Done():
		closeQuietly(conn)
	case <-time.After(headerTimeout):
		closeQuietly(s)
	}
}

// answer answers one call.
func (t *Transport) answer(conn net.Conn, from string) {
	body, err := readBody(conn)
	if err != nil {
		return
	}
	setDeadline(conn, time.Now().Add(callTimeout))
	if answer := t.config.HandleCall(from, body); answer != nil {
		_ = writeBody(conn, answer) // the caller sees that it is cut off
	}
}

// setDeadline sets a deadline. An error means that the connection is closed, which its next use tells.
func setDeadline(conn net.Conn, at time.Time) { _ = conn.SetDeadline(at) }

// dial opens a stream to an address, by the way that this node has to it.
func (t *Transport) dial(ctx context.Context, address string, kind byte, to string) (net.Conn, error) {
	if via, ok := t.config.DialAddresses[address]; ok {
		address = via
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if at, ok := ctx.Deadline(); ok {
		setDeadline(conn, at)
	}
	if err := writeHeader(conn, kind, header{t.config.Label, to, t.config.Name}); err != nil {
		closeQuietly(conn)
		return nil, err
	}
	return conn, nil
}

// Call calls a voter by its name at its address and returns its answer. Its error is an UnreachableError.
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
	defer closeQuietly(conn)
	defer context.AfterFunc(ctx, func() { closeQuietly(conn) })()
	if err := writeBody(conn, body); err != nil {
		return nil, err
	}
	return readBody(conn)
}
