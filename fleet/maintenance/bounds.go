package maintenance

import "fmt"

// yard counts what is away, by all that has a bound.
type yard struct {
	zones  map[place]*tally
	ring   []int // away, by a node's index in the group
	groups []int // away, by groups that are kept apart
	voters int   // away
}

type place struct {
	zone string
	kind Kind
}

// tally is of one kind of machine in one zone.
type tally struct {
	machines, away int
	bears, lost    uint64 // requests a second, of all and of those away
}

func newYard(group, groups int) yard {
	return yard{zones: map[place]*tally{}, ring: make([]int, group), groups: make([]int, groups)}
}

// clone is a copy to reckon ahead with.
func (y *yard) clone() yard {
	c := newYard(len(y.ring), len(y.groups))
	copy(c.ring, y.ring)
	copy(c.groups, y.groups)
	c.voters = y.voters
	for p, t := range y.zones {
		copied := *t
		c.zones[p] = &copied
	}
	return c
}

// add takes a machine into the fleet, or out of it, as one that is not away.
func (y *yard) add(m *machine, n int) {
	p := place{m.Zone, m.Kind}
	t := y.zones[p]
	if t == nil {
		t = &tally{}
		y.zones[p] = t
	}
	t.machines += n
	t.bears += uint64(n) * uint64(m.Capacity)
	if t.machines == 0 {
		delete(y.zones, p)
	}
}

// away counts a machine that has gone (1) or come back (-1).
func (y *yard) away(m *machine, groups []int, n int) {
	t := y.zones[place{m.Zone, m.Kind}]
	t.away += n
	t.lost += uint64(n) * uint64(m.Capacity)
	if m.Kind == Node && m.Index < len(y.ring) {
		y.ring[m.Index] += n
	}
	for _, g := range groups {
		y.groups[g] += n
	}
	if m.Voter {
		y.voters += n
	}
}

// Bound names what keeps a machine in.
type Bound uint8

// The bounds.
const (
	BoundNone         Bound = iota
	BoundPhase              // it is not warm, or not of the fleet
	BoundZone               // of its zone too much is away
	BoundZoneState          // its zone is not whole
	BoundCustomerSet        // of a customer's set too much is away
	BoundCapacity           // after the worst zone's loss too little would be warm
	BoundAntiAffinity       // of what is kept apart too much is away
	BoundVoters             // a voter is away
	BoundUplink             // a window is near
)

func (b Bound) String() string {
	return name(b, "none", "phase", "zone", "zone's state", "customer's set", "warm capacity", "apart", "voters", "uplink")
}

// bar is a bound that keeps a machine in, with the figures of it.
type bar struct {
	bound      Bound
	away, most uint64 // with the machine away
	part       int    // size of the set, or the group
}

// barred gives the first bound that does not hold with a machine away. Held tells that it is counted
// as away already, as one that has a turn is.
func (s *State) barred(y *yard, m *machine, held bool, need Duration, at Timestamp) bar {
	b, more := &s.plan.plan.Bounds, 1
	if held {
		more = 0
	} else if m.Phase != PhaseWarm {
		return bar{bound: BoundPhase}
	}
	if s.zones[m.Zone] != ZoneHealthy {
		return bar{bound: BoundZoneState}
	}
	if t := y.zones[place{m.Zone, m.Kind}]; t.away+more > b.least(b.MaxZoneFraction, t.machines) {
		return bar{BoundZone, uint64(t.away + more), uint64(b.least(b.MaxZoneFraction, t.machines)), 0}
	}
	if bears, lost := s.warm(y, m.Kind); (lost+uint64(more)*uint64(m.Capacity))*1000 > bears*uint64(b.MaxCapacityFraction) {
		return bar{BoundCapacity, lost + uint64(more)*uint64(m.Capacity), bears * uint64(b.MaxCapacityFraction) / 1000, 0}
	}
	if m.Voter && y.voters+more > 1 {
		return bar{BoundVoters, uint64(y.voters + more), 1, 0}
	}
	for _, g := range s.members(m.Host) {
		if most := s.plan.groups[g].most; y.groups[g]+more > most {
			return bar{BoundAntiAffinity, uint64(y.groups[g] + more), uint64(most), g}
		}
	}
	if m.Kind == Node && m.Index < len(y.ring) {
		for _, size := range b.SetSizes {
			size = min(size, len(y.ring))
			if worst, most := y.worstSet(m.Index, size)+more, b.least(b.MaxSetFraction, size); worst > most {
				return bar{BoundCustomerSet, uint64(worst), uint64(most), size}
			}
		}
	}
	for _, u := range s.uplinks {
		if u.Zone == m.Zone && at < u.End && at+Timestamp(need.millis()+b.UplinkMargin.millis()) > u.Start {
			return bar{bound: BoundUplink}
		}
	}
	return bar{}
}

// least is the machines that a part of n allows.
func (b *Bounds) least(p Fraction, n int) int {
	most := p.of(n)
	if most == 0 && b.AllowOne && n > 1 {
		return 1
	}
	return most
}

// warm is what the machines of a kind bear after the worst zone's loss, and what of all is away. A
// fleet that has them in one zone has no other to lose.
func (s *State) warm(y *yard, k Kind) (bears, lost uint64) {
	worst, zones := uint64(0), 0
	for p, t := range y.zones {
		if p.kind != k || s.zones[p.zone] == ZoneClosed {
			continue
		}
		zones++
		bears, lost, worst = bears+t.bears, lost+t.lost, max(worst, t.bears)
	}
	if zones > 1 {
		bears -= worst
	}
	return bears, lost
}

// worstSet is the most that is away in a set of a size, in nodes in a row, that has an index.
func (y *yard) worstSet(index, size int) (worst int) {
	n, in := len(y.ring), 0
	for i := range size {
		in += y.ring[(index-i+n)%n]
	}
	worst = in
	for i := 1; i < size; i++ { // the set moves on by one
		in += y.ring[(index+i)%n] - y.ring[(index-size+i+n)%n]
		worst = max(worst, in)
	}
	return worst
}

func (s Duration) millis() int64 { return int64(s) / 1e6 }

// err tells a bar as operators read it.
func (s *State) err(host string, b bar) error {
	if b.bound == BoundNone {
		return nil
	}
	return s.boundError(host, b)
}

// boundError describes the bound that keeps a host from going.
func (s *State) boundError(host string, b bar) *BoundError {
	e := &BoundError{Host: host, Bound: b.bound, Unavailable: b.away, Max: b.most}
	if m := s.fleet[host]; m != nil {
		e.Scope = fmt.Sprintf("%s of zone %s", m.Kind, m.Zone)
	}
	switch b.bound {
	case BoundAntiAffinity:
		e.Scope = s.plan.groups[b.part].name
	case BoundCustomerSet:
		e.Scope = fmt.Sprintf("a set of %d nodes", b.part)
	}
	return e
}
