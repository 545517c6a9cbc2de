package control

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestChanceFollowsTheFormulaAndReadsAPeriodOnce(t *testing.T) {
	s := settings()
	s.Plans[0].Rate, s.Plans[0].Burst = 1000, 20 // enough units for a reading to outweigh the prior
	g := newHarness(t, s, endpoints(1, 2, 3)...)
	q := g.c.tenants.get(g.c.scheduler.plans[0], "x", wellObservedNodes)
	read := func(pct int) float64 {
		g.c.env.now, g.c.tenants.observingSince = g.now, g.now // own tries tell nothing
		q.level = 0                                            // the store is empty enough for the chance to decide
		g.c.meter.applyReading(q, pct+1, 1)
		return g.c.tenants.rejectionChance(q)
	}
	g.c.meter.phase.lag = 0
	asks := func(n, refused int) { // what was asked and refused in the second to come
		g.c.env.now = g.now
		g.c.tenants.refill(q)
		q.requested.add(float64(n))
		q.rejected.add(float64(refused))
		g.now += 1100 * ms
	}
	asks(4000, 0)
	if d := read(400); math.Abs(d-0.75) > 0.01 {
		t.Fatalf("d = %g after a first reading of 400%%", d)
	}
	for i := 0; i < 5; i++ {
		g.now += 20 * ms
		if d := read(400); math.Abs(d-0.75) > 0.02 {
			t.Fatalf("d = %g: one period was read again", d)
		}
	}
	g.now += 900 * ms
	asks(4000, 3000) // with three quarters refused, 200% is left
	if d := read(200); math.Abs(d-0.875) > 0.01 {
		t.Errorf("d = %g after 200%% let through by a chance of 0.75", d)
	}
	for i := 0; i < 20; i++ {
		g.now += time.Second
		if d := read(5000); d < 0 || d > maxRejectionChance {
			t.Fatalf("d = %g", d)
		}
	}
}

// The meter's period and lateness are learned from our own sends.
func TestClockLearnsTheLateness(t *testing.T) {
	s := settings()
	s.Plans[0].Rate, s.Plans[0].Burst = 10, 1000
	g := newHarness(t, s, endpoints(1, 2, 3)...)
	q := g.c.tenants.get(g.c.scheduler.plans[0], "x", 1)
	const late = 1300 * ms
	var sent []time.Duration
	for i := 0; i < 3000; i++ {
		g.now += 10 * ms
		g.c.env.now = g.now
		g.c.tenants.refill(q)
		if i%7 == 0 && (i/300)%2 == 0 {
			g.c.tenants.consume(q, 1)
			sent = append(sent, g.now)
		}
		end := (g.now - late).Truncate(time.Second)
		n := 0
		for _, at := range sent {
			if at >= end-time.Second && at < end {
				n++
			}
		}
		if i%5 == 0 {
			g.c.meter.applyReading(q, 1+n*10, 1)
		}
	}
	end := g.c.meter.phase.periodEnd(g.c.env.currentBin())
	if want := int64((g.now - late).Truncate(time.Second) / (100 * ms)); end < want-1 || end > want+1 {
		t.Errorf("the told period is taken to end in bin %d, it ended in %d", end, want)
	}
}

func TestOpenQuotaHoldsBack(t *testing.T) {
	s := settings()
	s.Plans[0].Rate, s.Plans[0].Burst, s.Plans[0].MaxConcurrent = 0, 0, 4
	g := newHarness(t, s, endpoints(1, 2, 3, 4)...)
	for i := 0; i < 4; i++ {
		g.request(fmt.Sprint(i), "job", "low", "x")
	}
	g.request("y", "job", "low", "y")
	if g.c.tenants.get(g.c.scheduler.plans[0], "x", 2).inFlight != 2 || g.n["y"] != 1 {
		t.Fatalf("sends %v: two of x are its part of four, y is not held up", g.sends)
	}
	g.answer("0", OK, 0)
	if g.n["2"] != 1 {
		t.Error("the next of x did not follow")
	}
}

func TestTrueUnitsAreSettled(t *testing.T) {
	s := settings()
	s.ResponsesReportTokens = true
	g := newHarness(t, s, endpoints(1)...)
	g.request("a", "job", "low", "x")
	q := g.c.tenants.get(g.c.scheduler.plans[0], "x", 2)
	before := q.level
	g.handle(AttemptEnded{ID: "a", Server: 1, Outcome: OK, Done: true, Tokens: 4})
	if got := before - q.level; math.Abs(got-3) > 1e-9 {
		t.Errorf("settled %g units, guessed 1, true 4", got)
	}
}

// What a tenant uses elsewhere is charged once: under steady use within the quota, half of it
// through this node, no more is charged in a period than is used by all.
func TestUseElsewhereIsChargedOnce(t *testing.T) {
	s := settings()
	s.Plans[0].Rate, s.Plans[0].Burst = 22, 10
	g := newHarness(t, s, endpoints(1, 2)...)
	q := g.c.tenants.get(g.c.scheduler.plans[0], "x", 2)
	g.c.meter.phase.lag = 10 // each period is told a second after its end
	for i := range 200 {
		g.now += 100 * ms
		g.c.env.now = g.now
		g.c.tenants.consume(q, 1) // 10 units a second here, and 10 elsewhere
		if i%10 != 0 {
			continue
		}
		g.c.meter.applyReading(q, 1+100*20/22, 1)
		if charged := q.charged.periodSumBefore(g.c.env.currentBin()); i >= 100 && (charged > 21 || charged < 12) {
			t.Fatalf("%.1f units were charged in a period for 10 sent here and 10 elsewhere", charged)
		}
	}
}

// One large request says little of how a tenant's use is spread over the nodes.
func TestOneRequestHardlyMovesTheLearnedPart(t *testing.T) {
	s := settings()
	s.Plans[0].Rate, s.Plans[0].Burst = 10, 20
	g := newHarness(t, s, endpoints(1, 2)...)
	q := g.c.tenants.get(g.c.scheduler.plans[0], "x", 4)
	g.c.meter.phase.lag = 0
	g.now += time.Second
	g.c.env.now = g.now
	g.c.meter.applyReading(q, 81, 8) // eight units, all through other gateways
	if w := q.localFraction(); w < 0.125 {
		t.Errorf("the learned part fell from 0.25 to %.3f by one request elsewhere", w)
	}
}
