package outage

import (
	"time"

	"sloestile/fleet/rules"
)

// wrongCounts are decisions by a rule set that must not be acted by.
type wrongCounts struct {
	staleTime time.Duration // of all nodes, on a version that passed longer than the overlap ago
	stepsBack int           // to a version below one acted by before
	together  int           // versions acted by at once at most
}

// staleRequests returns the requests that were decided by a version that had passed.
func (w *wrongCounts) staleRequests() float64 { return w.staleTime.Seconds() * requestsPerSecond }

// observe notes by which version a node acts from now on.
func (s *ruleFleet) observe(i int) {
	n := &s.nodes[i]
	now := s.clock(i)
	number, until, _ := n.EffectiveVersion(now)
	if number != 0 {
		s.lookAt(i, s.Now+time.Duration(float64(until-now)/n.rate)+time.Microsecond)
	}
	if number != n.acting {
		s.acts(i, number)
	}
}

// lookAt has a node observed when its lease ends, sooner where the lease was cut short.
func (s *ruleFleet) lookAt(i int, end time.Duration) {
	n := &s.nodes[i]
	if n.looks > s.Now && n.looks <= end {
		return
	}
	n.looks = end
	s.after(end-s.Now, func() {
		if n.looks == end && !n.dead {
			n.looks = 0
			s.observe(i)
		}
	})
}

// acts takes that a node acts by another version.
func (s *ruleFleet) acts(i int, number uint64) {
	n := &s.nodes[i]
	s.left(n)
	n.acting, n.changed = number, s.Now
	if number == 0 {
		return
	}
	if number < n.highest {
		s.wrong.stepsBack++
	}
	for v := n.highest + 1; v <= number; v++ {
		if known := s.versions[v]; known != nil {
			known.late = append(known.late, (s.Now - known.published).Seconds())
		}
	}
	n.highest = max(n.highest, number)
}

// left counts the time for which a node has acted by a version that had passed.
func (s *ruleFleet) left(n *ruleNode) {
	v := s.versions[n.acting]
	if v == nil || v.passed == 0 {
		return
	}
	if limit := max(n.changed, v.passed+rules.DefaultLeaseParams.MaxOverlap+time.Millisecond); s.Now > limit {
		s.wrong.staleTime += s.Now - limit
	}
}

// together notes how many versions are acted by at this moment.
func (s *ruleFleet) together() {
	by := map[uint64]bool{}
	for i := range s.nodes {
		if n := &s.nodes[i]; n.acting != 0 && !n.dead {
			by[n.acting] = true
		}
	}
	s.wrong.together = max(s.wrong.together, len(by))
}

// lateness returns, in seconds, how long versions took until they were in force, over all nodes.
// A node that never acted by one counts with the time until now.
func (s *ruleFleet) lateness(first, last uint64, nodes int) (all []float64) {
	for number := first; number <= last; number++ {
		v := s.versions[number]
		if v == nil {
			continue
		}
		all = append(all, v.late...)
		for range max(0, nodes-len(v.late)) {
			all = append(all, (s.Now - v.published).Seconds())
		}
	}
	return all
}
