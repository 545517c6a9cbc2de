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
var testLeaseParams = LeaseParams{LeaseDuration: 2 * time.Millisecond, MaxOverlap: 2 * time.Millisecond, RenewInterval: time.Millisecond,
	RetryInterval: time.Millisecond, MaxClockDrift: 1, MaxHolders: 4}

const maxPackets = 5 // messages on their way; what comes beyond is lost

// injectedBug is a bug that the exploration must find.
type injectedBug string

const (
	noBug                    injectedBug = ""
	leaseFromGrantArrival    injectedBug = "lease counted from the answer"
	earlyCommit              injectedBug = "activation before the last lease ended"
	noDriftMargin            injectedBug = "clocks taken to run alike"
	deposedLeaderGrants      injectedBug = "deposed leader that grants"
	formerLeasesIgnored      injectedBug = "new leader that reckons with no leases of the one before"
	olderVersionAfterRestart injectedBug = "older version after a restart"
	ackForFormerIncarnation  injectedBug = "a new process acknowledges for those to whom the one before it granted"
)

// cluster is three nodes, an agreed registry and the messages on their way.
type cluster struct {
	bug               injectedBug
	nodes             [3]*Node
	registry          Registry
	tick              time.Duration
	rate              [3]time.Duration // ms in a tick
	persisted         [3]uint64        // mark
	olderPersisted    [3]uint64        // mark that an older disk has
	lastEffective     [3]uint64
	lastIncarnation   uint64
	leader            int
	begunRound        [3]uint64 // round of confirmation
	confirmedRound    [3]uint64 // round that a quorum has confirmed
	commitTick        time.Duration
	lastTick          time.Duration // tick
	packets           []packet
	grantors          [3][]int
	isCut             func(from, to int) bool // links that carry nothing from the second tick on, where all else is calm
	duplicationsLeft  int                     // how often each may happen yet
	electionsLeft     int
	crashesLeft       int
	cancellationsLeft int
}

type packet struct {
	from, to int
	raw      string
}

func (w *cluster) clock(i int) time.Duration { return time.Second + w.tick*w.rate[i]*time.Millisecond }

func (w *cluster) clone() *cluster {
	c := *w
	for i, n := range w.nodes {
		m := *n
		m.holder.leases, m.holder.texts, m.holder.requests = slices.Clone(n.holder.leases), slices.Clone(n.holder.texts), slices.Clone(n.holder.requests)
		m.grantor.holders, m.grantor.pending, m.pendingAcks = slices.Clone(n.grantor.holders), slices.Clone(n.grantor.pending), slices.Clone(n.pendingAcks)
		c.nodes[i] = &m
	}
	c.registry.state.Versions, c.registry.state.Scheduled = slices.Clone(w.registry.state.Versions), slices.Clone(w.registry.state.Scheduled)
	c.packets = slices.Clone(w.packets)
	return &c
}

func hashSlice[T comparable](h *maphash.Hash, s []T) {
	maphash.WriteComparable(h, len(s))
	for _, v := range s {
		maphash.WriteComparable(h, v)
	}
}

var hashSeed = maphash.MakeSeed()

func (w *cluster) hash() uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	for _, n := range w.nodes {
		hashSlice(&h, n.holder.leases)
		hashSlice(&h, n.holder.texts)
		hashSlice(&h, n.holder.requests)
		hashSlice(&h, n.grantor.holders)
		hashSlice(&h, n.grantor.pending)
		hashSlice(&h, n.pendingAcks)
		maphash.WriteComparable(&h, struct {
			w              VersionState
			proved, led    bool
			seq            uint32
			n              [6]uint64
			at             [6]time.Duration
			parent, silent int
		}{n.holder.state, n.holder.hasFreshLease, n.grantor.isLeader, n.holder.lastSequence, [6]uint64{n.incarnation, n.holder.trimmedRevision, n.holder.highWaterMark, n.grantor.lastRound, n.grantor.offeredRevision},
			[6]time.Duration{n.holder.nextRequestAt, n.holder.lastRequestAt, n.grantor.unknownLeasesUntil, n.grantor.previousLeasesUntil, n.grantor.offeredAt, n.holder.responseTime}, n.holder.currentGrantor, n.holder.unansweredCount})
	}
	hashSlice(&h, w.packets)
	maphash.WriteComparable(&h, struct {
		prepared                          bool
		n                                 [3]uint64
		by                                [5][3]uint64
		tick, commit                      time.Duration
		leader                            int
		doubles, elects, crashes, cancels int
	}{w.registry.state.Prepared, [3]uint64{w.registry.state.Active, w.registry.state.Revision, w.lastIncarnation}, [5][3]uint64{w.persisted, w.olderPersisted, w.lastEffective, w.begunRound, w.confirmedRound},
		w.tick, w.commitTick, w.leader, w.duplicationsLeft, w.electionsLeft, w.crashesLeft, w.cancellationsLeft})
	return h.Sum64()
}

// runNode does what a node's caller does; texts are there and disks keep at once.
func (w *cluster) runNode(i int) {
	n, now := w.nodes[i], w.clock(i)
	for {
		for _, o := range n.Flush(now) {
			raw, err := o.Message.Encode()
			if err != nil {
				panic(err)
			}
			if f := (packet{i, o.To, string(raw)}); len(w.packets) < maxPackets && !slices.Contains(w.packets, f) {
				w.packets = append(w.packets, f)
			}
		}
		if name, ok := n.MissingText(); ok {
			n.TextFetched(now, name, true)
		} else if number, ok := n.PersistDue(now); ok {
			w.olderPersisted[i], w.persisted[i] = w.persisted[i], number
			n.Persisted(number)
		} else {
			break
		}
	}
	if round, ok := n.BeginConfirmation(); ok {
		w.begunRound[i] = round
	}
	slices.SortFunc(w.packets, func(a, b packet) int { return cmp.Or(a.to-b.to, a.from-b.from, cmp.Compare(a.raw, b.raw)) })
}

func (w *cluster) deliver(f packet) {
	m, err := DecodeMessage([]byte(f.raw), 3)
	if err != nil {
		panic(err)
	}
	n := w.nodes[f.to]
	if w.bug == leaseFromGrantArrival {
		for i := range n.holder.requests {
			n.holder.requests[i].sentAt = w.clock(f.to)
		}
	}
	if i := slices.IndexFunc(n.grantor.holders, func(e holderState) bool { return e.node == m.Sender }); w.bug == ackForFormerIncarnation && i >= 0 {
		m.Incarnation = n.grantor.holders[i].incarnation
	}
	n.Receive(w.clock(f.to), m)
	w.runNode(f.to)
}

func (w *cluster) applyCommand(c Command) {
	if _, err := w.registry.ApplyCommand(c); err != nil {
		panic(err)
	}
	w.nodes[w.leader].Observe(w.clock(w.leader), w.registry.State())
	w.runNode(w.leader)
}

func (w *cluster) elect(i int) {
	w.leader = i
	w.nodes[i].Observe(w.clock(i), w.registry.State())
	w.nodes[i].BecomeLeader(w.clock(i))
	if w.begunRound[i], w.confirmedRound[i] = 0, 0; w.bug == formerLeasesIgnored {
		w.nodes[i].grantor.unknownLeasesUntil = 0
	}
	w.runNode(i)
}

func (w *cluster) restart(i int, mark uint64) {
	w.lastIncarnation++
	w.persisted[i], w.begunRound[i], w.confirmedRound[i] = mark, 0, 0
	w.nodes[i] = NewNode(Config{Node: i, Incarnation: w.lastIncarnation, HighWaterMark: mark, LeaseParams: w.leaseParams()}, w.clock(i))
	w.nodes[i].SetGrantors(w.clock(i), w.grantors[i])
	w.nodes[i].holder.hasFreshLease = w.bug == olderVersionAfterRestart
	w.runNode(i)
}

func (w *cluster) leaseParams() LeaseParams {
	t := testLeaseParams
	if w.bug == noDriftMargin {
		t.MaxClockDrift = 0
	}
	return t
}

// step is something that can happen next; calm is what does where nothing goes wrong.
type step struct {
	normal bool
	do     func(*cluster)
}

// steps gives all that can happen next. A message may stay away for ever, so its loss is none of them.
func (w *cluster) steps() (steps []step) {
	add := func(calm bool, do func(*cluster)) { steps = append(steps, step{calm, do}) }
	w.addDeliveries(add)
	w.addRegistrySteps(add)
	for i := range w.nodes {
		w.addNodeSteps(i, add)
	}
	if w.tick < w.lastTick {
		add(true, func(w *cluster) { w.tick++ })
	}
	return steps
}

// addDeliveries adds the steps of messages on their way.
func (w *cluster) addDeliveries(add func(calm bool, do func(*cluster))) {
	for k, f := range w.packets {
		add(w.tick < 2 || !w.isCut(f.from, f.to), func(w *cluster) { w.packets = slices.Delete(w.packets, k, k+1); w.deliver(f) })
		if w.duplicationsLeft > 0 {
			add(false, func(w *cluster) { w.duplicationsLeft--; w.deliver(f) })
		}
	}
}

// addRegistrySteps adds the steps of the registry's leader.
func (w *cluster) addRegistrySteps(add func(calm bool, do func(*cluster))) {
	if number, _, ok := w.registry.NextActivation(); ok && w.tick >= 2 {
		add(true, func(w *cluster) { w.applyCommand(Command{Prepare: &Prepare{Number: number}}) })
	}
	if w.registry.state.Prepared {
		number := w.registry.state.Scheduled[0]
		if w.clock(w.leader) >= w.nodes[w.leader].grantor.commitAllowedAt() || w.bug == earlyCommit {
			add(true, func(w *cluster) {
				w.commitTick = w.tick
				w.applyCommand(Command{Commit: &Commit{Number: number, Revision: w.registry.state.Revision}})
			})
		}
		if w.cancellationsLeft > 0 {
			add(false, func(w *cluster) {
				w.cancellationsLeft--
				w.applyCommand(Command{Cancel: &Cancel{Number: number}})
				w.applyCommand(Command{Activate: &Activate{Number: number, Kind: w.registry.state.Versions[number-1].Kind}})
			})
		}
	}
}

// addNodeSteps adds the steps of one node.
func (w *cluster) addNodeSteps(i int, add func(calm bool, do func(*cluster))) {
	n, now := w.nodes[i], w.clock(i)
	if when, ok := n.NextWake(now); ok && when <= now { // while it does not wake it stands still
		add(true, func(w *cluster) { w.runNode(i) })
	}
	if w.begunRound[i] > w.confirmedRound[i] && (w.leader == i || w.bug == deposedLeaderGrants) {
		add(true, func(w *cluster) { w.confirmedRound[i] = w.begunRound[i] })
	}
	if n.grantor.isLeader && slices.ContainsFunc(n.grantor.pending, func(p pendingRequest) bool { return p.round != 0 && p.round <= w.confirmedRound[i] }) {
		add(true, func(w *cluster) { w.nodes[i].LeadershipConfirmed(w.clock(i), w.confirmedRound[i]); w.runNode(i) })
	}
	if w.electionsLeft > 0 && i < 2 && i != w.leader { // the old one goes on as if it led
		add(false, func(w *cluster) { w.electionsLeft--; w.elect(i) })
	}
	if n.grantor.isLeader && i != w.leader {
		add(false, func(w *cluster) {
			w.nodes[i].BecomeFollower()
			w.nodes[i].SetGrantors(w.clock(i), []int{w.leader})
			w.runNode(i)
		})
	}
	if w.crashesLeft > 0 && i != w.leader {
		add(false, func(w *cluster) { w.crashesLeft--; w.restart(i, w.persisted[i]) })
		if w.olderPersisted[i] != w.persisted[i] {
			add(false, func(w *cluster) { w.crashesLeft--; w.restart(i, w.olderPersisted[i]) })
		}
	}
}

// violation tells what must not be.
func (w *cluster) violation() string {
	least, most := uint64(1<<63), uint64(0)
	for i, n := range w.nodes {
		number, _, _ := n.EffectiveVersion(w.clock(i))
		if number == 0 {
			continue
		}
		if number < w.lastEffective[i] {
			return fmt.Sprintf("node %d acts by %d after %d", i, number, w.lastEffective[i])
		}
		w.lastEffective[i] = number
		least, most = min(least, number), max(most, number)
	}
	switch {
	case most <= least:
	case w.registry.state.Versions[most-1].Kind == Exclusive:
		return fmt.Sprintf("%d and %d at once", least, most)
	case w.tick > w.commitTick:
		return fmt.Sprintf("%d and %d side by side for long", least, most)
	}
	return ""
}
