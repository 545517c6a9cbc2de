package control

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// changeRules draws other rules, or the settings alone.
func (w *randomRun) changeRules() {
	e := Rules{}
	if w.rng.IntN(4) > 0 {
		e = Rules{Version: w.rules.Version + 1, MaxInFlight: w.rng.IntN(7), CrossZoneCost: map[string]float64{"z2": w.rng.Float64()},
			TenantQuotaFactor: map[string]float64{"rate k1": 2 * w.rng.Float64()}}
		for range w.settings.Classes {
			e.MaxAttempts = append(e.MaxAttempts, w.rng.IntN(9)) // more than the settings too
		}
		for range w.settings.Plans {
			e.PriceFactor, e.QuotaFactor = append(e.PriceFactor, 3*w.rng.Float64()), append(e.QuotaFactor, 2*w.rng.Float64())
		}
		for _, zone := range []string{"z1", "z2"} {
			if w.rng.IntN(3) == 0 {
				e.ClosedZones = append(e.ClosedZones, zone)
			}
		}
	}
	w.rules = &e
	w.handle(e)
}

// ruled holds a send to the rules that its request began under, and to the bound of those in force.
func (w *randomRun) checkRules(r *issuedRequest, a Send) {
	require.Equal(w.t, r.rules.Version, w.controller.RuleVersion(a.ID), "%s goes by another version than it began under", a.ID)
	if w.rules == nil {
		return
	}
	if r.attempts > 0 && r.rules.Version != w.rules.Version {
		w.retriesUnderOldRules++
	}
	if n := w.rules.MaxInFlight; n > 0 {
		require.Less(w.t, len(w.inFlight), n, "attempts out before one that is sent")
	}
	class := slices.IndexFunc(w.settings.Classes, func(k Class) bool { return k.Name == r.class.Name })
	if class < len(r.rules.MaxAttempts) && r.rules.MaxAttempts[class] > 0 {
		require.Less(w.t, r.attempts, r.rules.MaxAttempts[class], "attempts before one that is sent")
	}
	if !slices.Contains(r.rules.ClosedZones, w.endpoints[a.Server].Zone) {
		return
	}
	for id, m := range w.endpoints {
		group := !r.mayHaveRun || r.class.Idempotency != IdempotentByKey || r.class.KeyScope == KeyScopeAll ||
			r.class.KeyScope == KeyScopeCell && m.Cell == w.endpoints[r.firstServer].Cell
		if group && !w.unusable[id] && !slices.Contains(r.rules.ClosedZones, m.Zone) {
			w.t.Fatalf("%s went to closed zone %s, server %d is open to it", a.ID, w.endpoints[a.Server].Zone, id)
		}
	}
}

// Whenever rules change, a request keeps the version that it began under, over retries too; limits
// hold and are never looser than the settings; a closed zone gets nothing while another is open.
func TestRequestsKeepTheirRules(t *testing.T) {
	late := 0
	for seed := uint64(1); seed <= 40; seed++ {
		late += runRandomEvents(t, seed, 2500, Rules{Version: 1}).retriesUnderOldRules
	}
	assert.Greater(t, late, 200, "further attempts under rules that are no longer in force")
}

// A zero version restores the settings: the same decisions as without any rules.
func TestZeroRulesAreTheSettings(t *testing.T) {
	rules := Rules{Version: 3, PriceFactor: []float64{9, 1, 1, 1}, QuotaFactor: []float64{0.1, 1, 0.1, 0.1}, MaxInFlight: 1,
		MaxAttempts: []int{1, 1, 1, 1, 1, 1, 1, 1, 1}, ClosedZones: []string{"z1"}, CrossZoneCost: map[string]float64{"z2": 1}}
	differ := 0
	for seed := uint64(1); seed <= 10; seed++ {
		plain := runRandomEvents(t, seed, 1500).log
		assert.Equal(t, plain, runRandomEvents(t, seed, 1500, rules, Rules{}).log, "seed %d", seed)
		with := runRandomEvents(t, seed, 20, Rules{Version: 3, MaxInFlight: 1}).log
		if !slices.Equal(plain[:min(len(plain), len(with))], with) {
			differ++
		}
	}
	assert.Greater(t, differ, 5, "rules that hold a gateway to one request at a time change nothing")
}

// What rules multiply a quota by holds for its rate over time, for one tenant in place of its plan's;
// nothing lets nothing through. What the meter tells is a part of the settings' quota.
func TestRulesMultiplyQuotas(t *testing.T) {
	s := testSettings()
	s.FleetSize, s.Plans[0].Rate, s.Plans[0].Burst = 1, 10, 10
	g := newHarness(t, s, endpoints(1, 2, 3, 4)...)
	g.handle(Rules{Version: 1, QuotaFactor: []float64{0.5, 1}, TenantQuotaFactor: map[string]float64{"low double": 2, "low none": 0}})
	sent := map[string]int{}
	const secs = 40
	for i := range secs * 25 {
		for _, name := range []string{"half", "double", "none"} {
			id := fmt.Sprint(name, i)
			g.handle(Request{ID: id, Class: "job", Plan: "low", Tenant: name, TimeLeft: 5 * time.Second, Tokens: 1, TenantNodes: 1})
			if g.attempts[id] > 0 {
				sent[name]++
				g.endAttempt(id, OK, 0)
			}
		}
		g.advance(40 * ms)
	}
	assert.InDelta(t, 5*secs, sent["half"], 0.2*5*secs)
	assert.InDelta(t, 20*secs, sent["double"], 0.2*20*secs)
	assert.Zero(t, sent["none"])

	q := g.controller.tenants.get(g.controller.scheduler.plans[0], "double", 1)
	g.controller.meter.phase.lag = 0
	g.now += 3 * time.Second
	g.controller.env.now = g.now
	g.controller.meter.applyReading(q, 1+150, 1) // of ten units in a period
	assert.InDelta(t, 15, q.lastPeriodTokens, 1e-9)
	units, rate, depth, _, _ := g.controller.TenantLevel("low", "double")
	assert.Equal(t, []float64{20, 20}, []float64{rate, depth})
	g.handle(Rules{})
	g.now += time.Second
	g.controller.env.now = g.now
	g.controller.tenants.refill(q)
	assert.LessOrEqual(t, q.level, min(10, units+10), "more than the settings' depth")
}

// Prices set W; a price that is no number leaves the settings'. What a zone costs counts as the wait
// that takes as much of an answer's worth, from other zones only.
func TestRulesSetPricesAndCosts(t *testing.T) {
	g := newHarness(t, testSettings(), endpoints(1, 2, 3, 4, 5, 6)...)
	g.handle(Rules{Version: 1, PriceFactor: []float64{4.5, math.NaN()}})
	assert.Equal(t, []float64{1.5, 0.5}, []float64{g.controller.shares.weights.At(0, 0), g.controller.shares.weights.At(1, 1)})
	for name, x := range map[string]struct {
		cost  map[string]float64
		least int // of 60 that stay in z1
		most  int
	}{
		"nothing": {nil, 20, 40},
		"its own": {map[string]float64{"z1": 1}, 20, 40},
		"little":  {map[string]float64{"z2": 0.00001}, 20, 50},
		"much":    {map[string]float64{"z2": 0.5}, 60, 60},
	} {
		g := newHarness(t, testSettings(), endpoints(1, 2, 3, 4, 5, 6)...)
		g.sendsByServer(60)
		g.handle(Rules{Version: 1, CrossZoneCost: x.cost})
		got := g.sendsByServer(60)
		assert.GreaterOrEqual(t, got[1]+got[3]+got[5], x.least, name)
		assert.LessOrEqual(t, got[1]+got[3]+got[5], x.most, name)
	}
}

// A node hands its tenants' buckets to one that begins without rules.
func TestHandoverUnderRules(t *testing.T) {
	s := testSettings()
	old := newHarness(t, s, endpoints(1, 2)...)
	old.handle(Rules{Version: 1, QuotaFactor: []float64{10, 10}})
	old.request("a", "job", "low", "x")
	raw, err := old.controller.Handover(old.now)
	require.NoError(t, err)
	c, err := New(s, 1)
	require.NoError(t, err)
	require.NoError(t, c.RestoreHandover(old.now, raw))
	_, rate, _, _, _ := c.TenantLevel("low", "x")
	assert.Equal(t, s.Plans[0].Rate, rate)
}
