package control

import (
	"fmt"
	"testing"
	"time"

	"gonum.org/v1/gonum/mat"
)

const ms = time.Millisecond

// settings is a small deployment for tests: one free class, two plans.
func settings() Settings {
	return Settings{FleetSize: 2, Zone: "z1", MaxAttempts: 3, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		SlowStartDuration: 10 * time.Second, SlowStartInitialFraction: 0.2, OverloadWindow: time.Second, OverloadFactor: 2, MeterPeriod: time.Second,
		CanCancel: true,
		Classes:   []Class{{Name: "job", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1}},
		Plans: []Plan{{Name: "low", PriceFactor: 0.5, Rate: 1000, Burst: 1000},
			{Name: "high", PriceFactor: 1.5, Rate: 1000, Burst: 1000}}}
}

// fleet is the settings of a group as large as the servers are many.
func fleet(group int) Settings {
	s := settings()
	s.FleetSize = group
	return s
}

// gate drives one controller by hand and keeps what it was told to do.
type harness struct {
	t     *testing.T
	c     *Controller
	now   time.Duration
	sends []Send
	ends  map[string]Action
	n     map[string]int // attempts by request
	due   map[uint64]time.Duration
	acts  []Action
}

func newHarness(t *testing.T, s Settings, servers ...Endpoint) *harness {
	t.Helper()
	return newHarnessOfSeed(t, s, 7, servers...)
}

// newGateOfSeed is newGate with a seed of its own for the controller's draws.
func newHarnessOfSeed(t *testing.T, s Settings, seed uint64, servers ...Endpoint) *harness {
	t.Helper()
	c, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	g := &harness{t: t, c: c, now: time.Hour, ends: map[string]Action{}, n: map[string]int{},
		due: map[uint64]time.Duration{}}
	g.handle(EndpointUpdate{Kind: Cached, Endpoints: servers})
	return g
}

// do hands over one event and checks what holds for all actions.
func (g *harness) handle(e Event) {
	g.t.Helper()
	acts := append([]Action{}, g.c.Handle(g.now, e)...)
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			if g.ends[a.ID] != nil {
				g.t.Fatalf("%s was sent after its end", a.ID)
			}
			g.n[a.ID]++
			g.sends = append(g.sends, a)
		case Reject:
			g.end(a.ID, a)
		case Fail:
			g.end(a.ID, a)
		case SetTimer:
			g.due[a.Label] = g.now + a.After
		}
	}
	g.acts = append(g.acts, acts...)
}

func (g *harness) end(id string, a Action) {
	g.t.Helper()
	if g.ends[id] != nil {
		g.t.Fatalf("%s has two final answers", id)
	}
	g.ends[id] = a
}

// pass lets time go by, with the timers that come due in it.
func (g *harness) advance(d time.Duration) {
	g.t.Helper()
	for end := g.now + d; ; {
		var label uint64
		at := end + 1
		for l, t := range g.due {
			if t < at || t == at && l < label {
				label, at = l, t
			}
		}
		if at > end {
			g.now = end
			return
		}
		delete(g.due, label)
		g.now = max(g.now, at)
		g.handle(Timer{Label: label})
	}
}

func (g *harness) request(id, class, plan, customer string) {
	g.t.Helper()
	g.handle(Request{ID: id, Class: class, Plan: plan, Tenant: customer, TimeLeft: 5 * time.Second, Tokens: 1, TenantNodes: 2})
}

// reply answers the latest send of a request.
func (g *harness) answer(id string, why Outcome, used int) {
	g.t.Helper()
	for i := len(g.sends) - 1; i >= 0; i-- {
		if g.sends[i].ID == id {
			g.handle(AttemptEnded{ID: id, Attempt: g.n[id] - 1, Server: g.sends[i].Server, Outcome: why, Done: why == OK, MeterReading: used})
			if why == OK {
				g.ends[id] = Send{}
			}
			return
		}
	}
	g.t.Fatalf("%s was never sent", id)
}

// run asks every gap for a time and answers each send after what its server takes.
func (g *harness) run(d, gap time.Duration, takes func(server uint32) time.Duration) {
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
				g.answer(o.id, OK, 0)
			} else {
				kept = append(kept, o)
			}
		}
		out = kept
		g.advance(step)
	}
}

// sentTo counts to which servers some requests go, each answered at once.
func (g *harness) sentTo(n int) map[uint32]int {
	got := map[uint32]int{}
	for i := range n {
		id := fmt.Sprint("to", g.now, i)
		for _, a := range g.c.Handle(g.now, Request{ID: id, Class: "job", Plan: "high", Tenant: id, TimeLeft: 5 * time.Second, Tokens: 1, TenantNodes: 1}) {
			if s, ok := a.(Send); ok {
				got[s.Server]++
				g.now += 5 * ms
				g.c.Handle(g.now, AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Done: true})
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

func newPhi(u, y []float64) *mat.VecDense {
	return mat.NewVecDense(len(u)+len(y), append(append([]float64{}, u...), y...))
}
