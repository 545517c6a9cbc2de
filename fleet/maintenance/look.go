package maintenance

import (
	"slices"
	"time"
)

// look takes evidence, and moves turns on by it.
func (s *State) look(l *Observation, r *Result) {
	if l.Base != s.looks || l.MeasuredAt < s.seen || l.MeasuredAt > s.now {
		r.Err = &StaleLookError{Current: s.looks, Base: l.Base}
		return
	}
	if len(l.Machines)+len(s.fleet) > MaxMachines {
		r.Err = spoilt("look", "over %d machines", MaxMachines)
		return
	}
	s.looks++
	s.blind = l.Partial
	if !l.Partial {
		s.seen = l.MeasuredAt
	}
	if l.RingSize != len(s.yard.ring) {
		s.yard.ring = make([]int, l.RingSize)
		s.rebuild()
	}
	for _, h := range l.Removed {
		s.remove(h)
		r.ForecastStale = true
	}
	for _, m := range l.Machines {
		if host := s.names[m.Host]; host != "" {
			m.Host = host
		}
		r.ForecastStale = s.put(m, l.MeasuredAt) || r.ForecastStale
	}
	clear(s.zones)
	for _, z := range l.Zones {
		s.zones[z.Name] = z.State
	}
	s.judge(l, r)
	for _, t := range s.held() {
		if m := s.fleet[t.Host]; m != nil {
			s.follow(t, m, r)
		}
	}
	s.give(r)
}

// put takes the evidence of one machine; true is one that the forecast did not reckon with.
func (s *State) put(m Machine, at time.Duration) (changed bool) {
	old := s.fleet[m.Host]
	changed = old == nil || old.Zone != m.Zone || old.Kind != m.Kind || old.Voter != m.Voter
	if !changed {
		t := s.turns[m.Host]
		changed = (old.Phase == PhaseWarm) != (m.Phase == PhaseWarm) && (t == nil || !t.Stage.holds())
	}
	s.remove(m.Host)
	n := &machine{Machine: m, at: at}
	s.fleet[m.Host] = n
	s.yard.add(n, 1)
	s.settle(n)
	return changed
}

func (s *State) remove(host string) {
	m := s.fleet[host]
	if m == nil {
		return
	}
	if m.away {
		s.yard.away(m, s.members(host), -1)
	}
	s.yard.add(m, -1)
	delete(s.fleet, host)
}

// follow moves a turn on by what is seen of its machine since it came to its stage.
func (s *State) follow(t *Lease, m *machine, r *Result) {
	if max(m.at, s.seen) <= t.StageSince {
		return
	}
	switch t.Stage {
	case StageGranted:
		if m.Phase == PhaseGone { // if it lives, its number is void
			s.giveUp(t, true)
			r.ForecastStale = true
		}
	case StageDraining:
		if m.Phase == PhaseIdle {
			s.turn(t, StageDrained)
		}
	case StageRecalled:
		if t.UndrainConfirmed && m.Phase == PhaseWarm {
			s.giveUp(t, false)
		}
	case StageOut:
		if m.Phase == PhaseGone {
			t.SeenGone = true
		} else if t.SeenGone {
			s.turn(t, StageArrived)
		}
	case StageArrived, StageWarmingUp:
		if m.Phase == PhaseWarm {
			r.ForecastStale = r.ForecastStale || s.over(t) > 0
			s.finish(t)
		} else if m.Phase == PhaseCold && t.Stage == StageArrived {
			s.turn(t, StageWarmingUp)
		}
	}
}

// Diff is the look that makes what the state knows of the fleet into what is observed now: at most
// so much as a look may hold, and Partial where that is not all. Observed names each host once; the
// caller fills in From, zones, group and what is served.
func (s *State) Diff(observed []Machine) *Observation {
	l := &Observation{Base: s.looks}
	there := make(map[string]bool, len(observed))
	for _, m := range observed {
		host := m.Host
		if adopted := s.names[host]; adopted != "" {
			host = adopted
		}
		there[host] = true
		if old := s.fleet[host]; old == nil || differs(&old.Machine, &m, host) {
			l.Machines = append(l.Machines, m)
		}
	}
	for host := range s.fleet {
		if !there[host] {
			l.Removed = append(l.Removed, host)
		}
	}
	slices.Sort(l.Removed)
	l.Machines = l.Machines[:min(len(l.Machines), lookMost)]
	room := lookMost - len(l.Machines)
	l.Partial = len(l.Removed) > room || len(l.Machines) == lookMost
	l.Removed = l.Removed[:min(len(l.Removed), room)]
	return l
}

// differs tells whether a machine's evidence has to be told anew; figures that are a tenth off are not.
func differs(old, m *Machine, host string) bool {
	same := *m
	same.Host = host
	if near(old.Load, m.Load) {
		same.Load = old.Load
	}
	if near(old.Capacity, m.Capacity) {
		same.Capacity = old.Capacity
	}
	return same != *old
}

func near(a, b uint32) bool { return max(a, b)-min(a, b) <= max(a, b)/10 }
