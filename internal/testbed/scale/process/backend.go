package process

import (
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	backends    = 4 // listeners that stand for all listed servers
	portBackend = 10000
	backendWork = 5 * time.Millisecond // without CPU, as of a rating server on another machine
	keepIdle    = 30 * time.Second
)

// backend is the rating servers of a point: few real HTTP servers, each listed under many uids. It
// notes how long it held each request.
type backend struct {
	held   []atomic.Int64 // ns, by the number of the request
	cost   []atomic.Int32 // tokens that it turns out to take, likewise
	opened atomic.Int64   // connections to them, ever
	at     []string       // addresses
}

// serveBackends begins to serve; requests are numbered below requestsMost.
func (b *bench) serveBackends() (*backend, error) {
	s := &backend{held: make([]atomic.Int64, requestsMost), cost: make([]atomic.Int32, requestsMost)}
	h := &http.Server{Handler: s, IdleTimeout: keepIdle, ErrorLog: log.New(io.Discard, "", 0),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				s.opened.Add(1)
			}
		}}
	b.atEnd(func() { _ = h.Close() })
	for i := range backends {
		at := b.address(hostsBackends, i, portBackend)
		l, err := net.Listen("tcp", at)
		if err != nil {
			return nil, err
		}
		s.at = append(s.at, at)
		go func() { _ = h.Serve(l) }() // until the backend's Close
	}
	return s, nil
}

func (s *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
		return
	}
	number, err := strconv.ParseInt(r.Header.Get("X-Correlation-Id"), 16, 64)
	if err != nil || number < 0 || int(number) >= len(s.held) {
		http.Error(w, "no request of this point", http.StatusBadRequest)
		return
	}
	time.Sleep(backendWork)
	w.Header().Set("X-True-Cost", strconv.Itoa(int(s.cost[number].Load())))
	s.held[number].Store(int64(time.Since(came)))
	_, _ = io.Copy(w, strings.NewReader("rated\n"))
}
