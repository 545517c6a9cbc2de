package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"
)

// alone is a node without others whose tenants have 20 units at once and 1 a second.
func singleNodeSettings() Settings {
	s := testSettings()
	s.FleetSize, s.MeterPeriod = 1, 0
	s.Plans = []Plan{{Name: "low", PriceFactor: 1, Rate: 1, Burst: 20}}
	return s
}

// countForwarded asks n times for one unit and tells how many were countForwarded on; each is answered soon.
func (g *harness) countForwarded(prefix string, n int) int {
	g.t.Helper()
	sent := 0
	for i := range n {
		id := fmt.Sprint(prefix, i)
		g.handle(Request{ID: id, Class: "job", Plan: "low", Tenant: "c", TimeLeft: 5 * time.Second, Tokens: 1, TenantNodes: 1})
		if g.attempts[id] > 0 {
			sent++
			g.endAttempt(id, OK, 0)
		}
	}
	return sent
}

// successor is the gate of the process that takes over from g's.
func (g *harness) successor(s Settings) *harness {
	g.t.Helper()
	raw, err := g.controller.Handover(g.now)
	if err != nil {
		g.t.Fatal(err)
	}
	c, err := New(s, 9)
	if err != nil {
		g.t.Fatal(err)
	}
	if err := c.RestoreHandover(g.now, raw); err != nil {
		g.t.Fatal(err)
	}
	return &harness{t: g.t, controller: c, now: g.now, finalAnswers: map[string]Action{}, attempts: map[string]int{}, timers: map[uint64]time.Duration{}}
}

// Two processes side by side grant together what one would have granted, and what the old one
// leaves goes to the new one.
func TestNoQuotaIsGrantedTwice(t *testing.T) {
	for _, rest := range []bool{true, false} {
		s := singleNodeSettings()
		old := newHarness(t, s, endpoints(1)...)
		granted := old.countForwarded("a", 4)
		fresh := old.successor(s)
		fresh.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(1)})
		granted += fresh.countForwarded("b", 100)
		if granted != 4+8 {
			t.Errorf("%d units granted, not 4 and half of the other 16", granted)
		}
		fresh.advance(2 * time.Second)
		old.advance(2 * time.Second)
		granted += old.countForwarded("c", 3) + fresh.countForwarded("d", 100)
		var left []byte
		if rest {
			var err error
			if left, err = old.controller.RemainingTokens(old.now); err != nil {
				t.Fatal(err)
			}
		}
		if err := fresh.controller.EndSharing(fresh.now, left); err != nil {
			t.Fatal(err)
		}
		granted += fresh.countForwarded("e", 100)
		want := 20 + 2 // the store, and 2 s of refill
		if !rest {
			want = 4 + 8 + 1 + 3
		}
		if granted < want-1 || granted > want {
			t.Errorf("with the rest handed over %v: %d units granted, not %d", rest, granted, want)
		}
		fresh.advance(5 * time.Second)
		if n := fresh.countForwarded("f", 100); n < 4 || n > 6 {
			t.Errorf("%d units granted in 5 s alone, not 5", n)
		}
	}
}

// A process whose successor has gone takes the whole again.
func TestSuccessorGone(t *testing.T) {
	s := singleNodeSettings()
	old := newHarness(t, s, endpoints(1)...)
	old.successor(s)
	bound := old.controller.concurrency.bound
	if err := old.controller.EndSharing(old.now, nil); err != nil {
		t.Fatal(err)
	}
	old.advance(30 * time.Second)
	if n := old.countForwarded("a", 100); n != 20 || old.controller.concurrency.bound < 2*bound {
		t.Errorf("%d units granted, a bound of %g after %g", n, old.controller.concurrency.bound, bound)
	}
}

// What was learnt of servers, tenants, the meter and the shares is there at once.
func TestHandoverKeepsWhatWasLearnt(t *testing.T) {
	s := testSettings()
	g := newHarness(t, s, endpoints(1, 2)...)
	for i := range 60 {
		id := fmt.Sprint(i)
		g.request(id, "job", "high", fmt.Sprint("c", i%3))
		g.advance(70 * ms)
		if g.attempts[id] > 0 && g.finalAnswers[id] == nil {
			g.endAttempt(id, OK, 1+i%40)
		}
	}
	g.request("dead", "job", "high", "c0")
	g.endAttempt("dead", ConnectFailed, 0)
	dead := g.sends[len(g.sends)-2].Server
	if g.controller.AvoidedServers(g.now) != 1 {
		t.Fatalf("%d avoided", g.controller.AvoidedServers(g.now))
	}
	f := g.successor(s)
	f.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(1, 2)})
	if f.controller.AvoidedServers(f.now) != 1 || !f.controller.outliers.ejected(f.controller.servers.byID[dead]) {
		t.Error("the server that takes no connections is forgotten")
	}
	if f.controller.traffic.latency != g.controller.traffic.latency || f.controller.tenants.observingSince != g.controller.tenants.observingSince || f.controller.meter.phase != g.controller.meter.phase || f.controller.concurrency.bound != 2*g.controller.concurrency.bound {
		t.Errorf("latency %g and %g, bound %g and %g", f.controller.traffic.latency, g.controller.traffic.latency, f.controller.concurrency.bound, g.controller.concurrency.bound)
	}
	for i, p := range f.controller.scheduler.plans {
		if p.share != g.controller.scheduler.plans[i].share || p.lateness != g.controller.scheduler.plans[i].lateness {
			t.Errorf("plan %s: share %g, not %g", p.Name, p.share, g.controller.scheduler.plans[i].share)
		}
	}
	for k, q := range g.controller.tenants.byKey {
		n := f.controller.tenants.byKey[k]
		if n == nil || n.level != q.level || n.metered != q.metered || n.readEnd != q.readEnd {
			t.Fatalf("customer %s: %+v", k, n)
		}
		for b := g.controller.env.currentBin() - 2*binsPerPeriod; b <= g.controller.env.currentBin(); b++ {
			if d := n.sent.periodSumBefore(b) - q.sent.periodSumBefore(b); math.Abs(d) > 1e-6 {
				t.Errorf("customer %s: %g units off in the period before bin %d", k, d, b)
			}
		}
	}
	armed := false
	for _, a := range f.actions {
		if m, ok := a.(SetTimer); ok && m.Label == tickLabel {
			armed = true
		}
	}
	if !armed {
		t.Error("the new one's clock does not run")
	}
}

// What is of another version, cut off or can't be changes nothing.
func TestSpoiltHandover(t *testing.T) {
	s := testSettings()
	g := newHarness(t, s, endpoints(1)...)
	g.request("a", "job", "low", "c")
	good, err := g.controller.Handover(g.now)
	if err != nil {
		t.Fatal(err)
	}
	change := func(f func(map[string]any)) []byte {
		var m map[string]any
		if err := json.Unmarshal(good, &m); err != nil {
			t.Fatal(err)
		}
		f(m)
		raw, _ := json.Marshal(m)
		return raw
	}
	for name, raw := range map[string][]byte{
		"none":          nil,
		"cut off":       good[:len(good)/2],
		"other version": change(func(m map[string]any) { m["Version"] = handoverVersion + 1 }),
		"old":           bytes.Replace(good, []byte(`"At":3600`), []byte(`"At":1600`), 1),
		"no bound":      change(func(m map[string]any) { m["Bound"] = -1 }),
		"odd phase":     change(func(m map[string]any) { m["Phase"] = binsPerPeriod }),
		"odd law":       change(func(m map[string]any) { m["Law"] = [][]float64{{1}, {2}, nil} }),
		"odd share":     change(func(m map[string]any) { m["Plans"] = map[string]any{"low": map[string]any{"Share": 7}} }),
		"odd customer": change(func(m map[string]any) {
			m["Customers"] = map[string]any{"low c": map[string]any{"Plan": "low", "Key": "low c", "Spread": 1, "Level": 1e9}}
		}),
		"odd plan": change(func(m map[string]any) {
			m["Customers"] = map[string]any{"x c": map[string]any{"Plan": "x", "Key": "x c", "Spread": 1}}
		}),
	} {
		c, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.RestoreHandover(g.now, raw); err == nil || c.concurrency.bound != 0 || len(c.tenants.byKey) != 0 || c.env.sharingQuotas || c.tenants.observingSince != 0 {
			t.Errorf("%s: %v, and something was taken", name, err)
		}
	}
}
