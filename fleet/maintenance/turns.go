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
	StageWaiting   Stage = iota // nobody asks for it, or what was granted was given up
	StageRequested              // a process on the host asks for it
	StageGranted                // its drain may begin, for a while
	StageDraining               // its drain has begun
	StageDrained                // seen idle from outside, it may go out
	StageRecalled               // it is to come back from its drain
	StageOut                    // it is worked on
	StageArrived                // it has come back
	StageWarmingUp              // it is seen back, and held to the cold rule
	StageDone                   // returned
)

func (s Stage) String() string {
	return name(s, "waiting", "asked", "granted", "draining", "drained", "recalled", "out", "arrived", "warming", "done")
}

// holds tells whether a turn in a stage has a place that goes to nobody else.
func (s Stage) holds() bool { return s >= StageGranted && s < StageDone }

// Lease is one host's.
type Lease struct {
	Host             string        `cbor:"1,keyasint"`
	Name             string        `cbor:"2,keyasint"` // under which the process that asked last runs
	Job              string        `cbor:"3,keyasint"`
	WorkDuration     Duration      `cbor:"4,keyasint"`
	Deadline         Timestamp     `cbor:"5,keyasint"`
	Stage            Stage         `cbor:"6,keyasint"`
	FencingToken     uint64        `cbor:"7,keyasint"`  // under which it is held now; a word under any other does nothing
	Nonce            uint64        `cbor:"8,keyasint"`  // of the process that asked last
	StageSince       time.Duration `cbor:"9,keyasint"`  // of its stage; evidence from before does not count for it
	TimerAt          time.Duration `cbor:"10,keyasint"` // when granted: then it is given up; when given up: it is not granted again before
	UndrainConfirmed bool          `cbor:"11,keyasint"` // recalled, it has said that it is back
	SeenGone         bool          `cbor:"12,keyasint"` // out, it was seen gone
	UnusedGrants     int           `cbor:"13,keyasint"` // times in a row
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
	wall    Timestamp
	fence   uint64 // given last
	version uint64
	plan    *compiled     // nil is none
	loaded  time.Duration // when it was put in force
	looks   uint64
	seen    time.Duration // as of when all evidence stands
	blind   bool          // the last look told not all
	zones   map[string]ZoneState
	uplinks []UplinkWindow
	halt    halt
	fleet   map[string]*machine
	turns   map[string]*Lease
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
	return &State{zones: map[string]ZoneState{}, fleet: map[string]*machine{}, turns: map[string]*Lease{},
		done: map[string]string{}, names: map[string]string{}, yard: newYard(0, 0)}
}

// Result is what a command has come to.
type Result struct {
	Response      Response  // to a word
	Granted       []string  // hosts whose turn it now is: they are to be told soon, as they ask now and then
	Forecast      *Forecast // at Load
	ForecastStale bool      // the forecast made before may be wrong
	Err           error     // why the command did nothing; typed
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
	s.now = max(s.now, c.GroupTime)
	s.wall = c.WallTime
	s.expire(&r)
	switch {
	case c.LoadPlan != nil:
		s.load(c.LoadPlan, &r)
	case c.Observation != nil:
		s.look(c.Observation, &r)
	case c.Request != nil:
		s.word(c.Request, &r)
	case c.Halt != nil:
		s.haltAll(&s.halt.hand, cmp.Or(c.Halt.Reason, "by hand"), &r)
	case c.Resume != nil:
		s.resume(&r)
	case c.Uplinks != nil:
		s.uplinks, r.ForecastStale = slices.Clone(c.Uplinks.Windows), true
	case c.AdoptName != nil:
		r.Err = s.adopt(c.AdoptName)
		r.ForecastStale = r.Err == nil
	case c.DropLease != nil:
		s.drop(c.DropLease.Host, &r)
	}
	return r
}

// expire gives up what was granted and not begun in its time.
func (s *State) expire(r *Result) {
	for _, t := range s.turns {
		if t.Stage == StageGranted && s.now >= t.TimerAt {
			s.giveUp(t, true)
			r.ForecastStale = true
		}
	}
}

// held lists the turns that hold a place, by host.
func (s *State) held() (held []*Lease) {
	for _, t := range s.turns {
		if t.Stage.holds() {
			held = append(held, t)
		}
	}
	slices.SortFunc(held, func(a, b *Lease) int { return cmp.Compare(a.Host, b.Host) })
	return held
}

// turn moves a turn on.
func (s *State) turn(t *Lease, to Stage) {
	t.Stage, t.StageSince = to, s.now
	s.settle(s.fleet[t.Host])
}

// settle counts a machine as away or not, as its evidence and its turn have it.
func (s *State) settle(m *machine) {
	if m == nil {
		return
	}
	away := m.Phase != PhaseWarm
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
func (s *State) giveUp(t *Lease, idle bool) {
	t.FencingToken, t.Nonce, t.UndrainConfirmed, t.SeenGone = 0, 0, false, false
	t.UnusedGrants++
	if !idle {
		t.UnusedGrants = 0
	}
	t.TimerAt = s.now
	if s.plan != nil && idle {
		t.TimerAt += min(time.Duration(s.plan.plan.GrantTimeout)<<min(t.UnusedGrants, 10), againMost)
	}
	s.turn(t, StageWaiting)
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
func (s *State) finish(t *Lease) {
	if s.plan != nil && s.plan.work[t.Host].job == t.Job {
		s.done[t.Host] = t.Job
	}
	delete(s.turns, t.Host)
	s.settle(s.fleet[t.Host])
}

// load puts a plan in force. What is granted and not begun is void; what drains comes back where
// the plan has no more work for it, and what is out stays until it has returned.
func (s *State) load(l *LoadPlan, r *Result) {
	if l.Version <= s.version {
		r.Err = &StalePlanError{Current: s.version, Got: l.Version}
		return
	}
	var c *compiled
	if l.Plan != nil {
		c, r.Err = compile(l.Plan)
		if r.Err != nil {
			return
		}
	}
	s.version, s.plan, s.loaded, r.ForecastStale = l.Version, c, s.now, true
	maps.DeleteFunc(s.done, func(host, job string) bool { return c == nil || c.work[host].job != job })
	for _, t := range s.turns {
		w, wanted := s.wanted(t.Host)
		if wanted && t.Stage < StageOut {
			t.Job, t.WorkDuration, t.Deadline = w.job, w.length, w.deadline
		}
		switch {
		case t.Stage == StageGranted:
			s.giveUp(t, false)
		case t.Stage.holds() && t.Stage < StageOut && !wanted:
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
func (s *State) recall(t *Lease) {
	if t.Stage == StageDraining || t.Stage == StageDrained {
		t.UndrainConfirmed = false
		s.turn(t, StageRecalled)
	}
}

// adopt has a host run under another name, as one that came back from a new disk may.
func (s *State) adopt(a *AdoptName) error {
	if (s.fleet[a.Host] == nil && s.turns[a.Host] == nil) || len(s.names) >= namesMost {
		return &UnknownHostError{Host: a.Host}
	}
	if t := s.turns[a.Name]; (t != nil && t.Stage.holds()) || a.Name == a.Host {
		return &NameTakenError{Host: a.Host, Name: a.Name, UsedBy: a.Name}
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
		r.Err = &OrderError{Host: host, Operation: "drop", Stage: s.stage(host)}
	case m != nil && m.Phase != PhaseGone:
		r.Err = &OrderError{Host: host, Operation: "drop", Stage: t.Stage, Phase: m.Phase, WrongPhase: true}
	default:
		s.giveUp(t, false)
		r.ForecastStale = true
	}
}

// stage is how far a host's turn is; one without work is done.
func (s *State) stage(host string) Stage {
	if t := s.turns[host]; t != nil {
		return t.Stage
	}
	if _, wanted := s.wanted(host); wanted {
		return StageWaiting
	}
	return StageDone
}
