// Package delayedref plays a day against a policy that sees the true state of all rating servers, late: the
// reference by which the gate says what each class and plan is owed. One place decides for all nodes;
// it knows each customer's store, and what it has sent itself. Servers, clients, links and faults are
// those of the day; there are no processes and no sockets, and a day takes as long as its arithmetic.
package delayedref

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sloestile/internal/testbed/eventqueue"
	"sloestile/internal/testbed/machine"
	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/refbucket"
	"sloestile/internal/testbed/scenario"
)

const (
	seenAfter   = 500 * time.Millisecond // by which the policy is late to see; ours, the page names none
	lookEvery   = 100 * time.Millisecond
	connectWait = 250 * time.Millisecond // until a server of which nothing is heard is given up
	noAfter     = 300 * time.Millisecond // from a node's SIGTERM to no new requests for it
	restartFor  = 2500 * time.Millisecond
	readyAfter  = 500 * time.Millisecond // from a process's start to its first request
)

// kinds of faults that the world here has. What strikes lists, counter or nodes' talk alone is nothing
// to a policy that needs none of these.
var kinds = []string{"kill", "restart", "stop", "slow", "errors", "pause", "shared", "crash", "zone", "split", "oneway", "replace",
	"burst", "dark", "silent", "spoilt", "move", "counter"}

// world is a day in progress.
type world struct {
	eventqueue.Agenda
	d       *scenario.Day
	ledger  *refbucket.Ledger
	servers []*server
	nodes   [][]gone // by node
	rng     *rand.Rand
	served  []bool
}

// server is one rating server, and what the policy has seen of it and sent it.
type server struct {
	*machine.Machine
	up, silent bool
	plans      int // of its next look at its work, of which the newest holds
	seen       []state
	sent       []send
}

// gone is a while in which a node is away, and from when the front knows.
type gone struct {
	from, known, back time.Duration
	ends              bool // in the platform's way: what it holds is answered
}

// Served plays a day. It tells which arrivals are served within their class's aim and their quota. An
// error says what of the day the world here does not have: then there is no reference.
func Served(d *scenario.Day) ([]bool, error) {
	for _, e := range d.Faults {
		if !slices.Contains(kinds, e.Kind) {
			return nil, fmt.Errorf("no late-seeing policy for this day: its world has no fault of kind %q", e.Kind)
		}
	}
	w := &world{d: d, rng: rand.New(rand.NewPCG(d.Seed, 9)), served: make([]bool, len(d.Arrivals)), nodes: make([][]gone, len(d.Nodes))}
	var quotas []refbucket.Quota
	for _, c := range d.Customers {
		quotas = append(quotas, refbucket.Quota{Rate: d.Plans[c.Plan].Rate, Burst: d.Plans[c.Plan].Depth})
	}
	w.ledger = refbucket.New(quotas, 0, 0)
	for i, m := range d.Servers {
		s := &server{Machine: machine.New(d, i), up: m.From < 0}
		s.Bears = machine.Bears // those of the platform: what is owed goes by what can be served there
		w.servers = append(w.servers, s)
		w.life(s)
	}
	for _, e := range d.Faults {
		w.fault(e)
	}
	for t := time.Duration(0); t < d.Length; t += lookEvery {
		w.After(t, w.look)
	}
	for i := range d.Arrivals {
		w.After(d.Arrivals[i].At, func() { w.client(i, d.Manner(&d.Arrivals[i]), 0) })
	}
	w.Run()
	return w.served, nil
}

// life has a server come, pause and go as the day has it.
func (w *world) life(s *server) {
	if s.From >= 0 {
		w.After(s.From, func() { s.up = true })
	}
	if s.Gone > 0 {
		w.After(s.Gone, func() { w.die(s) })
	}
	for _, x := range s.Pauses {
		w.during(x.At, x.For, func(on bool) {
			w.change(s, func() {
				if s.Held--; on {
					s.Held += 2
				}
			})
		})
	}
}

// during has something switched on for a while.
func (w *world) during(at, span time.Duration, set func(on bool)) {
	w.After(at, func() { set(true) })
	w.After(at+span, func() { set(false) })
}

// fault puts one event of the timetable on the agenda.
func (w *world) fault(e scenario.Event) {
	each := func(set func(s *server, on bool)) {
		w.during(e.At, e.For, func(on bool) {
			for i, s := range w.servers {
				if e.Kind == "shared" || e.Kind == "zone" && s.Zone == e.Targets[0] || e.Kind != "zone" && slices.Contains(e.Targets, i) {
					w.change(s, func() { set(s, on) })
				}
			}
		})
	}
	switch e.Kind {
	case "slow", "shared":
		each(func(s *server, on bool) {
			if s.Slow = 1; on {
				s.Slow = e.Size
			}
		})
	case "errors":
		each(func(s *server, on bool) {
			if s.Errors = 0; on {
				s.Errors = e.Size
			}
		})
	case "pause":
		each(func(s *server, on bool) { s.Paused = on })
	case "crash":
		each(func(s *server, on bool) { w.reborn(s, !on && e.For > 0) })
	case "zone":
		each(func(s *server, on bool) {
			running := s.From <= e.At && (s.Gone == 0 || e.At < s.Gone)
			if s.silent = on; !on && running {
				w.reborn(s, true)
			}
		})
	case "kill", "stop", "restart":
		w.away(e)
	}
}

// reborn ends a server's process, and starts it anew, cold.
func (w *world) reborn(s *server, again bool) {
	w.die(s)
	if again {
		s.Restart(w.Now)
		s.up = true
	}
}

func (w *world) die(s *server) {
	s.up = false
	s.Die()
}

// away enters when the nodes of a fault are away.
func (w *world) away(e scenario.Event) {
	for _, n := range e.Targets {
		g := gone{from: e.At, known: e.At + w.d.Nodes[n].Notice, back: e.At + e.For}
		switch {
		case e.Kind == "restart":
			g = gone{from: e.At, known: e.At + noAfter, back: e.At + restartFor + readyAfter, ends: true}
		case e.Kind == "kill" && e.For == 0:
			g.back = 2 * w.d.Length
		case e.Kind == "kill":
			g.back += readyAfter
		}
		w.nodes[n] = append(w.nodes[n], g)
	}
}

// takes tells whether the front sends to a node now, and answers whether anything comes back.
func (w *world) takes(n int) bool {
	return !slices.ContainsFunc(w.nodes[n], func(g gone) bool { return w.Now >= g.known && w.Now < g.back })
}

func (w *world) answers(n int) bool {
	return !slices.ContainsFunc(w.nodes[n], func(g gone) bool { return !g.ends && w.Now >= g.from && w.Now < g.back })
}

// change does a server's work up to now, lets its state be changed and looks anew at what is next.
func (w *world) change(s *server, f func()) {
	s.Advance(w.Now)
	f()
	s.plans++
	n := s.plans
	if wait, ok := s.Next(w.Now); ok {
		w.After(max(wait, time.Microsecond), func() {
			if n == s.plans {
				w.change(s, func() {})
			}
		})
	}
}

// cut tells whether nothing passes between two zones.
func (w *world) cut(a, b int, at time.Duration) bool {
	return a != b && slices.ContainsFunc(w.d.Faults, func(e scenario.Event) bool {
		return (e.Kind == "split" || e.Kind == "oneway") && (a == e.Targets[0] || b == e.Targets[0]) && at >= e.At && at < e.At+e.For
	})
}

// work has a server work on an attempt that has reached it; ended hears how that went.
func (w *world) work(s *server, node int, a *scenario.Arrival, ended func(record.Outcome)) {
	w.change(s, func() {
		if !s.up {
			ended(record.Away)
			return
		}
		if _, falls := s.Pushed(node, a.Work.Seconds(), w.Now); falls {
			w.die(s)
			ended(record.Died)
			return
		}
		grace := time.Duration(w.d.File.Rules.DrainGraceMS * float64(time.Millisecond))
		if s.Drain > 0 && w.Now > s.Drain+grace || s.Admit(a.Work.Seconds(), func(o record.Outcome) {
			if o == record.Served && w.rng.Float64() < s.ErrorRate+s.Errors {
				o = record.Failed
			}
			ended(o)
		}) == nil {
			ended(record.Away)
		}
	})
}
