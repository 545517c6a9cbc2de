package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"sloestile/control"
)

// line is one connection of a node to an app server that a test plays by hand, at both ends.
type connPair struct {
	t            *testing.T
	u            *upstream
	pool         *pool
	dialed       chan *net.TCPConn // the node's ends
	accepted     chan *net.TCPConn // the app server's
	nodeEnd      *net.TCPConn
	serverEnd    *net.TCPConn
	serverReader *bufio.Reader // of the far end
}

func newConnPair(t *testing.T) *connPair {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &connPair{t: t, u: newUpstream(testTimeout, 2*testTimeout, 1, newSockets(1024, 0), newBudget(64)),
		dialed: make(chan *net.TCPConn, 10), accepted: make(chan *net.TCPConn, 10)}
	p.u.reuseDelay = 0
	p.pool = p.u.newPool(l.Addr().String())
	t.Cleanup(func() { p.u.retire(p.pool) })
	dial := p.u.dial
	p.u.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil {
			p.dialed <- c.(*net.TCPConn)
		}
		return c, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted <- c.(*net.TCPConn)
		}
	}()
	return p
}

// up waits until both ends of the next connection are there.
func (p *connPair) awaitConn() {
	p.nodeEnd, p.serverEnd = receive(p.t, p.dialed), receive(p.t, p.accepted)
	p.t.Cleanup(func() { _ = p.serverEnd.Close() })
	_ = p.serverEnd.SetDeadline(time.Now().Add(testTimeout))
	p.serverReader = bufio.NewReader(p.serverEnd)
}

// request reads a whole one at the far end.
func (p *connPair) readRequest() {
	p.t.Helper()
	q, err := http.ReadRequest(p.serverReader)
	if assert.NoError(p.t, err) {
		_, err = io.Copy(io.Discard, q.Body)
		assert.NoError(p.t, err)
	}
}

func (p *connPair) respond(text string) {
	p.t.Helper()
	_, err := io.WriteString(p.serverEnd, text)
	assert.NoError(p.t, err)
}

// reset resets the connection from the far end, and returns when the near one has it.
func (p *connPair) reset() {
	p.t.Helper()
	_ = p.serverEnd.SetLinger(0)
	_ = p.serverEnd.Close()
	p.awaitTCPState(tcpClosed)
}

const tcpClosed = unix.BPF_TCP_CLOSE

// reaches waits until the near end is in a state.
func (p *connPair) awaitTCPState(state uint8) {
	p.t.Helper()
	raw, err := p.nodeEnd.SyscallConn()
	require.NoError(p.t, err)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond / 10) {
		var info *unix.TCPInfo
		if raw.Control(func(fd uintptr) {
			info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		}) != nil { // the node has closed it
			return
		}
		require.NoError(p.t, err)
		if info.State == state {
			return
		}
	}
	p.t.Errorf("the near end does not reach state %d", state)
}

// try makes an attempt in the background.
func (p *connPair) startAttempt(a *attempt) <-chan outcome {
	done := make(chan outcome, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		done <- p.u.attempt(ctx, p.pool, a)
	}()
	return done
}

// use has a connection serve one request and idle.
func (p *connPair) serveOne() {
	p.t.Helper()
	done := p.startAttempt(newTestAttempt(p.t, nil))
	p.awaitConn()
	p.readRequest()
	p.respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	require.Equal(p.t, control.OK, receive(p.t, done).reason)
	require.Len(p.t, idleConns(p.u), 1)
}

// body gives its parts one by one; before each but the first it calls a function of the test.
type steppedBody struct {
	parts      [][]byte
	beforeNext func()
	started    bool
}

func (b *steppedBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if b.started {
		b.beforeNext()
	}
	b.started = true
	n := copy(p, b.parts[0])
	if b.parts[0] = b.parts[0][n:]; len(b.parts[0]) == 0 {
		b.parts = b.parts[1:]
	}
	return n, nil
}

// A connection that is reset before or in a request's bytes, be it new or used again, surely ran
// nothing; one that breaks behind the last byte may have.
func TestOutcomeOfConnectionLossByPhase(t *testing.T) {
	const piece = 2 * connBufferBytes
	for name, tc := range map[string]struct {
		parts      [][]byte
		beforeLast func(n *connPair) // before the second part
		afterWrite func(n *connPair) // when all is written
		want       control.Outcome
	}{
		"before its bytes": {[][]byte{{1}, {2}}, (*connPair).reset, nil, control.ConnectFailed},
		"in its bytes": {[][]byte{make([]byte, piece), make([]byte, piece)}, func(n *connPair) {
			_, err := n.serverReader.ReadByte()
			assert.NoError(n.t, err)
			n.reset()
		}, nil, control.ConnectFailed},
		"before its last byte": {[][]byte{make([]byte, piece), {2}}, func(n *connPair) {
			_, err := n.serverReader.ReadByte()
			assert.NoError(n.t, err)
			n.reset()
		}, nil, control.ConnectFailed},
		"behind its bytes, unread": {[][]byte{{1}, {2}}, func(*connPair) {}, (*connPair).reset, control.ResetByPeer},
		"behind its bytes, read": {[][]byte{{1}, {2}}, func(*connPair) {}, func(n *connPair) {
			n.readRequest()
			n.reset()
		}, control.ResetByPeer},
		"in its status line": {[][]byte{{1}, {2}}, func(*connPair) {}, func(n *connPair) {
			n.readRequest()
			n.respond("HTTP/1.1 2")
			n.reset()
		}, control.ResetByPeer},
		"closed behind its bytes": {[][]byte{{1}, {2}}, func(*connPair) {}, func(n *connPair) {
			n.readRequest()
			_ = n.serverEnd.Close()
		}, control.ResetByPeer},
		"closed in its status line": {[][]byte{{1}, {2}}, func(*connPair) {}, func(n *connPair) {
			n.readRequest()
			n.respond("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1")
			_ = n.serverEnd.Close()
		}, control.ResetByPeer},
	} {
		for kind, reused := range map[string]bool{"new": false, "reused": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				n := newConnPair(t)
				if reused {
					n.serveOne()
				}
				length := 0
				for _, p := range tc.parts {
					length += len(p)
				}
				a := newTestAttempt(t, nil)
				reached, proceed := make(chan struct{}), make(chan struct{})
				a.req.Body = io.NopCloser(&steppedBody{parts: slices.Clone(tc.parts), beforeNext: func() { reached <- struct{}{}; <-proceed }})
				a.req.ContentLength = int64(length)
				written := make(chan struct{})
				a.onWritten = func() { close(written) }
				done := n.startAttempt(a)
				receive(t, reached)
				if !reused {
					n.awaitConn()
				}
				tc.beforeLast(n)
				proceed <- struct{}{}
				if tc.afterWrite != nil {
					receive(t, written)
					tc.afterWrite(n)
				}
				o := receive(t, done)
				assert.Equal(t, tc.want, o.reason, "%v", o.err)
				assert.Empty(t, idleConns(n.u))
				assert.Zero(t, n.u.sockets.openConns.Load(), "connections left open")
				select {
				case <-written:
					assert.NotNil(t, tc.afterWrite, "told as written")
				default:
					assert.Nil(t, tc.afterWrite, "not told as written")
				}
			})
		}
	}
}

// A reset is no end of an answer that has no length: what is held of it is dropped, and what is
// passed on breaks off.
func TestResetInResponseWithoutLength(t *testing.T) {
	t.Run("held", func(t *testing.T) {
		n := newConnPair(t)
		done := n.startAttempt(newTestAttempt(t, nil))
		n.awaitConn()
		n.readRequest()
		n.respond("HTTP/1.1 200 OK\r\n\r\nok")
		n.reset()
		o := receive(t, done)
		assert.Equal(t, control.ResetByPeer, o.reason)
		assert.Empty(t, o.body)
	})
	for end, want := range map[string]error{"reset": syscall.ECONNRESET, "closed": io.EOF} {
		t.Run("passed on, "+end, func(t *testing.T) {
			n := newConnPair(t)
			a := newTestAttempt(t, nil)
			reader, writer := io.Pipe()
			streamStarted := make(chan []byte, 1)
			a.onStreamStart = func(o outcome, length int64) *io.PipeWriter {
				assert.EqualValues(t, -1, length)
				streamStarted <- o.body
				return writer
			}
			done := n.startAttempt(a)
			n.awaitConn()
			n.readRequest()
			n.respond("HTTP/1.1 200 OK\r\n\r\n")
			sent := patternBytes(maxBufferedBytes + 1)
			n.respond(string(sent))
			got := receive(t, streamStarted)
			for rest := make([]byte, streamBufferBytes); len(got) < len(sent); {
				k, err := reader.Read(rest)
				require.NoError(t, err)
				got = append(got, rest[:k]...)
			}
			assert.Equal(t, sent, got)
			reason := control.OK
			if end == "reset" {
				reason = control.ResetByPeer
				n.reset()
			} else {
				_ = n.serverEnd.Close()
			}
			_, err := reader.Read(make([]byte, 1))
			assert.ErrorIs(t, err, want)
			assert.Equal(t, reason, receive(t, done).reason)
			assert.Empty(t, idleConns(n.u))
		})
	}
}

// A second answer that comes late, on a connection given back, is never the answer to the next
// request: the connection rests for a while, in which the second answer is there to be seen.
func TestLateSecondResponseIsNotUsed(t *testing.T) {
	n := newConnPair(t)
	assert.Equal(t, connReuseDelay, newUpstream(testTimeout, testTimeout, 1, newSockets(1024, 0), newBudget(64)).reuseDelay)
	n.u.reuseDelay = testTimeout // until the test has it over
	n.serveOne()
	before, first := n.nodeEnd, n.serverEnd

	done := n.startAttempt(newTestAttempt(t, nil))
	n.awaitConn()
	_, err := io.WriteString(first, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
	assert.NoError(t, err)
	n.readRequest()
	n.respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	o := receive(t, done)
	assert.Equal(t, control.OK, o.reason, "%v", o.err)
	assert.Equal(t, "ok", string(o.body))
	assert.EqualValues(t, 1, n.u.counts.notYetReusable.Load())

	idle := idleConns(n.u)
	require.Len(t, idle, 2)
	assert.Same(t, before, idle[0].Conn)
	for end := time.Now().Add(testTimeout); nothingToRead(t, before) && time.Now().Before(end); time.Sleep(time.Millisecond / 10) {
	}
	for _, c := range idle {
		c.reusableAt = time.Time{}
	}
	done = n.startAttempt(newTestAttempt(t, nil))
	n.readRequest() // on the second one, the most recently used
	n.respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	assert.Equal(t, "ok", string(receive(t, done).body))
	assert.Len(t, idleConns(n.u), 2)
	done = n.startAttempt(newTestAttempt(t, nil))
	n.awaitConn() // the first one is spoilt, and the second rests again
	n.readRequest()
	n.respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	assert.Equal(t, "ok", string(receive(t, done).body))
	assert.EqualValues(t, 1, n.u.counts.closedByServer.Load())
}

// nothingCame tells whether nothing waits to be read on a connection, without reading it.
func nothingToRead(t *testing.T, c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	n := 0
	require.NoError(t, raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}))
	return n <= 0
}
