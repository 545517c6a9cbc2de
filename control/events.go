package control

import "time"

// Event is something that happened to a node. The times in events are those of the caller's clock, which only
// moves forward.
type Event interface{ isEvent() }

// Condition is the state of a server in the endpoint list.
type Condition int

// The conditions of a listed server.
const (
	Active   Condition = iota // the server accepts requests
	Draining                  // the server only finishes its requests
	Removed                   // the server is no longer listed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server       uint32 // number of the server at this node
	HashKey      uint32 // number of the server that is the same at all nodes; 0 means that Server is used
	Condition    Condition
	Zone         string
	Cell         int           // number of the server's cell: a set of servers that may drop duplicates together
	Flavor       string        // model of the server's machine
	Size         float64       // capacity of the server
	StartedAt    time.Duration // time of the server's latest start, if HasStartedAt
	HasStartedAt bool          // StartedAt is known; false means that the server started long ago
}

// UpdateKind is the kind of content of an EndpointUpdate.
type UpdateKind int

// The kinds of endpoint updates.
const (
	Delta    UpdateKind = iota // the entries that changed
	Complete                   // the complete list
	Cached                     // the complete list as last known, possibly out of date
	Failed                     // none: a fetch failed or a watch ended
)

// Outcome is the way in which an attempt, a health check or a call of the counter service ended.
type Outcome int

// The outcomes. The values are those on the wire. "May have run" means that the server may have begun the
// work of the request.
const (
	OK            Outcome = 100
	Errored       Outcome = 301 // the server returned an error; may have run
	Overloaded    Outcome = 302 // the server rejected the attempt; never ran
	TimedOut      Outcome = 303 // no response in time; may have run, and may still be running
	ConnectFailed Outcome = 304 // no connection could be opened; never ran
	ResetByPeer   Outcome = 305 // the connection was reset; may have run
	Cancelled     Outcome = 306 // the attempt was canceled; may have run
	NeverSent     Outcome = 307 // the attempt was not sent; never ran
)

// LoadReport is the load that a server reported: active and waiting requests, CPU utilization, mean latency
// in milliseconds, and requests and errors per second. A negative number means that the server did not report
// it.
type LoadReport struct {
	Active, Waiting, CPU, AvgMS, RPS, ErrRPS float64
}

// EndpointUpdate is a change of the endpoint list, or the complete list.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
	// NodesPerServer is the mean number of nodes that send to each listed server, where each node uses a subset
	// of the servers. 0 means Settings.FleetSize.
	NodesPerServer float64
}

// Request is a request of a client. It receives exactly one final response, or none if its client closes the
// connection first (ClientGone).
type Request struct {
	ID           string
	Class        string
	Plan         string
	Tenant       string
	TimeLeft     time.Duration // time until the client gives up
	Tokens       float64       // expected cost of the request
	TenantNodes  int           // number of nodes that the tenant's requests may arrive at
	FirstNode    int           // index of the first of these nodes
	Retry        bool          // the client marked the request as a retry
	Write        bool          // the request may change data: its method is not GET
	StreamedBody bool          // the body is forwarded while it arrives; BodySent follows when it is complete
	Bucket       *SharedBucket // report of the owner of the tenant's token bucket; nil means none
}

// SharedBucket is the state of a tenant's token bucket by the last report of the bucket's owner.
type SharedBucket struct {
	Tokens     float64       // tokens in the bucket, less what this node has consumed since the report
	LowerBound bool          // the bucket holds Tokens or more
	Age        time.Duration // age of the report
}

// BodySent reports that an attempt of a request with a streamed body has been sent completely. The server's
// work and the client's time begin now.
type BodySent struct {
	ID      string
	Attempt int
}

// ResponseStarted reports that the header of a streamed response has arrived. What the header reports is in
// this event, as the rest of the response may take long.
type ResponseStarted struct {
	ID           string
	Attempt      int
	Server       uint32
	Latency      time.Duration // time from the start of the attempt
	Tokens       float64       // true cost of the request; 0 means not reported
	MeterReading int           // as in AttemptEnded
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	ID           string
	Attempt      int
	Server       uint32
	Outcome      Outcome
	Done         bool          // the request has its final response
	BodyConsumed bool          // the request cannot be sent again, as a part of its body is no longer held
	Latency      time.Duration // time from the start of the attempt
	Tokens       float64       // true cost of the request; 0 means not reported
	MeterReading int           // 1 + percent of the quota used in the last metered period; 0 means not reported
	LoadReport   *LoadReport
}

// ClientGone reports that the client has closed its connection.
type ClientGone struct{ ID string }

// Timer reports that the timer of a SetTimer action has expired.
type Timer struct{ Label uint64 }

// HealthCheckResult reports how a health check ended.
type HealthCheckResult struct {
	Server     uint32
	Outcome    Outcome
	Latency    time.Duration
	LoadReport *LoadReport
}

// PeerMessage is a message from another node.
type PeerMessage struct {
	From int
	Raw  []byte
}

// CounterResult is the result of an AddToCounter action.
type CounterResult struct {
	Name    uint64
	Total   float64
	Latency time.Duration
	Outcome Outcome
}

// OutlierReport reports that enough other nodes, each by its own attempts, found a server's process to be far
// slower than usual.
type OutlierReport struct {
	Server    uint32
	Reporters int           // number of nodes that found the server slow
	Until     time.Duration // time at which the report expires
}

// ZoneEvacuation reports the evacuated zones: by zone, the fraction of its usual traffic that has to be kept
// away. At 1 the zone receives attempts only if no other zone can. Zones that are not named receive their
// usual traffic.
type ZoneEvacuation struct{ Evacuated map[string]float64 }

// Rules puts a version of the operators' rules in force, in place of the version before. Whatever it does not
// name is as in the settings, and the zero value means the settings alone. A request keeps MaxAttempts,
// ClosedZones and CrossZoneCost of the version in force at its arrival until it ends; the other fields apply
// to all requests at once. The caller must not modify what the fields refer to.
type Rules struct {
	Version           uint64
	PriceFactor       []float64          // by plan; NaN means the price factor of the settings
	QuotaFactor       []float64          // by plan: factor on the rate and burst of the settings
	TenantQuotaFactor map[string]float64 // by "PLAN TENANT"; replaces QuotaFactor for the tenant
	MaxAttempts       []int              // by class; 0 means no limit; the settings' limit still applies
	MaxInFlight       int                // maximum attempts in flight, at most the settings'; 0 means no limit
	ClosedZones       []string           // zones that receive new attempts only if no other zone can
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
