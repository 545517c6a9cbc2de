package share

import (
	"cmp"
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

// entry is what is known of one customer.
type entry struct {
	key     uint64
	plan    uint32
	quota   Quota
	set     Set // of no nodes until one is told
	epoch   uint64
	owner   int
	quorum  bool
	movedAt time.Duration
	moved   bool
	view    View
	store   *Store // held here; nil is elsewhere
}

// link is what one node and this one have told each other.
type link struct {
	number   uint32
	sentAt   [sentKept]time.Duration // by number
	heard    uint32                  // latest number of theirs
	heardAt  time.Duration
	life     uint64 // of their process
	spokenAt time.Duration
	spoken   bool

	due     time.Duration // when something is to be sent; below zero is nothing
	pending map[uint64]*Use
	hands   []Hand
	flying  *Message // with uses that are not known to be counted
	flewAt  time.Duration
	counted uint32 // of theirs, last
	ack     bool
	levels  map[uint64]*entry // whose level goes with the word that they were counted
}

// news is what is to be passed on.
type news struct {
	levels map[uint64]at
	owners map[int]told
	words  map[word]time.Duration
}

// at is a level with the time at which it was right, and whom it is for.
type at struct {
	level float64
	at    time.Duration
	set   Set
}

// told is when an owner's low stores were all told, and whom they are for.
type told struct {
	at    time.Duration
	reach int
}

func newNews() news {
	return news{make(map[uint64]at), make(map[int]told), make(map[word]time.Duration)}
}

func (n *news) empty() bool { return len(n.levels)+len(n.owners)+len(n.words) == 0 }

func (n *news) level(customer uint64, v at) {
	if o, ok := n.levels[customer]; !ok || v.at > o.at {
		n.levels[customer] = v
	}
}

func (n *news) charge(w word, when time.Duration) {
	if o, ok := n.words[w]; !ok || when > o {
		n.words[w] = when
	}
}

func (n *news) owner(node int, v told) {
	if o, ok := n.owners[node]; !ok || v.at > o.at {
		n.owners[node] = v
	}
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

// ---- who is live ----

// Live takes the other nodes that are live. Stores whose owner is another now go to it, and so do
// the uses that the owner before has not said to have counted.
func (x *Exchange) Live(now time.Duration, others []Node) {
	var lost []*Use
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
		if e := x.owned[key]; x.ownerOf(e, now) != x.cfg.Self {
			x.hand(e, now)
		}
	}
	for _, u := range lost {
		e := x.meet(u.Customer, u.Plan, Set{u.First, u.Spread}, now)
		if e != nil {
			x.tell(e, float64(u.Units), now, now+batch)
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

// hand gives a store to its new owner.
func (x *Exchange) hand(e *entry, now time.Duration) {
	l := x.dueBy(e.owner, now)
	l.hands = append(l.hands, Hand{Customer: e.key, Plan: e.plan, First: e.set.First, Spread: e.set.Spread, Level: float32(e.store.Level(now)), Taken: float32(math.Min(unitsMost, e.store.taken)), Guessed: e.store.guessed})
	x.Counts.Handed++
	e.view.Hear(e.store.Level(now), now)
	e.store = nil
	delete(x.owned, e.key)
	delete(x.lows, e.key)
}

// ---- customers ----

// meet gives what is known of a customer, with its plan and set; nil where the plan has no quota.
func (x *Exchange) meet(key uint64, plan uint32, s Set, now time.Duration) *entry {
	q, ok := x.cfg.Quotas[plan]
	if !ok || q.Rate <= 0 {
		return nil
	}
	e := x.entry(key, now)
	if e.plan, e.quota = plan, q; s.Spread > e.set.Spread {
		e.set, e.epoch = Set{s.First, min(s.Spread, x.cfg.Group)}, 0
	}
	return e
}

// entry gives what is known of a customer. Those not met for long are forgotten, and beyond the
// most those met longest ago.
func (x *Exchange) entry(key uint64, now time.Duration) *entry {
	if now > x.rotated+rotate || len(x.young) >= x.cfg.Customers/2 {
		for k, e := range x.old {
			if x.young[k] == nil && e.store != nil {
				delete(x.owned, k)
				delete(x.lows, k)
			}
		}
		x.old, x.young, x.rotated = x.young, make(map[uint64]*entry), now
	}
	e := x.young[key]
	if e == nil {
		if e = x.old[key]; e == nil {
			e = &entry{key: key, owner: -1}
		}
		x.young[key] = e
	}
	return e
}

// ownerOf gives the owner of a customer among the live nodes.
func (x *Exchange) ownerOf(e *entry, now time.Duration) int {
	if e.epoch == x.epoch || e.set.Spread == 0 {
		return e.owner
	}
	before := e.owner
	e.owner, e.quorum = Owner(e.key, e.set, x.cfg.Group, func(n int) bool { return x.alive[n] })
	if e.epoch = x.epoch; before >= 0 && before != e.owner {
		e.moved, e.movedAt = true, now
	}
	return e.owner
}

// store gives the store of a customer that this node owns. One that follows an owner it has not
// heard from begins with what that one told last; of stores that are not low nothing is told.
func (x *Exchange) store(e *entry, now time.Duration) *Store {
	if e.store != nil {
		return e.store
	}
	level := e.quota.Depth
	switch {
	case e.view.heard && now < e.view.at+beatFor:
		level = e.view.Level(e.quota, now)
	case e.moved && now < e.movedAt+beatFor:
		level = lowPart * e.quota.Depth
	}
	e.store = NewStore(e.quota, level, now)
	e.store.guessed = e.moved && now < e.movedAt+beatFor
	x.owned[e.key] = e
	return e.store
}

// Known is what a node knows of a customer's store.
type Known struct {
	Units float64 // that it holds, less what was sent on from here since
	Least bool    // it holds that much at least
	Age   time.Duration
}

// Level tells what is known of a customer's store, if anything is that may be used: nothing told
// is older than Life, nothing is used for a while after the owner changed, and nothing where most
// of the customer's set is not to be seen.
func (x *Exchange) Level(now time.Duration, key uint64, plan uint32, s Set) (k Known, ok bool) {
	e := x.meet(key, plan, s, now)
	if e == nil {
		return k, false
	}
	owner := x.ownerOf(e, now)
	if owner < 0 || !e.quorum || e.moved && now < e.movedAt+settleFor {
		return k, false
	}
	if owner == x.cfg.Self {
		if now < x.quietUntil {
			return k, false
		}
		return Known{Units: x.store(e, now).Level(now)}, true
	}
	x.cover(e, now)
	if !e.view.Fresh(now) {
		return k, false
	}
	return Known{Units: e.view.Level(e.quota, now), Least: e.view.least, Age: now - e.view.at}, true
}

// cover takes that an owner has told all its low stores and not this one: it held lowPart at least.
// One that was low when last told is low until that is too old, as an owner tells no small change.
func (x *Exchange) cover(e *entry, now time.Duration) {
	told, ok := x.covered[e.owner]
	least := lowPart * e.quota.Depth
	if !ok || now > told+Life || e.view.heard && told <= e.view.at || e.view.Fresh(now) && (e.view.low || e.view.Level(e.quota, now) > least) {
		return
	}
	e.view.Hear(least, told)
	e.view.least = true
	x.takeUnsaid(e)
}

// Sent takes units that this node has sent on for a customer, to be told to its owner. A
// correction of what was sent before may wait.
func (x *Exchange) Sent(now time.Duration, key uint64, plan uint32, s Set, units float64, correction bool) {
	e := x.meet(key, plan, s, now)
	if e == nil || units == 0 {
		return
	}
	e.view.Take(units)
	if correction {
		x.tell(e, units, now, now+lazy)
		return
	}
	x.tell(e, units, now, now+batch)
}

// tell has a use counted by its owner.
func (x *Exchange) tell(e *entry, units float64, now, by time.Duration) {
	owner := x.ownerOf(e, now)
	if owner == x.cfg.Self {
		x.count(e, units, now)
		return
	}
	if owner < 0 {
		x.Counts.Untold++
		return
	}
	l := x.dueBy(owner, by)
	u := l.pending[e.key]
	if u == nil {
		u = &Use{Customer: e.key, Plan: e.plan, First: e.set.First, Spread: e.set.Spread}
		l.pending[e.key] = u
	}
	u.Units += float32(units)
}

// count takes a use from the store held here, and has the others told where that is due.
func (x *Exchange) count(e *entry, units float64, now time.Duration) {
	x.store(e, now).Take(units, now)
	if x.beatAt == 0 || x.lastUse+beatFor < now {
		x.beatAt = now + batch
	}
	x.lastUse, x.reach = now, max(x.reach, min(e.set.Spread, x.cfg.Group-1))
	x.wakeBy(max(x.beatAt, x.quietUntil))
	x.due(e, now)
}

// due has a store told where that is due.
func (x *Exchange) due(e *entry, now time.Duration) {
	if level, ok := e.store.Due(now); ok {
		x.up.level(e.key, at{level, now, e.set})
		x.beatAt = min(x.beatAt, now+batch)
		x.wakeBy(max(x.beatAt, x.quietUntil))
	}
	if e.store.low(e.store.Level(now)) {
		x.lows[e.key] = e
	} else {
		delete(x.lows, e.key)
	}
}

// ---- messages ----

func (x *Exchange) link(node int) *link {
	l := x.links[node]
	if l == nil {
		l = &link{number: x.numbers[node], life: x.lives[node], due: -1, pending: make(map[uint64]*Use), levels: make(map[uint64]*entry)}
		x.links[node] = l
	}
	return l
}

// dueBy has something sent to a node by a time.
func (x *Exchange) dueBy(node int, when time.Duration) *link {
	l := x.link(node)
	if l.due < 0 || when < l.due {
		l.due = when
	}
	x.busy[node] = l
	x.wakeBy(when)
	return l
}

// unsaid gives the uses that the other side has not said to have counted.
func (l *link) unsaid() (uses []*Use) {
	if l.flying != nil {
		for i := range l.flying.Uses {
			uses = append(uses, &l.flying.Uses[i])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(l.pending)) {
		uses = append(uses, l.pending[key])
	}
	return uses
}

// Hear takes a message. One of a process that is not live is refused; whatever is said twice
// counts once.
func (x *Exchange) Hear(now time.Duration, m *Message) {
	if m.From == x.cfg.Self || m.Life == 0 || m.Life != x.lives[m.From] {
		x.Counts.Strange++
		return
	}
	x.Counts.Heard++
	l := x.link(m.From)
	if int32(m.Number-l.heard) > 0 || l.heard == 0 {
		l.heard, l.heardAt = m.Number, now
	}
	if l.flying != nil && m.Acked == l.flying.Seq {
		l.flying = nil
		if len(l.pending)+len(l.hands) > 0 {
			x.dueBy(m.From, now+batch)
		}
	}
	if m.Seq > 0 {
		x.counted(l, m, now)
	}
	if len(m.Levels)+len(m.Owners)+len(m.Charges) > 0 {
		x.learn(l, m, now)
		if !l.spoken || now > l.spokenAt+echoEach {
			x.dueBy(m.From, now) // so that it can tell ages
		}
	}
}

// counted takes uses and stores, each once, and has that said.
func (x *Exchange) counted(l *link, m *Message, now time.Duration) {
	l.ack = true
	x.dueBy(m.From, now)
	fresh := int32(m.Seq-l.counted) > 0
	if fresh {
		l.counted = m.Seq
	} else {
		x.Counts.Repeated++
	}
	for _, h := range m.Hands {
		e := x.meet(h.Customer, h.Plan, Set{h.First, h.Spread}, now)
		if e == nil || !fresh {
			continue
		}
		x.Counts.Taken++
		x.store(e, now).Merge(float64(h.Level), float64(h.Taken), h.Guessed, now) // the refill on its way is left out
		x.count(e, 0, now)
	}
	for _, u := range m.Uses {
		e := x.meet(u.Customer, u.Plan, Set{u.First, u.Spread}, now)
		if e == nil {
			continue
		}
		if x.ownerOf(e, now) != x.cfg.Self {
			if fresh { // the other does not know of the change yet
				x.tell(e, float64(u.Units), now, now+batch)
			}
			continue
		}
		if fresh {
			x.count(e, float64(u.Units), now)
		}
		l.levels[e.key] = e
	}
}

// learn takes levels and owners with their ages, and has them passed on where this node is a head.
func (x *Exchange) learn(l *link, m *Message, now time.Duration) {
	sent, ok := l.sent(m, x.cfg.Life)
	if !ok || sent > now {
		x.Counts.Ageless++
		return
	}
	for _, v := range m.Levels {
		when := sent - time.Duration(v.Age)*time.Millisecond
		if when+Life < now {
			x.Counts.Late++
			continue
		}
		x.hears(v, when, now)
		x.passOn(m.Hop, func(n *news) { n.level(v.Customer, at{float64(v.Units), when, Set{v.First, v.Spread}}) }, now)
	}
	for _, c := range m.Charges {
		when := sent - time.Duration(c.Age)*time.Millisecond
		if when+VerdictLife < now {
			x.Counts.Late++
			continue
		}
		w := word{Server{c.Key, c.Boot}, c.Node}
		x.court.hear(w, when)
		x.passOn(m.Hop, func(n *news) { n.charge(w, when) }, now)
	}
	for _, o := range m.Owners {
		when := sent - time.Duration(o.Age)*time.Millisecond
		if when+Life < now {
			x.Counts.Late++
			continue
		}
		x.covered[o.Node] = max(x.covered[o.Node], when)
		x.passOn(m.Hop, func(n *news) { n.owner(o.Node, told{when, o.Reach}) }, now)
	}
}

// hears takes a level of a customer, less own uses that its owner may not have counted yet.
func (x *Exchange) hears(v Level, when, now time.Duration) {
	e := x.entry(v.Customer, now)
	newer := !e.view.heard || when > e.view.at
	e.view.Hear(float64(v.Units), when)
	e.view.low = e.quota.Depth == 0 || float64(v.Units) < lowPart*e.quota.Depth // of one not met before, it was told as it is low
	if newer {
		x.takeUnsaid(e)
	}
}

// takeUnsaid takes from what is reckoned the own uses that the owner may not have counted.
func (x *Exchange) takeUnsaid(e *entry) {
	l := x.links[e.owner]
	if l == nil {
		return
	}
	if u := l.pending[e.key]; u != nil {
		e.view.Take(float64(u.Units))
	}
	if l.flying == nil {
		return
	}
	for i := range l.flying.Uses {
		if l.flying.Uses[i].Customer == e.key {
			e.view.Take(float64(l.flying.Uses[i].Units))
		}
	}
}

// passOn puts what has come to a head where it goes on from.
func (x *Exchange) passOn(hop int, put func(*news), now time.Duration) {
	if hop == 0 || hop == hopLast {
		return
	}
	if hop == 1 {
		put(&x.toHead)
	}
	put(&x.toMine)
	if x.relayAt == 0 {
		x.relayAt = now + relayEvery
	}
	x.wakeBy(x.relayAt)
}

// sent gives the earliest time, on this node's clock, at which a message can have been sent: the
// sender had our number so long before. Only a number that was sent of late tells it.
func (l *link) sent(m *Message, life uint64) (time.Duration, bool) {
	if m.Echo == 0 || m.EchoLife != uint32(life) || l.number-m.Echo >= sentKept {
		return 0, false
	}
	return l.sentAt[m.Echo%sentKept] + time.Duration(m.Held)*time.Microsecond, true
}

// Flush gives the messages that are due.
func (x *Exchange) Flush(now time.Duration) []Out {
	if x.wake >= 0 && now > x.wake+sleptAfter {
		// What the others have told since has not been read yet, and may be that a store is low.
		x.quietUntil = now + Life/2
	}
	x.wake = -1
	var out []Out
	out = x.beat(now, out)
	out = x.relay(now, out)
	for _, node := range slices.Sorted(maps.Keys(x.busy)) {
		l := x.busy[node]
		if l.flying != nil && now >= l.flewAt+resend {
			x.Counts.Resent++
			l.flewAt = now
			again := *l.flying
			out = append(out, x.stamp(node, &again, now))
		}
		if l.due >= 0 && l.due <= now {
			out = x.speak(node, l, now, out)
		}
		if l.flying != nil {
			x.wakeBy(l.flewAt + resend)
		}
		if l.due >= 0 {
			x.wakeBy(l.due)
		} else if l.flying == nil {
			delete(x.busy, node)
		}
	}
	return out
}

// speak sends what is due to one node: uses, what was counted, or a word alone.
func (x *Exchange) speak(node int, l *link, now time.Duration, out []Out) []Out {
	l.due = -1
	m := &Message{}
	if l.ack {
		m.Acked, l.ack = l.counted, false
		for _, key := range slices.Sorted(maps.Keys(l.levels)) {
			if e := l.levels[key]; e.store != nil && len(m.Levels) < ackedMost {
				m.Levels = append(m.Levels, Level{Customer: key, First: e.set.First, Spread: e.set.Spread, Units: float32(e.store.Level(now))})
			}
		}
		clear(l.levels)
	}
	if l.flying == nil && len(l.pending)+len(l.hands) > 0 {
		x.seq++
		m.Seq = x.seq
		n := min(len(l.hands), usesMost-ackedMost)
		m.Hands, l.hands = l.hands[:n:n], l.hands[n:]
		for _, key := range slices.Sorted(maps.Keys(l.pending)) {
			if len(m.Uses)+n >= usesMost {
				break
			}
			m.Uses = append(m.Uses, *l.pending[key])
			delete(l.pending, key)
		}
		l.flying, l.flewAt = &Message{Seq: m.Seq, Uses: m.Uses, Hands: m.Hands}, now
		if len(l.pending)+len(l.hands) > 0 {
			x.dueBy(node, now+batch)
		}
	}
	return append(out, x.stamp(node, m, now))
}

// beat tells, as an owner, the stores that are due and that all others are not low.
func (x *Exchange) beat(now time.Duration, out []Out) []Out {
	if x.left {
		x.up = newNews()
	}
	if x.left || now > x.lastUse+beatFor && x.up.empty() {
		return out
	}
	if now < x.beatAt || now < x.quietUntil {
		x.wakeBy(max(x.beatAt, x.quietUntil))
		return out
	}
	x.beatAt = now + beat
	x.wakeBy(x.beatAt)
	for _, key := range slices.Sorted(maps.Keys(x.lows)) {
		x.due(x.lows[key], now)
	}
	x.up.owner(x.cfg.Self, told{now, x.reach})
	if x.head == x.cfg.Self {
		for key, v := range x.up.levels {
			x.passOn(1, func(n *news) { n.level(key, v) }, now)
		}
		for w, when := range x.up.words {
			x.passOn(1, func(n *news) { n.charge(w, when) }, now)
		}
		x.passOn(1, func(n *news) { n.owner(x.cfg.Self, told{now, x.reach}) }, now)
		x.up = newNews()
		return out
	}
	return x.drain(x.up.sheet(now), 1, x.head, func(Set) bool { return true }, now, out)
}

// relay passes on, as a head, what has come.
func (x *Exchange) relay(now time.Duration, out []Out) []Out {
	if x.relayAt == 0 {
		return out
	}
	if now < x.relayAt {
		x.wakeBy(x.relayAt)
		return out
	}
	x.relayAt = 0
	toHead, toMine := x.toHead.sheet(now), x.toMine.sheet(now)
	for cell, h := range x.cells.heads {
		if h >= 0 && h != x.cfg.Self {
			out = x.drain(toHead, 2, h, func(s Set) bool { return x.cells.meets(s, cell) }, now, out)
		}
	}
	for _, n := range x.mine {
		out = x.drain(toMine, hopLast, n, func(s Set) bool { return s.holds(n, x.cfg.Group) }, now, out)
	}
	return out
}

// sheet is news in the form and order in which it is sent.
type sheet struct {
	levels  []Level
	owners  []Told
	charges []Charge
}

// sheet takes all news, which are empty after.
func (n *news) sheet(now time.Duration) (s sheet) {
	age := func(when time.Duration) uint32 {
		return uint32(math.Ceil(float64(max(0, now-when)) / float64(time.Millisecond)))
	}
	for _, key := range slices.Sorted(maps.Keys(n.levels)) {
		v := n.levels[key]
		s.levels = append(s.levels, Level{Customer: key, First: v.set.First, Spread: v.set.Spread, Units: float32(v.level), Age: age(v.at)})
	}
	for _, node := range slices.Sorted(maps.Keys(n.owners)) {
		s.owners = append(s.owners, Told{Node: node, Reach: n.owners[node].reach, Age: age(n.owners[node].at)})
	}
	for _, w := range slices.SortedFunc(maps.Keys(n.words), cmpWord) {
		s.charges = append(s.charges, Charge{Key: w.server.Key, Boot: w.server.Boot, Node: w.node, Age: age(n.words[w])})
	}
	*n = newNews()
	return s
}

// drain sends a node what of some news is for it, in messages that each fit a datagram. Words against
// servers are for all.
func (x *Exchange) drain(s sheet, hop, to int, wants func(Set) bool, now time.Duration, out []Out) []Out {
	var levels []Level
	for _, l := range s.levels {
		if wants(Set{l.First, l.Spread}) {
			levels = append(levels, l)
		}
	}
	var owners []Told
	for _, o := range s.owners {
		if wants(around(o.Node, o.Reach, x.cfg.Group)) {
			owners = append(owners, o)
		}
	}
	// Charges go first, alone, and levels before the word that all are told.
	for charges := s.charges; len(levels)+len(owners)+len(charges) > 0; {
		m := &Message{Hop: hop}
		if c := min(len(charges), chargesMost); c > 0 {
			m.Charges, charges = charges[:c], charges[c:]
		} else if a := min(len(levels), levelsMost); a < len(levels) {
			m.Levels, levels = levels[:a], levels[a:]
		} else {
			b := min(len(owners), ownersMost)
			m.Levels, m.Owners, levels, owners = levels, owners[:b], nil, owners[b:]
		}
		out = append(out, x.stamp(to, m, now))
	}
	return out
}

// stamp puts a message's head on it.
func (x *Exchange) stamp(node int, m *Message, now time.Duration) Out {
	l := x.link(node)
	l.number++
	l.number = cmp.Or(l.number, 1)
	l.sentAt[l.number%sentKept] = now
	l.spoken, l.spokenAt = true, now
	m.From, m.Life, m.Number = x.cfg.Self, x.cfg.Life, l.number
	if l.heard > 0 {
		m.Echo, m.EchoLife, m.Held = l.heard, uint32(l.life), uint32(min(int64(math.MaxUint32), int64((now-l.heardAt)/time.Microsecond)))
	}
	x.Counts.Sent++
	return Out{node, m}
}

// Figures brings the counts of what is held up to date.
func (x *Exchange) Figures() Counts {
	x.Counts.Stores, x.Counts.Lows = int64(len(x.owned)), int64(len(x.lows))
	return x.Counts
}
