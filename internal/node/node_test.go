package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloestile/internal/discovery"
)

// Path, query, idempotency key and body must reach the server unchanged, and the response the client; the remaining
// time is reduced.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	r := newTestNode(t)
	a := newTestServer(t, func(w http.ResponseWriter, req *http.Request) {
		left, err := strconv.Atoi(strings.TrimSuffix(req.Header.Get(headerTimeLeft), "m"))
		// The server gets less time than the client, so that the last byte of the response reaches the client in time.
		if err != nil || left < 1 || left > 7000-int(responseMargin.Milliseconds()) {
			t.Errorf("time left %q", req.Header.Get(headerTimeLeft))
		}
		w.Header().Set("Content-Type", "text/x-roster")
		w.Header().Set(headerMeter, "85")
		serveOK(w, req)
	})
	r.updateList(a.target("s-1", 0))
	post := r.newRequest(http.MethodPost, "/visit-update/a%2Fb/c", "id-1")
	post.Body, post.ContentLength = io.NopCloser(strings.NewReader("swap")), 4
	resp, body := r.do(post)
	if resp.StatusCode != 200 || body != "served id-1" || resp.Header.Get("Content-Type") != "text/x-roster" {
		t.Errorf("%s %q %v", resp.Status, body, resp.Header)
	}
	if resp.Header.Get(headerMeter) != "" {
		t.Error("the meter header, which is for edge nodes, was sent to the client")
	}
	if want := "POST /visit-update/a%2Fb/c?account=00000000b4d65521 k-id-1 swap"; a.requests()[0] != want {
		t.Errorf("forwarded %q, want %q", a.requests()[0], want)
	}
}

// /healthz must fail until a server is listed, so that clients do not choose this node.
func TestHealthz(t *testing.T) {
	r := newTestNode(t)
	health := func() int {
		req, _ := http.NewRequest(http.MethodGet, "http://"+r.node.Addr()+"/healthz", nil)
		resp, _ := r.do(req)
		return resp.StatusCode
	}
	if s := health(); s != http.StatusServiceUnavailable {
		t.Errorf("/healthz: status %d while no server is listed", s)
	}
	r.updateList(discovery.Target{UID: "s-1", Endpoint: "127.0.0.1:1", State: "up"})
	r.waitUntil("ready", r.node.front.ready.Load)
	if s := health(); s != http.StatusOK {
		t.Errorf("/healthz: status %d with a listed server", s)
	}
}

// A request that the decision module rejects is answered at once with Retry-After, and is not sent to a server.
func TestRejectionHasRetryAfter(t *testing.T) {
	r := newTestNode(t)
	a := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	for i := range 100 {
		q := r.newRequest(http.MethodGet, "/roster-read", "id-"+strconv.Itoa(i))
		q.Header.Set(headerPlan, "basic") // a burst of 8 tokens
		resp, _ := r.do(q)
		if resp.StatusCode == http.StatusOK {
			continue
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 {
			t.Errorf("%s %v", resp.Status, resp.Header)
		}
		if a.requestCount() != i {
			t.Errorf("%d requests forwarded, but the first rejection came after %d", a.requestCount(), i)
		}
		return
	}
	t.Error("none of 100 requests was rejected")
}

// A request that is idempotent with a key and may have been executed is retried only at servers of the same group, and
// with its key.
func TestKeyedRequestIsRetriedAfterReset(t *testing.T) {
	r := newTestNode(t)
	fails := true
	serve := func(w http.ResponseWriter, q *http.Request) {
		if fails {
			fails = false
			resetConn(w, q)
			return
		}
		serveOK(w, q)
	}
	a, b := newTestServer(t, serve), newTestServer(t, serve)
	r.updateList(a.target("s-1", 0), b.target("s-2", 1))
	resp, body := r.do(r.newRequest(http.MethodPost, "/visit-update", "id-1"))
	if resp.StatusCode != 200 || body != "served id-1" {
		t.Errorf("%s %q", resp.Status, body)
	}
	if n := a.requestCount() * b.requestCount(); n != 0 || a.requestCount()+b.requestCount() != 2 {
		t.Errorf("attempts in both groups or not two: %v and %v", a.requests(), b.requests())
	}
	for _, s := range append(a.requests(), b.requests()...) {
		if !strings.Contains(s, "k-id-1") {
			t.Errorf("attempt %q lacks its key", s)
		}
	}
}

// At the client's deadline the attempt's connection is closed and the client gets a response: 503 if the request may be
// retried safely, 504 if it may have been executed.
func TestRequestTimesOut(t *testing.T) {
	t.Parallel()
	for class, tc := range map[string]struct {
		method string
		want   int
	}{
		"/roster-read":  {http.MethodGet, http.StatusServiceUnavailable}, // idempotent
		"/visit-update": {http.MethodPost, http.StatusGatewayTimeout},    // may have been executed
	} {
		t.Run(class, func(t *testing.T) {
			r := newTestNode(t)
			connClosed := make(chan struct{})
			a := newTestServer(t, func(_ http.ResponseWriter, q *http.Request) {
				<-q.Context().Done()
				close(connClosed)
			})
			r.updateList(a.target("s-1", 0))
			q := r.newRequest(tc.method, class, "id-1")
			q.Header.Set(headerTimeLeft, "1500000u")
			if resp, _ := r.do(q); resp.StatusCode != tc.want {
				t.Errorf("%s", resp.Status)
			}
			receive(t, connClosed)
			if n := a.requestCount(); n != 1 {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

// The ID of a request whose client has left may be reused only after its attempt has ended.
func TestClientLeavesBeforeTheResponse(t *testing.T) {
	r := newTestNode(t)
	started, finish := make(chan struct{}), make(chan struct{})
	a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
		started <- struct{}{}
		<-finish
		serveOK(w, q)
	})
	r.updateList(a.target("s-1", 0))
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		resp, err := http.DefaultTransport.RoundTrip(r.newRequest(http.MethodGet, "/roster-read", "id-1").WithContext(ctx))
		if err == nil {
			_ = resp.Body.Close()
		}
		left <- err
	}()
	receive(t, started)
	if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != http.StatusConflict {
		t.Errorf("second request with an ID that is in flight: %s", resp.Status)
	}
	leave()
	if err := receive(t, left); err == nil {
		t.Error("the client that left got a response")
	}
	r.waitUntil("detection of the closed connection", func() bool { x := r.node.loop.exchanges["id-1"]; return x != nil && x.done })
	close(finish)
	r.waitUntil("end of the attempt", func() bool { return len(r.node.loop.exchanges) == 0 })
	go func() { <-started }()
	if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != 200 {
		t.Errorf("request with a reused ID: %s", resp.Status)
	}
}

// Open requests must be answered if the decision module panics, and Run must return the panic as an error.
func TestDecisionModulePanics(t *testing.T) {
	r := newTestNode(t)
	answered := r.holdRequest()
	r.node.loop.post(func() { panic("no such share") })
	if s := receive(t, answered); s != http.StatusBadGateway {
		t.Errorf("%d", s)
	}
	err := receive(t, r.ended)
	if err == nil || !strings.Contains(err.Error(), "no such share") {
		t.Errorf("Run returned %v", err)
	}
	r.ended <- err
}

// The decision module's clock is Unix time, so that the start of a server that is older than the node can be expressed.
func TestClockIsUnixTime(t *testing.T) {
	r := newTestNode(t)
	if d := time.Since(time.Unix(0, int64(r.node.loop.now()))); d < -time.Minute || d > time.Minute {
		t.Errorf("the clock differs from Unix time by %v", d)
	}
}
