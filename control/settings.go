package control

import (
	"fmt"
	"math"
	"time"
)

// Idempotency is what a second run of a request would do.
type Idempotency int

// The kinds of idempotency that a class can have.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // has an idempotency key: a set of servers drops duplicates for a while
	NonIdempotent                      // must not run twice
)

// KeyScope is which servers drop duplicates of an IdempotentByKey request together.
type KeyScope int

// The scopes of an idempotency key.
const (
	KeyScopeAll  KeyScope = iota // all servers
	KeyScopeZone                 // the servers of a zone
	KeyScopeCell                 // the servers of a cell
)

// Class describes one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within it has its full value
	Deadline          time.Duration // the longest that a client waits, over all its attempts
	Idempotency       Idempotency
	KeyScope          KeyScope      // used with IdempotentByKey
	IdempotencyWindow time.Duration // used with IdempotentByKey: how long duplicates are dropped
	PriorityWeight    float64       // value of a request of one token
	LateValueFraction float64       // fraction of the value that is left after LatencyObjective
	Stream            bool          // answers start with a ResponseStarted event
}

// Plan describes one plan and the quotas that it gives each of its tenants over all nodes together.
// Zero means that there is no such quota.
type Plan struct {
	Name             string
	PriceFactor      float64 // factor on the value of a request
	Rate             float64 // tokens per second of the quota
	Burst            float64 // tokens that the quota's bucket can hold
	MaxConcurrent    int     // attempts in flight
	OverQuotaCost    float64 // fraction of its value that a request beyond the quota costs
	OverQuotaValue   float64 // fraction of its value that a request beyond the quota earns
	CeilingRate      float64 // tokens per second of the hard ceiling
	CeilingBurst     float64 // tokens that the ceiling's bucket can hold
	CeilingOverdraft float64 // tokens by which the ceiling's bucket may fall below zero
}

// Settings is what a node is given at its start. Zero switches a limit or a feature off.
type Settings struct {
	NodeIndex int // of this node, from 0
	FleetSize int // number of nodes
	Zone      string
	Classes   []Class
	Plans     []Plan

	PollDiscovery            bool          // the endpoint list has to be watched or fetched
	MaxPollInterval          time.Duration // longest time between two fetches without a watch
	DrainGrace               time.Duration // how long attempts at a draining server are forgiven
	SlowStartDuration        time.Duration // a server has its full capacity this long after its start
	SlowStartInitialFraction float64       // fraction of its capacity that a server has at its start
	OverloadWindow           time.Duration // window over which a warming-up server's load is counted
	OverloadFactor           float64       // multiple of its present capacity that it bears over the window
	MeterPeriod              time.Duration // period of the usage meter; 0 is no meter
	ResponsesReportTokens    bool          // the true tokens of a request arrive with its answer
	MaxRequestTokens         float64       // of one request
	HasCounter               bool          // there is a counter service
	PeerMessagesPerSecond    float64
	MaxAttempts              int // of one request
	MaxInFlight              int // requests held at once
	CanCancel                bool
	ClientsMarkRetries       bool // clients mark their retries
	HealthChecks             bool // servers may be checked
	PeerMessages             bool // nodes may talk with each other
	HedgedRequests           bool
	SendsRetryAfter          bool
	MaxRetryAfter            time.Duration
	CrossZoneCost            float64 // price of an attempt that leaves the node's zone
	MaxTenants               int     // remembered, beyond which idle ones are forgotten sooner
}

// maxFleetSize keeps what is computed for a whole fleet from overflowing.
const maxFleetSize = 1 << 20

// setting is a number of the settings by the name that operators know it by.
type setting struct {
	name  string
	value float64
}

// Validate returns an error that names the first setting that can't be used.
func (s *Settings) Validate() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: classes: there are none")
	case len(s.Plans) == 0:
		return fmt.Errorf("settings: plans: there are none")
	case s.FleetSize < 1:
		return fmt.Errorf("settings: group size: %d is not positive", s.FleetSize)
	case s.FleetSize > maxFleetSize:
		return fmt.Errorf("settings: group size: %d is over %d", s.FleetSize, maxFleetSize)
	case s.NodeIndex < 0 || s.NodeIndex >= s.FleetSize:
		return fmt.Errorf("settings: self index: %d is outside a group of %d", s.NodeIndex, s.FleetSize)
	}
	numbers := s.numericSettings()
	for i := range s.Classes {
		class := &s.Classes[i]
		if class.LatencyObjective <= 0 || class.Deadline <= 0 {
			return fmt.Errorf("settings: class %s: aim and deadline: %v and %v are not both positive", class.Name,
				class.LatencyObjective, class.Deadline)
		}
		numbers = append(numbers, class.numericSettings()...)
	}
	for i := range s.Plans {
		numbers = append(numbers, s.Plans[i].numericSettings()...)
	}
	for _, n := range numbers {
		if math.IsNaN(n.value) || math.IsInf(n.value, 0) || n.value < 0 {
			return fmt.Errorf("settings: %s: %g is negative or not finite", n.name, n.value)
		}
	}
	return nil
}

func (s *Settings) numericSettings() []setting {
	return []setting{
		{"cold from", s.SlowStartInitialFraction},
		{"fall multiple", s.OverloadFactor},
		{"units top", s.MaxRequestTokens},
		{"inbox per second", s.PeerMessagesPerSecond},
		{"cross-zone price", s.CrossZoneCost},
		{"cold", s.SlowStartDuration.Seconds()},
		{"ask within", s.MaxPollInterval.Seconds()},
		{"drain grace", s.DrainGrace.Seconds()},
		{"fall", s.OverloadWindow.Seconds()},
		{"meter period", s.MeterPeriod.Seconds()},
		{"send cap", float64(s.MaxAttempts)},
		{"open cap", float64(s.MaxInFlight)},
		{"max retry after", s.MaxRetryAfter.Seconds()},
	}
}

func (c *Class) numericSettings() []setting {
	prefix := "class " + c.Name + ": "
	return []setting{
		{prefix + "worth", c.PriorityWeight},
		{prefix + "late share", c.LateValueFraction},
		{prefix + "repeat window", c.IdempotencyWindow.Seconds()},
	}
}

func (p *Plan) numericSettings() []setting {
	prefix := "plan " + p.Name + ": "
	return []setting{
		{prefix + "price", p.PriceFactor},
		{prefix + "rate", p.Rate},
		{prefix + "depth", p.Burst},
		{prefix + "open", float64(p.MaxConcurrent)},
		{prefix + "over cost", p.OverQuotaCost},
		{prefix + "over earns", p.OverQuotaValue},
		{prefix + "ceiling rate", p.CeilingRate},
		{prefix + "ceiling burst", p.CeilingBurst},
		{prefix + "ceiling slack", p.CeilingOverdraft},
	}
}
