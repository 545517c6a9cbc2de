package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// The rejection chance after a reading is that of the operators' formula, and the reading of one period
// counts once however often it is repeated.
func TestRejectionChanceFollowsFormulaAndReadsPeriodOnce(t *testing.T) {
	s := testSettings()
	s.Plans[0].Rate, s.Plans[0].Burst = 1000, 20 // enough tokens for a reading to outweigh the prior belief
	h := newHarness(t, s, endpoints(1, 2, 3)...)
	tenant := h.controller.tenants.get(h.controller.scheduler.plans[0], "x", wellObservedNodes)
	read := func(percent int) float64 {
		h.controller.env.now = h.now
		h.controller.tenants.observingSince = h.now // requests at this node carry no weight
		tenant.level = 0                            // the bucket is low enough for the chance to decide
		h.controller.meter.applyReading(tenant, percent+1, 1)
		return h.controller.tenants.rejectionChance(tenant)
	}
	h.controller.meter.phase.lag = 0
	recordPeriod := func(requested, rejected int) { // counts requests and moves the clock past the period
		h.controller.env.now = h.now
		h.controller.tenants.refill(tenant)
		tenant.requested.add(float64(requested))
		tenant.rejected.add(float64(rejected))
		h.now += 1100 * ms
	}
	recordPeriod(4000, 0)
	if chance := read(400); math.Abs(chance-0.75) > 0.01 {
		t.Fatalf("rejection chance %g after a first reading of 400%%", chance)
	}
	for i := 0; i < 5; i++ {
		h.now += 20 * ms
		if chance := read(400); math.Abs(chance-0.75) > 0.02 {
			t.Fatalf("rejection chance %g: one period was counted twice", chance)
		}
	}
	h.now += 900 * ms
	recordPeriod(4000, 3000) // the true demand is four times the 200% that pass
	if chance := read(200); math.Abs(chance-0.875) > 0.01 {
		t.Errorf("rejection chance %g after a reading of 200%% under a chance of 0.75", chance)
	}
	for i := 0; i < 20; i++ {
		h.now += time.Second
		if chance := read(5000); chance < 0 || chance > maxRejectionChance {
			t.Fatalf("rejection chance %g is out of range", chance)
		}
	}
}

// The end of the meter's periods and the lag of its readings are learned from this node's own attempts.
func TestMeterPhaseLearnsLag(t *testing.T) {
	s := testSettings()
	s.Plans[0].Rate, s.Plans[0].Burst = 10, 1000
	h := newHarness(t, s, endpoints(1, 2, 3)...)
	tenant := h.controller.tenants.get(h.controller.scheduler.plans[0], "x", 1)
	const lag = 1300 * ms
	var sentAt []time.Duration
	for i := 0; i < 3000; i++ {
		h.now += 10 * ms
		h.controller.env.now = h.now
		h.controller.tenants.refill(tenant)
		if i%7 == 0 && (i/300)%2 == 0 {
			h.controller.tenants.consume(tenant, 1)
			sentAt = append(sentAt, h.now)
		}
		end := (h.now - lag).Truncate(time.Second)
		used := 0
		for _, at := range sentAt {
			if at >= end-time.Second && at < end {
				used++
			}
		}
		if i%5 == 0 {
			h.controller.meter.applyReading(tenant, 1+used*10, 1)
		}
	}
	end := h.controller.meter.phase.periodEnd(h.controller.env.currentBin())
	if want := int64((h.now - lag).Truncate(time.Second) / (100 * ms)); end < want-1 || end > want+1 {
		t.Errorf("the period is taken to have ended in bin %d, it ended in bin %d", end, want)
	}
}

// A tenant with a quota of attempts in flight has this node's part of them, and delays no other tenant.
func TestConcurrencyQuotaLimitsAttemptsInFlight(t *testing.T) {
	s := testSettings()
	s.Plans[0].Rate, s.Plans[0].Burst, s.Plans[0].MaxConcurrent = 0, 0, 4
	h := newHarness(t, s, endpoints(1, 2, 3, 4)...)
	for i := 0; i < 4; i++ {
		h.request(fmt.Sprint(i), "job", "low", "x")
	}
	h.request("y", "job", "low", "y")
	if h.controller.tenants.get(h.controller.scheduler.plans[0], "x", 2).inFlight != 2 ||
		h.attempts["y"] != 1 {
		t.Fatalf("attempts %v, want two of tenant x, half of its four, and one of tenant y", h.sends)
	}
	h.endAttempt("0", OK, 0)
	if h.attempts["2"] != 1 {
		t.Error("the next request of tenant x was not sent when a slot became free")
	}
}

// The tokens reported with a response replace those that the request was expected to cost.
func TestReportedTokensReplaceExpectedOnes(t *testing.T) {
	s := testSettings()
	s.ResponsesReportTokens = true
	h := newHarness(t, s, endpoints(1)...)
	h.request("a", "job", "low", "x")
	tenant := h.controller.tenants.get(h.controller.scheduler.plans[0], "x", 2)
	before := tenant.level
	h.handle(AttemptEnded{ID: "a", Server: 1, Outcome: OK, Done: true, Tokens: 4})
	if got := before - tenant.level; math.Abs(got-3) > 1e-9 {
		t.Errorf("the response took %g more tokens, not 3: 1 was expected and 4 were used", got)
	}
}

// What a tenant uses at other nodes is charged once: under steady use within the quota, half of it through
// this node, no more is charged in a period than all nodes use together.
func TestUseElsewhereIsChargedOnce(t *testing.T) {
	s := testSettings()
	s.Plans[0].Rate, s.Plans[0].Burst = 22, 10
	h := newHarness(t, s, endpoints(1, 2)...)
	tenant := h.controller.tenants.get(h.controller.scheduler.plans[0], "x", 2)
	h.controller.meter.phase.lag = 10 // bins: each period is reported a second after its end
	for i := range 200 {
		h.now += 100 * ms
		h.controller.env.now = h.now
		h.controller.tenants.consume(tenant, 1) // 10 tokens per second here, and 10 elsewhere
		if i%10 != 0 {
			continue
		}
		h.controller.meter.applyReading(tenant, 1+100*20/22, 1)
		charged := tenant.charged.periodSumBefore(h.controller.env.currentBin())
		if i >= 100 && (charged > 21 || charged < 12) {
			t.Fatalf("%.1f tokens were charged in a period with 10 sent here and 10 elsewhere", charged)
		}
	}
}

// One large request says little about how a tenant's use is spread over the nodes.
func TestOneRequestHardlyMovesLocalFraction(t *testing.T) {
	s := testSettings()
	s.Plans[0].Rate, s.Plans[0].Burst = 10, 20
	h := newHarness(t, s, endpoints(1, 2)...)
	tenant := h.controller.tenants.get(h.controller.scheduler.plans[0], "x", 4)
	h.controller.meter.phase.lag = 0
	h.now += time.Second
	h.controller.env.now = h.now
	h.controller.meter.applyReading(tenant, 81, 8) // eight tokens, all through other nodes
	if fraction := tenant.localFraction(); fraction < 0.125 {
		t.Errorf("the local fraction fell from 0.25 to %.3f by one request at another node", fraction)
	}
}
