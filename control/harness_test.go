package control

import (
	"fmt"
	"testing"
	"time"

	"gonum.org/v1/gonum/mat"
)

const ms = time.Millisecond

// testSettings returns the settings of a small deployment: two nodes, one idempotent class, two plans.
func testSettings() Settings {
	return Settings{
		FleetSize:                2,
		Zone:                     "z1",
		MaxAttempts:              3,
		SendsRetryAfter:          true,
		MaxRetryAfter:            2 * time.Second,
		SlowStartDuration:        10 * time.Second,
		SlowStartInitialFraction: 0.2,
		OverloadWindow:           time.Second,
		OverloadFactor:           2,
		MeterPeriod:              time.Second,
		CanCancel:                true,
		Classes: []Class{
			{Name: "job", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1},
		},
		Plans: []Plan{
			{Name: "low", PriceFactor: 0.5, Rate: 1000, Burst: 1000},
			{Name: "high", PriceFactor: 1.5, Rate: 1000, Burst: 1000},
		},
	}
}

// fleetSettings returns testSettings for a fleet of some nodes.
func fleetSettings(nodes int) Settings {
	s := testSettings()
	s.FleetSize = nodes
	return s
}

// harness drives one controller with a manual clock and records its actions.
type harness struct {
	t              *testing.T
	controller     *Controller
	now            time.Duration
	sends          []Send
	finalResponses map[string]Action        // by request; an empty Send stands for a served request
	attempts       map[string]int           // number of attempts by request
	timers         map[uint64]time.Duration // time at which each timer is due, by label
	actions        []Action
	onHandled      func(e Event, examined uint64) // called after each event with the servers that rules examined for it
}

// newHarness returns a harness whose controller knows some servers.
func newHarness(t *testing.T, s Settings, servers ...Endpoint) *harness {
	t.Helper()
	return newHarnessWithSeed(t, s, 7, servers...)
}

// newHarnessWithSeed is newHarness with a given seed for the controller's random numbers.
func newHarnessWithSeed(t *testing.T, s Settings, seed uint64, servers ...Endpoint) *harness {
	t.Helper()
	c, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{
		t:              t,
		controller:     c,
		now:            time.Hour,
		finalResponses: map[string]Action{},
		attempts:       map[string]int{},
		timers:         map[uint64]time.Duration{},
	}
	h.handle(EndpointUpdate{Kind: Cached, Endpoints: servers})
	return h
}

// handle passes one event to the controller and records its actions. It fails the test if a request is sent
// after its final response or has two of them.
func (h *harness) handle(e Event) {
	h.t.Helper()
	before := h.controller.ServersExamined()
	actions := append([]Action{}, h.controller.Handle(h.now, e)...)
	if h.onHandled != nil {
		h.onHandled(e, h.controller.ServersExamined()-before)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			if h.finalResponses[a.ID] != nil {
				h.t.Fatalf("%s was sent after its final response", a.ID)
			}
			h.attempts[a.ID]++
			h.sends = append(h.sends, a)
		case Reject:
			h.recordFinalResponse(a.ID, a)
		case Fail:
			h.recordFinalResponse(a.ID, a)
		case SetTimer:
			h.timers[a.Label] = h.now + a.After
		}
	}
	h.actions = append(h.actions, actions...)
}

func (h *harness) recordFinalResponse(id string, a Action) {
	h.t.Helper()
	if h.finalResponses[id] != nil {
		h.t.Fatalf("%s has two final responses", id)
	}
	h.finalResponses[id] = a
}

// advance moves the clock on and fires the timers that come due on the way.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	for end := h.now + d; ; {
		var label uint64
		at := end + 1
		for l, t := range h.timers {
			if t < at || t == at && l < label {
				label, at = l, t
			}
		}
		if at > end {
			h.now = end
			return
		}
		delete(h.timers, label)
		h.now = max(h.now, at)
		h.handle(Timer{Label: label})
	}
}

// request sends a request of one token whose client waits 5 s.
func (h *harness) request(id, class, plan, tenant string) {
	h.t.Helper()
	h.handle(Request{
		ID:          id,
		Class:       class,
		Plan:        plan,
		Tenant:      tenant,
		TimeLeft:    5 * time.Second,
		Tokens:      1,
		TenantNodes: 2,
	})
}

// endAttempt ends the latest attempt of a request with an outcome and a meter reading; 0 is no reading.
func (h *harness) endAttempt(id string, outcome Outcome, reading int) {
	h.t.Helper()
	for i := len(h.sends) - 1; i >= 0; i-- {
		if h.sends[i].ID == id {
			h.handle(AttemptEnded{
				ID:           id,
				Attempt:      h.attempts[id] - 1,
				Server:       h.sends[i].Server,
				Outcome:      outcome,
				Done:         outcome == OK,
				MeterReading: reading,
			})
			if outcome == OK {
				h.finalResponses[id] = Send{}
			}
			return
		}
	}
	h.t.Fatalf("%s was never sent", id)
}

// runWithLatency sends one request per interval for a duration, and answers each attempt after the latency
// of its server.
func (h *harness) runWithLatency(
	duration, interval time.Duration, latency func(server uint32) time.Duration,
) {
	h.t.Helper()
	type pendingResponse struct {
		at time.Duration
		id string
	}
	var pending []pendingResponse
	step, seen := 10*ms, len(h.sends)
	for i, end, next := 0, h.now+duration, h.now; h.now < end || len(pending) > 0; {
		if h.now >= next && h.now < end {
			h.request(fmt.Sprintf("%d-%d", h.now, i), "job", "low", fmt.Sprint(i))
			i, next = i+1, next+interval
		}
		for ; seen < len(h.sends); seen++ {
			pending = append(pending, pendingResponse{h.now + latency(h.sends[seen].Server), h.sends[seen].ID})
		}
		remaining := pending[:0]
		for _, p := range pending {
			if p.at <= h.now {
				h.endAttempt(p.id, OK, 0)
			} else {
				remaining = append(remaining, p)
			}
		}
		pending = remaining
		h.advance(step)
	}
}

// sendsByServer sends some requests, answers each after 5 ms, and returns the number of attempts by server.
func (h *harness) sendsByServer(requests int) map[uint32]int {
	sends := map[uint32]int{}
	for i := range requests {
		id := fmt.Sprint("to", h.now, i)
		for _, a := range h.controller.Handle(h.now, Request{
			ID:          id,
			Class:       "job",
			Plan:        "high",
			Tenant:      id,
			TimeLeft:    5 * time.Second,
			Tokens:      1,
			TenantNodes: 1,
		}) {
			if s, ok := a.(Send); ok {
				sends[s.Server]++
				h.now += 5 * ms
				h.controller.Handle(h.now, AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Done: true})
			}
		}
	}
	return sends
}

// endpoints returns list entries of servers that alternate between zones z1 and z2, two in each cell.
func endpoints(ids ...uint32) []Endpoint {
	var list []Endpoint
	for i, id := range ids {
		list = append(list, Endpoint{Server: id, Zone: fmt.Sprintf("z%d", i%2+1), Cell: i / 2, Size: 1})
	}
	return list
}

// newRegressor returns the share controller's regressor [shares; lateness].
func newRegressor(shares, lateness []float64) *mat.VecDense {
	return mat.NewVecDense(len(shares)+len(lateness), append(append([]float64{}, shares...), lateness...))
}
