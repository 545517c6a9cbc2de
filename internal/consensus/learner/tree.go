package learner

import (
	"cmp"
	"math"
	"slices"
)

// treeFrom is the size of a group from which on not all ask voters themselves.
const treeFrom = 24

// parents gives whom this node asks for leases, the best first. A voter asks the one that leads. Others
// are grouped by zone and index, as many to a group as the root of all: the head of a group asks
// voters, those of its zone first, and the others ask their head, then voters. A voter that does
// not lead gives on what is left of its own lease, as heads do.
func (l *Learner) parents() []int {
	if slices.Contains(l.cfg.Voters, l.cfg.Name) {
		leader := l.cfg.Council.Leader()
		for _, m := range l.members {
			if m.Name == leader {
				return []int{m.Index}
			}
		}
		return nil
	}
	var out []int
	if head, ok := l.head(); ok {
		out = append(out, head)
	}
	return append(out, l.voters()...)
}

// voters gives those that are live, those of the own zone first; nodes of a zone begin with different
// ones of the others.
func (l *Learner) voters() (out []int) {
	var all []Member
	for _, m := range l.members {
		if slices.Contains(l.cfg.Voters, m.Name) {
			all = append(all, m)
		}
	}
	far := func(m Member) int {
		if m.Zone == l.cfg.Zone {
			return -1
		}
		return (m.Index + l.cfg.Self) % 7
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(a.Index, b.Index)) })
	for _, m := range all {
		out = append(out, m.Index)
	}
	return out
}

// group gives the number of an index's group within its zone.
func (l *Learner) group(index int) int {
	size := int(math.Ceil(math.Sqrt(float64(l.cfg.Group))))
	return index / (size * max(1, len(l.cfg.Settings.Zones)))
}

// head gives the head of this node's group, where that is another: a voter, or the lowest of them.
func (l *Learner) head() (index int, ok bool) {
	if l.cfg.Group < treeFrom {
		return 0, false
	}
	best := Member{Index: l.cfg.Self, Name: l.cfg.Name}
	rank := func(m Member) int {
		if slices.Contains(l.cfg.Voters, m.Name) {
			return m.Index - l.cfg.Group
		}
		return m.Index
	}
	for _, m := range l.members {
		if m.Zone == l.cfg.Zone && l.group(m.Index) == l.group(l.cfg.Self) && rank(m) < rank(best) {
			best = m
		}
	}
	return best.Index, best.Index != l.cfg.Self
}

// sources gives whom to ask for a text: the one that gives leases, others of the zone, voters.
func (l *Learner) sources() []int {
	out := l.parents()
	for _, m := range l.members {
		if m.Zone == l.cfg.Zone && len(out) < 8 && !slices.Contains(out, m.Index) {
			out = append(out, m.Index)
		}
	}
	for _, v := range l.voters() {
		if !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}
