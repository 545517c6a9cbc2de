// Package scenario reads scenario files and draws days from them: the fleet, its customers, every
// arrival and every fault, all from one seed, so that two plays of a seed differ in timing alone.
package scenario

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Range is a figure that is drawn anew for each seed; in a file it is a number or [low, high].
type Range struct{ Lo, Hi float64 }

// UnmarshalTOML reads a number or a pair.
func (r *Range) UnmarshalTOML(raw []byte) error {
	var v struct{ V any }
	if err := toml.Unmarshal(append([]byte("V = "), raw...), &v); err != nil {
		return err
	}
	figure := func(v any) (float64, error) {
		switch v := v.(type) {
		case int64:
			return float64(v), nil
		case float64:
			return v, nil
		}
		return 0, fmt.Errorf("%v is no number", v)
	}
	pair, ok := v.V.([]any)
	if !ok {
		pair = []any{v.V, v.V}
	}
	if len(pair) != 2 {
		return fmt.Errorf("%s is neither a number nor [low, high]", raw)
	}
	var err1, err2 error
	r.Lo, err1 = figure(pair[0])
	r.Hi, err2 = figure(pair[1])
	if err := cmp.Or(err1, err2); err != nil {
		return err
	}
	if r.Lo > r.Hi {
		return fmt.Errorf("low %g is above high %g", r.Lo, r.Hi)
	}
	return nil
}

func (r Range) draw(rng *rand.Rand) float64 { return r.Lo + (r.Hi-r.Lo)*rng.Float64() }

func (r Range) whole(rng *rand.Rand) int {
	return int(r.Lo) + rng.IntN(int(r.Hi)-int(r.Lo)+1)
}

// File is a scenario as written. Spans end in S (seconds) or MS (milliseconds); shares are parts
// of one.
type File struct {
	Base        string // a scenario beside this one that it departs from
	Name, About string
	Seconds     float64
	Fleet       Fleet
	Server      Server
	Net         Net
	Clients     Clients
	Load        Load
	Discovery   Discovery
	Counter     Counter
	Rules       Rules
	Class       []Class
	Plan        []Plan
	Fault       []Fault
	On          On
	Gate        Gate
}

// On is what a scenario switches on in the nodes; nothing by itself.
type On struct {
	Peers    bool // nodes talk
	State    bool // what nodes have learnt outlives their processes
	Limits   bool // and share what customers have left of their quotas
	Verdicts bool // and which rating servers are slow
	Zones    bool // a zone that fails is left
}

// Fleet is the size of a deployment and the limits of a node.
type Fleet struct {
	Regions, Zones, Nodes, Servers Range
	Cores                          float64
	MemoryMB                       int `toml:"memory_mb"`
	Sockets                        int
	KnownLateS                     float64 `toml:"known_late_s"` // age of the list that a node starts with
}

// Server is what rating servers are drawn from.
type Server struct {
	Cores        int
	Speed        Range
	SpeedCV      Range   `toml:"speed_cv"`
	SlotsPerCore Range   `toml:"slots_per_core"`
	QueuePerCore Range   `toml:"queue_per_core"`
	Thrash       Range   // part of the capacity lost for each request per core beyond ThrashAt
	ThrashAt     Range   `toml:"thrash_at"`
	ColdFrom     Range   `toml:"cold_from"`
	ColdS        Range   `toml:"cold_s"`
	WarmBy       string  `toml:"warm_by"`      // "time" or "requests"
	HandshakeMS  Range   `toml:"handshake_ms"` // work of a new connection
	Connections  int     // held at most, by all nodes
	TableTax     Range   `toml:"table_tax"`     // part of the capacity lost to a full table of connections, none to half of one
	PauseEveryS  Range   `toml:"pause_every_s"` // mean time between two pauses by chance; 0 is none
	PauseMS      Range   `toml:"pause_ms"`      // how long each lasts
	IdleS        float64 `toml:"idle_s"`
	ErrorRate    Range   `toml:"error_rate"`
	CellSize     int     `toml:"cell_size"`
	DropsExpired bool    `toml:"drops_expired"` // work whose client is gone is dropped from the queue
}

// Net is what links delay, one way.
type Net struct {
	SameMS   Range `toml:"same_ms"`
	CrossMS  Range `toml:"cross_ms"`
	FarMS    Range `toml:"far_ms"`
	ClientMS Range `toml:"client_ms"`
}

// Clients is how clients behave.
type Clients struct {
	Retries       Range // mean of later tries at most, drawn for each deployment
	TryShare      Range `toml:"try_share"` // part of the deadline that one try waits for
	BackoffMS     Range `toml:"backoff_ms"`
	Honour        Range // part of refusals whose Retry-After is kept
	Hasty         float64
	SlowReaders   float64 `toml:"slow_readers"`
	Improper      float64 // connections a second that send no proper request
	NoticeS       Range   `toml:"notice_s"` // after which the front sees a death
	MaxRetryAfter float64 `toml:"max_retry_after_ms"`
	Arrivals      string  // a CSV file of recorded arrivals in place of drawn ones
}

// Load is what customers ask.
type Load struct {
	Inside      Range // asked inside the quotas, of what all servers can do
	CalmUse     Range `toml:"calm_use"` // of the rate
	Full, Heavy Range // shares of customers
	HeavyX      Range `toml:"heavy_x"`
	Spiky       Range
	SpikeX      Range `toml:"spike_x"`
	SpikeS      Range `toml:"spike_s"`
	SpikeEveryS Range `toml:"spike_every_s"`
	Skew        Range // of a customer's weights over its set
	ShiftS      Range `toml:"shift_s"` // after which the weights are others
	Elsewhere   Range // chance that a later try goes by a new draw
	GuessCV     Range `toml:"guess_cv"`
	MostUnits   int   `toml:"most_units"`
	SetMost     int   `toml:"set_most"` // nodes that a customer comes through at most; 0 is all
}

// Discovery is how late the list is told.
type Discovery struct {
	NoticeS Range `toml:"notice_s"` // from a change of a server to the list
	AddS    Range `toml:"add_s"`
	NodeMS  Range `toml:"node_ms"` // further lateness, by node
}

// Counter is the shared counter service; a rate of zero is none.
type Counter struct {
	PerS  Range `toml:"per_s"`
	BackS Range `toml:"back_s"`
}

// Rules are the figures of the platform's rules.
type Rules struct {
	DrainGraceMS  float64 `toml:"drain_grace_ms"`
	FallMultiple  float64 `toml:"fall_multiple"`
	FallMS        float64 `toml:"fall_ms"`
	SendCap       int     `toml:"send_cap"`
	MeterS        float64 `toml:"meter_s"`
	MeterLateMS   Range   `toml:"meter_late_ms"`
	Probes, Peers bool
	SecondCopies  bool `toml:"second_copies"`
	RetryAfter    bool `toml:"retry_after"`
}

// Class is a class of requests.
type Class struct {
	Name       string
	Share, CV  Range
	WorkMS     Range `toml:"work_ms"`
	Window     float64
	AimMS      float64 `toml:"aim_ms"`
	DeadlineMS float64 `toml:"deadline_ms"`
	Worth      float64
	Effect     string // "free", "guarded", "single_shot"
	Scope      string // "all", "zone", "cell"
}

// Plan is a plan with its quota.
type Plan struct {
	Name     string
	Share    float64 // of the load
	Rate     Range
	BurstS   Range `toml:"burst_s"`
	Price    float64
	OverCost float64 `toml:"over_cost"`
	Spread   Range   // part of the nodes that a customer comes through
}

// Fault is one line of the timetable.
type Fault struct {
	AtS   Range `toml:"at_s"`
	ForS  Range `toml:"for_s"`
	Kind  string
	Share Range   // of the nodes or servers that it takes
	Zone  *int    // drawn when not given
	Size  Range   // factor, rate or delay, by kind
	EachS float64 `toml:"each_s"`
}

// Gate is what a play has to reach. A scenario's gate is set before it is played: from the rules,
// or from what the operators ask.
type Gate struct {
	Served       float64 // share of worth served, at least
	WorstClass   float64 `toml:"worst_class"`
	Over         float64 // units beyond quota, of those sent, at most; 0 is not held
	Room         float64 `toml:"refused_with_room"` // of tries, at most; 0 is not held
	SlowedKept   float64 `toml:"slowed_kept"`       // of the sends to servers that turned slow, a second after, at most; 0 is not held
	MessagesMost float64 `toml:"messages_most"`     // that one node sends others a second, at most; 0 is not held
	BackWithin   float64 `toml:"back_within_s"`     // after the last fault, until service is whole; 0 is not held
	ViewsBack    float64 `toml:"views_back_s"`      // after the last fault, until all nodes see each other; 0 is not held
}

// kinds are the faults that can be named, with what each needs beyond its time.
var kinds = map[string]struct{ share, size, span bool }{
	"kill":    {share: true},             // SIGKILL of nodes; they start anew after for_s
	"stop":    {share: true, span: true}, // SIGSTOP, then SIGCONT
	"restart": {share: true},             // SIGTERM of some nodes each each_s until share is through
	"slow":    {share: true, size: true, span: true},
	"errors":  {share: true, size: true, span: true},
	"pause":   {share: true, span: true},
	"crash":   {share: true},             // servers die; back cold after for_s
	"zone":    {span: true},              // servers of a zone vanish, back cold
	"split":   {span: true},              // a zone is cut off from the others
	"oneway":  {span: true},              // from a zone requests go out, answers do not come
	"delay":   {size: true, span: true},  // links to a zone take size ms longer
	"loss":    {size: true, span: true},  // part of the packets of links to a zone is lost
	"reset":   {share: true},             // open connections to some servers are reset
	"replace": {share: true, span: true}, // servers drain and new ones come, over for_s
	"dark":    {span: true},              // discovery is silent
	"spoilt":  {span: true},              // discovery sends what is no list
	"move":    {},                        // discovery moves; nodes get SIGHUP
	"counter": {span: true},              // the counter is gone, back empty
	"burst":   {size: true, span: true},  // everybody asks size times as much
	"shared":  {size: true, span: true},  // all servers are slower by size
}

// Read reads a scenario file; an unknown key is an error. Each of set is a KEY=VALUE in the file's
// own form that goes before what the file has.
func Read(path string, set ...string) (*File, error) {
	f := defaults()
	if err := f.read(path, basesMost); err != nil {
		return nil, err
	}
	for _, kv := range set {
		if err := decode([]byte(kv), f); err != nil {
			return nil, fmt.Errorf("%s: %w", kv, err)
		}
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// basesMost is how many files a scenario may depart from, one from the next.
const basesMost = 3

// read takes over what a file has, after what its base has.
func (f *File) read(path string, bases int) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	own := defaults()
	if err := decode(raw, own); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if own.Base != "" {
		if bases == 0 {
			return fmt.Errorf("%s: departs from more than %d files", path, basesMost)
		}
		if err := f.read(filepath.Join(filepath.Dir(path), own.Base), bases-1); err != nil {
			return fmt.Errorf("%s: base: %w", path, err)
		}
		f.Gate = Gate{}
		if own.Class != nil { // lists that it has stand in place of the base's
			f.Class = nil
		}
		if own.Plan != nil {
			f.Plan = nil
		}
		if own.Fault != nil {
			f.Fault = nil
		}
	}
	if err := decode(raw, f); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func decode(raw []byte, f *File) error {
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().EnableUnmarshalerInterface().Decode(f)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("line %d: unknown key %s", row, strings.Join(strict.Errors[0].Key(), "."))
	}
	return err
}

func (f *File) check() error {
	switch {
	case f.Name == "":
		return errors.New("name: there is none")
	case !(f.Seconds >= 1 && f.Seconds <= 3600):
		return fmt.Errorf("seconds: %g is not within 1 to 3600", f.Seconds)
	case f.Fleet.Nodes.Lo < 1 || f.Fleet.Nodes.Hi > 10000:
		return fmt.Errorf("fleet.nodes: %v is not within 1 to 10000", f.Fleet.Nodes)
	case f.Fleet.Servers.Lo < 1 || f.Fleet.Servers.Hi > 10000:
		return fmt.Errorf("fleet.servers: %v is not within 1 to 10000", f.Fleet.Servers)
	case f.Fleet.Zones.Lo < 1 || f.Fleet.Zones.Hi > 26:
		return fmt.Errorf("fleet.zones: %v is not within 1 to 26", f.Fleet.Zones)
	case len(f.Class) == 0 || len(f.Plan) == 0:
		return errors.New("class, plan: at least one of each is needed")
	}
	for i, x := range f.Fault {
		k, ok := kinds[x.Kind]
		at := fmt.Sprintf("fault %d (%s): ", i+1, x.Kind)
		switch {
		case !ok:
			return fmt.Errorf("%sno such kind", at)
		case x.AtS.Hi+x.ForS.Hi > f.Seconds && k.span:
			return fmt.Errorf("%sends after the day of %g s", at, f.Seconds)
		case k.share && !(x.Share.Lo > 0 && x.Share.Hi <= 1):
			return fmt.Errorf("%sshare: %v is not within 0 to 1", at, x.Share)
		case k.size && !(x.Size.Lo > 0):
			return fmt.Errorf("%ssize: %v is not positive", at, x.Size)
		case k.span && !(x.ForS.Lo > 0):
			return fmt.Errorf("%sfor_s: %v is not positive", at, x.ForS)
		case x.Zone != nil && (*x.Zone < 0 || *x.Zone >= int(f.Fleet.Zones.Lo)):
			return fmt.Errorf("%szone: there is no zone %d", at, *x.Zone)
		}
	}
	if (f.On.Limits || f.On.Verdicts) && !f.On.Peers {
		return errors.New("on.limits, on.verdicts: on.peers has to be true too")
	}
	for _, c := range f.Class {
		if !(c.AimMS > 0 && c.DeadlineMS >= c.AimMS) {
			return fmt.Errorf("class %s: aim_ms and deadline_ms: %g and %g do not fit", c.Name, c.AimMS, c.DeadlineMS)
		}
		if c.Effect != "free" && c.Effect != "guarded" && c.Effect != "single_shot" {
			return fmt.Errorf("class %s: effect: unknown value %q", c.Name, c.Effect)
		}
	}
	return nil
}

// one is a range of a single figure.
func one(v float64) Range { return Range{v, v} }

// defaults is the deployment that a file departs from: the site of the operators, its figures as
// their site file gives them, with work and times scaled as the file says.
func defaults() *File {
	return &File{
		Fleet: Fleet{Regions: one(1), Zones: one(3), Nodes: one(10), Servers: one(10), Cores: 1, MemoryMB: 96, Sockets: 640,
			KnownLateS: 2},
		Server: Server{Cores: 3, Speed: Range{0.85, 1.1}, SpeedCV: Range{0.054, 0.24}, SlotsPerCore: Range{2, 6},
			QueuePerCore: Range{12, 34}, Thrash: Range{0.078, 0.26}, ThrashAt: Range{3.8, 7.9}, ColdFrom: Range{0.17, 0.47},
			ColdS: Range{9.3, 16}, WarmBy: "requests", HandshakeMS: Range{0.4, 1.9}, Connections: 1800, TableTax: Range{0.1, 0.3}, IdleS: 30,
			ErrorRate: Range{0, 0.001}, CellSize: 4},
		Net: Net{SameMS: Range{0.1, 0.26}, CrossMS: Range{1.4, 2.6}, FarMS: Range{15, 30}, ClientMS: Range{0.46, 1.1}},
		Clients: Clients{Retries: Range{0, 1.5}, TryShare: Range{0.5, 1}, BackoffMS: Range{60, 480}, Honour: Range{0.33, 0.95},
			NoticeS: Range{1.3, 3.9}, MaxRetryAfter: 1000},
		Load: Load{Inside: Range{0.42, 0.55}, CalmUse: Range{0.17, 0.5}, Full: Range{0.085, 0.24}, Heavy: Range{0.068, 0.14},
			HeavyX: Range{2.3, 4.9}, Spiky: Range{0.11, 0.21}, SpikeX: Range{2.6, 6.4}, SpikeS: Range{0.76, 4.9},
			SpikeEveryS: Range{13, 25}, Skew: Range{0.45, 1.2}, ShiftS: Range{8.1, 25}, Elsewhere: Range{0.2, 0.65},
			GuessCV: Range{0.45, 0.67}, MostUnits: 8},
		Discovery: Discovery{NoticeS: Range{0.64, 4.8}, AddS: Range{0.23, 1.4}, NodeMS: Range{21, 370}},
		Counter:   Counter{PerS: Range{620, 840}, BackS: Range{3.3, 5.9}},
		Rules: Rules{DrainGraceMS: 2000, FallMultiple: 2, FallMS: 1500, SendCap: 5, MeterS: 1, MeterLateMS: Range{430, 1300},
			Probes: true, SecondCopies: true, RetryAfter: true},
	}
}

func span(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
func spanMS(ms float64) time.Duration    { return time.Duration(ms * float64(time.Millisecond)) }
