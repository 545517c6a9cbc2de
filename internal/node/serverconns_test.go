package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sloestile/control"
)

// Only an open connection is reused: a request on one that the server has closed while it was idle would end in a
// reset.
func TestOnlyOpenIdleConnectionsAreReused(t *testing.T) {
	var useRawConn bool
	var from []string
	conns := make(map[string]net.Conn)
	a := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		from = append(from, r.RemoteAddr)
		if !useRawConn {
			serveOK(w, r)
			return
		}
		c := hijack(w)
		conns[r.RemoteAddr] = c
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	socks := newSockets(1024, 0)
	u := newUpstream(testTimeout, 2*testTimeout, 1, socks, newBudget(64))
	u.reuseDelay = 0 // reusable at once
	p := u.newPool(a.Listener.Addr().String())
	try := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if o := u.attempt(ctx, p, newTestAttempt(t, nil)); o.reason != control.OK {
			t.Fatalf("outcome %d (%v), want OK", o.reason, o.err)
		}
	}
	try()
	useRawConn = true
	try()
	if from[0] != from[1] {
		t.Error("an open connection was not reused")
	}
	idle := p.idle[0]
	_ = conns[from[1]].Close()
	for end := time.Now().Add(testTimeout); idle.isQuiet() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	useRawConn = false
	try()
	if from[2] == from[1] {
		t.Error("a closed connection was reused")
	}
	u.maxIdleAge = 0 // all connections have been idle for too long
	try()
	if from[3] == from[2] {
		t.Error("a connection that was idle for too long was reused")
	}
	if n := socks.openConns.Load(); n != 1 {
		t.Errorf("%d connections are open, want only the last", n)
	}
}

// An attempt that fails because the node has no descriptor left does not count against the server.
func TestDescriptorLimitIsNotAServerFailure(t *testing.T) {
	a := newTestServer(t, serveOK)
	socks := newSockets(0, 0)
	socks.limit.Store(0)
	u := newUpstream(testTimeout, testTimeout, 1, socks, newBudget(64))
	if o := u.attempt(context.Background(), u.newPool(a.Listener.Addr().String()), newTestAttempt(t, nil)); o.reason != control.NeverSent || a.requestCount() > 0 {
		t.Errorf("outcome %d (%v) after %d requests, want NeverSent and no request", o.reason, o.err, a.requestCount())
	}
}

// At the limit on descriptors, an idle connection to a server is closed to open a new one.
func TestIdleServerConnEvictedAtDescriptorLimit(t *testing.T) {
	a := newTestServer(t, serveOK)
	b := newTestServer(t, serveOK)
	socks := newSockets(0, 0)
	socks.limit.Store(1)
	u := newUpstream(testTimeout, 2*testTimeout, 1, socks, newBudget(64))
	for _, x := range []*testServer{a, b, a} {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if o := u.attempt(ctx, u.newPool(x.Listener.Addr().String()), newTestAttempt(t, nil)); o.reason != control.OK {
			t.Errorf("outcome %d (%v), want OK", o.reason, o.err)
		}
		cancel()
		if n := socks.openConns.Load(); n != 1 {
			t.Errorf("%d connections are open, want 1", n)
		}
	}
}

// A node of a large fleet keeps few idle connections to one server, so that their sum over the fleet is bounded.
func TestIdleConnectionsBoundedAcrossFleet(t *testing.T) {
	a := newTestServer(t, func(http.ResponseWriter, *http.Request) {})
	for fleetSize, want := range map[int]int{1: 5, 3: 5, 16: 4, 80: 2, 100: 2} {
		socks := newSockets(1024, 0)
		u := newUpstream(testTimeout, testTimeout, fleetSize, socks, newBudget(64))
		p := u.newPool(a.Listener.Addr().String())
		for range 5 {
			c, err := u.open(t.Context(), p.endpoint)
			if err != nil {
				t.Fatal(err)
			}
			defer u.put(p, c)
		}
		t.Cleanup(func() {
			if n := len(p.idle); n != want || socks.openConns.Load() != int64(want) {
				t.Errorf("in a fleet of %d, a node keeps %d idle connections to a server and has %d open, want %d",
					fleetSize, n, socks.openConns.Load(), want)
			}
			u.retire(p)
		})
	}
}
