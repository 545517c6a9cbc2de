// Package maintenance is the replicated state machine that grants maintenance leases. A work plan
// (Plan) lists the hosts whose machines have to be taken out of service for a job, and the bounds
// on what may be unavailable at the same time. State applies the commands of the consensus group's
// log: plans, the leader's observations of the fleet, the requests of the machines' agents and the
// operators' orders. Agent runs beside each machine, sends its requests and turns the responses
// into actions: drain, undrain, leave service.
//
// The package has no clock, sockets or goroutines and computes the replicated state in integers
// only, so that all replicas reach the same state.
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

// Limits of a work plan.
const (
	MaxPlanBytes          = 64 << 10 // size of its text
	MaxPlanHosts          = 8192     // hosts named by its jobs, with ranges expanded
	maxJobs               = 256
	maxAntiAffinityGroups = 256
	maxSetSizes           = 16
	maxSetSize            = 1024               // nodes in a customer's set
	maxNameBytes          = 64                 // length of the name of a host, job or group
	maxDuration           = 7 * 24 * time.Hour // length of any duration in it
)

// Plan is the work plan: the hosts to take out of service, for how long and until when, and the
// bounds that hold meanwhile. It is the [work] section of a rule set, or a document of its own.
type Plan struct {
	// GrantTimeout is the time from the grant of a lease in which its drain has to begin; a lease
	// that has not started draining by then is released. DrainDuration and WarmUpDuration are
	// expected durations only: a stage that takes longer is reported as an overrun, not ended.
	GrantTimeout   Duration `toml:"grant" cbor:"1,keyasint"`
	DrainDuration  Duration `toml:"drain" cbor:"2,keyasint"`
	WarmUpDuration Duration `toml:"warm" cbor:"3,keyasint"`

	Bounds             Bounds              `toml:"bounds" cbor:"4,keyasint"`
	HaltPolicy         HaltPolicy          `toml:"trouble" cbor:"5,keyasint"`
	Jobs               []Job               `toml:"jobs" cbor:"6,keyasint"`
	AntiAffinityGroups []AntiAffinityGroup `toml:"apart,omitempty" cbor:"7,keyasint,omitempty"`
}

// Bounds limit what may be unavailable at any moment, for maintenance or for any other reason.
type Bounds struct {
	MaxZoneFraction Fraction `toml:"zone" cbor:"1,keyasint"` // fraction of a zone's edge nodes, and of its rating servers
	MaxSetFraction  Fraction `toml:"set" cbor:"2,keyasint"`  // fraction of the edge nodes in a customer's set
	SetSizes        []int    `toml:"sets" cbor:"3,keyasint"` // numbers of consecutive edge nodes in a customer's set
	// MaxCapacityFraction is a fraction of the capacity that would remain after the loss of the
	// largest zone; machines with that much capacity may be unavailable. It applies to edge nodes
	// and to rating servers separately.
	MaxCapacityFraction Fraction `toml:"warm" cbor:"4,keyasint"`
	// AllowOne permits one unavailable machine where a zone's or a set's fraction is less than a
	// whole machine, if the zone or set has at least two.
	AllowOne bool `toml:"one" cbor:"5,keyasint"`
	// UplinkMargin is the minimum time between the expected return of a machine and the start of its
	// zone's next uplink window.
	UplinkMargin Duration `toml:"uplink" cbor:"6,keyasint"`
}

// HaltPolicy defines which faults halt all work, and how work resumes.
type HaltPolicy struct {
	MaxServedDrop         Fraction `toml:"served" cbor:"1,keyasint"` // largest permitted drop of the served fraction
	MaxNoMajorityDuration Duration `toml:"lost" cbor:"2,keyasint"`   // longest permitted time without a majority
	ResumeMode            string   `toml:"resume" cbor:"3,keyasint"` // ResumeAutomatically or ResumeByOperator
	// ResumeDelay is the time without a fault after which work resumes automatically.
	ResumeDelay Duration `toml:"calm" cbor:"4,keyasint"`
}

// Job is one kind of work on a list of hosts.
type Job struct {
	Name         string   `toml:"name" cbor:"1,keyasint"`
	Hosts        []string `toml:"hosts" cbor:"2,keyasint"`  // names, or ranges like "edge-[001-120]"
	WorkDuration Duration `toml:"length" cbor:"3,keyasint"` // expected time out of service on each host
	// Deadline is the time by which each host has to be back in service; 0 means none.
	Deadline Timestamp `toml:"deadline,omitempty" cbor:"4,keyasint"`
}

// AntiAffinityGroup is a group of hosts of which a limited number may be unavailable together, for
// example servers that are spread over a hall, or the two nodes from which an edge node prefetches.
// The voters of the consensus group need not be listed: at most one of them may be unavailable.
type AntiAffinityGroup struct {
	Name           string   `toml:"name" cbor:"1,keyasint"`
	Hosts          []string `toml:"hosts" cbor:"2,keyasint"`
	MaxUnavailable int      `toml:"most" cbor:"3,keyasint"`
}

// Values of HaltPolicy.ResumeMode: how a halt that a fault caused ends.
const (
	ResumeAutomatically = "rule"
	ResumeByOperator    = "hand"
)

// Duration is a time span in nanoseconds, written like "20m" in a plan.
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText formats the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Fraction is a fraction in thousandths, written like 0.25 in a plan.
type Fraction int

// UnmarshalText parses a fraction.
func (f *Fraction) UnmarshalText(text []byte) error {
	v, err := strconv.ParseFloat(string(text), 64)
	if err == nil && !(math.Abs(v) <= 1000) {
		err = fmt.Errorf("%s is not a fraction", text)
	}
	*f = Fraction(math.Round(v * 1000))
	return err
}

// MarshalText formats the fraction.
func (f Fraction) MarshalText() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(f)/1000, 'f', -1, 64), nil
}

// countOf returns the fraction of total, rounded down to whole machines.
func (f Fraction) countOf(total int) int { return total * int(f) / 1000 }

// Timestamp is a wall time in Unix milliseconds, written like "2026-10-03T04:00:00+02:00"; 0 means
// none.
type Timestamp int64

// UnmarshalText parses a timestamp. The offset is required: without one the time would depend on
// the node that reads it.
func (ts *Timestamp) UnmarshalText(text []byte) error {
	t, err := time.Parse(time.RFC3339, string(text))
	*ts = Timestamp(t.UnixMilli())
	return err
}

// MarshalText formats the timestamp in UTC.
func (ts Timestamp) MarshalText() ([]byte, error) {
	return time.UnixMilli(int64(ts)).UTC().AppendFormat(nil, time.RFC3339), nil
}

func (ts Timestamp) String() string {
	text, _ := ts.MarshalText() // MarshalText never fails
	return string(text)
}

// Parse parses a work plan that is a document of its own. It rejects unknown keys.
func Parse(text []byte) (*Plan, error) {
	if len(text) > MaxPlanBytes {
		return nil, &PlanError{Key: "document", Reason: fmt.Sprintf("%d bytes", len(text)),
			Hint: fmt.Sprintf("keep it under %d bytes, list hosts as ranges", MaxPlanBytes)}
	}
	p := &Plan{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(p); err != nil {
		var unknownKeyErr *toml.StrictMissingError
		var decodeErr *toml.DecodeError
		switch {
		case errors.As(err, &unknownKeyErr):
			return nil, &PlanError{Key: strings.Join(unknownKeyErr.Errors[0].Key(), "."), Reason: "unknown key",
				Hint: "remove it or correct its name"}
		case errors.As(err, &decodeErr):
			line, _ := decodeErr.Position()
			return nil, &PlanError{Key: cmp.Or(strings.Join(decodeErr.Key(), "."), "document"),
				Reason: fmt.Sprintf("line %d: %s", line, oneLine(err)), Hint: "correct that line"}
		}
		return nil, &PlanError{Key: "document", Reason: oneLine(err), Hint: "correct it"}
	}
	if len(p.AntiAffinityGroups) == 0 {
		p.AntiAffinityGroups = nil // an empty list equals an absent one
	}
	return p, p.Check()
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// Check reports whether the plan is valid by itself; its error is a *PlanError. Whether the fleet
// has the hosts and can meet the deadlines is determined by the forecast when the plan is loaded.
func (p *Plan) Check() error {
	_, err := compile(p)
	return err
}

func (p *Plan) checkValues() error {
	durations := []struct {
		key         string
		value       Duration
		zeroAllowed bool
	}{{"grant", p.GrantTimeout, false}, {"drain", p.DrainDuration, false}, {"warm", p.WarmUpDuration, true},
		{"bounds.uplink", p.Bounds.UplinkMargin, true},
		{"trouble.lost", p.HaltPolicy.MaxNoMajorityDuration, false}, {"trouble.calm", p.HaltPolicy.ResumeDelay, true}}
	for _, d := range durations {
		if err := checkDuration(d.key, d.value, d.zeroAllowed); err != nil {
			return err
		}
	}
	fractions := []struct {
		key   string
		value Fraction
	}{{"bounds.zone", p.Bounds.MaxZoneFraction}, {"bounds.set", p.Bounds.MaxSetFraction},
		{"bounds.warm", p.Bounds.MaxCapacityFraction}, {"trouble.served", p.HaltPolicy.MaxServedDrop}}
	for _, f := range fractions {
		if f.value < 1 || f.value > 1000 {
			return &PlanError{Key: f.key,
				Reason: fmt.Sprintf("%g is not a fraction from 0.001 to 1", float64(f.value)/1000),
				Hint:   "set one, there is no default"}
		}
	}
	if mode := p.HaltPolicy.ResumeMode; mode != ResumeAutomatically && mode != ResumeByOperator {
		return &PlanError{Key: "trouble.resume", Reason: fmt.Sprintf("%q is neither rule nor hand", mode),
			Hint: "choose how work resumes after a fault"}
	}
	if n := len(p.Bounds.SetSizes); n == 0 || n > maxSetSizes {
		return &PlanError{Key: "bounds.sets", Reason: fmt.Sprintf("%d sizes", n),
			Hint: fmt.Sprintf("list 1 to %d sizes of customers' sets", maxSetSizes)}
	}
	for _, size := range p.Bounds.SetSizes {
		if size < 1 || size > maxSetSize {
			return &PlanError{Key: "bounds.sets", Reason: fmt.Sprintf("a set of %d nodes", size),
				Hint: fmt.Sprintf("list sizes from 1 to %d", maxSetSize)}
		}
	}
	return nil
}

func checkDuration(key string, d Duration, zeroAllowed bool) error {
	if d < 0 || (d == 0 && !zeroAllowed) || time.Duration(d) > maxDuration {
		return &PlanError{Key: key,
			Reason: fmt.Sprintf("%v is not a duration up to %v", time.Duration(d), maxDuration),
			Hint:   "set one, like \"30s\""}
	}
	return nil
}
