package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	batchInterval   = 50 * time.Millisecond  // time for which consumption for one owner is batched
	correctionDelay = 400 * time.Millisecond // longest wait of a correction for a message with consumption
	resendInterval  = 300 * time.Millisecond // time after which an unacknowledged message is sent again
	publishInterval = 250 * time.Millisecond // longest time between two publications of an active owner
	relayInterval   = 100 * time.Millisecond // time for which a relay batches the reports that it forwards
	// echoInterval is the longest time between two messages to a peer that sends reports. The peer echoes their
	// numbers, without which the age of its reports is unknown.
	echoInterval = time.Second

	// publishDuration is the time for which an owner continues to report after the last consumption. Its buckets are
	// full by then.
	publishDuration = 10 * time.Second
	// ownershipSettleTime is the time after a change of a tenant's owner in which no level of its bucket is used.
	ownershipSettleTime = 2 * time.Second
	// suspendThreshold is the delay of a flush from which the process is taken to have been suspended.
	suspendThreshold = 500 * time.Millisecond
	// tenantRetention is the time after which unused tenants are forgotten. Their buckets are full again by then.
	tenantRetention = 15 * time.Second
	// maxSendTimes is the number of latest messages on a link whose send times are kept. The echo of an older message
	// gives no age.
	maxSendTimes = 16
	// lastHop is the number of hops of a report: from the owner to the relay of its group, from there to all relays,
	// and from each relay to the nodes of its group.
	lastHop = 3
)

// Config configures a Limiter.
type Config struct {
	Node, FleetSize int              // index of this node in the fleet, and number of nodes
	Incarnation     uint64           // incarnation of this process, as the membership announces it
	Quotas          map[uint32]Quota // by plan; a plan without an entry or with rate 0 has no limit
	MaxTenants      int              // number of tenants whose state is kept
}

// Peer is another live node.
type Peer struct {
	Index       int
	Incarnation uint64
}

// Outgoing is a message to be sent to the node with index To.
type Outgoing struct {
	To      int
	Message *Message
}

// Counts holds the counters that are exported as metrics.
type Counts struct {
	Sent, Received int64 // messages
	Expired        int64 // reports dropped because they had expired
	UnknownAge     int64 // messages whose reports were dropped because their age is unknown
	UnknownSender  int64 // messages dropped because the sender's incarnation is not known
	Resent         int64 // messages sent again
	Duplicates     int64 // messages whose consumption had been applied before
	Unowned        int64 // notifications dropped because the tenant has no live owner
	OutlierReports int64 // this node's own reports on slow servers
	Outliers       int64 // outliers found
	TransferredOut int64 // buckets transferred to another owner
	TransferredIn  int64 // buckets received from another owner
	Buckets        int64 // buckets owned now
	LowBuckets     int64 // buckets owned now that are low
}

// Limiter is one node's part of the shared rate limits: it owns the buckets of some tenants, notifies the owners of
// the others, and forwards reports if it is a relay. The caller passes it the live nodes (SetLivePeers) and the
// received messages (Receive), and sends the messages that Flush returns. It is not safe for concurrent use.
type Limiter struct {
	Counts Counts
	config Config

	epoch        uint64   // number of membership changes
	liveNodes    []int    // indexes of the live nodes, sorted; includes this node unless hasLeft
	alive        []bool   // whether a node is live, by index
	hasLeft      bool     // set by Leave: this node notifies owners and is not chosen as an owner
	incarnations []uint64 // last known incarnation of each node, by index; 0 means unknown
	relayGroups  relayGroups
	relay        int   // relay of this node's group; may be this node
	groupMembers []int // other live nodes of the group if this node is its relay, else empty

	recentTenants map[uint64]*tenantState // tenants used since rotatedAt
	olderTenants  map[uint64]*tenantState // tenants used in the period before rotatedAt
	rotatedAt     time.Duration
	ownedTenants  map[uint64]*tenantState // tenants whose bucket is held here
	lowTenants    map[uint64]*tenantState // those of ownedTenants whose bucket is low

	links              map[int]*peerLink     // by node
	activeLinks        map[int]*peerLink     // links with something to send or waiting for an acknowledgement
	lastMessageNumbers map[int]uint32        // last number of a dropped link, by node; no number is used twice
	sequence           uint32                // Sequence of the last message with consumption, to any node
	ownerReportedAt    map[int]time.Duration // time as of which an owner has reported all its low buckets, by owner

	outlierReports outlierReportSet
	ownReports     reportQueue // reports that this node publishes as an owner
	toRelays       reportQueue // reports to be forwarded to the other relays
	toGroup        reportQueue // reports to be forwarded to the nodes of this relay's group

	lastConsumptionAt time.Duration // time of the last consumption from a bucket owned here
	publishAt         time.Duration // time of the next publication
	relayAt           time.Duration // time of the next forwarding; 0 means that nothing is queued
	maxDistance       int           // upper bound of the index distance to the nodes of tenants that this node has owned
	quietUntil        time.Duration // end of the period after a suspension in which buckets are neither reported nor used
	flushAt           time.Duration // time of the next flush; negative means none
}

// NewLimiter returns the limiter of a node, with no other live nodes until SetLivePeers is called.
func NewLimiter(cfg Config, now time.Duration) *Limiter {
	l := &Limiter{
		config:             cfg,
		incarnations:       make([]uint64, cfg.FleetSize),
		recentTenants:      make(map[uint64]*tenantState),
		olderTenants:       make(map[uint64]*tenantState),
		rotatedAt:          now,
		ownedTenants:       make(map[uint64]*tenantState),
		lowTenants:         make(map[uint64]*tenantState),
		links:              make(map[int]*peerLink),
		activeLinks:        make(map[int]*peerLink),
		lastMessageNumbers: make(map[int]uint32),
		ownerReportedAt:    make(map[int]time.Duration),
		outlierReports:     newOutlierReportSet(),
		ownReports:         newReportQueue(),
		toRelays:           newReportQueue(),
		toGroup:            newReportQueue(),
		lastConsumptionAt:  now - publishDuration,
		flushAt:            -1,
	}
	l.applyMembership(nil)
	return l
}

// NextFlush returns the time at which Flush is to be called next; ok is false if no flush is scheduled.
func (l *Limiter) NextFlush() (when time.Duration, ok bool) { return l.flushAt, l.flushAt >= 0 }

// scheduleFlush schedules a flush at the given time, unless an earlier one is scheduled.
func (l *Limiter) scheduleFlush(when time.Duration) {
	if l.flushAt < 0 || when < l.flushAt {
		l.flushAt = when
	}
}

// SetLivePeers sets the other live nodes. Buckets that another node owns under the new membership are transferred to
// it, and consumption that a node now dead has not acknowledged is sent to the new owner.
func (l *Limiter) SetLivePeers(now time.Duration, others []Peer) {
	l.applyMembership(others)
	undelivered := l.dropDeadLinks()
	for _, key := range slices.Sorted(maps.Keys(l.ownedTenants)) {
		// After Leave, a bucket without another owner stays here.
		t := l.ownedTenants[key]
		if l.ownerOf(t, now) != l.config.Node && t.owner >= 0 {
			l.transfer(t, now)
		}
	}
	for _, c := range undelivered {
		t := l.tenantWithQuota(c.Tenant, c.Plan, NodeRange{c.First, c.Count}, now)
		if t != nil {
			l.notifyOwner(t, float64(c.Tokens), c.consumedAt, now, now+batchInterval)
		}
	}
}

// dropDeadLinks removes the links to processes that are no longer live and returns the consumption that they have not
// acknowledged.
func (l *Limiter) dropDeadLinks() []pendingConsumption {
	var undelivered []pendingConsumption
	for _, node := range slices.Sorted(maps.Keys(l.links)) {
		link := l.links[node]
		if l.alive[node] && link.incarnation == l.incarnations[node] {
			continue
		}
		undelivered = append(undelivered, link.undeliveredConsumptions()...)
		l.lastMessageNumbers[node] = link.number
		delete(l.links, node)
		delete(l.activeLinks, node)
	}
	return undelivered
}

// applyMembership replaces the set of live nodes and selects the relays anew. Peers with an index outside the fleet,
// this node itself and repeated ones are skipped.
func (l *Limiter) applyMembership(others []Peer) {
	l.epoch++
	l.liveNodes = l.liveNodes[:0]
	l.alive = make([]bool, l.config.FleetSize)
	if !l.hasLeft {
		l.liveNodes = append(l.liveNodes, l.config.Node)
		l.alive[l.config.Node] = true
	}
	for _, peer := range others {
		valid := peer.Index >= 0 && peer.Index < l.config.FleetSize
		if !valid || peer.Index == l.config.Node || l.alive[peer.Index] {
			continue
		}
		l.liveNodes = append(l.liveNodes, peer.Index)
		l.alive[peer.Index] = true
		l.incarnations[peer.Index] = peer.Incarnation
	}
	slices.Sort(l.liveNodes)
	l.relayGroups = newRelayGroups(l.config.FleetSize, l.liveNodes)
	group := l.relayGroups.groupOf(l.config.Node)
	l.relay = l.relayGroups.relays[group]
	l.groupMembers = l.groupMembers[:0]
	if l.relay != l.config.Node {
		return
	}
	for _, node := range l.liveNodes {
		if node != l.config.Node && l.relayGroups.groupOf(node) == group {
			l.groupMembers = append(l.groupMembers, node)
		}
	}
}

// Leave transfers each bucket that is owned here to the live node that becomes its owner when this node no longer is. A
// bucket without such a node stays here, unused. From then on this node is not chosen as an owner, and notifies the
// owners of its consumption. The caller must call Flush afterwards.
func (l *Limiter) Leave(now time.Duration) {
	l.epoch++
	l.hasLeft = true
	l.alive[l.config.Node] = false
	for _, key := range slices.Sorted(maps.Keys(l.ownedTenants)) {
		t := l.ownedTenants[key]
		if l.ownerOf(t, now) >= 0 {
			l.transfer(t, now)
		}
	}
}

// Rejoin reverts Leave: this node may own buckets again. The caller must call SetLivePeers afterwards.
func (l *Limiter) Rejoin() {
	l.epoch++
	l.hasLeft = false
	l.alive[l.config.Node] = true
}

// transfer queues a bucket for transfer to its new owner and drops it here.
func (l *Limiter) transfer(t *tenantState, now time.Duration) {
	link := l.scheduleSend(t.owner, now)
	link.transfers = append(link.transfers, Transfer{
		Tenant:      t.key,
		Plan:        t.plan,
		First:       t.nodes.First,
		Count:       t.nodes.Count,
		Level:       float32(t.bucket.Level(now)),
		Consumed:    float32(math.Min(maxTokens, t.bucket.consumed)),
		Provisional: t.bucket.provisional,
	})
	if t.bucket.provisional && (link.oldestProvisionalAt == 0 || t.bucket.createdAt < link.oldestProvisionalAt) {
		link.oldestProvisionalAt = t.bucket.createdAt
	}
	l.Counts.TransferredOut++
	t.cached.Update(t.bucket.Level(now), now)
	t.bucket = nil
	delete(l.ownedTenants, t.key)
	delete(l.lowTenants, t.key)
}

// Stats returns the counters, including the current number of buckets.
func (l *Limiter) Stats() Counts {
	l.Counts.Buckets = int64(len(l.ownedTenants))
	l.Counts.LowBuckets = int64(len(l.lowTenants))
	return l.Counts
}
