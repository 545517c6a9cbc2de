// Package origin is the rating servers of a play: machines that share their cores among the
// requests in work, start cold, fall over when pushed, slow down, fail and turn away.
package origin

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"martennotch/internal/lab/ledger"
	"martennotch/internal/lab/link"
	"martennotch/internal/lab/record"
	"martennotch/internal/lab/scenario"
)

// Fleet is what the servers of a play share.
type Fleet struct {
	Day    *scenario.Day
	Book   *record.Book
	Ledger *ledger.Ledger
	Clock  func() time.Duration // of the play
	Block  int                  // the play's addresses are 127.Block.0.0/16
	halls  map[string]*hall     // by scope: the keys that a group of servers has seen
	mu     sync.Mutex
}

// NewFleet makes what the servers share.
func NewFleet(d *scenario.Day, b *record.Book, l *ledger.Ledger, clock func() time.Duration) *Fleet {
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
	m         scenario.Machine
	rng       *rand.Rand
	mu        sync.Mutex
	work      []*job // in slots
	queue     []*job
	at        time.Duration // up to which work is done
	timer     *time.Timer
	slow      float64 // factor on the time of all work
	errors    float64 // part of the answers that are errors, beside the usual
	paused    bool
	held      int // pauses by chance that last
	dead      bool
	since     time.Duration // start of the process
	cold      bool
	warmed    float64   // core-seconds done since the start
	sent      []arrival // while cold, within the window of the rule
	conns     int
	listeners []*link.Listener
	paths     []*link.Path
	http      *http.Server
}

type arrival struct {
	at   time.Duration
	work float64
}

type job struct {
	left float64 // core-seconds
	all  float64
	done chan record.Outcome // gets one
	gone bool                // its client has gone; a server may still work on it
}

// NewServer makes a rating server that is not listening yet.
func (f *Fleet) NewServer(i int) *Server {
	m := f.Day.Servers[i]
	s := &Server{Index: i, fleet: f, m: m, slow: 1, rng: rand.New(rand.NewPCG(f.Day.Seed, uint64(i)+1<<32)), since: m.From, cold: m.From >= 0}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.http = s.handler()
	return s
}

// warmth is the part of its capacity that the server has reached.
func (s *Server) warmth(now time.Duration) float64 {
	if !s.cold {
		return 1
	}
	x := (now - s.since).Seconds() / s.m.Cold.Seconds()
	if s.fleet.Day.File.Server.WarmBy == "requests" {
		x = math.Max(x, s.warmed/(float64(s.m.Cores)*s.m.Speed*s.m.Cold.Seconds()/2))
	}
	if x >= 1 {
		s.cold, s.sent = false, nil
		return 1
	}
	return s.m.ColdFrom + (1-s.m.ColdFrom)*x
}

// Capacity is the core-seconds a second that the server does now at best.
func (s *Server) capacity(now time.Duration) float64 {
	held := float64(len(s.work)+len(s.queue)) / float64(s.m.Cores)
	thrash := 1 + s.m.Thrash*math.Max(0, held-s.m.ThrashAt)
	full := float64(s.conns) / math.Max(1, float64(s.fleet.Day.File.Server.Connections))
	tax := s.m.TableTax * math.Max(0, math.Min(1, 2*full-1))
	return float64(s.m.Cores) * s.m.Speed * s.warmth(now) * (1 - tax) / thrash / s.slow
}

// each is the core-seconds a second that each request in work gets.
func (s *Server) each(now time.Duration) float64 {
	if s.paused || s.held > 0 || len(s.work) == 0 {
		return 0
	}
	c := s.capacity(now)
	return math.Min(c/float64(s.m.Cores), c/float64(len(s.work)))
}

// advance does the work up to now and ends what is done. The caller holds mu.
func (s *Server) advance(now time.Duration) {
	rate := s.each(s.at)
	d := math.Max(0, (now-s.at).Seconds()) * rate
	s.at = now
	kept := s.work[:0]
	for _, j := range s.work {
		j.left -= d
		s.warmed += d
		if j.left > 1e-7 {
			kept = append(kept, j)
			continue
		}
		j.done <- record.Served
	}
	s.work = kept
	for len(s.work) < s.m.Slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.gone && s.fleet.Day.File.Server.DropsExpired {
			j.done <- record.GivenUp
			continue
		}
		s.work = append(s.work, j)
	}
	s.plan(now)
}

// longestStep bounds how long a cold server goes with the capacity of one moment.
const longestStep = 50 * time.Millisecond

func (s *Server) plan(now time.Duration) {
	rate, least := s.each(now), math.Inf(1)
	if rate == 0 {
		return
	}
	for _, j := range s.work {
		least = math.Min(least, j.left)
	}
	wait := time.Duration(least / rate * float64(time.Second))
	if s.cold {
		wait = min(wait, longestStep)
	}
	s.timer.Reset(max(wait, 0))
}

func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		s.advance(s.fleet.Clock())
	}
}

// admit takes a request that has arrived whole: it gives the job, or nil where the server turns it
// away or falls over under it.
func (s *Server) admit(work float64, now time.Duration) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return nil
	}
	s.advance(now)
	if s.pushed(work, now) {
		s.fleet.Book.With(func() { s.fleet.Book.Fallen = append(s.fleet.Book.Fallen, s.Index) })
		go s.Crash()
		return nil
	}
	if len(s.work) >= s.m.Slots && len(s.queue) >= s.m.Queue {
		return nil
	}
	j := &job{left: work, all: work, done: make(chan record.Outcome, 1)}
	if len(s.work) < s.m.Slots {
		s.work = append(s.work, j)
	} else {
		s.queue = append(s.queue, j)
	}
	s.plan(now)
	return j
}

// pushed tells whether a cold server has been sent more than the rule's multiple of what it can do
// within the rule's window, with the slack of two mean requests for chance.
func (s *Server) pushed(work float64, now time.Duration) bool {
	if w := s.warmth(now); w == 1 {
		return false
	}
	r := s.fleet.Day.File.Rules
	window := time.Duration(r.FallMS * float64(time.Millisecond))
	s.sent = append(s.sent, arrival{now, work})
	for s.sent[0].at < now-window {
		s.sent = s.sent[1:]
	}
	sum := 0.0
	for _, a := range s.sent {
		sum += a.work
	}
	mean := 0.0
	for _, c := range s.fleet.Day.Classes {
		mean += c.Share.Lo * c.WorkMS.Lo / 1000
	}
	able := float64(s.m.Cores) * s.m.Speed * s.warmth(now)
	return sum > r.FallMultiple*able*window.Seconds()+2*mean
}

// leave tells that the client of a job has gone. Work in a slot goes on; what waits may be dropped.
func (s *Server) leave(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.gone = true
}

// burden adds work that no request answers for, as a handshake's.
func (s *Server) burden(work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.fleet.Clock()
	s.advance(now)
	for _, j := range s.work { // it is taken from all in work alike
		j.left += work / float64(len(s.work))
	}
	s.plan(now)
}

// Change puts a fault in force or ends it.
func (s *Server) Change(f func(slow, errors *float64, paused *bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(s.fleet.Clock())
	f(&s.slow, &s.errors, &s.paused)
	s.plan(s.at)
}

// Pause lets the server do no work for a while; those that overlap last until the last has ended.
func (s *Server) Pause(d time.Duration) {
	hold := func(by int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.advance(s.fleet.Clock())
		s.held += by
		s.plan(s.at)
	}
	hold(1)
	time.AfterFunc(d, func() { hold(-1) })
}

// Crash ends the process: connections are reset, new ones refused.
func (s *Server) Crash() {
	s.mu.Lock()
	s.dead = true
	for _, j := range append(s.work, s.queue...) {
		j.done <- record.Died
	}
	s.work, s.queue = nil, nil
	s.mu.Unlock()
	s.Stop()
}

// Restart starts the process again, cold, at its old addresses.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.dead, s.cold, s.warmed, s.sent = false, true, 0, nil
	s.slow, s.errors, s.paused = 1, 0, false
	s.since = s.fleet.Clock()
	s.at = s.since
	s.http = s.handler()
	s.mu.Unlock()
	return s.Listen(s.paths)
}

// Since tells when the process started, on the play's clock.
func (s *Server) Since() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since
}
