// Package virtual plays the tries of a drawn day in virtual time against the pure parts of what
// nodes share, at sizes that no machine holds as processes. It has no servers: what is measured is
// which tries pass, against the true stores of the quotas, and what the exchange costs; and when rule
// sets that were agreed on are in force.
package virtual

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloestile/control"
	"sloestile/fleet/ratelimit"
	"sloestile/fleet/rules"
	"sloestile/internal/testbed/eventqueue"
	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/refbucket"
	"sloestile/internal/testbed/scenario"
)

// Way is how nodes share a customer's quota.
type Way string

// The ways that are compared.
const (
	Alone   Way = "alone"   // each node takes the others to send as much as itself; nothing is told
	Lease   Way = "lease"   // the owner gives out units for a while
	Notices Way = "notices" // the owner is told of each use and tells while a store is low
)

const (
	answerAfter = 150 * time.Millisecond // after which the true units are known
	header      = 28 + 1                 // bytes of a datagram's head, and of the membership's
	leaseBytes  = 8 + 4 + 4
	roomPart    = 0.5
	leaseAhead  = 2.0 // s of its use that a node asks a lease for
	leasePart   = 0.25
)

// play is one play in progress.
type play struct {
	d       *scenario.Day
	way     Way
	loss    float64
	rng     *rand.Rand
	now     time.Duration
	agenda  eventqueue.Agenda
	truth   *refbucket.Ledger
	nodes   []node
	owners  []int // by customer
	stores  []*ratelimit.Bucket
	age     *hdrhistogram.Histogram
	tries   float64
	refused float64
	room    float64
	blind   float64 // tries of which the node knew nothing
	units   float64
	over    float64
	win     *window // nil is that all links stay
	sent    float64 // messages
	bytes   float64
}

// node is one node's part, with a clock of its own.
type node struct {
	*ratelimit.Limiter
	views   map[int]*view // alone and by leases
	skew    time.Duration
	waiting bool
	at      time.Duration // of the next flush
}

type view struct {
	even   *ratelimit.Bucket // as it is reckoned alone
	spread float64
	lease  float64       // units left
	until  time.Duration // of the lease
	asked  float64       // of late, a second
	at     time.Duration
	asks   bool
}

// Run plays a day's first tries in one way; loss is the part of the messages that is lost.
func Run(d *scenario.Day, way Way, loss float64) judge.Figures {
	switch way {
	case RulesOverlap:
		return RunRules(d, rules.Overlap, loss)
	case RulesExclusive:
		return RunRules(d, rules.Exclusive, loss)
	}
	p := &play{d: d, way: way, loss: loss, rng: rand.New(rand.NewPCG(d.Seed, 5)), nodes: make([]node, len(d.Nodes)),
		age: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	quotas, held := map[uint32]ratelimit.Quota{}, []refbucket.Quota{}
	for i, plan := range d.Plans {
		quotas[uint32(i)] = ratelimit.Quota{Rate: plan.Rate, Burst: plan.Depth}
	}
	var all []ratelimit.Peer
	for i := range d.Nodes {
		all = append(all, ratelimit.Peer{Index: i, Incarnation: uint64(i) + 1})
	}
	for i := range p.nodes {
		x := &p.nodes[i]
		x.views, x.skew = map[int]*view{}, time.Duration(p.rng.Int64N(int64(time.Hour)))
		if !p.shares() {
			continue
		}
		x.Limiter = ratelimit.NewLimiter(ratelimit.Config{Node: i, FleetSize: len(d.Nodes), Incarnation: uint64(i) + 1, Quotas: quotas, MaxTenants: 20000}, x.skew)
		x.SetLivePeers(x.skew, slices.Concat(all[:i], all[i+1:]))
	}
	for i, c := range d.Customers {
		q := quotas[uint32(c.Plan)]
		held = append(held, refbucket.Quota(q))
		owner, _ := ratelimit.Owner(uint64(i)+1, ratelimit.NodeRange{First: c.First, Count: c.Spread}, len(d.Nodes), func(int) bool { return true })
		p.owners = append(p.owners, owner)
		p.stores = append(p.stores, ratelimit.NewBucket(q, q.Burst, 0))
	}
	p.truth = refbucket.New(held, 0, 0)
	if way == Uncut || way == Cut || way == Provided {
		if p.win = newWindow(d); p.win != nil {
			p.plan(all)
		}
	}
	for i := range d.Arrivals {
		p.after(d.Arrivals[i].At, func() { p.arrive(&d.Arrivals[i]) })
	}
	p.agenda.Run()
	return p.figures()
}

func (p *play) after(wait time.Duration, do func()) {
	p.agenda.After(wait, func() {
		p.now = p.agenda.Now
		do()
	})
}

func (p *play) arrive(a *scenario.Arrival) {
	n := p.d.Pick(a.Customer, a.At, rand.New(rand.NewPCG(a.Seed, 0)).Float64(), func(int) bool { return true })
	v := p.view(n, a.Customer)
	passes := p.admits(v, n, a)
	p.tries++
	var part *counts
	if p.win != nil {
		if p.inside(n) {
			p.win.demand.Observe(p.now, uint64(a.Customer), float64(a.Units))
		}
		if part = p.win.at(p.now, p.inside(n)); part != nil && !passes {
			part.saw(p.truth, a.Customer, p.now, float64(a.Units), false, false)
		}
	}
	if !passes {
		p.refused++
		if p.truth.Room(a.Customer, p.now) >= roomPart {
			p.room++
		}
		return
	}
	units := float64(a.Units)
	p.units += units
	inside := p.truth.Take(a.Customer, units, p.now)
	if !inside {
		p.over += units
	}
	if part != nil {
		part.saw(p.truth, a.Customer, p.now, units, true, inside)
	}
	lent := p.purse(n, a.Customer)
	if lent == nil {
		p.told(n, a.Customer, units, false)
	}
	p.after(answerAfter, func() {
		if lent != nil {
			lent.Settle(p.now, float64(a.True)-units)
		}
		if inside {
			p.truth.Settle(a.Customer, units, float64(a.True), p.now)
		}
		if lent == nil {
			p.told(n, a.Customer, float64(a.True)-units, true)
		}
	})
}

func (p *play) view(n, customer int) *view {
	v := p.nodes[n].views[customer]
	if v == nil {
		c := &p.d.Customers[customer]
		v = &view{even: ratelimit.NewBucket(p.quota(customer), p.quota(customer).Burst, 0), spread: float64(c.Spread)}
		p.nodes[n].views[customer] = v
	}
	return v
}

func (p *play) quota(customer int) ratelimit.Quota {
	q := p.d.Plans[p.d.Customers[customer].Plan]
	return ratelimit.Quota{Rate: q.Rate, Burst: q.Depth}
}

func (p *play) admits(v *view, n int, a *scenario.Arrival) bool {
	units := float64(a.Units)
	switch p.way {
	case Notices, Uncut, Cut, Provided:
		return p.shared(v, n, a)
	case Lease:
		return p.leased(v, a)
	}
	return p.alone(v, units)
}

// shared decides by what the node knows of the store, and alone where it knows nothing.
func (p *play) shared(v *view, n int, a *scenario.Arrival) bool {
	c, x := &p.d.Customers[a.Customer], &p.nodes[n]
	k, ok := x.Level(p.now+x.skew, uint64(a.Customer)+1, uint32(c.Plan), ratelimit.NodeRange{First: c.First, Count: c.Spread})
	q := p.quota(a.Customer)
	if lent := p.purse(n, a.Customer); lent != nil {
		return lent.Spend(p.now, float64(a.Units))
	}
	if !ok {
		p.blind++
		return p.alone(v, float64(a.Units))
	}
	_ = p.age.RecordValue(max(1, int64(k.Age/time.Microsecond)))
	return k.IsLowerBound || k.Tokens >= control.MinSharedBucketLevel(q.Burst, float64(a.Units), math.Min(1, 4/float64(c.Spread)))
}

// alone decides by the even part of the store that this node holds.
func (p *play) alone(v *view, units float64) bool {
	// The ordinary rule for a customer of which no meter has told: the others are taken to send as
	// much, and half of a request's units is enough.
	if v.even.Level(p.now) < units/2 {
		return false
	}
	v.even.Consume(units*v.spread, p.now)
	return true
}

// leased decides by the lease, and alone where there is none. A lease is asked for beside the try,
// never before it.
func (p *play) leased(v *view, a *scenario.Arrival) bool {
	units, held := float64(a.Units), p.now <= v.until
	v.asked = v.asked*math.Exp(-(p.now-v.at).Seconds()) + units
	v.at = p.now
	if (!held || v.lease < units) && !v.asks {
		v.asks = true
		back := 0.0
		if held {
			back = v.lease
		}
		v.lease = 0
		p.ask(a.Customer, v, math.Max(units, leaseAhead*v.asked), back)
	}
	switch {
	case !held:
		p.blind++
		return p.alone(v, units)
	case v.lease >= units:
		v.lease -= units
		return true
	}
	return false
}

// ask is the exchange of a lease: units back, units out, deducted when they are given.
func (p *play) ask(customer int, v *view, want, back float64) {
	asked := p.now
	p.message(leaseBytes)
	p.after(p.wire(), func() {
		s := p.stores[customer]
		s.Consume(-back, p.now)
		give := math.Max(0, math.Min(want, leasePart*s.Level(p.now)))
		s.Consume(give, p.now)
		p.message(leaseBytes)
		p.after(p.wire(), func() {
			v.asks, v.lease, v.until = false, give, asked+ratelimit.ReportLifetime
			p.after(ratelimit.ReportLifetime, func() { // what is left goes back
				if p.now > v.until && v.lease > 0 {
					left := v.lease
					v.lease = 0
					p.message(leaseBytes)
					p.after(p.wire(), func() { s.Consume(-left, p.now) })
				}
			})
		})
	})
}

func (p *play) wire() time.Duration { return p.d.Link.Cross }

func (p *play) message(bytes float64) {
	p.sent++
	p.bytes += header + bytes
}

// told lets a node's part of the exchange know of units that it has sent on.
func (p *play) told(n, customer int, units float64, correction bool) {
	if !p.shares() {
		return
	}
	c := &p.d.Customers[customer]
	p.nodes[n].Consume(p.now+p.nodes[n].skew, uint64(customer)+1, uint32(c.Plan), ratelimit.NodeRange{First: c.First, Count: c.Spread}, units, correction)
	p.flushSoon(n)
}

// flushSoon has a node send when it next has something to.
func (p *play) flushSoon(n int) {
	x := &p.nodes[n]
	when, ok := x.NextFlush()
	if !ok || x.waiting && x.at <= when {
		return
	}
	x.waiting, x.at = true, when
	p.after(max(0, when-x.skew-p.now), func() {
		if x.waiting && x.at == when {
			x.waiting = false
			p.flush(n)
		}
	})
}

// flush carries what a node sends, over links that lose some of it.
func (p *play) flush(n int) {
	if p.now >= p.d.Length {
		return
	}
	for _, o := range p.nodes[n].Flush(p.now + p.nodes[n].skew) {
		raw, err := o.Message.Encode()
		if err != nil {
			panic(err) // the message is the exchange's own
		}
		p.sent++
		p.bytes += header + float64(len(raw))
		if p.rng.Float64() < p.loss || p.parted(n, o.To) {
			continue
		}
		p.after(p.wire(), func() {
			m, err := ratelimit.Decode(raw, len(p.nodes))
			if err != nil {
				panic(err)
			}
			p.nodes[o.To].Receive(p.now+p.nodes[o.To].skew, m)
			p.flushSoon(o.To)
		})
	}
	p.flushSoon(n)
}
