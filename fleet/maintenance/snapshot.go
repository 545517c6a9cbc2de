package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// snapshot is a state's canonical form: the same states have the same bytes.
type snapshot struct {
	Now     time.Duration     `cbor:"1,keyasint"`
	Wall    Timestamp         `cbor:"2,keyasint"`
	Fence   uint64            `cbor:"3,keyasint"`
	Version uint64            `cbor:"4,keyasint"`
	Plan    *Plan             `cbor:"5,keyasint,omitempty"`
	Looks   uint64            `cbor:"6,keyasint"`
	Seen    time.Duration     `cbor:"7,keyasint"`
	Blind   bool              `cbor:"8,keyasint"`
	Group   int               `cbor:"9,keyasint"`
	Zones   []Zone            `cbor:"10,keyasint,omitempty"`
	Uplinks []UplinkWindow    `cbor:"11,keyasint,omitempty"`
	Halt    haltSnapshot      `cbor:"12,keyasint"`
	Fleet   []machineSnapshot `cbor:"13,keyasint,omitempty"`
	Turns   []Lease           `cbor:"14,keyasint,omitempty"`
	Done    [][2]string       `cbor:"15,keyasint,omitempty"` // host, job
	Loaded  time.Duration     `cbor:"17,keyasint"`
	Names   [][2]string       `cbor:"16,keyasint,omitempty"` // name, host
}

type machineSnapshot struct {
	_ struct{} `cbor:",toarray"`
	M Machine
	A time.Duration
}

type haltSnapshot struct {
	_             struct{} `cbor:",toarray"`
	Hand, Trouble string
	Calm          time.Duration
	Quiet         bool
	Usual, Served int64
}

// Snapshot gives the state's bytes.
func (s *State) Snapshot() ([]byte, error) {
	h := s.halt
	p := snapshot{Now: s.now, Wall: s.wall, Fence: s.fence, Version: s.version, Loaded: s.loaded, Looks: s.looks, Seen: s.seen, Blind: s.blind,
		Group: len(s.yard.ring), Uplinks: s.uplinks, Done: pairs(s.done), Names: pairs(s.names),
		Halt: haltSnapshot{Hand: h.hand, Trouble: h.trouble, Calm: h.calm, Quiet: h.quiet, Usual: h.usual, Served: h.served}}
	if s.plan != nil {
		p.Plan = s.plan.plan
	}
	for _, z := range slices.Sorted(maps.Keys(s.zones)) {
		p.Zones = append(p.Zones, Zone{Name: z, State: s.zones[z]})
	}
	for _, h := range slices.Sorted(maps.Keys(s.fleet)) {
		p.Fleet = append(p.Fleet, machineSnapshot{M: s.fleet[h].Machine, A: s.fleet[h].at})
	}
	for _, h := range slices.Sorted(maps.Keys(s.turns)) {
		p.Turns = append(p.Turns, *s.turns[h])
	}
	raw, err := encoder.Marshal(&p)
	if err == nil && len(raw) > MaxSnapshotBytes {
		err = &SpoiltError{What: "snapshot", Reason: fmt.Sprintf("%d bytes", len(raw)), Hint: "split the fleet's work over several plans"}
	}
	return raw, err
}

func pairs(m map[string]string) (p [][2]string) {
	for k, v := range m {
		p = append(p, [2]string{k, v})
	}
	slices.SortFunc(p, func(a, b [2]string) int { return cmp.Compare(a[0], b[0]) })
	return p
}

// Restore reads a state back. One that holds what can't be is refused whole.
func Restore(raw []byte) (*State, error) {
	if len(raw) > MaxSnapshotBytes {
		return nil, spoilt("snapshot", "%d bytes", len(raw))
	}
	var p snapshot
	if err := decoder.Unmarshal(raw, &p); err != nil {
		return nil, spoilt("snapshot", "%s", oneLine(err))
	}
	s := New()
	h := p.Halt
	s.now, s.wall, s.fence, s.version, s.looks, s.seen, s.blind, s.uplinks = p.Now, p.Wall, p.Fence, p.Version, p.Looks, p.Seen, p.Blind, p.Uplinks
	s.loaded = p.Loaded
	s.halt = halt{hand: h.Hand, trouble: h.Trouble, calm: h.Calm, quiet: h.Quiet, usual: h.Usual, served: h.Served}
	if err := p.check(); err != nil {
		return nil, err
	}
	if p.Plan != nil {
		var err error
		if s.plan, err = compile(p.Plan); err != nil {
			return nil, err
		}
	}
	for _, z := range p.Zones {
		s.zones[z.Name] = z.State
	}
	for _, m := range p.Fleet {
		s.fleet[m.M.Host] = &machine{Machine: m.M, at: m.A}
	}
	for _, t := range p.Turns {
		s.turns[t.Host] = &t
	}
	for _, d := range p.Done {
		s.done[d[0]] = d[1]
	}
	for _, n := range p.Names {
		s.names[n[0]] = n[1]
	}
	s.yard.ring = make([]int, p.Group)
	s.rebuild()
	return s, nil
}

func (p *snapshot) check() error {
	if p.Now < 0 || p.Wall < 0 || p.Seen < 0 || p.Seen > p.Now || p.Group < 0 || p.Group > MaxMachines || len(p.Names) > namesMost || len(p.Done) > MaxPlanHosts {
		return spoilt("snapshot", "figures that can't be")
	}
	for i := range p.Fleet {
		if err := p.Fleet[i].M.check(); err != nil {
			return err
		}
	}
	fences := map[uint64]bool{0: true}
	for _, t := range p.Turns {
		if !nameGood(t.Host) || t.Stage >= StageDone || t.Stage.holds() == fences[t.FencingToken] || t.FencingToken > p.Fence || t.StageSince > p.Now || t.UnusedGrants < 0 {
			return spoilt("snapshot", "the turn of host %q", t.Host)
		}
		fences[t.FencingToken] = true
	}
	if err := checkUplinks(p.Uplinks); err != nil {
		return err
	}
	return checkZones(p.Zones)
}
