package rules

import (
	"slices"
	"time"
)

const (
	// earliestTime is before any time.
	earliestTime = -time.Duration(1 << 62)
	// maxNotificationsPerState is how often one state is sent to one holder, when nobody waits for its acknowledgement.
	maxNotificationsPerState = 6
)

// holderState is what a grantor knows of one process that has requested leases.
type holderState struct {
	node              int
	incarnation       uint64
	leasesEndAt       time.Duration // when all leases that it may hold have expired, by this clock
	seenAt            time.Duration
	knownRevision     uint64 // the newest that it is known to have
	ackedRevision     uint64 // revision of the preparation that it has acknowledged
	notifyAt          time.Duration
	notificationCount int // of the state so far
}

// pendingRequest is a request that can't be answered yet.
type pendingRequest struct {
	node        int
	incarnation uint64
	request     LeaseRequest
	arrivedAt   time.Duration
	ownSequence uint32 // of the relay's own last request when it came: the answer to a later one is fresh enough
	round       uint64 // of the confirmation that answers it; 0 is none begun
}

// LeaseGrantor is the side of the leases that grants them, at the leader and at relays. The leader grants by the registry,
// each request after a confirmation of its leadership that began after the request had come. A relay passes on what is
// left of its own lease.
type LeaseGrantor struct {
	params   LeaseParams
	state    VersionState
	isLeader bool

	unknownLeasesUntil  time.Duration // until when leases of leaders before may be held
	previousLeasesUntil time.Duration // until when leases on the version before the active one may be held

	holders   []holderState
	pending   []pendingRequest
	lastRound uint64 // of confirmation, begun last

	offeredRevision uint64 // of the preparation whose commit was offered last
	offeredAt       time.Duration
}

// observe takes a state that is newer than the one here: all holders are to be notified.
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

// becomeLeader makes the grantor the leader's. It does not know who holds a lease of the leaders before, so it counts each as held
// until it must have expired.
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

// ensureHolder returns what is known of a process, and adds it where there is room; nil is no room.
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

// handleRequest takes a handleRequest and returns its grant, or nil where it has to wait: at the leader until the leadership is
// confirmed, at a relay until its own lease was renewed since.
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

// replacesPending reports whether a request takes the place of another one of its node. One that came again does not: the other's
// answer may be under way.
func (g *LeaseGrantor) replacesPending(now time.Duration, p, other pendingRequest) bool {
	return other.incarnation != p.incarnation || (p.request.Fresh && !other.request.Fresh) ||
		now-other.arrivedAt >= g.params.RenewInterval
}

// grant answers a request by a lease of at most some length, as the state allows.
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

// takeAnswerable returns the requests that a relay can answer once a request of its own was answered, and drops those that are
// too old.
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

// takeConfirmed returns the requests that a confirmation answers.
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

// beginConfirmation marks the requests that a confirmation which begins now will answer.
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

// handleAck takes that a process and all to whom it has granted are trimmed to a preparation.
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

// maxTrimmedLease returns how long leases may last yet when a preparation is acknowledged.
func (g *LeaseGrantor) maxTrimmedLease() time.Duration {
	return g.params.withDriftMargin(g.params.maxLeaseDuration(&g.state))
}

// allTrimmedAt returns when all leases granted from here are trimmed to the preparation, if nobody acknowledges more.
func (g *LeaseGrantor) allTrimmedAt() time.Duration {
	at := earliestTime
	for _, h := range g.holders {
		at = max(at, h.leasesEndAt)
	}
	return at - g.maxTrimmedLease()
}

// commitAllowedAt returns when the prepared version can be activated, at the leader.
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

// dueNotifications returns the nodes that the state is to be sent to now.
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

// needsNotification reports whether a holder has to be sent the state: until it has it, and where a version is prepared
// until it has acknowledged or has no lease left.
func (g *LeaseGrantor) needsNotification(now time.Duration, h *holderState) bool {
	if g.state.Prepared.Number != 0 && h.ackedRevision < g.state.Revision && h.leasesEndAt > now {
		return true
	}
	return h.knownRevision < g.state.Revision && h.notificationCount < maxNotificationsPerState
}
