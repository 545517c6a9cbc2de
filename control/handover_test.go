package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"
)

// singleNodeSettings returns the settings of a fleet of one node whose tenants have a burst of 20 tokens and
// a rate of 1 per second.
func singleNodeSettings() Settings {
	s := testSettings()
	s.FleetSize, s.MeterPeriod = 1, 0
	s.Plans = []Plan{{Name: "low", PriceFactor: 1, Rate: 1, Burst: 20}}
	return s
}

// countForwarded sends n requests of one token, answers those that are forwarded at once, and returns their
// number.
func (h *harness) countForwarded(prefix string, n int) int {
	h.t.Helper()
	forwarded := 0
	for i := range n {
		id := fmt.Sprint(prefix, i)
		h.handle(Request{
			ID:          id,
			Class:       "job",
			Plan:        "low",
			Tenant:      "c",
			TimeLeft:    5 * time.Second,
			Tokens:      1,
			TenantNodes: 1,
		})
		if h.attempts[id] > 0 {
			forwarded++
			h.endAttempt(id, OK, 0)
		}
	}
	return forwarded
}

// successor returns the harness of a process that takes over from h's by a handover.
func (h *harness) successor(s Settings) *harness {
	h.t.Helper()
	raw, err := h.controller.Handover(h.now)
	if err != nil {
		h.t.Fatal(err)
	}
	c, err := New(s, 9)
	if err != nil {
		h.t.Fatal(err)
	}
	if err := c.RestoreHandover(h.now, raw); err != nil {
		h.t.Fatal(err)
	}
	return &harness{
		t:              h.t,
		controller:     c,
		now:            h.now,
		finalResponses: map[string]Action{},
		attempts:       map[string]int{},
		timers:         map[uint64]time.Duration{},
	}
}

// Guards against a handover that grants a quota twice: two processes of one node grant together what one
// would have granted, and what the old one leaves in its buckets goes to the new one.
func TestHandoverGrantsNoQuotaTwice(t *testing.T) {
	for _, withRemainder := range []bool{true, false} {
		s := singleNodeSettings()
		old := newHarness(t, s, endpoints(1)...)
		granted := old.countForwarded("a", 4)
		next := old.successor(s)
		next.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(1)})
		granted += next.countForwarded("b", 100)
		if granted != 4+8 {
			t.Errorf("%d tokens granted, not 4 and half of the other 16", granted)
		}
		next.advance(2 * time.Second)
		old.advance(2 * time.Second)
		granted += old.countForwarded("c", 3) + next.countForwarded("d", 100)
		var remainder []byte
		if withRemainder {
			var err error
			if remainder, err = old.controller.RemainingTokens(old.now); err != nil {
				t.Fatal(err)
			}
		}
		if err := next.controller.EndSharing(next.now, remainder); err != nil {
			t.Fatal(err)
		}
		granted += next.countForwarded("e", 100)
		want := 20 + 2 // the burst and the refill of 2 s
		if !withRemainder {
			want = 4 + 8 + 1 + 3
		}
		if granted < want-1 || granted > want {
			t.Errorf("remainder passed on %v: %d tokens granted, not %d", withRemainder, granted, want)
		}
		next.advance(5 * time.Second)
		if n := next.countForwarded("f", 100); n < 4 || n > 6 {
			t.Errorf("%d tokens granted in 5 s after the end of sharing, not 5", n)
		}
	}
}

// A process whose successor has gone takes back the whole quotas and the whole in-flight bound.
func TestNodeTakesBackQuotaAfterSuccessorIsGone(t *testing.T) {
	s := singleNodeSettings()
	old := newHarness(t, s, endpoints(1)...)
	old.successor(s)
	bound := old.controller.concurrency.bound
	if err := old.controller.EndSharing(old.now, nil); err != nil {
		t.Fatal(err)
	}
	old.advance(30 * time.Second)
	if n := old.countForwarded("a", 100); n != 20 || old.controller.concurrency.bound < 2*bound {
		t.Errorf("%d tokens granted, in-flight bound %g after %g", n, old.controller.concurrency.bound, bound)
	}
}

// What the old process has learned of servers, tenants, the meter and the shares is in force at its successor
// at once.
func TestHandoverPreservesLearnedState(t *testing.T) {
	s := testSettings()
	old := newHarness(t, s, endpoints(1, 2)...)
	for i := range 60 {
		id := fmt.Sprint(i)
		old.request(id, "job", "high", fmt.Sprint("c", i%3))
		old.advance(70 * ms)
		if old.attempts[id] > 0 && old.finalResponses[id] == nil {
			old.endAttempt(id, OK, 1+i%40)
		}
	}
	old.request("unreachable", "job", "high", "c0")
	old.endAttempt("unreachable", ConnectFailed, 0)
	unreachable := old.sends[len(old.sends)-2].Server
	if old.controller.AvoidedServers(old.now) != 1 {
		t.Fatalf("%d servers avoided before the handover, not 1", old.controller.AvoidedServers(old.now))
	}
	next := old.successor(s)
	next.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(1, 2)})
	if next.controller.AvoidedServers(next.now) != 1 ||
		!next.controller.outliers.ejected(next.controller.servers.byID[unreachable]) {
		t.Error("the successor has not ejected the unreachable server")
	}
	if next.controller.traffic.latency != old.controller.traffic.latency ||
		next.controller.tenants.observingSince != old.controller.tenants.observingSince ||
		next.controller.meter.phase != old.controller.meter.phase ||
		next.controller.concurrency.bound != 2*old.controller.concurrency.bound {
		t.Errorf("latency %g and %g, in-flight bound %g and %g",
			next.controller.traffic.latency, old.controller.traffic.latency,
			next.controller.concurrency.bound, old.controller.concurrency.bound)
	}
	for i, p := range next.controller.scheduler.plans {
		if p.share != old.controller.scheduler.plans[i].share ||
			p.lateness != old.controller.scheduler.plans[i].lateness {
			t.Errorf("plan %s: share %g, not %g", p.Name, p.share, old.controller.scheduler.plans[i].share)
		}
	}
	for key, before := range old.controller.tenants.byKey {
		after := next.controller.tenants.byKey[key]
		if after == nil || after.level != before.level || after.metered != before.metered ||
			after.readEnd != before.readEnd {
			t.Fatalf("tenant %s: %+v", key, after)
		}
		for b := old.controller.env.currentBin() - 2*binsPerPeriod; b <= old.controller.env.currentBin(); b++ {
			if d := after.sent.periodSumBefore(b) - before.sent.periodSumBefore(b); math.Abs(d) > 1e-6 {
				t.Errorf("tenant %s: sent tokens differ by %g in the period before bin %d", key, d, b)
			}
		}
	}
	hasTick := false
	for _, a := range next.actions {
		if timer, ok := a.(SetTimer); ok && timer.Label == tickLabel {
			hasTick = true
		}
	}
	if !hasTick {
		t.Error("the successor has set no tick timer")
	}
}

// A handover of another version, or one that is truncated, too old or out of range, is rejected and changes
// nothing.
func TestInvalidHandoverChangesNothing(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, endpoints(1)...)
	h.request("a", "job", "low", "c")
	valid, err := h.controller.Handover(h.now)
	if err != nil {
		t.Fatal(err)
	}
	change := func(f func(map[string]any)) []byte {
		var m map[string]any
		if err := json.Unmarshal(valid, &m); err != nil {
			t.Fatal(err)
		}
		f(m)
		raw, _ := json.Marshal(m)
		return raw
	}
	for name, raw := range map[string][]byte{
		"empty":              nil,
		"truncated":          valid[:len(valid)/2],
		"other version":      change(func(m map[string]any) { m["Version"] = handoverVersion + 1 }),
		"too old":            bytes.Replace(valid, []byte(`"At":3600`), []byte(`"At":1600`), 1),
		"negative bound":     change(func(m map[string]any) { m["Bound"] = -1 }),
		"phase out of range": change(func(m map[string]any) { m["Phase"] = binsPerPeriod }),
		"matrices of wrong size": change(func(m map[string]any) {
			m["Law"] = [][]float64{{1}, {2}, nil}
		}),
		"share out of range": change(func(m map[string]any) {
			m["Plans"] = map[string]any{"low": map[string]any{"Share": 7}}
		}),
		"tenant level out of range": change(func(m map[string]any) {
			m["Customers"] = map[string]any{
				"low c": map[string]any{"Plan": "low", "Key": "low c", "Spread": 1, "Level": 1e9},
			}
		}),
		"unknown plan": change(func(m map[string]any) {
			m["Customers"] = map[string]any{"x c": map[string]any{"Plan": "x", "Key": "x c", "Spread": 1}}
		}),
	} {
		c, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.RestoreHandover(h.now, raw); err == nil || c.concurrency.bound != 0 ||
			len(c.tenants.byKey) != 0 || c.env.sharingQuotas || c.tenants.observingSince != 0 {
			t.Errorf("%s: error %v, and the controller's state may have changed", name, err)
		}
	}
}
