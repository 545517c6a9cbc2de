package subset

import (
	"math"
	"math/bits"
	"slices"
)

// zoneReachFactor is the distance within which zone minimums are filled, in lengths of the window. It bounds
// the number of nodes that use a server of a small zone: without it all of 5,800 nodes with a minimum of two
// would use the few servers of such a zone.
const zoneReachFactor = 2

// Change is the change of the chosen servers that a change of the list causes.
type Change struct {
	Updated []Server // servers that entered the chosen set or changed in it, in ring order
	Removed []string // IDs of servers that left the chosen set, listed or not, in ring order
}

// choose chooses the servers again and returns the difference from the previous choice.
func (s *Set) choose() Change {
	s.keepDraining()
	before := s.chosen
	s.chosen = s.pick()
	return s.difference(before, s.chosen)
}

// pick returns the chosen servers in ring order.
func (s *Set) pick() []*entry {
	if s.Whole() {
		return s.chooseAll()
	}
	return s.chooseSome()
}

// chooseAll returns the whole list in ring order.
func (s *Set) chooseAll() []*entry {
	all := make([]*entry, 0, s.Len())
	collect := func(e *entry) bool {
		all = append(all, e)
		return true
	}
	s.index.available.Ascend(collect)
	s.chosenAvailable = len(all)
	s.index.draining.Ascend(collect)
	s.visited += len(all)
	slices.SortFunc(all, s.compare)
	return all
}

// chooseSome returns the window, the servers added for zone minimums, and the draining servers, in ring order.
func (s *Set) chooseSome() []*entry {
	chosen := s.window()
	s.windowEnd = nil
	if len(chosen) == s.config.MaxServers {
		s.windowEnd = chosen[len(chosen)-1]
	}
	chosen = s.addZoneMinimums(chosen)
	s.chosenAvailable = len(chosen)
	chosen = append(chosen, s.draining...)
	slices.SortFunc(chosen, s.compare)
	return chosen
}

// window returns the first available servers clockwise from the node's position, at most MaxServers.
func (s *Set) window() []*entry {
	window := make([]*entry, 0, s.config.MaxServers)
	clockwise(s.index.available, s.start, func(e *entry) bool {
		window = append(window, e)
		return len(window) < s.config.MaxServers
	})
	s.visited += len(window)
	return window
}

// addZoneMinimums appends for each zone those of its first MinPerZone servers that lie beyond the window and
// within maxZoneDistance. It records the last of these in zoneEnds, by which affects recognizes later changes.
func (s *Set) addZoneMinimums(chosen []*entry) []*entry {
	s.maxZoneDistance = s.zoneDistanceLimit()
	s.zoneEnds = make(map[string]*entry, len(s.index.zones))
	if s.config.MinPerZone <= 0 || s.windowEnd == nil {
		return chosen
	}
	for name, z := range s.index.zones {
		found := 0
		clockwise(z.available, s.start, func(e *entry) bool {
			if e.position-s.start > s.maxZoneDistance {
				return false
			}
			found++
			if s.compare(e, s.windowEnd) > 0 {
				chosen = append(chosen, e)
			}
			if found == s.config.MinPerZone {
				s.zoneEnds[name] = e
			}
			return found < s.config.MinPerZone
		})
		s.visited += found
	}
	return chosen
}

// zoneDistanceLimit returns the distance from the node's position within which zone minimums are filled.
func (s *Set) zoneDistanceLimit() uint64 {
	if s.windowEnd == nil {
		return math.MaxUint64
	}
	high, low := bits.Mul64(s.windowEnd.position-s.start, zoneReachFactor)
	if high > 0 {
		return math.MaxUint64
	}
	return low
}

// keepDraining updates the draining servers that stay in the set because they were chosen: first those that
// still drain, then those that have begun to. Beyond the maximum, those draining longest leave.
func (s *Set) keepDraining() {
	kept := make([]*entry, 0, len(s.draining))
	known := make(map[string]bool, len(s.draining))
	keep := func(e *entry) {
		now, drains := s.index.draining.Get(e)
		if drains && !known[e.id()] {
			known[e.id()] = true
			kept = append(kept, now)
		}
	}
	for _, e := range s.draining {
		keep(e)
	}
	for _, e := range s.chosen {
		keep(e)
	}
	s.draining = kept[max(0, len(kept)-s.config.MaxServers):]
}

// affects reports whether a step can change the chosen servers. It is called before the step is applied.
func (s *Set) affects(change step) bool {
	if change.old != nil {
		if _, chosen := slices.BinarySearchFunc(s.chosen, change.old, s.compare); chosen {
			return true
		}
	}
	e := change.new
	if e == nil || !e.available() {
		return false
	}
	if s.within(e, s.windowEnd) {
		return true
	}
	if s.config.MinPerZone <= 0 || e.position-s.start > s.maxZoneDistance {
		return false
	}
	return s.within(e, s.zoneEnds[e.zone()])
}

// within reports whether an entry lies no farther clockwise than end. A nil end means no limit.
func (s *Set) within(e, end *entry) bool {
	return end == nil || s.compare(e, end) <= 0
}

// difference compares two chosen sets, both in ring order.
func (s *Set) difference(before, after []*entry) Change {
	var change Change
	for len(before) > 0 || len(after) > 0 {
		var order int
		switch {
		case len(before) == 0:
			order = 1
		case len(after) == 0:
			order = -1
		default:
			order = s.compare(before[0], after[0])
		}
		if order < 0 {
			change.Removed = append(change.Removed, before[0].id())
			before = before[1:]
			continue
		}
		if order > 0 || (before[0] != after[0] && before[0].server() != after[0].server()) {
			change.Updated = append(change.Updated, after[0].server())
		}
		if order == 0 {
			before = before[1:]
		}
		after = after[1:]
	}
	return change
}
