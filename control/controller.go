package control

import (
	"math"
	"math/rand/v2"
	"time"
)

// Controller decides for one node. Each rule is a type of its own; the Controller composes them and routes
// events to them. It is not safe for concurrent use.
type Controller struct {
	env     environment
	started bool // has handled an event

	requests map[string]*request     // without a final answer, by ID
	attempts map[attemptKey]*attempt // outstanding
	timers   timerTable
	classes  map[string]*Class

	classifier  attemptClassifier
	admission   admission
	tenants     tenantTable
	meter       usageMeter
	scheduler   scheduler
	concurrency concurrencyLimit
	shares      *shareController
	servers     serverSet
	watch       endpointWatch
	balancer    balancer
	outliers    outlierDetector
	slowStart   slowStart
	retries     retryPolicy
	traffic     trafficStats
	interval    intervalStats
	counts      rejectionCounts

	intervalEndAt time.Duration // when the control interval ends, at the earliest
	nextReportAt  time.Duration // when the next line of the operators' log is due
}

// New returns the controller of one node. All its random numbers come from seed.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	const stream = 0x9e3779b97f4a7c15
	c := &Controller{
		requests: map[string]*request{},
		attempts: map[attemptKey]*attempt{},
		classes:  map[string]*Class{},
		timers:   timerTable{byLabel: map[uint64]*request{}},
	}
	c.env = environment{settings: s, random: rand.New(rand.NewPCG(seed, seed^stream)), rules: &Rules{}}
	env := &c.env
	for i := range env.settings.Classes {
		class := &env.settings.Classes[i]
		c.classes[class.Name] = class
	}
	c.traffic = trafficStats{meanTokens: initialMeanTokens}
	c.servers = serverSet{env: env, byID: map[uint32]*server{}, nodesPerServer: float64(s.FleetSize)}
	c.slowStart = slowStart{env: env, servers: &c.servers, traffic: &c.traffic}
	c.outliers = outlierDetector{env: env, servers: &c.servers, traffic: &c.traffic}
	c.balancer = balancer{
		env:       env,
		servers:   &c.servers,
		traffic:   &c.traffic,
		outliers:  &c.outliers,
		slowStart: &c.slowStart,
	}
	c.watch = endpointWatch{env: env}
	c.concurrency = concurrencyLimit{
		env:        env,
		servers:    &c.servers,
		slowStart:  &c.slowStart,
		traffic:    &c.traffic,
		rulesBound: math.Inf(1),
	}
	c.tenants = tenantTable{env: env, traffic: &c.traffic, byKey: map[string]*tenant{}}
	c.meter = usageMeter{env: env, tenants: &c.tenants, phase: meterPhase{lag: initialMeterLag}}
	c.classifier = newAttemptClassifier(env)
	c.admission = admission{
		env:               env,
		tenants:           &c.tenants,
		concurrency:       &c.concurrency,
		traffic:           &c.traffic,
		counts:            &c.counts,
		maxPriorityWeight: maxPriorityWeight(s.Classes),
	}
	c.scheduler = newScheduler(env, &c.balancer)
	c.shares = newShareController(c.scheduler.priceFactors())
	c.retries = newRetryPolicy(env, &c.traffic)
	return c, nil
}

// Handle takes one event and returns what the node has to do, in order. The slice is the controller's own
// and valid until the next call.
func (c *Controller) Handle(now time.Duration, e Event) []Action {
	c.env.actions = c.env.actions[:0]
	if now > c.env.now {
		c.env.sinceLastEvent = now - c.env.now
		c.env.now = now
	}
	if !c.started {
		c.start()
	}
	c.route(e)
	c.dispatch()
	return c.env.actions
}

func (c *Controller) route(e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		c.onEndpointUpdate(e)
	case Request:
		c.onRequest(e)
	case BodySent:
		c.onBodySent(e)
	case ResponseStarted:
		c.onResponseStarted(e)
	case AttemptEnded:
		c.onAttemptEnded(e)
	case ClientGone:
		c.onClientGone(e)
	case Timer:
		c.onTimer(e.Label)
	case OutlierReport:
		c.outliers.onReport(e)
	case ZoneEvacuation:
		c.env.evacuated = e.Evacuated
	case Rules:
		c.onRules(e)
	}
}

// start begins the controller's clock with the first event.
func (c *Controller) start() {
	c.started = true
	if c.tenants.observingSince == 0 { // else that of the process before
		c.tenants.observingSince = c.env.now
	}
	c.nextReportAt = c.env.now + reportInterval
	c.intervalEndAt = c.env.now + controlInterval
	c.env.emit(SetTimer{After: tickInterval, Label: tickLabel})
}

// dispatch sends queued requests while the in-flight bound has capacity.
func (c *Controller) dispatch() {
	for c.concurrency.hasCapacity() {
		r, s := c.scheduler.next()
		if r == nil {
			return
		}
		c.startAttempt(r, s)
	}
	c.interval.saturated = true
}

// onClientGone drops the request of a client that has left.
func (c *Controller) onClientGone(e ClientGone) {
	if r := c.requests[e.ID]; r != nil {
		c.forget(r)
	}
}

// forget drops a request that has its final answer. Its outstanding attempts go on.
func (c *Controller) forget(r *request) {
	c.scheduler.dequeue(r)
	delete(c.requests, r.id)
	delete(c.timers.byLabel, r.timer)
}

// timerTable holds the requests that wait for a timer. A request has one label for all its timers.
type timerTable struct {
	lastLabel uint64
	byLabel   map[uint64]*request
}

// setTimer asks for a Timer event of a request.
func (c *Controller) setTimer(r *request, after time.Duration) {
	if r.timer == 0 {
		c.timers.lastLabel++
		r.timer = c.timers.lastLabel
		c.timers.byLabel[r.timer] = r
	}
	c.env.emit(SetTimer{After: max(after, 0), Label: r.timer})
}
