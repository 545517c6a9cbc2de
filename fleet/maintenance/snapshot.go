package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// snapshot is the encoded form of a State. It is canonical: equal states have equal bytes.
type snapshot struct {
	Now                    time.Duration     `cbor:"1,keyasint"`
	WallTime               Timestamp         `cbor:"2,keyasint"`
	LastFencingToken       uint64            `cbor:"3,keyasint"`
	PlanVersion            uint64            `cbor:"4,keyasint"`
	Plan                   *Plan             `cbor:"5,keyasint,omitempty"`
	Observations           uint64            `cbor:"6,keyasint"`
	ObservedAt             time.Duration     `cbor:"7,keyasint"`
	LastObservationPartial bool              `cbor:"8,keyasint"`
	RingSize               int               `cbor:"9,keyasint"`
	Zones                  []Zone            `cbor:"10,keyasint,omitempty"`
	UplinkWindows          []UplinkWindow    `cbor:"11,keyasint,omitempty"`
	Halt                   haltSnapshot      `cbor:"12,keyasint"`
	Machines               []machineSnapshot `cbor:"13,keyasint,omitempty"`
	Leases                 []Lease           `cbor:"14,keyasint,omitempty"`
	DoneJobs               [][2]string       `cbor:"15,keyasint,omitempty"` // pairs of host and job
	PlanLoadedAt           time.Duration     `cbor:"17,keyasint"`
	HostByAdoptedName      [][2]string       `cbor:"16,keyasint,omitempty"` // pairs of adopted name and host
}

type machineSnapshot struct {
	_          struct{} `cbor:",toarray"`
	Machine    Machine
	ObservedAt time.Duration
}

type haltSnapshot struct {
	_                           struct{} `cbor:",toarray"`
	OperatorReason, FaultReason string
	ClearedAt                   time.Duration
	Cleared                     bool
	UsualServed, LastServed     int64
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	h := s.halt
	snap := snapshot{Now: s.now, WallTime: s.wallTime, LastFencingToken: s.lastFencingToken,
		PlanVersion: s.planVersion, PlanLoadedAt: s.planLoadedAt, Observations: s.observations,
		ObservedAt: s.observedAt, LastObservationPartial: s.lastObservationPartial,
		RingSize: len(s.usage.ring), UplinkWindows: s.uplinkWindows, DoneJobs: pairs(s.doneJobs),
		HostByAdoptedName: pairs(s.hostByAdoptedName),
		Halt: haltSnapshot{OperatorReason: h.operatorReason, FaultReason: h.faultReason, ClearedAt: h.clearedAt,
			Cleared: h.cleared, UsualServed: h.usualServed, LastServed: h.lastServed}}
	if s.plan != nil {
		snap.Plan = s.plan.plan
	}
	for _, zone := range slices.Sorted(maps.Keys(s.zones)) {
		snap.Zones = append(snap.Zones, Zone{Name: zone, State: s.zones[zone]})
	}
	for _, host := range slices.Sorted(maps.Keys(s.machines)) {
		snap.Machines = append(snap.Machines, machineSnapshot{Machine: s.machines[host].Machine,
			ObservedAt: s.machines[host].observedAt})
	}
	for _, host := range slices.Sorted(maps.Keys(s.leases)) {
		snap.Leases = append(snap.Leases, *s.leases[host])
	}
	raw, err := encoder.Marshal(&snap)
	if err == nil && len(raw) > MaxSnapshotBytes {
		err = &SpoiltError{What: "snapshot", Reason: fmt.Sprintf("%d bytes", len(raw)),
			Hint: "split the fleet's work over several plans"}
	}
	return raw, err
}

// pairs returns the keys and values of a map, sorted by key.
func pairs(m map[string]string) (list [][2]string) {
	for k, v := range m {
		list = append(list, [2]string{k, v})
	}
	slices.SortFunc(list, func(a, b [2]string) int { return cmp.Compare(a[0], b[0]) })
	return list
}

// Restore decodes a snapshot. It rejects one with any invalid value.
func Restore(raw []byte) (*State, error) {
	if len(raw) > MaxSnapshotBytes {
		return nil, malformed("snapshot", "%d bytes", len(raw))
	}
	var snap snapshot
	if err := decoder.Unmarshal(raw, &snap); err != nil {
		return nil, malformed("snapshot", "%s", oneLine(err))
	}
	s := New()
	h := snap.Halt
	s.now, s.wallTime, s.lastFencingToken, s.planVersion, s.observations, s.observedAt,
		s.lastObservationPartial, s.uplinkWindows = snap.Now, snap.WallTime, snap.LastFencingToken,
		snap.PlanVersion, snap.Observations, snap.ObservedAt, snap.LastObservationPartial, snap.UplinkWindows
	s.planLoadedAt = snap.PlanLoadedAt
	s.halt = haltState{operatorReason: h.OperatorReason, faultReason: h.FaultReason, clearedAt: h.ClearedAt,
		cleared: h.Cleared, usualServed: h.UsualServed, lastServed: h.LastServed}
	if err := snap.check(); err != nil {
		return nil, err
	}
	if snap.Plan != nil {
		var err error
		if s.plan, err = compile(snap.Plan); err != nil {
			return nil, err
		}
	}
	for _, zone := range snap.Zones {
		s.zones[zone.Name] = zone.State
	}
	for _, m := range snap.Machines {
		s.machines[m.Machine.Host] = &machine{Machine: m.Machine, observedAt: m.ObservedAt}
	}
	for _, lease := range snap.Leases {
		s.leases[lease.Host] = &lease
	}
	for _, d := range snap.DoneJobs {
		s.doneJobs[d[0]] = d[1]
	}
	for _, adopted := range snap.HostByAdoptedName {
		s.hostByAdoptedName[adopted[0]] = adopted[1]
	}
	s.usage.ring = make([]int, snap.RingSize)
	s.recountUsage()
	return s, nil
}

func (s *snapshot) check() error {
	if s.Now < 0 || s.WallTime < 0 || s.ObservedAt < 0 || s.ObservedAt > s.Now || s.RingSize < 0 ||
		s.RingSize > MaxMachines || len(s.HostByAdoptedName) > maxAdoptedNames || len(s.DoneJobs) > MaxPlanHosts {
		return malformed("snapshot", "value out of range")
	}
	for i := range s.Machines {
		if err := s.Machines[i].Machine.check(); err != nil {
			return err
		}
	}
	heldTokens := map[uint64]bool{0: true}
	for _, lease := range s.Leases {
		if !validName(lease.Host) || lease.Stage >= StageDone ||
			lease.Stage.isHeld() == heldTokens[lease.FencingToken] || lease.FencingToken > s.LastFencingToken ||
			lease.StageSince > s.Now || lease.UnusedGrants < 0 {
			return malformed("snapshot", "lease of host %q", lease.Host)
		}
		heldTokens[lease.FencingToken] = true
	}
	if err := checkUplinks(s.UplinkWindows); err != nil {
		return err
	}
	return checkZones(s.Zones)
}
