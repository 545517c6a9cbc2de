package delayedref

import (
	"math"
	"slices"
	"time"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// state is a server's as it was at a time; the policy sees it later.
type state struct {
	at        time.Duration
	left      float64 // core-seconds that it still had to do
	able      float64 // core-seconds a second
	bad       float64 // part of its answers that are errors
	wants     bool    // it is there and does not drain
	allowance float64 // core-seconds that the settings let it have within the rule's time; a warm one any
}

// send is what the policy has sent a server.
type send struct {
	at   time.Duration
	work float64 // as expected
}

// look notes the state of all servers, and forgets what is too old to matter.
func (w *world) look() {
	for _, s := range w.servers {
		w.change(s, func() {})
		x := state{at: w.Now, left: s.Left(), able: s.Capacity(w.Now), bad: s.ErrorRate + s.Errors, allowance: math.Inf(1),
			wants: s.up && !s.silent && (s.Drain == 0 || w.Now < s.Drain)}
		if s.Paused || s.Held > 0 {
			x.able = 0
		}
		if s.Warmth(w.Now) < 1 {
			x.allowance = s.Allowed(w.Now) * w.d.MeanWork().Seconds()
		}
		s.seen = append(s.seen, x)
		for len(s.seen) > 1 && s.seen[1].at <= w.Now-seenAfter {
			s.seen = s.seen[1:]
		}
		for len(s.sent) > 0 && s.sent[0].at < w.Now-max(seenAfter+lookEvery, w.fallSpan()) {
			s.sent = s.sent[1:]
		}
	}
}

func (w *world) fallSpan() time.Duration {
	return time.Duration(w.d.File.Rules.FallMS * float64(time.Millisecond))
}

// expect is after which time a server is expected to have done a request's work, seen from a node; ok
// is false where the policy sends nothing.
func (w *world) expect(s *server, node int, work float64) (wait time.Duration, ok bool) {
	x, zone := s.seen[0], w.d.Nodes[node].Zone
	if !x.wants || x.able <= 0 || w.cut(zone, s.Zone, x.at) {
		return 0, false
	}
	sent, within := 0.0, 0.0
	for _, o := range s.sent {
		if o.at >= x.at {
			sent += o.work
		}
		if o.at >= w.Now-w.fallSpan() {
			within += o.work
		}
	}
	if within+work > x.allowance {
		return 0, false
	}
	left := math.Max(0, x.left+sent-x.able*(w.Now-x.at).Seconds())
	took := (left/x.able + work*float64(s.Cores)/x.able) / math.Max(0.01, 1-x.bad)
	return 2*w.d.Delay(zone, s.Zone) + time.Duration(took*float64(time.Second)), true
}

// lateHeard is how long after its time a client still hears an answer.
const lateHeard = 500 * time.Millisecond

// try is one try of a client.
type try struct {
	a      *scenario.Arrival
	node   int
	until  time.Duration // for which the client waits
	inside bool          // its units are taken
	tried  []*server
	over   bool
	ended  func(ok, advice bool)
}

// client plays one try of an arrival's client, and those after it.
func (w *world) client(i int, m *scenario.Manner, n int) {
	a := &w.d.Arrivals[i]
	left, ok := m.Left(w.Now)
	if !ok || n >= m.Tries {
		return
	}
	again := func(advice bool) { w.After(m.Wait(advice), func() { w.client(i, m, n+1) }) }
	t := &try{a: a, node: w.d.Pick(a.Customer, w.Now, m.Place, w.takes), until: w.Now + left}
	if t.node < 0 {
		again(false)
		return
	}
	heard := left + lateHeard
	if m.Hasty {
		heard = left
	}
	w.After(heard, func() {
		if !t.over && !m.Hasty {
			again(false)
		}
		t.over = true
	})
	t.ended = func(ok, advice bool) {
		w.After(w.d.Link.Client, func() {
			if t.over {
				return
			}
			t.over = true
			if aim := time.Duration(w.d.Classes[a.Class].AimMS * float64(time.Millisecond)); ok && w.Now-a.At <= aim {
				w.served[i] = true
			}
			if !ok {
				again(advice)
			}
		})
	}
	if w.answers(t.node) {
		w.After(w.d.Link.Client, func() { w.decide(t) })
	}
}

// decide sends a try to the server that is expected to have done it first, or refuses it.
func (w *world) decide(t *try) {
	units, depth := float64(t.a.Units), w.d.Plans[w.d.Customers[t.a.Customer].Plan].Depth
	if !t.inside && w.ledger.Room(t.a.Customer, w.Now)*depth < units {
		t.ended(false, true)
		return
	}
	class := &w.d.Classes[t.a.Class]
	work, aim := class.WorkMS.Lo/1000, time.Duration(class.AimMS*float64(time.Millisecond))
	var best *server
	least := min(t.until, t.a.At+aim-w.d.Link.Client) - w.Now // what comes later earns nothing
	for _, s := range w.servers {
		if wait, ok := w.expect(s, t.node, work); ok && wait < least && !slices.Contains(t.tried, s) {
			best, least = s, wait
		}
	}
	most := w.d.File.Rules.SendCap
	if best == nil || most > 0 && len(t.tried) >= most {
		t.ended(false, !t.inside)
		return
	}
	if !t.inside {
		t.inside = w.ledger.Take(t.a.Customer, units, w.Now)
	}
	t.tried = append(t.tried, best)
	best.sent = append(best.sent, send{w.Now, work})
	w.send(t, best)
}

// send carries an attempt to a server and its outcome back. What surely has not run, or may run
// again, is decided on anew.
func (w *world) send(t *try, s *server) {
	zone := w.d.Nodes[t.node].Zone
	delay := w.d.Delay(zone, s.Zone)
	lost := func() bool { return s.silent || w.cut(zone, s.Zone, w.Now) }
	if lost() {
		w.After(connectWait, func() { w.decide(t) })
		return
	}
	w.After(delay, func() {
		w.work(s, t.node, t.a, func(o record.Outcome) {
			w.After(delay, func() {
				switch {
				case lost(): // and so is its answer
				case o == record.Served:
					w.ledger.Settle(t.a.Customer, float64(t.a.Units), float64(t.a.True), w.Now)
					t.ended(true, false)
				case o == record.Away || w.d.Classes[t.a.Class].Effect == "free":
					w.decide(t)
				default:
					t.ended(false, false)
				}
			})
		})
	})
}
