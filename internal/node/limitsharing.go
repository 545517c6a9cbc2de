package node

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"sloestile/control"
	"sloestile/fleet/ratelimit"
	"sloestile/internal/config"
	"sloestile/internal/discovery"
	"sloestile/internal/membership"
)

const (
	maxOutgoingMessages = 256  // maximum number of messages queued for sending; others are dropped and resent later
	maxQueuedMessages   = 128  // maximum number of received messages queued for the loop; further ones are dropped
	defaultMaxTenants   = 1024 // maximum number of tenants if the settings have no MaxTenants
)

// limitSharing shares token buckets and outlier reports with the other nodes. It is owned by the event loop. Only
// receive, membershipChanged and sendMessages are called by other goroutines; the loop never waits for these.
type limitSharing struct {
	loop        *loop
	limiter     *ratelimit.Limiter // nil until the membership has started
	settings    *control.Settings
	peersConfig config.Peers                // states what is shared: limits, outlier reports or both
	serverByID  map[uint32]ratelimit.Server // the listed servers by ID
	idByServer  map[ratelimit.Server]uint32
	peers       atomic.Pointer[membership.Peers] // nil until the membership has started
	outgoing    chan ratelimit.Outgoing
	sender      sync.WaitGroup
	flushTimer  *time.Timer
	flushAt     time.Duration // time of the next flush on the decision module's clock; 0 if none is scheduled

	membersUpdateQueued atomic.Bool  // whether an update of the live members is queued for the loop
	queuedMessages      atomic.Int64 // number of received messages queued for the loop
	counts              atomic.Pointer[ratelimit.Counts]
	bucketAge           prometheus.Histogram
	corruptMessages, droppedMessages, unsentMessages,
	knownBucketRequests, unknownBucketRequests prometheus.Counter
}

// newLimitSharing returns a limitSharing that is inactive until start is called.
func newLimitSharing(settings *control.Settings, peers config.Peers, l *loop) *limitSharing {
	s := &limitSharing{loop: l, settings: settings, peersConfig: peers, serverByID: make(map[uint32]ratelimit.Server), idByServer: make(map[ratelimit.Server]uint32), outgoing: make(chan ratelimit.Outgoing, maxOutgoingMessages)}
	s.counts.Store(&ratelimit.Counts{})
	s.registerMetrics()
	return s
}

// registerMetrics registers the metrics of shared limits and outlier reports.
func (s *limitSharing) registerMetrics() {
	registry := s.loop.metricsRegistry()
	s.bucketAge = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "node_share_age_seconds",
		Help: "Age of what was told of a store when a request was decided by it.", Buckets: []float64{.01, .05, .1, .2, .3, .5, .7, .9, 1}})
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	registry.MustRegister(s.bucketAge)
	s.corruptMessages = counter("node_share_spoilt_total", "Messages of others that could not be used.")
	s.droppedMessages = counter("node_share_dropped_total", "Messages of others dropped, as the loop had no room.")
	s.unsentMessages = counter("node_share_unsent_total", "Messages that could not be sent.")
	s.knownBucketRequests = counter("node_share_known_total", "Requests whose store was known.")
	s.unknownBucketRequests = counter("node_share_unknown_total", "Requests whose store was not known: decided as by one alone.")
	for name, value := range map[string]func(*ratelimit.Counts) int64{
		"node_share_sent_total":     func(c *ratelimit.Counts) int64 { return c.Sent },
		"node_share_heard_total":    func(c *ratelimit.Counts) int64 { return c.Received },
		"node_share_late_total":     func(c *ratelimit.Counts) int64 { return c.Expired },
		"node_share_ageless_total":  func(c *ratelimit.Counts) int64 { return c.UnknownAge },
		"node_share_strange_total":  func(c *ratelimit.Counts) int64 { return c.UnknownSender },
		"node_share_resent_total":   func(c *ratelimit.Counts) int64 { return c.Resent },
		"node_share_repeated_total": func(c *ratelimit.Counts) int64 { return c.Duplicates },
		"node_share_untold_total":   func(c *ratelimit.Counts) int64 { return c.Unowned },
		"node_share_charges_total":  func(c *ratelimit.Counts) int64 { return c.OutlierReports },
		"node_share_verdicts_total": func(c *ratelimit.Counts) int64 { return c.Outliers },
		"node_share_handed_total":   func(c *ratelimit.Counts) int64 { return c.TransferredOut },
		"node_share_taken_total":    func(c *ratelimit.Counts) int64 { return c.TransferredIn },
	} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: "See docs/oncall.md."},
			func() float64 { return float64(value(s.counts.Load())) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "node_share_stores", Help: "Customers' stores kept here for all nodes."},
		func() float64 { return float64(s.counts.Load().Buckets) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "node_share_low", Help: "Those of them that are low."},
		func() float64 { return float64(s.counts.Load().LowBuckets) }))
}

// start starts the sharing with the members of a membership that has started.
func (s *limitSharing) start(peers *membership.Peers) {
	quotas := make(map[uint32]ratelimit.Quota)
	for _, plan := range s.settings.Plans {
		quotas[planKey(plan.Name)] = ratelimit.Quota{Rate: plan.Rate, Burst: plan.Burst}
	}
	maxTenants := s.settings.MaxTenants
	if maxTenants <= 0 {
		maxTenants = defaultMaxTenants
	}
	s.peers.Store(peers)
	s.sender.Go(s.sendMessages)
	s.loop.post(func() { // runs when the loop has started
		s.limiter = ratelimit.NewLimiter(ratelimit.Config{Node: s.settings.NodeIndex, FleetSize: s.settings.FleetSize, Incarnation: peers.Incarnation(),
			Quotas: quotas, MaxTenants: maxTenants}, s.loop.now())
		s.updateMembers()
	})
}

// planKey returns the key of a plan in messages between nodes.
func planKey(plan string) uint32 { return uint32(xxhash.Sum64String(plan)) }

// tenantKey returns the key of a tenant's token bucket in messages between nodes.
func tenantKey(r *control.Request) uint64 {
	return xxhash.Sum64String(r.Plan + " " + r.Tenant)
}

// bucketOf returns the last known level of the shared token bucket of a request's tenant. It returns nil if the level
// is unknown or limits are not shared.
func (s *limitSharing) bucketOf(r *control.Request) *control.SharedBucket {
	if s.limiter == nil || !s.peersConfig.SharedLimits {
		return nil
	}
	bucket, ok := s.limiter.Level(s.loop.now(), tenantKey(r), planKey(r.Plan), ratelimit.NodeRange{First: r.FirstNode, Count: r.TenantNodes})
	if !ok {
		s.unknownBucketRequests.Inc()
		return nil
	}
	s.knownBucketRequests.Inc()
	s.bucketAge.Observe(bucket.Age.Seconds())
	return &control.SharedBucket{Tokens: bucket.Tokens, LowerBound: bucket.IsLowerBound, Age: bucket.Age}
}

// consume records that a request which was sent to a server has consumed tokens. See ratelimit.Limiter.Consume.
func (s *limitSharing) consume(r *control.Request, tokens float64, correction bool) {
	if s.limiter == nil || !s.peersConfig.SharedLimits {
		return
	}
	s.limiter.Consume(s.loop.now(), tenantKey(r), planKey(r.Plan), ratelimit.NodeRange{First: r.FirstNode, Count: r.TenantNodes}, tokens, correction)
	s.scheduleFlush()
}

// updateServer applies an entry of the endpoint list. A nil entry means that the server is no longer listed.
func (s *limitSharing) updateServer(id uint32, t *discovery.Target) {
	if old, ok := s.serverByID[id]; ok {
		delete(s.idByServer, old)
		delete(s.serverByID, id)
	}
	if t != nil {
		server := ratelimit.Server{Key: xxhash.Sum64String(t.UID), StartedAt: uint64(max(0, t.BootMS))}
		s.serverByID[id], s.idByServer[server] = server, id
	}
}

// reportSlow reports a server as slow to the other nodes.
func (s *limitSharing) reportSlow(server uint32) {
	if v, ok := s.serverByID[server]; ok && s.limiter != nil && s.peersConfig.OutlierReports {
		s.limiter.ReportOutlier(s.loop.now(), v)
		s.scheduleFlush()
	}
}

// applyOutlierReports passes the servers that enough nodes report as slow to the decision module. It must not be called
// while the loop executes the module's actions.
func (s *limitSharing) applyOutlierReports() {
	for _, outlier := range s.limiter.Outliers(s.loop.now(), len(s.idByServer)) {
		if id, ok := s.idByServer[outlier.Server]; ok {
			slog.Info("outlier reports: nodes report a server as slow", "server", id, "reporters", outlier.Reporters)
			s.loop.handle(control.OutlierReport{Server: id, Reporters: outlier.Reporters, Until: outlier.ReportedAt + ratelimit.OutlierReportLifetime})
		}
	}
}

// updateMembers passes the live members to the limiter.
func (s *limitSharing) updateMembers() {
	s.membersUpdateQueued.Store(false)
	if s.limiter == nil {
		return
	}
	var peers []ratelimit.Peer
	live, _ := s.peers.Load().Live()
	for _, m := range live {
		if m.MetaVersion >= membership.MetaVersion {
			peers = append(peers, ratelimit.Peer{Index: m.Index, Incarnation: m.Incarnation})
		}
	}
	s.limiter.SetLivePeers(s.loop.now(), peers)
	s.scheduleFlush()
}

// leave transfers the buckets that this node owns to other nodes.
func (s *limitSharing) leave() {
	if s.limiter != nil {
		s.limiter.Leave(s.loop.now())
		s.flush()
	}
}

// flush queues the messages that are due for sending, and applies outlier reports.
func (s *limitSharing) flush() {
	s.flushAt = 0
	for _, o := range s.limiter.Flush(s.loop.now()) {
		select {
		case s.outgoing <- o:
		default:
			s.unsentMessages.Inc()
		}
	}
	s.applyOutlierReports()
	counts := s.limiter.Stats()
	s.counts.Store(&counts)
	s.scheduleFlush()
}

// scheduleFlush schedules a flush for the time at which the next message is due.
func (s *limitSharing) scheduleFlush() {
	when, ok := s.limiter.NextFlush()
	if !ok || (s.flushAt != 0 && s.flushAt <= when) {
		return
	}
	s.flushAt = when
	wait := max(0, when-s.loop.now())
	if s.flushTimer != nil {
		s.flushTimer.Stop()
	}
	s.flushTimer = time.AfterFunc(wait, func() {
		s.loop.post(func() {
			if s.flushAt == when {
				s.flush()
			}
		})
	})
}

// receive queues a message of another node for the loop. It does not retain raw.
func (s *limitSharing) receive(raw []byte) {
	message, err := ratelimit.Decode(raw, s.settings.FleetSize)
	if err != nil {
		s.corruptMessages.Inc()
		slog.Debug("shared limits: message dropped", "bytes", len(raw), "error", err)
		return
	}
	if s.queuedMessages.Add(1) > maxQueuedMessages {
		s.queuedMessages.Add(-1)
		s.droppedMessages.Inc()
		return
	}
	s.loop.post(func() {
		s.queuedMessages.Add(-1)
		if s.limiter != nil {
			now := s.loop.now()
			s.limiter.Receive(now, message)
			if when, ok := s.limiter.NextFlush(); ok && when <= now { // most replies are due at once
				s.flush()
				return
			}
			s.applyOutlierReports()
			s.scheduleFlush()
		}
	})
}

// membershipChanged queues an update of the live members, unless one is queued.
func (s *limitSharing) membershipChanged() {
	if s.peers.Load() != nil && !s.membersUpdateQueued.Swap(true) {
		s.loop.post(s.updateMembers)
	}
}

// sendMessages sends queued messages until outgoing is closed.
func (s *limitSharing) sendMessages() {
	for o := range s.outgoing {
		raw, err := o.Message.Encode()
		if err == nil {
			err = s.peers.Load().Send(o.To, raw)
		}
		if err != nil {
			s.unsentMessages.Inc()
			slog.Debug("shared limits: sending a message failed", "to", o.To, "error", err)
		}
	}
}

// stopSender waits until the loop has ended, and then until all queued messages have been sent.
func (s *limitSharing) stopSender() {
	<-s.loop.ended
	close(s.outgoing)
	s.sender.Wait()
}
