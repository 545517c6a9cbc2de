// Package scenario reads scenario files and draws days from them: the fleet, its customers, every
// arrival and every fault, all from one seed, so that two plays of a seed differ in timing alone.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

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
	Subset   int  // servers that a node uses among those listed; 0 is all
}

// Fleet is the size of a deployment and the limits of a node.
type Fleet struct {
	Regions, Zones, Nodes, Servers Range
	Cores                          float64
	MemoryMB                       int `toml:"memory_mb"`
	Sockets                        int
	KnownLateS                     float64 `toml:"known_late_s"` // age of the list that a node starts with
	Group                          int     // nodes of the fleet of which the day plays some; 0 is those that it plays
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
	DrainS       float64 `toml:"drain_s"`       // from a drain's begin to the end of the process
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
	Asked   bool    // lists are asked for, not pushed
	NoticeS Range   `toml:"notice_s"` // from a change of a server to the list
	AddS    Range   `toml:"add_s"`
	NodeMS  Range   `toml:"node_ms"` // further lateness, by node
	EachS   float64 `toml:"each_s"`  // between two versions of the list, which take in all changes until then; 0 is a version for each change
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
	AtS       Range `toml:"at_s"`
	ForS      Range `toml:"for_s"`
	Kind      string
	Share     Range    // of the nodes, servers or pairs that it takes
	Zone      *int     // drawn when not given; of links and disks, all zones when not given
	Size      Range    // factor, rate, delay or part, by kind
	EachS     float64  `toml:"each_s"`
	Same      int      // takes the nodes that the fault with this number takes, counted from 1; 0 is its own
	Links     []string // of nodes that fail: "peers", "servers", "agents", "clients"
	Pairs     bool     // share is one of the single links, not of the nodes with all of theirs
	Direction string   // that fails: "out" of the node or "in" to it; "" is both
	Reset     bool     // what drops is reset, not silent
	How       string   // of a disk and of the end of its power
}

// Gate is what a play has to reach. A scenario's gate is set before it is played: from the rules,
// or from what the operators ask.
type Gate struct {
	Served       float64 // share of worth served, at least
	WorstClass   float64 `toml:"worst_class"`
	Third        float64 // of what the late-seeing policy serves in a third of the day, at least; 0 is 0.3
	Over         float64 // units beyond quota, of those sent, at most; 0 is not held
	Room         float64 `toml:"refused_with_room"` // of tries, at most; 0 is not held
	SlowedKept   float64 `toml:"slowed_kept"`       // of the sends to servers that turned slow, a second after, at most; 0 is not held
	MessagesMost float64 `toml:"messages_most"`     // that one node sends others a second, at most; 0 is not held
	BackWithin   float64 `toml:"back_within_s"`     // after the last fault, until service is whole; 0 is not held
	ViewsBack    float64 `toml:"views_back_s"`      // after the last fault, until all nodes see each other; 0 is not held
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

func span(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func spanMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
