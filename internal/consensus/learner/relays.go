package learner

import (
	"cmp"
	"math"
	"slices"
)

const (
	// minRelayedFleet is the number of nodes in a fleet from which nodes request leases through relays.
	minRelayedFleet = 24
	// maxSources is the maximum number of sources of a text before the voters are added.
	maxSources = 8
	// voterOrderModulus varies the order of the voters in other zones between the nodes of a zone, so that their
	// requests are spread over these voters. It is the maximum number of voters.
	voterOrderModulus = 7
)

// grantors returns the indices of the nodes from which this node requests leases, in order of preference.
//
// A voter requests leases from the leader. The other nodes form relay groups by zone and index, each with about as many
// nodes as the square root of the fleet size, so that no node grants leases to the whole fleet. The relay of a group
// requests leases from the voters, those of its own zone first. The other nodes of the group request leases from their
// relay, and from the voters if it does not answer. A voter that is not the leader grants what remains of its own
// lease, as relays do.
//
// ChooseGrantors in fleet/rules builds another tree, from hashes over the live nodes of a zone; only the testbed uses
// it. The results differ: here a membership change does not move nodes to another group.
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

// liveLeader returns the index of the leader in a list of one, or nil if the leader is not known or not live.
func (l *Learner) liveLeader() []int {
	leader := l.config.Consensus.Leader()
	for _, m := range l.members {
		if m.Name == leader {
			return []int{m.Index}
		}
	}
	return nil
}

// liveVoters returns the indices of the live voters, those in this node's zone first. The order of the others varies
// between the nodes of a zone.
func (l *Learner) liveVoters() []int {
	var live []Member
	for _, m := range l.members {
		if slices.Contains(l.config.Voters, m.Name) {
			live = append(live, m)
		}
	}
	rank := func(m Member) int {
		if m.Zone == l.config.Zone {
			return -1
		}
		return (m.Index + l.config.NodeIndex) % voterOrderModulus
	}
	slices.SortFunc(live, func(a, b Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Index, b.Index))
	})
	var indices []int
	for _, m := range live {
		indices = append(indices, m.Index)
	}
	return indices
}

// relayGroup returns the number of the relay group, within its zone, of the node with an index.
func (l *Learner) relayGroup(index int) int {
	size := int(math.Ceil(math.Sqrt(float64(l.config.FleetSize))))
	return index / (size * max(1, len(l.config.Settings.Zones)))
}

// relay returns the index of the relay of this node's group: the group's voter with the lowest index, or its node with
// the lowest index if it has no voter. ok is false if that is this node, or if the fleet is too small for relays.
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

// sources returns the indices of the nodes to fetch a text from, in order of preference: the grantors, other nodes of
// the zone, and the remaining voters.
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
