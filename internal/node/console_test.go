package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloestile/internal/discovery"
)

// consoleAddr returns the address of the node's console.
func (r *testNode) consoleAddr() string { return r.node.console.listener.Addr().String() }

// callConsole makes one call of the console. closes reports whether the response closes the connection.
func (r *testNode) callConsole(method, path string) (status int, body string, closes bool) {
	r.t.Helper()
	req, err := http.NewRequest(method, "http://"+r.consoleAddr()+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	resp, body := r.do(req)
	return resp.StatusCode, body, resp.Close
}

// readMetrics returns the values of all metrics by name.
func (r *testNode) readMetrics() map[string]float64 {
	r.t.Helper()
	_, text, _ := r.callConsole(http.MethodGet, "/metrics")
	got := make(map[string]float64)
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			r.t.Fatalf("%q: %v", line, err)
		}
		got[name] = v
	}
	return got
}

// waitForMetric waits until a metric has a value.
func (r *testNode) waitForMetric(name string, want float64) {
	r.t.Helper()
	var got map[string]float64
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got = r.readMetrics(); got[name] == want {
			return
		}
	}
	r.t.Errorf("%s is %g, want %g", name, got[name], want)
}

// healthzStatus returns the status of /healthz.
func (r *testNode) healthzStatus() int {
	r.t.Helper()
	req, _ := http.NewRequest(http.MethodGet, "http://"+r.node.Addr()+"/healthz", nil)
	resp, _ := r.do(req)
	return resp.StatusCode
}

// Each console call answers with its documented status and closes its connection; unknown paths get 404 and wrong
// methods 405.
func TestConsoleCalls(t *testing.T) {
	r := newTestNode(t)
	if s, _, closes := r.callConsole(http.MethodGet, "/ready"); s != http.StatusServiceUnavailable || !closes {
		t.Errorf("/ready while no server is listed: status %d, closes %v", s, closes)
	}
	a := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	r.waitUntil("ready", r.node.front.ready.Load)
	for _, k := range []struct {
		method, path string
		status       int
	}{
		{http.MethodGet, "/ready", 200}, {http.MethodGet, "/metrics", 200},
		{http.MethodPost, "/ready", 405}, {http.MethodGet, "/drain", 405}, {http.MethodPut, "/undrain", 405},
		{http.MethodGet, "/", 404}, {http.MethodPost, "/metrics/x", 404},
		{http.MethodPost, "/undrain", 200}, {http.MethodPost, "/drain", 200}, {http.MethodPost, "/drain", 200},
		{http.MethodGet, "/ready", 503}, {http.MethodPost, "/undrain", 200}, {http.MethodGet, "/ready", 200},
	} {
		if s, body, closes := r.callConsole(k.method, k.path); s != k.status || !closes {
			t.Errorf("%s %s: %d %q, closes %v", k.method, k.path, s, body, closes)
		}
	}
}

// Clients that never finish a call must not lock out other calls, and their connections are closed.
func TestUnfinishedCallsDoNotBlockTheConsole(t *testing.T) {
	t.Parallel()
	r := newTestNode(t)
	r.updateList(discovery.Target{UID: "s-1", Endpoint: "127.0.0.1:1", State: "up"})
	r.waitUntil("ready", r.node.front.ready.Load)
	var callers []net.Conn
	for i := range 3 * maxConsoleConns {
		c, err := net.Dial("tcp", r.consoleAddr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /ready HTTP/1.1\r\nHo")
		}
		callers = append(callers, c)
	}
	if s, _, _ := r.callConsole(http.MethodGet, "/ready"); s != 200 {
		t.Errorf("complete call: status %d", s)
	}
	for _, c := range callers {
		if _, err := io.Copy(io.Discard, c); err != nil && os.IsTimeout(err) {
			t.Fatal("the connection of an unfinished call is not closed")
		}
	}
}

// The console must answer while the event loop is blocked.
func TestConsoleAnswersWhileTheLoopIsBusy(t *testing.T) {
	r := newTestNode(t)
	r.updateList(discovery.Target{UID: "s-1", Endpoint: "127.0.0.1:1", State: "up"})
	r.waitUntil("ready", r.node.front.ready.Load)
	busy, over := make(chan struct{}), make(chan struct{})
	defer close(over)
	r.node.loop.post(func() { close(busy); <-over })
	receive(t, busy)
	if s, _, _ := r.callConsole(http.MethodGet, "/ready"); s != 200 {
		t.Errorf("/ready: status %d", s)
	}
	if got := r.readMetrics()["node_hosts_listed"]; got != 1 {
		t.Errorf("%g servers listed, want 1", got)
	}
	if s, _, _ := r.callConsole(http.MethodPost, "/drain"); s != 200 {
		t.Errorf("/drain: status %d", s)
	}
	if s := r.healthzStatus(); s == 200 {
		t.Error("/healthz succeeds on a draining node")
	}
}

// All metrics exist with value 0 at the start, and each request is counted once by its result.
func TestMetricsCountRequests(t *testing.T) {
	r := newTestNode(t)
	started, finish := make(chan struct{}), make(chan struct{})
	a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
		switch {
		case strings.Contains(q.URL.Path, "fail"):
			w.WriteHeader(http.StatusInternalServerError)
		case strings.Contains(q.URL.Path, "hold"):
			close(started)
			<-finish
		}
	})
	names := []string{"node_backend_calls_total", "node_inflight", "node_hosts_listed", "node_hosts_down"}
	for _, n := range []string{"node_success_total", "node_busy_total", "node_failure_total"} {
		names = append(names, n+`{tier="roster-read"}`, n+`{tier="visit-update"}`)
	}
	got := r.readMetrics()
	for _, n := range names {
		if v, ok := got[n]; !ok || v != 0 {
			t.Errorf("%s is %g at the start (exists: %v)", n, v, ok)
		}
	}
	removed := a.target("s-2", 0)
	r.updateList(a.target("s-1", 0), removed)
	r.waitForMetric("node_hosts_listed", 2)
	removed.State = "removed"
	r.updateList(removed)
	r.waitForMetric("node_hosts_listed", 1)
	for i := range 3 {
		r.do(r.newRequest(http.MethodGet, "/roster-read", "id-"+strconv.Itoa(i)))
	}
	r.waitForMetric(`node_success_total{tier="roster-read"}`, 3)
	r.waitForMetric("node_backend_calls_total", 3)
	rejected := 0.0
	for i := range 60 {
		q := r.newRequest(http.MethodGet, "/roster-read", "basic-"+strconv.Itoa(i))
		q.Header.Set(headerPlan, "basic")
		if resp, _ := r.do(q); resp.StatusCode == http.StatusServiceUnavailable {
			rejected++
		}
	}
	r.waitForMetric(`node_busy_total{tier="roster-read"}`, rejected)
	r.waitForMetric(`node_success_total{tier="roster-read"}`, 3+60-rejected)
	answered := make(chan struct{})
	go func() { defer close(answered); r.do(r.newRequest(http.MethodPost, "/visit-update/hold", "hold")) }()
	receive(t, started)
	r.waitForMetric("node_inflight", 1)
	close(finish)
	<-answered
	r.waitForMetric("node_inflight", 0)
	r.waitForMetric(`node_success_total{tier="visit-update"}`, 1)
	resp, _ := r.do(r.newRequest(http.MethodPost, "/visit-update/fail", "fail"))
	name := `node_failure_total{tier="visit-update"}`
	if resp.StatusCode == http.StatusServiceUnavailable {
		name = `node_busy_total{tier="visit-update"}`
	}
	r.waitForMetric(name, 1)
	r.waitForMetric("node_backend_calls_total", float64(a.requestCount()))
}

// A server that refuses connections is counted as avoided.
func TestMetricOfAvoidedServers(t *testing.T) {
	r := newTestNode(t)
	r.updateList(discovery.Target{UID: "s-1", Endpoint: "127.0.0.1:1", Zone: "z1", State: "up"})
	r.waitForMetric("node_hosts_down", 0)
	r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
	r.waitForMetric("node_hosts_down", 1)
}

// A drain makes /healthz fail, then closes connections with their next response, then closes idle connections. It
// answers open requests and can be canceled, except after SIGTERM.
func TestConsoleDrain(t *testing.T) {
	t.Parallel()
	r := newTestNode(t)
	started, finish := make(chan struct{}), make(chan struct{})
	a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
		if strings.Contains(q.URL.Path, "hold") {
			close(started)
			<-finish
		}
	})
	r.updateList(a.target("s-1", 0))
	get := strings.Replace("GET /roster-read?account=00000000b4d65521 HTTP/1.1\r\nHost: o\r\n"+validHeaders+"\r\n", "raw", "%id", 1)
	ask := func(c net.Conn, id string) *http.Response {
		t.Helper()
		_, _ = io.WriteString(c, strings.Replace(get, "%id", id, 1))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp
	}
	idle, kept := r.dial(), r.dial()
	if resp := ask(idle, "a"); resp.StatusCode != 200 || resp.Close {
		t.Fatal(resp.Status, resp.Close)
	}
	ask(kept, "b")
	answered := make(chan *http.Response, 1)
	go func() {
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read/hold", "held"))
		answered <- resp
	}()
	receive(t, started)
	begun := time.Now()
	r.callConsole(http.MethodPost, "/drain")
	if s := r.healthzStatus(); s == 200 {
		t.Error("/healthz succeeds during the drain")
	}
	// New connections are served until clients have noticed the drain.
	if resp := ask(r.dial(), "c"); resp.StatusCode != 200 {
		t.Error(resp.Status)
	}
	for resp := ask(kept, "d"); !resp.Close; resp = ask(kept, "d"+strconv.Itoa(int(time.Since(begun)))) {
		if time.Since(begun) > testTimeout {
			t.Fatal("responses do not close their connections")
		}
	}
	if _, err := io.Copy(io.Discard, idle); err != nil {
		t.Errorf("idle connection: %v", err)
	}
	if took := time.Since(begun); took > 2*2*time.Second { // due after 2 s; twice that is allowed on a busy machine
		t.Errorf("connections were closed only after %v", took)
	}
	close(finish)
	if resp := receive(t, answered); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("request that was open during the drain: %s, closes %v", resp.Status, resp.Close)
	}
	r.callConsole(http.MethodPost, "/undrain")
	if s := r.healthzStatus(); s != 200 {
		t.Errorf("/healthz after the drain: status %d", s)
	}
	newConn := r.dial()
	ask(newConn, "e")
	if resp := ask(newConn, "f"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("request after the drain: %s, closes %v", resp.Status, resp.Close)
	}
	// SIGTERM during a drain shuts the process down, and the drain can't be canceled any more.
	r.callConsole(http.MethodPost, "/drain")
	r.stop()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		r.node.drainer.mu.Lock()
		ends := r.node.drainer.final
		r.node.drainer.mu.Unlock()
		if ends {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the drain does not become final")
		}
	}
	if r.node.drainer.undrain() {
		t.Error("the drain of a process that is shutting down was canceled")
	}
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}

var metricLine = regexp.MustCompile(`^[a-z_]+(\{tier="[^"]+"\})? [0-9]+$`)

// Every line of the metrics without a fleet file is a comment or a metric with at most the label tier.
func TestMetricsFormat(t *testing.T) {
	r := newTestNode(t)
	_, text, _ := r.callConsole(http.MethodGet, "/metrics")
	for line := range strings.Lines(text) {
		if line = strings.TrimSuffix(line, "\n"); !strings.HasPrefix(line, "# ") && !metricLine.MatchString(line) {
			t.Errorf("%q", line)
		}
	}
}
