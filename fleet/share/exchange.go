package share

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	batch      = 50 * time.Millisecond  // for which uses for one owner are gathered
	lazy       = 400 * time.Millisecond // for which corrections of uses wait for a use to go with
	resend     = 300 * time.Millisecond // after which uses that nobody has said to have counted go again
	beat       = 250 * time.Millisecond // between two words of an owner that all its low stores are told
	relayEvery = 100 * time.Millisecond // for which a head gathers what it passes on
	beatFor    = 10 * time.Second       // after the last use, for which an owner goes on with its beats: stores are full by then
	settleFor  = 2 * time.Second        // after a change of a customer's owner, for which nothing told is used
	sleptAfter = 500 * time.Millisecond // by which a flush must be late for the process to have stood still
	rotate     = 15 * time.Second       // after which customers not met are forgotten: their stores are full again
	echoEach   = time.Second            // at which a node sends a word to one that tells it, so that ages can be told
	sentKept   = 16                     // numbers whose time is remembered; an older echo tells no age
	hopLast    = 3                      // owner to head, head to heads, head to its nodes
)

// Config is how a node takes part in an exchange.
type Config struct {
	Self, Group int    // index of this node, and how many there are
	Life        uint64 // of this process, the one that others see
	Quotas      map[uint32]Quota
	Customers   int // remembered at most
}

// Node is another node that is live.
type Node struct {
	Index int
	Life  uint64
}

// Out is a message to be sent.
type Out struct {
	To      int
	Message *Message
}

// Counts are figures for the operators.
type Counts struct {
	Sent, Heard                 int64 // messages
	Late, Ageless, Strange      int64 // refused parts: too old, of unknown age; messages of a process that is not live
	Resent, Repeated, Untold    int64 // messages of uses sent again, counted before, and uses that no owner could be told
	Charges, Verdicts           int64 // own charges against servers, and verdicts reached here
	Handed, Taken, Stores, Lows int64 // stores given and taken over; stores held, and those of them that are low
}

// Exchange is one node's part. It is not safe for concurrent use.
type Exchange struct {
	Counts Counts
	cfg    Config
	epoch  uint64   // of the live nodes
	nodes  []int    // that are live, this one among them, in order
	alive  []bool   // by index
	left   bool     // this one has taken leave: it tells, and owns nothing
	lives  []uint64 // of their processes, by index; of one that has gone, the last; 0 is not known
	cells  cells
	head   int   // that tells this node; itself where it is one
	mine   []int // the nodes that this one tells, where it is a head

	young, old map[uint64]*entry // customers met since the last rotation, and before
	rotated    time.Duration
	links      map[int]*link
	busy       map[int]*link         // those of them that have something to send, or sent what is not known to be counted
	numbers    map[int]uint32        // of links that are gone, so that no number is used twice
	seq        uint32                // of the last uses, to whomever
	covered    map[int]time.Duration // by owner: until when its low stores are known
	owned      map[uint64]*entry     // with stores held here
	lows       map[uint64]*entry     // those of them that are low

	court court

	up     news // to be told as an owner
	toHead news // to be told to the other heads
	toMine news // to be told to this head's nodes

	lastUse, beatAt, relayAt time.Duration // relayAt: when heads pass on next; zero is nothing to
	reach                    int           // the largest set of a store that was held here
	quietUntil               time.Duration // after the process stood still, or just started
	wake                     time.Duration // the next flush; below zero is none
}

// NewExchange makes a node's part; it is alone until Live tells it of others.
func NewExchange(cfg Config, now time.Duration) *Exchange {
	x := &Exchange{cfg: cfg, lives: make([]uint64, cfg.Group), young: make(map[uint64]*entry), old: make(map[uint64]*entry),
		links: make(map[int]*link), busy: make(map[int]*link), numbers: make(map[int]uint32), covered: make(map[int]time.Duration), owned: make(map[uint64]*entry), lows: make(map[uint64]*entry),
		court: newCourt(), up: newNews(), toHead: newNews(), toMine: newNews(), rotated: now, lastUse: now - beatFor, wake: -1}
	x.settle(now, nil)
	return x
}

// Wake gives when Flush is to be called next, if at all.
func (x *Exchange) Wake() (when time.Duration, ok bool) { return x.wake, x.wake >= 0 }

func (x *Exchange) wakeBy(when time.Duration) {
	if x.wake < 0 || when < x.wake {
		x.wake = when
	}
}

// Live takes the other nodes that are live. Stores whose owner is another now go to it, and so do
// the uses that the owner before has not said to have counted.
func (x *Exchange) Live(now time.Duration, others []Node) {
	var lost []untold
	x.settle(now, others)
	for _, node := range slices.Sorted(maps.Keys(x.links)) {
		l := x.links[node]
		if x.alive[node] && l.life == x.lives[node] {
			continue
		}
		lost = append(lost, l.unsaid()...)
		x.numbers[node] = l.number
		delete(x.links, node)
		delete(x.busy, node)
	}
	for _, key := range slices.Sorted(maps.Keys(x.owned)) {
		// A store that this node has left and nobody else is there for stays: there is none to hand it to.
		if e := x.owned[key]; x.ownerOf(e, now) != x.cfg.Self && e.owner >= 0 {
			x.hand(e, now)
		}
	}
	for _, u := range lost {
		e := x.meet(u.Customer, u.Plan, Set{u.First, u.Spread}, now)
		if e != nil {
			x.tell(e, float64(u.Units), u.since, now, now+batch)
		}
	}
}

// settle puts a membership in force.
func (x *Exchange) settle(now time.Duration, others []Node) {
	x.epoch++
	x.nodes, x.alive = x.nodes[:0], make([]bool, x.cfg.Group)
	if !x.left {
		x.nodes, x.alive[x.cfg.Self] = append(x.nodes, x.cfg.Self), true
	}
	for _, n := range others {
		if n.Index < 0 || n.Index >= x.cfg.Group || n.Index == x.cfg.Self || x.alive[n.Index] {
			continue
		}
		x.nodes, x.alive[n.Index], x.lives[n.Index] = append(x.nodes, n.Index), true, n.Life
	}
	slices.Sort(x.nodes)
	x.cells = newCells(x.cfg.Group, x.nodes)
	own := x.cells.of(x.cfg.Self)
	x.head, x.mine = x.cells.heads[own], x.mine[:0]
	if x.head != x.cfg.Self {
		return
	}
	for _, n := range x.nodes {
		if n != x.cfg.Self && x.cells.of(n) == own {
			x.mine = append(x.mine, n)
		}
	}
}

// Leave gives the stores held here to those that own them when this node has gone, and leaves it
// without any; what it sends on from now on it tells them. Flush is to be called after it.
func (x *Exchange) Leave(now time.Duration) {
	x.epoch++
	x.left, x.alive[x.cfg.Self] = true, false
	for _, key := range slices.Sorted(maps.Keys(x.owned)) {
		e := x.owned[key]
		if x.ownerOf(e, now); e.owner >= 0 {
			x.hand(e, now)
		}
	}
}

// Return takes back a Leave: this node may own again. Live is to be called after it.
func (x *Exchange) Return() {
	x.epoch++
	x.left, x.alive[x.cfg.Self] = false, true
}

// hand gives a store to its new owner.
func (x *Exchange) hand(e *entry, now time.Duration) {
	l := x.dueBy(e.owner, now)
	l.hands = append(l.hands, Hand{Customer: e.key, Plan: e.plan, First: e.set.First, Spread: e.set.Spread, Level: float32(e.store.Level(now)), Taken: float32(math.Min(unitsMost, e.store.taken)), Guessed: e.store.guessed})
	if e.store.guessed && (l.made == 0 || e.store.made < l.made) {
		l.made = e.store.made
	}
	x.Counts.Handed++
	e.view.Hear(e.store.Level(now), now)
	e.store = nil
	delete(x.owned, e.key)
	delete(x.lows, e.key)
}

// Figures brings the counts of what is held up to date.
func (x *Exchange) Figures() Counts {
	x.Counts.Stores, x.Counts.Lows = int64(len(x.owned)), int64(len(x.lows))
	return x.Counts
}
