package maintenance

import "fmt"

// usage counts the unavailable machines for each bound.
type usage struct {
	zones  map[zoneKind]*zoneUsage
	ring   []int // unavailable edge nodes, by node index
	groups []int // unavailable machines, by anti-affinity group
	voters int   // unavailable voters
}

// zoneKind identifies the machines of one kind in one zone.
type zoneKind struct {
	zone string
	kind Kind
}

// zoneUsage is the usage of one kind of machine in one zone.
type zoneUsage struct {
	machines, unavailable         int
	capacity, unavailableCapacity uint64 // requests per second of all machines, and of the unavailable ones
}

func newUsage(ringSize, groupCount int) usage {
	return usage{zones: map[zoneKind]*zoneUsage{}, ring: make([]int, ringSize), groups: make([]int, groupCount)}
}

// clone returns an independent copy, which a forecast can change.
func (u *usage) clone() usage {
	c := newUsage(len(u.ring), len(u.groups))
	copy(c.ring, u.ring)
	copy(c.groups, u.groups)
	c.voters = u.voters
	for key, zone := range u.zones {
		copied := *zone
		c.zones[key] = &copied
	}
	return c
}

// addMachine adds an available machine to the fleet (delta 1) or removes it (delta -1).
func (u *usage) addMachine(m *machine, delta int) {
	key := zoneKind{m.Zone, m.Kind}
	zone := u.zones[key]
	if zone == nil {
		zone = &zoneUsage{}
		u.zones[key] = zone
	}
	zone.machines += delta
	zone.capacity += uint64(delta) * uint64(m.Capacity)
	if zone.machines == 0 {
		delete(u.zones, key)
	}
}

// addUnavailable counts a machine as unavailable (delta 1) or as available again (delta -1).
func (u *usage) addUnavailable(m *machine, groups []int, delta int) {
	zone := u.zones[zoneKind{m.Zone, m.Kind}]
	zone.unavailable += delta
	zone.unavailableCapacity += uint64(delta) * uint64(m.Capacity)
	if m.Kind == Node && m.Index < len(u.ring) {
		u.ring[m.Index] += delta
	}
	for _, group := range groups {
		u.groups[group] += delta
	}
	if m.Voter {
		u.voters += delta
	}
}

// Bound is the bound that keeps a machine in service.
type Bound uint8

// Bounds that can keep a machine in service.
const (
	BoundNone         Bound = iota
	BoundPhase              // the machine is not warm, or not part of the fleet
	BoundZone               // too many machines of its zone would be unavailable
	BoundZoneState          // its zone is not healthy
	BoundCustomerSet        // too many edge nodes of a customer's set would be unavailable
	BoundCapacity           // too little capacity would remain after the loss of the largest zone
	BoundAntiAffinity       // too many hosts of an anti-affinity group would be unavailable
	BoundVoters             // another voter is unavailable
	BoundUplink             // an uplink window of its zone is too close
)

func (b Bound) String() string {
	return enumName(b, "none", "phase", "zone", "zone's state", "customer's set", "warm capacity", "apart",
		"voters", "uplink")
}

// violation is a bound that taking a machine out of service would violate, with its figures.
type violation struct {
	bound            Bound
	unavailable, max uint64 // unavailable count or capacity with the machine itself, and its permitted maximum
	subject          int    // size of the customer's set, or index of the anti-affinity group
}

// firstViolation returns the first bound that would be violated with the machine unavailable, or
// the zero value if none is. counted means that u already counts the machine as unavailable, as it
// does for the holder of a lease. duration is the expected time out of service from wall on.
func (s *State) firstViolation(u *usage, m *machine, counted bool, duration Duration, wall Timestamp) violation {
	bounds, added := &s.plan.plan.Bounds, 1
	if counted {
		added = 0
	} else if m.Phase != PhaseWarm {
		return violation{bound: BoundPhase}
	}
	if s.zones[m.Zone] != ZoneHealthy {
		return violation{bound: BoundZoneState}
	}
	if zone := u.zones[zoneKind{m.Zone, m.Kind}]; zone.unavailable+added >
		bounds.maxMachines(bounds.MaxZoneFraction, zone.machines) {
		return violation{BoundZone, uint64(zone.unavailable + added),
			uint64(bounds.maxMachines(bounds.MaxZoneFraction, zone.machines)), 0}
	}
	if remaining, unavailable := s.capacityAfterZoneLoss(u, m.Kind); (unavailable+uint64(added)*uint64(m.Capacity))*1000 >
		remaining*uint64(bounds.MaxCapacityFraction) {
		return violation{BoundCapacity, unavailable + uint64(added)*uint64(m.Capacity),
			remaining * uint64(bounds.MaxCapacityFraction) / 1000, 0}
	}
	if m.Voter && u.voters+added > 1 {
		return violation{BoundVoters, uint64(u.voters + added), 1, 0}
	}
	for _, group := range s.groupsOf(m.Host) {
		if limit := s.plan.groups[group].maxUnavailable; u.groups[group]+added > limit {
			return violation{BoundAntiAffinity, uint64(u.groups[group] + added), uint64(limit), group}
		}
	}
	if m.Kind == Node && m.Index < len(u.ring) {
		for _, size := range bounds.SetSizes {
			size = min(size, len(u.ring))
			if worst, limit := u.maxUnavailableInSet(m.Index, size)+added,
				bounds.maxMachines(bounds.MaxSetFraction, size); worst > limit {
				return violation{BoundCustomerSet, uint64(worst), uint64(limit), size}
			}
		}
	}
	for _, window := range s.uplinkWindows {
		if window.Zone == m.Zone && wall < window.End &&
			wall+Timestamp(duration.milliseconds()+bounds.UplinkMargin.milliseconds()) > window.Start {
			return violation{bound: BoundUplink}
		}
	}
	return violation{}
}

// maxMachines returns how many of total machines the fraction permits.
func (b *Bounds) maxMachines(f Fraction, total int) int {
	limit := f.countOf(total)
	if limit == 0 && b.AllowOne && total > 1 {
		return 1
	}
	return limit
}

// capacityAfterZoneLoss returns the capacity of the machines of a kind that remains after the loss
// of the largest zone, and the unavailable capacity in all zones, in requests per second. Closed
// zones are not counted. If all machines are in one zone, no zone is subtracted.
func (s *State) capacityAfterZoneLoss(u *usage, kind Kind) (remaining, unavailable uint64) {
	largest, zones := uint64(0), 0
	for key, zone := range u.zones {
		if key.kind != kind || s.zones[key.zone] == ZoneClosed {
			continue
		}
		zones++
		remaining, unavailable, largest = remaining+zone.capacity, unavailable+zone.unavailableCapacity,
			max(largest, zone.capacity)
	}
	if zones > 1 {
		remaining -= largest
	}
	return remaining, unavailable
}

// maxUnavailableInSet returns the highest number of unavailable edge nodes in any set of size
// consecutive nodes that contains index.
func (u *usage) maxUnavailableInSet(index, size int) (maxUnavailable int) {
	ringSize, unavailable := len(u.ring), 0
	for i := range size {
		unavailable += u.ring[(index-i+ringSize)%ringSize]
	}
	maxUnavailable = unavailable
	for i := 1; i < size; i++ { // the set moves on by one node
		unavailable += u.ring[(index+i)%ringSize] - u.ring[(index-size+i+ringSize)%ringSize]
		maxUnavailable = max(maxUnavailable, unavailable)
	}
	return maxUnavailable
}

func (d Duration) milliseconds() int64 { return int64(d) / 1e6 }

// violationError returns the violation as an error, or nil if there is none.
func (s *State) violationError(host string, v violation) error {
	if v.bound == BoundNone {
		return nil
	}
	return s.boundError(host, v)
}

// boundError describes the bound that keeps a host in service.
func (s *State) boundError(host string, v violation) *BoundError {
	err := &BoundError{Host: host, Bound: v.bound, Unavailable: v.unavailable, Max: v.max}
	if m := s.machines[host]; m != nil {
		err.Scope = fmt.Sprintf("%s of zone %s", m.Kind, m.Zone)
	}
	switch v.bound {
	case BoundAntiAffinity:
		err.Scope = s.plan.groups[v.subject].name
	case BoundCustomerSet:
		err.Scope = fmt.Sprintf("a set of %d nodes", v.subject)
	}
	return err
}
