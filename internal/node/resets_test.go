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
type line struct {
	t      *testing.T
	u      *upstream
	pool   *pool
	dialed chan *net.TCPConn // the node's ends
	taken  chan *net.TCPConn // the app server's
	near   *net.TCPConn
	far    *net.TCPConn
	in     *bufio.Reader // of the far end
}

func newLine(t *testing.T) *line {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	n := &line{t: t, u: newUpstream(testTimeout, 2*testTimeout, 1, newSockets(1024, 0), newBudget(64)),
		dialed: make(chan *net.TCPConn, 10), taken: make(chan *net.TCPConn, 10)}
	n.u.restTime = 0
	n.pool = n.u.pool(l.Addr().String())
	t.Cleanup(func() { n.u.retire(n.pool) })
	dial := n.u.dial
	n.u.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil {
			n.dialed <- c.(*net.TCPConn)
		}
		return c, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.taken <- c.(*net.TCPConn)
		}
	}()
	return n
}

// up waits until both ends of the next connection are there.
func (n *line) up() {
	n.near, n.far = receive(n.t, n.dialed), receive(n.t, n.taken)
	n.t.Cleanup(func() { _ = n.far.Close() })
	_ = n.far.SetDeadline(time.Now().Add(testTimeout))
	n.in = bufio.NewReader(n.far)
}

// request reads a whole one at the far end.
func (n *line) request() {
	n.t.Helper()
	q, err := http.ReadRequest(n.in)
	if assert.NoError(n.t, err) {
		_, err = io.Copy(io.Discard, q.Body)
		assert.NoError(n.t, err)
	}
}

func (n *line) answer(text string) {
	n.t.Helper()
	_, err := io.WriteString(n.far, text)
	assert.NoError(n.t, err)
}

// reset resets the connection from the far end, and returns when the near one has it.
func (n *line) reset() {
	n.t.Helper()
	_ = n.far.SetLinger(0)
	_ = n.far.Close()
	n.reaches(tcpClosed)
}

const tcpClosed = unix.BPF_TCP_CLOSE

// reaches waits until the near end is in a state.
func (n *line) reaches(state uint8) {
	n.t.Helper()
	raw, err := n.near.SyscallConn()
	require.NoError(n.t, err)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond / 10) {
		var info *unix.TCPInfo
		if raw.Control(func(fd uintptr) {
			info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		}) != nil { // the node has closed it
			return
		}
		require.NoError(n.t, err)
		if info.State == state {
			return
		}
	}
	n.t.Errorf("the near end does not reach state %d", state)
}

// try makes an attempt in the background.
func (n *line) try(a *attempt) <-chan outcome {
	done := make(chan outcome, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		done <- n.u.attempt(ctx, n.pool, a)
	}()
	return done
}

// use has a connection serve one request and idle.
func (n *line) use() {
	n.t.Helper()
	done := n.try(message(n.t, nil))
	n.up()
	n.request()
	n.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	require.Equal(n.t, control.OK, receive(n.t, done).reason)
	require.Len(n.t, idleConns(n.u), 1)
}

// body gives its parts one by one; before each but the first it calls a function of the test.
type body struct {
	parts  [][]byte
	before func()
	begun  bool
}

func (b *body) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if b.begun {
		b.before()
	}
	b.begun = true
	n := copy(p, b.parts[0])
	if b.parts[0] = b.parts[0][n:]; len(b.parts[0]) == 0 {
		b.parts = b.parts[1:]
	}
	return n, nil
}

// A connection that is reset before or in a request's bytes, be it new or used again, surely ran
// nothing; one that breaks behind the last byte may have.
func TestResetAroundARequest(t *testing.T) {
	const piece = 2 * connBufferBytes
	for name, tc := range map[string]struct {
		parts  [][]byte
		within func(n *line) // before the second part
		after  func(n *line) // when all is written
		want   control.Outcome
	}{
		"before its bytes": {[][]byte{{1}, {2}}, (*line).reset, nil, control.ConnectFailed},
		"in its bytes": {[][]byte{make([]byte, piece), make([]byte, piece)}, func(n *line) {
			_, err := n.in.ReadByte()
			assert.NoError(n.t, err)
			n.reset()
		}, nil, control.ConnectFailed},
		"before its last byte": {[][]byte{make([]byte, piece), {2}}, func(n *line) {
			_, err := n.in.ReadByte()
			assert.NoError(n.t, err)
			n.reset()
		}, nil, control.ConnectFailed},
		"behind its bytes, unread": {[][]byte{{1}, {2}}, func(*line) {}, (*line).reset, control.ResetByPeer},
		"behind its bytes, read": {[][]byte{{1}, {2}}, func(*line) {}, func(n *line) {
			n.request()
			n.reset()
		}, control.ResetByPeer},
		"in its status line": {[][]byte{{1}, {2}}, func(*line) {}, func(n *line) {
			n.request()
			n.answer("HTTP/1.1 2")
			n.reset()
		}, control.ResetByPeer},
		"closed behind its bytes": {[][]byte{{1}, {2}}, func(*line) {}, func(n *line) {
			n.request()
			_ = n.far.Close()
		}, control.ResetByPeer},
		"closed in its status line": {[][]byte{{1}, {2}}, func(*line) {}, func(n *line) {
			n.request()
			n.answer("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1")
			_ = n.far.Close()
		}, control.ResetByPeer},
	} {
		for kind, reused := range map[string]bool{"new": false, "reused": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				n := newLine(t)
				if reused {
					n.use()
				}
				length := 0
				for _, p := range tc.parts {
					length += len(p)
				}
				a := message(t, nil)
				at, on := make(chan struct{}), make(chan struct{})
				a.req.Body = io.NopCloser(&body{parts: slices.Clone(tc.parts), before: func() { at <- struct{}{}; <-on }})
				a.req.ContentLength = int64(length)
				written := make(chan struct{})
				a.onWritten = func() { close(written) }
				done := n.try(a)
				receive(t, at)
				if !reused {
					n.up()
				}
				tc.within(n)
				on <- struct{}{}
				if tc.after != nil {
					receive(t, written)
					tc.after(n)
				}
				o := receive(t, done)
				assert.Equal(t, tc.want, o.reason, "%v", o.err)
				assert.Empty(t, idleConns(n.u))
				assert.Zero(t, n.u.sockets.open.Load(), "connections left open")
				select {
				case <-written:
					assert.NotNil(t, tc.after, "told as written")
				default:
					assert.Nil(t, tc.after, "not told as written")
				}
			})
		}
	}
}

// A reset is no end of an answer that has no length: what is held of it is dropped, and what is
// passed on breaks off.
func TestResetInAnAnswerOfNoLength(t *testing.T) {
	t.Run("held", func(t *testing.T) {
		n := newLine(t)
		done := n.try(message(t, nil))
		n.up()
		n.request()
		n.answer("HTTP/1.1 200 OK\r\n\r\nok")
		n.reset()
		o := receive(t, done)
		assert.Equal(t, control.ResetByPeer, o.reason)
		assert.Empty(t, o.body)
	})
	for end, want := range map[string]error{"reset": syscall.ECONNRESET, "closed": io.EOF} {
		t.Run("passed on, "+end, func(t *testing.T) {
			n := newLine(t)
			a := message(t, nil)
			from, to := io.Pipe()
			begun := make(chan []byte, 1)
			a.onStreamStart = func(o outcome, length int64) *io.PipeWriter {
				assert.EqualValues(t, -1, length)
				begun <- o.body
				return to
			}
			done := n.try(a)
			n.up()
			n.request()
			n.answer("HTTP/1.1 200 OK\r\n\r\n")
			whole := noise(maxHeldBytes + 1)
			n.answer(string(whole))
			got := receive(t, begun)
			for rest := make([]byte, streamBufferBytes); len(got) < len(whole); {
				k, err := from.Read(rest)
				require.NoError(t, err)
				got = append(got, rest[:k]...)
			}
			assert.Equal(t, whole, got)
			reason := control.OK
			if end == "reset" {
				reason = control.ResetByPeer
				n.reset()
			} else {
				_ = n.far.Close()
			}
			_, err := from.Read(make([]byte, 1))
			assert.ErrorIs(t, err, want)
			assert.Equal(t, reason, receive(t, done).reason)
			assert.Empty(t, idleConns(n.u))
		})
	}
}

// A second answer that comes late, on a connection given back, is never the answer to the next
// request: the connection rests for a while, in which the second answer is there to be seen.
func TestSecondAnswerComesLate(t *testing.T) {
	n := newLine(t)
	assert.Equal(t, idleRestTime, newUpstream(testTimeout, testTimeout, 1, newSockets(1024, 0), newBudget(64)).restTime)
	n.u.restTime = testTimeout // until the test has it over
	n.use()
	before, first := n.near, n.far

	done := n.try(message(t, nil))
	n.up()
	_, err := io.WriteString(first, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
	assert.NoError(t, err)
	n.request()
	n.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	o := receive(t, done)
	assert.Equal(t, control.OK, o.reason, "%v", o.err)
	assert.Equal(t, "ok", string(o.body))
	assert.EqualValues(t, 1, n.u.count.resting.Load())

	idle := idleConns(n.u)
	require.Len(t, idle, 2)
	assert.Same(t, before, idle[0].Conn)
	for end := time.Now().Add(testTimeout); nothingCame(t, before) && time.Now().Before(end); time.Sleep(time.Millisecond / 10) {
	}
	for _, c := range idle {
		c.restsUntil = time.Time{}
	}
	done = n.try(message(t, nil))
	n.request() // on the second one, the most recently used
	n.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	assert.Equal(t, "ok", string(receive(t, done).body))
	assert.Len(t, idleConns(n.u), 2)
	done = n.try(message(t, nil))
	n.up() // the first one is spoilt, and the second rests again
	n.request()
	n.answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	assert.Equal(t, "ok", string(receive(t, done).body))
	assert.EqualValues(t, 1, n.u.count.gone.Load())
}

// nothingCame tells whether nothing waits to be read on a connection, without reading it.
func nothingCame(t *testing.T, c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	n := 0
	require.NoError(t, raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}))
	return n <= 0
}
