// Package maintenance is the pure part of taking machines out for work in an order that the nodes settle:
// a work plan, and the state machine that gives turns by it. The machine lives in a replicated log:
// commands go in, the same at each replica, and states come out. It has no clock, no socket and no
// goroutine, and reckons in whole numbers, so that all replicas come to the same.
package maintenance

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Bounds of a work plan.
const (
	PlanMost  = 64 << 10 // bytes of its text
	HostsMost = 8192     // named by its jobs, ranges spread out
	jobsMost  = 256
	apartMost = 256
	sizesMost = 16
	sizeMost  = 1024 // nodes of a customer's set
	nameMost  = 64   // bytes of a host's, a job's or a group's name
	spanMost  = 7 * 24 * time.Hour
)

// Plan is the work plan: which hosts have to be taken out, for how long and until when, and what
// holds meanwhile. It stands in a rule set under [work], or alone as a document.
type Plan struct {
	// What a turn takes beside its work, as expected: what takes longer is shown, not ended. Grant
	// is no expectation: a turn whose drain has not begun in that time is given up.
	Grant Span `toml:"grant" cbor:"1,keyasint"`
	Drain Span `toml:"drain" cbor:"2,keyasint"`
	Warm  Span `toml:"warm" cbor:"3,keyasint"`

	Bounds  Bounds  `toml:"bounds" cbor:"4,keyasint"`
	Trouble Trouble `toml:"trouble" cbor:"5,keyasint"`
	Jobs    []Job   `toml:"jobs" cbor:"6,keyasint"`
	Apart   []Apart `toml:"apart,omitempty" cbor:"7,keyasint,omitempty"`
}

// Bounds hold at every moment, for all that is away, whether for work or not.
type Bounds struct {
	Zone   Part  `toml:"zone" cbor:"1,keyasint"` // of the nodes of a zone, and of its servers
	Set    Part  `toml:"set" cbor:"2,keyasint"`  // of the nodes of a customer's set
	Sets   []int `toml:"sets" cbor:"3,keyasint"` // sizes of customers' sets, in nodes in a row
	Warm   Part  `toml:"warm" cbor:"4,keyasint"` // of what is warm after the worst zone's loss
	One    bool  `toml:"one" cbor:"5,keyasint"`  // where a part of a zone or set is less than a machine, one may go
	Uplink Span  `toml:"uplink" cbor:"6,keyasint"`
}

// Trouble says by what evidence all is halted, and how it goes on.
type Trouble struct {
	Served Part   `toml:"served" cbor:"1,keyasint"` // by which the served share may fall
	Lost   Span   `toml:"lost" cbor:"2,keyasint"`   // for which the council may have no majority
	Resume string `toml:"resume" cbor:"3,keyasint"` // "rule" or "hand"
	Calm   Span   `toml:"calm" cbor:"4,keyasint"`   // without trouble before it goes on by rule
}

// Job is one kind of work on some hosts.
type Job struct {
	Name     string   `toml:"name" cbor:"1,keyasint"`
	Hosts    []string `toml:"hosts" cbor:"2,keyasint"` // names; "edge-[001-120]" is a range
	Length   Span     `toml:"length" cbor:"3,keyasint"`
	Deadline Moment   `toml:"deadline,omitempty" cbor:"4,keyasint"` // by which each is back; none is whenever
}

// Apart is hosts of which only so many may be out together: a hall's spread, the two sources of a
// provision. Voters of the council are kept apart without being named.
type Apart struct {
	Name  string   `toml:"name" cbor:"1,keyasint"`
	Hosts []string `toml:"hosts" cbor:"2,keyasint"`
	Most  int      `toml:"most" cbor:"3,keyasint"`
}

// How a halt by evidence ends.
const (
	ByRule = "rule"
	ByHand = "hand"
)

// Span is a length of time, written like "20m".
type Span time.Duration

// UnmarshalText reads a span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// MarshalText writes a span.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Part is a part of a whole in thousandths, written like 0.25.
type Part int

// UnmarshalText reads a part.
func (p *Part) UnmarshalText(text []byte) error {
	v, err := strconv.ParseFloat(string(text), 64)
	if err == nil && !(math.Abs(v) <= 1000) {
		err = fmt.Errorf("%s is no part of a whole", text)
	}
	*p = Part(math.Round(v * 1000))
	return err
}

// MarshalText writes a part.
func (p Part) MarshalText() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(p)/1000, 'f', -1, 64), nil
}

// of is the whole machines of n that a part allows.
func (p Part) of(n int) int { return n * int(p) / 1000 }

// Moment is a wall time in Unix milliseconds, written like "2026-10-03T04:00:00+02:00"; 0 is none.
type Moment int64

// UnmarshalText reads a moment; one without an offset would mean another time at each node.
func (m *Moment) UnmarshalText(text []byte) error {
	t, err := time.Parse(time.RFC3339, string(text))
	*m = Moment(t.UnixMilli())
	return err
}

// MarshalText writes a moment.
func (m Moment) MarshalText() ([]byte, error) {
	return time.UnixMilli(int64(m)).UTC().AppendFormat(nil, time.RFC3339), nil
}

func (m Moment) String() string {
	text, _ := m.MarshalText() // of a moment there is always one
	return string(text)
}

// Parse reads a work plan that stands alone. It is strict: a key that is not known is refused.
func Parse(text []byte) (*Plan, error) {
	if len(text) > PlanMost {
		return nil, &PlanError{Key: "document", Why: fmt.Sprintf("%d bytes", len(text)), Do: fmt.Sprintf("keep it under %d, with ranges of hosts", PlanMost)}
	}
	p := &Plan{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(p); err != nil {
		var strict *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			return nil, &PlanError{Key: strings.Join(strict.Errors[0].Key(), "."), Why: "the key is not known", Do: "take it out or mend its name"}
		case errors.As(err, &wrong):
			row, _ := wrong.Position()
			return nil, &PlanError{Key: cmp.Or(strings.Join(wrong.Key(), "."), "document"), Why: fmt.Sprintf("line %d: %s", row, oneLine(err)), Do: "mend that line"}
		}
		return nil, &PlanError{Key: "document", Why: oneLine(err), Do: "mend it"}
	}
	if len(p.Apart) == 0 {
		p.Apart = nil // written as none, or not at all
	}
	return p, p.Check()
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// Check tells whether a plan can be followed at all; its error is a *PlanError. Whether a fleet has
// the hosts, and the time, is said when it is loaded.
func (p *Plan) Check() error {
	_, err := compile(p)
	return err
}

func (p *Plan) check() error {
	spans := []struct {
		key  string
		v    Span
		zero bool
	}{{"grant", p.Grant, false}, {"drain", p.Drain, false}, {"warm", p.Warm, true}, {"bounds.uplink", p.Bounds.Uplink, true},
		{"trouble.lost", p.Trouble.Lost, false}, {"trouble.calm", p.Trouble.Calm, true}}
	for _, s := range spans {
		if err := checkSpan(s.key, s.v, s.zero); err != nil {
			return err
		}
	}
	parts := []struct {
		key string
		v   Part
	}{{"bounds.zone", p.Bounds.Zone}, {"bounds.set", p.Bounds.Set}, {"bounds.warm", p.Bounds.Warm}, {"trouble.served", p.Trouble.Served}}
	for _, s := range parts {
		if s.v < 1 || s.v > 1000 {
			return &PlanError{Key: s.key, Why: fmt.Sprintf("%g is no part from 0.001 to 1", float64(s.v)/1000), Do: "name one; there is no bound by default"}
		}
	}
	if r := p.Trouble.Resume; r != ByRule && r != ByHand {
		return &PlanError{Key: "trouble.resume", Why: fmt.Sprintf("%q is neither rule nor hand", r), Do: "say how work goes on after trouble"}
	}
	if n := len(p.Bounds.Sets); n == 0 || n > sizesMost {
		return &PlanError{Key: "bounds.sets", Why: fmt.Sprintf("%d sizes", n), Do: fmt.Sprintf("name 1 to %d sizes of customers' sets", sizesMost)}
	}
	for _, s := range p.Bounds.Sets {
		if s < 1 || s > sizeMost {
			return &PlanError{Key: "bounds.sets", Why: fmt.Sprintf("a set of %d nodes", s), Do: fmt.Sprintf("name sizes from 1 to %d", sizeMost)}
		}
	}
	return nil
}

func checkSpan(key string, s Span, zero bool) error {
	if s < 0 || (s == 0 && !zero) || time.Duration(s) > spanMost {
		return &PlanError{Key: key, Why: fmt.Sprintf("%v is no span up to %v", time.Duration(s), spanMost), Do: "name one, like \"30s\""}
	}
	return nil
}
