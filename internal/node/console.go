package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxConsoleConns       = 16              // maximum number of open connections
	consoleHeaderTimeout  = time.Second     // timeout for reading the header of a call
	consoleCallTimeout    = 2 * time.Second // timeout for reading a call, and again for writing its response
	maxConsoleHeaderBytes = 4 << 10         // bytes
)

// console is the HTTP server for operators. It has its own listener and connection limit, and most of its calls read
// only atomics, so that it answers even while the event loop is busy.
type console struct {
	srv      *http.Server
	listener net.Listener
}

// newConsole returns a console that listens on an address. Calls are answered once run is called.
func newConsole(addr string, n *Node) (*console, error) {
	tcp, err := listenRetrying(addr)
	if err != nil {
		return nil, &ListenError{"operators", addr, err}
	}
	c := &console{listener: &boundedListener{Listener: tcp, open: make(map[*boundedConn]time.Time)}}
	c.srv = &http.Server{Handler: newConsoleHandler(n), ReadHeaderTimeout: consoleHeaderTimeout, ReadTimeout: consoleCallTimeout,
		WriteTimeout: consoleCallTimeout, MaxHeaderBytes: maxConsoleHeaderBytes, DisableGeneralOptionsHandler: true}
	c.srv.SetKeepAlivesEnabled(false) // one call per connection
	return c, nil
}

// run serves calls until ctx ends.
func (c *console) run(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = c.srv.Close() })()
	if err := c.srv.Serve(c.listener); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("console: serving failed", "error", err)
	}
}

// newConsoleHandler returns the handler of the console's calls. It answers an unknown path with 404 and another method
// with 405.
func newConsoleHandler(n *Node) http.Handler {
	calls := map[string]map[string]http.HandlerFunc{
		"/ready":   {http.MethodGet: n.handleReady},
		"/metrics": {http.MethodGet: n.handleMetrics},
		"/drain":   {http.MethodPost: n.handleDrain},
		"/undrain": {http.MethodPost: n.handleUndrain},
	}
	if c := n.loop.consensus; c != nil {
		c.addRoutes(calls)
	}
	if z := n.loop.zones; z != nil {
		calls["/zones"] = map[string]http.HandlerFunc{http.MethodGet: z.handleGet, http.MethodPost: z.handleOrder}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		methods := calls[r.URL.Path]
		if call := methods[r.Method]; call != nil {
			call(w, r)
			return
		}
		allowed := slices.Sorted(maps.Keys(methods))
		if len(allowed) > 0 {
			w.Header().Set("Allow", strings.Join(allowed, ", "))
		}
		writeError(w, &CallError{r.Method, r.URL.Path, allowed})
	})
}

// handleReady answers 200 if the node accepts requests, and 503 otherwise.
func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !n.front.ready.Load() || n.drainer.draining() {
		http.Error(w, "no", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "yes")
}

// handleMetrics writes the metrics of the node and of the features that a fleet file enables.
func (n *Node) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	var text bytes.Buffer
	n.stats.write(&text)
	n.stats.writeLoop(&text)
	if p := n.peers.Load(); p != nil {
		writePeerMetrics(&text, &p.Counts)
	}
	if n.loop.metrics != nil {
		writeRegistry(&text, n.loop.metrics)
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = w.Write(text.Bytes())
}

// handleDrain starts a drain.
func (n *Node) handleDrain(w http.ResponseWriter, _ *http.Request) {
	n.drainer.begin(consoleDrainCloseDelay, consoleDrainIdleDelay)
	fmt.Fprintln(w, "draining")
}

// handleUndrain cancels a drain. It answers 409 if the process is shutting down.
func (n *Node) handleUndrain(w http.ResponseWriter, _ *http.Request) {
	if !n.drainer.undrain() {
		writeError(w, &EndingError{n.name})
		return
	}
	fmt.Fprintln(w, "serving")
}

// boundedListener limits the open connections to maxConsoleConns. Beyond that it closes the oldest connection when it
// accepts a new one, so that clients that never finish a call cannot lock operators out.
type boundedListener struct {
	net.Listener
	retry acceptRetry
	mu    sync.Mutex
	open  map[*boundedConn]time.Time // time at which each connection was accepted
}

// boundedConn is a connection of a boundedListener. Close removes it from the listener's open connections.
type boundedConn struct {
	net.Conn
	listener *boundedListener
}

// acceptRetrying accepts a connection. It goes on after any error but the end of the listener.
func (l *boundedListener) acceptRetrying() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.retry.wait(context.Background(), err)
	}
}

func (l *boundedListener) Accept() (net.Conn, error) {
	tcp, err := l.acceptRetrying()
	if err != nil {
		return nil, err
	}
	c := &boundedConn{Conn: tcp, listener: l}
	l.mu.Lock()
	var oldest *boundedConn
	if len(l.open) >= maxConsoleConns {
		for o, since := range l.open {
			if oldest == nil || since.Before(l.open[oldest]) {
				oldest = o
			}
		}
		delete(l.open, oldest)
	}
	l.open[c] = time.Now()
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Conn.Close()
	}
	return c, nil
}

func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
