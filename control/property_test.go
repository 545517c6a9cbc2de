package control

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sort"
	"testing"
	"time"
)

// randomRun passes random valid events to a controller and checks each of its actions.
type randomRun struct {
	t                    *testing.T
	rng                  *rand.Rand
	settings             Settings
	controller           *Controller
	now                  time.Duration
	log                  []string                  // events and their actions
	endpoints            map[uint32]*Endpoint      // all servers, listed or not
	unusable             map[uint32]bool           // servers that are draining or removed
	requests             map[string]*issuedRequest // requests without a final response
	inFlight             []runAttempt
	timers               []Timer
	timersDueAt          []time.Duration          // times of the timers, in the same order
	lastRequest          int                      // number of the latest request
	ceilingLevels        map[string]float64       // by tenant: tokens in the node's part of its ceiling
	ceilingUpdatedAt     map[string]time.Duration // by tenant: time of the last update of ceilingLevels
	rules                *Rules                   // rules in force; nil means that the run never changes rules
	events               []handledEvent
	retriesUnderOldRules int                  // retries under rules that are no longer in force
	servers              uint32               // number of servers in the list
	afterEvent           func(run *randomRun) // called after each event; nil means no further check
}

// handledEvent is an event with the time at which the controller handled it.
type handledEvent struct {
	at    time.Duration
	event Event
}

// issuedRequest is what the run knows of a request.
type issuedRequest struct {
	class       Class
	plan        string
	tenant      string
	tokens      float64
	giveUpAt    time.Duration // time at which the client gives up
	attempts    int           // attempts started
	outstanding int           // attempts without an outcome
	mayHaveRun  bool
	firstRunAt  time.Duration // start of the first attempt that may have run
	firstServer uint32        // server of that attempt
	rules       Rules         // rules in force at its arrival
}

// runAttempt is an attempt in flight.
type runAttempt struct {
	id         string
	number     int
	server     uint32
	startedAt  time.Duration
	timesOutAt time.Duration
}

// handle passes an event to the controller and checks its actions.
func (run *randomRun) handle(e Event) {
	run.log = append(run.log, fmt.Sprintf("%v %T", run.now, e))
	run.events = append(run.events, handledEvent{run.now, e})
	for _, a := range run.controller.Handle(run.now, e) {
		run.log = append(run.log, fmt.Sprintf("  %T%+v", a, a))
		switch a := a.(type) {
		case Send:
			run.checkSend(a)
		case Reject:
			run.checkReject(a)
		case Fail:
			run.checkFinalResponse(a.ID)
		case SetTimer:
			run.timers = append(run.timers, Timer{a.Label})
			run.timersDueAt = append(run.timersDueAt, run.now+a.After)
		case CancelAttempt:
			if !run.settings.CanCancel {
				run.t.Fatal("canceled an attempt though the settings do not permit it")
			}
		case HealthCheck:
			if !run.settings.HealthChecks {
				run.t.Fatal("checked a server's health though the settings do not permit it")
			}
		case SendToPeer, AddToCounter:
			run.t.Fatalf("unexpected action %T", a)
		}
	}
	if run.afterEvent != nil {
		run.afterEvent(run)
	}
}

// checkSend checks an attempt and counts it.
func (run *randomRun) checkSend(a Send) {
	r := run.requests[a.ID]
	switch {
	case r == nil:
		run.t.Fatalf("%s was sent and has a final response or never arrived", a.ID)
	case run.unusable[a.Server] || run.endpoints[a.Server] == nil:
		run.t.Fatalf("%s was sent to server %d, which is draining or removed", a.ID, a.Server)
	case r.outstanding > 0:
		run.t.Fatalf("%s has two attempts in flight", a.ID)
	case r.attempts >= run.settings.MaxAttempts:
		run.t.Fatalf("%s has more than %d attempts", a.ID, run.settings.MaxAttempts)
	}
	if r.mayHaveRun && r.class.Idempotency == NonIdempotent {
		run.t.Fatalf("%s is not idempotent, may have run and was retried", a.ID)
	}
	if r.mayHaveRun && r.class.Idempotency == IdempotentByKey {
		first, server := run.endpoints[r.firstServer], run.endpoints[a.Server]
		if run.now > r.firstRunAt+r.class.IdempotencyWindow ||
			r.class.KeyScope == KeyScopeCell && first.Cell != server.Cell ||
			r.class.KeyScope == KeyScopeZone && first.Zone != server.Zone {
			run.t.Fatalf("%s may have run and was retried outside its key scope or idempotency window", a.ID)
		}
	}
	run.checkRules(r, a)
	if r.attempts == 0 && r.plan == "ceiling" {
		run.checkCeiling(r)
	}
	timesOutAt := r.giveUpAt
	if a.Timeout > 0 {
		timesOutAt = min(timesOutAt, run.now+a.Timeout)
	}
	run.inFlight = append(run.inFlight, runAttempt{a.ID, r.attempts, a.Server, run.now, timesOutAt})
	r.attempts++
	r.outstanding++
}

// checkCeiling takes a request's tokens from a model of the node's part of the tenant's ceiling, whose first
// level is a part of the overdraft, and fails the test if the level falls below zero.
func (run *randomRun) checkCeiling(r *issuedRequest) {
	p := run.settings.Plans[3]
	if _, known := run.ceilingLevels[r.tenant]; !known {
		run.ceilingLevels[r.tenant], run.ceilingUpdatedAt[r.tenant] = p.CeilingOverdraft/2, time.Hour
	}
	level := run.ceilingLevels[r.tenant] +
		(run.now-run.ceilingUpdatedAt[r.tenant]).Seconds()*p.CeilingRate/2
	run.ceilingLevels[r.tenant] = min(level, p.CeilingBurst/2) - r.tokens
	run.ceilingUpdatedAt[r.tenant] = run.now
	if run.ceilingLevels[r.tenant] < -1e-6 {
		run.t.Fatalf("the node's part of a ceiling fell to %g", run.ceilingLevels[r.tenant])
	}
}

// checkReject checks that a rejected request did not run, or may run again anywhere.
func (run *randomRun) checkReject(a Reject) {
	if r := run.requests[a.ID]; r != nil && (r.mayHaveRun || r.outstanding > 0) {
		if r.class.Idempotency == NonIdempotent ||
			r.class.Idempotency == IdempotentByKey && r.class.KeyScope != KeyScopeAll {
			run.t.Fatalf("%s may have run and was rejected", a.ID)
		}
	}
	run.checkFinalResponse(a.ID)
}

func (run *randomRun) checkFinalResponse(id string) {
	if run.requests[id] == nil {
		run.t.Fatalf("%s has a second final response", id)
	}
	delete(run.requests, id)
}

// drawEndpointUpdate returns a complete list of the servers in a fixed order. Each may be draining, missing or
// just restarted.
func (run *randomRun) drawEndpointUpdate() EndpointUpdate {
	var update EndpointUpdate
	update.Kind = Complete
	for id := uint32(1); id <= run.servers; id++ {
		server := &Endpoint{Server: id, Zone: fmt.Sprint("z", 1+id%2), Cell: int(id / 3), Size: 1}
		run.endpoints[id] = server
		switch run.rng.IntN(6) {
		case 0:
			server.Condition = Draining
		case 1:
			run.unusable[id] = true
			continue
		case 2:
			server.HasStartedAt, server.StartedAt = true, run.now-ms
		}
		run.unusable[id] = server.Condition != Active
		update.Endpoints = append(update.Endpoints, *server)
	}
	return update
}

// endAttempt ends the attempt at an index of run.inFlight with a random outcome, or a timeout if it is due.
func (run *randomRun) endAttempt(i int) {
	a := run.inFlight[i]
	run.inFlight = append(run.inFlight[:i], run.inFlight[i+1:]...)
	outcome := []Outcome{OK, OK, OK, OK, Errored, Overloaded, ConnectFailed, ResetByPeer}[run.rng.IntN(8)]
	if run.now >= a.timesOutAt {
		outcome = TimedOut
	}
	r := run.requests[a.id]
	e := AttemptEnded{
		ID:           a.id,
		Attempt:      a.number,
		Server:       a.server,
		Outcome:      outcome,
		Done:         r == nil || outcome == OK,
		MeterReading: run.rng.IntN(300),
		Tokens:       float64(1 + run.rng.IntN(4)),
		LoadReport:   &LoadReport{Active: 3, CPU: 0.5},
	}
	if r != nil {
		r.outstanding--
		if outcome == OK {
			delete(run.requests, a.id)
		} else if outcome != Overloaded && outcome != ConnectFailed && !r.mayHaveRun {
			r.mayHaveRun, r.firstRunAt, r.firstServer = true, a.startedAt, a.server
		}
	}
	run.handle(e)
}

// step moves the clock on, fires what is due, and passes one random event to the controller.
func (run *randomRun) step() {
	run.now += time.Duration(run.rng.IntN(12)) * ms
	for i := 0; i < len(run.timersDueAt); i++ {
		if run.timersDueAt[i] <= run.now {
			e := run.timers[i]
			run.timers = append(run.timers[:i], run.timers[i+1:]...)
			run.timersDueAt = append(run.timersDueAt[:i], run.timersDueAt[i+1:]...)
			run.handle(e)
			i = -1
		}
	}
	for i := 0; i < len(run.inFlight); i++ {
		if run.now >= run.inFlight[i].timesOutAt {
			run.endAttempt(i)
			i = -1
		}
	}
	if run.rules != nil && run.rng.IntN(50) == 0 {
		run.changeRules()
	}
	switch k := run.rng.IntN(100); {
	case k < 45:
		run.sendRequest()
	case k < 90 && len(run.inFlight) > 0:
		run.endAttempt(run.rng.IntN(len(run.inFlight)))
	case k < 92:
		run.handle(run.drawEndpointUpdate())
	case k < 93:
		run.handle(EndpointUpdate{Kind: Failed})
	case k < 94:
		run.handle(AttemptEnded{ID: "unknown", Server: 3, Outcome: OK})
	case k < 95:
		run.handle(HealthCheckResult{Server: uint32(run.rng.IntN(10)), Outcome: OK})
	case k < 96:
		ids := make([]string, 0, len(run.requests))
		for id := range run.requests {
			ids = append(ids, id)
		}
		if sort.Strings(ids); len(ids) > 0 {
			id := ids[run.rng.IntN(len(ids))]
			delete(run.requests, id)
			run.handle(ClientGone{ID: id})
		}
	}
	for id, r := range run.requests {
		if run.now > r.giveUpAt+16*ms {
			run.t.Fatalf("%s has no final response %v after its client's time", id, run.now-r.giveUpAt)
		}
	}
}

func (run *randomRun) sendRequest() {
	run.lastRequest++
	class := run.settings.Classes[run.rng.IntN(len(run.settings.Classes))]
	r := &issuedRequest{
		class:    class,
		plan:     run.settings.Plans[run.rng.IntN(4)].Name,
		tenant:   fmt.Sprint("k", run.rng.IntN(6)),
		tokens:   float64(1 + run.rng.IntN(3)),
		giveUpAt: run.now + time.Duration(300+run.rng.IntN(3000))*ms,
	}
	if run.rules != nil {
		r.rules = *run.rules
	}
	id := fmt.Sprint("r", run.lastRequest)
	run.requests[id] = r
	run.handle(Request{
		ID:          id,
		Class:       class.Name,
		Plan:        r.plan,
		Tenant:      r.tenant,
		TimeLeft:    r.giveUpAt - run.now,
		Tokens:      r.tokens,
		TenantNodes: 1 + run.rng.IntN(90), // the number of a tenant's nodes may change
	})
}

// runRandomEvents passes some steps of random events to a controller and returns the run. The controller
// handles initial first; if the last of them has a version, the run changes rules at random from then on.
func runRandomEvents(t *testing.T, seed uint64, steps int, initial ...Rules) *randomRun {
	t.Helper()
	const servers = 8
	return runRandomEventsWith(t, servers, nil, seed, steps, initial...)
}

// runRandomEventsWith is runRandomEvents for a list of some servers. It calls afterEvent, unless that is nil,
// after each event.
func runRandomEventsWith(
	t *testing.T, servers uint32, afterEvent func(*randomRun), seed uint64, steps int, initial ...Rules,
) *randomRun {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	run := &randomRun{
		t:                t,
		rng:              rng,
		settings:         randomSettings(rng),
		now:              time.Hour,
		endpoints:        map[uint32]*Endpoint{},
		unusable:         map[uint32]bool{},
		requests:         map[string]*issuedRequest{},
		ceilingLevels:    map[string]float64{},
		ceilingUpdatedAt: map[string]time.Duration{},
		servers:          servers,
		afterEvent:       afterEvent,
	}
	c, err := New(run.settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	run.controller = c
	update := run.drawEndpointUpdate()
	update.Kind = Cached
	run.handle(update)
	for i, rules := range initial {
		run.handle(rules)
		// The log leaves out the rules' event, so that runs with and without it can be compared.
		if run.log = run.log[:len(run.log)-1]; i+1 == len(initial) && rules.Version > 0 {
			run.rules = &initial[i]
		}
	}
	for i := 0; i < steps; i++ {
		run.step()
	}
	return run
}

// No sequence of valid events makes an action that breaks the checks of randomRun, and the same events lead
// to the same actions.
func TestRandomEventsBreakNoInvariant(t *testing.T) {
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
