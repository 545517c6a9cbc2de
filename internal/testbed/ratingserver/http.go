package ratingserver

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sloestile/internal/testbed/faultlink"
	"sloestile/internal/testbed/record"
)

const (
	bodyMost   = 1 << 20
	probeTries = 1e-3 // core-seconds of a probe
)

type connKey struct{}

// served is what a server knows of one connection.
type served struct {
	*faultlink.Conn
	first  atomic.Int64 // ns of the play at which the first byte of the request came
	warmed bool         // its handshake is paid
	over   bool         // beyond the connections that the server holds
}

func (s *Server) handler() *http.Server {
	return &http.Server{
		Handler:     http.HandlerFunc(s.serve),
		IdleTimeout: time.Duration(s.fleet.Day.File.Server.IdleS * float64(time.Second)),
		ErrorLog:    log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: s.connState,
	}
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	h := c.(*served)
	switch state {
	case http.StateNew:
		s.mu.Lock()
		s.m.Conns++
		h.over = s.m.Conns > s.fleet.Day.File.Server.Connections
		s.mu.Unlock()
	case http.StateActive:
		h.first.Store(int64(s.fleet.Clock()))
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		s.m.Conns--
		s.mu.Unlock()
	}
}

// accepting hands the connections of one path to the server.
type accepting struct{ *faultlink.Listener }

func (a accepting) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &served{Conn: c.(*faultlink.Conn)}, nil
}

// Listen serves at the address of each path: index i is what node i reaches the server by.
func (s *Server) Listen(paths []*faultlink.Path) error {
	s.paths = paths
	for _, p := range paths {
		l, err := p.Listen(s.Address(p.From))
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.listeners = append(s.listeners, l)
		h := s.http
		s.mu.Unlock()
		go func() { _ = h.Serve(accepting{l}) }() // until the server's end
	}
	return nil
}

// Address is what a node reaches the server by: an address of the server's own, a port for each
// node, so that each pair's path can be told apart.
func (s *Server) Address(node int) string { return s.fleet.Address(s.Index, node) }

// Address gives the address by which a node reaches a server.
func (f *Fleet) Address(server, node int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.Block, 64+server/250, 1+server%250, 10000+node)
}

// Stop ends listening and all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	ls, h := s.listeners, s.http
	s.listeners = nil
	s.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	for _, p := range s.paths {
		p.Reset()
	}
	_ = h.Close()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*served)
	if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
		s.probe(w)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, bodyMost))
	if err != nil {
		return
	}
	now := s.fleet.Clock()
	id := r.Header.Get("X-Correlation-Id")
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	t := s.fleet.Book.Find(id)
	if t == nil || !s.genuine(t, r, body) {
		s.fleet.Book.With(func() { s.fleet.Book.Strays = append(s.fleet.Book.Strays, id) })
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a := &record.Attempt{Try: t, Server: s.Index, Node: c.Path.From, First: time.Duration(c.first.Load()), Last: now,
		Cross: s.fleet.Day.Nodes[c.Path.From].Zone != s.m.Zone}
	s.fleet.Book.Arrive(a)
	s.count(t, now)
	if s.pushed(a.Node, s.fleet.Day.Arrivals[t.Arrival].Work.Seconds(), now) {
		s.fleet.Book.Finish(a, record.Died, now, 0)
		panic(http.ErrAbortHandler)
	}
	if c.over || s.draining(now) {
		s.away(w, a, c.over)
		return
	}
	if !c.warmed { // as a handshake: it costs the server work and the first request time
		c.warmed = true
		s.burden(s.m.Handshake.Seconds())
		time.Sleep(s.m.Handshake)
	}
	s.answer(w, r, a)
}

// genuine tells whether the attempt is what the client sent: method, path and body unchanged.
func (s *Server) genuine(t *record.Try, r *http.Request, body []byte) bool {
	c := s.fleet.Day.Classes[t.Class]
	account := fmt.Sprintf("%016x", s.fleet.Day.Customers[t.Customer].ID)
	return r.URL.Path == "/"+c.Name && r.URL.Query().Get("account") == account && string(body) == Body(c.Effect, t.ID)
}

// Body is what the client of a try sends.
func Body(effect, id string) string {
	if effect == "free" {
		return ""
	}
	return "post " + id
}

// Answer is what a server makes for a try.
func Answer(id string, server int) string { return fmt.Sprintf("rated %s by %d\n", id, server) }

func (s *Server) draining(now time.Duration) bool {
	grace := time.Duration(s.fleet.Day.File.Rules.DrainGraceMS * float64(time.Millisecond))
	return s.m.Drain > 0 && now > s.m.Drain+grace
}

// count takes the units of a try at its first attempt.
func (s *Server) count(t *record.Try, now time.Duration) {
	first := false
	s.fleet.Book.With(func() { first, t.Taken = !t.Taken, true })
	if first {
		inside := s.fleet.Ledger.Take(t.Customer, float64(t.Units), now)
		s.fleet.Book.With(func() { t.Inside = inside })
	}
}

func (s *Server) probe(w http.ResponseWriter) {
	if !s.fleet.Day.File.Rules.Probes {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.fleet.Book.With(func() { s.fleet.Book.Probes++ })
	s.burden(probeTries)
	if s.m.Drain > 0 && s.fleet.Clock() > s.m.Drain {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) away(w http.ResponseWriter, a *record.Attempt, closes bool) {
	s.fleet.Book.Finish(a, record.Away, s.fleet.Clock(), 0)
	w.Header().Set("X-Unprocessed", "1")
	if closes {
		w.Header().Set("Connection", "close")
	}
	s.meter(w, a.Try)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) meter(w http.ResponseWriter, t *record.Try) {
	if used, ok := s.fleet.Ledger.Used(t.Customer, s.fleet.Clock()); ok {
		w.Header().Set("X-Allowance-Used", strconv.Itoa(used))
	}
}

// answer works on an attempt and answers it, unless its hall has its key already.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, a *record.Attempt) {
	c := &s.fleet.Day.Classes[a.Try.Class]
	ended := func(bool) {}
	if c.Effect == "guarded" {
		h := s.fleet.hall(s.scope(c.Scope))
		key := r.Header.Get("Idempotency-Key")
		for {
			k, mine := h.claim(key, s.fleet.Clock(), time.Duration(c.Window*float64(time.Millisecond)))
			if mine {
				ended = func(ok bool) { h.end(key, k, ok) }
				break
			}
			select {
			case <-k.done:
			case <-r.Context().Done():
				s.fleet.Book.Finish(a, record.GivenUp, s.fleet.Clock(), 0)
				return
			}
			if k.ok {
				s.fleet.Book.Finish(a, record.Repeated, s.fleet.Clock(), 0)
				s.good(w, a, false)
				return
			}
		}
	}
	s.do(w, r, a, ended)
}

// do works on an attempt that is no repeat.
func (s *Server) do(w http.ResponseWriter, r *http.Request, a *record.Attempt, ended func(ok bool)) {
	j := s.admit(s.fleet.Day.Arrivals[a.Try.Arrival].Work.Seconds(), a.Last)
	if j == nil {
		ended(false)
		if s.isDead() {
			s.fleet.Book.Finish(a, record.Died, s.fleet.Clock(), 0)
			panic(http.ErrAbortHandler)
		}
		s.away(w, a, false)
		return
	}
	select {
	case o := <-j.done:
		s.end(w, a, j, o, ended)
	case <-r.Context().Done():
		s.leave(j)
		s.fleet.Book.Finish(a, record.GivenUp, s.fleet.Clock(), j.All)
		ended(<-j.done == record.Served) // the work may go on
	}
}

func (s *Server) end(w http.ResponseWriter, a *record.Attempt, j *job, o record.Outcome, ended func(bool)) {
	now := s.fleet.Clock()
	if o != record.Served {
		ended(false)
		s.fleet.Book.Finish(a, o, now, j.All-j.Left)
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	bad := s.rng.Float64() < s.m.ErrorRate+s.m.Errors
	s.mu.Unlock()
	ended(!bad)
	if bad {
		s.fleet.Book.Finish(a, record.Failed, now, j.All)
		s.meter(w, a.Try)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.fleet.Book.Finish(a, record.Served, now, j.All)
	s.good(w, a, true)
}

// good answers 200. The first good answer of a try settles its units.
func (s *Server) good(w http.ResponseWriter, a *record.Attempt, first bool) {
	t := a.Try
	s.meter(w, t)
	if first {
		w.Header().Set("X-True-Cost", strconv.Itoa(t.True))
		if t.Inside {
			s.fleet.Ledger.Settle(t.Customer, float64(t.Units), float64(t.True), s.fleet.Clock())
		}
	}
	_, _ = io.WriteString(w, Answer(t.ID, s.Index))
}

func (s *Server) isDead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

// scope names the group of servers that drops repeats together.
func (s *Server) scope(scope string) string {
	switch scope {
	case "zone":
		return "z" + strconv.Itoa(s.m.Zone)
	case "cell":
		return "c" + strconv.Itoa(s.m.Cell)
	}
	return "all"
}
