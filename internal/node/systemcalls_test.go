package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/config"
)

// failingListener fails each call of Accept with the next of its errors before it accepts.
type failingListener struct {
	net.Listener
	failures atomic.Pointer[[]syscall.Errno]
	failed   int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if failures := l.failures.Load(); failures != nil && l.failed < len(*failures) {
		l.failed++
		errno := (*failures)[l.failed-1]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// acceptFailures are the errors of accept(2) that concern one connection or a shortage.
var acceptFailures = []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
	syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT}

// Guards against an error of accept that ends the node, as net/http does on any error that it does not know as temporary.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	var failing *failingListener
	r := newTestNodeWith(t, func(*config.Config) {}, func(n *Node) {
		counted := n.listener.(*countedListener)
		failing = &failingListener{Listener: counted.Listener}
		counted.Listener = failing
	})
	a := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	failing.failures.Store(&acceptFailures)
	for i := range 3 {
		c := r.dial()
		_, _ = io.WriteString(c, rawReadRequest("id-"+strconv.Itoa(i)))
		assert.Equal(t, http.StatusOK, readStatus(t, c))
		_ = c.Close()
	}
	assert.Equal(t, len(acceptFailures), failing.failed)
	assert.Zero(t, r.node.loop.stats.unserved.Load())
}

// Guards against a console that ends with an error of accept.
func TestConsoleGoesOnAfterErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{Listener: l}
	failing.failures.Store(&acceptFailures)
	bounded := &boundedListener{Listener: failing, open: make(map[*boundedConn]time.Time)}
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	c, err := bounded.Accept()
	require.NoError(t, err)
	_ = c.Close()
	_ = l.Close()
	_, err = bounded.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Failures of connect that pass, and that no server is to blame for, leave each request with one final response, and
// requests are served once they are over.
func TestRequestsEndWhileConnectFails(t *testing.T) {
	r := newTestNode(t)
	a := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0), a.target("s-2", 1))
	var failure atomic.Pointer[syscall.Errno]
	r.node.loop.post(func() {
		dial := r.node.upstream.dial
		r.node.upstream.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if errno := failure.Load(); errno != nil {
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", *errno)}
			}
			return dial(ctx, network, address)
		}
	})
	for i, errno := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ENFILE,
		syscall.EHOSTUNREACH, syscall.ETIMEDOUT} {
		failure.Store(&errno)
		r.node.upstream.closeIdleWhere(func(*serverConn) bool { return true })
		c := r.dial()
		_, _ = io.WriteString(c, strings.Replace(rawReadRequest("fails-"+strconv.Itoa(i)), "7000m", "500m", 1))
		status, took := timedStatus(t, c, time.Now())
		assert.Equal(t, http.StatusServiceUnavailable, status, errno)
		assert.Less(t, took, 500*time.Millisecond+lostAfter, errno)
		failure.Store(nil)
		assert.Eventually(t, func() bool {
			c := r.dial()
			_, _ = io.WriteString(c, rawReadRequest("works-"+strconv.Itoa(i)))
			return readStatus(t, c) == http.StatusOK
		}, testTimeout, 50*time.Millisecond, errno)
	}
}

// A shortage is one that passes; an address in use is none.
func TestIsShortage(t *testing.T) {
	assert.True(t, isShortage(&net.OpError{Op: "listen", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}))
	assert.False(t, isShortage(&net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}))
	assert.False(t, isShortage(errors.New("other")))
}

// A call that a signal interrupts is repeated.
func TestIgnoringEINTR(t *testing.T) {
	calls := 0
	n, err := ignoringEINTR(func() (int, error) {
		if calls++; calls < 4 {
			return -1, syscall.EINTR
		}
		return 7, nil
	})
	require.NoError(t, err)
	assert.Equal(t, 7, n)
	assert.Equal(t, 4, calls)
}
