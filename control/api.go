// Package control decides for one gateway what becomes of each request: whether
// it is let in, when its plan has a turn, which server gets it and what follows
// a failure. Its interface, that is settings, events and actions, is api.go.
//
// The path of a request: quota (metered chance) -> queue of its plan ->
// weighted round robin by share -> in-flight bound -> choice of server.
package control

import "time"

// This file is the interface of the module: the settings a gateway is started
// with, the events it is told of and the actions it answers with. It holds
// types only; every decision is in the files that the deploy file names under
// policy.
//
// Times are time.Duration on a clock of the caller's choice that only moves
// forward; spans are time.Duration too. Units, rates and loads are float64.

// Effect says what a second run of a request would do.
type Idempotency int

// The kinds of effect a class can have.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // carries a key; a group of servers drops repeats for a while
	NonIdempotent                      // must not run twice
)

// Scope says which servers drop repeats of a Guarded request together.
type KeyScope int

// The key scopes.
const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within it has its full worth
	Deadline          time.Duration // what a client waits at most, over all its tries
	Idempotency       Idempotency
	KeyScope          KeyScope      // with Guarded
	IdempotencyWindow time.Duration // with Guarded: how long repeats are dropped
	PriorityWeight    float64
	LateValueFraction float64 // part of the worth left for an answer after Aim
	Stream            bool    // answers start with a Started event
}

// Plan describes one plan and the quotas it gives each of its customers over
// all gateways together. A figure of zero means "no such quota".
type Plan struct {
	Name             string
	PriceFactor      float64 // factor on the worth of a request
	Rate             float64 // units a second
	Burst            float64 // units the quota's store can hold
	MaxConcurrent    int     // attempts out at once
	OverQuotaCost    float64 // part of its worth that a try beyond the quota costs
	OverQuotaValue   float64 // part of its worth that a try beyond the quota earns
	CeilingRate      float64 // units a second of the hard ceiling
	CeilingBurst     float64 // units the ceiling's store can hold
	CeilingOverdraft float64 // units by which that store may fall below zero
}

// Settings is what a gateway is handed at start.
type Settings struct {
	NodeIndex, FleetSize int
	Zone                 string
	Classes              []Class
	Plans                []Plan

	PollDiscovery         bool          // the server list has to be followed or fetched
	PollWithin            time.Duration // longest time between two askings without a subscription
	DrainGrace            time.Duration // how long sends to a draining server are forgiven
	SlowStartDuration     time.Duration // a server is warm this long after its start, at the latest
	SlowStartInitial      float64       // part of its capacity that a server starts with, at least
	OverloadWindow        time.Duration // span over which a cold server's load is counted
	OverloadFactor        float64       // times its present capacity that it bears over that span
	MeterPeriod           time.Duration // period of the use meter; 0 is no meter
	CostWithAnswer        bool          // true units arrive with the answer
	MaxTokens             float64       // the most units of one request
	HasCounter            bool
	PeerMessagesPerSecond float64
	MaxAttempts           int // most attempts of one request; 0 is no limit
	MaxInFlight           int // most requests held at once; 0 is no limit
	CanCancel             bool
	ClientsMarkRetries    bool // clients mark their later tries
	HealthChecks          bool
	PeerMessages          bool
	HedgedRequests        bool
	SendsRetryAfter       bool
	MaxRetryAfter         time.Duration
	CrossZoneCost         float64 // price of an attempt that leaves the gateway's zone
	MaxTenants            int     // remembered of late, beyond which the idle are forgotten sooner; 0 is not told
}

// Condition is a server's state in the list.
type Condition int

// The conditions of a listed server.
const (
	Active Condition = iota
	Draining
	Removed
)

// Member is one entry of the server list.
type Endpoint struct {
	Server       uint32
	HashKey      uint32 // of the server at every gateway, where Server is this one's own; 0 is Server
	Condition    Condition
	Zone         string
	Cell         int
	Flavor       string
	Size         float64
	StartedAt    time.Duration // clock time of the latest start
	HasStartedAt bool          // false: long ago
}

// ListKind tells what a List event brings.
type UpdateKind int

// The kinds of list event.
const (
	Delta    UpdateKind = iota // the entries that changed
	Complete                   // the complete list
	Cached                     // the complete list as it was held last, maybe out of date
	Failed                     // an asking failed or a subscription ended; no entries
)

// Reason tells how an attempt, a probe or a count ended.
type Outcome int

// The reasons.
const (
	OK            Outcome = 100
	Errored       Outcome = 301 // may have run
	Overloaded    Outcome = 302 // never ran
	TimedOut      Outcome = 303 // may have run, may be running
	ConnectFailed Outcome = 304 // never ran
	ResetByPeer   Outcome = 305 // may have run
	Cancelled     Outcome = 306 // may have run
	NeverSent     Outcome = 307 // never ran: was not sent
)

// Load is a server's load report; a negative figure was not reported.
type LoadReport struct {
	Active, Waiting, CPU, AvgMS, RPS, ErrRPS float64
}

// Event is something that a gateway is told.
type Event interface{ isEvent() }

// List is news of the servers.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
	// Sharers is how many gateways of the group send to each listed server, in the mean, where each uses
	// a part of the servers; 0 is Settings.GroupSize.
	NodesPerServer float64
}

// Request is a client's request. It is owed exactly one final answer.
type Request struct {
	ID           string
	Class        string
	Plan         string
	Tenant       string
	TimeLeft     time.Duration // what is left until the client gives up
	Tokens       float64
	TenantNodes  int // number of gateways that this customer may come through
	FirstNode    int // index of the first of them
	Retry        bool
	Write        bool
	StreamedBody bool          // its body goes on as it comes: Written tells when it is whole
	Bucket       *SharedBucket // nil is nothing that may be used
}

// Shared is what the one that keeps a customer's store for all gateways told of it, of late.
type SharedBucket struct {
	Tokens  float64       // that it holds, less what was sent from here since
	AtLeast bool          // it holds that much at least
	Age     time.Duration // since it was right
}

// Written tells that an attempt of a Long request is written whole: only now its server begins
// the work, and the client's time runs.
type BodySent struct {
	ID      string
	Attempt int
}

// Started tells that a streamed answer has begun. What its head tells comes here, as the rest
// may take long.
type ResponseStarted struct {
	ID           string
	Attempt      int
	Server       uint32
	Delay        time.Duration
	Tokens       float64 // true units; 0 is not told
	MeterReading int     // as in Response
}

// Response tells how an attempt ended.
type AttemptEnded struct {
	ID           string
	Attempt      int
	Server       uint32
	Outcome      Outcome
	Done         bool // the request has its final answer
	BodySpent    bool // the request can't be sent again: part of its body is gone
	Delay        time.Duration
	Tokens       float64 // true units; 0 is not told
	MeterReading int     // 1 + percent of the quota used in the last metered period; 0 is not told
	LoadReport   *LoadReport
}

// Hangup tells that the client has left.
type ClientGone struct{ ID string }

// Timer tells that a timer is due.
type Timer struct{ Label uint64 }

// ProbeResult tells how a probe ended.
type HealthCheckResult struct {
	Server     uint32
	Outcome    Outcome
	Delay      time.Duration
	LoadReport *LoadReport
}

// PeerMessage is a message of another gateway.
type PeerMessage struct {
	From int
	Raw  []byte
}

// Counted is the answer to a Count.
type CounterResult struct {
	Name    uint64
	Total   float64
	Delay   time.Duration
	Outcome Outcome
}

// Hearsay tells that enough other gateways, each by attempts of its own, found a server's process
// far slower than is usual.
type OutlierReport struct {
	Server    uint32
	Reporters int
	Until     time.Duration // clock time at which it is too old
}

// Zones tells what part of its usual traffic is to stay away from each zone, of those that are not to
// have all of it; 1 is to send there only where nothing else is.
type ZoneEvacuation struct{ Evacuated map[string]float64 }

// Rules puts a version of the operators' rules in force, in place of the one before. What it does not
// name is as in the settings; a zero one is the settings alone. A request goes by the version that was
// in force when it began, to its end. What the fields hold may not change afterwards.
type Rules struct {
	Version           uint64
	PriceFactor       []float64          // by plan; NaN is the settings'
	QuotaFactor       []float64          // by plan: times the settings' rate and depth
	TenantQuotaFactor map[string]float64 // by plan, a space and customer: in place of Quota
	MaxAttempts       []int              // by class: of one request at most, if the settings allow as many; 0 is no limit
	MaxInFlight       int                // attempts at work at once at most, if the settings allow as many; 0 is no limit
	ClosedZones       []string           // zones that get nothing new where another is open
	CrossZoneCost     map[string]float64 // by zone: what an attempt that comes from another one costs, in worth
}

func (Rules) isEvent()             {}
func (ZoneEvacuation) isEvent()    {}
func (OutlierReport) isEvent()     {}
func (EndpointUpdate) isEvent()    {}
func (Request) isEvent()           {}
func (BodySent) isEvent()          {}
func (ResponseStarted) isEvent()   {}
func (AttemptEnded) isEvent()      {}
func (ClientGone) isEvent()        {}
func (Timer) isEvent()             {}
func (HealthCheckResult) isEvent() {}
func (PeerMessage) isEvent()       {}
func (CounterResult) isEvent()     {}

// Action is something that a gateway has to do.
type Action interface{ isAction() }

// Send starts an attempt. Attempts of a request count 0, 1, 2 in order.
type Send struct {
	ID       string
	Server   uint32
	Timeout  time.Duration // time-out; 0 is until the client gives up
	NotAfter time.Duration // clock time by which it begins, or never; 0 is no bound
}

// Withdraw stops waiting for an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// Refuse is the final answer "not run, safe to try again".
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0 is no advice
}

// Fail is the final answer that promises nothing.
type Fail struct{ ID string }

// Arm asks for a Timer event.
type SetTimer struct {
	After time.Duration
	Label uint64
}

// Probe checks a server.
type HealthCheck struct{ Server uint32 }

// Disconnect closes idle connections to a server.
type Disconnect struct{ Server uint32 }

// Follow asks for the list's changes, or stops asking.
type Watch struct{ Active bool }

// Snapshot asks for the whole list once.
type FetchList struct{}

// Say sends a message to a peer; To below zero is everyone.
type SendToPeer struct {
	To  int
	Raw []byte
}

// Count adds to a number kept by the counter service.
type AddToCounter struct {
	Name uint64
	Add  float64
	TTL  time.Duration
}

// Remark is a line for the operators' log.
type LogLine struct{ Text string }

func (Send) isAction()          {}
func (CancelAttempt) isAction() {}
func (Reject) isAction()        {}
func (Fail) isAction()          {}
func (SetTimer) isAction()      {}
func (HealthCheck) isAction()   {}
func (Disconnect) isAction()    {}
func (Watch) isAction()         {}
func (FetchList) isAction()     {}
func (SendToPeer) isAction()    {}
func (AddToCounter) isAction()  {}
func (LogLine) isAction()       {}
