// Package virtual plays the tries of a drawn day in virtual time against the pure parts of what
// nodes share, at sizes that no machine holds as processes. It has no servers: what is measured is
// which tries pass, against the true stores of the quotas, and what the exchange costs.
package virtual

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"martennotch/fleet/share"
	"martennotch/internal/lab/judge"
	"martennotch/internal/lab/ledger"
	"martennotch/internal/lab/scenario"
)

// Way is how nodes share a customer's quota.
type Way string

// The ways that are compared.
const (
	Alone   Way = "alone"   // each node holds its even part of each store; nothing is told
	Lease   Way = "lease"   // the owner gives out units for a while
	Notices Way = "notices" // the owner is told of each use and tells while a store is low
)

const (
	batch       = 50 * time.Millisecond  // for which a node gathers what it tells one other
	answerAfter = 150 * time.Millisecond // after which the true units are known
	header      = 28 + 20                // bytes of a datagram's and a message's head
	useBytes    = 8 + 4
	noticeBytes = 8 + 4
	leaseBytes  = 8 + 4 + 4
	roomPart    = 0.5
	leaseAhead  = 2.0 // s of its use that a node asks a lease for
	leasePart   = 0.25
)

type event struct {
	at time.Duration
	n  int // in order of making, so that a play is the same each time
	do func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// play is one play in progress.
type play struct {
	d       *scenario.Day
	way     Way
	loss    float64
	rng     *rand.Rand
	now     time.Duration
	events  queue
	made    int
	truth   *ledger.Ledger
	nodes   []node
	owners  []int // by customer
	stores  []*share.Store
	age     *hdrhistogram.Histogram
	tries   float64
	refused float64
	room    float64
	units   float64
	over    float64
	sent    float64 // messages
	bytes   float64
}

// node is one node's part: what it knows by customer and what it has not told yet.
type node struct {
	views   map[int]*view
	uses    map[int]float64              // units by customer
	notices map[int]map[int]share.Notice // by the node to be told, then customer
	waiting bool
}

type view struct {
	share.View
	even  *share.Store  // of its even part, alone
	lease float64       // units left
	until time.Duration // of the lease
	asked float64       // of late, a second
	at    time.Duration
	asks  bool
}

// Run plays a day's first tries in one way; loss is the part of the messages that is lost.
func Run(d *scenario.Day, way Way, loss float64) judge.Figures {
	p := &play{d: d, way: way, loss: loss, rng: rand.New(rand.NewPCG(d.Seed, 5)), nodes: make([]node, len(d.Nodes)),
		age: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	for i := range p.nodes {
		p.nodes[i] = node{map[int]*view{}, map[int]float64{}, map[int]map[int]share.Notice{}, false}
	}
	var members []share.Member
	for _, n := range d.Nodes {
		members = append(members, share.MemberOf(n.Name))
	}
	var quotas []ledger.Quota
	for _, c := range d.Customers {
		q := share.Quota{Rate: d.Plans[c.Plan].Rate, Depth: d.Plans[c.Plan].Depth}
		quotas = append(quotas, ledger.Quota(q))
		p.owners = append(p.owners, share.Owner(c.ID, members, func(i int) bool {
			return (i-c.First+len(members))%len(members) < c.Spread
		}))
		p.stores = append(p.stores, share.NewStore(q, q.Depth, 0))
	}
	p.truth = ledger.New(quotas, 0, 0)
	for i := range d.Arrivals {
		p.after(d.Arrivals[i].At, func() { p.arrive(&d.Arrivals[i]) })
	}
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	return p.figures()
}

func (p *play) after(wait time.Duration, do func()) {
	p.made++
	heap.Push(&p.events, event{p.now + wait, p.made, do})
}

func (p *play) arrive(a *scenario.Arrival) {
	n := p.d.Pick(a.Customer, a.At, rand.New(rand.NewPCG(a.Seed, 0)).Float64(), func(int) bool { return true })
	v := p.view(n, a.Customer)
	passes := p.admits(v, n, a)
	p.tries++
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
	p.tell(n, a.Customer, units)
	p.after(answerAfter, func() {
		if inside {
			p.truth.Settle(a.Customer, units, float64(a.True), p.now)
		}
		p.tell(n, a.Customer, float64(a.True)-units)
	})
}

func (p *play) view(n, customer int) *view {
	v := p.nodes[n].views[customer]
	if v == nil {
		c := &p.d.Customers[customer]
		part := 1 / float64(c.Spread)
		even := share.Quota{Rate: p.quota(customer).Rate * part, Depth: p.quota(customer).Depth * part}
		v = &view{even: share.NewStore(even, even.Depth, 0)}
		p.nodes[n].views[customer] = v
	}
	return v
}

func (p *play) quota(customer int) share.Quota {
	q := p.d.Plans[p.d.Customers[customer].Plan]
	return share.Quota{Rate: q.Rate, Depth: q.Depth}
}

func (p *play) admits(v *view, n int, a *scenario.Arrival) bool {
	units := float64(a.Units)
	switch p.way {
	case Notices:
		if v.Fresh(p.now) {
			p.age.RecordValue(max(1, int64((p.now-v.Heard())/time.Microsecond)))
		}
		return v.Admit(p.quota(a.Customer), units, p.now)
	case Lease:
		return p.leased(v, n, a)
	}
	// Half of a request's units is enough, as on the ordinary path.
	if v.even.Level(p.now) < units/2 {
		return false
	}
	v.even.Take(units, p.now)
	return true
}

// leased decides by the lease, and lets pass where there is none. A lease is asked for beside the
// try, never before it.
func (p *play) leased(v *view, n int, a *scenario.Arrival) bool {
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
		p.ask(n, a.Customer, v, math.Max(units, leaseAhead*v.asked), back)
	}
	switch {
	case !held:
		return true
	case v.lease >= units:
		v.lease -= units
		return true
	}
	return false
}

// ask is the exchange of a lease: units back, units out, deducted when they are given.
func (p *play) ask(n, customer int, v *view, want, back float64) {
	asked := p.now
	p.message(leaseBytes)
	p.after(p.wire(), func() {
		s := p.stores[customer]
		s.Take(-back, p.now)
		give := math.Max(0, math.Min(want, leasePart*s.Level(p.now)))
		s.Take(give, p.now)
		p.message(leaseBytes)
		p.after(p.wire(), func() {
			v.asks, v.lease, v.until = false, give, asked+share.Life
			p.after(share.Life, func() { // what is left goes back
				if p.now > v.until && v.lease > 0 {
					left := v.lease
					v.lease = 0
					p.message(leaseBytes)
					p.after(p.wire(), func() { s.Take(-left, p.now) })
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

// tell gathers a use, so that one message carries what a while brings for one owner.
func (p *play) tell(n, customer int, units float64) {
	if p.way != Notices || units == 0 {
		return
	}
	p.nodes[n].uses[customer] += units
	p.flushSoon(n)
}

func (p *play) flushSoon(n int) {
	if x := &p.nodes[n]; !x.waiting {
		x.waiting = true
		p.after(batch, func() { p.flush(n) })
	}
}

// flush sends what a node has gathered, one message to each other node.
func (p *play) flush(n int) {
	x := &p.nodes[n]
	x.waiting = false
	out := map[int][]share.Use{}
	for _, c := range slices.Sorted(maps.Keys(x.uses)) { // in an order that each play has
		u := x.uses[c]
		out[p.owners[c]] = append(out[p.owners[c]], share.Use{Customer: uint64(c), Units: u})
	}
	clear(x.uses)
	for _, owner := range slices.Sorted(maps.Keys(out)) {
		uses := out[owner]
		if owner == n {
			p.took(n, uses)
			continue
		}
		p.message(float64(useBytes * len(uses)))
		if p.rng.Float64() >= p.loss {
			p.after(p.wire(), func() { p.took(owner, uses) })
		}
	}
	sent := p.now
	for _, to := range slices.Sorted(maps.Keys(x.notices)) {
		notices := x.notices[to]
		p.message(float64(noticeBytes * len(notices)))
		if p.rng.Float64() >= p.loss {
			p.after(p.wire(), func() {
				for c, notice := range notices {
					p.view(to, c).Hear(notice, sent)
				}
			})
		}
	}
	clear(x.notices)
}

// took counts uses at their owner and gathers the notices that are due, for the whole set.
func (p *play) took(owner int, uses []share.Use) {
	for _, u := range uses {
		p.stores[u.Customer].Take(u.Units, p.now)
		p.due(owner, int(u.Customer))
	}
}

// due tells the set of a customer where that is due, and looks again before it ends.
func (p *play) due(owner, customer int) {
	notice, due := p.stores[customer].Due(uint64(customer), p.now)
	if !due {
		return
	}
	p.after(share.Renew, func() {
		if p.now < p.d.Length {
			p.due(owner, customer)
		}
	})
	c := &p.d.Customers[customer]
	for i := range c.Spread {
		to := (c.First + i) % len(p.nodes)
		if to == owner {
			p.view(to, customer).Hear(notice, p.now)
			continue
		}
		x := &p.nodes[owner]
		if x.notices[to] == nil {
			x.notices[to] = map[int]share.Notice{}
		}
		x.notices[to][customer] = notice
	}
	p.flushSoon(owner)
}

func (p *play) figures() judge.Figures {
	s, n := p.d.Length.Seconds(), float64(len(p.nodes))
	return judge.Figures{
		{Name: "over_units", Value: p.over / math.Max(1, p.units), Unit: "of units sent on"},
		{Name: "refused", Value: p.refused / math.Max(1, p.tries), Unit: "of tries"},
		{Name: "refused_with_room", Value: p.room / math.Max(1, p.tries), Unit: "of tries"},
		{Name: "tries", Value: p.tries / n / s, Unit: "a second and node"},
		{Name: "messages", Value: p.sent / n / s, Unit: "sent a second and node"},
		{Name: "bytes", Value: p.bytes / n / s, Unit: "sent a second and node"},
		{Name: "age_p99", Value: float64(p.age.ValueAtQuantile(99)) / 1000, Unit: "ms"},
	}
}

// Ways lists the ways by name.
func Ways(names []string) ([]Way, error) {
	var ways []Way
	for _, n := range names {
		switch w := Way(n); w {
		case Alone, Lease, Notices:
			ways = append(ways, w)
		default:
			return nil, fmt.Errorf("way %q is none of alone, lease and notices", n)
		}
	}
	return ways, nil
}
