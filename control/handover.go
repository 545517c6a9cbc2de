package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

// This file hands what a controller has learnt to the one that takes its place in another process.
// For a while both decide for one gateway: then each has half of every store and of the bound.

// handoverVersion changes with the form or the meaning of a handover.
const handoverVersion = 1

// handover is the form of what goes over. Times are on the caller's clock, which both share.
type handover struct {
	Version    int
	At, Start  time.Duration
	Bound      float64
	Latency    float64
	Idle, Seen float64
	Served     float64
	Retries    float64
	Units      float64
	NextTry    time.Duration
	Miss       [binsPeriod][lagMost]float64
	Phase, Lag int64
	Law        [3][]float64 // X, P and phi
	Plans      map[string]handoverPlan
	Usual      map[string]handoverTTL
	Servers    map[uint32]handoverServer
	Customers  map[string]handoverCustomer // by plan and name
}

type handoverPlan struct{ Share, Credit, Y float64 }

type handoverTTL struct {
	TTL, Second time.Duration
	Seen, Often int
}

type handoverServer struct {
	Latency, Failing     float64
	LatencyAt, FailingAt time.Duration
	Strikes              int
	AsideUntil, Aside    time.Duration
	Cold                 bool
	ColdFrom, TokensAt   time.Duration
	Tokens               float64
	HasCameUp            bool
	CameUp               time.Duration
}

type handoverCustomer struct {
	Plan, Key                                                   string
	Spread                                                      float64
	SeenFrom, At, ToldAt, TriesAt                               time.Duration
	Level, Ceiling, OpenCap, Chance, Carry                      float64
	Metered                                                     bool
	Base, LastUsed, Tries, Told, ToldFor, Cover, OwnSum, AllSum float64
	Smooth                                                      float64
	ReadEnd                                                     int64
	Own, Charged, Asked, Refused                                [][2]float64 // bin and amount
}

// Handover gives what was learnt, with half of each customer's store; the other half stays. From
// now on the controller shares its quotas, until Alone.
func (c *Controller) Handover(now time.Duration) ([]byte, error) {
	c.now = max(c.now, now)
	h := c.learnt()
	h.Retries /= 2
	for _, s := range c.order {
		if o, ok := h.Servers[s.Server]; ok {
			o.Tokens /= 2
			s.tokens /= 2
			h.Servers[s.Server] = o
		}
	}
	c.split(true)
	for k, q := range c.custs {
		c.refill(q)
		most := 2 * c.planOf[q.plan.Name].Burst // the other one begins without rules
		h.Customers[k] = handoverCustomer{Plan: q.plan.Name, Key: k, Spread: q.spread, SeenFrom: q.seenFrom, At: q.at,
			ToldAt: q.toldAt, TriesAt: q.triesAt, Level: max(-most, min(q.level, most)), Ceiling: q.ceiling, OpenCap: q.openCap,
			Chance: q.chance, Carry: q.carry, Metered: q.metered, Base: q.base, LastUsed: q.lastUsed, Tries: q.tries,
			Told: q.told, ToldFor: q.toldFor, Cover: q.cover, OwnSum: q.ownSum, AllSum: q.allSum, Smooth: q.smooth,
			ReadEnd: q.readEnd, Own: q.own.save(), Charged: q.charged.save(), Asked: q.asked.save(), Refused: q.refused.save()}
	}
	c.retries /= 2
	return json.Marshal(h)
}

// learnt is what was learnt of all but customers.
func (c *Controller) learnt() handover {
	h := handover{Version: handoverVersion, At: c.now, Start: c.start, Bound: c.bound, Latency: c.latency,
		Idle: c.idle, Seen: c.seen, Served: c.servedRate, Retries: c.retries, Units: c.unitsMean, NextTry: c.nextTry,
		Miss: c.clock.miss, Phase: c.clock.phase, Lag: c.clock.lag, Law: c.law.save(),
		Plans: map[string]handoverPlan{}, Usual: map[string]handoverTTL{}, Servers: map[uint32]handoverServer{},
		Customers: map[string]handoverCustomer{}}
	for _, p := range c.plans {
		h.Plans[p.Name] = handoverPlan{p.share, p.credit, p.y}
	}
	for k, u := range c.usual {
		h.Usual[k.Name] = handoverTTL{u.ttl, u.second, u.seen, u.often}
	}
	for _, s := range c.order {
		if s.listed {
			h.Servers[s.Server] = handoverServer{s.latency, s.failing, s.latencyAt, s.failingAt, s.strikes, s.asideUntil,
				s.aside, s.coldRamp, s.coldFrom, s.tokensAt, s.tokens, s.HasStartedAt, s.StartedAt}
		}
	}
	return h
}

// Keep gives what was learnt of all but customers, for a process that starts when this one has
// ended. It changes nothing.
func (c *Controller) Snapshot(now time.Duration) ([]byte, error) {
	c.now = max(c.now, now)
	return json.Marshal(c.learnt())
}

// Recall takes what Keep gave, at most so long ago, before this controller has been told anything.
// After an error nothing is taken.
func (c *Controller) RestoreSnapshot(now time.Duration, raw []byte, most time.Duration) error {
	var h handover
	if err := json.Unmarshal(raw, &h); err != nil {
		return fmt.Errorf("kept: %w", err)
	}
	h.Customers = nil
	err := c.take(now, &h, most)
	c.start = 0 // that of a process that does not know what its former self passed on
	return err
}

// Level gives what a customer's store holds, with its rate and depth and the gateways that share
// it; ok is false for one that has no such quota here.
func (c *Controller) TenantLevel(plan, customer string) (units, rate, depth float64, spread int, ok bool) {
	q := c.custs[plan+" "+customer]
	if q == nil || q.plan.Rate == 0 {
		return 0, 0, 0, 0, false
	}
	return q.level, q.plan.Rate, q.plan.Burst, int(q.spread), true
}

// Restore sets what the store of a customer holds that is not known here yet: at most what is given,
// and no more than a store can.
func (c *Controller) RestoreTenant(now time.Duration, plan, customer string, spread int, units float64) error {
	p := c.planOf[plan]
	if p == nil || p.Rate == 0 || spread < 1 || spread > c.set.FleetSize || math.IsNaN(units) || len(c.custs) >= custMost {
		return fmt.Errorf("kept: the store of customer %q can't be", customer)
	}
	c.now = max(c.now, now)
	c.start = cmp.Or(c.start, c.now)
	q := c.customerOf(p, customer, spread)
	q.level = math.Max(-p.Burst, math.Min(q.level, units))
	return nil
}

// Adopt takes what another controller has learnt, before this one has been told anything; it
// shares its quotas with that one until Alone. After an error nothing is taken.
func (c *Controller) Adopt(now time.Duration, raw []byte) error {
	var h handover
	if err := json.Unmarshal(raw, &h); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := c.take(now, &h, time.Minute); err != nil {
		return err
	}
	c.shares = true
	return nil
}

// take takes what was learnt, at most so long ago.
func (c *Controller) take(now time.Duration, h *handover, most time.Duration) error {
	if h.Version != handoverVersion {
		return fmt.Errorf("handover: version %d, not %d", h.Version, handoverVersion)
	}
	if h.At > now+time.Minute || h.At < now-most || h.Start > now || len(h.Customers) > custMost ||
		!(h.Bound >= 0 && h.Bound < 1e6) || h.Phase < 0 || h.Phase >= binsPeriod || h.Lag < 0 || h.Lag >= lagMost ||
		h.Latency < 0 || h.Idle < 0 || h.Served < 0 || h.Retries < 0 || h.Units < 0 || h.NextTry <= 0 {
		return fmt.Errorf("handover: its figures can't be")
	}
	for _, p := range h.Plans {
		if !(p.Share >= 0 && p.Share <= 1) || len(h.Plans) != len(c.plans) {
			return fmt.Errorf("handover: a share of %g in %d plans", p.Share, len(h.Plans))
		}
	}
	for k, q := range h.Customers {
		if c.planOf[q.Plan] == nil || k != q.Key || !(q.Spread >= 1) || q.At > h.At || math.Abs(q.Level) > 2*c.planOf[q.Plan].Burst {
			return fmt.Errorf("handover: customer %q can't be", k)
		}
	}
	if !c.law.load(h.Law) {
		return fmt.Errorf("handover: the share law can't be")
	}
	c.now = max(c.now, now)
	c.start, c.bound, c.latency, c.idle, c.seen, c.servedRate = h.Start, h.Bound, h.Latency, h.Idle, h.Seen, h.Served
	c.retries, c.unitsMean, c.nextTry = h.Retries, h.Units, h.NextTry
	c.clock = meterClock{h.Miss, h.Phase, h.Lag}
	for _, p := range c.plans {
		p.share, p.credit, p.y = h.Plans[p.Name].Share, h.Plans[p.Name].Credit, h.Plans[p.Name].Y
	}
	for k, u := range c.usual {
		t := h.Usual[k.Name]
		*u = usualTTL{t.TTL, t.Seen, t.Second, t.Often}
	}
	for id, o := range h.Servers { // not listed until a list names them
		s := &server{shut: map[*plan]time.Duration{}, latency: o.Latency, failing: o.Failing, latencyAt: o.LatencyAt,
			failingAt: o.FailingAt, strikes: o.Strikes, asideUntil: min(o.AsideUntil, c.now+asideMost), aside: o.Aside,
			coldRamp: o.Cold, coldFrom: o.ColdFrom, tokensAt: o.TokensAt, tokens: o.Tokens}
		s.Server, s.HasStartedAt, s.StartedAt = id, o.HasCameUp, o.CameUp
		c.servers[id], c.order = s, append(c.order, s)
	}
	for k, o := range h.Customers {
		p := c.planOf[o.Plan]
		q := &customer{plan: &p.Plan, spread: o.Spread, seenFrom: o.SeenFrom, at: o.At, toldAt: o.ToldAt, triesAt: o.TriesAt,
			level: o.Level, ceiling: o.Ceiling, openCap: o.OpenCap, chance: o.Chance, carry: o.Carry, metered: o.Metered,
			base: o.Base, lastUsed: o.LastUsed, tries: o.Tries, told: o.Told, toldFor: o.ToldFor, cover: o.Cover,
			ownSum: o.OwnSum, allSum: o.AllSum, smooth: o.Smooth, readEnd: o.ReadEnd}
		last := int64(h.At / c.binLen())
		q.own.load(o.Own, last)
		q.charged.load(o.Charged, last)
		q.asked.load(o.Asked, last)
		q.refused.load(o.Refused, last)
		c.allow(q, k)
		c.custs[k] = q
	}
	return nil
}

// Rest gives what this controller's half of the stores still holds, for the other one. It is the
// last that is asked of it: what is given here must not be granted here as well.
func (c *Controller) Remainder(now time.Duration) ([]byte, error) {
	c.now = max(c.now, now)
	rest := map[string][2]float64{}
	for k, q := range c.custs {
		c.refill(q)
		rest[k] = [2]float64{q.level, q.ceiling}
	}
	return json.Marshal(rest)
}

// Alone ends the sharing: the other controller has ended, and left what Rest gave, if anything.
func (c *Controller) EndSharing(now time.Duration, rest []byte) error {
	c.now = max(c.now, now)
	if !c.shares {
		return nil
	}
	for _, q := range c.custs {
		c.refill(q)
	}
	c.split(false)
	if rest == nil {
		return nil
	}
	var left map[string][2]float64
	if err := json.Unmarshal(rest, &left); err != nil {
		return fmt.Errorf("rest: %w", err)
	}
	for k, l := range left {
		if q := c.custs[k]; q != nil && !(math.Abs(l[0]) > 2*q.plan.Burst) && !(l[1] > q.plan.CeilingBurst) {
			q.level = math.Min(q.plan.Burst, q.level+l[0])
			q.ceiling += l[1]
		}
	}
	return nil
}

// split halves the stores, or has what comes from now on go to this controller alone.
func (c *Controller) split(shares bool) {
	if c.shares == shares {
		return
	}
	if shares {
		for _, q := range c.custs {
			c.refill(q)
			q.level /= 2
			q.ceiling /= 2
			q.openCap /= 2
		}
		c.bound /= 2
	} else {
		for _, q := range c.custs {
			q.openCap *= 2
		}
		c.bound *= 2
	}
	c.shares = shares
}

// whole is this controller's part of the gateway's quotas.
func (c *Controller) whole() float64 {
	if c.shares {
		return 0.5
	}
	return 1
}

// save gives the amounts by bin.
func (h *history) save() [][2]float64 {
	var got [][2]float64
	for b := h.last - bins + 2; b <= h.last; b++ {
		if d := h.sum[h.at(b)] - h.sum[h.at(b-1)]; d != 0 {
			got = append(got, [2]float64{float64(b), d})
		}
	}
	return got
}

// load takes amounts by bin, up to the bin last.
func (h *history) load(from [][2]float64, last int64) {
	h.roll(last - bins)
	for _, f := range from {
		if b := int64(f[0]); b > h.last-1 && b <= last && len(from) <= bins {
			h.roll(b)
			h.add(f[1])
		}
	}
	h.roll(last)
}

// save gives the law's matrices.
func (l *shareLaw) save() [3][]float64 {
	got := [3][]float64{l.x.RawMatrix().Data, l.p.RawMatrix().Data}
	if l.phi != nil {
		got[2] = l.phi.RawVector().Data
	}
	return got
}

// load takes matrices over; false where they are not of this law.
func (l *shareLaw) load(from [3][]float64) bool {
	n := l.n
	if len(from[0]) != 2*n*n || len(from[1]) != 4*n*n || len(from[2]) != 0 && len(from[2]) != 2*n {
		return false
	}
	l.x, l.p, l.phi = mat.NewDense(n, 2*n, from[0]), mat.NewDense(2*n, 2*n, from[1]), nil
	if len(from[2]) > 0 {
		l.phi = mat.NewVecDense(2*n, from[2])
	}
	return true
}
