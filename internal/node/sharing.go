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
	sendQueue   = 256 // messages that wait to be sent; one beyond is lost, and its uses are sent again
	heardMost   = 128 // messages that wait for the loop; one beyond is lost
	customersAt = 1024
)

// sharing is the node's part in keeping customers' stores for all nodes. It belongs to the loop, but
// for what receives and sends messages; neither waits for the other.
type sharing struct {
	loop  *loop
	ex    *ratelimit.Limiter // nil until the membership has begun
	set   *control.Settings
	on    config.Peers                // what is shared
	uids  map[uint32]ratelimit.Server // of the listed rating servers
	ids   map[ratelimit.Server]uint32
	peers atomic.Pointer[membership.Peers] // nil until the membership has begun
	out   chan ratelimit.Outgoing
	done  sync.WaitGroup
	timer *time.Timer
	armed time.Duration // when the timer rings; zero is not

	changing atomic.Bool  // news of members is on its way to the loop
	waiting  atomic.Int64 // messages on their way to the loop
	figures  atomic.Pointer[ratelimit.Counts]
	age      prometheus.Histogram
	spoilt, lost, lostOut,
	knownStore, unknown prometheus.Counter
}

func newSharing(set *control.Settings, on config.Peers, l *loop) *sharing {
	s := &sharing{loop: l, set: set, on: on, uids: make(map[uint32]ratelimit.Server), ids: make(map[ratelimit.Server]uint32), out: make(chan ratelimit.Outgoing, sendQueue)}
	s.figures.Store(&ratelimit.Counts{})
	s.describe()
	return s
}

// describe names the figures for the operators.
func (s *sharing) describe() {
	registry := s.loop.registry()
	s.age = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "node_share_age_seconds",
		Help: "Age of what was told of a store when a request was decided by it.", Buckets: []float64{.01, .05, .1, .2, .3, .5, .7, .9, 1}})
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	registry.MustRegister(s.age)
	s.spoilt = counter("node_share_spoilt_total", "Messages of others that could not be used.")
	s.lost = counter("node_share_dropped_total", "Messages of others dropped, as the loop had no room.")
	s.lostOut = counter("node_share_unsent_total", "Messages that could not be sent.")
	s.knownStore = counter("node_share_known_total", "Requests whose store was known.")
	s.unknown = counter("node_share_unknown_total", "Requests whose store was not known: decided as by one alone.")
	for name, of := range map[string]func(*ratelimit.Counts) int64{
		"node_share_sent_total":     func(c *ratelimit.Counts) int64 { return c.Sent },
		"node_share_heard_total":    func(c *ratelimit.Counts) int64 { return c.Received },
		"node_share_late_total":     func(c *ratelimit.Counts) int64 { return c.Late },
		"node_share_ageless_total":  func(c *ratelimit.Counts) int64 { return c.UnknownAge },
		"node_share_strange_total":  func(c *ratelimit.Counts) int64 { return c.UnknownSender },
		"node_share_resent_total":   func(c *ratelimit.Counts) int64 { return c.Resent },
		"node_share_repeated_total": func(c *ratelimit.Counts) int64 { return c.Duplicates },
		"node_share_untold_total":   func(c *ratelimit.Counts) int64 { return c.Unowned },
		"node_share_charges_total":  func(c *ratelimit.Counts) int64 { return c.SlowReports },
		"node_share_verdicts_total": func(c *ratelimit.Counts) int64 { return c.Outliers },
		"node_share_handed_total":   func(c *ratelimit.Counts) int64 { return c.TransferredOut },
		"node_share_taken_total":    func(c *ratelimit.Counts) int64 { return c.TransferredIn },
	} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: "See docs/oncall.md."},
			func() float64 { return float64(of(s.figures.Load())) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "node_share_stores", Help: "Customers' stores kept here for all nodes."},
		func() float64 { return float64(s.figures.Load().Buckets) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "node_share_low", Help: "Those of them that are low."},
		func() float64 { return float64(s.figures.Load().LowBuckets) }))
}

// start begins to take part, once the membership has begun.
func (s *sharing) start(p *membership.Peers) {
	quotas := make(map[uint32]ratelimit.Quota)
	for _, plan := range s.set.Plans {
		quotas[planKey(plan.Name)] = ratelimit.Quota{Rate: plan.Rate, Burst: plan.Burst}
	}
	customers := s.set.MaxTenants
	if customers <= 0 {
		customers = customersAt
	}
	s.peers.Store(p)
	s.done.Go(s.carry)
	s.loop.post(func() { // it waits for a loop that has not begun
		s.ex = ratelimit.NewLimiter(ratelimit.Config{Node: s.set.NodeIndex, FleetSize: s.set.FleetSize, Incarnation: p.Incarnation(),
			Quotas: quotas, MaxTenants: customers}, s.loop.now())
		s.members()
	})
}

func planKey(plan string) uint32 { return uint32(xxhash.Sum64String(plan)) }

func customerKey(r *control.Request) uint64 {
	return xxhash.Sum64String(r.Plan + " " + r.Tenant)
}

// ---- the loop's ----

// known gives what is known of the store that a request is held against; nil is nothing.
func (s *sharing) known(r *control.Request) *control.SharedBucket {
	if s.ex == nil || !s.on.SharedLimits {
		return nil
	}
	k, ok := s.ex.Level(s.loop.now(), customerKey(r), planKey(r.Plan), ratelimit.NodeRange{First: r.FirstNode, Count: r.TenantNodes})
	if !ok {
		s.unknown.Inc()
		return nil
	}
	s.knownStore.Inc()
	s.age.Observe(k.Age.Seconds())
	return &control.SharedBucket{Tokens: k.Tokens, AtLeast: k.AtLeast, Age: k.Age}
}

// sent tells of units sent on; see ratelimit.Exchange.
func (s *sharing) sent(r *control.Request, units float64, correction bool) {
	if s.ex == nil || !s.on.SharedLimits {
		return
	}
	s.ex.Consume(s.loop.now(), customerKey(r), planKey(r.Plan), ratelimit.NodeRange{First: r.FirstNode, Count: r.TenantNodes}, units, correction)
	s.arm()
}

// listed takes an entry of the list, or that one is gone.
func (s *sharing) listed(id uint32, t *discovery.Target) {
	if old, ok := s.uids[id]; ok {
		delete(s.ids, old)
		delete(s.uids, id)
	}
	if t != nil {
		v := ratelimit.Server{Key: xxhash.Sum64String(t.UID), StartedAt: uint64(max(0, t.BootMS))}
		s.uids[id], s.ids[v] = v, id
	}
}

// charge speaks against a server to the other nodes.
func (s *sharing) charge(server uint32) {
	if v, ok := s.uids[server]; ok && s.ex != nil && s.on.OutlierReports {
		s.ex.ReportSlow(s.loop.now(), v)
		s.arm()
	}
}

// judge tells the module of servers against which enough nodes speak. It is not to be called while
// the loop carries out what the module answered.
func (s *sharing) judge() {
	for _, v := range s.ex.Outliers(s.loop.now(), len(s.ids)) {
		if id, ok := s.ids[v.Server]; ok {
			slog.Info("sharing: others speak against a server", "server", id, "witnesses", v.Reporters)
			s.loop.handle(control.OutlierReport{Server: id, Reporters: v.Reporters, Until: v.ReportedAt + ratelimit.SlowReportLifetime})
		}
	}
}

// members takes the live members.
func (s *sharing) members() {
	s.changing.Store(false)
	if s.ex == nil {
		return
	}
	var nodes []ratelimit.Peer
	live, _ := s.peers.Load().Live()
	for _, m := range live {
		if m.State >= membership.StateVersion {
			nodes = append(nodes, ratelimit.Peer{Index: m.Index, Incarnation: m.Incarnation})
		}
	}
	s.ex.SetLive(s.loop.now(), nodes)
	s.arm()
}

// leave gives the stores held here to others.
func (s *sharing) leave() {
	if s.ex != nil {
		s.ex.Leave(s.loop.now())
		s.flush()
	}
}

// flush sends what is due.
func (s *sharing) flush() {
	s.armed = 0
	for _, o := range s.ex.Flush(s.loop.now()) {
		select {
		case s.out <- o:
		default:
			s.lostOut.Inc()
		}
	}
	s.judge()
	counts := s.ex.Stats()
	s.figures.Store(&counts)
	s.arm()
}

// arm has flush called when something is due.
func (s *sharing) arm() {
	when, ok := s.ex.NextFlush()
	if !ok || s.armed != 0 && s.armed <= when {
		return
	}
	s.armed = when
	wait := max(0, when-s.loop.now())
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(wait, func() {
		s.loop.post(func() {
			if s.armed == when {
				s.flush()
			}
		})
	})
}

// ---- the membership's ----

// receive takes a message; the bytes are the caller's after it.
func (s *sharing) receive(raw []byte) {
	m, err := ratelimit.Decode(raw, s.set.FleetSize)
	if err != nil {
		s.spoilt.Inc()
		slog.Debug("sharing: a spoilt message", "bytes", len(raw), "err", err)
		return
	}
	if s.waiting.Add(1) > heardMost {
		s.waiting.Add(-1)
		s.lost.Inc()
		return
	}
	s.loop.post(func() {
		s.waiting.Add(-1)
		if s.ex != nil {
			now := s.loop.now()
			s.ex.Receive(now, m)
			if when, ok := s.ex.NextFlush(); ok && when <= now { // as most answers to others are
				s.flush()
				return
			}
			s.judge()
			s.arm()
		}
	})
}

// changed has the loop take the live members, once for many changes. The loop waits for nothing of
// the membership's.
func (s *sharing) changed() {
	if s.peers.Load() != nil && !s.changing.Swap(true) {
		s.loop.post(s.members)
	}
}

// carry sends messages until out is closed.
func (s *sharing) carry() {
	for o := range s.out {
		raw, err := o.Message.Encode()
		if err == nil {
			err = s.peers.Load().Send(o.To, raw)
		}
		if err != nil {
			s.lostOut.Inc()
			slog.Debug("sharing: not sent", "to", o.To, "err", err)
		}
	}
}

// end ends the sending, once the loop has ended or sends no more.
func (s *sharing) end() {
	<-s.loop.ended
	close(s.out)
	s.done.Wait()
}
