package control

import (
	"math"
	"math/rand/v2"
	"time"
)

// Controller makes the decisions of one node. Each rule is a type of its own; the Controller composes the
// rules and routes events to them. It is not safe for concurrent use.
type Controller struct {
	env     environment
	started bool // an event has been handled

	requests map[string]*request     // requests without a final response, by ID
	attempts map[attemptKey]*attempt // outstanding attempts
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

	intervalEndAt time.Duration // earliest end of the control interval
	nextReportAt  time.Duration // time of the next line of the operators' log
}

// New returns a controller for one node, or an error if the settings are not valid. All its random numbers
// are drawn from seed.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	const stream = 0x9e3779b97f4a7c15 // makes the two words of the generator's seed differ
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
	c.servers = newServerSet(env)
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

// Handle applies one event at the time now and returns the actions that the caller has to carry out, in
// order. The slice belongs to the controller and is valid until the next call. A time before that of the last
// event counts as that time.
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

// route passes an event to its handler. Events that no rule uses are ignored.
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

// start begins the first control interval and the ticks, when the first event arrives.
func (c *Controller) start() {
	c.started = true
	if c.tenants.observingSince == 0 { // otherwise restored from another process
		c.tenants.observingSince = c.env.now
	}
	c.nextReportAt = c.env.now + reportInterval
	c.intervalEndAt = c.env.now + controlInterval
	c.env.emit(SetTimer{After: tickInterval, Label: tickLabel})
}

// dispatch starts attempts for queued requests while the in-flight bound has capacity.
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

// onClientGone drops the request of a client that has closed its connection.
func (c *Controller) onClientGone(e ClientGone) {
	if r := c.requests[e.ID]; r != nil {
		c.forget(r)
	}
}

// forget drops a request that needs no further response. Its outstanding attempts are still tracked.
func (c *Controller) forget(r *request) {
	c.scheduler.dequeue(r)
	delete(c.requests, r.id)
	delete(c.timers.byLabel, r.timer)
}

// timerTable holds the requests that wait for a timer, by label. All timers of a request have the same label.
type timerTable struct {
	lastLabel uint64 // last label in use
	byLabel   map[uint64]*request
}

// setTimer requests a Timer event for a request.
func (c *Controller) setTimer(r *request, after time.Duration) {
	if r.timer == 0 {
		c.timers.lastLabel++
		r.timer = c.timers.lastLabel
		c.timers.byLabel[r.timer] = r
	}
	c.env.emit(SetTimer{After: max(after, 0), Label: r.timer})
}
