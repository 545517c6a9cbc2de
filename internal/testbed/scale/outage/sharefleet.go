package outage

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"sloestile/control"
	"sloestile/fleet/ratelimit"
	"sloestile/internal/testbed/eventqueue"
	"sloestile/internal/testbed/refbucket"
)

// The tenants of the simulated shared limits. Each asks for half as much again as its limit, so that its
// owner tells the nodes of its set how little is left.
const (
	shareTenants = 40
	shareSpread  = 58  // nodes that a tenant comes through
	tenantRate   = 2.0 // units a second
	tenantBurst  = 8.0
	tenantDemand = 1.5 // times its rate
	shareHeader  = packetHeader - 1
)

// shareFleet runs the exchange of shared limits of a whole fleet in virtual time: ratelimit.Limiter at each
// node. Links and membership are simulated. All tenants have the same owner.
type shareFleet struct {
	eventqueue.Agenda
	ctx     context.Context
	size    fleetSize
	links   links
	rng     *rand.Rand
	end     time.Duration
	nodes   []shareNode
	tenants []shareTenant
	truth   *refbucket.Ledger
	meter   *meter
	counts  shareCounts
	err     error
}

// shareNode is one node, with a clock of its own.
type shareNode struct {
	*ratelimit.Limiter
	skew   time.Duration
	armed  time.Duration // its next flush; below zero is none
	dead   bool
	relays float64                   // messages of the last hop that it has sent
	alone  map[int]*ratelimit.Bucket // by tenant, where the node knows nothing of the store
}

// shareTenant is a tenant, and the nodes that it comes through.
type shareTenant struct {
	key uint64
	set ratelimit.NodeRange
}

// shareCounts are requests since a time.
type shareCounts struct {
	requests, sent, over, blind float64
}

// newShareFleet starts the nodes, and tenants that have one node as their owner.
func newShareFleet(ctx context.Context, f fleetSize, l links, end time.Duration, seed uint64) (s *shareFleet, owner int) {
	s = &shareFleet{ctx: ctx, size: f, links: l, rng: rand.New(rand.NewPCG(seed, 81)), end: end,
		nodes: make([]shareNode, f.nodes), meter: newMeter(f.nodes)}
	quota := ratelimit.Quota{Rate: tenantRate, Burst: tenantBurst}
	for i := range s.nodes {
		n := &s.nodes[i]
		n.skew, n.armed, n.alone = time.Duration(s.rng.Int64N(int64(time.Hour))), -1, map[int]*ratelimit.Bucket{}
		n.Limiter = ratelimit.NewLimiter(ratelimit.Config{Node: i, FleetSize: f.nodes, Incarnation: uint64(i) + 1,
			Quotas: map[uint32]ratelimit.Quota{0: quota}, MaxTenants: 20000}, n.skew)
	}
	owner = s.drawTenants(quota)
	for i := range s.nodes {
		s.live(i)
	}
	for t := range s.tenants {
		s.nextRequest(t)
	}
	return s, owner
}

// drawTenants draws tenants that the same node owns.
func (s *shareFleet) drawTenants(quota ratelimit.Quota) (owner int) {
	owner = s.rng.IntN(s.size.nodes)
	var quotas []refbucket.Quota
	for len(s.tenants) < shareTenants {
		first := (owner - s.rng.IntN(shareSpread) + s.size.nodes) % s.size.nodes
		t := shareTenant{key: s.rng.Uint64(), set: ratelimit.NodeRange{First: first, Count: shareSpread}}
		if of, _ := ratelimit.Owner(t.key, t.set, s.size.nodes, func(int) bool { return true }); of == owner {
			s.tenants = append(s.tenants, t)
			quotas = append(quotas, refbucket.Quota(quota))
		}
	}
	s.truth = refbucket.New(quotas, 0, 0)
	return owner
}

// run simulates until the end.
func (s *shareFleet) run() error {
	s.Run()
	return s.err
}

func (s *shareFleet) after(wait time.Duration, do func()) {
	if s.err == nil && s.ctx.Err() != nil {
		s.err = s.ctx.Err()
	}
	if s.err == nil && s.Now+wait <= s.end {
		s.After(wait, do)
	}
}

func (s *shareFleet) clock(i int) time.Duration { return s.Now + s.nodes[i].skew }

// live tells a node who is live.
func (s *shareFleet) live(i int) {
	others := make([]ratelimit.Peer, 0, len(s.nodes))
	for j := range s.nodes {
		if j != i && !s.nodes[j].dead {
			others = append(others, ratelimit.Peer{Index: j, Incarnation: uint64(j) + 1})
		}
	}
	s.nodes[i].SetLivePeers(s.clock(i), others)
	s.arm(i)
}

// kill ends a node's process; the others learn of it in detectFrom to detectMost.
func (s *shareFleet) kill(i int) {
	s.nodes[i].dead = true
	for j := range s.nodes {
		if !s.nodes[j].dead {
			s.after(detectFrom+time.Duration(s.rng.Float64()*float64(detectMost-detectFrom)), func() { s.live(j) })
		}
	}
}

// nextRequest plans a tenant's next request.
func (s *shareFleet) nextRequest(tenant int) {
	gap := time.Duration(s.rng.ExpFloat64() / (tenantRate * tenantDemand) * float64(time.Second))
	s.after(gap, func() {
		s.request(tenant)
		s.nextRequest(tenant)
	})
}

// request has a live node of a tenant's set decide on a request of one unit.
func (s *shareFleet) request(tenant int) {
	t := &s.tenants[tenant]
	i := (t.set.First + s.rng.IntN(t.set.Count)) % len(s.nodes)
	n := &s.nodes[i]
	if n.dead {
		return
	}
	s.counts.requests++
	if !s.admits(n, i, tenant) {
		return
	}
	s.counts.sent++
	if !s.truth.Take(tenant, 1, s.Now) {
		s.counts.over++
	}
	n.Consume(s.clock(i), t.key, 0, t.set, 1, false)
	s.arm(i)
}

// admits decides by what the node knows of the tenant's store, and by an even part of it where it knows
// nothing.
func (s *shareFleet) admits(n *shareNode, i, tenant int) bool {
	t := &s.tenants[tenant]
	if known, ok := n.Level(s.clock(i), t.key, 0, t.set); ok {
		return known.IsLowerBound || known.Tokens >= control.MinSharedBucketLevel(tenantBurst, 1, min(1, 4.0/shareSpread))
	}
	s.counts.blind++
	store := n.alone[tenant]
	if store == nil {
		store = ratelimit.NewBucket(ratelimit.Quota{Rate: tenantRate, Burst: tenantBurst}, tenantBurst, s.Now)
		n.alone[tenant] = store
	}
	if store.Level(s.Now) < 0.5 {
		return false
	}
	store.Consume(shareSpread, s.Now)
	return true
}

// arm has a node flush when it next has something to send.
func (s *shareFleet) arm(i int) {
	n := &s.nodes[i]
	when, ok := n.NextFlush()
	if !ok || n.dead || n.armed >= 0 && n.armed <= when {
		return
	}
	n.armed = when
	s.after(max(0, when-s.clock(i)), func() {
		if n.armed == when && !n.dead {
			n.armed = -1
			s.flush(i)
		}
	})
}

// flush carries what a node sends.
func (s *shareFleet) flush(i int) {
	n := &s.nodes[i]
	began := time.Now()
	outs := n.Flush(s.clock(i))
	raws := make([][]byte, len(outs))
	for k, o := range outs {
		raw, err := o.Message.Encode()
		if err != nil {
			s.err = err
		}
		raws[k] = raw
	}
	s.meter.spent(s.Now, ordinary, time.Since(began))
	for k, o := range outs {
		if o.Message.Hop == 3 {
			n.relays++
		}
		s.meter.message(s.Now, i, float64(shareHeader+len(raws[k])))
		if !s.links.lost(s.size, s.rng, i, o.To) {
			raw := raws[k]
			s.after(s.links.delay(s.size, s.rng, i, o.To), func() { s.receive(o.To, raw) })
		}
	}
	s.arm(i)
}

func (s *shareFleet) receive(to int, raw []byte) {
	n := &s.nodes[to]
	if n.dead {
		return
	}
	s.meter.message(s.Now, to, float64(shareHeader+len(raw)))
	m, err := ratelimit.Decode(raw, len(s.nodes))
	if err != nil {
		s.err = err
		return
	}
	n.Receive(s.clock(to), m)
	s.arm(to)
}

// blindPart returns the part of the pairs of a tenant and a live node of its set in which the node knows
// nothing of the store.
func (s *shareFleet) blindPart() float64 {
	blind, all := 0.0, 0.0
	for _, t := range s.tenants {
		for k := range t.set.Count {
			i := (t.set.First + k) % len(s.nodes)
			if s.nodes[i].dead {
				continue
			}
			all++
			if _, ok := s.nodes[i].Level(s.clock(i), t.key, 0, t.set); !ok {
				blind++
			}
		}
	}
	return blind / math.Max(1, all)
}
