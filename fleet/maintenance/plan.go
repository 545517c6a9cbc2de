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
	MaxPlanBytes = 64 << 10 // bytes of its text
	MaxPlanHosts = 8192     // named by its jobs, ranges spread out
	jobsMost     = 256
	apartMost    = 256
	sizesMost    = 16
	sizeMost     = 1024 // nodes of a customer's set
	nameMost     = 64   // bytes of a host's, a job's or a group's name
	spanMost     = 7 * 24 * time.Hour
)

// Plan is the work plan: which hosts have to be taken out, for how long and until when, and what
// holds meanwhile. It stands in a rule set under [work], or alone as a document.
type Plan struct {
	// What a turn takes beside its work, as expected: what takes longer is shown, not ended. Grant
	// is no expectation: a turn whose drain has not begun in that time is given up.
	GrantTimeout   Duration `toml:"grant" cbor:"1,keyasint"`
	DrainDuration  Duration `toml:"drain" cbor:"2,keyasint"`
	WarmUpDuration Duration `toml:"warm" cbor:"3,keyasint"`

	Bounds             Bounds              `toml:"bounds" cbor:"4,keyasint"`
	HaltPolicy         HaltPolicy          `toml:"trouble" cbor:"5,keyasint"`
	Jobs               []Job               `toml:"jobs" cbor:"6,keyasint"`
	AntiAffinityGroups []AntiAffinityGroup `toml:"apart,omitempty" cbor:"7,keyasint,omitempty"`
}

// Bounds hold at every moment, for all that is away, whether for work or not.
type Bounds struct {
	MaxZoneFraction     Fraction `toml:"zone" cbor:"1,keyasint"` // of the nodes of a zone, and of its servers
	MaxSetFraction      Fraction `toml:"set" cbor:"2,keyasint"`  // of the nodes of a customer's set
	SetSizes            []int    `toml:"sets" cbor:"3,keyasint"` // sizes of customers' sets, in nodes in a row
	MaxCapacityFraction Fraction `toml:"warm" cbor:"4,keyasint"` // of what is warm after the worst zone's loss
	AllowOne            bool     `toml:"one" cbor:"5,keyasint"`  // where a part of a zone or set is less than a machine, one may go
	UplinkMargin        Duration `toml:"uplink" cbor:"6,keyasint"`
}

// Trouble says by what evidence all is halted, and how it goes on.
type HaltPolicy struct {
	MaxServedDrop         Fraction `toml:"served" cbor:"1,keyasint"` // by which the served share may fall
	MaxNoMajorityDuration Duration `toml:"lost" cbor:"2,keyasint"`   // for which the council may have no majority
	ResumeMode            string   `toml:"resume" cbor:"3,keyasint"` // "rule" or "hand"
	ResumeDelay           Duration `toml:"calm" cbor:"4,keyasint"`   // without trouble before it goes on by rule
}

// Job is one kind of work on some hosts.
type Job struct {
	Name         string    `toml:"name" cbor:"1,keyasint"`
	Hosts        []string  `toml:"hosts" cbor:"2,keyasint"` // names; "edge-[001-120]" is a range
	WorkDuration Duration  `toml:"length" cbor:"3,keyasint"`
	Deadline     Timestamp `toml:"deadline,omitempty" cbor:"4,keyasint"` // by which each is back; none is whenever
}

// Apart is hosts of which only so many may be out together: a hall's spread, the two sources of a
// provision. Voters of the council are kept apart without being named.
type AntiAffinityGroup struct {
	Name           string   `toml:"name" cbor:"1,keyasint"`
	Hosts          []string `toml:"hosts" cbor:"2,keyasint"`
	MaxUnavailable int      `toml:"most" cbor:"3,keyasint"`
}

// How a halt by evidence ends.
const (
	ResumeAutomatically = "rule"
	ResumeByOperator    = "hand"
)

// Span is a length of time, written like "20m".
type Duration time.Duration

// UnmarshalText reads a span.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)
	return err
}

// MarshalText writes a span.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Part is a part of a whole in thousandths, written like 0.25.
type Fraction int

// UnmarshalText reads a part.
func (p *Fraction) UnmarshalText(text []byte) error {
	v, err := strconv.ParseFloat(string(text), 64)
	if err == nil && !(math.Abs(v) <= 1000) {
		err = fmt.Errorf("%s is no part of a whole", text)
	}
	*p = Fraction(math.Round(v * 1000))
	return err
}

// MarshalText writes a part.
func (p Fraction) MarshalText() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(p)/1000, 'f', -1, 64), nil
}

// of is the whole machines of n that a part allows.
func (p Fraction) of(n int) int { return n * int(p) / 1000 }

// Moment is a wall time in Unix milliseconds, written like "2026-10-03T04:00:00+02:00"; 0 is none.
type Timestamp int64

// UnmarshalText reads a moment; one without an offset would mean another time at each node.
func (m *Timestamp) UnmarshalText(text []byte) error {
	t, err := time.Parse(time.RFC3339, string(text))
	*m = Timestamp(t.UnixMilli())
	return err
}

// MarshalText writes a moment.
func (m Timestamp) MarshalText() ([]byte, error) {
	return time.UnixMilli(int64(m)).UTC().AppendFormat(nil, time.RFC3339), nil
}

func (m Timestamp) String() string {
	text, _ := m.MarshalText() // of a moment there is always one
	return string(text)
}

// Parse reads a work plan that stands alone. It is strict: a key that is not known is refused.
func Parse(text []byte) (*Plan, error) {
	if len(text) > MaxPlanBytes {
		return nil, &PlanError{Key: "document", Reason: fmt.Sprintf("%d bytes", len(text)), Hint: fmt.Sprintf("keep it under %d, with ranges of hosts", MaxPlanBytes)}
	}
	p := &Plan{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(p); err != nil {
		var strict *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			return nil, &PlanError{Key: strings.Join(strict.Errors[0].Key(), "."), Reason: "the key is not known", Hint: "take it out or mend its name"}
		case errors.As(err, &wrong):
			row, _ := wrong.Position()
			return nil, &PlanError{Key: cmp.Or(strings.Join(wrong.Key(), "."), "document"), Reason: fmt.Sprintf("line %d: %s", row, oneLine(err)), Hint: "mend that line"}
		}
		return nil, &PlanError{Key: "document", Reason: oneLine(err), Hint: "mend it"}
	}
	if len(p.AntiAffinityGroups) == 0 {
		p.AntiAffinityGroups = nil // written as none, or not at all
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
		v    Duration
		zero bool
	}{{"grant", p.GrantTimeout, false}, {"drain", p.DrainDuration, false}, {"warm", p.WarmUpDuration, true}, {"bounds.uplink", p.Bounds.UplinkMargin, true},
		{"trouble.lost", p.HaltPolicy.MaxNoMajorityDuration, false}, {"trouble.calm", p.HaltPolicy.ResumeDelay, true}}
	for _, s := range spans {
		if err := checkSpan(s.key, s.v, s.zero); err != nil {
			return err
		}
	}
	parts := []struct {
		key string
		v   Fraction
	}{{"bounds.zone", p.Bounds.MaxZoneFraction}, {"bounds.set", p.Bounds.MaxSetFraction}, {"bounds.warm", p.Bounds.MaxCapacityFraction}, {"trouble.served", p.HaltPolicy.MaxServedDrop}}
	for _, s := range parts {
		if s.v < 1 || s.v > 1000 {
			return &PlanError{Key: s.key, Reason: fmt.Sprintf("%g is no part from 0.001 to 1", float64(s.v)/1000), Hint: "name one; there is no bound by default"}
		}
	}
	if r := p.HaltPolicy.ResumeMode; r != ResumeAutomatically && r != ResumeByOperator {
		return &PlanError{Key: "trouble.resume", Reason: fmt.Sprintf("%q is neither rule nor hand", r), Hint: "say how work goes on after trouble"}
	}
	if n := len(p.Bounds.SetSizes); n == 0 || n > sizesMost {
		return &PlanError{Key: "bounds.sets", Reason: fmt.Sprintf("%d sizes", n), Hint: fmt.Sprintf("name 1 to %d sizes of customers' sets", sizesMost)}
	}
	for _, s := range p.Bounds.SetSizes {
		if s < 1 || s > sizeMost {
			return &PlanError{Key: "bounds.sets", Reason: fmt.Sprintf("a set of %d nodes", s), Hint: fmt.Sprintf("name sizes from 1 to %d", sizeMost)}
		}
	}
	return nil
}

func checkSpan(key string, s Duration, zero bool) error {
	if s < 0 || (s == 0 && !zero) || time.Duration(s) > spanMost {
		return &PlanError{Key: key, Reason: fmt.Sprintf("%v is no span up to %v", time.Duration(s), spanMost), Hint: "name one, like \"30s\""}
	}
	return nil
}
