// Package ratingserver is the rating servers of a play: machines that share their cores among the
// requests in work, start cold, fall over when pushed, slow down, fail and turn away.
package ratingserver

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"sloestile/internal/testbed/faultlink"
	"sloestile/internal/testbed/machine"
	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/refbucket"
	"sloestile/internal/testbed/scenario"
)

// Fleet is what the servers of a play share.
type Fleet struct {
	Day    *scenario.Day
	Book   *record.Book
	Ledger *refbucket.Ledger
	Clock  func() time.Duration // of the play
	Block  int                  // the play's addresses are 127.Block.0.0/16
	halls  map[string]*hall     // by scope: the keys that a group of servers has seen
	mu     sync.Mutex
}

// NewFleet makes what the servers share.
func NewFleet(d *scenario.Day, b *record.Book, l *refbucket.Ledger, clock func() time.Duration) *Fleet {
	return &Fleet{Day: d, Book: b, Ledger: l, Clock: clock, halls: make(map[string]*hall)}
}

// hall is the keys that a group of servers drops repeats of.
type hall struct {
	mu   sync.Mutex
	keys map[string]*seen
}

type seen struct {
	at   time.Duration
	done chan struct{} // closed when the first has ended
	ok   bool
}

// claim gives what the group knows of a key; mine is true where it is new, or was seen longer ago
// than the window.
func (h *hall) claim(key string, now, window time.Duration) (k *seen, mine bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := h.keys[key]; k != nil && now <= k.at+window {
		return k, false
	}
	k = &seen{at: now, done: make(chan struct{})}
	h.keys[key] = k
	return k, true
}

// end tells how the first attempt of a key went. One that brought nothing is forgotten.
func (h *hall) end(key string, k *seen, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k.ok = ok; !ok && h.keys[key] == k {
		delete(h.keys, key)
	}
	close(k.done)
}

func (f *Fleet) hall(scope string) *hall {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.halls[scope]
	if h == nil {
		h = &hall{keys: make(map[string]*seen)}
		f.halls[scope] = h
	}
	return h
}

// Server is one rating server.
type Server struct {
	Index     int
	fleet     *Fleet
	m         *machine.Machine
	rng       *rand.Rand
	mu        sync.Mutex
	timer     *time.Timer
	dead      bool
	listeners []*faultlink.Listener
	paths     []*faultlink.Path
	http      *http.Server
}

type job struct {
	*machine.Job
	done chan record.Outcome // gets one
}

// NewServer makes a rating server that is not listening yet.
func (f *Fleet) NewServer(i int) *Server {
	s := &Server{Index: i, fleet: f, m: machine.New(f.Day, i), rng: rand.New(rand.NewPCG(f.Day.Seed, uint64(i)+1<<32))}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.http = s.handler()
	return s
}

// advance does the work up to now and looks again when more is done. The caller holds mu.
func (s *Server) advance(now time.Duration) {
	s.m.Advance(now)
	s.plan(now)
}

func (s *Server) plan(now time.Duration) {
	if wait, ok := s.m.Next(now); ok {
		s.timer.Reset(wait)
	}
}

func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		s.advance(s.fleet.Clock())
	}
}

// pushed counts a request that has arrived whole; it gives true where the server is dead or falls
// over under it.
func (s *Server) pushed(node int, work float64, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return true
	}
	sends, falls := s.m.Pushed(node, work, now)
	if falls {
		s.dead = true
		fall := record.Fall{Server: s.Index, At: now, Since: s.m.Since, Sends: slices.Clone(sends)}
		s.fleet.Book.With(func() { s.fleet.Book.Fallen = append(s.fleet.Book.Fallen, fall) })
		go s.Crash()
	}
	return falls
}

// admit takes a request: it gives the job, or nil where the server turns it away.
func (s *Server) admit(work float64, now time.Duration) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return nil
	}
	s.advance(now)
	done := make(chan record.Outcome, 1)
	j := s.m.Admit(work, func(o record.Outcome) { done <- o })
	if j == nil {
		return nil
	}
	s.plan(now)
	return &job{j, done}
}

// leave tells that the client of a job has gone. Work in a slot goes on; what waits may be dropped.
func (s *Server) leave(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.Gone = true
}

// burden adds work that no request answers for, as a handshake's.
func (s *Server) burden(work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.fleet.Clock()
	s.advance(now)
	s.m.Burden(work)
	s.plan(now)
}

// Change puts a fault in force or ends it.
func (s *Server) Change(f func(slow, errors *float64, paused *bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.fleet.Clock()
	s.advance(now)
	f(&s.m.Slow, &s.m.Errors, &s.m.Paused)
	s.plan(now)
}

// Pause lets the server do no work for a while; those that overlap last until the last has ended.
func (s *Server) Pause(d time.Duration) {
	hold := func(by int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.fleet.Clock()
		s.advance(now)
		s.m.Held += by
		s.plan(now)
	}
	hold(1)
	time.AfterFunc(d, func() { hold(-1) })
}

// Crash ends the process: connections are reset, new ones refused.
func (s *Server) Crash() {
	s.mu.Lock()
	s.dead = true
	s.m.Die()
	s.mu.Unlock()
	s.Stop()
}

// Restart starts the process again, cold, at its old addresses.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.dead = false
	s.m.Restart(s.fleet.Clock())
	s.http = s.handler()
	s.mu.Unlock()
	return s.Listen(s.paths)
}

// Since tells when the process started, on the play's clock.
func (s *Server) Since() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.m.Since
}
