package rules

import (
	"slices"
	"time"
)

// Outgoing is a message to be sent. The protocol recovers from a lost message, so the transport need not retry.
type Outgoing struct {
	To      int // index of the receiving node
	Message *Message
}

// Config configures a Node.
type Config struct {
	Node          int    // index in the fleet
	Incarnation   uint64 // identifies the process; never 0, and different for each process of a node
	HighWaterMark uint64 // version number that was persisted last; 0 if there is none
	LeaseParams   LeaseParams
}

// Node runs the lease protocol at one node: it holds leases, and grants them to the nodes that request them from it.
// The caller carries the messages, runs the consensus on the registry and fetches texts. The clock that it passes
// starts at 0 or later, never goes back, and includes the time for which the machine is suspended (CLOCK_BOOTTIME). A
// Node is not safe for concurrent use.
//
//	When                                      Call
//	a state of the registry is known          Observe
//	a message arrives                         Receive
//	NextWake is due, or after any other call  Flush, and send the messages; then check the next four
//	BeginConfirmation returns a round         have a quorum confirm the leadership, then LeadershipConfirmed
//	CommitReady returns a command             propose it
//	MissingText returns a version             fetch its text, Parse, Check, then TextFetched
//	PersistDue returns a number               persist it, then Persisted
//	the node is elected                       BecomeLeader, once all entries of former terms are applied and observed
//	the node is no longer the leader          BecomeFollower
//	a request begins                          EffectiveVersion
type Node struct {
	index       int
	incarnation uint64
	holder      LeaseHolder
	grantor     LeaseGrantor
	pendingAcks []int      // nodes that wait for an acknowledgement of the current preparation
	outgoing    []Outgoing // messages for the next Flush; at most one to a node
}

// NewNode returns a node without leases; leases of a former process of the node don't carry over.
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

// SetGrantors sets the nodes from which this one requests leases, the preferred one first: the leader for voters and
// relays, and for other nodes the relay of their group, then alternatives. While this node is the leader it requests
// leases from itself.
func (n *Node) SetGrantors(now time.Duration, grantors []int) { n.holder.setGrantors(now, grantors) }

// Observe adopts a state of the registry if it is valid and newer than the current one. It may come from this node's
// own registry or from any other node, as every state that is sent was agreed by consensus.
func (n *Node) Observe(now time.Duration, s VersionState) {
	if s.valid() && n.holder.observe(now, s) {
		n.grantor.observe(now, s)
		n.pendingAcks = n.pendingAcks[:0]
	}
}

// State returns the newest state that this node has observed.
func (n *Node) State() VersionState { return n.holder.state }

// MissingText returns the active or prepared version whose text this node has to fetch; ok is false if there is none.
func (n *Node) MissingText() (version VersionID, ok bool) { return n.holder.MissingText() }

// TextFetched records that this node has a version's text, which the caller has compared with the digest, and whether
// it can apply the version. It may be called in advance for any version.
func (n *Node) TextFetched(now time.Duration, version VersionID, usable bool) {
	n.holder.textFetched(now, version, usable)
}

// PersistDue returns the version number that has to be persisted before that version can take effect at this node; ok
// is false if there is none.
func (n *Node) PersistDue(now time.Duration) (number uint64, ok bool) {
	return n.holder.PersistDue(now)
}

// Persisted records that a version number is durable. While the disk fails, the caller does not call it, and once the
// lease on the previous version has expired only the node's settings apply.
func (n *Node) Persisted(number uint64) {
	n.holder.highWaterMark = max(n.holder.highWaterMark, number)
}

// EffectiveVersion returns the version to apply to a request that begins now, and until when it stays in effect by this
// node's clock if no message arrives. Number 0 means that only the node's settings apply, for the returned reason.
func (n *Node) EffectiveVersion(now time.Duration) (number uint64, until time.Duration, reason Reason) {
	return n.holder.EffectiveVersion(now)
}

// BecomeLeader records that this node was elected. The caller must have observed the registry's state after all entries
// of former terms; with Raft that is after a barrier in the new term.
func (n *Node) BecomeLeader(now time.Duration) { n.grantor.becomeLeader(now) }

// BecomeFollower records that this node is no longer the leader, or may no longer be.
func (n *Node) BecomeFollower() { n.grantor.becomeFollower() }

// BeginConfirmation reports whether lease requests wait for a confirmation of the leadership, and returns the number of
// the round that will answer all that have arrived so far. The caller begins the round, with a quorum, after this call.
func (n *Node) BeginConfirmation() (round uint64, ok bool) {
	if !n.grantor.isLeader {
		return 0, false
	}
	return n.grantor.beginConfirmation()
}

// LeadershipConfirmed records that a quorum has confirmed this node's leadership in a round that began after
// BeginConfirmation had returned the number. It answers the requests that waited for that round or an earlier one.
func (n *Node) LeadershipConfirmed(now time.Duration, round uint64) {
	if !n.grantor.isLeader {
		return
	}
	for _, p := range n.grantor.takeConfirmed(round) {
		n.sendGrant(p.node, n.grantor.grant(now, p, n.holder.params.LeaseDuration))
	}
}

// CommitReady returns the command that activates the prepared version once no lease conflicts with it; ok is false
// before that and at other nodes than the leader. It returns the command again after RenewInterval if the version is
// still prepared. Proposing the command twice is harmless, as the registry rejects the second one.
func (n *Node) CommitReady(now time.Duration) (command Commit, ok bool) {
	g := &n.grantor
	if !g.isLeader || g.state.Prepared.Number == 0 || now < g.commitAllowedAt() {
		return Commit{}, false
	}
	g.offeredRevision = g.state.Revision
	g.offeredAt = now
	return Commit{Number: g.state.Prepared.Number, Revision: g.state.Revision}, true
}

// Receive handles a message from another node, or from this node itself.
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

// receiveState observes a state. A sender with an older state is sent the newer one; otherwise, if a version is
// prepared, an acknowledgement to the sender becomes due.
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

// outgoingTo returns the unsent message to a node, and adds one if there is none.
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

// Flush returns the messages that are due. It delivers those to this node itself right away.
func (n *Node) Flush(now time.Duration) []Outgoing {
	var out []Outgoing
	for again := true; again; {
		n.addDueMessages(now)
		due := n.outgoing
		n.outgoing = nil
		again = false
		for _, o := range due {
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

// addDueMessages adds the due lease request, notifications and acknowledgements to the outgoing messages.
func (n *Node) addDueMessages(now time.Duration) {
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

// nextGrantor returns the node from which this one requests a lease now; ok is false if it requests none.
func (n *Node) nextGrantor(now time.Duration) (to int, ok bool) {
	switch {
	case n.grantor.isLeader:
		return n.index, true
	case len(n.holder.grantors) > 0 && n.holder.nextRequestAt <= now:
		return n.holder.chooseGrantor(now), true
	}
	return 0, false
}

// canAcknowledge reports whether the preparation can be acknowledged to a node: this node's own leases are trimmed for
// it, and so are all leases that it has granted. To itself a node acknowledges its own leases alone.
func (n *Node) canAcknowledge(now time.Duration, to int) bool {
	trimmed := n.holder.trimmedRevision == n.holder.state.Revision
	return trimmed && (to == n.index || now >= n.grantor.allTrimmedAt())
}

// NextWake returns when Flush or CommitReady next has something to return if no message arrives; ok is false if neither
// has.
func (n *Node) NextWake(now time.Duration) (at time.Duration, ok bool) {
	wakeBy := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if len(n.outgoing) > 0 {
		wakeBy(now)
	}
	if len(n.holder.grantors) > 0 || n.grantor.isLeader {
		wakeBy(n.holder.nextRequestAt)
	}
	for i := range n.grantor.holders {
		if h := &n.grantor.holders[i]; n.grantor.needsNotification(now, h) {
			wakeBy(h.notifyAt)
		}
	}
	if n.holder.trimmedRevision == n.holder.state.Revision && len(n.pendingAcks) > 0 {
		wakeBy(n.grantor.allTrimmedAt())
	}
	if n.grantor.isLeader && n.grantor.state.Prepared.Number != 0 {
		wakeBy(n.grantor.commitAllowedAt())
	}
	return at, ok
}
