package rules

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxSentRequests = 8 // latest requests whose grants are accepted
	maxTextStatuses = 8 // versions for which it is remembered whether this node can apply them
	maxUnanswered   = 3 // consecutive requests without an answer after which the next grantor is tried
	// returnAfterRenewals is the number of renewal intervals after which the preferred grantor is tried again.
	returnAfterRenewals = 8
)

// Reason is the reason why no version is in effect at a node.
type Reason uint8

// The reasons, and InEffect for none. Their numbers are sent between nodes.
const (
	InEffect     Reason = iota // a version is in effect
	NoVersion                  // the registry has no active version
	NoLease                    // no lease was granted, or it has expired
	NoText                     // the version's text has not been fetched yet
	Unusable                   // this node can't apply the version, see Set.Check
	NotPersisted               // the version's number has not been persisted yet
	OlderVersion               // the lease is on a version below the high-water mark
)

// String returns the reason as the status shows it to operators.
func (r Reason) String() string {
	names := [...]string{"acting", "no version", "no lease", "no text", "refused", "no mark", "older"}
	return names[min(r, OlderVersion)]
}

// lease permits this node to apply a version.
type lease struct {
	version   VersionID
	expiresAt time.Duration // by this node's clock
}

// sentRequest is a lease request that was sent and has no answer yet.
type sentRequest struct {
	sequence uint32
	sentAt   time.Duration
	fresh    bool // whether the answer must be a lease that the leader granted after the request
}

// textStatus records whether this node can apply a version whose text it has.
type textStatus struct {
	version VersionID
	usable  bool
}

// LeaseHolder requests leases and decides which version is in effect at the node. It measures a lease by its own clock
// from the sending of the request, so that the lease expires here before the grantor counts it as expired. A version
// takes effect only after its number was persisted as the high-water mark, and versions below that mark never do.
type LeaseHolder struct {
	params          LeaseParams
	index           int
	state           VersionState
	trimmedRevision uint64       // revision of the latest preparation for which the leases were shortened
	leases          []lease      // sorted by version number; at most two
	texts           []textStatus // oldest first
	highWaterMark   uint64       // highest version number that was persisted; lower versions never take effect
	hasFreshLease   bool         // whether a lease was granted by the leader since this process started

	requests      []sentRequest // oldest first
	lastSequence  uint32        // sequence number of the last request
	nextRequestAt time.Duration // when the next request is due
	lastRequestAt time.Duration // when the last request was sent
	responseTime  time.Duration // decaying maximum of recent response times

	grantors        []int         // nodes to request leases from, the preferred one first
	currentGrantor  int           // position in grantors of the one in use
	currentSince    time.Duration // when its use began
	unansweredCount int           // consecutive requests without an answer
}

// observe adopts a state if it is newer than the current one, and reports whether it was.
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

// trimLeases shortens the leases to what a preparation allows. It waits for the text of the prepared version, so that
// the time without a version in effect, or with two in the fleet, is short.
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

// hasText reports whether the node has fetched and checked a version's text.
func (h *LeaseHolder) hasText(version VersionID) bool {
	return slices.ContainsFunc(h.texts, func(t textStatus) bool { return t.version == version })
}

// usable reports whether the node has a version's text and can apply it.
func (h *LeaseHolder) usable(version VersionID) bool {
	return slices.Contains(h.texts, textStatus{version, true})
}

// MissingText returns the active or prepared version whose text has to be fetched; ok is false if there is none.
func (h *LeaseHolder) MissingText() (version VersionID, ok bool) {
	for _, version := range []VersionID{h.state.Active, h.state.Prepared} {
		if version.Number != 0 && !h.hasText(version) {
			return version, true
		}
	}
	return VersionID{}, false
}

// textFetched records that the node has a version's text, and whether it can apply the version.
func (h *LeaseHolder) textFetched(now time.Duration, version VersionID, usable bool) {
	h.texts = slices.DeleteFunc(h.texts, func(t textStatus) bool { return t.version == version })
	if len(h.texts) >= maxTextStatuses {
		h.texts = slices.Delete(h.texts, 0, 1)
	}
	h.texts = append(h.texts, textStatus{version, usable})
	h.trimLeases(now)
}

// PersistDue returns the version number that has to be persisted before that version can take effect; ok is false if
// there is none. Meanwhile the previous version stays in effect until the lease on it expires.
func (h *LeaseHolder) PersistDue(now time.Duration) (number uint64, ok bool) {
	l := h.newestLease()
	if l == nil || now >= l.expiresAt || !h.usable(l.version) || l.version.Number <= h.highWaterMark {
		return 0, false
	}
	return l.version.Number, true
}

// newestLease returns the lease on the newest version, or nil.
func (h *LeaseHolder) newestLease() *lease {
	if len(h.leases) == 0 {
		return nil
	}
	return &h.leases[len(h.leases)-1]
}

// EffectiveVersion returns the version to apply to a request that begins now, and when the lease on it ends by this
// node's clock. Number 0 means that only the node's settings apply, for the returned reason.
func (h *LeaseHolder) EffectiveVersion(now time.Duration) (number uint64, until time.Duration, reason Reason) {
	reason = NoLease
	if h.state.Active.Number == 0 {
		reason = NoVersion
	}
	for _, l := range h.leases {
		switch {
		case now >= l.expiresAt:
		case l.version.Number < h.highWaterMark:
			reason = OlderVersion
		case !h.hasText(l.version):
			reason = NoText
		case !h.usable(l.version):
			reason = Unusable
		case l.version.Number > h.highWaterMark:
			reason = NotPersisted
		default:
			return l.version.Number, l.expiresAt, InEffect
		}
	}
	return 0, 0, reason
}

// remaining returns the remaining time of the lease on the active version, which bounds the leases that a relay grants.
func (h *LeaseHolder) remaining(now time.Duration) time.Duration {
	l := h.newestLease()
	if l == nil || l.version != h.state.Active {
		return 0
	}
	return max(0, min(l.expiresAt-now, h.params.maxLeaseDuration(&h.state)))
}

// receiveGrant applies a grant and returns the request that it answers. A returned sequence of 0 means that the grant
// answered no current request or was of no use.
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
		h.expediteRequest(now) // the grant is from a state that is outdated, or may be
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

// extendLease extends the lease on the active version to the given end, or adds a lease if there is none. It keeps at
// most one lease on an older version.
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

// idleDelay returns the delay between requests while no lease can be granted.
func (h *LeaseHolder) idleDelay() time.Duration {
	if h.state.Revision == 0 {
		return h.jitter(h.params.RenewInterval)
	}
	return h.jitter(h.params.RenewInterval / 4)
}

// jitter shortens a delay by up to a quarter, so that nodes that were notified together don't send together. It depends
// only on the node's index and its last sequence number.
func (h *LeaseHolder) jitter(delay time.Duration) time.Duration {
	x := xxhash.Sum64(encodeUint(uint64(h.index)<<32 | uint64(h.lastSequence)))
	return delay - time.Duration(x%1024)*delay/4096
}

// encodeUint returns the little-endian bytes of a number.
func encodeUint(v uint64) []byte {
	return []byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24), byte(v >> 32), byte(v >> 40), byte(v >> 48), byte(v >> 56)}
}

// nextRequest returns the next request if it is due, and schedules its retry. fresh asks for a lease that the leader
// grants after this request.
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

// chooseGrantor returns the grantor to use. It moves to the next one if the current one does not answer, and returns to
// the preferred one after a while.
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

// expediteRequest moves the next request forward to now, but keeps a minimum distance to the last one.
func (h *LeaseHolder) expediteRequest(now time.Duration) {
	h.nextRequestAt = min(h.nextRequestAt, max(now, h.lastRequestAt+h.params.RetryInterval/4))
}

// setGrantors sets the nodes to request leases from, the preferred one first. An unchanged list has no effect.
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
