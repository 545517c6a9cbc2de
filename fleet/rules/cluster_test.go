package rules

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"slices"
	"time"
)

// testLeaseParams are the lease parameters of a cluster. A tick is 2 ms of a fast clock and 1 ms of a slow one, so a
// lease has expired after two ticks by any clock, and versions may overlap for one tick.
var testLeaseParams = LeaseParams{LeaseDuration: 2 * time.Millisecond, MaxOverlap: 2 * time.Millisecond, RenewInterval: time.Millisecond,
	RetryInterval: time.Millisecond, MaxClockDrift: 1, MaxHolders: 4}

// maxPackets is the number of messages that can be in transit at once. Further messages are lost.
const maxPackets = 5

// injectedBug is a bug of the protocol that the exploration must find. Its text is part of a subtest's name.
type injectedBug string

const (
	noBug                    injectedBug = ""
	leaseFromGrantArrival    injectedBug = "lease counted from the arrival of the grant"
	earlyCommit              injectedBug = "commit before the last conflicting lease expired"
	noDriftMargin            injectedBug = "no margin for clock drift"
	deposedLeaderGrants      injectedBug = "deposed leader grants without confirmation"
	formerLeasesIgnored      injectedBug = "new leader ignores leases of former leaders"
	olderVersionAfterRestart injectedBug = "older version in effect after a restart"
	ackForFormerIncarnation  injectedBug = "acknowledgement counted for a former incarnation"
)

// cluster models three nodes, the registry that they agree on and the messages in transit.
type cluster struct {
	bug               injectedBug
	nodes             [3]*Node
	registry          Registry
	tick              time.Duration    // ticks since the start of the exploration; negative before it
	rate              [3]time.Duration // by node, ms of its clock in a tick
	persisted         [3]uint64        // by node, high-water mark on its disk
	olderPersisted    [3]uint64        // by node, high-water mark on an older copy of its disk
	lastEffective     [3]uint64        // by node, version that was in effect last
	lastIncarnation   uint64           // incarnation of the process that started last
	leader            int
	begunRound        [3]uint64               // by node, confirmation round that began last
	confirmedRound    [3]uint64               // by node, round that a quorum has confirmed
	commitTick        time.Duration           // tick of the last Commit
	lastTick          time.Duration           // last tick; time does not advance beyond it
	packets           []packet                // messages in transit, sorted
	grantors          [3][]int                // by node, its grantors after a restart
	isCut             func(from, to int) bool // links that are cut from tick 2 on; delivery over them is a deviation
	duplicationsLeft  int                     // how often each fault may still happen
	electionsLeft     int
	crashesLeft       int
	cancellationsLeft int
}

// packet is an encoded message in transit.
type packet struct {
	from, to int
	raw      string
}

// clock returns the time by a node's clock.
func (c *cluster) clock(i int) time.Duration { return time.Second + c.tick*c.rate[i]*time.Millisecond }

// clone returns a copy. Steps applied to the copy do not change the original.
func (c *cluster) clone() *cluster {
	copied := *c
	for i, n := range c.nodes {
		m := *n
		m.holder.leases, m.holder.texts, m.holder.requests = slices.Clone(n.holder.leases), slices.Clone(n.holder.texts), slices.Clone(n.holder.requests)
		m.grantor.holders, m.grantor.pending, m.pendingAcks = slices.Clone(n.grantor.holders), slices.Clone(n.grantor.pending), slices.Clone(n.pendingAcks)
		copied.nodes[i] = &m
	}
	copied.registry.state.Versions, copied.registry.state.Scheduled = slices.Clone(c.registry.state.Versions), slices.Clone(c.registry.state.Scheduled)
	copied.packets = slices.Clone(c.packets)
	return &copied
}

func hashSlice[T comparable](h *maphash.Hash, s []T) {
	maphash.WriteComparable(h, len(s))
	for _, v := range s {
		maphash.WriteComparable(h, v)
	}
}

var hashSeed = maphash.MakeSeed()

// hash returns a hash of the cluster's whole state.
func (c *cluster) hash() uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	for _, n := range c.nodes {
		hashSlice(&h, n.holder.leases)
		hashSlice(&h, n.holder.texts)
		hashSlice(&h, n.holder.requests)
		hashSlice(&h, n.grantor.holders)
		hashSlice(&h, n.grantor.pending)
		hashSlice(&h, n.pendingAcks)
		maphash.WriteComparable(&h, struct {
			state                           VersionState
			hasFreshLease, isLeader         bool
			lastSequence                    uint32
			numbers                         [6]uint64
			times                           [6]time.Duration
			currentGrantor, unansweredCount int
		}{n.holder.state, n.holder.hasFreshLease, n.grantor.isLeader, n.holder.lastSequence, [6]uint64{n.incarnation, n.holder.trimmedRevision, n.holder.highWaterMark, n.grantor.lastRound, n.grantor.offeredRevision},
			[6]time.Duration{n.holder.nextRequestAt, n.holder.lastRequestAt, n.grantor.unknownLeasesUntil, n.grantor.previousLeasesUntil, n.grantor.offeredAt, n.holder.responseTime}, n.holder.currentGrantor, n.holder.unansweredCount})
	}
	hashSlice(&h, c.packets)
	maphash.WriteComparable(&h, struct {
		prepared                                        bool
		numbers                                         [3]uint64
		byNode                                          [5][3]uint64
		tick, commitTick                                time.Duration
		leader                                          int
		duplications, elections, crashes, cancellations int
	}{c.registry.state.Prepared, [3]uint64{c.registry.state.Active, c.registry.state.Revision, c.lastIncarnation}, [5][3]uint64{c.persisted, c.olderPersisted, c.lastEffective, c.begunRound, c.confirmedRound},
		c.tick, c.commitTick, c.leader, c.duplicationsLeft, c.electionsLeft, c.crashesLeft, c.cancellationsLeft})
	return h.Sum64()
}

// runNode does what a node's caller does. Fetching a text and persisting a number succeed at once.
func (c *cluster) runNode(i int) {
	n, now := c.nodes[i], c.clock(i)
	for {
		for _, o := range n.Flush(now) {
			raw, err := o.Message.Encode()
			if err != nil {
				panic(err)
			}
			if p := (packet{i, o.To, string(raw)}); len(c.packets) < maxPackets && !slices.Contains(c.packets, p) {
				c.packets = append(c.packets, p)
			}
		}
		if version, ok := n.MissingText(); ok {
			n.TextFetched(now, version, true)
		} else if number, ok := n.PersistDue(now); ok {
			c.olderPersisted[i], c.persisted[i] = c.persisted[i], number
			n.Persisted(number)
		} else {
			break
		}
	}
	if round, ok := n.BeginConfirmation(); ok {
		c.begunRound[i] = round
	}
	slices.SortFunc(c.packets, func(a, b packet) int { return cmp.Or(a.to-b.to, a.from-b.from, cmp.Compare(a.raw, b.raw)) })
}

// deliver has the receiving node handle a message.
func (c *cluster) deliver(p packet) {
	m, err := DecodeMessage([]byte(p.raw), 3)
	if err != nil {
		panic(err)
	}
	n := c.nodes[p.to]
	if c.bug == leaseFromGrantArrival {
		for i := range n.holder.requests {
			n.holder.requests[i].sentAt = c.clock(p.to)
		}
	}
	if i := slices.IndexFunc(n.grantor.holders, func(h holderState) bool { return h.node == m.Sender }); c.bug == ackForFormerIncarnation && i >= 0 {
		m.Incarnation = n.grantor.holders[i].incarnation
	}
	n.Receive(c.clock(p.to), m)
	c.runNode(p.to)
}

// applyCommand applies a command to the registry and lets the leader observe the new state.
func (c *cluster) applyCommand(command Command) {
	if _, err := c.registry.ApplyCommand(command); err != nil {
		panic(err)
	}
	c.nodes[c.leader].Observe(c.clock(c.leader), c.registry.State())
	c.runNode(c.leader)
}

// elect makes a node the leader. The former leader does not learn of it.
func (c *cluster) elect(i int) {
	c.leader = i
	c.nodes[i].Observe(c.clock(i), c.registry.State())
	c.nodes[i].BecomeLeader(c.clock(i))
	if c.begunRound[i], c.confirmedRound[i] = 0, 0; c.bug == formerLeasesIgnored {
		c.nodes[i].grantor.unknownLeasesUntil = 0
	}
	c.runNode(i)
}

// restart replaces a node's process by a new one that finds a high-water mark on its disk.
func (c *cluster) restart(i int, highWaterMark uint64) {
	c.lastIncarnation++
	c.persisted[i], c.begunRound[i], c.confirmedRound[i] = highWaterMark, 0, 0
	c.nodes[i] = NewNode(Config{Node: i, Incarnation: c.lastIncarnation, HighWaterMark: highWaterMark, LeaseParams: c.leaseParams()}, c.clock(i))
	c.nodes[i].SetGrantors(c.clock(i), c.grantors[i])
	c.nodes[i].holder.hasFreshLease = c.bug == olderVersionAfterRestart
	c.runNode(i)
}

// leaseParams returns the parameters that the nodes use.
func (c *cluster) leaseParams() LeaseParams {
	params := testLeaseParams
	if c.bug == noDriftMargin {
		params.MaxClockDrift = 0
	}
	return params
}

// step is an event that can happen next. A normal step needs no fault.
type step struct {
	normal bool
	do     func(*cluster)
}

// steps returns all events that can happen next. Loss is not among them, as a message may remain in transit for ever.
func (c *cluster) steps() (steps []step) {
	add := func(normal bool, do func(*cluster)) { steps = append(steps, step{normal, do}) }
	c.addDeliveries(add)
	c.addRegistrySteps(add)
	for i := range c.nodes {
		c.addNodeSteps(i, add)
	}
	if c.tick < c.lastTick {
		add(true, func(c *cluster) { c.tick++ })
	}
	return steps
}

// addDeliveries adds the delivery and the duplication of each message in transit.
func (c *cluster) addDeliveries(add func(normal bool, do func(*cluster))) {
	for k, p := range c.packets {
		add(c.tick < 2 || !c.isCut(p.from, p.to), func(c *cluster) { c.packets = slices.Delete(c.packets, k, k+1); c.deliver(p) })
		if c.duplicationsLeft > 0 {
			add(false, func(c *cluster) { c.duplicationsLeft--; c.deliver(p) })
		}
	}
}

// addRegistrySteps adds the commands that can be committed: Prepare, Commit, and a cancellation followed by a new
// activation.
func (c *cluster) addRegistrySteps(add func(normal bool, do func(*cluster))) {
	if number, _, ok := c.registry.NextActivation(); ok && c.tick >= 2 {
		add(true, func(c *cluster) { c.applyCommand(Command{Prepare: &Prepare{Number: number}}) })
	}
	if c.registry.state.Prepared {
		number := c.registry.state.Scheduled[0]
		if c.clock(c.leader) >= c.nodes[c.leader].grantor.commitAllowedAt() || c.bug == earlyCommit {
			add(true, func(c *cluster) {
				c.commitTick = c.tick
				c.applyCommand(Command{Commit: &Commit{Number: number, Revision: c.registry.state.Revision}})
			})
		}
		if c.cancellationsLeft > 0 {
			add(false, func(c *cluster) {
				c.cancellationsLeft--
				c.applyCommand(Command{Cancel: &Cancel{Number: number}})
				c.applyCommand(Command{Activate: &Activate{Number: number, Kind: c.registry.state.Versions[number-1].Kind}})
			})
		}
	}
}

// addNodeSteps adds the steps of one node: its wake-up, confirmation, election, loss of leadership and restart.
func (c *cluster) addNodeSteps(i int, add func(normal bool, do func(*cluster))) {
	n, now := c.nodes[i], c.clock(i)
	if at, ok := n.NextWake(now); ok && at <= now { // a paused process does not take this step
		add(true, func(c *cluster) { c.runNode(i) })
	}
	if c.begunRound[i] > c.confirmedRound[i] && (c.leader == i || c.bug == deposedLeaderGrants) {
		add(true, func(c *cluster) { c.confirmedRound[i] = c.begunRound[i] })
	}
	if n.grantor.isLeader && slices.ContainsFunc(n.grantor.pending, func(p pendingRequest) bool { return p.round != 0 && p.round <= c.confirmedRound[i] }) {
		add(true, func(c *cluster) { c.nodes[i].LeadershipConfirmed(c.clock(i), c.confirmedRound[i]); c.runNode(i) })
	}
	if c.electionsLeft > 0 && i < 2 && i != c.leader { // the former leader goes on as if it were the leader
		add(false, func(c *cluster) { c.electionsLeft--; c.elect(i) })
	}
	if n.grantor.isLeader && i != c.leader {
		add(false, func(c *cluster) {
			c.nodes[i].BecomeFollower()
			c.nodes[i].SetGrantors(c.clock(i), []int{c.leader})
			c.runNode(i)
		})
	}
	if c.crashesLeft > 0 && i != c.leader {
		add(false, func(c *cluster) { c.crashesLeft--; c.restart(i, c.persisted[i]) })
		if c.olderPersisted[i] != c.persisted[i] {
			add(false, func(c *cluster) { c.crashesLeft--; c.restart(i, c.olderPersisted[i]) })
		}
	}
}

// violation describes how the versions in effect violate the protocol's guarantees; "" means that they don't.
func (c *cluster) violation() string {
	oldest, newest := uint64(1<<63), uint64(0)
	for i, n := range c.nodes {
		number, _, _ := n.EffectiveVersion(c.clock(i))
		if number == 0 {
			continue
		}
		if number < c.lastEffective[i] {
			return fmt.Sprintf("version %d is in effect at node %d after version %d", number, i, c.lastEffective[i])
		}
		c.lastEffective[i] = number
		oldest, newest = min(oldest, number), max(newest, number)
	}
	switch {
	case newest <= oldest:
	case c.registry.state.Versions[newest-1].Kind == Exclusive:
		return fmt.Sprintf("versions %d and %d are in effect at once", oldest, newest)
	case c.tick > c.commitTick:
		return fmt.Sprintf("versions %d and %d are in effect side by side for too long", oldest, newest)
	}
	return ""
}
