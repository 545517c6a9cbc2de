package virtual

import (
	"time"

	"sloestile/fleet/prefetch"
	"sloestile/fleet/ratelimit"
	"sloestile/internal/testbed/judge"
	"sloestile/internal/testbed/refbucket"
	"sloestile/internal/testbed/scenario"
)

// The ways through a time in which a hall has no link to the others: the first split of the scenario.
const (
	Uncut    Way = "uncut"    // it has one all the same: what there is to reach
	Cut      Way = "cut"      // its nodes decide alone, as today
	Provided Way = "provided" // its owners were lent units for the window
)

// window is the hall without a link, and what it was lent. The hall's nodes share what it was lent as
// their talk stays; here each sees it at once, which real talk does 50 to 350 ms late.
type window struct {
	span    scenario.Event
	zone    int
	gone    bool
	resting bool // the hall's nodes own nothing
	demand  *prefetch.Demand
	ledgers map[int]*prefetch.Account
	purses  map[int]*prefetch.LocalBucket
	loans   int
	lent    float64
	unspent float64
	site    counts // of tries at the hall in the window
	others  counts // elsewhere, then
	after   counts // everywhere, in the 10 s after
}

// counts are tries and units of a part of a play.
type counts struct{ tries, refused, room, units, over float64 }

const (
	lookAfter = 10 * time.Second // at the return
	accrue    = time.Second      // between two charges of lent rate to an owner's store
	handAhead = 3 * time.Second  // before units are lent: nothing told is used for 2 s after a change of owners
)

// newWindow makes the window of a day, where it has a split; nil is none.
func newWindow(d *scenario.Day) *window {
	for _, e := range d.Faults {
		if e.Kind == "split" && len(e.Targets) > 0 {
			return &window{span: e, zone: e.Targets[0], demand: prefetch.NewDemand(0, 20000, 0),
				ledgers: make(map[int]*prefetch.Account), purses: make(map[int]*prefetch.LocalBucket)}
		}
	}
	return nil
}

// at gives the counts that a try at a node is of, besides the whole play's.
func (w *window) at(now time.Duration, inside bool) *counts {
	switch end := w.span.At + w.span.For; {
	case now >= w.span.At && now < end && inside:
		return &w.site
	case now >= w.span.At && now < end:
		return &w.others
	case now >= end && now < end+lookAfter:
		return &w.after
	}
	return nil
}

func (c *counts) figures(of string) judge.Figures {
	return judge.Figures{
		{Name: of + "_over_units", Value: c.over / max(1, c.units), Unit: "of units sent on"},
		{Name: of + "_refused_with_room", Value: c.room / max(1, c.tries), Unit: "of tries"},
		{Name: of + "_refused", Value: c.refused / max(1, c.tries), Unit: "of tries"},
		{Name: of + "_tries", Value: c.tries, Unit: ""},
	}
}

// inside tells whether a node is of the hall that is without a link.
func (p *play) inside(n int) bool { return p.win != nil && p.d.Nodes[n].Zone == p.win.zone }

// parted tells whether two nodes have no link.
func (p *play) parted(a, b int) bool {
	return p.win != nil && p.win.gone && p.inside(a) != p.inside(b)
}

// plan has the window come and go.
func (p *play) plan(all []ratelimit.Peer) {
	w := p.win
	if p.way == Provided {
		p.after(w.span.At-prefetch.FetchMargin-handAhead, func() { p.handOut(all) })
		p.after(w.span.At-prefetch.FetchMargin, p.lend)
	}
	if p.way != Uncut {
		p.after(w.span.At, func() { w.gone = true; p.members(all) })
		p.after(w.span.At+w.span.For, func() { w.gone = false; p.giveBack(); p.members(all) })
	}
}

// handOut has the hall's nodes give the stores that they hold to those outside, as nodes that leave
// do: the rest of the fleet goes on with its owners, and the hall is lent units of all customers.
func (p *play) handOut(all []ratelimit.Peer) {
	for i := range p.nodes {
		if p.inside(i) {
			p.nodes[i].Leave(p.now + p.nodes[i].skew)
			p.flush(i)
		}
	}
	p.win.resting = true
	for i := range p.d.Customers {
		c := &p.d.Customers[i]
		p.owners[i], _ = ratelimit.Owner(uint64(i)+1, ratelimit.NodeRange{First: c.First, Count: c.Spread}, len(p.nodes), func(n int) bool { return !p.inside(n) })
	}
	p.members(all)
}

// members tells each node who is to be seen; a link that goes at a known time is told at once.
func (p *play) members(all []ratelimit.Peer) {
	for i := range p.nodes {
		var seen []ratelimit.Peer
		for _, o := range all {
			if o.Index != i && !p.parted(i, o.Index) && (!p.win.resting || !p.inside(o.Index)) {
				seen = append(seen, o)
			}
		}
		p.nodes[i].SetLivePeers(p.now+p.nodes[i].skew, seen)
		p.flushSoon(i)
	}
}

// lend has each customer's owner lend the hall what it is expected to ask in the window.
func (p *play) lend() {
	w := p.win
	length := w.span.For + prefetch.FetchMargin + prefetch.MaxLateStart
	for i := range p.d.Customers {
		expect, spare := w.demand.Expect(p.now, uint64(i), prefetch.FetchMargin, w.span.For)
		q, owner := p.quota(i), p.owners[i]
		if expect == 0 || owner < 0 { // all of its set is in the hall
			continue
		}
		l := prefetch.NewAccount(uint64(i), p.now)
		whole := prefetch.Bucket{Burst: q.Burst, Rate: q.Rate}
		c, now := &p.d.Customers[i], p.now+p.nodes[owner].skew
		if k, ok := p.nodes[owner].Level(now, uint64(i)+1, uint32(c.Plan), ratelimit.NodeRange{First: c.First, Count: c.Spread}); ok {
			whole.Tokens = k.Tokens
		}
		want := prefetch.SizeReservation(expect, spare, whole, w.span.For)
		loan, take, err := l.Reserve(p.now, prefetch.ID{Edge: w.zone, Incarnation: 1, Seq: uint32(i) + 1}, want, length, whole)
		if err != nil {
			continue
		}
		w.loans++
		w.lent += take
		w.ledgers[i] = l
		w.purses[i] = prefetch.Open(loan, p.now, p.now, 1e9) // marks on a disk are not played here
		p.told(owner, i, take, false)
	}
	p.accrue()
}

// accrue charges owners' stores with the rate that is lent.
func (p *play) accrue() {
	for i := range p.d.Customers {
		if l := p.win.ledgers[i]; l != nil {
			if take := l.Advance(p.now); take > 0 {
				p.told(p.owners[i], i, take, false)
			}
		}
	}
	if p.now < p.win.span.At+p.win.span.For {
		p.after(accrue, p.accrue)
	}
}

// giveBack brings what was not spent back to the owners.
func (p *play) giveBack() {
	if p.win.resting {
		p.win.resting = false
		for i := range p.nodes {
			if p.inside(i) {
				p.nodes[i].Rejoin()
			}
		}
	}
	for i := range p.d.Customers {
		l, x := p.win.ledgers[i], p.win.purses[i]
		if l == nil {
			continue
		}
		unspent := x.Close(p.now)
		p.win.unspent += unspent
		if put := l.Release(p.now, x.ID(), unspent); put > 0 {
			p.told(p.owners[i], i, -put, true)
		}
	}
}

// purse gives what the hall was lent of a customer's store, while it is for a node to use.
func (p *play) purse(n, customer int) *prefetch.LocalBucket {
	if p.win == nil || !p.win.gone || !p.inside(n) {
		return nil
	}
	return p.win.purses[customer]
}

// saw takes a try's part in the counts.
func (c *counts) saw(truth *refbucket.Ledger, customer int, now time.Duration, units float64, passes, within bool) {
	c.tries++
	switch {
	case !passes:
		c.refused++
		if truth.Room(customer, now) >= roomPart {
			c.room++
		}
	case within:
		c.units += units
	default:
		c.units += units
		c.over += units
	}
}
