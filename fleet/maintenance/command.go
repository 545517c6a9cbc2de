package maintenance

import (
	"fmt"
	"time"

	"sloestile/internal/canonical"
)

// Bounds of commands and of what they hold.
const (
	MaxCommandBytes  = 96 << 10 // bytes of a command; a work plan is the longest
	MaxSnapshotBytes = 8 << 20
	MaxMachines      = 16384 // of a fleet
	lookMost         = 512   // machines in one look
	zonesMost        = 64
	uplinksMost      = 256
	whyMost          = 200 // bytes of an operator's reason
)

// Command is one entry of the replicated log. Exactly one of its kinds is set.
type Command struct {
	// At is the council's time. It goes on only while there is a leader, and never faster than any
	// clock: each leader counts it on its own monotonic clock, from the State's Now as it took over.
	GroupTime time.Duration `cbor:"1,keyasint"`
	WallTime  Timestamp     `cbor:"2,keyasint"` // the leader's wall time, for deadlines and windows alone

	LoadPlan    *LoadPlan       `cbor:"3,keyasint,omitempty"`
	Observation *Observation    `cbor:"4,keyasint,omitempty"`
	Request     *Request        `cbor:"5,keyasint,omitempty"`
	Halt        *Halt           `cbor:"6,keyasint,omitempty"`
	Resume      *Resume         `cbor:"7,keyasint,omitempty"`
	Uplinks     *UplinkCalendar `cbor:"8,keyasint,omitempty"`
	AdoptName   *AdoptName      `cbor:"9,keyasint,omitempty"`
	DropLease   *DropLease      `cbor:"10,keyasint,omitempty"`
}

// Load puts a work plan in force; without one, nothing more is let out.
type LoadPlan struct {
	Version uint64 `cbor:"1,keyasint"` // of the rule set that has it; an older one than the last does nothing
	Plan    *Plan  `cbor:"2,keyasint,omitempty"`
}

// Kind is what a machine is.
type Kind uint8

// The kinds.
const (
	Node   Kind = iota // an edge node
	Server             // a rating server
)

func (k Kind) String() string { return name(k, "edge nodes", "rating servers") }

// Phase is what others see of a machine.
type Phase uint8

// The phases.
const (
	PhaseGone     Phase = iota // no word of it, or not in the list
	PhaseCold                  // it is there, and held to the cold rule
	PhaseWarm                  // it serves
	PhaseDraining              // it takes nothing new and has work left
	PhaseIdle                  // it takes nothing new, nobody sends to it, and it has no work
)

func (p Phase) String() string { return name(p, "gone", "cold", "warm", "leaving", "idle") }

func name[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("unknown (%d)", v)
}

// Machine is what is seen of one machine from outside; never its own word.
type Machine struct {
	_        struct{} `cbor:",toarray"`
	Host     string   // by which the plan names it
	Name     string   // of the node, or uid of the server
	Kind     Kind
	Zone     string
	Index    int // of an edge node in the group
	Voter    bool
	Capacity uint32 // requests a second that it bears warm
	Load     uint32 // worth a second that it serves, in thousandths
	Phase    Phase
}

// ZoneState is what is seen of a zone.
type ZoneState uint8

// The states of a zone.
const (
	ZoneHealthy ZoneState = iota
	ZoneEvacuated
	ZoneRecovering
	ZoneClosed // by hand: it counts for nothing, and is no trouble
)

func (z ZoneState) String() string { return name(z, "whole", "left", "returning", "closed") }

// Zone is what is seen of one zone.
type Zone struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	State ZoneState
}

// Look is evidence: what of the fleet has changed since another look. All that it does not name
// stands as it was, at From, unless it is Partial.
type Observation struct {
	Base               uint64        `cbor:"1,keyasint"` // the number of looks before it; others were meant for another state
	MeasuredAt         time.Duration `cbor:"2,keyasint"` // the council's time before anything of it was measured
	Partial            bool          `cbor:"3,keyasint,omitempty"`
	RingSize           int           `cbor:"4,keyasint"` // edge nodes in the group, by which sets go round
	Machines           []Machine     `cbor:"5,keyasint,omitempty"`
	Removed            []string      `cbor:"6,keyasint,omitempty"`  // hosts that are no longer of the fleet
	Zones              []Zone        `cbor:"7,keyasint,omitempty"`  // all that are not whole
	ServedFraction     Fraction      `cbor:"8,keyasint"`            // of what was offered in the last second
	ServedUnknown      bool          `cbor:"9,keyasint,omitempty"`  // Served is not known
	NoMajorityDuration time.Duration `cbor:"10,keyasint,omitempty"` // for which the council had no majority before it
}

// Verb is what a machine says of its turn.
type RequestType uint8

// The verbs. Each but Poll and Ask says under which fencing number. A Poll is answered by the leader
// and not put into the log.
const (
	RequestPoll           RequestType = iota // what has become of its turn
	RequestAcquire                           // a process asks for its host's turn for the first time, or anew
	RequestStartDrain                        // it is to begin its drain
	RequestStartWork                         // drained, it is to go out
	RequestFinishWork                        // it is back from its work
	RequestConfirmUndrain                    // it has come back from its drain, or never begun it, and serves
)

func (v RequestType) String() string { return name(v, "poll", "ask", "begin", "go", "back", "here") }

// Word is what a machine's agent says. Only its being applied lets the agent act.
type Request struct {
	Host         string      `cbor:"1,keyasint"`
	Name         string      `cbor:"2,keyasint"` // as it runs now
	Type         RequestType `cbor:"3,keyasint"`
	FencingToken uint64      `cbor:"4,keyasint,omitempty"`
	Nonce        uint64      `cbor:"5,keyasint,omitempty"` // of a process, at Ask
}

// Halt lets nothing new out, and has those that drain come back.
type Halt struct {
	Reason string `cbor:"1,keyasint"`
}

// Resume ends a halt, by hand or by evidence.
type Resume struct {
	Reason string `cbor:"1,keyasint"`
}

// Uplink is a window in which a site is without its uplink, or needs its machines whole.
type UplinkWindow struct {
	_     struct{} `cbor:",toarray"`
	Zone  string
	Start Timestamp
	End   Timestamp
}

// Uplinks is the calendar of windows, in place of the one before.
type UplinkCalendar struct {
	Windows []UplinkWindow `cbor:"1,keyasint"`
}

// Adopt says by hand that a host runs under another name than the fleet knew.
type AdoptName struct {
	Host string `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"` // under which it is seen now
}

// Drop says by hand that a machine that is gone comes not back to end its turn.
type DropLease struct {
	Host string `cbor:"1,keyasint"`
}

var (
	encoder = canonical.Encoder
	decoder = canonical.Limits{ArrayElements: MaxMachines, MapPairs: 64, NestedLevels: 8}.Decoder()
)

// Encode gives a command's bytes, in canonical form.
func (c *Command) Encode() ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	raw, err := encoder.Marshal(c)
	if err == nil && len(raw) > MaxCommandBytes {
		err = &SpoiltError{What: "command", Reason: fmt.Sprintf("%d bytes", len(raw)), Hint: "name hosts by ranges"}
	}
	return raw, err
}

// DecodeCommand reads a command. One that holds anything that can't be is refused whole.
func DecodeCommand(raw []byte) (*Command, error) {
	if len(raw) > MaxCommandBytes {
		return nil, spoilt("command", "%d bytes", len(raw))
	}
	c := &Command{}
	if err := decoder.Unmarshal(raw, c); err != nil {
		return nil, spoilt("command", "%s", oneLine(err))
	}
	return c, c.check()
}

func (c *Command) check() error {
	kinds := 0
	for _, set := range []bool{c.LoadPlan != nil, c.Observation != nil, c.Request != nil, c.Halt != nil, c.Resume != nil, c.Uplinks != nil, c.AdoptName != nil, c.DropLease != nil} {
		if set {
			kinds++
		}
	}
	switch {
	case kinds != 1:
		return spoilt("command", "%d kinds in one", kinds)
	case c.GroupTime < 0 || c.WallTime < 0:
		return spoilt("command", "a time below zero")
	case c.LoadPlan != nil && c.LoadPlan.Plan != nil:
		return c.LoadPlan.Plan.Check()
	case c.Observation != nil:
		return c.Observation.check()
	case c.Request != nil:
		if w := c.Request; !nameGood(w.Host) || !nameGood(w.Name) || w.Type < RequestAcquire || w.Type > RequestConfirmUndrain || (w.Type == RequestAcquire && w.Nonce == 0) {
			return spoilt("word", "of host %q, %v", w.Host, w.Type)
		}
	case c.Halt != nil && len(c.Halt.Reason) > whyMost, c.Resume != nil && len(c.Resume.Reason) > whyMost:
		return spoilt("order", "a reason of over %d bytes", whyMost)
	case c.Uplinks != nil:
		return checkUplinks(c.Uplinks.Windows)
	case c.AdoptName != nil && (!nameGood(c.AdoptName.Host) || !nameGood(c.AdoptName.Name)), c.DropLease != nil && !nameGood(c.DropLease.Host):
		return spoilt("order", "no host's name")
	}
	return nil
}

func checkUplinks(windows []UplinkWindow) error {
	if len(windows) > uplinksMost {
		return spoilt("uplinks", "%d windows", len(windows))
	}
	for _, u := range windows {
		if !nameGood(u.Zone) || u.Start < 0 || u.End < u.Start {
			return spoilt("uplinks", "a window of zone %q from %v to %v", u.Zone, u.Start, u.End)
		}
	}
	return nil
}

func (l *Observation) check() error {
	if l.MeasuredAt < 0 || l.NoMajorityDuration < 0 || l.ServedFraction < 0 || l.ServedFraction > 1000 || l.RingSize < 0 || l.RingSize > MaxMachines ||
		len(l.Machines)+len(l.Removed) > lookMost || len(l.Zones) > zonesMost {
		return spoilt("look", "figures that can't be")
	}
	for _, m := range l.Machines {
		if err := m.check(); err != nil {
			return err
		}
	}
	for _, h := range l.Removed {
		if !nameGood(h) {
			return spoilt("look", "host %q", h)
		}
	}
	return checkZones(l.Zones)
}

func (m *Machine) check() error {
	if !nameGood(m.Host) || !nameGood(m.Name) || !nameGood(m.Zone) || m.Kind > Server || m.Phase > PhaseIdle || m.Index < 0 || m.Index >= MaxMachines || m.Capacity == 0 {
		return spoilt("machine", "host %q, zone %q", m.Host, m.Zone)
	}
	return nil
}

func checkZones(zones []Zone) error {
	for _, z := range zones {
		if !nameGood(z.Name) || z.State > ZoneClosed {
			return spoilt("zone", "%q, %v", z.Name, z.State)
		}
	}
	return nil
}
