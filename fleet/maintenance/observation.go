package maintenance

import (
	"slices"
	"time"
)

// observe applies an observation: it updates the machines and zones, advances the leases and grants
// new ones.
func (s *State) observe(o *Observation, result *Result) {
	if o.Base != s.observations || o.MeasuredAt < s.observedAt || o.MeasuredAt > s.now {
		result.Err = &StaleLookError{Current: s.observations, Base: o.Base}
		return
	}
	if len(o.Machines)+len(s.machines) > MaxMachines {
		result.Err = malformed("observation", "more than %d machines", MaxMachines)
		return
	}
	s.observations++
	s.lastObservationPartial = o.Partial
	if !o.Partial {
		s.observedAt = o.MeasuredAt
	}
	if o.RingSize != len(s.usage.ring) {
		s.usage.ring = make([]int, o.RingSize)
		s.recountUsage()
	}
	for _, host := range o.Removed {
		s.removeMachine(host)
		result.ForecastStale = true
	}
	for _, m := range o.Machines {
		if host := s.hostByAdoptedName[m.Host]; host != "" {
			m.Host = host
		}
		result.ForecastStale = s.putMachine(m, o.MeasuredAt) || result.ForecastStale
	}
	clear(s.zones)
	for _, zone := range o.Zones {
		s.zones[zone.Name] = zone.State
	}
	s.checkFaults(o, result)
	for _, lease := range s.heldLeases() {
		if m := s.machines[lease.Host]; m != nil {
			s.advanceByObservation(lease, m, result)
		}
	}
	s.grantLeases(result)
}

// putMachine stores the observed state of a machine. It reports whether the state invalidates the
// last forecast.
func (s *State) putMachine(m Machine, measuredAt time.Duration) (changed bool) {
	old := s.machines[m.Host]
	changed = old == nil || old.Zone != m.Zone || old.Kind != m.Kind || old.Voter != m.Voter
	if !changed {
		lease := s.leases[m.Host]
		changed = (old.Phase == PhaseWarm) != (m.Phase == PhaseWarm) && (lease == nil || !lease.Stage.isHeld())
	}
	s.removeMachine(m.Host)
	updated := &machine{Machine: m, observedAt: measuredAt}
	s.machines[m.Host] = updated
	s.usage.addMachine(updated, 1)
	s.updateAvailability(updated)
	return changed
}

func (s *State) removeMachine(host string) {
	m := s.machines[host]
	if m == nil {
		return
	}
	if m.unavailable {
		s.usage.addUnavailable(m, s.groupsOf(host), -1)
	}
	s.usage.addMachine(m, -1)
	delete(s.machines, host)
}

// advanceByObservation advances a lease by what was observed of its machine since the lease entered
// its stage.
func (s *State) advanceByObservation(lease *Lease, m *machine, result *Result) {
	if max(m.observedAt, s.observedAt) <= lease.StageSince {
		return
	}
	switch lease.Stage {
	case StageGranted:
		if m.Phase == PhaseGone { // should the process still run, its fencing token is void
			s.release(lease, true)
			result.ForecastStale = true
		}
	case StageDraining:
		if m.Phase == PhaseIdle {
			s.setStage(lease, StageDrained)
		}
	case StageRecalled:
		if lease.UndrainConfirmed && m.Phase == PhaseWarm {
			s.release(lease, false)
		}
	case StageOut:
		if m.Phase == PhaseGone {
			lease.SeenGone = true
		} else if lease.SeenGone {
			s.setStage(lease, StageArrived)
		}
	case StageArrived, StageWarmingUp:
		if m.Phase == PhaseWarm {
			result.ForecastStale = result.ForecastStale || s.overrun(lease) > 0
			s.finish(lease)
		} else if m.Phase == PhaseCold && lease.Stage == StageArrived {
			s.setStage(lease, StageWarmingUp)
		}
	}
}

// Diff returns the observation that updates the known fleet to the observed machines, limited to
// maxObservationEntries. It is marked Partial if that limit cuts it, or if the changed machines
// alone reach the limit. observed must list each host once. The caller sets MeasuredAt, RingSize,
// Zones, ServedFraction, ServedUnknown and NoMajorityDuration.
func (s *State) Diff(observed []Machine) *Observation {
	o := &Observation{Base: s.observations}
	present := make(map[string]bool, len(observed))
	for _, m := range observed {
		host := m.Host
		if adoptedHost := s.hostByAdoptedName[host]; adoptedHost != "" {
			host = adoptedHost
		}
		present[host] = true
		if old := s.machines[host]; old == nil || machineChanged(&old.Machine, &m, host) {
			o.Machines = append(o.Machines, m)
		}
	}
	for host := range s.machines {
		if !present[host] {
			o.Removed = append(o.Removed, host)
		}
	}
	slices.Sort(o.Removed)
	o.Machines = o.Machines[:min(len(o.Machines), maxObservationEntries)]
	maxRemoved := maxObservationEntries - len(o.Machines)
	o.Partial = len(o.Removed) > maxRemoved || len(o.Machines) == maxObservationEntries
	o.Removed = o.Removed[:min(len(o.Removed), maxRemoved)]
	return o
}

// machineChanged reports whether a machine has to be included in an observation. Changes of load
// and capacity by up to a tenth are left out.
func machineChanged(old, m *Machine, host string) bool {
	compared := *m
	compared.Host = host
	if withinTenth(old.Load, m.Load) {
		compared.Load = old.Load
	}
	if withinTenth(old.Capacity, m.Capacity) {
		compared.Capacity = old.Capacity
	}
	return compared != *old
}

func withinTenth(a, b uint32) bool { return max(a, b)-min(a, b) <= max(a, b)/10 }
