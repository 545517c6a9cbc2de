package control

import (
	"fmt"
	"testing"
	"time"

	"gonum.org/v1/gonum/mat"
)

const ms = time.Millisecond

// testSettings is a small deployment for tests: one free class, two plans.
func testSettings() Settings {
	return Settings{FleetSize: 2, Zone: "z1", MaxAttempts: 3, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		SlowStartDuration: 10 * time.Second, SlowStartInitial: 0.2, OverloadWindow: time.Second, OverloadFactor: 2, MeterPeriod: time.Second,
		CanCancel: true,
		Classes:   []Class{{Name: "job", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1}},
		Plans: []Plan{{Name: "low", PriceFactor: 0.5, Rate: 1000, Burst: 1000},
			{Name: "high", PriceFactor: 1.5, Rate: 1000, Burst: 1000}}}
}

// fleetSettings is the settings of a group as large as the servers are many.
func fleetSettings(group int) Settings {
	s := testSettings()
	s.FleetSize = group
	return s
}

// gate drives one controller by hand and keeps what it was told to do.
type harness struct {
	t            *testing.T
	controller   *Controller
	now          time.Duration
	sends        []Send
	finalAnswers map[string]Action
	attempts     map[string]int // attempts by request
	timers       map[uint64]time.Duration
	actions      []Action
}

func newHarness(t *testing.T, s Settings, servers ...Endpoint) *harness {
	t.Helper()
	return newHarnessWithSeed(t, s, 7, servers...)
}

// newGateOfSeed is newGate with a seed of its own for the controller's draws.
func newHarnessWithSeed(t *testing.T, s Settings, seed uint64, servers ...Endpoint) *harness {
	t.Helper()
	c, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	g := &harness{t: t, controller: c, now: time.Hour, finalAnswers: map[string]Action{}, attempts: map[string]int{},
		timers: map[uint64]time.Duration{}}
	g.handle(EndpointUpdate{Kind: Cached, Endpoints: servers})
	return g
}

// do hands over one event and checks what holds for all actions.
func (g *harness) handle(e Event) {
	g.t.Helper()
	acts := append([]Action{}, g.controller.Handle(g.now, e)...)
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			if g.finalAnswers[a.ID] != nil {
				g.t.Fatalf("%s was sent after its end", a.ID)
			}
			g.attempts[a.ID]++
			g.sends = append(g.sends, a)
		case Reject:
			g.recordFinalAnswer(a.ID, a)
		case Fail:
			g.recordFinalAnswer(a.ID, a)
		case SetTimer:
			g.timers[a.Label] = g.now + a.After
		}
	}
	g.actions = append(g.actions, acts...)
}

func (g *harness) recordFinalAnswer(id string, a Action) {
	g.t.Helper()
	if g.finalAnswers[id] != nil {
		g.t.Fatalf("%s has two final answers", id)
	}
	g.finalAnswers[id] = a
}

// pass lets time go by, with the timers that come due in it.
func (g *harness) advance(d time.Duration) {
	g.t.Helper()
	for end := g.now + d; ; {
		var label uint64
		at := end + 1
		for l, t := range g.timers {
			if t < at || t == at && l < label {
				label, at = l, t
			}
		}
		if at > end {
			g.now = end
			return
		}
		delete(g.timers, label)
		g.now = max(g.now, at)
		g.handle(Timer{Label: label})
	}
}

func (g *harness) request(id, class, plan, customer string) {
	g.t.Helper()
	g.handle(Request{ID: id, Class: class, Plan: plan, Tenant: customer, TimeLeft: 5 * time.Second, Tokens: 1, TenantNodes: 2})
}

// reply answers the latest send of a request.
func (g *harness) endAttempt(id string, why Outcome, used int) {
	g.t.Helper()
	for i := len(g.sends) - 1; i >= 0; i-- {
		if g.sends[i].ID == id {
			g.handle(AttemptEnded{ID: id, Attempt: g.attempts[id] - 1, Server: g.sends[i].Server, Outcome: why, Done: why == OK, MeterReading: used})
			if why == OK {
				g.finalAnswers[id] = Send{}
			}
			return
		}
	}
	g.t.Fatalf("%s was never sent", id)
}

// runWithLatency asks every gap for a time and answers each send after what its server takes.
func (g *harness) runWithLatency(d, gap time.Duration, takes func(server uint32) time.Duration) {
	g.t.Helper()
	type due struct {
		at time.Duration
		id string
	}
	var out []due
	step, told := 10*ms, len(g.sends)
	for i, end, next := 0, g.now+d, g.now; g.now < end || len(out) > 0; {
		if g.now >= next && g.now < end {
			g.request(fmt.Sprintf("%d-%d", g.now, i), "job", "low", fmt.Sprint(i))
			i, next = i+1, next+gap
		}
		for ; told < len(g.sends); told++ {
			out = append(out, due{g.now + takes(g.sends[told].Server), g.sends[told].ID})
		}
		kept := out[:0]
		for _, o := range out {
			if o.at <= g.now {
				g.endAttempt(o.id, OK, 0)
			} else {
				kept = append(kept, o)
			}
		}
		out = kept
		g.advance(step)
	}
}

// sendsByServer counts to which servers some requests go, each answered at once.
func (g *harness) sendsByServer(n int) map[uint32]int {
	got := map[uint32]int{}
	for i := range n {
		id := fmt.Sprint("to", g.now, i)
		for _, a := range g.controller.Handle(g.now, Request{ID: id, Class: "job", Plan: "high", Tenant: id, TimeLeft: 5 * time.Second, Tokens: 1, TenantNodes: 1}) {
			if s, ok := a.(Send); ok {
				got[s.Server]++
				g.now += 5 * ms
				g.controller.Handle(g.now, AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Done: true})
			}
		}
	}
	return got
}

func endpoints(ids ...uint32) []Endpoint {
	var m []Endpoint
	for i, id := range ids {
		m = append(m, Endpoint{Server: id, Zone: fmt.Sprintf("z%d", i%2+1), Cell: i / 2, Size: 1})
	}
	return m
}

func newRegressor(u, y []float64) *mat.VecDense {
	return mat.NewVecDense(len(u)+len(y), append(append([]float64{}, u...), y...))
}
