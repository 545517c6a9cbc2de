package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// Snapshot returns the learned state except for tenants, for a process that starts after this one has ended.
// It changes nothing.
func (c *Controller) Snapshot(now time.Duration) ([]byte, error) {
	c.env.now = max(c.env.now, now)
	return json.Marshal(c.learnedState())
}

// RestoreSnapshot restores what Snapshot returned at most maxAge ago. It must be called before this
// controller handles an event. After an error this controller is unchanged.
func (c *Controller) RestoreSnapshot(now time.Duration, raw []byte, maxAge time.Duration) error {
	var h handover
	if err := json.Unmarshal(raw, &h); err != nil {
		return fmt.Errorf("kept: %w", err)
	}
	h.Tenants = nil
	err := c.restore(now, &h, maxAge)
	c.tenants.observingSince = 0 // what the earlier process admitted is not known
	return err
}

// TenantLevel returns the level of a tenant's token bucket, its rate and burst, and the number of nodes that
// share it. ok is false for a tenant that is not known here or has no such quota.
func (c *Controller) TenantLevel(plan, tenant string) (tokens, rate, burst float64, nodes int, ok bool) {
	t := c.tenants.byKey[tenantKey(plan, tenant)]
	if t == nil || t.plan.Rate == 0 {
		return 0, 0, 0, 0, false
	}
	return t.level, t.plan.Rate, t.plan.Burst, int(t.nodes), true
}

// RestoreTenantLevel sets the level of a tenant's token bucket to tokens, unless the level is already lower.
// A tenant that is not known here yet is created.
func (c *Controller) RestoreTenantLevel(
	now time.Duration, plan, tenant string, nodes int, tokens float64,
) error {
	p := c.scheduler.byName[plan]
	switch {
	case p == nil || p.Rate == 0:
		return fmt.Errorf("kept: tenant %q: plan %q has no quota", tenant, plan)
	case nodes < 1 || nodes > c.env.settings.FleetSize:
		return fmt.Errorf("kept: tenant %q: %d nodes in a fleet of %d", tenant, nodes, c.env.settings.FleetSize)
	case math.IsNaN(tokens):
		return fmt.Errorf("kept: tenant %q: its tokens are not a number", tenant)
	case len(c.tenants.byKey) >= c.tenants.maxSize():
		return fmt.Errorf("kept: tenant %q: the maximum of %d tenants is reached", tenant, c.tenants.maxSize())
	}
	c.env.now = max(c.env.now, now)
	c.tenants.observingSince = cmp.Or(c.tenants.observingSince, c.env.now)
	t := c.tenants.get(p, tenant, nodes)
	t.level = math.Max(-p.Burst, math.Min(t.level, tokens))
	return nil
}

func (u *usualTimeLeft) save() handoverTimeLeft {
	return handoverTimeLeft{
		TimeLeft:  u.timeLeft,
		Recurring: u.recurring,
		Seen:      u.votes,
		Recurred:  u.recurringVotes,
	}
}

func (u *usualTimeLeft) load(saved handoverTimeLeft) {
	u.timeLeft = saved.TimeLeft
	u.votes = saved.Seen
	u.recurring = saved.Recurring
	u.recurringVotes = saved.Recurred
}

func (s *server) save() handoverServer {
	return handoverServer{
		Latency:             s.latency,
		FailureRate:         s.failureRate,
		LatencyAt:           s.latencyAt,
		FailureRateAt:       s.failureRateAt,
		ConsecutiveFailures: s.consecutiveFailures,
		EjectedUntil:        s.ejectedUntil,
		EjectionTime:        s.ejectionTime,
		WarmingUp:           s.warmingUp,
		WarmingSince:        s.warmingSince,
		RefilledAt:          s.refilledAt,
		Tokens:              s.tokens,
		HasStartedAt:        s.HasStartedAt,
		StartedAt:           s.StartedAt,
	}
}

func loadServer(id uint32, saved handoverServer, now time.Duration) *server {
	s := newServer()
	s.Server = id
	s.HasStartedAt = saved.HasStartedAt
	s.StartedAt = saved.StartedAt
	s.latency = saved.Latency
	s.latencyAt = saved.LatencyAt
	s.failureRate = saved.FailureRate
	s.failureRateAt = saved.FailureRateAt
	s.consecutiveFailures = saved.ConsecutiveFailures
	s.ejectedUntil = min(saved.EjectedUntil, now+maxEjectionTime)
	s.ejectionTime = saved.EjectionTime
	s.warmingUp = saved.WarmingUp
	s.warmingSince = saved.WarmingSince
	s.refilledAt = saved.RefilledAt
	s.tokens = saved.Tokens
	return s
}

// save returns a tenant's state for a handover. The level is limited to the range that a process without
// rules accepts.
func (t *tenant) save(key string) handoverTenant {
	limit := 2 * t.queue.Burst
	return handoverTenant{
		Plan:                t.plan.Name,
		Key:                 key,
		Nodes:               t.nodes,
		FirstSeen:           t.firstSeen,
		RefilledAt:          t.refilledAt,
		ReadAt:              t.readAt,
		RequestedAt:         t.requestedAt,
		Level:               max(-limit, min(t.level, limit)),
		Ceiling:             t.ceilingLevel,
		SlotLimit:           t.slotLimit,
		SlotRejectionChance: t.slotRejectionChance,
		ChanceRemainder:     t.chanceRemainder,
		Metered:             t.metered,
		OtherNodesRate:      t.otherNodesRate,
		LastPeriodTokens:    t.lastPeriodTokens,
		RequestedTokens:     t.requestedTokens,
		ReadTokens:          t.readTokens,
		ReadSeconds:         t.readSeconds,
		CoveredSeconds:      t.coveredSeconds,
		LocalTokens:         t.localTokens,
		FleetTokens:         t.fleetTokens,
		MeanRate:            t.meanRate,
		ReadEnd:             t.readEnd,
		Sent:                t.sent.save(),
		Charged:             t.charged.save(),
		Requested:           t.requested.save(),
		Rejected:            t.rejected.save(),
	}
}

func loadTenant(plan *planQueue, saved handoverTenant, lastBin int64) *tenant {
	t := &tenant{
		queue:           plan,
		plan:            &plan.Plan,
		nodes:           saved.Nodes,
		firstSeen:       saved.FirstSeen,
		refilledAt:      saved.RefilledAt,
		level:           saved.Level,
		ceilingLevel:    saved.Ceiling,
		chanceRemainder: saved.ChanceRemainder,
	}
	t.tenantSlots = tenantSlots{slotLimit: saved.SlotLimit, slotRejectionChance: saved.SlotRejectionChance}
	t.tenantDemand = tenantDemand{
		requestedTokens: saved.RequestedTokens,
		requestedAt:     saved.RequestedAt,
		readTokens:      saved.ReadTokens,
		readSeconds:     saved.ReadSeconds,
		coveredSeconds:  saved.CoveredSeconds,
		readAt:          saved.ReadAt,
	}
	t.metered = saved.Metered
	t.readEnd = saved.ReadEnd
	t.otherNodesRate = saved.OtherNodesRate
	t.lastPeriodTokens = saved.LastPeriodTokens
	t.localTokens = saved.LocalTokens
	t.fleetTokens = saved.FleetTokens
	t.meanRate = saved.MeanRate
	t.sent.load(saved.Sent, lastBin)
	t.charged.load(saved.Charged, lastBin)
	t.requested.load(saved.Requested, lastBin)
	t.rejected.load(saved.Rejected, lastBin)
	return t
}
