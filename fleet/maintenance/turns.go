package maintenance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Stage is how far a turn has come.
type Stage uint8

// The stages. From Granted to Warming the turn holds its place; those before Out are called back by
// a halt.
const (
	Waiting  Stage = iota // nobody asks for it, or what was granted was given up
	Asked                 // a process on the host asks for it
	Granted               // its drain may begin, for a while
	Draining              // its drain has begun
	Drained               // seen idle from outside, it may go out
	Recalled              // it is to come back from its drain
	Out                   // it is worked on
	Arrived               // it has come back
	Warming               // it is seen back, and held to the cold rule
	Done                  // returned
)

func (s Stage) String() string {
	return name(s, "waiting", "asked", "granted", "draining", "drained", "recalled", "out", "arrived", "warming", "done")
}

// holds tells whether a turn in a stage has a place that goes to nobody else.
func (s Stage) holds() bool { return s >= Granted && s < Done }

// Turn is one host's.
type Turn struct {
	Host     string        `cbor:"1,keyasint"`
	Name     string        `cbor:"2,keyasint"` // under which the process that asked last runs
	Job      string        `cbor:"3,keyasint"`
	Length   Span          `cbor:"4,keyasint"`
	Deadline Moment        `cbor:"5,keyasint"`
	Stage    Stage         `cbor:"6,keyasint"`
	Fence    uint64        `cbor:"7,keyasint"`  // under which it is held now; a word under any other does nothing
	Nonce    uint64        `cbor:"8,keyasint"`  // of the process that asked last
	Since    time.Duration `cbor:"9,keyasint"`  // of its stage; evidence from before does not count for it
	Until    time.Duration `cbor:"10,keyasint"` // when granted: then it is given up; when given up: it is not granted again before
	Said     bool          `cbor:"11,keyasint"` // recalled, it has said that it is back
	Absent   bool          `cbor:"12,keyasint"` // out, it was seen gone
	GivenUp  int           `cbor:"13,keyasint"` // times in a row
}

// Figures of the decisions.
const (
	evidenceMost = time.Second // evidence older than this lets nobody out
	againMost    = time.Hour   // after grants that nobody took, at most
	namesMost    = 1024        // that are adopted
)

// State is what the log's commands have come to. It is not safe for concurrent use.
type State struct {
	now     time.Duration
	wall    Moment
	fence   uint64 // given last
	version uint64
	plan    *compiled     // nil is none
	loaded  time.Duration // when it was put in force
	looks   uint64
	seen    time.Duration // as of when all evidence stands
	blind   bool          // the last look told not all
	zones   map[string]ZoneState
	uplinks []Uplink
	halt    halt
	fleet   map[string]*machine
	turns   map[string]*Turn
	done    map[string]string // the job that a host has had done
	names   map[string]string // host that runs under a name, by hand
	yard    yard
}

// machine is a machine with what follows from its evidence and turn.
type machine struct {
	Machine
	at   time.Duration // as of when this evidence stands, where later than the rest
	away bool          // counted as such
}

// New is a state before the first command.
func New() *State {
	return &State{zones: map[string]ZoneState{}, fleet: map[string]*machine{}, turns: map[string]*Turn{},
		done: map[string]string{}, names: map[string]string{}, yard: newYard(0, 0)}
}

// Result is what a command has come to.
type Result struct {
	Answer   Answer    // to a word
	Granted  []string  // hosts whose turn it now is: they are to be told soon, as they ask now and then
	Forecast *Forecast // at Load
	Changed  bool      // the forecast made before may be wrong
	Err      error     // why the command did nothing; typed
}

// Now is the council's time as the last command had it; a new leader counts on from there.
func (s *State) Now() time.Duration { return s.now }

// Active tells whether there is anything to look for.
func (s *State) Active() bool {
	if s.plan != nil && len(s.done) < len(s.plan.hosts) {
		return true
	}
	for _, t := range s.turns {
		if t.Stage.holds() {
			return true
		}
	}
	return false
}

// Apply takes the next command of the log. The same commands come to the same state everywhere.
func (s *State) Apply(c *Command) (r Result) {
	s.now = max(s.now, c.At)
	s.wall = c.Wall
	s.expire(&r)
	switch {
	case c.Load != nil:
		s.load(c.Load, &r)
	case c.Look != nil:
		s.look(c.Look, &r)
	case c.Word != nil:
		s.word(c.Word, &r)
	case c.Halt != nil:
		s.haltAll(&s.halt.hand, cmp.Or(c.Halt.Why, "by hand"), &r)
	case c.Resume != nil:
		s.resume(&r)
	case c.Uplinks != nil:
		s.uplinks, r.Changed = slices.Clone(c.Uplinks.Windows), true
	case c.Adopt != nil:
		r.Err = s.adopt(c.Adopt)
		r.Changed = r.Err == nil
	case c.Drop != nil:
		s.drop(c.Drop.Host, &r)
	}
	return r
}

// expire gives up what was granted and not begun in its time.
func (s *State) expire(r *Result) {
	for _, t := range s.turns {
		if t.Stage == Granted && s.now >= t.Until {
			s.giveUp(t, true)
			r.Changed = true
		}
	}
}

// held lists the turns that hold a place, by host.
func (s *State) held() (held []*Turn) {
	for _, t := range s.turns {
		if t.Stage.holds() {
			held = append(held, t)
		}
	}
	slices.SortFunc(held, func(a, b *Turn) int { return cmp.Compare(a.Host, b.Host) })
	return held
}

// turn moves a turn on.
func (s *State) turn(t *Turn, to Stage) {
	t.Stage, t.Since = to, s.now
	s.settle(s.fleet[t.Host])
}

// settle counts a machine as away or not, as its evidence and its turn have it.
func (s *State) settle(m *machine) {
	if m == nil {
		return
	}
	away := m.Phase != Warm
	if t := s.turns[m.Host]; t != nil && t.Stage.holds() {
		away = true
	}
	if away != m.away {
		m.away = away
		n := -1
		if away {
			n = 1
		}
		s.yard.away(m, s.members(m.Host), n)
	}
}

func (s *State) members(host string) []int {
	if s.plan == nil {
		return nil
	}
	return s.plan.member[host]
}

// giveUp ends a turn that did not come to its work; its fencing number is void. One that nobody
// took waits longer each time, so that a host that asks and never begins costs the others little.
func (s *State) giveUp(t *Turn, idle bool) {
	t.Fence, t.Nonce, t.Said, t.Absent = 0, 0, false, false
	t.GivenUp++
	if !idle {
		t.GivenUp = 0
	}
	t.Until = s.now
	if s.plan != nil && idle {
		t.Until += min(time.Duration(s.plan.plan.Grant)<<min(t.GivenUp, 10), againMost)
	}
	s.turn(t, Waiting)
	if _, wanted := s.wanted(t.Host); !wanted {
		delete(s.turns, t.Host)
	}
}

// wanted gives the work that a host still has to have done.
func (s *State) wanted(host string) (work, bool) {
	if s.plan == nil {
		return work{}, false
	}
	w, ok := s.plan.work[host]
	return w, ok && s.done[host] != w.job
}

// finish ends a turn whose machine has returned.
func (s *State) finish(t *Turn) {
	if s.plan != nil && s.plan.work[t.Host].job == t.Job {
		s.done[t.Host] = t.Job
	}
	delete(s.turns, t.Host)
	s.settle(s.fleet[t.Host])
}

// load puts a plan in force. What is granted and not begun is void; what drains comes back where
// the plan has no more work for it, and what is out stays until it has returned.
func (s *State) load(l *Load, r *Result) {
	if l.Version <= s.version {
		r.Err = &StalePlanError{Have: s.version, Got: l.Version}
		return
	}
	var c *compiled
	if l.Plan != nil {
		c, r.Err = compile(l.Plan)
		if r.Err != nil {
			return
		}
	}
	s.version, s.plan, s.loaded, r.Changed = l.Version, c, s.now, true
	maps.DeleteFunc(s.done, func(host, job string) bool { return c == nil || c.work[host].job != job })
	for _, t := range s.turns {
		w, wanted := s.wanted(t.Host)
		if wanted && t.Stage < Out {
			t.Job, t.Length, t.Deadline = w.job, w.length, w.deadline
		}
		switch {
		case t.Stage == Granted:
			s.giveUp(t, false)
		case t.Stage.holds() && t.Stage < Out && !wanted:
			s.recall(t)
		case !t.Stage.holds() && !wanted:
			delete(s.turns, t.Host)
		}
	}
	s.rebuild()
	r.Forecast = s.Forecast()
}

// rebuild counts the fleet anew.
func (s *State) rebuild() {
	groups := 0
	if s.plan != nil {
		groups = len(s.plan.groups)
	}
	s.yard = newYard(len(s.yard.ring), groups)
	for _, m := range s.fleet {
		m.away = false
		s.yard.add(m, 1)
		s.settle(m)
	}
}

// recall has a machine come back from its drain.
func (s *State) recall(t *Turn) {
	if t.Stage == Draining || t.Stage == Drained {
		t.Said = false
		s.turn(t, Recalled)
	}
}

// adopt has a host run under another name, as one that came back from a new disk may.
func (s *State) adopt(a *Adopt) error {
	if (s.fleet[a.Host] == nil && s.turns[a.Host] == nil) || len(s.names) >= namesMost {
		return &UnknownHostError{Host: a.Host}
	}
	if t := s.turns[a.Name]; (t != nil && t.Stage.holds()) || a.Name == a.Host {
		return &NameTakenError{Host: a.Host, Name: a.Name, By: a.Name}
	}
	s.names[a.Name] = a.Host
	delete(s.turns, a.Name)
	if m := s.fleet[a.Name]; m != nil {
		s.remove(a.Name)
		m.Host = a.Host
		s.put(m.Machine, m.at)
	}
	return nil
}

// drop ends the turn of a machine that is gone and stays so. While the fleet lists it, it is away.
func (s *State) drop(host string, r *Result) {
	t, m := s.turns[host], s.fleet[host]
	switch {
	case t == nil || !t.Stage.holds():
		r.Err = &OrderError{Host: host, What: "drop", Stage: s.stage(host)}
	case m != nil && m.Phase != Gone:
		r.Err = &OrderError{Host: host, What: "drop", Stage: t.Stage, Phase: m.Phase, Seen: true}
	default:
		s.giveUp(t, false)
		r.Changed = true
	}
}

// stage is how far a host's turn is; one without work is done.
func (s *State) stage(host string) Stage {
	if t := s.turns[host]; t != nil {
		return t.Stage
	}
	if _, wanted := s.wanted(host); wanted {
		return Waiting
	}
	return Done
}
