package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/control"
)

// resting gives a client whose first request was answered, and the node's end of its connection,
// which seems to have rested for long.
func (r *testNode) idleClient() (net.Conn, *bufio.Reader, *clientConn) {
	r.t.Helper()
	c := r.dial()
	in := bufio.NewReader(c)
	_, _ = io.WriteString(c, rawGet)
	r.expectServed(in, "raw", false)
	k, f := r.nodeConn(c), r.node.front
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		_, idle := f.idleSince[k]
		if idle {
			f.idleSince[k] = time.Now().Add(-time.Minute)
		}
		f.mu.Unlock()
		if idle {
			return c, in, k
		}
	}
	r.t.Fatal("the connection does not rest")
	return nil, nil, nil
}

func (r *testNode) expectServed(in *bufio.Reader, id string, wantClose bool) {
	r.t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	if got, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(got) != "served "+id || resp.Close != wantClose {
		r.t.Errorf("%s %q, closes %v", resp.Status, got, resp.Close)
	}
}

// begins sends the first part of a second request and waits until net/http has it.
func (r *testNode) sendPartialRequest(c net.Conn, k *clientConn, part string) {
	r.t.Helper()
	_, _ = io.WriteString(c, part)
	r.waitUntil("the part", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.requestStarted && len(k.rawHeader) == len(part)
	})
}

var secondGet = strings.Replace(rawGet, "raw", "second", 1)

// A request of which a part was read is answered, whoever would close its connection just then.
func TestPartialRequestPreventsClose(t *testing.T) {
	for name, closeConn := range map[string]func(*testNode){
		"by a drain":              func(r *testNode) { r.node.front.closeIdle() },
		"for another one's place": func(r *testNode) { r.node.front.evict() },
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestNode(t)
			r.updateList(newTestServer(t, serveOK).target("s-1", 0))
			c, in, k := r.idleClient()
			r.sendPartialRequest(c, k, secondGet[:60])
			closeConn(r)
			_, _ = io.WriteString(c, secondGet[60:])
			r.expectServed(in, "second", false)
		})
	}
}

// A request that comes after its connection has been shut is not sent on, and its client reads
// the end of the connection, not a reset: it may come again.
func TestRequestAfterIdleCloseIsDiscarded(t *testing.T) {
	r := newTestNode(t)
	a := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	c, in, _ := r.idleClient()
	r.node.front.closeIdle()
	if _, err := io.WriteString(c, secondGet); err != nil {
		t.Error(err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Error(err)
	}
	_ = c.Close()
	for end := time.Now().Add(testTimeout); r.node.front.openConns.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the connection is not closed")
		}
	}
	if n := a.requestCount(); n != 1 {
		t.Errorf("sent on: %q", a.requests())
	}
}

// A place that is wanted is free at once, also where the client keeps its end open.
func TestEvictionFreesDescriptorAtOnce(t *testing.T) {
	r := newTestNode(t)
	r.updateList(newTestServer(t, serveOK).target("s-1", 0))
	_, in, _ := r.idleClient()
	open := r.node.upstream.sockets.openConns.Load()
	if !r.node.front.evict() || r.node.upstream.sockets.openConns.Load() != open-1 {
		t.Error("the place is not free")
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Error(err)
	}
}

// An answer that closes its connection is read whole, and then the connection's end, by a client
// that had sent more than the node read: a close over unread bytes would be a reset.
func TestResponseSurvivesUnreadBytes(t *testing.T) {
	r := newTestNode(t)
	more := strings.Repeat("x", maxBufferedBytes)
	for name, text := range map[string]string{
		"no request":        "\x00\x01 noise\r\n\r\n" + more,
		"behind a health":   "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n" + more,
		"behind a bad head": "GET /no-such-class HTTP/1.1\r\nHost: n\r\n" + validHeaders + "\r\n" + more,
	} {
		t.Run(name, func(t *testing.T) {
			c := r.dial()
			_, _ = io.WriteString(c, text)
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Error(err)
			}
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("%d, then %v", resp.StatusCode, err)
			}
		})
	}
}

// A request that began on a resting connection before SIGTERM, and ends when the node no longer
// listens and closes what rests, is served, and its answer ends the connection.
func TestPartialRequestServedDuringDrain(t *testing.T) {
	t.Parallel()
	r := newTestNode(t)
	r.updateList(newTestServer(t, serveOK).target("s-1", 0))
	c, in, k := r.idleClient()
	idle, idleIn, _ := r.idleClient()
	r.sendPartialRequest(c, k, secondGet[:60])
	r.stop()
	if _, err := idleIn.ReadByte(); err != io.EOF { // what rests is closed
		t.Error(err)
	}
	_ = idle.Close()
	for {
		d, err := net.Dial("tcp", r.node.Addr())
		if err != nil {
			break // no longer listening
		}
		_ = d.Close()
	}
	_, _ = io.WriteString(c, secondGet[60:])
	r.expectServed(in, "second", true)
	_ = c.Close()
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// A body that is stopped in the instant of its last byte, as an answer to it is there, ends net/http's
// look for a hang-up: its client has not left, and is answered.
func TestBodyStoppedAtLastByteIsNotADisconnect(t *testing.T) {
	r := newTestNode(t)
	ctx, cancel := context.WithCancel(t.Context())
	q := r.newRequest(http.MethodPost, "/visit-update", "id-1").WithContext(ctx)
	w := httptest.NewRecorder()
	x := &exchange{req: control.Request{ID: "id-1", Class: "visit-update", Plan: q.Header.Get(headerPlan), Tenant: "1", Tokens: 1, TenantNodes: 1, Write: true},
		upstreamReq: q, timeLeft: testTimeout, deadline: time.Now().Add(testTimeout), answer: make(chan answer, 1), stats: r.node.stats}
	readStarted, lastByte := make(chan struct{}), make(chan struct{})
	x.streamedBody = newClientBody(readerFunc(func([]byte) (int, error) { close(readStarted); <-lastByte; return 0, io.EOF }), http.NewResponseController(w))
	x.streamedBody.onComplete = x.markReceived
	read := make(chan error)
	go func() { _, err := x.streamedBody.Read(make([]byte, 1)); read <- err }()
	<-readStarted
	x.streamedBody.stop()
	close(lastByte)
	require.ErrorIs(t, <-read, io.EOF)
	cancel()
	answered := make(chan int, 1)
	go func() {
		defer func() { answered <- -1; _ = recover() }()
		a, _ := r.node.front.respond(w, q, x)
		answered <- a.status
	}()
	r.waitUntil("held", func() bool { return r.node.loop.exchanges["id-1"] != nil })
	r.node.loop.post(func() { r.node.loop.execute(control.Fail{ID: "id-1"}) })
	require.Equal(t, http.StatusBadGateway, receive(t, answered))
}
