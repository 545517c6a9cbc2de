package maintenance

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// What a machine truly does, which only its own process and those who look from outside know.
type truth uint8

const (
	serves truth = iota
	drains
	isOut
	isCold
)

const (
	tick   = 300 * time.Millisecond
	faults = 2 // crashes, pauses, halts and lost leaders on one path
	inAir  = 4 // words at most
	cold   = 3 * tick
)

// letter is a message on its way: a word, its answer, or a look.
type letter struct {
	host   int
	word   *Request
	look   *Observation
	answer *Response
	nonce  uint64        // of the process that asked
	asked  time.Duration // on its clock
}

// world is three machines of which one may be away, the council's state, and all that is in flight.
type world struct {
	now    time.Duration
	state  *State
	truth  [3]truth
	agents [3]Agent
	paused [3]bool
	warm   [3]time.Duration // when it is, where it is cold
	procs  uint64
	air    []letter
	inAir  int
	faults int
}

func skew(i int) time.Duration { return time.Duration(i) * time.Hour }

var threePlan = &Plan{GrantTimeout: Duration(4 * tick), DrainDuration: Duration(time.Second), WarmUpDuration: Duration(time.Second),
	Bounds:     Bounds{MaxZoneFraction: 1000, MaxSetFraction: 340, SetSizes: []int{3}, MaxCapacityFraction: 1000},
	HaltPolicy: HaltPolicy{MaxServedDrop: 20, MaxNoMajorityDuration: Duration(time.Second), ResumeMode: ResumeAutomatically},
	Jobs:       []Job{{Name: "disk", Hosts: []string{"n[0-2]"}, WorkDuration: Duration(time.Minute)}}}

var (
	hosts  = [...]string{"n0", "n1", "n2"}
	phases = [...]Phase{serves: PhaseWarm, drains: PhaseIdle, isOut: PhaseGone, isCold: PhaseCold}
)

func host(i int) string { return hosts[i] }

// newWorld has a plan in force and evidence of three that serve.
func newWorld(t *testing.T) *world {
	w := &world{inAir: inAir, now: gather} // the plan has waited for its hosts
	s := New()
	require.NoError(t, s.Apply(&Command{LoadPlan: &LoadPlan{Version: 1, Plan: threePlan}}).Err)
	for i := range w.agents {
		w.start(i)
	}
	w.state = s
	w.tick(s)
	return w
}

// clone copies what commands may change.
func (s *State) clone() *State {
	c := *s
	c.zones, c.done, c.yard = maps.Clone(s.zones), maps.Clone(s.done), s.yard.clone()
	c.turns, c.fleet = make(map[string]*Lease, 3), make(map[string]*machine, 3)
	for h, t := range s.turns {
		copied := *t
		c.turns[h] = &copied
	}
	for h, m := range s.fleet {
		copied := *m
		c.fleet[h] = &copied
	}
	return &c
}

// start has a new process on a host.
func (w *world) start(i int) {
	w.procs++
	w.agents[i] = *NewAgent(host(i), host(i), w.procs, false)
	w.paused[i] = false
}

// tick lets time pass: agents speak, the leader looks.
func (w *world) tick(s *State) {
	w.now += tick
	for i := range w.agents {
		if w.truth[i] == isCold && w.now >= w.warm[i] {
			w.truth[i] = serves
		}
		if w.paused[i] || w.truth[i] == isOut {
			continue
		}
		w.act(i, w.agents[i].CheckTimeout(w.now+skew(i)))
		if len(w.air) < w.inAir {
			word := w.agents[i].NextRequest(w.now + skew(i))
			w.air = append(w.air, letter{host: i, word: &word, nonce: w.agents[i].nonce, asked: w.now + skew(i)})
		}
	}
	l := s.Diff(w.observe())
	l.MeasuredAt, l.RingSize, l.ServedFraction = w.now, 3, 900
	w.air = append(w.air, letter{look: l})
}

func (w *world) observe() (seen []Machine) {
	for i, d := range w.truth {
		seen = append(seen, Machine{Host: host(i), Name: host(i), Zone: "z" + host(i), Index: i, Capacity: 10, Phase: phases[d]})
	}
	return seen
}

func (w *world) act(i int, a Action) {
	switch a {
	case ActionDrain:
		w.truth[i] = drains
	case ActionUndrain:
		w.truth[i] = serves
	case ActionLeave:
		w.truth[i] = isOut
	}
}

// deliver brings a letter to where it goes.
func (w *world) deliver(s *State, l letter, bug string) {
	at := w.now + time.Millisecond // later than what was measured now
	switch {
	case l.look != nil:
		s.Apply(&Command{GroupTime: at, Observation: l.look})
	case l.answer != nil:
		a := &w.agents[l.host]
		if a.nonce != l.nonce || w.truth[l.host] == isOut {
			return // its connection ended with its process
		}
		if bug == "old answers act" {
			a.heard, a.ended, a.last.FencingToken = 0, 0, 0
			l.answer.TTL = time.Hour
		}
		w.act(l.host, a.HandleResponse(w.now+skew(l.host), l.asked, *l.answer))
	default:
		word := *l.word
		if t := s.turns[word.Host]; bug == "old words count" && t != nil && word.Type > RequestAcquire {
			word.FencingToken = t.FencingToken
		}
		answer := s.Response(word.Host)
		if word.Type != RequestPoll {
			answer = s.Apply(&Command{GroupTime: at, Request: &word}).Response
		}
		if t := s.turns[word.Host]; bug == "back is returned" && t != nil && t.Stage == StageArrived {
			s.finish(t)
		}
		w.air = append(w.air, letter{host: l.host, answer: &answer, nonce: l.nonce, asked: l.asked})
	}
}

// choices is how many ways there are to go on.
func (w *world) choices() int {
	n := 1 + 3*len(w.air)
	if w.faults < faults {
		n += 3*3 + 2
	}
	return n
}

// step goes on by one choice; false is one that changes nothing.
func (w *world) step(choice int, bug string) bool {
	s := w.state.clone()
	if choice == 0 {
		w.tick(s)
	} else if choice--; choice < 3*len(w.air) { // deliver, double or lose one, in any order
		l := w.air[choice/3]
		w.air = slices.Clone(w.air)
		if choice%3 != 1 {
			w.air = slices.Delete(w.air, choice/3, choice/3+1)
		}
		if choice%3 != 2 {
			w.deliver(s, l, bug)
		}
	} else if !w.fault(s, choice-3*len(w.air), bug) {
		return false
	}
	w.state = s
	return true
}

func (w *world) fault(s *State, fault int, bug string) bool {
	i := fault % 3
	w.faults++
	switch fault / 3 {
	case 0: // the process dies and another starts, on a disk with nothing; one that is out comes back from its work
		if w.truth[i] == isOut {
			w.truth[i], w.warm[i] = isCold, w.now+cold
			w.faults-- // no fault
		} else {
			w.truth[i] = serves // as if it had been warm at once: only what turns did is judged
		}
		w.start(i)
	case 1: // it stands still, or wakes and looks at its clock first
		if w.paused[i] = !w.paused[i]; !w.paused[i] {
			w.act(i, w.agents[i].CheckTimeout(w.now+skew(i)))
		}
	case 2: // it loses the council, or somebody resumes
		if w.paused[i] {
			return false
		}
		w.air = slices.DeleteFunc(slices.Clone(w.air), func(l letter) bool { return l.look == nil && l.host == i })
	default:
		if i == 1 {
			s.Apply(&Command{GroupTime: w.now, Halt: &Halt{}})
			break
		}
		// The leader dies: what it had proposed and nobody took is gone.
		w.air = slices.DeleteFunc(slices.Clone(w.air), func(l letter) bool { return l.answer == nil })
		if bug == "a turn is forgotten" {
			for _, t := range s.held() {
				s.turn(t, StageRequested)
			}
		}
	}
	return true
}

// wrong is what must not be, or "".
func (w *world) wrong() string {
	s, away := w.state, 0
	for i, d := range w.truth {
		if d == serves {
			continue
		}
		if away++; !s.stage(host(i)).holds() {
			return fmt.Sprintf("%s is away (%d) and its turn is %v", host(i), d, s.stage(host(i)))
		}
	}
	if n := len(s.held()); away > 1 || n > 1 {
		return fmt.Sprintf("%d are away, %d turns are held", away, n)
	}
	return ""
}

// hash tells worlds apart.
func (w *world) hash() uint64 {
	b := make([]byte, 0, 1024)
	put := func(values ...uint64) {
		for _, v := range values {
			b = binary.AppendUvarint(b, v)
		}
	}
	bit := func(v bool) uint64 {
		if v {
			return 1
		}
		return 0
	}
	answer := func(a *Response) { put(uint64(a.Stage), a.FencingToken, a.Nonce, uint64(a.TTL)) }
	s := w.state
	put(uint64(w.now), uint64(w.faults), uint64(s.now), uint64(s.seen), s.fence, s.looks, uint64(len(s.halt.hand)), uint64(len(s.halt.trouble)))
	for i := range w.agents {
		a := &w.agents[i]
		put(uint64(w.truth[i]), uint64(w.warm[i]), bit(w.paused[i]), a.nonce, bit(a.asked), uint64(a.heard), a.ended, bit(a.drains), bit(a.out))
		answer(&a.last)
		if t := s.turns[host(i)]; t != nil {
			put(uint64(t.Stage), t.FencingToken, t.Nonce, uint64(t.StageSince), uint64(t.TimerAt), bit(t.UndrainConfirmed), bit(t.SeenGone), uint64(t.UnusedGrants))
		}
		if m := s.fleet[host(i)]; m != nil {
			put(uint64(m.Phase), uint64(m.at))
		}
	}
	for _, l := range w.air {
		put(uint64(l.host), l.nonce, uint64(l.asked))
		switch {
		case l.word != nil:
			put(uint64(l.word.Type), l.word.FencingToken, l.word.Nonce)
		case l.answer != nil:
			answer(l.answer)
		default:
			put(l.look.Base, uint64(l.look.MeasuredAt))
			for _, m := range l.look.Machines {
				put(uint64(m.Index), uint64(m.Phase))
			}
		}
	}
	return xxhash.Sum64(b)
}
