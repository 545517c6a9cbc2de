package maintenance

import (
	"fmt"
	"time"

	"sloestile/internal/canonical"
)

// Limits of commands and their fields.
const (
	MaxCommandBytes       = 96 << 10 // encoded command; a work plan is the longest
	MaxSnapshotBytes      = 8 << 20
	MaxMachines           = 16384 // machines in a fleet
	maxObservationEntries = 512   // machines in one observation, changed and removed
	maxZones              = 64
	maxUplinkWindows      = 256
	maxReasonBytes        = 200 // reason given by an operator
)

// Command is one entry of the replicated log. Exactly one of the pointers is set.
type Command struct {
	// GroupTime is the time of the consensus group. It advances only while there is a leader, so that
	// it never runs ahead of elapsed time: each leader counts it on its own monotonic clock, starting
	// at State.Now when it took over.
	GroupTime time.Duration `cbor:"1,keyasint"`
	WallTime  Timestamp     `cbor:"2,keyasint"` // the leader's wall time, used only for deadlines and uplink windows

	LoadPlan    *LoadPlan       `cbor:"3,keyasint,omitempty"`
	Observation *Observation    `cbor:"4,keyasint,omitempty"`
	Request     *Request        `cbor:"5,keyasint,omitempty"`
	Halt        *Halt           `cbor:"6,keyasint,omitempty"`
	Resume      *Resume         `cbor:"7,keyasint,omitempty"`
	Uplinks     *UplinkCalendar `cbor:"8,keyasint,omitempty"`
	AdoptName   *AdoptName      `cbor:"9,keyasint,omitempty"`
	DropLease   *DropLease      `cbor:"10,keyasint,omitempty"`
}

// LoadPlan puts a work plan in force. With a nil Plan no further lease is granted.
type LoadPlan struct {
	// Version is the version of the rule set with the plan. It has to be higher than the last one.
	Version uint64 `cbor:"1,keyasint"`
	Plan    *Plan  `cbor:"2,keyasint,omitempty"`
}

// Kind is the kind of a machine.
type Kind uint8

// Kinds of machines.
const (
	Node   Kind = iota // edge node
	Server             // rating server
)

func (k Kind) String() string { return enumName(k, "edge nodes", "rating servers") }

// Phase is the state of a machine as observed from outside.
type Phase uint8

// Phases of a machine.
const (
	PhaseGone     Phase = iota // not reachable, or not listed
	PhaseCold                  // reachable, in slow start
	PhaseWarm                  // in service
	PhaseDraining              // accepts no new requests and still has requests in flight
	PhaseIdle                  // accepts no new requests, receives none and has none in flight
)

func (p Phase) String() string { return enumName(p, "gone", "cold", "warm", "leaving", "idle") }

func enumName[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("unknown (%d)", v)
}

// Machine is the state of one machine as observed from outside; it never comes from the machine
// itself.
type Machine struct {
	_        struct{} `cbor:",toarray"`
	Host     string   // name of the host in the plan
	Name     string   // name of the edge node, or UID of the rating server
	Kind     Kind
	Zone     string
	Index    int    // position of an edge node in the ring of all edge nodes; 0 for a rating server
	Voter    bool   // voter of the consensus group
	Capacity uint32 // requests per second when warm
	Load     uint32 // value served per second, in thousandths
	Phase    Phase
}

// ZoneState is the observed state of a zone.
type ZoneState uint8

// States of a zone.
const (
	ZoneHealthy ZoneState = iota
	ZoneEvacuated
	ZoneRecovering
	ZoneClosed // closed by an operator: its capacity is not counted, and it is no fault
)

func (z ZoneState) String() string { return enumName(z, "whole", "left", "returning", "closed") }

// Zone is the observed state of one zone.
type Zone struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	State ZoneState
}

// Observation is what the leader observed of the fleet: the changes since the previous observation.
// Whatever it does not list is unchanged as of MeasuredAt, unless Partial is set.
type Observation struct {
	// Base is the number of observations applied before this one. An observation with another base
	// was meant for another state and is rejected.
	Base           uint64        `cbor:"1,keyasint"`
	MeasuredAt     time.Duration `cbor:"2,keyasint"`           // group time before the measurement began
	Partial        bool          `cbor:"3,keyasint,omitempty"` // further changes did not fit
	RingSize       int           `cbor:"4,keyasint"`           // number of positions in the ring of all edge nodes
	Machines       []Machine     `cbor:"5,keyasint,omitempty"` // new and changed machines
	Removed        []string      `cbor:"6,keyasint,omitempty"` // hosts that are no longer part of the fleet
	Zones          []Zone        `cbor:"7,keyasint,omitempty"` // all zones that are not healthy
	ServedFraction Fraction      `cbor:"8,keyasint"`           // fraction of the offered value served in the last second
	ServedUnknown  bool          `cbor:"9,keyasint,omitempty"` // ServedFraction is not known
	// NoMajorityDuration is the time for which the consensus group had no majority before the
	// observation.
	NoMajorityDuration time.Duration `cbor:"10,keyasint,omitempty"`
}

// RequestType is the type of an agent's request.
type RequestType uint8

// Types of requests. All but RequestPoll and RequestAcquire carry the lease's fencing token. The
// leader answers a RequestPoll directly; it is not put into the log.
const (
	RequestPoll           RequestType = iota // asks for the state of the lease
	RequestAcquire                           // requests the lease for a process, for the first time or again
	RequestStartDrain                        // asks to begin the drain
	RequestStartWork                         // asks to leave service after the drain
	RequestFinishWork                        // reports that the machine is back from its work
	RequestConfirmUndrain                    // reports that the machine serves: it was undrained or never began its drain
)

func (t RequestType) String() string {
	return enumName(t, "poll", "ask", "begin", "go", "back", "here")
}

// Request is a request of a machine's agent. The agent may act only after the request has been
// applied.
type Request struct {
	Host         string      `cbor:"1,keyasint"`
	Name         string      `cbor:"2,keyasint"` // current name of the node or UID of the server
	Type         RequestType `cbor:"3,keyasint"`
	FencingToken uint64      `cbor:"4,keyasint,omitempty"`
	Nonce        uint64      `cbor:"5,keyasint,omitempty"` // random number of the process, set for RequestAcquire
}

// Halt stops all grants and recalls the machines that drain.
type Halt struct {
	Reason string `cbor:"1,keyasint"` // shown to operators; empty means "by hand"
}

// Resume ends a halt, whether an operator or a fault caused it.
type Resume struct {
	Reason string `cbor:"1,keyasint"` // recorded in the log only
}

// UplinkWindow is a time in which a zone is without its uplink or needs all its machines.
type UplinkWindow struct {
	_     struct{} `cbor:",toarray"`
	Zone  string
	Start Timestamp
	End   Timestamp
}

// UplinkCalendar replaces the list of all uplink windows.
type UplinkCalendar struct {
	Windows []UplinkWindow `cbor:"1,keyasint"`
}

// AdoptName is an operator's order that binds a name unknown to the fleet to a host.
type AdoptName struct {
	Host string `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"` // name under which the host's machine is observed now
}

// DropLease is an operator's order that ends the lease of a machine that is gone and will not
// return.
type DropLease struct {
	Host string `cbor:"1,keyasint"`
}

var (
	encoder = canonical.Encoder
	decoder = canonical.Limits{MaxArrayElements: MaxMachines, MaxMapPairs: 64, MaxNestedLevels: 8}.Decoder()
)

// Encode validates the command and returns it in canonical CBOR.
func (c *Command) Encode() ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	raw, err := encoder.Marshal(c)
	if err == nil && len(raw) > MaxCommandBytes {
		err = &SpoiltError{What: "command", Reason: fmt.Sprintf("%d bytes", len(raw)), Hint: "list hosts as ranges"}
	}
	return raw, err
}

// DecodeCommand decodes a command. It rejects one with any invalid value.
func DecodeCommand(raw []byte) (*Command, error) {
	if len(raw) > MaxCommandBytes {
		return nil, malformed("command", "%d bytes", len(raw))
	}
	c := &Command{}
	if err := decoder.Unmarshal(raw, c); err != nil {
		return nil, malformed("command", "%s", oneLine(err))
	}
	return c, c.check()
}

func (c *Command) check() error {
	fieldsSet := 0
	for _, set := range []bool{c.LoadPlan != nil, c.Observation != nil, c.Request != nil, c.Halt != nil,
		c.Resume != nil, c.Uplinks != nil, c.AdoptName != nil, c.DropLease != nil} {
		if set {
			fieldsSet++
		}
	}
	switch {
	case fieldsSet != 1:
		return malformed("command", "%d fields are set, want exactly 1", fieldsSet)
	case c.GroupTime < 0 || c.WallTime < 0:
		return malformed("command", "negative time")
	case c.LoadPlan != nil && c.LoadPlan.Plan != nil:
		return c.LoadPlan.Plan.Check()
	case c.Observation != nil:
		return c.Observation.check()
	case c.Request != nil:
		if req := c.Request; !validName(req.Host) || !validName(req.Name) || req.Type < RequestAcquire ||
			req.Type > RequestConfirmUndrain || (req.Type == RequestAcquire && req.Nonce == 0) {
			return malformed("request", "host %q, type %v", req.Host, req.Type)
		}
	case c.Halt != nil && len(c.Halt.Reason) > maxReasonBytes, c.Resume != nil && len(c.Resume.Reason) > maxReasonBytes:
		return malformed("order", "reason longer than %d bytes", maxReasonBytes)
	case c.Uplinks != nil:
		return checkUplinks(c.Uplinks.Windows)
	case c.AdoptName != nil && (!validName(c.AdoptName.Host) || !validName(c.AdoptName.Name)),
		c.DropLease != nil && !validName(c.DropLease.Host):
		return malformed("order", "invalid host name")
	}
	return nil
}

func checkUplinks(windows []UplinkWindow) error {
	if len(windows) > maxUplinkWindows {
		return malformed("uplinks", "%d windows", len(windows))
	}
	for _, window := range windows {
		if !validName(window.Zone) || window.Start < 0 || window.End < window.Start {
			return malformed("uplinks", "window of zone %q from %v to %v", window.Zone, window.Start, window.End)
		}
	}
	return nil
}

func (o *Observation) check() error {
	if o.MeasuredAt < 0 || o.NoMajorityDuration < 0 || o.ServedFraction < 0 || o.ServedFraction > 1000 ||
		o.RingSize < 0 || o.RingSize > MaxMachines ||
		len(o.Machines)+len(o.Removed) > maxObservationEntries || len(o.Zones) > maxZones {
		return malformed("observation", "value out of range")
	}
	for _, m := range o.Machines {
		if err := m.check(); err != nil {
			return err
		}
	}
	for _, host := range o.Removed {
		if !validName(host) {
			return malformed("observation", "removed host %q", host)
		}
	}
	return checkZones(o.Zones)
}

func (m *Machine) check() error {
	if !validName(m.Host) || !validName(m.Name) || !validName(m.Zone) || m.Kind > Server ||
		m.Phase > PhaseIdle || m.Index < 0 || m.Index >= MaxMachines || m.Capacity == 0 {
		return malformed("machine", "host %q, zone %q", m.Host, m.Zone)
	}
	return nil
}

func checkZones(zones []Zone) error {
	for _, zone := range zones {
		if !validName(zone.Name) || zone.State > ZoneClosed {
			return malformed("zone", "%q, %v", zone.Name, zone.State)
		}
	}
	return nil
}
