// Package link carries what the council's voters say to each other: one listener on the node's
// address, on which a stream of the agreement's library or one call comes after a head that names the
// fleet and the voter that is meant. A stream without such a head is closed within three seconds.
package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sloestile/internal/oneline"
)

const (
	magic      = "lfc1"
	headMost   = 512
	headWithin = 3 * time.Second // improper peers are owed a close by then
	strangers  = 16              // streams whose head has not come; beyond it the oldest is closed
	streams    = 64              // of the library, at once
	calls      = 16              // that are answered at once; one beyond is closed
	callWithin = 5 * time.Second // for a call and its answer

	// BodyMost bounds what a call and its answer hold.
	BodyMost = 128 << 10

	kindRaft = 'r'
	kindCall = 'c'
)

// head begins each stream.
type head struct {
	Label string `cbor:"1,keyasint"` // of the fleet
	To    string `cbor:"2,keyasint"` // identity of the voter that is meant; of a call, its name
	From  string `cbor:"3,keyasint"`
}

// UnreachedError tells that a voter could not be called.
type UnreachedError struct {
	Peer string
	Why  error
}

func (e *UnreachedError) Error() string {
	return fmt.Sprintf("council: voter %s is not reached: %s; look at its process and the link to it", e.Peer, oneline.Of(e.Why))
}

func (e *UnreachedError) Unwrap() error { return e.Why }

// Config is how a node reaches voters, and is reached where it is one.
type Config struct {
	Label, Self string
	Bind        string            // where a voter listens; "" is nowhere
	Via         map[string]string // addresses by which others are reached, where links stand between
	// Answer answers a call of a node by a name; nil closes it. It is called by many at once.
	Answer func(from string, body []byte) []byte
}

// Link is a node's end.
type Link struct {
	cfg      Config
	listener net.Listener // nil is none
	done     sync.WaitGroup
	life     context.Context
	end      context.CancelFunc

	mu       sync.Mutex
	identity string              // by which streams of the library are taken; "" is none are
	taken    chan net.Conn       // streams of the library, where somebody takes them
	waiting  map[net.Conn]uint64 // whose head has not come, by their order
	open     map[net.Conn]bool   // streams of the library, both ways
	order    uint64
	calling  int
	refused  uint64
	still    bool // nothing goes out or comes in
}

// Open begins to listen where the configuration says so.
func Open(cfg Config) (*Link, error) {
	l := &Link{cfg: cfg, waiting: make(map[net.Conn]uint64), open: make(map[net.Conn]bool)}
	l.life, l.end = context.WithCancel(context.Background())
	if cfg.Bind != "" {
		var err error
		if l.listener, err = net.Listen("tcp", cfg.Bind); err != nil {
			l.end()
			return nil, fmt.Errorf("council: %w", err)
		}
		l.done.Go(l.accept)
	}
	return l, nil
}

// Close ends all streams.
func (l *Link) Close() error {
	l.end()
	var err error
	if l.listener != nil {
		err = l.listener.Close()
	}
	l.mu.Lock()
	for c := range l.waiting {
		c.Close()
	}
	for c := range l.open {
		c.Close()
	}
	l.mu.Unlock()
	l.done.Wait()
	return err
}

// Refused counts streams that were closed for want of a head of this fleet.
func (l *Link) Refused() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

func (l *Link) accept() {
	pause := 5 * time.Millisecond
	for {
		c, err := l.listener.Accept()
		if err != nil {
			// Guards against a busy loop where descriptors are out.
			select {
			case <-l.life.Done():
				return
			case <-time.After(pause):
			}
			pause = min(2*pause, time.Second)
			continue
		}
		pause = 5 * time.Millisecond
		l.mu.Lock()
		if len(l.waiting) >= strangers {
			oldest := c
			l.waiting[c] = l.order
			for o, at := range l.waiting {
				if at < l.waiting[oldest] {
					oldest = o
				}
			}
			delete(l.waiting, oldest)
			oldest.Close()
			l.refused++
		}
		l.order++
		l.waiting[c] = l.order
		l.mu.Unlock()
		l.done.Go(func() { l.greet(c) })
	}
}

// greet reads a stream's head and hands the stream on.
func (l *Link) greet(c net.Conn) {
	c.SetDeadline(time.Now().Add(headWithin))
	kind, h, err := readHead(c)
	l.mu.Lock()
	delete(l.waiting, c)
	take := l.taken
	good := err == nil && h.Label == l.cfg.Label && !l.still
	switch {
	case good && kind == kindRaft && l.identity != "" && h.To == l.identity && take != nil && len(l.open) < streams:
		l.open[c] = true
		l.mu.Unlock()
		c.SetDeadline(time.Time{})
		select {
		case take <- &stream{Conn: c, of: l}:
		case <-l.life.Done():
			c.Close()
		case <-time.After(headWithin):
			(&stream{Conn: c, of: l}).Close()
		}
		return
	case good && kind == kindCall && h.To == l.cfg.Self && l.cfg.Answer != nil && l.calling < calls:
		l.calling++
		l.mu.Unlock()
		l.answer(c, h.From)
		l.mu.Lock()
		l.calling--
	default:
		l.refused++
	}
	l.mu.Unlock()
	c.Close()
}

// answer answers one call.
func (l *Link) answer(c net.Conn, from string) {
	body, err := readBody(c)
	if err != nil {
		return
	}
	c.SetDeadline(time.Now().Add(callWithin))
	if out := l.cfg.Answer(from, body); out != nil {
		writeBody(c, out)
	}
}

func readHead(c io.Reader) (kind byte, h head, err error) {
	var fix [len(magic) + 3]byte
	if _, err = io.ReadFull(c, fix[:]); err != nil {
		return 0, h, err
	}
	n := int(binary.BigEndian.Uint16(fix[len(magic)+1:]))
	if string(fix[:len(magic)]) != magic || n > headMost {
		return 0, h, errors.New("no head of the council's")
	}
	raw := make([]byte, n)
	if _, err = io.ReadFull(c, raw); err != nil {
		return 0, h, err
	}
	return fix[len(magic)], h, cbor.Unmarshal(raw, &h)
}

func writeHead(c io.Writer, kind byte, h head) error {
	raw, err := cbor.Marshal(h)
	if err != nil {
		return err
	}
	if len(raw) > headMost {
		return errors.New("the names of fleet and voters are too long")
	}
	b := binary.BigEndian.AppendUint16(append([]byte(magic), kind), uint16(len(raw)))
	_, err = c.Write(append(b, raw...))
	return err
}

func readBody(c io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > BodyMost {
		return nil, fmt.Errorf("a body of %d bytes, %d are the most", n, BodyMost)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(c, b)
	return b, err
}

func writeBody(c io.Writer, b []byte) error {
	if len(b) > BodyMost {
		return fmt.Errorf("a body of %d bytes, %d are the most", len(b), BodyMost)
	}
	w := bufio.NewWriterSize(c, 4<<10)
	w.Write(binary.BigEndian.AppendUint32(nil, uint32(len(b))))
	w.Write(b)
	return w.Flush()
}

// dial opens a stream to an address, by the way that this node has to it.
func (l *Link) dial(ctx context.Context, address string, kind byte, to string) (net.Conn, error) {
	if v, ok := l.cfg.Via[address]; ok {
		address = v
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if at, ok := ctx.Deadline(); ok {
		c.SetDeadline(at)
	}
	if err := writeHead(c, kind, head{l.cfg.Label, to, l.cfg.Self}); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Call calls a voter by its name at its address, and gives its answer.
func (l *Link) Call(ctx context.Context, name, address string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	out, err := func() ([]byte, error) {
		l.mu.Lock()
		still := l.still
		l.mu.Unlock()
		if still {
			return nil, errStill
		}
		c, err := l.dial(ctx, address, kindCall, name)
		if err != nil {
			return nil, err
		}
		defer c.Close()
		defer context.AfterFunc(ctx, func() { c.Close() })()
		if err := writeBody(c, body); err != nil {
			return nil, err
		}
		return readBody(c)
	}()
	if err != nil {
		return nil, &UnreachedError{Peer: name, Why: err}
	}
	return out, nil
}
