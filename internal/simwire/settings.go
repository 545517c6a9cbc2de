package simwire

import (
	"fmt"
	"strconv"

	"sloestile/control"
)

// open reads an open_instance line. It skips unknown keys of the settings; control.New validates the values.
func (d *Decoder) open(rest string) (Input, error) {
	f := parse(rest)
	paths := make(map[string]string, len(f.keys))
	for i, k := range f.keys {
		paths[k] = f.values[i]
	}
	settings, err := Settings(paths)
	if err != nil {
		return Input{}, d.lineError("open_instance", err)
	}
	in := Input{Instance: int(f.integer("who", true)),
		Open: &Open{Seed: f.unsigned("salt", true), Settings: settings}}
	if f.err != nil {
		return in, d.lineError("open_instance", f.err)
	}
	return in, nil
}

// Settings decodes the settings in paths, which maps dotted paths to values as text. A list of objects has its length
// under .count and its items under .0, .1 and so on. Unknown paths are ignored.
func Settings(paths map[string]string) (control.Settings, error) {
	r := &settingsReader{fields: &fields{}, paths: paths}
	for k, v := range paths {
		r.keys, r.values = append(r.keys, k), append(r.values, v)
	}
	s := r.settings()
	return s, r.err
}

// settingsReader reads settings by their dotted path and keeps the first error.
type settingsReader struct {
	*fields
	paths map[string]string
}

// float returns the number at key, and 0 where none is set.
func (r *settingsReader) float(key string) float64 {
	s, ok := r.paths[key]
	if !ok || s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64) // control.New rejects a number that is not finite
	if err != nil {
		r.setError(key, err)
	}
	return v
}

func (r *settingsReader) flag(key string) bool { return r.boolean(key) }

func (r *settingsReader) settings() control.Settings {
	s := control.Settings{
		NodeIndex: int(r.float("self-index")), FleetSize: int(r.float("group-size")), Zone: r.paths["zone"],
		PollDiscovery:   r.paths["discovery"] == "on_request",
		MaxPollInterval: r.ms("contract.ask-within", false), DrainGrace: r.ms("contract.drain-grace", false),
		SlowStartDuration: r.ms("contract.cold", false), SlowStartInitialFraction: r.float("contract.cold-from"),
		OverloadWindow: r.ms("contract.fall", false), OverloadFactor: r.float("contract.fall-multiple"),
		MeterPeriod: r.ms("domain.meter-period", false), ResponsesReportTokens: r.flag("domain.cost-after"),
		MaxRequestTokens: r.float("domain.units-top"), HasCounter: r.flag("domain.has-counter"),
		PeerMessagesPerSecond: r.float("domain.inbox-per-s"),
		MaxAttempts:           int(r.float("limits.send-cap")), MaxInFlight: int(r.float("limits.open-cap")),
		CanCancel: r.flag("limits.may-cancel"), ClientsMarkRetries: r.flag("clients.marks-retry"), HealthChecks: r.flag("limits.probes"),
		PeerMessages: r.flag("limits.peer-messages"), HedgedRequests: r.flag("limits.second-copies"),
		SendsRetryAfter: r.flag("limits.retry-after"), MaxRetryAfter: r.ms("limits.max-retry-after", false),
		CrossZoneCost: r.float("charges.cross-zone"),
	}
	for i := 0; i < r.count("classes"); i++ {
		s.Classes = append(s.Classes, r.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := 0; i < r.count("tariffs"); i++ {
		s.Plans = append(s.Plans, r.plan(fmt.Sprintf("tariffs.%d.", i)))
	}
	return s
}

// count returns the length of a list. It rejects a length above the number of keys, so that a corrupt count can't cause
// a huge allocation.
func (r *settingsReader) count(list string) int {
	n := r.float(list + ".count")
	if !(n >= 0 && n <= float64(len(r.keys))) {
		r.setError(list+".count", fmt.Errorf("%g is not a possible number of items", n))
		return 0
	}
	return int(n)
}

func (r *settingsReader) class(prefix string) control.Class {
	class := control.Class{Name: r.paths[prefix+"name"], LatencyObjective: r.ms(prefix+"aim", false), Deadline: r.ms(prefix+"deadline", false),
		IdempotencyWindow: r.ms(prefix+"repeat-window", false), PriorityWeight: r.float(prefix + "worth"),
		LateValueFraction: r.float(prefix + "late-share"), Stream: r.flag(prefix + "stream")}
	switch effect := r.paths[prefix+"effect"]; effect {
	case "free":
		class.Idempotency = control.Idempotent
	case "guarded":
		class.Idempotency = control.IdempotentByKey
	case "single_shot":
		class.Idempotency = control.NonIdempotent
	default:
		r.setError(prefix+"effect", fmt.Errorf("unknown value %q", effect))
	}
	switch scope := r.paths[prefix+"key-scope"]; scope {
	case "", "all":
		class.KeyScope = control.KeyScopeAll
	case "zone":
		class.KeyScope = control.KeyScopeZone
	case "cell":
		class.KeyScope = control.KeyScopeCell
	default:
		r.setError(prefix+"key-scope", fmt.Errorf("unknown value %q", scope))
	}
	return class
}

func (r *settingsReader) plan(prefix string) control.Plan {
	return control.Plan{Name: r.paths[prefix+"name"], PriceFactor: r.float(prefix + "value-factor"), Rate: r.float(prefix + "quota-rate"),
		Burst: r.float(prefix + "depth"), MaxConcurrent: int(r.float(prefix + "open")), OverQuotaCost: r.float(prefix + "overrun-cost"),
		OverQuotaValue: r.float(prefix + "beyond-earns"), CeilingRate: r.float(prefix + "cap-rate"),
		CeilingBurst: r.float(prefix + "hard-burst"), CeilingOverdraft: r.float(prefix + "ceiling-slack")}
}
