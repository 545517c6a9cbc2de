package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A node that has just started does not know what its tenants used before, so its part of a ceiling starts
// nearly empty. From then on it admits the ceiling's rate.
func TestRestartedNodeStartsWithNearlyEmptyCeiling(t *testing.T) {
	s := testSettings()
	s.Plans[0].CeilingRate, s.Plans[0].CeilingBurst, s.Plans[0].CeilingOverdraft = 10, 40, 4
	h := newHarness(t, s, endpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)...)
	for i := 0; i < 50; i++ {
		h.request(fmt.Sprint("s", i), "job", "low", "x")
	}
	if len(h.sends) > 2 { // the overdraft divided by two nodes
		t.Errorf("%d tokens at once from a node that has just started", len(h.sends))
	}
	sent, start := 0, h.now
	for h.now < start+20*time.Second {
		id := fmt.Sprint(h.now)
		h.request(id, "job", "low", "x")
		if h.attempts[id] > 0 {
			sent++
			h.endAttempt(id, OK, 0)
		}
		h.advance(10 * ms)
	}
	if limit := 20*5 + 2 + 1; sent > limit {
		t.Errorf("%d tokens in 20 s, this node's part is %d", sent, limit)
	}
	if sent < 80 {
		t.Errorf("only %d tokens in 20 s", sent)
	}
}

// A tenant that is not metered yet may send its burst, or this node's half of it, at once.
func TestUnmeteredTenantMaySendItsPartOfTheBurst(t *testing.T) {
	s := testSettings()
	s.Plans[0].Rate, s.Plans[0].Burst = 1, 20
	h := newHarness(t, s, endpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16)...)
	for i := 0; i < 60; i++ {
		h.request(fmt.Sprint(i), "job", "low", "x")
	}
	if n := len(h.sends); n < 8 || n > 20 {
		t.Errorf("%d requests sent of a burst of 20 tokens over two nodes", n)
	}
}

// Where a tenant comes through many nodes, each gets few readings and sees single requests. One request
// beside a reading below the quota is no surge. Readings above the quota make a node reject more than would
// do if all nodes rejected alike, and a well filled bucket here does not override them.
func TestRejectionChanceOfTenantOfManyNodes(t *testing.T) {
	chance := func(percent, nodes int) float64 {
		s := testSettings()
		s.FleetSize, s.Plans[0].Rate, s.Plans[0].Burst = 80, 2, 16
		h := newHarness(t, s, endpoints(1, 2, 3)...)
		h.controller.env.now += time.Minute
		tenant := h.controller.tenants.get(h.controller.scheduler.plans[0], "x", nodes)
		h.controller.admission.admits(tenant, h.controller.classes["job"], 3, 0)
		h.controller.tenants.consume(tenant, 3)
		for i := 0; i < 3; i++ {
			h.controller.env.now += 4 * time.Second
			h.controller.meter.applyReading(tenant, percent+1, 3)
		}
		tenant.level = s.Plans[0].Burst
		h.controller.admission.hasQuota(tenant, 3)
		if nodes > 40 && percent > 100 && h.controller.counts.chance == 0 &&
			h.controller.admission.hasQuota(tenant, 3) {
			t.Errorf("%d nodes: a full bucket admits requests against readings of %d%%", nodes, percent)
		}
		return h.controller.tenants.rejectionChance(tenant)
	}
	if c := chance(25, 60); c > 0.1 {
		t.Errorf("rejection chance %.2f at a quarter of the quota", c)
	}
	if c := chance(300, 60); c < 0.75 {
		t.Errorf("rejection chance %.2f at three times the quota", c)
	}
	last := 0.0
	for nodes := 4; nodes <= 80; nodes++ { // the chance changes smoothly with the number of nodes
		c := chance(200, nodes)
		if nodes > 4 && math.Abs(c-last) > 0.25 {
			t.Errorf("%d nodes: rejection chance %.2f after %.2f", nodes, c, last)
		}
		last = c
	}
}

// Guards against memory that grows with tenants that come once. A tenant whose buckets have not filled up
// again is kept: to forget it would grant its quota or ceiling anew.
func TestIdleTenantsAreForgotten(t *testing.T) {
	s := testSettings()
	s.Plans = append(s.Plans,
		Plan{Name: "slow", PriceFactor: 1, Rate: 0.01, Burst: 10},
		Plan{
			Name:             "capped",
			PriceFactor:      1,
			Rate:             1000,
			Burst:            1000,
			CeilingRate:      0.01,
			CeilingBurst:     10,
			CeilingOverdraft: 9,
		})
	h := newHarness(t, s, endpoints(1, 2)...)
	for i := 0; i < 100; i++ {
		for _, plan := range []string{"low", "slow", "capped"} {
			id := fmt.Sprint(plan, i)
			h.request(id, "job", plan, id)
			h.now += ms
			h.endAttempt(id, OK, 0)
		}
	}
	h.request("stays", "job", "low", "stays")
	for range 80 {
		h.advance(time.Second)
		id := fmt.Sprint("on", h.now)
		h.request(id, "job", "low", "returns")
		h.endAttempt(id, OK, 0)
	}
	kept := make(map[string]int)
	for _, tenant := range h.controller.tenants.byKey {
		kept[tenant.plan.Name]++
	}
	if kept["low"] > 2 || kept["slow"] != 100 || kept["capped"] != 100 {
		t.Errorf("tenants kept by plan: %v", kept)
	}
}

// A bucket that is corrected by a reading in each period overrides the rejection chance from the first
// periods on, and no longer does once most periods lack a reading.
func TestFullBucketDecidesSoonAfterStart(t *testing.T) {
	s := testSettings()
	s.Plans[0].Rate, s.Plans[0].Burst = 10, 20
	h := newHarness(t, s, endpoints(1, 2)...)
	tenant := h.controller.tenants.get(h.controller.scheduler.plans[0], "x", 2)
	admitted := func() (n int) { // of ten requests with a full bucket, after requests far beyond the quota
		h.controller.env.now = h.now
		h.controller.tenants.refill(tenant)
		tenant.level, tenant.requestedTokens = tenant.plan.Burst, 400
		tenant.requestedAt, tenant.chanceRemainder = h.now, 0
		for range 10 {
			if h.controller.admission.hasQuota(tenant, 1) {
				n++
			}
		}
		return n
	}
	for range 3 {
		h.now += time.Second
		h.controller.env.now = h.now
		h.controller.meter.applyReading(tenant, 31, 1)
	}
	if n := admitted(); n != 10 {
		t.Errorf("%d of 10 requests admitted with a full bucket after three readings", n)
	}
	h.now += 30 * time.Second
	if n := admitted(); n > 5 {
		t.Errorf("%d of 10 requests admitted after 30 s without a reading", n)
	}
}

// What the owner of a tenant's bucket reports goes before the level that the node has estimated. Without a
// report the estimate decides. Where the report goes to many nodes at once, the bucket must hold more.
func TestSharedBucketDecides(t *testing.T) {
	for _, x := range []struct {
		name     string
		reported *SharedBucket
		level    float64 // this node's estimate
		nodes    int
		admitted bool
	}{
		{"no report, estimated full", nil, 20, 60, true},
		{"no report, estimated empty", nil, 0, 60, false},
		{"reported empty, estimated full", &SharedBucket{Tokens: 0}, 20, 60, false},
		{"reported enough, estimated empty", &SharedBucket{Tokens: 15}, 0, 60, true},
		{"reported two tokens, many nodes", &SharedBucket{Tokens: 2}, 20, 60, false},
		{"reported two tokens, few nodes", &SharedBucket{Tokens: 2}, 20, 2, true},
		{"reported at least enough, estimated empty", &SharedBucket{Tokens: 14, LowerBound: true}, 0, 60, true},
	} {
		s := testSettings()
		s.Plans[0].Rate, s.Plans[0].Burst = 1, 20
		c, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.Handle(time.Hour, EndpointUpdate{Kind: Cached, Endpoints: []Endpoint{{Server: 1, Zone: "z1"}}})
		tenant := c.tenants.get(c.scheduler.plans[0], "x", x.nodes)
		tenant.level, tenant.metered = x.level, true
		admitted := false
		for _, a := range c.Handle(time.Hour, Request{
			ID:          "r",
			Class:       "job",
			Plan:        c.scheduler.plans[0].Name,
			Tenant:      "x",
			TimeLeft:    5 * time.Second,
			Tokens:      1,
			TenantNodes: x.nodes,
			Bucket:      x.reported,
		}) {
			if _, ok := a.(Send); ok {
				admitted = true
			}
		}
		if admitted != x.admitted {
			t.Errorf("%s: admitted %v", x.name, admitted)
		}
	}
}

// Guards against a node of many that rejects most of a tenant's requests and takes the other nodes to do the
// same: readings below the quota must lower its rejection chance again. Large requests are rejected with a
// higher chance than small ones.
func TestReadingsBelowQuotaLowerRejectionChance(t *testing.T) {
	s := fleetSettings(80)
	s.Plans[0].Rate, s.Plans[0].Burst = 10, 40
	h := newHarness(t, s, endpoints(1, 2, 3)...)
	tenant := h.controller.tenants.get(h.controller.scheduler.plans[0], "x", 60)
	read := func(percent int) {
		h.controller.env.now += 4 * time.Second
		h.controller.meter.applyReading(tenant, percent+1, 2)
	}
	for i := 0; i < 4; i++ {
		read(180)
	}
	if c := h.controller.tenants.rejectionChance(tenant); c < 0.6 {
		t.Fatalf("rejection chance %.2f at nearly twice the quota", c)
	}
	small := h.controller.tenants.rejectionChanceOf(tenant, 1)
	large := h.controller.tenants.rejectionChanceOf(tenant, 8)
	if small >= large {
		t.Errorf("rejection chance %.2f for one token, %.2f for eight", small, large)
	}
	for i := 0; i < 8; i++ {
		read(60)
	}
	if c := h.controller.tenants.rejectionChance(tenant); c > 0.3 {
		t.Errorf("rejection chance %.2f after 32 s at 60%% of the quota", c)
	}
	tenant.level = -10
	read(10)
	if tenant.level < 0 {
		t.Errorf("the bucket is estimated at %.1f tokens after a reading of 10%%", tenant.level)
	}
}
