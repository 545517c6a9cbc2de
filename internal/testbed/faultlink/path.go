// Package faultlink is the network between the parties of a play. Whatever passes between two parties
// crosses a Path, whose conditions can be changed while connections are open: delay, loss, silence
// in one direction or both, resets, stalls, a trickle. The kernel is left as it is.
package faultlink

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	retransmit   = 200 * time.Millisecond // what a lost packet costs a stream, as Linux's least time-out
	delayLeast   = 300 * time.Microsecond // below it a sleep takes longer than the delay; sockets have that much
	trickleEach  = 50 * time.Millisecond  // between two pieces of a trickle
	backlog      = 1024
	dummyTimeout = 200 * time.Millisecond // a connection to one's own full queue
)

// Trouble is what is wrong with a path for a while. Up is the direction from the party that dials;
// where neither direction is named a reset or a stall concerns both.
type Trouble struct {
	Delay     time.Duration // more, one way
	Loss      float64       // part of the packets; a stream waits for their repeat
	Up, Down  bool          // directions that fail
	Drop      bool          // nothing passes and nothing is said: open connections are silent, new ones never come up, packets are lost
	Reset     bool          // connections are reset, open ones at once and new ones as they come; packets are lost
	Stall     bool          // bytes are accepted and kept; all come when it is over
	Part      float64       // of connections and packets that Drop and Reset concern; 0 is all
	TricklePS float64       // bytes a second that pass at most; 0 is no bound
}

func (t *Trouble) concerns(up bool) bool {
	return t.Up == t.Down || t.Up == up
}

// hits tells whether a drop or reset concerns a connection or packet, by what was drawn for it.
func (t *Trouble) hits(luck float64) bool { return t.Part == 0 || luck < t.Part }

// all tells whether it concerns each of them.
func (t *Trouble) all() bool { return t.Part == 0 || t.Part >= 1 }

// moment is the conditions of a path at one time.
type moment struct {
	troubles []*Trouble
	delay    time.Duration
	loss     float64
	changed  chan struct{} // closed when other conditions hold
}

// stalls tells whether what goes in a direction is kept.
func (m *moment) stalls(up bool) bool {
	return slices.ContainsFunc(m.troubles, func(t *Trouble) bool { return t.Stall && t.concerns(up) })
}

// stops tells whether bytes of one direction of a connection stay where they are.
func (m *moment) stops(up bool, luck float64) bool {
	return m.stalls(up) || slices.ContainsFunc(m.troubles, func(t *Trouble) bool { return t.Drop && t.concerns(up) && t.hits(luck) })
}

// silent tells whether no new connection comes up.
func (m *moment) silent() bool {
	return slices.ContainsFunc(m.troubles, func(t *Trouble) bool { return t.Drop && t.all() })
}

func (m *moment) resets(luck float64) bool {
	return slices.ContainsFunc(m.troubles, func(t *Trouble) bool { return t.Reset && t.hits(luck) })
}

// drops draws whether a packet of one direction is lost.
func (m *moment) drops(up bool) bool {
	return slices.ContainsFunc(m.troubles, func(t *Trouble) bool {
		return (t.Drop && t.concerns(up) || t.Reset) && t.hits(rand.Float64())
	})
}

// rate is the bytes a second that pass in a direction; 0 is no bound.
func (m *moment) rate(up bool) float64 {
	least := 0.0
	for _, t := range m.troubles {
		if t.TricklePS > 0 && t.concerns(up) && (least == 0 || t.TricklePS < least) {
			least = t.TricklePS
		}
	}
	return least
}

// takes is how long a packet is under way.
func (m *moment) takes() time.Duration {
	if m.loss > 0 && rand.Float64() < m.loss {
		return m.delay + retransmit
	}
	return m.delay
}

// Path joins two parties. It is safe for concurrent use.
type Path struct {
	From, To     int // the parties, as the play numbers them
	now          atomic.Pointer[moment]
	Opened       atomic.Int64 // connections that came up
	Up, Down     atomic.Int64 // bytes
	delay        time.Duration
	mu           sync.Mutex
	conns        map[*Conn]struct{}
	wakeListener func()
}

// NewPath makes a path with a delay.
func NewPath(from, to int, delay time.Duration) *Path {
	p := &Path{From: from, To: to, delay: delay, conns: make(map[*Conn]struct{})}
	p.now.Store(&moment{delay: delay, changed: make(chan struct{})})
	return p
}

// Begin puts a trouble in force, beside those that hold, until it is ended.
func (p *Path) Begin(t Trouble) (end func()) {
	p.change(func(all []*Trouble) []*Trouble { return append(all, &t) })
	if t.Reset {
		p.reset(t.hits)
	}
	return func() {
		p.change(func(all []*Trouble) []*Trouble {
			return slices.DeleteFunc(all, func(x *Trouble) bool { return x == &t })
		})
	}
}

// Clear ends all troubles.
func (p *Path) Clear() { p.change(func([]*Trouble) []*Trouble { return nil }) }

func (p *Path) change(f func([]*Trouble) []*Trouble) {
	p.mu.Lock()
	old := p.now.Load()
	next := &moment{troubles: f(slices.Clone(old.troubles)), delay: p.delay, changed: make(chan struct{})}
	passed := 1.0
	for _, t := range next.troubles {
		next.delay += t.Delay
		passed *= 1 - math.Min(1, t.Loss)
	}
	next.loss = 1 - passed
	p.now.Store(next)
	close(old.changed)
	wake := p.wakeListener
	p.mu.Unlock()
	if wake != nil {
		wake()
	}
}

// Reset ends all open connections with a reset on both sides.
func (p *Path) Reset() { p.reset(func(float64) bool { return true }) }

func (p *Path) reset(hits func(luck float64) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if hits(c.luck) {
			c.reset()
		}
	}
}

// until waits for conditions of which holds is true; it gives false where done ends it before.
func (p *Path) until(done <-chan struct{}, holds func(*moment) bool) bool {
	for {
		m := p.now.Load()
		if holds(m) {
			return true
		}
		select {
		case <-m.changed:
		case <-done:
			return false
		}
	}
}

// pause waits, unless done ends it or it is too short to be kept.
func pause(d time.Duration, done <-chan struct{}) {
	if d < delayLeast {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}
