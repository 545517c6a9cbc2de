package rules

import (
	"slices"
	"time"
)

const (
	// earliestTime is before any reading of the clock.
	earliestTime = -time.Duration(1 << 62)
	// maxNotificationsPerState limits how often one state is sent to one holder from which no acknowledgement is needed.
	maxNotificationsPerState = 6
)

// holderState is what a grantor knows about one process that has requested leases.
type holderState struct {
	node              int
	incarnation       uint64
	leasesEndAt       time.Duration // by this node's clock, when every lease that it may hold has expired
	seenAt            time.Duration // when its last message arrived
	knownRevision     uint64        // newest revision that it is known to have
	ackedRevision     uint64        // revision of the newest preparation that it has acknowledged
	notifyAt          time.Duration // time of the next notification
	notificationCount int           // notifications sent for the current state
}

// pendingRequest is a lease request that can't be answered yet.
type pendingRequest struct {
	node        int
	incarnation uint64
	request     LeaseRequest
	arrivedAt   time.Duration // arrival at this grantor
	// ownSequence is the sequence number of the relay's own latest request at the arrival. A lease from any later one
	// is fresh enough to answer this request.
	ownSequence uint32
	round       uint64 // confirmation round that answers it; 0 if none has begun
}

// LeaseGrantor grants leases, at the leader and at relays. The leader grants a request from the registry's state once a
// quorum has confirmed its leadership in a round that began after the request arrived. A relay grants no more than the
// remaining time of its own lease.
type LeaseGrantor struct {
	params   LeaseParams
	state    VersionState
	isLeader bool

	unknownLeasesUntil  time.Duration // end of all leases that former leaders may have granted
	previousLeasesUntil time.Duration // end of all leases on the previously active version

	holders   []holderState
	pending   []pendingRequest
	lastRound uint64 // number of the confirmation round that began last

	offeredRevision uint64        // revision of the preparation whose Commit was returned last
	offeredAt       time.Duration // when it was returned
}

// observe adopts a state if it is newer than the current one, and schedules a notification of every holder.
func (g *LeaseGrantor) observe(now time.Duration, s VersionState) {
	if s.Revision <= g.state.Revision {
		return
	}
	if s.Active.Number != g.state.Active.Number {
		g.previousLeasesUntil = now + g.params.MaxOverlap
	}
	g.state = s
	for i := range g.holders {
		g.holders[i].notificationCount = 0
		g.holders[i].notifyAt = now
	}
}

// becomeLeader starts granting as the leader. The holders of leases that former leaders granted are not known, so such
// leases count as held until the last one must have expired.
func (g *LeaseGrantor) becomeLeader(now time.Duration) {
	g.isLeader = true
	g.unknownLeasesUntil = now + g.params.withDriftMargin(g.params.LeaseDuration)
	g.pending = nil
	g.offeredRevision = 0
}

func (g *LeaseGrantor) becomeFollower() {
	g.isLeader = false
	g.pending = nil
}

// ensureHolder returns the state of a holder and adds it if it is new. It returns nil if there is no room, that is if
// MaxHolders is reached and no holder without leases has been silent for long.
func (g *LeaseGrantor) ensureHolder(now time.Duration, node int, incarnation uint64) *holderState {
	for i := range g.holders {
		if g.holders[i].node == node && g.holders[i].incarnation == incarnation {
			return &g.holders[i]
		}
	}
	if len(g.holders) >= g.params.MaxHolders {
		g.holders = slices.DeleteFunc(g.holders, func(h holderState) bool {
			return h.leasesEndAt <= now && now-h.seenAt > 2*g.params.RenewInterval
		})
	}
	if len(g.holders) >= g.params.MaxHolders {
		return nil
	}
	g.holders = append(g.holders, holderState{
		node:          node,
		incarnation:   incarnation,
		leasesEndAt:   now,
		seenAt:        now,
		knownRevision: g.state.Revision,
	})
	return &g.holders[len(g.holders)-1]
}

// handleRequest returns the grant that answers a request, or nil if the request has to wait: at the leader until its
// leadership is confirmed, at a relay until its own lease is renewed. remaining is the remaining time of this node's
// own lease, and ownSequence the sequence number of its latest own request.
func (g *LeaseGrantor) handleRequest(now time.Duration, from int, incarnation uint64, r LeaseRequest, remaining time.Duration, ownSequence uint32) *LeaseGrant {
	h := g.ensureHolder(now, from, incarnation)
	if h == nil {
		return &LeaseGrant{Incarnation: incarnation, Sequence: r.Sequence, Revision: g.state.Revision, Full: true}
	}
	h.seenAt = now
	h.knownRevision = max(h.knownRevision, r.Revision)
	p := pendingRequest{node: from, incarnation: incarnation, request: r, arrivedAt: now, ownSequence: ownSequence}
	if !g.isLeader && !r.Fresh && r.Revision <= g.state.Revision && remaining > 0 {
		return g.grant(now, p, remaining)
	}
	i := slices.IndexFunc(g.pending, func(other pendingRequest) bool { return other.node == from })
	switch {
	case i < 0:
		g.pending = append(g.pending, p)
	case g.replacesPending(now, p, g.pending[i]):
		g.pending[i] = p
	}
	return nil
}

// replacesPending reports whether a request replaces a pending one of the same node. A retransmission within
// RenewInterval does not, as the confirmation that answers the pending request may be under way.
func (g *LeaseGrantor) replacesPending(now time.Duration, p, other pendingRequest) bool {
	return other.incarnation != p.incarnation || (p.request.Fresh && !other.request.Fresh) ||
		now-other.arrivedAt >= g.params.RenewInterval
}

// grant answers a request with a lease that is as long as the state allows, but no longer than length.
func (g *LeaseGrantor) grant(now time.Duration, p pendingRequest, length time.Duration) *LeaseGrant {
	length = min(length, g.params.maxLeaseDuration(&g.state)).Truncate(time.Microsecond)
	answer := &LeaseGrant{Incarnation: p.incarnation, Sequence: p.request.Sequence, Revision: g.state.Revision}
	h := g.ensureHolder(now, p.node, p.incarnation)
	if h == nil {
		answer.Full = true
		return answer
	}
	if length > 0 {
		h.leasesEndAt = max(h.leasesEndAt, p.arrivedAt+g.params.withDriftMargin(length))
	}
	answer.Length = uint32(length / time.Microsecond)
	if p.request.Revision != g.state.Revision {
		h.knownRevision = g.state.Revision
		state := g.state
		answer.State = &state
	}
	return answer
}

// takeAnswerable removes and returns the pending requests that a relay can answer after its own request was answered,
// and drops those that are too old. remaining is the remaining time of the relay's lease.
func (g *LeaseGrantor) takeAnswerable(now time.Duration, own sentRequest, remaining time.Duration) []pendingRequest {
	var answerable []pendingRequest
	kept := g.pending[:0]
	for _, p := range g.pending {
		later := int32(own.sequence-p.ownSequence) > 0
		fresh := !p.request.Fresh || (later && own.fresh)
		switch {
		case remaining > 0 && fresh, remaining == 0 && later:
			answerable = append(answerable, p)
		case now-p.arrivedAt < 2*g.params.RenewInterval:
			kept = append(kept, p)
		}
	}
	g.pending = kept
	return answerable
}

// takeConfirmed removes and returns the pending requests that a confirmation round answers.
func (g *LeaseGrantor) takeConfirmed(round uint64) []pendingRequest {
	var answerable []pendingRequest
	g.pending = slices.DeleteFunc(g.pending, func(p pendingRequest) bool {
		answered := p.round != 0 && p.round <= round
		if answered {
			answerable = append(answerable, p)
		}
		return answered
	})
	return answerable
}

// beginConfirmation marks the pending requests that a confirmation round beginning now will answer, and returns its
// number; ok is false if there are none.
func (g *LeaseGrantor) beginConfirmation() (round uint64, ok bool) {
	for i := range g.pending {
		if g.pending[i].round == 0 {
			g.pending[i].round = g.lastRound + 1
			ok = true
		}
	}
	if ok {
		g.lastRound++
	}
	return g.lastRound, ok
}

// handleAck records that a process has shortened its own leases, and that all leases it has granted are shortened or
// expired, as the preparation with this revision requires.
func (g *LeaseGrantor) handleAck(now time.Duration, from int, incarnation, revision uint64) {
	for i := range g.holders {
		h := &g.holders[i]
		if h.node != from || h.incarnation != incarnation {
			continue
		}
		h.seenAt = now
		h.knownRevision = max(h.knownRevision, revision)
		if g.state.Prepared.Number != 0 && revision == g.state.Revision {
			h.ackedRevision = revision
			h.leasesEndAt = min(h.leasesEndAt, now+g.maxTrimmedLease())
		}
	}
}

// maxTrimmedLease returns the longest time that a lease may still last, by this node's clock, when its holder
// acknowledges the preparation.
func (g *LeaseGrantor) maxTrimmedLease() time.Duration {
	return g.params.withDriftMargin(g.params.maxLeaseDuration(&g.state))
}

// allTrimmedAt returns when all leases that this node has granted are as short as the preparation requires, even if no
// further acknowledgement arrives.
func (g *LeaseGrantor) allTrimmedAt() time.Duration {
	at := earliestTime
	for _, h := range g.holders {
		at = max(at, h.leasesEndAt)
	}
	return at - g.maxTrimmedLease()
}

// commitAllowedAt returns when the leader may propose to activate the prepared version.
func (g *LeaseGrantor) commitAllowedAt() time.Duration {
	at := max(g.allTrimmedAt(), g.previousLeasesUntil)
	if g.state.Active.Number != 0 {
		at = max(at, g.unknownLeasesUntil-g.maxTrimmedLease())
	}
	if g.offeredRevision == g.state.Revision {
		at = max(at, g.offeredAt+g.params.RenewInterval)
	}
	return at
}

// dueNotifications returns the nodes to which the state has to be sent now, and schedules their next notifications.
func (g *LeaseGrantor) dueNotifications(now time.Duration) []int {
	var nodes []int
	for i := range g.holders {
		h := &g.holders[i]
		if !g.needsNotification(now, h) || now < h.notifyAt {
			continue
		}
		backoff := g.params.RetryInterval << min(h.notificationCount, 8)
		h.notifyAt = now + min(g.params.RenewInterval, backoff)
		h.notificationCount++
		if !slices.Contains(nodes, h.node) {
			nodes = append(nodes, h.node)
		}
	}
	return nodes
}

// needsNotification reports whether the state still has to be sent to a holder. While a version is prepared, that is
// until the holder has acknowledged it or holds no lease; otherwise until it has the state or was notified often
// enough.
func (g *LeaseGrantor) needsNotification(now time.Duration, h *holderState) bool {
	if g.state.Prepared.Number != 0 && h.ackedRevision < g.state.Revision && h.leasesEndAt > now {
		return true
	}
	return h.knownRevision < g.state.Revision && h.notificationCount < maxNotificationsPerState
}
