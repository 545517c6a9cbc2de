package control

import "time"

// Event is something that happened to a node. Times are those of the caller's clock, which only moves
// forward.
type Event interface{ isEvent() }

// Condition is a server's state in the endpoint list.
type Condition int

// The conditions of a listed server.
const (
	Active   Condition = iota // takes requests
	Draining                  // finishes what it has
	Removed                   // is gone
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server       uint32 // identifies the server at this node
	HashKey      uint32 // identifies the server at every node, where Server is this node's own; 0 is Server
	Condition    Condition
	Zone         string
	Cell         int
	Flavor       string
	Size         float64
	StartedAt    time.Duration // time of the latest start
	HasStartedAt bool          // false: long ago
}

// UpdateKind is what an EndpointUpdate holds.
type UpdateKind int

// The kinds of endpoint updates.
const (
	Delta    UpdateKind = iota // the entries that changed
	Complete                   // the complete list
	Cached                     // the complete list as it was last known, maybe out of date
	Failed                     // a fetch failed or a watch ended; no entries
)

// Outcome is how an attempt, a health check or a call of the counter ended.
type Outcome int

// The outcomes.
const (
	OK            Outcome = 100
	Errored       Outcome = 301 // may have run
	Overloaded    Outcome = 302 // rejected by the server, never ran
	TimedOut      Outcome = 303 // may have run, may be running
	ConnectFailed Outcome = 304 // never ran
	ResetByPeer   Outcome = 305 // may have run
	Cancelled     Outcome = 306 // may have run
	NeverSent     Outcome = 307 // never ran
)

// LoadReport is what a server reports of its load; a negative number was not reported.
type LoadReport struct {
	Active, Waiting, CPU, AvgMS, RPS, ErrRPS float64
}

// EndpointUpdate is a change of the endpoint list, or the whole list.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
	// NodesPerServer is the mean number of nodes that send to each listed server, where each node uses
	// a subset of the servers; 0 is Settings.FleetSize.
	NodesPerServer float64
}

// Request is a client's request. It is owed exactly one final answer.
type Request struct {
	ID           string
	Class        string
	Plan         string
	Tenant       string
	TimeLeft     time.Duration // until the client gives up
	Tokens       float64       // that the request is expected to cost
	TenantNodes  int           // number of nodes that this tenant may come through
	FirstNode    int           // index of the first of them
	Retry        bool          // the client marked it as a retry
	Write        bool
	StreamedBody bool          // its body is passed on while it comes: BodySent follows when it is complete
	Bucket       *SharedBucket // nil is nothing known
}

// SharedBucket is what the owner of a tenant's token bucket reported of it.
type SharedBucket struct {
	Tokens     float64       // that it holds, less what this node has consumed since
	LowerBound bool          // it holds Tokens or more
	Age        time.Duration // since it was true
}

// BodySent reports that an attempt of a request with a streamed body is written completely. Only now its
// server begins the work, and the client's time runs.
type BodySent struct {
	ID      string
	Attempt int
}

// ResponseStarted reports that a streamed answer has begun. What its header reports comes here, as the rest
// may take long.
type ResponseStarted struct {
	ID           string
	Attempt      int
	Server       uint32
	Latency      time.Duration
	Tokens       float64 // true cost; 0 is not reported
	MeterReading int     // as in AttemptEnded
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	ID           string
	Attempt      int
	Server       uint32
	Outcome      Outcome
	Done         bool // the request has its final answer
	BodyConsumed bool // the request can't be sent again: a part of its body is gone
	Latency      time.Duration
	Tokens       float64 // true cost; 0 is not reported
	MeterReading int     // 1 + percent of the quota used in the last metered period; 0 is not reported
	LoadReport   *LoadReport
}

// ClientGone reports that the client has left.
type ClientGone struct{ ID string }

// Timer reports that a timer is due.
type Timer struct{ Label uint64 }

// HealthCheckResult reports how a health check ended.
type HealthCheckResult struct {
	Server     uint32
	Outcome    Outcome
	Latency    time.Duration
	LoadReport *LoadReport
}

// PeerMessage is a message of another node.
type PeerMessage struct {
	From int
	Raw  []byte
}

// CounterResult is the answer to AddToCounter.
type CounterResult struct {
	Name    uint64
	Total   float64
	Latency time.Duration
	Outcome Outcome
}

// OutlierReport reports that enough other nodes, each by attempts of its own, found a server's process far
// slower than is usual.
type OutlierReport struct {
	Server    uint32
	Reporters int
	Until     time.Duration // time at which the report expires
}

// ZoneEvacuation reports which fraction of its usual traffic is to stay away from each zone that is not
// to have all of it; 1 is to send there only where nothing else is.
type ZoneEvacuation struct{ Evacuated map[string]float64 }

// Rules puts a version of the operators' rules in force, in place of the one before. What it does not
// name is as in the settings; the zero value is the settings alone. A request goes by the version that was
// in force when it began, to its end. The caller must not change what the fields hold.
type Rules struct {
	Version           uint64
	PriceFactor       []float64          // by plan; NaN is the settings'
	QuotaFactor       []float64          // by plan: times the settings' rate and burst
	TenantQuotaFactor map[string]float64 // by tenantKey, in place of QuotaFactor
	MaxAttempts       []int              // by class, if the settings allow as many; 0 is no limit
	MaxInFlight       int                // attempts in flight, if the settings allow as many; 0 is no limit
	ClosedZones       []string           // zones that get nothing new where another is open
	CrossZoneCost     map[string]float64 // by zone: value that an attempt from another zone costs
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
