package control

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sort"
	"testing"
	"time"
)

// randomRun feeds a controller seeded legal events and holds its actions to the rules.
type randomRun struct {
	t                    *testing.T
	rng                  *rand.Rand
	settings             Settings
	controller           *Controller
	now                  time.Duration
	log                  []string
	endpoints            map[uint32]*Endpoint
	unusable             map[uint32]bool
	requests             map[string]*issuedRequest
	inFlight             []runAttempt
	timers               []Timer
	timersDueAt          []time.Duration
	lastRequest          int
	ceilingLevels        map[string]float64
	ceilingUpdatedAt     map[string]time.Duration
	rules                *Rules // in force; nil draws none
	events               []handledEvent
	retriesUnderOldRules int // further attempts under rules that are no longer in force
}

// handledEvent is an event of a run and its time.
type handledEvent struct {
	at    time.Duration
	event Event
}

type issuedRequest struct {
	class       Class
	plan        string
	tenant      string
	tokens      float64
	giveUp      time.Duration
	attempts    int
	outstanding int
	mayHaveRun  bool
	firstRun    time.Duration
	firstServer uint32
	rules       Rules // in force when it began
}

type runAttempt struct {
	id         string
	number     int
	server     uint32
	startedAt  time.Duration
	timesOutAt time.Duration
}

func randomSettings(rng *rand.Rand) Settings {
	s := Settings{FleetSize: []int{1, 2, 4, 60, 300, 100000}[rng.IntN(6)], Zone: "z1", MaxAttempts: 1 + rng.IntN(5), SendsRetryAfter: rng.IntN(2) == 0,
		MaxRetryAfter: time.Second, SlowStartDuration: 10 * time.Second, SlowStartInitial: 0.2, OverloadWindow: time.Second, OverloadFactor: 2,
		CostWithAnswer: rng.IntN(2) == 0, PollDiscovery: rng.IntN(2) == 0, PollWithin: 10 * time.Second,
		CanCancel: rng.IntN(2) == 0, HealthChecks: rng.IntN(2) == 0, MaxTokens: 4}
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

func (w *randomRun) handle(e Event) {
	w.log = append(w.log, fmt.Sprintf("%v %T", w.now, e))
	w.events = append(w.events, handledEvent{w.now, e})
	for _, a := range w.controller.Handle(w.now, e) {
		w.log = append(w.log, fmt.Sprintf("  %T%+v", a, a))
		switch a := a.(type) {
		case Send:
			w.checkSend(a)
		case Reject:
			w.checkReject(a)
		case Fail:
			w.checkFinalAnswer(a.ID)
		case SetTimer:
			w.timers, w.timersDueAt = append(w.timers, Timer{a.Label}), append(w.timersDueAt, w.now+a.After)
		case CancelAttempt:
			if !w.settings.CanCancel {
				w.t.Fatal("withdrew where it is not permitted")
			}
		case HealthCheck:
			if !w.settings.HealthChecks {
				w.t.Fatal("probed where it is not permitted")
			}
		case SendToPeer, AddToCounter:
			w.t.Fatalf("%T on the ordinary path", a)
		}
	}
}

func (w *randomRun) checkSend(a Send) {
	r := w.requests[a.ID]
	switch {
	case r == nil:
		w.t.Fatalf("%s was sent but is not open", a.ID)
	case w.unusable[a.Server] || w.endpoints[a.Server] == nil:
		w.t.Fatalf("%s went to server %d, which is draining or gone", a.ID, a.Server)
	case r.outstanding > 0:
		w.t.Fatalf("%s has two attempts out", a.ID)
	case r.attempts >= w.settings.MaxAttempts:
		w.t.Fatalf("%s was sent more than %d times", a.ID, w.settings.MaxAttempts)
	}
	if r.mayHaveRun && r.class.Idempotency == NonIdempotent {
		w.t.Fatalf("%s may have run and was sent again", a.ID)
	}
	if r.mayHaveRun && r.class.Idempotency == IdempotentByKey {
		f, s := w.endpoints[r.firstServer], w.endpoints[a.Server]
		if w.now > r.firstRun+r.class.IdempotencyWindow || r.class.KeyScope == KeyScopeCell && f.Cell != s.Cell ||
			r.class.KeyScope == KeyScopeZone && f.Zone != s.Zone {
			w.t.Fatalf("%s may have run and was sent again outside its group or window", a.ID)
		}
	}
	w.checkRules(r, a)
	if r.attempts == 0 && r.plan == "ceil" {
		w.checkCeiling(r)
	}
	till := r.giveUp
	if a.Timeout > 0 {
		till = min(till, w.now+a.Timeout)
	}
	w.inFlight = append(w.inFlight, runAttempt{a.ID, r.attempts, a.Server, w.now, till})
	r.attempts++
	r.outstanding++
}

// checkCeiling holds this node to its part of the ceiling with part of the slack.
func (w *randomRun) checkCeiling(r *issuedRequest) {
	p := w.settings.Plans[3]
	if _, known := w.ceilingLevels[r.tenant]; !known {
		w.ceilingLevels[r.tenant], w.ceilingUpdatedAt[r.tenant] = p.CeilingOverdraft/2, time.Hour
	}
	lv := w.ceilingLevels[r.tenant] + (w.now-w.ceilingUpdatedAt[r.tenant]).Seconds()*p.CeilingRate/2
	w.ceilingLevels[r.tenant], w.ceilingUpdatedAt[r.tenant] = min(lv, p.CeilingBurst/2)-r.tokens, w.now
	if w.ceilingLevels[r.tenant] < -1e-6 {
		w.t.Fatalf("the part of a ceiling fell to %g", w.ceilingLevels[r.tenant])
	}
}

func (w *randomRun) checkReject(a Reject) {
	if r := w.requests[a.ID]; r != nil && (r.mayHaveRun || r.outstanding > 0) {
		if r.class.Idempotency == NonIdempotent || r.class.Idempotency == IdempotentByKey && r.class.KeyScope != KeyScopeAll {
			w.t.Fatalf("%s may have run and was refused", a.ID)
		}
	}
	w.checkFinalAnswer(a.ID)
}

func (w *randomRun) checkFinalAnswer(id string) {
	if w.requests[id] == nil {
		w.t.Fatalf("%s has a second final answer", id)
	}
	delete(w.requests, id)
}

// drawEndpointUpdate is the whole drawEndpointUpdate in a fixed order, with a chance of change for each.
func (w *randomRun) drawEndpointUpdate() EndpointUpdate {
	var l EndpointUpdate
	l.Kind = Complete
	for id := uint32(1); id <= 8; id++ {
		m := &Endpoint{Server: id, Zone: fmt.Sprint("z", 1+id%2), Cell: int(id / 3), Size: 1}
		w.endpoints[id] = m
		switch w.rng.IntN(6) {
		case 0:
			m.Condition = Draining
		case 1:
			w.unusable[id] = true
			continue // gone
		case 2:
			m.HasStartedAt, m.StartedAt = true, w.now-ms
		}
		w.unusable[id] = m.Condition != Active
		l.Endpoints = append(l.Endpoints, *m)
	}
	return l
}

// endAttempt ends the attempt at an index of out.
func (w *randomRun) endAttempt(i int) {
	f := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	why := []Outcome{OK, OK, OK, OK, Errored, Overloaded, ConnectFailed, ResetByPeer}[w.rng.IntN(8)]
	if w.now >= f.timesOutAt {
		why = TimedOut
	}
	r := w.requests[f.id]
	e := AttemptEnded{ID: f.id, Attempt: f.number, Server: f.server, Outcome: why, Done: r == nil || why == OK,
		MeterReading: w.rng.IntN(300), Tokens: float64(1 + w.rng.IntN(4)), LoadReport: &LoadReport{Active: 3, CPU: 0.5}}
	if r != nil {
		r.outstanding--
		if why == OK {
			delete(w.requests, f.id)
		} else if why != Overloaded && why != ConnectFailed && !r.mayHaveRun {
			r.mayHaveRun, r.firstRun, r.firstServer = true, f.startedAt, f.server
		}
	}
	w.handle(e)
}

func (w *randomRun) step() {
	w.now += time.Duration(w.rng.IntN(12)) * ms
	for i := 0; i < len(w.timersDueAt); i++ {
		if w.timersDueAt[i] <= w.now {
			e := w.timers[i]
			w.timers, w.timersDueAt = append(w.timers[:i], w.timers[i+1:]...), append(w.timersDueAt[:i], w.timersDueAt[i+1:]...)
			w.handle(e)
			i = -1
		}
	}
	for i := 0; i < len(w.inFlight); i++ {
		if w.now >= w.inFlight[i].timesOutAt {
			w.endAttempt(i)
			i = -1
		}
	}
	if w.rules != nil && w.rng.IntN(50) == 0 {
		w.changeRules()
	}
	switch k := w.rng.IntN(100); {
	case k < 45:
		w.sendRequest()
	case k < 90 && len(w.inFlight) > 0:
		w.endAttempt(w.rng.IntN(len(w.inFlight)))
	case k < 92:
		w.handle(w.drawEndpointUpdate())
	case k < 93:
		w.handle(EndpointUpdate{Kind: Failed})
	case k < 94:
		w.handle(AttemptEnded{ID: "not held", Server: 3, Outcome: OK})
	case k < 95:
		w.handle(HealthCheckResult{Server: uint32(w.rng.IntN(10)), Outcome: OK})
	case k < 96:
		ids := make([]string, 0, len(w.requests))
		for id := range w.requests {
			ids = append(ids, id)
		}
		if sort.Strings(ids); len(ids) > 0 {
			id := ids[w.rng.IntN(len(ids))]
			delete(w.requests, id)
			w.handle(ClientGone{ID: id})
		}
	}
	for id, r := range w.requests {
		if w.now > r.giveUp+16*ms {
			w.t.Fatalf("%s has no answer %v after its end", id, w.now-r.giveUp)
		}
	}
}

func (w *randomRun) sendRequest() {
	w.lastRequest++
	k := w.settings.Classes[w.rng.IntN(len(w.settings.Classes))]
	r := &issuedRequest{class: k, plan: w.settings.Plans[w.rng.IntN(4)].Name, tenant: fmt.Sprint("k", w.rng.IntN(6)),
		tokens: float64(1 + w.rng.IntN(3)), giveUp: w.now + time.Duration(300+w.rng.IntN(3000))*ms}
	if w.rules != nil {
		r.rules = *w.rules
	}
	id := fmt.Sprint("r", w.lastRequest)
	w.requests[id] = r
	w.handle(Request{ID: id, Class: k.Name, Plan: r.plan, Tenant: r.tenant, TimeLeft: r.giveUp - w.now,
		Tokens: r.tokens, TenantNodes: 1 + w.rng.IntN(90)}) // the spread may change within a day
}

func runRandomEvents(t *testing.T, seed uint64, steps int, first ...Rules) *randomRun {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &randomRun{t: t, rng: rng, settings: randomSettings(rng), now: time.Hour, endpoints: map[uint32]*Endpoint{},
		unusable: map[uint32]bool{}, requests: map[string]*issuedRequest{}, ceilingLevels: map[string]float64{},
		ceilingUpdatedAt: map[string]time.Duration{}}
	c, err := New(w.settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	w.controller = c
	l := w.drawEndpointUpdate()
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
		a := runRandomEvents(t, seed, 2500)
		if seed <= 10 {
			b := runRandomEvents(t, seed, 2500)
			if !reflect.DeepEqual(a.log, b.log) {
				t.Fatalf("seed %d: two runs of the same events differ", seed)
			}
		}
	}
}

// Memory for tenants, requests and servers stays bounded.
func TestMemoryIsBounded(t *testing.T) {
	s := testSettings()
	s.MaxTenants = 1500 // as on a machine of 26 MB
	g := newHarness(t, s, endpoints(1, 2, 3)...)
	for i := 0; i < 30000; i++ {
		id := fmt.Sprint("r", i)
		g.request(id, "job", "low", fmt.Sprint("once", i))
		if g.attempts[id] > 0 {
			g.endAttempt(id, OK, 0)
		}
		g.advance(2 * ms)
		if i%100 == 0 {
			g.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(uint32(i+1), uint32(i+2))})
			g.sends, g.actions = nil, nil
		}
	}
	if n := len(g.controller.tenants.byKey); n > s.MaxTenants+500 { // and those of the second since they were last looked at
		t.Errorf("%d customers remembered", n)
	}
	if n := len(g.controller.requests) + len(g.controller.timers.byLabel) + len(g.controller.attempts); n > 100 {
		t.Errorf("%d requests, labels and attempts held", n)
	}
	if n := len(g.controller.servers.byID); n > 10 {
		t.Errorf("%d servers held, two are listed", n)
	}
}
