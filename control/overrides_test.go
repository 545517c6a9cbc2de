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

// changeRules puts random rules in force, or the settings alone.
func (run *randomRun) changeRules() {
	e := Rules{}
	if run.rng.IntN(4) > 0 {
		e = Rules{
			Version:           run.rules.Version + 1,
			MaxInFlight:       run.rng.IntN(7),
			CrossZoneCost:     map[string]float64{"z2": run.rng.Float64()},
			TenantQuotaFactor: map[string]float64{"rate k1": 2 * run.rng.Float64()},
		}
		for range run.settings.Classes {
			e.MaxAttempts = append(e.MaxAttempts, run.rng.IntN(9)) // some are above the settings' limit
		}
		for range run.settings.Plans {
			e.PriceFactor = append(e.PriceFactor, 3*run.rng.Float64())
			e.QuotaFactor = append(e.QuotaFactor, 2*run.rng.Float64())
		}
		for _, zone := range []string{"z1", "z2"} {
			if run.rng.IntN(3) == 0 {
				e.ClosedZones = append(e.ClosedZones, zone)
			}
		}
	}
	run.rules = &e
	run.handle(e)
}

// checkRules checks an attempt against the rules under which its request began, and against the in-flight
// bound of the rules in force.
func (run *randomRun) checkRules(r *issuedRequest, a Send) {
	require.Equal(run.t, r.rules.Version, run.controller.RuleVersion(a.ID),
		"%s is not under the rule version of its arrival", a.ID)
	if run.rules == nil {
		return
	}
	if r.attempts > 0 && r.rules.Version != run.rules.Version {
		run.retriesUnderOldRules++
	}
	if n := run.rules.MaxInFlight; n > 0 {
		require.Less(run.t, len(run.inFlight), n, "attempts in flight before another one is sent")
	}
	class := slices.IndexFunc(run.settings.Classes, func(k Class) bool { return k.Name == r.class.Name })
	if class < len(r.rules.MaxAttempts) && r.rules.MaxAttempts[class] > 0 {
		require.Less(run.t, r.attempts, r.rules.MaxAttempts[class], "attempts of the request before this one")
	}
	if !slices.Contains(r.rules.ClosedZones, run.endpoints[a.Server].Zone) {
		return
	}
	for id, server := range run.endpoints {
		inKeyScope := !r.mayHaveRun || r.class.Idempotency != IdempotentByKey || r.class.KeyScope == KeyScopeAll ||
			r.class.KeyScope == KeyScopeCell && server.Cell == run.endpoints[r.firstServer].Cell
		if inKeyScope && !run.unusable[id] && !slices.Contains(r.rules.ClosedZones, server.Zone) {
			run.t.Fatalf("%s was sent to closed zone %s while server %d of an open zone was usable",
				a.ID, run.endpoints[a.Server].Zone, id)
		}
	}
}

// While rules change at random, a request keeps the version that was in force at its arrival, over its
// retries too. The rules' limits hold and are never looser than those of the settings. A closed zone gets no
// attempt while another is open.
func TestRequestsKeepTheirRuleVersion(t *testing.T) {
	retries := 0
	for seed := uint64(1); seed <= 40; seed++ {
		retries += runRandomEvents(t, seed, 2500, Rules{Version: 1}).retriesUnderOldRules
	}
	assert.Greater(t, retries, 200, "retries under rules that are no longer in force")
}

// The zero value of Rules restores the settings: the decisions are those without any rules.
func TestZeroRulesRestoreSettings(t *testing.T) {
	rules := Rules{
		Version:       3,
		PriceFactor:   []float64{9, 1, 1, 1},
		QuotaFactor:   []float64{0.1, 1, 0.1, 0.1},
		MaxInFlight:   1,
		MaxAttempts:   []int{1, 1, 1, 1, 1, 1, 1, 1, 1},
		ClosedZones:   []string{"z1"},
		CrossZoneCost: map[string]float64{"z2": 1},
	}
	differ := 0
	for seed := uint64(1); seed <= 10; seed++ {
		without := runRandomEvents(t, seed, 1500).log
		assert.Equal(t, without, runRandomEvents(t, seed, 1500, rules, Rules{}).log, "seed %d", seed)
		with := runRandomEvents(t, seed, 20, Rules{Version: 3, MaxInFlight: 1}).log
		if !slices.Equal(without[:min(len(without), len(with))], with) {
			differ++
		}
	}
	assert.Greater(t, differ, 5, "runs that rules with one attempt in flight change")
}

// The rules' quota factors multiply the quota's rate over time; a tenant's own factor replaces its plan's,
// and a factor of zero admits nothing. Meter readings remain percentages of the settings' quota.
func TestRulesMultiplyQuotas(t *testing.T) {
	s := testSettings()
	s.FleetSize, s.Plans[0].Rate, s.Plans[0].Burst = 1, 10, 10
	h := newHarness(t, s, endpoints(1, 2, 3, 4)...)
	h.handle(Rules{
		Version:           1,
		QuotaFactor:       []float64{0.5, 1},
		TenantQuotaFactor: map[string]float64{"low double": 2, "low none": 0},
	})
	sent := map[string]int{}
	const duration = 40 // seconds
	for i := range duration * 25 {
		for _, name := range []string{"half", "double", "none"} {
			id := fmt.Sprint(name, i)
			h.handle(Request{
				ID:          id,
				Class:       "job",
				Plan:        "low",
				Tenant:      name,
				TimeLeft:    5 * time.Second,
				Tokens:      1,
				TenantNodes: 1,
			})
			if h.attempts[id] > 0 {
				sent[name]++
				h.endAttempt(id, OK, 0)
			}
		}
		h.advance(40 * ms)
	}
	assert.InDelta(t, 5*duration, sent["half"], 0.2*5*duration)
	assert.InDelta(t, 20*duration, sent["double"], 0.2*20*duration)
	assert.Zero(t, sent["none"])

	tenant := h.controller.tenants.get(h.controller.scheduler.plans[0], "double", 1)
	h.controller.meter.phase.lag = 0
	h.now += 3 * time.Second
	h.controller.env.now = h.now
	h.controller.meter.applyReading(tenant, 1+150, 1) // 150% of the settings' ten tokens in a period
	assert.InDelta(t, 15, tenant.lastPeriodTokens, 1e-9)
	tokens, rate, burst, _, _ := h.controller.TenantLevel("low", "double")
	assert.Equal(t, []float64{20, 20}, []float64{rate, burst})
	h.handle(Rules{})
	h.now += time.Second
	h.controller.env.now = h.now
	h.controller.tenants.refill(tenant)
	assert.LessOrEqual(t, tenant.level, min(10, tokens+10), "tokens above the settings' burst")
}

// The rules' prices set the share controller's weights; NaN leaves the settings' price. The cost of a zone
// counts as the wait that costs as much of a response's value, for nodes of other zones only.
func TestRulesSetPricesAndZoneCosts(t *testing.T) {
	h := newHarness(t, testSettings(), endpoints(1, 2, 3, 4, 5, 6)...)
	h.handle(Rules{Version: 1, PriceFactor: []float64{4.5, math.NaN()}})
	assert.Equal(t, []float64{1.5, 0.5},
		[]float64{h.controller.shares.weights.At(0, 0), h.controller.shares.weights.At(1, 1)})
	for name, x := range map[string]struct {
		cost map[string]float64
		low  int // least and most of 60 attempts that stay in z1, the node's own zone
		high int
	}{
		"no cost":                {nil, 20, 40},
		"cost of its own zone":   {map[string]float64{"z1": 1}, 20, 40},
		"low cost of the other":  {map[string]float64{"z2": 0.00001}, 20, 50},
		"high cost of the other": {map[string]float64{"z2": 0.5}, 60, 60},
	} {
		h := newHarness(t, testSettings(), endpoints(1, 2, 3, 4, 5, 6)...)
		h.sendsByServer(60)
		h.handle(Rules{Version: 1, CrossZoneCost: x.cost})
		sends := h.sendsByServer(60)
		assert.GreaterOrEqual(t, sends[1]+sends[3]+sends[5], x.low, name)
		assert.LessOrEqual(t, sends[1]+sends[3]+sends[5], x.high, name)
	}
}

// A node under rules hands its tenants' buckets to a process that starts without rules.
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
