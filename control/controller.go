package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/mat"
)

// Controller decides for one gateway. It is not safe for concurrent use.
type Controller struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	skipped time.Duration // between the last two times at which anything was told
	start   time.Duration
	started bool
	out     []Action

	classes  map[string]*Class
	plans    []*plan
	planOf   map[string]*plan
	reqs     map[string]*request
	usual    map[*Class]*usualTTL
	topWorth float64
	nextTry  time.Duration // the shortest time seen from a client's first try to a later one
	labels   map[uint64]*request
	attempts map[attemptKey]*attempt
	custs    map[string]*customer
	servers  map[uint32]*server
	order    []*server
	label    uint64

	inflight, streams int // attempts at work, and those of them whose answer has begun
	ghosts            []ghost
	bound             float64
	span                      // counts of the interval
	latency           float64 // s, of answers in the fleet
	cutAt             time.Duration
	restUntil         time.Duration // of the part of the bound beyond a whole number
	idle, seen        float64
	servedRate        float64 // units a second by warm servers, smoothed
	answerRate        float64 // answers a second, smoothed
	coldLatency       float64 // s, of answers of cold servers; 0 is none yet
	usables           float64 // servers that could be sent to by the last list
	sharers           float64 // gateways that send to each of them, in the mean, by the last list
	retries           float64
	unitsMean         float64 // of a request
	shares            bool    // another controller decides for this gateway too; see handover.go
	clock             meterClock
	nextInterval      time.Duration
	law               *shareLaw
	away              map[string]float64 // by zone, the part that stays away
	rules             *Rules             // in force
	most              float64            // that the rules let the bound be
	following         bool
	askAt             time.Duration
	nextReport        time.Duration
	tally             tally
}

// span is what is counted in one control interval.
type span struct {
	cut, pressed         bool
	latSum, secSum, latN float64 // latency over aim, in s, and their number
	answers, bad, served float64 // served: units by warm servers
}

// tally counts, between two lines of the operators' log, why requests were refused. Without it
// a refusal for want of a turn looks like one for want of quota.
type tally struct {
	asked  int // requests that the quota decided on
	late   int // refused: could only be late, or yields
	store  int // refused: the customer's store is empty
	chance int // refused: by the metered chance
	queue  int // ended: no turn in time
	ended  int // ended: an attempt failed and no further one was allowed
	cuts   int // of the bound
}

// report writes the tally as one line and starts it anew.
func (c *Controller) report() {
	c.nextReport = c.now + reportEvery
	t := c.tally
	c.act(LogLine{Text: fmt.Sprintf("asked=%d late=%d store=%d chance=%d queue=%d ended=%d cuts=%d bound=%.1f"+
		" inflight=%d latency=%v idle=%v retries=%.1f", t.asked, t.late, t.store, t.chance, t.queue, t.ended, t.cuts,
		c.bound, c.inflight, seconds(c.latency).Round(time.Millisecond/10), seconds(c.idle).Round(time.Millisecond/10),
		c.retries)})
	c.tally = tally{}
}

// New makes the controller of one gateway. All randomness comes from seed.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	c := &Controller{set: s, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		classes: map[string]*Class{}, planOf: map[string]*plan{}, reqs: map[string]*request{},
		usual: map[*Class]*usualTTL{}, labels: map[uint64]*request{}, attempts: map[attemptKey]*attempt{},
		custs: map[string]*customer{}, servers: map[uint32]*server{}, sharers: float64(s.FleetSize)}
	c.retries, c.nextTry, c.clock.lag, c.unitsMean = c.retryRoom(), retryAfter, lagFirst, unitsFirst
	for i := range c.set.Classes {
		k := &c.set.Classes[i]
		c.classes[k.Name], c.usual[k] = k, &usualTTL{}
		c.topWorth = max(c.topWorth, k.PriorityWeight)
	}
	prices := make([]float64, len(s.Plans))
	for i, p := range s.Plans {
		pl := &plan{Plan: p, index: i, share: 1 / float64(len(s.Plans))}
		c.plans, c.planOf[p.Name], prices[i] = append(c.plans, pl), pl, p.PriceFactor
	}
	c.law, c.rules, c.most = newShareLaw(prices), &Rules{}, math.Inf(1)
	return c, nil
}

func (c *Controller) begin() {
	if c.started = true; c.start == 0 { // else that of the process before
		c.start = c.now
	}
	c.nextReport = c.now + reportEvery
	c.nextInterval = c.now + interval
	c.act(SetTimer{After: tick, Label: tickLabel})
}

// Handle takes one event and returns what the gateway has to do, in order. The
// slice is the controller's own and holds until the next call.
func (c *Controller) Handle(now time.Duration, e Event) []Action {
	c.out = c.out[:0]
	if now > c.now {
		c.now, c.skipped = now, now-c.now
	}
	if !c.started {
		c.begin()
	}
	switch e := e.(type) {
	case EndpointUpdate:
		c.onList(e)
	case Request:
		c.onRequest(e)
	case BodySent:
		c.written(c.attempts[attemptKey{e.ID, e.Attempt}])
	case ResponseStarted:
		c.onStarted(e)
	case AttemptEnded:
		c.onResponse(e)
	case ClientGone:
		if r := c.reqs[e.ID]; r != nil {
			c.forget(r)
		}
	case Timer:
		c.onTimer(e.Label)
	case OutlierReport:
		c.onHearsay(e)
	case ZoneEvacuation:
		c.away = e.Evacuated
	case Rules:
		c.onRules(e)
	}
	c.pump()
	return c.out
}

func (c *Controller) act(a Action) { c.out = append(c.out, a) }

const tickLabel = 0

func (c *Controller) wake(r *request, after time.Duration) {
	if r.label == 0 {
		c.label++
		r.label = c.label
		c.labels[r.label] = r
	}
	c.act(SetTimer{After: max(after, 0), Label: r.label})
}

// drawn is a chance, where one is asked for: none is drawn where nothing stays away.
func (c *Controller) drawn() float64 {
	if len(c.away) == 0 {
		return 0
	}
	return c.rng.Float64()
}

// shareLaw estimates y(k+1) = X [u(k); y(k)] by RLS and sets shares by law (14).
type shareLaw struct {
	n   int
	w   *mat.DiagDense
	x   *mat.Dense    // n by 2n: [B0 A1]
	p   *mat.Dense    // covariance, 2n by 2n
	phi *mat.VecDense // nil until shares have been set
}

// ease moves an estimate by a part of what it lacks of the value seen; the first is taken whole.
func ease(estimate *float64, seen, gain float64) {
	if *estimate == 0 {
		*estimate = seen
	}
	*estimate += gain * (seen - *estimate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
