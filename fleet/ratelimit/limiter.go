package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	batchInterval   = 50 * time.Millisecond  // for which consumption for one owner is gathered
	correctionDelay = 400 * time.Millisecond // for which corrections wait for consumption to go with
	resendInterval  = 300 * time.Millisecond // after which what is not acknowledged is sent again
	publishInterval = 250 * time.Millisecond // between two reports of an owner that all its low buckets are reported
	relayInterval   = 100 * time.Millisecond // for which a relay gathers what it forwards
	echoInterval    = time.Second            // at which a receiver of reports sends something, so that ages are known

	// publishDuration is how long after the last consumption an owner goes on with its reports: buckets are full then.
	publishDuration = 10 * time.Second
	// ownershipSettleTime is how long after a change of a tenant's owner no report is used.
	ownershipSettleTime = 2 * time.Second
	// suspendThreshold is how late a flush must be for the process to have been suspended.
	suspendThreshold = 500 * time.Millisecond
	// tenantRetention is when tenants that sent nothing are forgotten: their buckets are full again.
	tenantRetention = 15 * time.Second
	// rememberedNumbers is how many message numbers have their time remembered; an older echo tells no age.
	maxSendTimes = 16
	// lastHop is the number of hops of a report: from its owner to the owner's relay, to all relays, to all nodes.
	lastHop = 3
)

// Config says how a node takes part.
type Config struct {
	Node, FleetSize int    // index of this node, and number of nodes
	Incarnation     uint64 // of this process, as other nodes see it
	Quotas          map[uint32]Quota
	MaxTenants      int // remembered
}

// Peer is another node that is live.
type Peer struct {
	Index       int
	Incarnation uint64
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      int
	Message *Message
}

// Counts are counters for the operators' metrics.
type Counts struct {
	Sent, Received int64 // messages
	Expired        int64 // reports dropped because they had expired
	UnknownAge     int64 // messages whose reports were dropped because their age is not known
	UnknownSender  int64 // messages of a process that is not live
	Resent         int64 // messages sent again
	Duplicates     int64 // messages whose consumption was applied before
	Unowned        int64 // consumption for which there is no live owner
	OutlierReports int64 // own reports on slow servers
	Outliers       int64 // outliers found
	TransferredOut int64 // buckets handed to another owner
	TransferredIn  int64 // buckets taken over
	Buckets        int64 // owned here now
	LowBuckets     int64 // of them, low ones
}

// Limiter is one node's part in the shared rate limits: it owns the buckets of some tenants, notifies the owners of
// the others, and forwards reports where it is a relay. It is not safe for concurrent use.
type Limiter struct {
	Counts Counts
	config Config

	epoch        uint64   // counts membership changes
	liveNodes    []int    // this one among them, in order
	alive        []bool   // by index
	hasLeft      bool     // this node is leaving: it notifies owners, and owns nothing
	incarnations []uint64 // of the nodes' processes, by index; of a dead node, the last; 0 is not known
	relayGroups  relayGroups
	relay        int   // of this node's group; itself where it is one
	groupMembers []int // the nodes of its group, where it is their relay

	recentTenants map[uint64]*tenantState // used since rotatedAt
	olderTenants  map[uint64]*tenantState // used in the retention time before
	rotatedAt     time.Duration
	ownedTenants  map[uint64]*tenantState // with a bucket here
	lowTenants    map[uint64]*tenantState // of them, with a low one

	links              map[int]*peerLink
	activeLinks        map[int]*peerLink     // with something to send, or waiting for an acknowledgement
	lastMessageNumbers map[int]uint32        // of links that are gone, so that no number is used twice
	sequence           uint32                // of the last consumption, to any node
	ownerReportedAt    map[int]time.Duration // by owner: until when its low buckets are known

	outlierReports outlierReportSet
	ownReports     reportQueue // to be published as an owner
	toRelays       reportQueue // to be forwarded to the other relays
	toGroup        reportQueue // to be forwarded to the nodes of this relay's group

	lastConsumptionAt time.Duration // of a tenant that is owned here
	publishAt         time.Duration
	relayAt           time.Duration // when reports are forwarded next; 0 is none to forward
	maxDistance       int           // the largest distance of a node of a tenant that was owned here
	quietUntil        time.Duration // after a suspension: nothing is published
	flushAt           time.Duration // below zero is never
}

// NewLimiter returns a node's part; it is alone until SetLivePeers names other nodes.
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

// NextFlush returns when Flush is to be called next, if at all.
func (l *Limiter) NextFlush() (when time.Duration, ok bool) { return l.flushAt, l.flushAt >= 0 }

func (l *Limiter) scheduleFlush(when time.Duration) {
	if l.flushAt < 0 || when < l.flushAt {
		l.flushAt = when
	}
}

// SetLivePeers takes the other nodes that are live. Buckets whose owner is another node now go to it, and so does the
// consumption that the owner before has not acknowledged.
func (l *Limiter) SetLivePeers(now time.Duration, others []Peer) {
	l.applyMembership(others)
	undelivered := l.dropDeadLinks()
	for _, key := range slices.Sorted(maps.Keys(l.ownedTenants)) {
		// A bucket that this node has left and for which there is no other owner stays here.
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

// dropDeadLinks drops the links to processes that are gone and returns the consumption that they have not
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

// applyMembership puts a membership in force.
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

// Leave hands the buckets that are owned here to the nodes that own them when this node is gone. From now on this node
// notifies those of what it consumes. Flush is to be called after it.
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

// Rejoin takes back a Leave: this node may own buckets again. SetLivePeers is to be called after it.
func (l *Limiter) Rejoin() {
	l.epoch++
	l.hasLeft = false
	l.alive[l.config.Node] = true
}

// transfer hands a bucket to its new owner.
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

// Stats returns the counters, with what is owned now.
func (l *Limiter) Stats() Counts {
	l.Counts.Buckets = int64(len(l.ownedTenants))
	l.Counts.LowBuckets = int64(len(l.lowTenants))
	return l.Counts
}
