package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sloestile/internal/config"
	"sloestile/internal/discovery"
	"sloestile/internal/discovery/discoverytest"
)

// testTimeout bounds every wait of the tests. It is far longer than any wait should take.
const testTimeout = 30 * time.Second

// receive returns the next value of a channel and fails the test after testTimeout.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing received within the test timeout")
		panic("unreachable")
	}
}

// testNode is a running node with a discovery service. Tests start servers with newTestServer.
type testNode struct {
	t         *testing.T
	discovery *discoverytest.Server
	node      *Node
	stop      context.CancelFunc
	ended     chan error // receives the result of Run
	applied   chan int64 // revisions of the updates that were passed to the loop
	revision  int
	listener  *recordingListener
}

// recordingListener records the connections that a node has accepted from clients.
type recordingListener struct {
	net.Listener
	accepted sync.Map // accepted connections by the client's address
}

func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Store(c.RemoteAddr().String(), c)
	}
	return c, err
}

// nodeConn returns the node's end of a client's connection.
func (r *testNode) nodeConn(client net.Conn) *clientConn {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c, ok := r.listener.accepted.Load(client.LocalAddr().String()); ok {
			return c.(*clientConn)
		}
	}
	r.t.Fatal("the node has not accepted the connection")
	return nil
}

// newTestNode starts a node with the test configuration.
func newTestNode(t *testing.T) *testNode { return newTestNodeWith(t, func(*config.Config) {}) }

// newTestNodeWith starts a node. Before that, change may change its configuration and configure the node itself. The
// node is stopped at the end of the test.
func newTestNodeWith(t *testing.T, change func(*config.Config), configure ...func(*Node)) *testNode {
	r := &testNode{t: t, discovery: discoverytest.NewServer(t), ended: make(chan error, 1), applied: make(chan int64, 100), revision: 7}
	cfg, err := config.Load("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Discovery, cfg.Console = r.discovery.Addr(), "127.0.0.1:0"
	change(&cfg)
	if r.node, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	r.node.drainTimeout = drainClosePeriod + 800*time.Millisecond // keep drains short
	if p := r.node.loop.persistence; p != nil {
		p.closeTimeout = testTimeout // a process unlocks its folder at its exit, a test's node only if its final write ends
	}
	for _, f := range configure {
		f(r.node)
	}
	r.listener = &recordingListener{Listener: r.node.listener}
	r.node.listener = r.listener
	r.node.upstream.reuseDelay = 0 // reuse connections at once, so that a wrong reuse shows
	onUpdate := r.node.onUpdate
	r.node.onUpdate = func(u discovery.Update) {
		onUpdate(u)
		r.applied <- u.Rev
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := false
	r.stop = func() { stopped = true; stop() }
	go func() { r.ended <- r.node.Run(ctx) }()
	t.Cleanup(func() {
		if !stopped {
			r.node.drainTimeout = drainIdleDelay // this drain is not tested
		}
		stop()
		select {
		case err := <-r.ended:
			r.ended <- err
		case <-time.After(testTimeout):
			t.Error("the node did not stop")
		}
	})
	return r
}

var lastHost atomic.Int64

// uniqueHost returns a loopback address that no other test or test process uses, so that a freed port on it is not
// taken by another one.
func uniqueHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 230+lastHost.Add(1), pid>>8&0xff, pid&0xff)
}

// updateList sends a delta update of the endpoint list and returns once the decision module has it.
func (r *testNode) updateList(targets ...discovery.Target) {
	r.t.Helper()
	r.revision++
	line, err := json.Marshal(discovery.Update{Rev: int64(r.revision), Targets: targets})
	if err != nil {
		r.t.Fatal(err)
	}
	r.discovery.Chunks <- string(line) + "\n"
	for receive(r.t, r.applied) != int64(r.revision) {
	}
}

// waitUntil calls holds on the loop's goroutine until it returns true. It fails the test after testTimeout.
func (r *testNode) waitUntil(condition string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		seen := make(chan bool, 1)
		if !r.node.loop.post(func() { seen <- holds() }) {
			r.t.Fatalf("%s: the loop has ended", condition)
		}
		if <-seen {
			return
		}
	}
	r.t.Fatalf("%s: condition does not hold within the test timeout", condition)
}

// newRequest returns a client's request. Tests may change it before they send it.
func (r *testNode) newRequest(method, path, id string) *http.Request {
	req, err := http.NewRequest(method, "http://"+r.node.Addr()+path+"?account=00000000b4d65521", nil)
	if err != nil {
		r.t.Fatal(err)
	}
	for k, v := range map[string]string{headerID: id, headerPlan: "enterprise", headerTimeLeft: "7000m",
		headerWeight: "units=1,spread=1,first=0"} {
		req.Header.Set(k, v)
	}
	if method == http.MethodPost {
		req.Header.Set(headerKey, "k-"+id)
	}
	return req
}

// do sends a request and returns the response with its body.
func (r *testNode) do(req *http.Request) (*http.Response, string) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := http.DefaultTransport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return resp, string(body)
}

// holdRequest sends a request that the server never answers, and returns once the server has received it. The channel
// receives the status of the final response.
func (r *testNode) holdRequest() <-chan int {
	r.t.Helper()
	requestReceived := make(chan struct{})
	serve := neverAnswer(r.t)
	a := newTestServer(r.t, func(w http.ResponseWriter, q *http.Request) { close(requestReceived); serve(w, q) })
	r.updateList(a.target("s-1", 0))
	answered := make(chan int, 1)
	go func() {
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
		answered <- resp.StatusCode
	}()
	receive(r.t, requestReceived)
	return answered
}

// testServer is a rating server that records the requests that it receives.
type testServer struct {
	*httptest.Server
	mu       sync.Mutex
	received []string // method, URI and key of each request
}

// newTestServer starts a server that records its requests and passes them to serve.
func newTestServer(t *testing.T, serve http.HandlerFunc) *testServer {
	a := &testServer{}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		a.mu.Lock()
		a.received = append(a.received, strings.TrimSpace(fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Header.Get(headerKey), " ", string(body))))
		a.mu.Unlock()
		serve(w, r)
	}))
	t.Cleanup(a.Close)
	return a
}

// requests returns the requests received so far.
func (a *testServer) requests() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.received)
}

func (a *testServer) requestCount() int { return len(a.requests()) }

func (a *testServer) target(uid string, group int) discovery.Target {
	return discovery.Target{UID: uid, Endpoint: a.Listener.Addr().String(), Zone: "z1", Group: group, State: "up", Capacity: 1}
}

// idleConns returns the idle connections to servers.
func idleConns(u *upstream) []*serverConn {
	var all []*serverConn
	u.closeIdleWhere(func(c *serverConn) bool { all = append(all, c); return false })
	return all
}

// serveOK answers with the request's ID.
func serveOK(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "served "+r.Header.Get(headerID))
}

// hijack takes over the connection of a request.
func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

// resetConn closes a request's connection without a response.
func resetConn(w http.ResponseWriter, _ *http.Request) { _ = hijack(w).Close() }

// neverAnswer returns a handler that does not answer until the client or the test ends.
func neverAnswer(t *testing.T) http.HandlerFunc {
	testEnded := make(chan struct{})
	t.Cleanup(func() { close(testEnded) })
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-testEnded:
		case <-r.Context().Done():
		}
	}
}
