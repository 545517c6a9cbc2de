package rules

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"slices"
	"time"
)

// The terms of a world: a tick is 2 ms of a fast clock and 1 ms of a slow one. A lease has ended after
// two ticks by any clock, and what may overlap after one.
var small = LeaseParams{LeaseDuration: 2 * time.Millisecond, MaxOverlap: 2 * time.Millisecond, RenewInterval: time.Millisecond,
	RetryInterval: time.Millisecond, MaxClockDrift: 1, MaxHolders: 4}

const airMost = 5 // messages on their way; what comes beyond is lost

// plant is a bug that the exploration must find.
type plant string

const (
	sound     plant = ""
	answered  plant = "lease counted from the answer"
	early     plant = "activation before the last lease ended"
	drifting  plant = "clocks taken to run alike"
	deposed   plant = "deposed leader that grants"
	unheard   plant = "new leader that reckons with no leases of the one before"
	goneBack  plant = "older version after a restart"
	otherLife plant = "a new process acknowledges for those to whom the one before it granted"
)

// world is three nodes, an agreed registry and the messages on their way.
type world struct {
	plant   plant
	nodes   [3]*Node
	reg     Registry
	tick    time.Duration
	rate    [3]time.Duration // ms in a tick
	disk    [3]uint64        // mark
	before  [3]uint64        // mark that an older disk has
	acted   [3]uint64
	life    uint64
	leader  int
	begun   [3]uint64 // round of confirmation
	quorum  [3]uint64 // round that a quorum has confirmed
	commit  time.Duration
	last    time.Duration // tick
	air     []flight
	parents [3][]int
	cut     func(from, to int) bool // links that carry nothing from the second tick on, where all else is calm
	doubles int                     // how often each may happen yet
	elects  int
	crashes int
	cancels int
}

type flight struct {
	from, to int
	raw      string
}

func (w *world) at(i int) time.Duration { return time.Second + w.tick*w.rate[i]*time.Millisecond }

func (w *world) clone() *world {
	c := *w
	for i, n := range w.nodes {
		m := *n
		m.holder.leases, m.holder.texts, m.holder.requests = slices.Clone(n.holder.leases), slices.Clone(n.holder.texts), slices.Clone(n.holder.requests)
		m.grantor.holders, m.grantor.pending, m.ackOwed = slices.Clone(n.grantor.holders), slices.Clone(n.grantor.pending), slices.Clone(n.ackOwed)
		c.nodes[i] = &m
	}
	c.reg.state.Versions, c.reg.state.Scheduled = slices.Clone(w.reg.state.Versions), slices.Clone(w.reg.state.Scheduled)
	c.air = slices.Clone(w.air)
	return &c
}

func mix[T comparable](h *maphash.Hash, s []T) {
	maphash.WriteComparable(h, len(s))
	for _, v := range s {
		maphash.WriteComparable(h, v)
	}
}

var seed = maphash.MakeSeed()

func (w *world) hash() uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	for _, n := range w.nodes {
		mix(&h, n.holder.leases)
		mix(&h, n.holder.texts)
		mix(&h, n.holder.requests)
		mix(&h, n.grantor.holders)
		mix(&h, n.grantor.pending)
		mix(&h, n.ackOwed)
		maphash.WriteComparable(&h, struct {
			w              VersionState
			proved, led    bool
			seq            uint32
			n              [6]uint64
			at             [6]time.Duration
			parent, silent int
		}{n.holder.state, n.holder.hasFreshLease, n.grantor.leads, n.holder.sequence, [6]uint64{n.incarnation, n.holder.trimmedRevision, n.holder.highWaterMark, n.grantor.round, n.grantor.offeredRevision},
			[6]time.Duration{n.holder.requestAt, n.holder.requestedAt, n.grantor.unknownUntil, n.grantor.previousUntil, n.grantor.offeredAt, n.holder.responseTime}, n.holder.current, n.holder.unanswered})
	}
	mix(&h, w.air)
	maphash.WriteComparable(&h, struct {
		prepared                          bool
		n                                 [3]uint64
		by                                [5][3]uint64
		tick, commit                      time.Duration
		leader                            int
		doubles, elects, crashes, cancels int
	}{w.reg.state.Prepared, [3]uint64{w.reg.state.Active, w.reg.state.Revision, w.life}, [5][3]uint64{w.disk, w.before, w.acted, w.begun, w.quorum},
		w.tick, w.commit, w.leader, w.doubles, w.elects, w.crashes, w.cancels})
	return h.Sum64()
}

// poll does what a node's caller does; texts are there and disks keep at once.
func (w *world) poll(i int) {
	n, now := w.nodes[i], w.at(i)
	for {
		for _, o := range n.Flush(now) {
			raw, err := o.Message.Encode()
			if err != nil {
				panic(err)
			}
			if f := (flight{i, o.To, string(raw)}); len(w.air) < airMost && !slices.Contains(w.air, f) {
				w.air = append(w.air, f)
			}
		}
		if name, ok := n.MissingText(); ok {
			n.TextFetched(now, name, true)
		} else if number, ok := n.PersistDue(now); ok {
			w.before[i], w.disk[i] = w.disk[i], number
			n.Persisted(number)
		} else {
			break
		}
	}
	if round, ok := n.BeginConfirmation(); ok {
		w.begun[i] = round
	}
	slices.SortFunc(w.air, func(a, b flight) int { return cmp.Or(a.to-b.to, a.from-b.from, cmp.Compare(a.raw, b.raw)) })
}

func (w *world) hear(f flight) {
	m, err := DecodeMessage([]byte(f.raw), 3)
	if err != nil {
		panic(err)
	}
	n := w.nodes[f.to]
	if w.plant == answered {
		for i := range n.holder.requests {
			n.holder.requests[i].at = w.at(f.to)
		}
	}
	if i := slices.IndexFunc(n.grantor.holders, func(e holderState) bool { return e.node == m.Sender }); w.plant == otherLife && i >= 0 {
		m.Incarnation = n.grantor.holders[i].incarnation
	}
	n.Receive(w.at(f.to), m)
	w.poll(f.to)
}

func (w *world) do(c Command) {
	if _, err := w.reg.ApplyCommand(c); err != nil {
		panic(err)
	}
	w.nodes[w.leader].Observe(w.at(w.leader), w.reg.State())
	w.poll(w.leader)
}

func (w *world) elect(i int) {
	w.leader = i
	w.nodes[i].Observe(w.at(i), w.reg.State())
	w.nodes[i].BecomeLeader(w.at(i))
	if w.begun[i], w.quorum[i] = 0, 0; w.plant == unheard {
		w.nodes[i].grantor.unknownUntil = 0
	}
	w.poll(i)
}

func (w *world) restart(i int, mark uint64) {
	w.life++
	w.disk[i], w.begun[i], w.quorum[i] = mark, 0, 0
	w.nodes[i] = NewNode(Config{Node: i, Incarnation: w.life, HighWaterMark: mark, LeaseParams: w.terms()}, w.at(i))
	w.nodes[i].SetGrantors(w.at(i), w.parents[i])
	w.nodes[i].holder.hasFreshLease = w.plant == goneBack
	w.poll(i)
}

func (w *world) terms() LeaseParams {
	t := small
	if w.plant == drifting {
		t.MaxClockDrift = 0
	}
	return t
}

// step is something that can happen next; calm is what does where nothing goes wrong.
type step struct {
	calm bool
	do   func(*world)
}

// steps gives all that can happen next. A message may stay away for ever, so its loss is none of them.
func (w *world) steps() (steps []step) {
	add := func(calm bool, do func(*world)) { steps = append(steps, step{calm, do}) }
	w.deliveries(add)
	w.registrations(add)
	for i := range w.nodes {
		w.nodeSteps(i, add)
	}
	if w.tick < w.last {
		add(true, func(w *world) { w.tick++ })
	}
	return steps
}

// deliveries adds the steps of messages on their way.
func (w *world) deliveries(add func(calm bool, do func(*world))) {
	for k, f := range w.air {
		add(w.tick < 2 || !w.cut(f.from, f.to), func(w *world) { w.air = slices.Delete(w.air, k, k+1); w.hear(f) })
		if w.doubles > 0 {
			add(false, func(w *world) { w.doubles--; w.hear(f) })
		}
	}
}

// registrations adds the steps of the registry's leader.
func (w *world) registrations(add func(calm bool, do func(*world))) {
	if number, _, ok := w.reg.NextActivation(); ok && w.tick >= 2 {
		add(true, func(w *world) { w.do(Command{Prepare: &Prepare{Number: number}}) })
	}
	if w.reg.state.Prepared {
		number := w.reg.state.Scheduled[0]
		if w.at(w.leader) >= w.nodes[w.leader].grantor.commitAt() || w.plant == early {
			add(true, func(w *world) {
				w.commit = w.tick
				w.do(Command{Commit: &Commit{Number: number, Revision: w.reg.state.Revision}})
			})
		}
		if w.cancels > 0 {
			add(false, func(w *world) {
				w.cancels--
				w.do(Command{Cancel: &Cancel{Number: number}})
				w.do(Command{Activate: &Activate{Number: number, Kind: w.reg.state.Versions[number-1].Kind}})
			})
		}
	}
}

// nodeSteps adds the steps of one node.
func (w *world) nodeSteps(i int, add func(calm bool, do func(*world))) {
	n, now := w.nodes[i], w.at(i)
	if when, ok := n.NextWake(now); ok && when <= now { // while it does not wake it stands still
		add(true, func(w *world) { w.poll(i) })
	}
	if w.begun[i] > w.quorum[i] && (w.leader == i || w.plant == deposed) {
		add(true, func(w *world) { w.quorum[i] = w.begun[i] })
	}
	if n.grantor.leads && slices.ContainsFunc(n.grantor.pending, func(p pendingRequest) bool { return p.round != 0 && p.round <= w.quorum[i] }) {
		add(true, func(w *world) { w.nodes[i].LeadershipConfirmed(w.at(i), w.quorum[i]); w.poll(i) })
	}
	if w.elects > 0 && i < 2 && i != w.leader { // the old one goes on as if it led
		add(false, func(w *world) { w.elects--; w.elect(i) })
	}
	if n.grantor.leads && i != w.leader {
		add(false, func(w *world) {
			w.nodes[i].BecomeFollower()
			w.nodes[i].SetGrantors(w.at(i), []int{w.leader})
			w.poll(i)
		})
	}
	if w.crashes > 0 && i != w.leader {
		add(false, func(w *world) { w.crashes--; w.restart(i, w.disk[i]) })
		if w.before[i] != w.disk[i] {
			add(false, func(w *world) { w.crashes--; w.restart(i, w.before[i]) })
		}
	}
}

// wrong tells what must not be.
func (w *world) wrong() string {
	least, most := uint64(1<<63), uint64(0)
	for i, n := range w.nodes {
		number, _, _ := n.EffectiveVersion(w.at(i))
		if number == 0 {
			continue
		}
		if number < w.acted[i] {
			return fmt.Sprintf("node %d acts by %d after %d", i, number, w.acted[i])
		}
		w.acted[i] = number
		least, most = min(least, number), max(most, number)
	}
	switch {
	case most <= least:
	case w.reg.state.Versions[most-1].Kind == Exclusive:
		return fmt.Sprintf("%d and %d at once", least, most)
	case w.tick > w.commit:
		return fmt.Sprintf("%d and %d side by side for long", least, most)
	}
	return ""
}
