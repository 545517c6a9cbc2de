package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloestile/internal/testbed/discovery"
	"sloestile/internal/testbed/proc"
)

// A fake is a node that breaks one rule on purpose. It is this test's own program, started as a
// node is.
const fakeVariable = "LAB_FAKE"

func TestMain(m *testing.M) {
	proc.ReapIfAsked()
	if how := os.Getenv(fakeVariable); how != "" {
		runFake(how)
		return
	}
	os.Exit(m.Run())
}

type fake struct {
	how      string
	mu       sync.Mutex
	servers  []discovery.Target
	n        atomic.Int64
	upstream http.Client
	no       atomic.Bool // it is not ready: SIGTERM has come
	last     atomic.Bool // a while after
}

var begun = time.Now()

func runFake(how string) {
	raw, err := os.ReadFile(os.Getenv("NODE_CONFIG"))
	if err != nil {
		panic(err)
	}
	var cfg struct {
		Listen, Discovery string
		Known             discovery.Listing
	}
	if err := json.Unmarshal(raw, &cfg); err != nil {
		panic(err)
	}
	f := &fake{how: how, servers: cfg.Known.Targets}
	f.upstream.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	if how != "deaf" {
		go f.follow(cfg.Discovery)
	}
	if how == "crash" {
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	}
	var ballast [][]byte
	if how == "memory" {
		time.AfterFunc(time.Second, func() { ballast = append(ballast, bytes.Repeat([]byte{1}, 200<<20)) })
	}
	h := &http.Server{Addr: cfg.Listen, Handler: f}
	if how != "improper" {
		h.ReadHeaderTimeout = 2 * time.Second
	}
	if how == "moved" {
		signal.Ignore(syscall.SIGHUP)
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go func() {
		<-term
		f.no.Store(true)
		time.Sleep(time.Second)
		f.last.Store(true)
	}()
	panic(h.ListenAndServe())
}

// follow keeps the servers that are up; one that is told to drain stays for the fake that ignores
// drains.
func (f *fake) follow(address string) {
	if f.how == "stale" && again() { // as if nothing were told before a first call
		time.Sleep(time.Hour)
	}
	for {
		time.Sleep(100 * time.Millisecond)
		if f.how == "silent" {
			f.watch(address)
			continue
		}
		resp, err := http.Get("http://" + address + "/v1/servers")
		if err != nil {
			continue
		}
		var l discovery.Listing
		err = json.NewDecoder(resp.Body).Decode(&l)
		_ = resp.Body.Close()
		if f.how == "refused" && resp.StatusCode != http.StatusOK {
			time.Sleep(time.Hour)
		}
		if err != nil || f.how == "drain" {
			continue
		}
		f.take(l)
		if f.how == "seldom" {
			time.Sleep(time.Hour)
		}
	}
}

// watch takes what an open watch tells, and waits for more for as long as it stays open.
func (f *fake) watch(address string) {
	resp, err := http.Get("http://" + address + "/v1/servers?watch=1&from=0")
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := json.NewDecoder(resp.Body); ; {
		var l discovery.Listing
		if lines.Decode(&l) != nil {
			return
		}
		if l.All { // what changes after is a drain, which the fake misses
			f.take(l)
		}
	}
}

// take takes over a list.
func (f *fake) take(l discovery.Listing) {
	if f.how == "late" {
		time.Sleep(3 * time.Second) // a second more than is forgiven
	}
	var up []discovery.Target
	newest := int64(0)
	for _, t := range l.Targets {
		newest = max(newest, t.BootMS)
	}
	for _, t := range l.Targets {
		if f.how == "cold" && newest > 0 {
			if t.BootMS == newest {
				up = append(up, t)
			}
		} else if t.State == "up" && t.BootMS == 0 { // the honest one leaves cold servers alone
			up = append(up, t)
		}
	}
	f.mu.Lock()
	f.servers = up
	f.mu.Unlock()
}

// again tells whether this is not the first process of its node.
func again() bool { return !strings.HasSuffix(os.Getenv("TMPDIR"), "tmp0") }

func (f *fake) pick() (a, b discovery.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a = f.servers[rand.IntN(len(f.servers))]
	for _, b = range f.servers {
		if b.AZ != a.AZ {
			break
		}
	}
	return a, b
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		if f.no.Load() || f.how == "tardy" && again() && time.Since(begun) < 11*time.Second {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, _ := io.ReadAll(r.Body)
	post, tenth := r.Method == http.MethodPost, f.n.Add(1)%10 == 0
	a, b := f.pick()
	switch last := f.last.Load(); {
	case last && f.how == "drops":
		panic(http.ErrAbortHandler)
	case last && f.how == "fails":
		w.WriteHeader(http.StatusInternalServerError)
		return
	case last:
		w.Header().Set("Connection", "close")
	case f.how == "lost" && tenth:
		time.Sleep(time.Minute)
	case f.how == "broken" && tenth:
		f.send(r, a, body)
		panic(http.ErrAbortHandler)
	case f.how == "forge" && tenth:
		_, _ = io.WriteString(w, "rated 0 by 0\n")
		return
	case f.how == "advice" && tenth:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case f.how == "refusal" && post:
		f.send(r, a, body)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case f.how == "halls" && post:
		f.send(r, a, body)
		a = b
	case f.how == "window" && post:
		f.send(r, a, body)
		time.Sleep(600 * time.Millisecond)
	case f.how == "repeats" && post:
		f.send(r, a, body)
	case f.how == "twice" && post:
		go f.send(r, a, body)
	case f.how == "stray" && tenth:
		r.Header.Set("X-Correlation-Id", "0000000000000001")
	case f.how == "again" && !post && tenth: // once its client has gone
		f.send(r, a, body)
		<-r.Context().Done()
		time.Sleep(250 * time.Millisecond)
	case f.how == "queues" && !post && tenth: // and never looks whether its client has gone
		<-r.Context().Done()
		time.Sleep(400 * time.Millisecond)
	case f.how == "many" && tenth:
		for range 8 {
			go f.send(r, a, body)
		}
	}
	status, answer := f.send(r, a, body)
	if status == 0 || status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway // failed: promises nothing
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}

func (f *fake) send(r *http.Request, to discovery.Target, body []byte) (int, string) {
	left, err := time.ParseDuration(r.Header.Get("X-Time-Left") + "s") // "480m" is 480 ms
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+to.Endpoint+r.URL.String(), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	for _, h := range []string{"X-Correlation-Id", "Idempotency-Key"} {
		if v := r.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	// No copy goes by itself: the body can't be had again.
	req.GetBody = nil
	resp, err := f.upstream.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(answer)
}

// lines is how a scenario's key is set from several lines.
func lines(l ...string) string { return strings.Join(l, "\n") }
