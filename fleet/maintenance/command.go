package maintenance

import (
	"fmt"
	"time"

	"sloestile/internal/canonical"
)

// Bounds of commands and of what they hold.
const (
	CommandMost  = 96 << 10 // bytes of a command; a work plan is the longest
	SnapshotMost = 8 << 20
	MachinesMost = 16384 // of a fleet
	lookMost     = 512   // machines in one look
	zonesMost    = 64
	uplinksMost  = 256
	whyMost      = 200 // bytes of an operator's reason
)

// Command is one entry of the replicated log. Exactly one of its kinds is set.
type Command struct {
	// At is the council's time. It goes on only while there is a leader, and never faster than any
	// clock: each leader counts it on its own monotonic clock, from the State's Now as it took over.
	At   time.Duration `cbor:"1,keyasint"`
	Wall Moment        `cbor:"2,keyasint"` // the leader's wall time, for deadlines and windows alone

	Load    *Load    `cbor:"3,keyasint,omitempty"`
	Look    *Look    `cbor:"4,keyasint,omitempty"`
	Word    *Word    `cbor:"5,keyasint,omitempty"`
	Halt    *Halt    `cbor:"6,keyasint,omitempty"`
	Resume  *Resume  `cbor:"7,keyasint,omitempty"`
	Uplinks *Uplinks `cbor:"8,keyasint,omitempty"`
	Adopt   *Adopt   `cbor:"9,keyasint,omitempty"`
	Drop    *Drop    `cbor:"10,keyasint,omitempty"`
}

// Load puts a work plan in force; without one, nothing more is let out.
type Load struct {
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
	Gone    Phase = iota // no word of it, or not in the list
	Cold                 // it is there, and held to the cold rule
	Warm                 // it serves
	Leaving              // it takes nothing new and has work left
	Idle                 // it takes nothing new, nobody sends to it, and it has no work
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
	Whole ZoneState = iota
	Left
	Returning
	Closed // by hand: it counts for nothing, and is no trouble
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
type Look struct {
	After    uint64        `cbor:"1,keyasint"` // the number of looks before it; others were meant for another state
	From     time.Duration `cbor:"2,keyasint"` // the council's time before anything of it was measured
	Partial  bool          `cbor:"3,keyasint,omitempty"`
	Group    int           `cbor:"4,keyasint"` // edge nodes in the group, by which sets go round
	Machines []Machine     `cbor:"5,keyasint,omitempty"`
	Removed  []string      `cbor:"6,keyasint,omitempty"`  // hosts that are no longer of the fleet
	Zones    []Zone        `cbor:"7,keyasint,omitempty"`  // all that are not whole
	Served   Part          `cbor:"8,keyasint"`            // of what was offered in the last second
	Blind    bool          `cbor:"9,keyasint,omitempty"`  // Served is not known
	Lost     time.Duration `cbor:"10,keyasint,omitempty"` // for which the council had no majority before it
}

// Verb is what a machine says of its turn.
type Verb uint8

// The verbs. Each but Poll and Ask says under which fencing number. A Poll is answered by the leader
// and not put into the log.
const (
	Poll  Verb = iota // what has become of its turn
	Ask               // a process asks for its host's turn for the first time, or anew
	Begin             // it is to begin its drain
	Go                // drained, it is to go out
	Back              // it is back from its work
	Here              // it has come back from its drain, or never begun it, and serves
)

func (v Verb) String() string { return name(v, "poll", "ask", "begin", "go", "back", "here") }

// Word is what a machine's agent says. Only its being applied lets the agent act.
type Word struct {
	Host  string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"` // as it runs now
	Verb  Verb   `cbor:"3,keyasint"`
	Fence uint64 `cbor:"4,keyasint,omitempty"`
	Nonce uint64 `cbor:"5,keyasint,omitempty"` // of a process, at Ask
}

// Halt lets nothing new out, and has those that drain come back.
type Halt struct {
	Why string `cbor:"1,keyasint"`
}

// Resume ends a halt, by hand or by evidence.
type Resume struct {
	Why string `cbor:"1,keyasint"`
}

// Uplink is a window in which a site is without its uplink, or needs its machines whole.
type Uplink struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	From Moment
	To   Moment
}

// Uplinks is the calendar of windows, in place of the one before.
type Uplinks struct {
	Windows []Uplink `cbor:"1,keyasint"`
}

// Adopt says by hand that a host runs under another name than the fleet knew.
type Adopt struct {
	Host string `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"` // under which it is seen now
}

// Drop says by hand that a machine that is gone comes not back to end its turn.
type Drop struct {
	Host string `cbor:"1,keyasint"`
}

var (
	encoder = canonical.Encoder
	decoder = canonical.Limits{MaxArrayElements: MachinesMost, MaxMapPairs: 64, MaxNestedLevels: 8}.Decoder()
)

// Encode gives a command's bytes, in canonical form.
func (c *Command) Encode() ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	raw, err := encoder.Marshal(c)
	if err == nil && len(raw) > CommandMost {
		err = &SpoiltError{What: "command", Why: fmt.Sprintf("%d bytes", len(raw)), Do: "name hosts by ranges"}
	}
	return raw, err
}

// DecodeCommand reads a command. One that holds anything that can't be is refused whole.
func DecodeCommand(raw []byte) (*Command, error) {
	if len(raw) > CommandMost {
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
	for _, set := range []bool{c.Load != nil, c.Look != nil, c.Word != nil, c.Halt != nil, c.Resume != nil, c.Uplinks != nil, c.Adopt != nil, c.Drop != nil} {
		if set {
			kinds++
		}
	}
	switch {
	case kinds != 1:
		return spoilt("command", "%d kinds in one", kinds)
	case c.At < 0 || c.Wall < 0:
		return spoilt("command", "a time below zero")
	case c.Load != nil && c.Load.Plan != nil:
		return c.Load.Plan.Check()
	case c.Look != nil:
		return c.Look.check()
	case c.Word != nil:
		if w := c.Word; !nameGood(w.Host) || !nameGood(w.Name) || w.Verb < Ask || w.Verb > Here || (w.Verb == Ask && w.Nonce == 0) {
			return spoilt("word", "of host %q, %v", w.Host, w.Verb)
		}
	case c.Halt != nil && len(c.Halt.Why) > whyMost, c.Resume != nil && len(c.Resume.Why) > whyMost:
		return spoilt("order", "a reason of over %d bytes", whyMost)
	case c.Uplinks != nil:
		return checkUplinks(c.Uplinks.Windows)
	case c.Adopt != nil && (!nameGood(c.Adopt.Host) || !nameGood(c.Adopt.Name)), c.Drop != nil && !nameGood(c.Drop.Host):
		return spoilt("order", "no host's name")
	}
	return nil
}

func checkUplinks(windows []Uplink) error {
	if len(windows) > uplinksMost {
		return spoilt("uplinks", "%d windows", len(windows))
	}
	for _, u := range windows {
		if !nameGood(u.Zone) || u.From < 0 || u.To < u.From {
			return spoilt("uplinks", "a window of zone %q from %v to %v", u.Zone, u.From, u.To)
		}
	}
	return nil
}

func (l *Look) check() error {
	if l.From < 0 || l.Lost < 0 || l.Served < 0 || l.Served > 1000 || l.Group < 0 || l.Group > MachinesMost ||
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
	if !nameGood(m.Host) || !nameGood(m.Name) || !nameGood(m.Zone) || m.Kind > Server || m.Phase > Idle || m.Index < 0 || m.Index >= MachinesMost || m.Capacity == 0 {
		return spoilt("machine", "host %q, zone %q", m.Host, m.Zone)
	}
	return nil
}

func checkZones(zones []Zone) error {
	for _, z := range zones {
		if !nameGood(z.Name) || z.State > Closed {
			return spoilt("zone", "%q, %v", z.Name, z.State)
		}
	}
	return nil
}
