package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sloestile/control"
)

// message is an attempt whose answer is dropped where it streams.
func newTestAttempt(t *testing.T, body []byte) *attempt {
	req, err := http.NewRequest(http.MethodPost, "http://origin.svc/visit-update", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return &attempt{req: req, onWritten: func() {}, onStreamStart: func(outcome, int64) *io.PipeWriter {
		from, to := io.Pipe()
		go func() { _, _ = io.Copy(io.Discard, from) }()
		return to
	}}
}

// raw is an app server that answers each request with the same bytes and hangs up.
func newFixedServer(t *testing.T, response string) string {
	a := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		c := hijack(w)
		_, _ = io.WriteString(c, response)
		_ = c.Close()
	})
	return a.Listener.Addr().String()
}

func TestAttemptOutcomes(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refusing.Close()
	for name, tc := range map[string]struct {
		response string // "" is an endpoint that refuses connections
		want     control.Outcome
	}{
		"served":               {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK},
		"served in chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", control.OK},
		"after an interim one": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.OK},
		"error":                {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", control.Errored},
		"not found":            {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", control.Errored},
		"503 of no account":    {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", control.Errored},
		"504 marked otherwise": {"HTTP/1.1 504 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", control.Errored},
		"503 turned away":      {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.Overloaded},
		"504 turned away":      {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.Overloaded},
		"500 marked":           {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", control.Errored},
		"hung up":              {" ", control.ResetByPeer},
		"no HTTP":              {"what?\r\n\r\n", control.ResetByPeer},
		"cut short":            {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", control.ResetByPeer},
		"a chunk cut short":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", control.ResetByPeer},
		"too large":            {"HTTP/1.1 200 OK\r\nContent-Length: 99000000\r\n\r\n", control.ResetByPeer},
		"an endless head":      {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 200000), control.ResetByPeer},
		"no stated length":     {"HTTP/1.1 200 OK\r\n\r\nok", control.OK},
		"two lengths":          {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer},
		"an odd chunk":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n", control.ResetByPeer},
		"more behind":          {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\noknoise", control.OK},
		"a second copy":        {strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2), control.OK},
		"interim without end":  {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9000), control.ResetByPeer},
		"switched":             {"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", control.ResetByPeer},
		"no content":           {"HTTP/1.1 204 No Content\r\n\r\n", control.Errored},
		"not modified":         {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", control.Errored},
		"a head alone":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", control.ResetByPeer},
		"half a status line":   {"HTTP/1.1 2", control.ResetByPeer},
		"half a last chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", control.ResetByPeer},
		"a chunk too long":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n", control.ResetByPeer},
		"an interim, then end": {"HTTP/1.1 103 Early Hints\r\n\r\n", control.ResetByPeer},
		"refused":              {"", control.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := refusing.Addr().String()
			if tc.response != "" {
				endpoint = newFixedServer(t, tc.response)
			}
			u := newUpstream(testTimeout, testTimeout, 1, newSockets(1024, 0), newBudget(64))
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			if o := u.attempt(ctx, u.newPool(endpoint), newTestAttempt(t, []byte("body"))); o.reason != tc.want {
				t.Errorf("%d (%v), not %d", o.reason, o.err, tc.want)
			} else if o.reason == control.OK && string(o.body) != "ok" {
				t.Errorf("body %q", o.body)
			}
		})
	}
}

// What breaks before its last byte is written has not run.
func TestResetWhileWritingIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		if c, err := l.Accept(); err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	u := newUpstream(testTimeout, testTimeout, 1, newSockets(1024, 0), newBudget(64))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if o := u.attempt(ctx, u.newPool(l.Addr().String()), newTestAttempt(t, make([]byte, 64<<20))); o.reason != control.ConnectFailed {
		t.Errorf("%d (%v)", o.reason, o.err)
	}
}

// A peer that takes nothing, or answers nothing, holds an attempt no longer than its time.
func TestSilentServerTimesOut(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts in the kernel only
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for name, tc := range map[string]struct {
		body []byte
		want control.Outcome
	}{
		"takes nothing":   {make([]byte, 64<<20), control.ConnectFailed},
		"answers nothing": {[]byte("body"), control.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			socks := newSockets(1024, 0)
			u := newUpstream(testTimeout, testTimeout, 1, socks, newBudget(64))
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if o := u.attempt(ctx, u.newPool(l.Addr().String()), newTestAttempt(t, tc.body)); o.reason != tc.want {
				t.Errorf("%d (%v), not %d", o.reason, o.err, tc.want)
			}
			if n := socks.openConns.Load(); n != 0 {
				t.Errorf("%d connections left open", n)
			}
		})
	}
}

func TestCancelledAttempt(t *testing.T) {
	asked := make(chan struct{})
	a := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(asked)
		<-r.Context().Done() // the edge node closes its connection
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-asked
		cancel()
	}()
	u := newUpstream(testTimeout, testTimeout, 1, newSockets(1024, 0), newBudget(64))
	if o := u.attempt(ctx, u.newPool(a.Listener.Addr().String()), newTestAttempt(t, nil)); o.reason != control.Cancelled {
		t.Errorf("%d (%v)", o.reason, o.err)
	}
}

func TestServerReportHeaders(t *testing.T) {
	o := outcome{header: http.Header{headerMeter: {"85"}, headerCost: {"3"},
		headerLoad: {"inflight=7,queue=2, util=0.61,latency_ms=12.5,colour=red,qps=x"}}}
	if o.meterReading() != 86 || o.trueCost(4) != 3 {
		t.Errorf("used %d, cost %g", o.meterReading(), o.trueCost(4))
	}
	if l := *o.loadReport(); l != (control.LoadReport{Active: 7, Waiting: 2, CPU: 0.61, AvgMS: 12.5, RPS: -1, ErrRPS: -1}) {
		t.Errorf("load %+v", l)
	}
	for _, odd := range []string{"", "x", "-1", "NaN", "1e400", "1e300", "99999", "inflight=-1,util=NaN", "queue=1e300"} {
		o := outcome{header: http.Header{headerMeter: {odd}, headerCost: {odd}, headerLoad: {odd}}}
		if o.meterReading() != 0 || o.trueCost(4) != 0 || o.loadReport() != nil {
			t.Errorf("%q: used %d, cost %g", odd, o.meterReading(), o.trueCost(4))
		}
	}
}

// An answer that stops half way, or says that it is too long, is a reset as soon as that is
// known: the connection stays open and silent, and the attempt must not wait for its time.
func TestStalledResponseIsAReset(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"in its head":       "HTTP/1.1 200 OK\r\nContent-Le",
		"in its body":       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"in a chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"of no length":      "HTTP/1.1 200 OK\r\n\r\nok",
		"of 3 GB":           "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
		"behind an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			over := make(chan struct{})
			a := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(hijack(w), text)
				<-over
			})
			t.Cleanup(func() { close(over) })
			socks := newSockets(1024, 0)
			u := newUpstream(testTimeout, testTimeout, 1, socks, newBudget(64))
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			o := u.attempt(ctx, u.newPool(a.Listener.Addr().String()), newTestAttempt(t, nil))
			if o.reason != control.ResetByPeer || ctx.Err() != nil {
				t.Errorf("%d (%v)", o.reason, o.err)
			}
			if n := socks.openConns.Load(); n != 0 {
				t.Errorf("%d connections left open", n)
			}
		})
	}
}

// An interim answer starts no clock: the answer itself may take its time.
func TestInterimResponseStartsNoTimeout(t *testing.T) {
	t.Parallel()
	a := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		time.Sleep(responseIdleTimeout + responseIdleTimeout/3) // has to pass
		_, _ = io.WriteString(w, "ok")
	})
	u := newUpstream(testTimeout, testTimeout, 1, newSockets(1024, 0), newBudget(64))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if o := u.attempt(ctx, u.newPool(a.Listener.Addr().String()), newTestAttempt(t, nil)); o.reason != control.OK || string(o.body) != "ok" {
		t.Errorf("%d (%v) %q", o.reason, o.err, o.body)
	}
}

// The clock of one answer's rest is none of the next attempt's on that connection.
func TestIdleTimeoutEndsWithItsResponse(t *testing.T) {
	t.Parallel()
	asked := 0
	a := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if asked++; asked > 1 {
			time.Sleep(responseIdleTimeout + responseIdleTimeout/3) // has to pass
		}
		_, _ = io.WriteString(w, "o")
		w.(http.Flusher).Flush() // a chunk of its own, so that there is a rest to wait for
		_, _ = io.WriteString(w, "k")
	})
	u := newUpstream(testTimeout, 2*testTimeout, 1, newSockets(1024, 0), newBudget(64))
	u.reuseDelay = 0 // at once
	p := u.newPool(a.Listener.Addr().String())
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if o := u.attempt(ctx, p, newTestAttempt(t, nil)); o.reason != control.OK || string(o.body) != "ok" {
			t.Errorf("%d (%v) %q", o.reason, o.err, o.body)
		}
		cancel()
	}
	if n := u.sockets.openConns.Load(); n != 1 {
		t.Errorf("%d connections, not the same one", n)
	}
}

// What comes behind an answer, before or after its connection is pooled, is never the next
// answer.
func TestExtraBytesAreNotTheNextResponse(t *testing.T) {
	const good, extra = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
	first := make(chan net.Conn, 1)
	asked := 0
	a := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if asked++; asked > 1 {
			_, _ = io.WriteString(w, "ok")
			return
		}
		c := hijack(w)
		_, _ = io.WriteString(c, good)
		first <- c
	})
	u := newUpstream(testTimeout, 2*testTimeout, 1, newSockets(1024, 0), newBudget(64))
	u.reuseDelay = 0 // at once
	p := u.newPool(a.Listener.Addr().String())
	for i := range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		o := u.attempt(ctx, p, newTestAttempt(t, nil))
		cancel()
		if o.reason != control.OK || string(o.body) != "ok" {
			t.Errorf("%d (%v) %q", o.reason, o.err, o.body)
		}
		if i > 0 {
			break
		}
		c := receive(t, first)
		defer func() { _ = c.Close() }()
		idle := idleConns(u)[0]
		_, _ = io.WriteString(c, extra)
		// quiet reads a byte; there has to be one left for try to find.
		for end := time.Now().Add(testTimeout); idle.isQuiet() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}
