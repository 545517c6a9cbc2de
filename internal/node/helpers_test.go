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

// patience bounds every wait of the tests; nothing is expected to come near it.
const testTimeout = 30 * time.Second

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// rig is a node with an agent, and app servers as a test starts them.
type testNode struct {
	t         *testing.T
	discovery *discoverytest.Agent
	node      *Node
	stop      context.CancelFunc
	ended     chan error
	applied   chan int64 // versions of the list that have been handed to the loop
	revision  int
	listener  *recordingListener
}

// recorded keeps the connections that a node has taken from clients.
type recordingListener struct {
	net.Listener
	accepted sync.Map // *clientConn by the client's address
}

func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Store(c.RemoteAddr().String(), c)
	}
	return c, err
}

// conn is the node's end of a client's connection.
func (r *testNode) nodeConn(client net.Conn) *clientConn {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c, ok := r.listener.accepted.Load(client.LocalAddr().String()); ok {
			return c.(*clientConn)
		}
	}
	r.t.Fatal("the node has not taken the connection")
	return nil
}

func newTestNode(t *testing.T) *testNode { return newTestNodeWith(t, func(*config.Config) {}) }

// newRigWith starts a node whose configuration a test changes before, and what else it has set.
func newTestNodeWith(t *testing.T, change func(*config.Config), configure ...func(*Node)) *testNode {
	r := &testNode{t: t, discovery: discoverytest.NewAgent(t), ended: make(chan error, 1), applied: make(chan int64, 100), revision: 7}
	cfg, err := config.Load("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Discovery, cfg.Console = r.discovery.Addr(), "127.0.0.1:0"
	change(&cfg)
	if r.node, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	r.node.drainTimeout = drainClosePeriod + 800*time.Millisecond // short drains
	for _, f := range configure {
		f(r.node)
	}
	r.listener = &recordingListener{Listener: r.node.listener}
	r.node.listener = r.listener
	r.node.upstream.reuseDelay = 0 // at once, so that a wrong one would be used again too
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
			r.node.drainTimeout = drainIdleDelay // nobody looks at this drain
		}
		stop()
		select {
		case err := <-r.ended:
			r.ended <- err
		case <-time.After(testTimeout):
			t.Error("the node did not end")
		}
	})
	return r
}

var lastHost atomic.Int64

// ownHost gives a host that no other test and no other process uses, so that a port which is free
// there stays so.
func uniqueHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 230+lastHost.Add(1), pid>>8&0xff, pid&0xff)
}

// list tells the node of changes and returns when the module knows them.
func (r *testNode) updateList(targets ...discovery.Target) {
	r.t.Helper()
	r.revision++
	line, err := json.Marshal(discovery.Update{Rev: int64(r.revision), Targets: targets})
	if err != nil {
		r.t.Fatal(err)
	}
	r.discovery.Tell <- string(line) + "\n"
	for receive(r.t, r.applied) != int64(r.revision) {
	}
}

// wait looks at the loop's state, on the loop's goroutine, until it is as wanted.
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
	r.t.Fatalf("%s: not in time", condition)
}

// call is a client's request that a test may change before it is sent.
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

// held has the node hold a request that its app server never answers. The status of
// its final answer comes on the channel.
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

// app is an app server that notes what it is asked.
type testServer struct {
	*httptest.Server
	mu       sync.Mutex
	received []string // method, URI and key of each request
}

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

// requests are what it has been asked so far.
func (a *testServer) requests() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.received)
}

func (a *testServer) requestCount() int { return len(a.requests()) }

func (a *testServer) target(uid string, group int) discovery.Target {
	return discovery.Target{UID: uid, Endpoint: a.Listener.Addr().String(), Zone: "z1", Group: group, State: "up", Capacity: 1}
}

// pooled are the idle connections to app servers.
func idleConns(u *upstream) []*serverConn {
	var all []*serverConn
	u.closeIdleWhere(func(c *serverConn) bool { all = append(all, c); return false })
	return all
}

func serveOK(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, "served "+r.Header.Get(headerID))
}

func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

// reset ends a request's connection with no answer.
func resetConn(w http.ResponseWriter, _ *http.Request) { _ = hijack(w).Close() }

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
