package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/control"
	"sloestile/internal/config"
)

// blockedDialer delays connections to servers until the test allows them.
type blockedDialer struct {
	dialing chan context.Context // receives the context of each attempt that waits for its connection
	proceed chan struct{}        // each value lets one connection open
}

// blockDials delays the node's connections to servers until the test allows them. They also open after their attempt's
// context has ended, as a connection may open at that very moment.
func blockDials(r *testNode) *blockedDialer {
	d := &blockedDialer{dialing: make(chan context.Context, 10), proceed: make(chan struct{})}
	r.node.loop.post(func() {
		r.node.upstream.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			d.dialing <- ctx
			<-d.proceed
			return (&net.Dialer{KeepAlive: -1}).DialContext(context.WithoutCancel(ctx), network, address)
		}
	})
	return d
}

// rawReadRequest returns the text of a read request with an ID.
func rawReadRequest(id string) string {
	return strings.Replace("GET /roster-read?account=00000000b4d65521 HTTP/1.1\r\nHost: o\r\n"+validHeaders+"\r\n", "raw", id, 1)
}

// waitForEnd waits until the loop has released a request.
func (r *testNode) waitForEnd(id string) {
	r.t.Helper()
	r.waitUntil("release of "+id, func() bool { return r.node.loop.exchanges[id] == nil })
}

// A request that ends while its connection opens must not be written to that connection later. The connection is kept
// and serves another request.
func TestRequestEndsWhileItsConnectionOpens(t *testing.T) {
	for name, end := range map[string]func(r *testNode, c net.Conn, attempt context.Context){
		"client leaves": func(r *testNode, c net.Conn, _ context.Context) {
			_ = c.Close()
			r.waitUntil("the hang-up", func() bool { return r.node.loop.exchanges["id-1"].done })
		},
		"request is answered": func(r *testNode, c net.Conn, _ context.Context) {
			r.node.loop.post(func() { r.node.loop.execute(control.Fail{ID: "id-1"}) })
			assert.Equal(r.t, http.StatusBadGateway, readStatus(r.t, c))
		},
		"deadline passes": func(_ *testNode, _ net.Conn, attempt context.Context) { <-attempt.Done() },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestNode(t)
			a := newTestServer(t, serveOK)
			r.updateList(a.target("s-1", 0))
			d := blockDials(r)
			c := r.dial()
			_, _ = io.WriteString(c, strings.Replace(rawReadRequest("id-1"), "7000m", "300m", 1))
			end(r, c, receive(t, d.dialing))
			d.proceed <- struct{}{}
			r.waitForEnd("id-1")
			assert.Empty(t, a.requests(), "the request was written after its end")
			assert.Len(t, idleConns(r.node.upstream), 1, "idle connections")

			again := r.dial()
			_, _ = io.WriteString(again, rawReadRequest("id-2"))
			assert.Equal(t, http.StatusOK, readStatus(t, again))
			assert.Len(t, a.requests(), 1)
			assert.Empty(t, d.dialing, "another connection was opened instead of the idle one")
			r.waitForMetric("node_backend_calls_total", 1)
			r.waitForMetric("node_inflight", 0)
		})
	}
}

// If the client leaves between a failed attempt and its retry, or while the request is queued, no attempt must start.
func TestNoAttemptAfterTheClientLeft(t *testing.T) {
	left := func(r *testNode, c net.Conn) {
		_ = c.Close()
		r.waitUntil("the hang-up", func() bool { x := r.node.loop.exchanges["id-1"]; return x == nil || x.done })
	}
	t.Run("before a retry", func(t *testing.T) {
		r := newTestNode(t)
		started, fail := make(chan struct{}), make(chan struct{})
		a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
			if q.Header.Get(headerID) != "id-1" {
				serveOK(w, q)
				return
			}
			started <- struct{}{}
			<-fail
			resetConn(w, q)
		})
		r.updateList(a.target("s-1", 0), a.target("s-2", 0))
		c := r.dial()
		_, _ = io.WriteString(c, rawReadRequest("id-1"))
		receive(t, started)
		left(r, c)
		close(fail)
		r.waitForEnd("id-1")
		assert.Len(t, a.requests(), 1)
	})
	t.Run("in the queue", func(t *testing.T) {
		r := newTestNode(t)
		c := r.dial()
		_, _ = io.WriteString(c, rawReadRequest("id-1"))
		r.waitUntil("the queued request", func() bool { return r.node.loop.exchanges["id-1"] != nil })
		left(r, c)
		a := newTestServer(t, serveOK)
		r.updateList(a.target("s-1", 0))
		again := r.dial()
		_, _ = io.WriteString(again, rawReadRequest("id-2"))
		assert.Equal(t, http.StatusOK, readStatus(t, again))
		assert.Len(t, a.requests(), 1)
	})
}

// A retry that starts within the idempotency window must not be written after the window's end if its connection opens
// too late.
func TestRetryStaysWithinIdempotencyWindow(t *testing.T) {
	const window = time.Second
	for name, late := range map[string]bool{"in time": false, "too late": true} {
		t.Run(name, func(t *testing.T) {
			r := newTestNodeWith(t, func(c *config.Config) { c.Settings.Classes[1].IdempotencyWindow = window })
			first := true
			a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
				if first {
					first = false
					resetConn(w, q)
					return
				}
				serveOK(w, q)
			})
			r.updateList(a.target("s-1", 0))
			d := blockDials(r)
			c := r.dial()
			_, _ = io.WriteString(c, postHeaders+"Content-Length: 4\r\n\r\nswap")
			receive(t, d.dialing)
			opened := time.Now() // the idempotency window began before
			d.proceed <- struct{}{}
			receive(t, d.dialing)
			attempts, status := 2, http.StatusOK
			if late {
				time.Sleep(time.Until(opened.Add(window))) // wait for the end of the window
				attempts, status = 1, http.StatusBadGateway
			}
			d.proceed <- struct{}{}
			assert.Equal(t, status, readStatus(t, c))
			assert.Len(t, a.requests(), attempts)
			r.waitForEnd("raw")
		})
	}
}

// An attempt either begins or is canceled, never both, even if both happen at the same time.
func TestAttemptStartsOrIsCanceled(t *testing.T) {
	var s startState
	assert.True(t, s.tryStart())
	s.cancel()
	assert.False(t, s.tryStart(), "the attempt began twice")
	s = startState{}
	s.cancel()
	assert.False(t, s.tryStart(), "the attempt began after its cancellation")

	begun, off := make(chan bool), make(chan struct{})
	for range 1000 {
		s := &startState{}
		go func() { begun <- s.tryStart() }()
		go func() { s.cancel(); off <- struct{}{} }()
		first := <-begun
		<-off
		assert.Equal(t, first, s.state.Load() == startDone)
	}
}

// A server may begin to drain while a connection to it opens. The connection must open within the drain grace or fail,
// even if the configured connect timeout is longer.
func TestConnectTimeoutIsAtMostDrainGrace(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer func() { _ = syscall.Close(fd) }()
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	at, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	full := false
	for range 10 { // until the accept queue is full, so that further connections get no response
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if full = err != nil; full {
			break
		}
		defer func() { _ = c.Close() }()
	}
	require.True(t, full)
	r := newTestNodeWith(t, func(c *config.Config) {
		c.ServerConnectTimeout, c.Settings.DrainGrace = time.Minute, 50*time.Millisecond
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err = r.node.upstream.dial(ctx, "tcp", addr)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "%v", err)
	require.NoError(t, ctx.Err(), "the dial took longer than the drain grace")
}
