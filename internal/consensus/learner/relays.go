package learner

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minRelayedFleet is the size of a fleet from which not all nodes request leases from voters themselves.
	minRelayedFleet   = 24
	maxSources        = 8 // of a text, in the own zone
	voterOrderModulus = 7 // by which nodes of a zone begin with different voters of other zones
)

// grantors returns the nodes from which this one requests leases, the best first. A voter requests from the leader. Others
// are grouped by zone and index, as many to a group as the square root of all nodes: the relay of a group requests from
// voters, those of its zone first, and the others from their relay, then from voters. A voter that does not lead passes on
// what is left of its own lease, as relays do.
//
// fleet/rules.ChooseGrantors is another such tree, by hashes over the live nodes of a zone, which only the testbed uses.
// Their answers differ: this one moves no node when the membership changes.
func (l *Learner) grantors() []int {
	if slices.Contains(l.config.Voters, l.config.Name) {
		return l.liveLeader()
	}
	var grantors []int
	if relay, ok := l.relay(); ok {
		grantors = append(grantors, relay)
	}
	return append(grantors, l.liveVoters()...)
}

// liveLeader returns the leader, if it is known and live.
func (l *Learner) liveLeader() []int {
	leader := l.config.Consensus.Leader()
	for _, m := range l.members {
		if m.Name == leader {
			return []int{m.Index}
		}
	}
	return nil
}

// liveVoters returns those that are live, those of the own zone first; nodes of a zone begin with different ones of the others.
func (l *Learner) liveVoters() []int {
	var live []Member
	for _, m := range l.members {
		if slices.Contains(l.config.Voters, m.Name) {
			live = append(live, m)
		}
	}
	distance := func(m Member) int {
		if m.Zone == l.config.Zone {
			return -1
		}
		return (m.Index + l.config.NodeIndex) % voterOrderModulus
	}
	slices.SortFunc(live, func(a, b Member) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a.Index, b.Index))
	})
	var indices []int
	for _, m := range live {
		indices = append(indices, m.Index)
	}
	return indices
}

// relayGroup returns the number of an index's relayGroup within its zone.
func (l *Learner) relayGroup(index int) int {
	size := int(math.Ceil(math.Sqrt(float64(l.config.FleetSize))))
	return index / (size * max(1, len(l.config.Settings.Zones)))
}

// relay returns the relay of this node's group, where that is another node: a voter, or the lowest index.
func (l *Learner) relay() (index int, ok bool) {
	if l.config.FleetSize < minRelayedFleet {
		return 0, false
	}
	rank := func(m Member) int {
		if slices.Contains(l.config.Voters, m.Name) {
			return m.Index - l.config.FleetSize
		}
		return m.Index
	}
	best := Member{Index: l.config.NodeIndex, Name: l.config.Name}
	for _, m := range l.members {
		sameGroup := m.Zone == l.config.Zone && l.relayGroup(m.Index) == l.relayGroup(l.config.NodeIndex)
		if sameGroup && rank(m) < rank(best) {
			best = m
		}
	}
	return best.Index, best.Index != l.config.NodeIndex
}

// sources returns the nodes to fetch a text from: the grantors, others of the zone, voters.
func (l *Learner) sources() []int {
	sources := l.grantors()
	for _, m := range l.members {
		if m.Zone == l.config.Zone && len(sources) < maxSources && !slices.Contains(sources, m.Index) {
			sources = append(sources, m.Index)
		}
	}
	for _, voter := range l.liveVoters() {
		if !slices.Contains(sources, voter) {
			sources = append(sources, voter)
		}
	}
	return sources
}
