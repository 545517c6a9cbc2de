package learner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sloestile/fleet/rules"
)

const (
	stateEach = 4 * time.Second // at most, between two words of a node on how it does
	stateSoon = 50 * time.Millisecond
	stateLife = 15 * time.Second // of a word; a node that is not heard for so long is not counted
	statesMax = 256              // nodes that tell this one
	bysMost   = 8                // versions and reasons in a word
	troubles  = 6                // refusals in a word
	whyMost   = 100              // bytes of one
)

// By is how many nodes go by a version, or by none for a reason.
type By struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Why    rules.Reason
	Nodes  int
}

// Trouble is a node that can't act by a version, and why.
type Trouble struct {
	_    struct{} `cbor:",toarray"`
	Node int
	Why  string
}

// State is how the nodes of a part of the fleet do. At the leader it is all that are heard.
type State struct {
	By       []By
	Troubles []Trouble
	Refusing int // nodes, also those that Troubles has no room for
}

// told is what a node tells the one that it asks for leases.
type told struct {
	_     struct{} `cbor:",toarray"`
	From  int
	Life  uint64
	State State
}

type heardState struct {
	at    time.Duration
	state State
}

// states gathers what others tell.
type states struct {
	of   map[int]heardState
	at   time.Duration // when to tell next
	last State         // told
}

func (s *states) hear(now time.Duration, t *told) {
	if _, known := s.of[t.From]; !known && len(s.of) >= statesMax || len(t.State.By) > bysMost || len(t.State.Troubles) > troubles {
		return
	}
	s.of[t.From] = heardState{now, t.State}
	s.at = min(s.at, now+stateSoon)
}

// flush puts out how all that are heard do, and tells the one that is asked for leases.
func (s *states) flush(l *Learner) {
	now := Clock()
	sum := s.sum(l, now)
	l.sum.Store(&sum)
	changed := !sum.equal(s.last)
	if changed {
		s.at = min(s.at, now+stateSoon)
	}
	if now < s.at {
		return
	}
	s.at, s.last = now+stateEach, sum
	p := l.parents()
	if l.leads || len(p) == 0 {
		return
	}
	if raw, err := encoding.Marshal(told{From: l.cfg.Self, Life: l.life, State: sum}); err == nil {
		l.send(p[0], kindState, raw)
	}
}

func (s *State) equal(o State) bool {
	return s.Refusing == o.Refusing && slices.Equal(s.By, o.By) && slices.Equal(s.Troubles, o.Troubles)
}

// sum adds this node to those heard.
func (s *states) sum(l *Learner, now time.Duration) State {
	type key struct {
		number uint64
		why    rules.Reason
	}
	a := l.acting.Load()
	nodes := map[key]int{{a.Number, a.Why}: 1}
	var out State
	if why := l.Refusal(); why != nil {
		text := strings.ToValidUTF8(why.Error()[:min(len(why.Error()), whyMost)], "")
		out.Refusing, out.Troubles = 1, []Trouble{{Node: l.cfg.Self, Why: text}}
	}
	maps.DeleteFunc(s.of, func(_ int, h heardState) bool { return now-h.at > stateLife })
	for _, from := range slices.Sorted(maps.Keys(s.of)) {
		h := s.of[from].state
		for _, b := range h.By {
			nodes[key{b.Number, b.Why}] += b.Nodes
		}
		out.Refusing += h.Refusing
		out.Troubles = append(out.Troubles, h.Troubles...)
	}
	out.Troubles = out.Troubles[:min(len(out.Troubles), troubles)]
	for k, n := range nodes {
		out.By = append(out.By, By{Number: k.number, Why: k.why, Nodes: n})
	}
	slices.SortFunc(out.By, func(a, b By) int {
		if a.Number != b.Number {
			return -compare(a.Number, b.Number)
		}
		return compare(a.Why, b.Why)
	})
	out.By = out.By[:min(len(out.By), bysMost)]
	return out
}

func compare[T uint64 | rules.Reason](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Fleet is how the nodes do that are heard here; at the leader, all.
func (l *Learner) Fleet() State { return *l.sum.Load() }
