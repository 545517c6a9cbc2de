package rules

import (
	"slices"
	"time"
)

// Outgoing is a message to be sent. One that is lost is made up for; it needs no retry below.
type Outgoing struct {
	To      int
	Message *Message
}

// Config is what a node's part of the leases is started with.
type Config struct {
	Node          int    // index in the fleet
	Incarnation   uint64 // of the process; no two of one node are the same, and none is 0
	HighWaterMark uint64 // version number that the disk has persisted last; 0 is none
	LeaseParams   LeaseParams
}

// Node is one node's part of the leases: a holder, and a grantor for those who request leases from it. The caller
// carries messages, agrees on the registry and fetches texts. Its clock only moves forward, from 0 or more, and goes
// on while the machine is suspended (CLOCK_BOOTTIME). All calls are one goroutine's.
//
//	state of the registry, from anywhere  Observe
//	a message came                        Receive
//	NextWake is due, or after other calls Flush, and send what it returns; then the next four
//	while it leads: BeginConfirmation     confirm the leadership by a quorum, then Confirmed
//	CommitReady returns a command         propose it
//	MissingText returns a version         fetch its text, Parse, Check, then TextFetched
//	PersistDue returns a number           persist it, then Persisted
//	this node was elected                 Lead, once all of the terms before is applied and observed
//	it leads no more                      Follow
//	a request begins                      Acting
type Node struct {
	index       int
	incarnation uint64
	holder      LeaseHolder
	grantor     LeaseGrantor
	pendingAcks []int // nodes that are owed an acknowledgement of the state's revision
	outgoing    []Outgoing
}

// NewNode begins a node's part. It holds no lease, whatever it held before.
func NewNode(c Config, now time.Duration) *Node {
	return &Node{
		index:       c.Node,
		incarnation: c.Incarnation,
		holder: LeaseHolder{
			params:        c.LeaseParams,
			index:         c.Node,
			highWaterMark: c.HighWaterMark,
			nextRequestAt: now,
			lastRequestAt: now - c.LeaseParams.RenewInterval,
		},
		grantor: LeaseGrantor{params: c.LeaseParams},
	}
}

// SetGrantors takes the nodes from which this one can request leases, the best first: for voters and relays the leader,
// for others the relay of their group, then other relays. While it leads it requests from itself.
func (n *Node) SetGrantors(now time.Duration, grantors []int) { n.holder.setGrantors(now, grantors) }

// Observe takes a state of the registry, from this node's own or from any other's: it is only ever what was agreed.
func (n *Node) Observe(now time.Duration, s VersionState) {
	if s.valid() && n.holder.observe(now, s) {
		n.grantor.observe(now, s)
		n.pendingAcks = n.pendingAcks[:0]
	}
}

// State returns the newest state that this node has observed.
func (n *Node) State() VersionState { return n.holder.state }

// MissingText returns a version whose text this node needs.
func (n *Node) MissingText() (VersionID, bool) { return n.holder.MissingText() }

// TextFetched takes that a version's text is here, checked against its digest, and whether this node can use it. It may be
// called for any version ahead.
func (n *Node) TextFetched(now time.Duration, version VersionID, usable bool) {
	n.holder.textFetched(now, version, usable)
}

// PersistDue returns a number that has to be persisted before this node can act by that version.
func (n *Node) PersistDue(now time.Duration) (uint64, bool) { return n.holder.PersistDue(now) }

// Persisted takes that a number is durable. Where the disk fails the node goes by its settings alone.
func (n *Node) Persisted(number uint64) {
	n.holder.highWaterMark = max(n.holder.highWaterMark, number)
}

// EffectiveVersion returns the version that a request which begins now goes by, and until when that holds by this node's clock if
// nothing is received; 0 is the settings alone, and why.
func (n *Node) EffectiveVersion(now time.Duration) (number uint64, until time.Duration, why Reason) {
	return n.holder.EffectiveVersion(now)
}

// BecomeLeader says that this node was elected. The registry's state by all that was agreed before its term must have been
// observed: with raft, after a barrier in its term.
func (n *Node) BecomeLeader(now time.Duration) { n.grantor.becomeLeader(now) }

// BecomeFollower says that this node leads no more, or may not.
func (n *Node) BecomeFollower() { n.grantor.becomeFollower() }

// BeginConfirmation reports whether requests wait for a confirmation of the leadership, and returns the number of the
// round that answers all that have come so far. The caller begins it after this call, by a quorum.
func (n *Node) BeginConfirmation() (round uint64, ok bool) {
	if !n.grantor.isLeader {
		return 0, false
	}
	return n.grantor.beginConfirmation()
}

// LeadershipConfirmed says that a quorum has confirmed this node's leadership in a round that began after the call of
// BeginConfirmation that returned the number.
func (n *Node) LeadershipConfirmed(now time.Duration, round uint64) {
	if !n.grantor.isLeader {
		return
	}
	for _, p := range n.grantor.takeConfirmed(round) {
		n.sendGrant(p.node, n.grantor.grant(now, p, n.holder.params.LeaseDuration))
	}
}

// CommitReady returns the command that activates the prepared version, once no lease stands in its way, and again after a
// while where nothing came of it. Proposed twice it counts once.
func (n *Node) CommitReady(now time.Duration) (Commit, bool) {
	g := &n.grantor
	if !g.isLeader || g.state.Prepared.Number == 0 || now < g.commitAllowedAt() {
		return Commit{}, false
	}
	g.offeredRevision = g.state.Revision
	g.offeredAt = now
	return Commit{Number: g.state.Prepared.Number, Revision: g.state.Revision}, true
}

// Receive takes a message.
func (n *Node) Receive(now time.Duration, m *Message) {
	if m.State != nil {
		n.receiveState(now, m.Sender, *m.State)
	}
	if m.AckedRevision != 0 {
		n.grantor.handleAck(now, m.Sender, m.Incarnation, m.AckedRevision)
	}
	if m.Grant != nil && m.Grant.Incarnation == n.incarnation {
		n.receiveGrant(now, m.Grant)
	}
	if m.Request != nil {
		n.receiveRequest(now, m)
	}
}

// receiveState observes a state. Its sender gets a newer one back, or is owed an acknowledgement of a preparation.
func (n *Node) receiveState(now time.Duration, from int, s VersionState) {
	n.Observe(now, s)
	switch {
	case s.Revision < n.holder.state.Revision:
		newer := n.holder.state
		n.outgoingTo(from).State = &newer
	case n.holder.state.Prepared.Number == 0 || slices.Contains(n.pendingAcks, from):
	case len(n.pendingAcks) < n.holder.params.MaxHolders:
		n.pendingAcks = append(n.pendingAcks, from)
	}
}

func (n *Node) receiveRequest(now time.Duration, m *Message) {
	remaining := n.holder.remaining(now)
	grant := n.grantor.handleRequest(now, m.Sender, m.Incarnation, *m.Request, remaining, n.holder.lastSequence)
	if grant != nil {
		n.sendGrant(m.Sender, grant)
	} else if !n.grantor.isLeader {
		n.holder.expediteRequest(now)
	}
}

func (n *Node) receiveGrant(now time.Duration, g *LeaseGrant) {
	if g.State != nil {
		n.Observe(now, *g.State)
	}
	own := n.holder.receiveGrant(now, g)
	if own.sequence == 0 || n.grantor.isLeader {
		return
	}
	for _, p := range n.grantor.takeAnswerable(now, own, n.holder.remaining(now)) {
		n.sendGrant(p.node, n.grantor.grant(now, p, n.holder.remaining(now)))
	}
}

func (n *Node) sendGrant(to int, g *LeaseGrant) { n.outgoingTo(to).Grant = g }

// outgoingTo returns the message to a node that is not sent yet.
func (n *Node) outgoingTo(to int) *Message {
	for _, o := range n.outgoing {
		if o.To == to {
			return o.Message
		}
	}
	m := &Message{Sender: n.index, Incarnation: n.incarnation}
	n.outgoing = append(n.outgoing, Outgoing{to, m})
	return m
}

// Flush returns the messages that are due. Those to this node itself are received at once.
func (n *Node) Flush(now time.Duration) []Outgoing {
	var out []Outgoing
	for again := true; again; {
		n.prepareMessages(now)
		prepared := n.outgoing
		n.outgoing = nil
		again = false
		for _, o := range prepared {
			if o.To == n.index {
				n.Receive(now, o.Message)
				again = true
				continue
			}
			out = append(out, o)
		}
	}
	return out
}

func (n *Node) prepareMessages(now time.Duration) {
	fresh := slices.ContainsFunc(n.grantor.pending, func(p pendingRequest) bool { return p.request.Fresh })
	if to, ok := n.nextGrantor(now); ok {
		if request, ok := n.holder.nextRequest(now, fresh); ok {
			n.outgoingTo(to).Request = request
		}
	}
	for _, to := range n.grantor.dueNotifications(now) {
		state := n.grantor.state
		n.outgoingTo(to).State = &state
	}
	n.pendingAcks = slices.DeleteFunc(n.pendingAcks, func(to int) bool {
		if !n.canAcknowledge(now, to) {
			return false
		}
		n.outgoingTo(to).AckedRevision = n.holder.state.Revision
		return true
	})
}

// nextGrantor returns the node from which this one requests a lease now.
func (n *Node) nextGrantor(now time.Duration) (to int, ok bool) {
	switch {
	case n.grantor.isLeader:
		return n.index, true
	case len(n.holder.grantors) > 0 && n.holder.nextRequestAt <= now:
		return n.holder.chooseGrantor(now), true
	}
	return 0, false
}

// canAcknowledge reports whether the preparation can be acknowledged to a node: the leases here are trimmed to it, and so
// are all that were granted from here.
func (n *Node) canAcknowledge(now time.Duration, to int) bool {
	trimmed := n.holder.trimmedRevision == n.holder.state.Revision
	return trimmed && (to == n.index || now >= n.grantor.allTrimmedAt())
}

// NextWake returns when Flush or CommitReady has something next.
func (n *Node) NextWake(now time.Duration) (at time.Duration, ok bool) {
	by := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if len(n.outgoing) > 0 {
		by(now)
	}
	if len(n.holder.grantors) > 0 || n.grantor.isLeader {
		by(n.holder.nextRequestAt)
	}
	for i := range n.grantor.holders {
		if h := &n.grantor.holders[i]; n.grantor.needsNotification(now, h) {
			by(h.notifyAt)
		}
	}
	if n.holder.trimmedRevision == n.holder.state.Revision && len(n.pendingAcks) > 0 {
		by(n.grantor.allTrimmedAt())
	}
	if n.grantor.isLeader && n.grantor.state.Prepared.Number != 0 {
		by(n.grantor.commitAllowedAt())
	}
	return at, ok
}
