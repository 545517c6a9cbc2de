package rules

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxSentRequests = 8 // whose grants count
	maxTextStatuses = 8 // versions of which is known whether they can be used
	maxUnanswered   = 3 // requests without an answer after which another grantor is tried
	// returnAfterRenewals is how many renewal intervals later the first grantor is tried again.
	returnAfterRenewals = 8
)

// Reason says why a node acts by no version.
type Reason uint8

// The reasons, the weightiest first.
const (
	InEffect     Reason = iota // it does act by one
	NoVersion                  // none is active
	NoLease                    // none was granted, or it has expired
	NoText                     // the text of the version is not here yet
	Unusable                   // this node can't use the version: see Set.Check
	NotPersisted               // the disk has not persisted the number yet
	OlderVersion               // the lease is on an older version than it has acted by
)

// String returns the reason as operators see it.
func (r Reason) String() string {
	names := [...]string{"acting", "no version", "no lease", "no text", "refused", "no mark", "older"}
	return names[min(r, OlderVersion)]
}

// lease is one on a version, by this node's clock.
type lease struct {
	version   VersionID
	expiresAt time.Duration
}

// sentRequest is a request that was sent and not answered.
type sentRequest struct {
	sequence uint32
	sentAt   time.Duration
	fresh    bool
}

// textStatus says whether this node can use a version whose text is here.
type textStatus struct {
	version VersionID
	usable  bool
}

// LeaseHolder is the side of the leases that holds them: it requests leases, counts them on its own clock from before it
// requested them, and decides by which version the node acts. It acts by none whose number the disk has not persisted, nor
// by one below that number.
type LeaseHolder struct {
	params          LeaseParams
	index           int
	state           VersionState
	trimmedRevision uint64       // of a preparation to which the leases here are trimmed
	leases          []lease      // by number, two at most
	texts           []textStatus // oldest first
	highWaterMark   uint64       // number that the disk has: none below is acted by
	hasFreshLease   bool         // since the process began

	requests      []sentRequest // oldest first
	lastSequence  uint32        // of the last request
	nextRequestAt time.Duration // of the next one
	lastRequestAt time.Duration // of the last one
	responseTime  time.Duration // of recent answers, the slow ones for longer

	grantors        []int         // from which leases can be requested, the best first
	currentGrantor  int           // position of the one that is used
	currentSince    time.Duration // it is used
	unansweredCount int           // requests without an answer
}

// observe takes a state that is newer than the one here, and reports whether it was.
func (h *LeaseHolder) observe(now time.Duration, s VersionState) bool {
	if s.Revision <= h.state.Revision {
		return false
	}
	h.state = s
	if s.Prepared.Number == 0 {
		h.expediteRequest(now) // for a lease on the active version
	}
	h.trimLeases(now)
	return true
}

// trimLeases shortens the leases to what a preparation allows, once the next text is here, so that the time without a
// version, or with two, is short.
func (h *LeaseHolder) trimLeases(now time.Duration) {
	trimmed := h.trimmedRevision == h.state.Revision
	if h.state.Prepared.Number == 0 || trimmed || !h.hasText(h.state.Prepared) {
		return
	}
	h.trimmedRevision = h.state.Revision
	allowed := h.params.maxLeaseDuration(&h.state)
	if allowed > 0 {
		h.nextRequestAt = min(h.nextRequestAt, now+h.jitter(allowed/3))
	}
	for i := range h.leases {
		h.leases[i].expiresAt = min(h.leases[i].expiresAt, now+allowed)
	}
	h.dropExpired(now)
}

// dropExpired drops the leases that have expired.
func (h *LeaseHolder) dropExpired(now time.Duration) {
	h.leases = slices.DeleteFunc(h.leases, func(l lease) bool { return now >= l.expiresAt })
}

// hasText reports whether the node knows if it can use a version.
func (h *LeaseHolder) hasText(version VersionID) bool {
	return slices.ContainsFunc(h.texts, func(t textStatus) bool { return t.version == version })
}

func (h *LeaseHolder) usable(version VersionID) bool {
	return slices.Contains(h.texts, textStatus{version, true})
}

// MissingText returns a version whose text is to be fetched, if there is one.
func (h *LeaseHolder) MissingText() (VersionID, bool) {
	for _, version := range []VersionID{h.state.Active, h.state.Prepared} {
		if version.Number != 0 && !h.hasText(version) {
			return version, true
		}
	}
	return VersionID{}, false
}

// textFetched takes that a version's text is here and whether this node can use it.
func (h *LeaseHolder) textFetched(now time.Duration, version VersionID, usable bool) {
	h.texts = slices.DeleteFunc(h.texts, func(t textStatus) bool { return t.version == version })
	if len(h.texts) >= maxTextStatuses {
		h.texts = slices.Delete(h.texts, 0, 1)
	}
	h.texts = append(h.texts, textStatus{version, usable})
	h.trimLeases(now)
}

// PersistDue returns the number that has to be persisted before the node can act by that version. Until then it goes on:
// by the version before as long as the lease on that lasts.
func (h *LeaseHolder) PersistDue(now time.Duration) (uint64, bool) {
	l := h.newestLease()
	if l == nil || now >= l.expiresAt || !h.usable(l.version) || l.version.Number <= h.highWaterMark {
		return 0, false
	}
	return l.version.Number, true
}

func (h *LeaseHolder) newestLease() *lease {
	if len(h.leases) == 0 {
		return nil
	}
	return &h.leases[len(h.leases)-1]
}

// EffectiveVersion returns the version that a request which begins now goes by, and the end of the lease on it by this node's
// clock; 0 is the settings alone, and why.
func (h *LeaseHolder) EffectiveVersion(now time.Duration) (number uint64, until time.Duration, why Reason) {
	why = NoLease
	if h.state.Active.Number == 0 {
		why = NoVersion
	}
	for _, l := range h.leases {
		switch {
		case now >= l.expiresAt:
		case l.version.Number < h.highWaterMark:
			why = OlderVersion
		case !h.hasText(l.version):
			why = NoText
		case !h.usable(l.version):
			why = Unusable
		case l.version.Number > h.highWaterMark:
			why = NotPersisted
		default:
			return l.version.Number, l.expiresAt, InEffect
		}
	}
	return 0, 0, why
}

// remaining returns what is left of the lease on the active version: what can be granted on.
func (h *LeaseHolder) remaining(now time.Duration) time.Duration {
	l := h.newestLease()
	if l == nil || l.version != h.state.Active {
		return 0
	}
	return max(0, min(l.expiresAt-now, h.params.maxLeaseDuration(&h.state)))
}

// receiveGrant takes a grant and returns the request that it answers; sequence 0 is none that counts.
func (h *LeaseHolder) receiveGrant(now time.Duration, g *LeaseGrant) sentRequest {
	i := slices.IndexFunc(h.requests, func(r sentRequest) bool { return r.sequence == g.Sequence })
	if i < 0 {
		return sentRequest{}
	}
	request := h.requests[i]
	h.requests = slices.Delete(h.requests, i, i+1)
	h.responseTime = max(now-request.sentAt, h.responseTime*7/8)
	h.unansweredCount = 0
	if g.Full {
		h.unansweredCount = maxUnanswered
		return sentRequest{}
	}
	if g.State != nil {
		h.observe(now, *g.State)
	}
	if g.Revision != h.state.Revision || (!h.hasFreshLease && !request.fresh) {
		h.expediteRequest(now) // the grant is of a state that has passed, or may have
		return sentRequest{}
	}
	length := min(time.Duration(g.Length)*time.Microsecond, h.params.maxLeaseDuration(&h.state))
	if length == 0 {
		h.nextRequestAt = max(now, request.sentAt+h.idleDelay())
		return request
	}
	h.hasFreshLease = true
	h.nextRequestAt = max(now, request.sentAt+h.jitter(min(h.params.RenewInterval, length/3)))
	h.extendLease(now, request.sentAt+length)
	return request
}

// extendLease takes a lease on the active version up to an end.
func (h *LeaseHolder) extendLease(now, end time.Duration) {
	h.dropExpired(now)
	l := h.newestLease()
	switch {
	case now >= end:
	case l != nil && l.version == h.state.Active:
		l.expiresAt = max(l.expiresAt, end)
	default:
		newest := h.leases[max(0, len(h.leases)-1):]
		h.leases = append(newest, lease{h.state.Active, end})
	}
}

// idleDelay returns the pause between requests while there is nothing to be had.
func (h *LeaseHolder) idleDelay() time.Duration {
	if h.state.Revision == 0 {
		return h.jitter(h.params.RenewInterval)
	}
	return h.jitter(h.params.RenewInterval / 4)
}

// jitter shortens a pause by up to a quarter, so that nodes that were notified together don't go on together.
func (h *LeaseHolder) jitter(pause time.Duration) time.Duration {
	x := xxhash.Sum64(encodeUint(uint64(h.index)<<32 | uint64(h.lastSequence)))
	return pause - time.Duration(x%1024)*pause/4096
}

func encodeUint(v uint64) []byte {
	return []byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24), byte(v >> 32), byte(v >> 40), byte(v >> 48), byte(v >> 56)}
}

// nextRequest returns the next request, if it is due.
func (h *LeaseHolder) nextRequest(now time.Duration, fresh bool) (*LeaseRequest, bool) {
	if now < h.nextRequestAt {
		return nil, false
	}
	h.lastSequence++
	if len(h.requests) >= maxSentRequests {
		h.requests = slices.Delete(h.requests, 0, 1)
	}
	fresh = fresh || !h.hasFreshLease
	h.requests = append(h.requests, sentRequest{h.lastSequence, now, fresh})
	h.lastRequestAt = now
	backoff := max(h.params.RetryInterval, 2*h.responseTime) << h.unansweredCount
	h.nextRequestAt = now + min(h.params.RenewInterval, backoff)
	h.unansweredCount = min(h.unansweredCount+1, maxUnanswered)
	return &LeaseRequest{Sequence: h.lastSequence, Revision: h.state.Revision, Fresh: fresh}, true
}

// chooseGrantor returns the grantor to use: the next one where one does not answer, and the first again after a while.
func (h *LeaseHolder) chooseGrantor(now time.Duration) int {
	switch {
	case h.currentGrantor > 0 && now-h.currentSince >= returnAfterRenewals*h.params.RenewInterval:
		h.currentGrantor = 0
		h.currentSince = now
		h.unansweredCount = maxUnanswered - 1
	case h.unansweredCount >= maxUnanswered:
		h.currentGrantor = (h.currentGrantor + 1) % len(h.grantors)
		h.currentSince = now
		h.unansweredCount = 0
	}
	return h.grantors[h.currentGrantor]
}

// expediteRequest has the next request sent as soon as may be.
func (h *LeaseHolder) expediteRequest(now time.Duration) {
	h.nextRequestAt = min(h.nextRequestAt, max(now, h.lastRequestAt+h.params.RetryInterval/4))
}

// setGrantors takes the grantors that may be used.
func (h *LeaseHolder) setGrantors(now time.Duration, grantors []int) {
	if slices.Equal(h.grantors, grantors) {
		return
	}
	h.grantors = slices.Clone(grantors)
	h.currentGrantor = 0
	h.currentSince = now
	h.unansweredCount = 0
	h.expediteRequest(now)
}
