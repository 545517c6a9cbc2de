// Package simwire converts between the text protocol of the operators' simulator and the types of package control. A
// Decoder reads batches of events; AppendAction, AppendBailOut and AppendEnd write the replies.
package simwire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"sloestile/control"
)

// Open starts an instance. An instance is one controller that the simulator runs.
type Open struct {
	Seed     uint64
	Settings control.Settings
}

// Input is one event of a batch for one instance. Exactly one of Open, PowerOff and Event is set.
type Input struct {
	Instance int // number of the instance
	Open     *Open
	PowerOff bool // the instance ends without a graceful shutdown
	Event    control.Event
}

// Batch is the events of one instant.
type Batch struct {
	Now    time.Duration // simulated time
	Inputs []Input
}

// Decoder reads batches and counts lines for its errors.
type Decoder struct {
	r    *bufio.Reader
	line int
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: bufio.NewReaderSize(r, 1<<20)} }

// nextLine returns the next line without its line break. It returns io.EOF only if no text was left.
func (d *Decoder) nextLine() (string, error) {
	s, err := d.r.ReadString('\n')
	if err != nil && (err != io.EOF || s == "") {
		return "", err
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), nil
}

func (d *Decoder) lineError(name string, err error) error {
	return fmt.Errorf("line %d: %s: %w", d.line, name, err)
}

// Next reads one batch. It returns io.EOF if the input ends between batches.
func (d *Decoder) Next() (Batch, error) {
	var b Batch
	s, err := d.nextLine()
	for err == nil && s == "" {
		s, err = d.nextLine()
	}
	if err != nil {
		return b, err
	}
	name, rest, _ := strings.Cut(s, " ")
	if name != "clock" {
		return b, d.lineError(name, fmt.Errorf("a batch must begin with clock"))
	}
	f := parse(rest)
	b.Now = f.ms("ts", true)
	if f.err != nil {
		return b, d.lineError(name, f.err)
	}
	for {
		if s, err = d.nextLine(); errors.Is(err, io.EOF) {
			return b, fmt.Errorf("line %d: input ended inside a batch", d.line)
		} else if err != nil {
			return b, err
		}
		name, rest, _ = strings.Cut(s, " ")
		if name == "end" {
			return b, nil
		}
		in, known, err := d.input(name, rest)
		if err != nil {
			return b, err
		}
		if known {
			b.Inputs = append(b.Inputs, in)
		}
	}
}

// input decodes one line of a batch. known is false for a line with an unknown name, which the caller skips.
func (d *Decoder) input(name, rest string) (in Input, known bool, err error) {
	if name == "open_instance" {
		in, err = d.open(rest)
		return in, true, err
	}
	f := parse(rest)
	switch name {
	case "power_off":
		in.PowerOff = true
	case "discovery":
		in.Instance = int(f.integer("who", true))
		count := f.integer("members", false)
		kind := listKind(f)
		if f.err != nil {
			return in, true, d.lineError(name, f.err)
		}
		endpoints, err := d.endpoints(count)
		in.Event = control.EndpointUpdate{Kind: kind, Endpoints: endpoints}
		return in, true, err
	case "request":
		in.Event = request(f)
	case "started":
		in.Event = control.ResponseStarted{ID: f.text("xid", true), Attempt: int(f.integer("n", false)),
			Server: f.server(), Latency: f.ms("delay-seen", false)}
	case "response":
		in.Event = response(f)
	case "hangup":
		in.Event = control.ClientGone{ID: f.text("xid", true)}
	case "elapsed":
		in.Event = control.Timer{Label: f.unsigned("label", true)}
	case "ping_result":
		in.Event = control.HealthCheckResult{Server: f.server(), Outcome: control.Outcome(f.integer("reason", true)),
			Latency: f.ms("delay-seen", false), LoadReport: loadReport(f)}
	case "peer":
		in.Event = control.PeerMessage{From: int(f.integer("src", true)), Raw: f.bytes("raw")}
	case "reckoned":
		in.Event = control.CounterResult{Name: f.unsigned("cname", true), Total: f.number("total", false),
			Latency: f.ms("delay-seen", false), Outcome: control.Outcome(f.integer("reason", true))}
	default:
		return in, false, nil
	}
	in.Instance = int(f.integer("who", true))
	if f.err != nil {
		return in, true, d.lineError(name, f.err)
	}
	return in, true, nil
}

func request(f *fields) control.Request {
	bits := f.unsigned("bitmap", false)
	r := control.Request{ID: f.text("xid", true), Class: f.text("class", true), Plan: f.text("terms", false),
		Tenant: f.text("client-id", false), TimeLeft: f.ms("ttl", true), Tokens: 1, TenantNodes: 1,
		FirstNode: int(f.number("set-start", false)), Retry: bits&2 != 0, Write: bits&4 != 0}
	if f.has("weight") {
		r.Tokens = f.number("weight", true)
	}
	if f.has("spread") {
		r.TenantNodes = int(f.number("spread", true))
	}
	return r
}

func response(f *fields) control.AttemptEnded {
	return control.AttemptEnded{ID: f.text("xid", true), Attempt: int(f.integer("n", false)), Server: f.server(),
		Outcome: control.Outcome(f.integer("reason", true)), Done: f.boolean("no-more"),
		Latency: f.ms("delay-seen", false), Tokens: f.number("cost", false),
		MeterReading: int(f.integer("use-pct", false)), LoadReport: loadReport(f)}
}

func listKind(f *fields) control.UpdateKind {
	switch k := f.text("kind", true); k {
	case "patch":
		return control.Delta
	case "whole":
		return control.Complete
	case "stale_copy":
		return control.Cached
	case "broken":
		return control.Failed
	default:
		f.setError("kind", fmt.Errorf("unknown value %q", k))
		return control.Failed
	}
}

// endpoints reads the item lines that follow a discovery event, one for each endpoint.
func (d *Decoder) endpoints(count int64) ([]control.Endpoint, error) {
	var list []control.Endpoint
	for ; count > 0; count-- {
		s, err := d.nextLine()
		if err != nil {
			return nil, fmt.Errorf("line %d: input ended inside a list", d.line)
		}
		name, rest, _ := strings.Cut(s, " ")
		if name != "item" {
			return nil, d.lineError(name, fmt.Errorf("an item line was expected"))
		}
		f := parse(rest)
		endpoint := control.Endpoint{Server: f.server(), Zone: f.text("area", false), Flavor: f.text("flavor", false),
			Cell: int(f.integer("unit-group", false)), Size: f.number("size", false), StartedAt: f.ms("came-up", false)}
		endpoint.HasStartedAt = endpoint.StartedAt != 0
		switch c := f.text("condition", true); c {
		case "on":
			endpoint.Condition = control.Active
		case "fading":
			endpoint.Condition = control.Draining
		case "off":
			endpoint.Condition = control.Removed
		default:
			f.setError("condition", fmt.Errorf("unknown value %q", c))
		}
		if f.err != nil {
			return nil, d.lineError("item", f.err)
		}
		list = append(list, endpoint)
	}
	return list, nil
}

// loadReport decodes the load report of a server; nil means that it sent none. Absent values are -1, and unknown names
// are skipped.
func loadReport(f *fields) *control.LoadReport {
	s := f.text("pressure", false)
	if s == "" {
		return nil
	}
	report := &control.LoadReport{Active: -1, Waiting: -1, CPU: -1, AvgMS: -1, RPS: -1, ErrRPS: -1}
	destinations := map[string]*float64{"active": &report.Active, "waiting": &report.Waiting, "cpu": &report.CPU,
		"avg_ms": &report.AvgMS, "rps": &report.RPS, "err_rps": &report.ErrRPS}
	for s != "" {
		var pair string
		pair, s, _ = strings.Cut(s, ",")
		name, value, _ := strings.Cut(pair, ":")
		p := destinations[name]
		if p == nil {
			continue
		}
		v, err := parseFinite(value)
		if err != nil {
			f.setError("pressure", err)
			return nil
		}
		*p = v
	}
	return report
}

// fields holds the keys and values of one line, and the first error in decoding them.
type fields struct {
	keys, values []string
	err          error
}

// parse splits the part of a line after its name into pairs KEY=VALUE.
func parse(s string) *fields {
	f := &fields{keys: make([]string, 0, 16), values: make([]string, 0, 16)}
	for s != "" {
		var pair string
		pair, s, _ = strings.Cut(s, " ")
		if pair == "" {
			continue
		}
		k, v, found := strings.Cut(pair, "=")
		if !found {
			f.setError(k, fmt.Errorf("has no value"))
			continue
		}
		f.keys, f.values = append(f.keys, k), append(f.values, v)
	}
	return f
}

// setError records an error about a key, unless there already is one.
func (f *fields) setError(key string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %w", key, err)
	}
}

func (f *fields) has(key string) bool {
	for _, k := range f.keys {
		if k == key {
			return true
		}
	}
	return false
}

// text returns the value of a key, or "". A missing key is an error if required is set, here and in the methods below.
func (f *fields) text(key string, required bool) string {
	for i, k := range f.keys {
		if k == key {
			return f.values[i]
		}
	}
	if required {
		f.setError(key, fmt.Errorf("is missing"))
	}
	return ""
}

func parseFinite(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = fmt.Errorf("%q is not finite", s)
	}
	return v, err
}

func (f *fields) number(key string, required bool) float64 {
	s := f.text(key, required)
	if s == "" {
		return 0
	}
	v, err := parseFinite(s)
	if err != nil {
		f.setError(key, err)
	}
	return v
}

// ms returns the duration at a key, whose value is in milliseconds.
func (f *fields) ms(key string, required bool) time.Duration {
	v := f.number(key, required)
	if math.Abs(v) > 1e12 {
		f.setError(key, fmt.Errorf("%g ms is out of range", v))
		return 0
	}
	return milliseconds(v)
}

// milliseconds returns the duration of v milliseconds, rounded to whole microseconds.
func milliseconds(v float64) time.Duration {
	return time.Duration(math.Round(v*1000)) * time.Microsecond
}

func (f *fields) integer(key string, required bool) int64 {
	s := f.text(key, required)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.setError(key, err)
	}
	return v
}

func (f *fields) unsigned(key string, required bool) uint64 {
	s := f.text(key, required)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.setError(key, err)
	}
	return v
}

func (f *fields) server() uint32 {
	v := f.unsigned("server", true)
	if v > math.MaxUint32 {
		f.setError("server", fmt.Errorf("%d is out of range", v))
	}
	return uint32(v)
}

func (f *fields) boolean(key string) bool {
	switch s := f.text(key, false); s {
	case "1", "true":
		return true
	case "", "0", "false":
		return false
	default:
		f.setError(key, fmt.Errorf("%q is not a boolean", s))
		return false
	}
}

// bytes decodes a hexadecimal value; "-" means none.
func (f *fields) bytes(key string) []byte {
	s := f.text(key, false)
	if s == "" || s == "-" {
		return nil
	}
	b, err := hex.DecodeString(s)
	if err != nil {
		f.setError(key, err)
	}
	return b
}
