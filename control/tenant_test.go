package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestRestartedGatewayStartsItsCeilingEmpty(t *testing.T) {
	s := testSettings()
	s.Plans[0].CeilingRate, s.Plans[0].CeilingBurst, s.Plans[0].CeilingOverdraft = 10, 40, 4
	g := newHarness(t, s, endpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)...)
	for i := 0; i < 50; i++ {
		g.request(fmt.Sprint("s", i), "job", "low", "x")
	}
	if len(g.sends) > 2 { // the slack over two gateways
		t.Errorf("%d units at once from a gateway that knows nothing", len(g.sends))
	}
	sent, start := 0, g.now
	for g.now < start+20*time.Second {
		id := fmt.Sprint(g.now)
		g.request(id, "job", "low", "x")
		if g.attempts[id] > 0 {
			sent++
			g.endAttempt(id, OK, 0)
		}
		g.advance(10 * ms)
	}
	if most := 20*5 + 2 + 1; sent > most {
		t.Errorf("%d units in 20 s, this gateway's part is %d", sent, most)
	}
	if sent < 80 {
		t.Errorf("only %d units in 20 s", sent)
	}
}

func TestUnseenCustomerMaySendItsPartOfTheBurst(t *testing.T) {
	s := testSettings()
	s.Plans[0].Rate, s.Plans[0].Burst = 1, 20
	g := newHarness(t, s, endpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)...)
	for i := 0; i < 60; i++ {
		g.request(fmt.Sprint(i), "job", "low", "x")
	}
	if n := len(g.sends); n < 8 || n > 20 {
		t.Errorf("%d of a burst of 20 over two gateways", n)
	}
}

// Where a tenant comes through many nodes, each is told little and sees single tries. One try
// next to a low reading is no surge, and who has been told of use beyond the quota refuses more
// than what would fit if all rejected alike; a well filled store here says nothing of it.
func TestThinKnowledgeOfACustomerOfManyGateways(t *testing.T) {
	chance := func(pct, spread int) float64 {
		s := testSettings()
		s.FleetSize, s.Plans[0].Rate, s.Plans[0].Burst = 80, 2, 16
		g := newHarness(t, s, endpoints(1, 2, 3)...)
		g.controller.env.now += time.Minute
		q := g.controller.tenants.get(g.controller.scheduler.plans[0], "x", spread)
		g.controller.admission.admits(q, g.controller.classes["job"], 3, 0)
		g.controller.tenants.consume(q, 3)
		for i := 0; i < 3; i++ {
			g.controller.env.now += 4 * time.Second
			g.controller.meter.applyReading(q, pct+1, 3)
		}
		q.level = s.Plans[0].Burst
		if g.controller.admission.hasQuota(q, 3); spread > 40 && pct > 100 && g.controller.counts.chance == 0 && g.controller.admission.hasQuota(q, 3) {
			t.Errorf("spread %d: a full store passes what readings of %d%% speak against", spread, pct)
		}
		return g.controller.tenants.rejectionChance(q)
	}
	if d := chance(25, 60); d > 0.1 {
		t.Errorf("chance of refusal %.2f at a quarter of the quota", d)
	}
	if d := chance(300, 60); d < 0.75 {
		t.Errorf("chance of refusal %.2f at three times the quota", d)
	}
	last := 0.0
	for spread := 4; spread <= 80; spread++ { // it changes smoothly with their number
		d := chance(200, spread)
		if spread > 4 && math.Abs(d-last) > 0.25 {
			t.Errorf("spread %d: chance %.2f after %.2f", spread, d, last)
		}
		last = d
	}
}

// Guards against memory that grows with tenants who come once. One whose buckets are not
// full again is kept: forgetting it would open its quota or ceiling anew.
func TestCustomersThatCameOnceAreForgotten(t *testing.T) {
	s := testSettings()
	s.Plans = append(s.Plans, Plan{Name: "slow", PriceFactor: 1, Rate: 0.01, Burst: 10},
		Plan{Name: "capped", PriceFactor: 1, Rate: 1000, Burst: 1000, CeilingRate: 0.01, CeilingBurst: 10, CeilingOverdraft: 9})
	g := newHarness(t, s, endpoints(1, 2)...)
	for i := 0; i < 100; i++ {
		for _, plan := range []string{"low", "slow", "capped"} {
			id := fmt.Sprint(plan, i)
			g.request(id, "job", plan, id)
			g.now += ms
			g.endAttempt(id, OK, 0)
		}
	}
	g.request("stays", "job", "low", "stays")
	for range 80 {
		g.advance(time.Second)
		id := fmt.Sprint("on", g.now)
		g.request(id, "job", "low", "comes on")
		g.endAttempt(id, OK, 0)
	}
	kept := make(map[string]int)
	for _, q := range g.controller.tenants.byKey {
		kept[q.plan.Name]++
	}
	if kept["low"] > 2 || kept["slow"] != 100 || kept["capped"] != 100 {
		t.Errorf("kept %v", kept)
	}
}

// A store that is told of in each period goes before the chance from the first periods on, and no
// longer once most periods are not told.
func TestFullStoreIsTrustedSoonAfterTheStart(t *testing.T) {
	s := testSettings()
	s.Plans[0].Rate, s.Plans[0].Burst = 10, 20
	g := newHarness(t, s, endpoints(1, 2)...)
	q := g.controller.tenants.get(g.controller.scheduler.plans[0], "x", 2)
	let := func() (n int) {
		g.controller.env.now = g.now
		g.controller.tenants.refill(q)
		q.level, q.requestedTokens, q.requestedAt, q.chanceRemainder = q.plan.Burst, 400, g.now, 0 // asked for far more of late
		for range 10 {
			if g.controller.admission.hasQuota(q, 1) {
				n++
			}
		}
		return n
	}
	for range 3 {
		g.now += time.Second
		g.controller.env.now = g.now
		g.controller.meter.applyReading(q, 31, 1)
	}
	if n := let(); n != 10 {
		t.Errorf("%d of 10 were let in by a full store after three told periods", n)
	}
	g.now += 30 * time.Second
	if n := let(); n > 5 {
		t.Errorf("%d of 10 were let in though no period was told for long", n)
	}
}

// What the bucket's owner tells goes before what is reckoned here; where it tells nothing, nothing
// changes. Of a bucket that many are told of at once more must be there.
func TestSharedStoreDecides(t *testing.T) {
	for _, x := range []struct {
		name   string
		told   *SharedBucket
		own    float64 // reckoned here
		spread int
		pass   bool
	}{
		{"nothing told, full here", nil, 20, 60, true},
		{"nothing told, empty here", nil, 0, 60, false},
		{"told empty, full here", &SharedBucket{Tokens: 0}, 20, 60, false},
		{"told enough, empty here", &SharedBucket{Tokens: 15}, 0, 60, true},
		{"told one request's, to many", &SharedBucket{Tokens: 2}, 20, 60, false},
		{"told one request's, to few", &SharedBucket{Tokens: 2}, 20, 2, true},
		{"told not low, empty here", &SharedBucket{Tokens: 14, LowerBound: true}, 0, 60, true},
	} {
		s := testSettings()
		s.Plans[0].Rate, s.Plans[0].Burst = 1, 20
		c, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.Handle(time.Hour, EndpointUpdate{Kind: Cached, Endpoints: []Endpoint{{Server: 1, Zone: "z1"}}})
		q := c.tenants.get(c.scheduler.plans[0], "x", x.spread)
		q.level, q.metered = x.own, true
		passed := false
		for _, a := range c.Handle(time.Hour, Request{ID: "r", Class: "job", Plan: c.scheduler.plans[0].Name, Tenant: "x", TimeLeft: 5 * time.Second,
			Tokens: 1, TenantNodes: x.spread, Bucket: x.told}) {
			if _, ok := a.(Send); ok {
				passed = true
			}
		}
		if passed != x.pass {
			t.Errorf("%s: passed %v", x.name, passed)
		}
	}
}

// A node of many that refuses most of a tenant's tries doesn't take the others to do so too:
// readings below the quota bring its chance down again, and large requests are rejected before small.
func TestReadingsBelowTheQuotaEndRefusals(t *testing.T) {
	s := fleetSettings(80)
	s.Plans[0].Rate, s.Plans[0].Burst = 10, 40
	g := newHarness(t, s, endpoints(1, 2, 3)...)
	q := g.controller.tenants.get(g.controller.scheduler.plans[0], "x", 60)
	read := func(pct int) {
		g.controller.env.now += 4 * time.Second
		g.controller.meter.applyReading(q, pct+1, 2)
	}
	for i := 0; i < 4; i++ {
		read(180)
	}
	if d := g.controller.tenants.rejectionChance(q); d < 0.6 {
		t.Fatalf("chance %.2f at nearly twice the quota", d)
	}
	if small, large := g.controller.tenants.rejectionChanceOf(q, 1), g.controller.tenants.rejectionChanceOf(q, 8); small >= large {
		t.Errorf("chance %.2f for one unit, %.2f for eight", small, large)
	}
	for i := 0; i < 8; i++ {
		read(60)
	}
	if d := g.controller.tenants.rejectionChance(q); d > 0.3 {
		t.Errorf("chance %.2f after 32 s at 60%% of the quota", d)
	}
	q.level = -10
	read(10)
	if q.level < 0 {
		t.Errorf("the store is taken for %.1f after a reading of 10%%", q.level)
	}
}
