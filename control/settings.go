package control

import (
	"fmt"
	"math"
	"time"
)

// Idempotency is the effect of a second run of a request.
type Idempotency int

// The kinds of idempotency that a class can have.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // idempotent with a key: a set of servers drops duplicates for some time
	NonIdempotent                      // must not run twice
)

// KeyScope is the set of servers that together drop the duplicates of an IdempotentByKey request.
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
	LatencyObjective  time.Duration // a response within it has its full value
	Deadline          time.Duration // maximum time that a client waits, over all its attempts
	Idempotency       Idempotency
	KeyScope          KeyScope      // used with IdempotentByKey
	IdempotencyWindow time.Duration // used with IdempotentByKey: time for which duplicates are dropped
	PriorityWeight    float64       // value of a request of one token
	LateValueFraction float64       // fraction of the value that a response later than LatencyObjective has
	Stream            bool          // responses start with a ResponseStarted event
}

// Plan describes one plan, and the quotas of each of its tenants over all nodes together. 0 means that there
// is no such quota.
type Plan struct {
	Name             string
	PriceFactor      float64 // factor on the value of a request
	Rate             float64 // refill rate of the quota's token bucket, in tokens per second
	Burst            float64 // capacity of the quota's token bucket, in tokens
	MaxConcurrent    int     // maximum attempts in flight
	OverQuotaCost    float64 // cost of a request beyond the quota, as a fraction of its value
	OverQuotaValue   float64 // value of a request beyond the quota, as a fraction of its value
	CeilingRate      float64 // refill rate of the hard ceiling's token bucket, in tokens per second
	CeilingBurst     float64 // capacity of the ceiling's token bucket, in tokens
	CeilingOverdraft float64 // tokens by which the ceiling's bucket may fall below zero
}

// Settings is the configuration of a node at its start. A limit of 0 means no limit, a duration of 0 or a
// false flag disables the feature. The Controller does not use every field: DrainGrace, MaxRequestTokens and
// HealthChecks are used by its caller, and some fields only describe the deployment.
type Settings struct {
	NodeIndex int    // index of this node, from 0
	FleetSize int    // number of nodes
	Zone      string // zone of this node
	Classes   []Class
	Plans     []Plan

	PollDiscovery            bool          // the endpoint list has to be watched or fetched by the node
	MaxPollInterval          time.Duration // maximum time between two fetches without a watch
	DrainGrace               time.Duration // time for which a server accepts attempts after its drain began
	SlowStartDuration        time.Duration // time from a server's start until it has its full capacity
	SlowStartInitialFraction float64       // fraction of its capacity that a server has at its start
	OverloadWindow           time.Duration // time over which the load of a server that is warming up is counted
	OverloadFactor           float64       // multiple of its capacity that a server bears over OverloadWindow
	MeterPeriod              time.Duration // period of the usage meter; 0 means that there is no meter
	ResponsesReportTokens    bool          // responses report the true cost of their request
	MaxRequestTokens         float64       // maximum tokens of one request
	HasCounter               bool          // the platform has a counter service
	PeerMessagesPerSecond    float64       // maximum rate of messages from other nodes
	MaxAttempts              int           // maximum attempts of one request
	MaxInFlight              int           // maximum of Rules.MaxInFlight; no effect where that is 0
	CanCancel                bool          // attempts can be canceled
	ClientsMarkRetries       bool          // clients mark their retries
	HealthChecks             bool          // health checks of servers are allowed
	PeerMessages             bool          // nodes may send messages to each other
	HedgedRequests           bool          // hedged requests are allowed
	SendsRetryAfter          bool          // rejections may carry Retry-After
	MaxRetryAfter            time.Duration // maximum Retry-After of a rejection; 0 means that there is none
	CrossZoneCost            float64       // value that an attempt at a server of another zone costs
	MaxTenants               int           // tenants above which idle ones are forgotten sooner; 0 means 10000
}

// retryAfterAdvice is the Retry-After of a rejection, unless the settings limit it to less.
const retryAfterAdvice = time.Second

// RetryAfter returns the Retry-After of a rejection; 0 means that it has none.
func (s *Settings) RetryAfter() time.Duration { return min(retryAfterAdvice, s.MaxRetryAfter) }

// maxFleetSize keeps numbers that are computed for the whole fleet from overflowing.
const maxFleetSize = 1 << 20

// setting is a numeric setting under the name that operators use.
type setting struct {
	name  string
	value float64
}

// Validate returns an error that names the first setting that cannot be used, or nil.
func (s *Settings) Validate() error {
	switch {
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: classes: at least one is required")
	case len(s.Plans) == 0:
		return fmt.Errorf("settings: plans: at least one is required")
	case s.FleetSize < 1:
		return fmt.Errorf("settings: group size: %d is not positive", s.FleetSize)
	case s.FleetSize > maxFleetSize:
		return fmt.Errorf("settings: group size: %d is more than the maximum of %d", s.FleetSize, maxFleetSize)
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
