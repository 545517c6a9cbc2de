package control

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sort"
	"testing"
	"time"
)

// world feeds a controller seeded legal events and holds its actions to the rules.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	set      Settings
	c        *Controller
	now      time.Duration
	log      []string
	members  map[uint32]*Endpoint
	toldBad  map[uint32]bool
	open     map[string]*issuedRequest
	out      []worldAttempt
	timers   []Timer
	due      []time.Duration
	next     int
	ceilings map[string]float64
	ceilAt   map[string]time.Duration
	rules    *Rules // in force; nil draws none
	events   []timed
	late     int // further attempts under rules that are no longer in force
}

// timed is an event of a run and its time.
type timed struct {
	at time.Duration
	e  Event
}

type issuedRequest struct {
	class    Class
	plan     string
	customer string
	units    float64
	end      time.Duration
	sends    int
	out      int
	mayRun   bool
	firstRun time.Duration
	firstSrv uint32
	rules    Rules // in force when it began
}

type worldAttempt struct {
	id   string
	n    int
	srv  uint32
	at   time.Duration
	till time.Duration
}

func varied(rng *rand.Rand) Settings {
	s := Settings{FleetSize: []int{1, 2, 4, 60, 300, 100000}[rng.IntN(6)], Zone: "z1", MaxAttempts: 1 + rng.IntN(5), SendsRetryAfter: rng.IntN(2) == 0,
		MaxRetryAfter: time.Second, SlowStartDuration: 10 * time.Second, SlowStartInitialFraction: 0.2, OverloadWindow: time.Second, OverloadFactor: 2,
		ResponsesReportTokens: rng.IntN(2) == 0, PollDiscovery: rng.IntN(2) == 0, MaxPollInterval: 10 * time.Second,
		CanCancel: rng.IntN(2) == 0, HealthChecks: rng.IntN(2) == 0, MaxRequestTokens: 4}
	if rng.IntN(4) > 0 {
		s.MeterPeriod = time.Second
	}
	for e := Idempotent; e <= NonIdempotent; e++ {
		for k := KeyScopeAll; k <= KeyScopeCell; k++ {
			s.Classes = append(s.Classes, Class{Name: fmt.Sprint("c", e, k), LatencyObjective: time.Duration(200+rng.IntN(1500)) * ms,
				Deadline: time.Duration(2000+rng.IntN(4000)) * ms, Idempotency: e, KeyScope: k, PriorityWeight: 1,
				IdempotencyWindow: time.Duration(500+rng.IntN(3000)) * ms, Stream: rng.IntN(5) == 0})
		}
	}
	s.Plans = []Plan{{Name: "rate", PriceFactor: 1, Rate: 20, Burst: 40}, {Name: "open", PriceFactor: 0.5, MaxConcurrent: 3},
		{Name: "both", PriceFactor: 2, Rate: 10, Burst: 10, MaxConcurrent: 4},
		{Name: "ceil", PriceFactor: 1.5, Rate: 20, Burst: 20, CeilingRate: 40, CeilingBurst: 40, CeilingOverdraft: 4}}
	return s
}

func (w *world) handle(e Event) {
	w.log = append(w.log, fmt.Sprintf("%v %T", w.now, e))
	w.events = append(w.events, timed{w.now, e})
	for _, a := range w.c.Handle(w.now, e) {
		w.log = append(w.log, fmt.Sprintf("  %T%+v", a, a))
		switch a := a.(type) {
		case Send:
			w.send(a)
		case Reject:
			w.rejected(a)
		case Fail:
			w.finished(a.ID)
		case SetTimer:
			w.timers, w.due = append(w.timers, Timer{a.Label}), append(w.due, w.now+a.After)
		case CancelAttempt:
			if !w.set.CanCancel {
				w.t.Fatal("withdrew where it is not permitted")
			}
		case HealthCheck:
			if !w.set.HealthChecks {
				w.t.Fatal("probed where it is not permitted")
			}
		case SendToPeer, AddToCounter:
			w.t.Fatalf("%T on the ordinary path", a)
		}
	}
}

func (w *world) send(a Send) {
	r := w.open[a.ID]
	switch {
	case r == nil:
		w.t.Fatalf("%s was sent but is not open", a.ID)
	case w.toldBad[a.Server] || w.members[a.Server] == nil:
		w.t.Fatalf("%s went to server %d, which is draining or gone", a.ID, a.Server)
	case r.out > 0:
		w.t.Fatalf("%s has two attempts out", a.ID)
	case r.sends >= w.set.MaxAttempts:
		w.t.Fatalf("%s was sent more than %d times", a.ID, w.set.MaxAttempts)
	}
	if r.mayRun && r.class.Idempotency == NonIdempotent {
		w.t.Fatalf("%s may have run and was sent again", a.ID)
	}
	if r.mayRun && r.class.Idempotency == IdempotentByKey {
		f, s := w.members[r.firstSrv], w.members[a.Server]
		if w.now > r.firstRun+r.class.IdempotencyWindow || r.class.KeyScope == KeyScopeCell && f.Cell != s.Cell ||
			r.class.KeyScope == KeyScopeZone && f.Zone != s.Zone {
			w.t.Fatalf("%s may have run and was sent again outside its group or window", a.ID)
		}
	}
	w.checkRules(r, a)
	if r.sends == 0 && r.plan == "ceil" {
		w.drawCeiling(r)
	}
	till := r.end
	if a.Timeout > 0 {
		till = min(till, w.now+a.Timeout)
	}
	w.out = append(w.out, worldAttempt{a.ID, r.sends, a.Server, w.now, till})
	r.sends++
	r.out++
}

// drawCeiling holds this node to its part of the ceiling with part of the slack.
func (w *world) drawCeiling(r *issuedRequest) {
	p := w.set.Plans[3]
	if _, known := w.ceilings[r.customer]; !known {
		w.ceilings[r.customer], w.ceilAt[r.customer] = p.CeilingOverdraft/2, time.Hour
	}
	lv := w.ceilings[r.customer] + (w.now-w.ceilAt[r.customer]).Seconds()*p.CeilingRate/2
	w.ceilings[r.customer], w.ceilAt[r.customer] = min(lv, p.CeilingBurst/2)-r.units, w.now
	if w.ceilings[r.customer] < -1e-6 {
		w.t.Fatalf("the part of a ceiling fell to %g", w.ceilings[r.customer])
	}
}

func (w *world) rejected(a Reject) {
	if r := w.open[a.ID]; r != nil && (r.mayRun || r.out > 0) {
		if r.class.Idempotency == NonIdempotent || r.class.Idempotency == IdempotentByKey && r.class.KeyScope != KeyScopeAll {
			w.t.Fatalf("%s may have run and was refused", a.ID)
		}
	}
	w.finished(a.ID)
}

func (w *world) finished(id string) {
	if w.open[id] == nil {
		w.t.Fatalf("%s has a second final answer", id)
	}
	delete(w.open, id)
}

// list is the whole list in a fixed order, with a chance of change for each.
func (w *world) list() EndpointUpdate {
	var l EndpointUpdate
	l.Kind = Complete
	for id := uint32(1); id <= 8; id++ {
		m := &Endpoint{Server: id, Zone: fmt.Sprint("z", 1+id%2), Cell: int(id / 3), Size: 1}
		w.members[id] = m
		switch w.rng.IntN(6) {
		case 0:
			m.Condition = Draining
		case 1:
			w.toldBad[id] = true
			continue // gone
		case 2:
			m.HasStartedAt, m.StartedAt = true, w.now-ms
		}
		w.toldBad[id] = m.Condition != Active
		l.Endpoints = append(l.Endpoints, *m)
	}
	return l
}

// outcome ends the attempt at an index of out.
func (w *world) outcome(i int) {
	f := w.out[i]
	w.out = append(w.out[:i], w.out[i+1:]...)
	why := []Outcome{OK, OK, OK, OK, Errored, Overloaded, ConnectFailed, ResetByPeer}[w.rng.IntN(8)]
	if w.now >= f.till {
		why = TimedOut
	}
	r := w.open[f.id]
	e := AttemptEnded{ID: f.id, Attempt: f.n, Server: f.srv, Outcome: why, Done: r == nil || why == OK,
		MeterReading: w.rng.IntN(300), Tokens: float64(1 + w.rng.IntN(4)), LoadReport: &LoadReport{Active: 3, CPU: 0.5}}
	if r != nil {
		r.out--
		if why == OK {
			delete(w.open, f.id)
		} else if why != Overloaded && why != ConnectFailed && !r.mayRun {
			r.mayRun, r.firstRun, r.firstSrv = true, f.at, f.srv
		}
	}
	w.handle(e)
}

func (w *world) step() {
	w.now += time.Duration(w.rng.IntN(12)) * ms
	for i := 0; i < len(w.due); i++ {
		if w.due[i] <= w.now {
			e := w.timers[i]
			w.timers, w.due = append(w.timers[:i], w.timers[i+1:]...), append(w.due[:i], w.due[i+1:]...)
			w.handle(e)
			i = -1
		}
	}
	for i := 0; i < len(w.out); i++ {
		if w.now >= w.out[i].till {
			w.outcome(i)
			i = -1
		}
	}
	if w.rules != nil && w.rng.IntN(50) == 0 {
		w.change()
	}
	switch k := w.rng.IntN(100); {
	case k < 45:
		w.arrive()
	case k < 90 && len(w.out) > 0:
		w.outcome(w.rng.IntN(len(w.out)))
	case k < 92:
		w.handle(w.list())
	case k < 93:
		w.handle(EndpointUpdate{Kind: Failed})
	case k < 94:
		w.handle(AttemptEnded{ID: "not held", Server: 3, Outcome: OK})
	case k < 95:
		w.handle(HealthCheckResult{Server: uint32(w.rng.IntN(10)), Outcome: OK})
	case k < 96:
		ids := make([]string, 0, len(w.open))
		for id := range w.open {
			ids = append(ids, id)
		}
		if sort.Strings(ids); len(ids) > 0 {
			id := ids[w.rng.IntN(len(ids))]
			delete(w.open, id)
			w.handle(ClientGone{ID: id})
		}
	}
	for id, r := range w.open {
		if w.now > r.end+16*ms {
			w.t.Fatalf("%s has no answer %v after its end", id, w.now-r.end)
		}
	}
}

func (w *world) arrive() {
	w.next++
	k := w.set.Classes[w.rng.IntN(len(w.set.Classes))]
	r := &issuedRequest{class: k, plan: w.set.Plans[w.rng.IntN(4)].Name, customer: fmt.Sprint("k", w.rng.IntN(6)),
		units: float64(1 + w.rng.IntN(3)), end: w.now + time.Duration(300+w.rng.IntN(3000))*ms}
	if w.rules != nil {
		r.rules = *w.rules
	}
	id := fmt.Sprint("r", w.next)
	w.open[id] = r
	w.handle(Request{ID: id, Class: k.Name, Plan: r.plan, Tenant: r.customer, TimeLeft: r.end - w.now,
		Tokens: r.units, TenantNodes: 1 + w.rng.IntN(90)}) // the spread may change within a day
}

func play(t *testing.T, seed uint64, steps int, first ...Rules) *world {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &world{t: t, rng: rng, set: varied(rng), now: time.Hour, members: map[uint32]*Endpoint{},
		toldBad: map[uint32]bool{}, open: map[string]*issuedRequest{}, ceilings: map[string]float64{},
		ceilAt: map[string]time.Duration{}}
	c, err := New(w.set, seed)
	if err != nil {
		t.Fatal(err)
	}
	w.c = c
	l := w.list()
	l.Kind = Cached
	w.handle(l)
	for i, e := range first {
		w.handle(e)
		if w.log = w.log[:len(w.log)-1]; i+1 == len(first) && e.Version > 0 {
			w.rules = &first[i]
		}
	}
	for i := 0; i < steps; i++ {
		w.step()
	}
	return w
}

// Any legal sequence of events keeps the rules, and gives the same actions twice.
func TestAnyLegalSequenceKeepsTheRules(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		a := play(t, seed, 2500)
		if seed <= 10 {
			b := play(t, seed, 2500)
			if !reflect.DeepEqual(a.log, b.log) {
				t.Fatalf("seed %d: two runs of the same events differ", seed)
			}
		}
	}
}

// Memory for tenants, requests and servers stays bounded.
func TestMemoryIsBounded(t *testing.T) {
	s := settings()
	s.MaxTenants = 1500 // as on a machine of 26 MB
	g := newHarness(t, s, endpoints(1, 2, 3)...)
	for i := 0; i < 30000; i++ {
		id := fmt.Sprint("r", i)
		g.request(id, "job", "low", fmt.Sprint("once", i))
		if g.n[id] > 0 {
			g.answer(id, OK, 0)
		}
		g.advance(2 * ms)
		if i%100 == 0 {
			g.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(uint32(i+1), uint32(i+2))})
			g.sends, g.acts = nil, nil
		}
	}
	if n := len(g.c.tenants.byKey); n > s.MaxTenants+500 { // and those of the second since they were last looked at
		t.Errorf("%d customers remembered", n)
	}
	if n := len(g.c.requests) + len(g.c.timers.byLabel) + len(g.c.attempts); n > 100 {
		t.Errorf("%d requests, labels and attempts held", n)
	}
	if n := len(g.c.servers.byID); n > 10 {
		t.Errorf("%d servers held, two are listed", n)
	}
}
