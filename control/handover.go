package control

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// This file hands the learned state of a controller over to its successor in another process. Until the old
// process ends, both decide for one node, and each has half of every bucket and of every tenant's slots. The
// old process also halves its in-flight bound, while the successor begins with the whole one. snapshot.go
// uses the same format for a process that starts after this one has ended.

const (
	// handoverVersion changes whenever the format of a handover or the meaning of a field changes.
	handoverVersion = 1
	// maxHandoverAge is the maximum age of a handover, and the maximum time that its clock may be ahead.
	maxHandoverAge = time.Minute
	// maxHandoverBound is the limit that the in-flight bound of a handover must stay below.
	maxHandoverBound = 1e6
)

// handover is the JSON format in which the state of a controller is handed over or stored. The tags are the
// stored names and must not change, nor may the names of fields without a tag. Times are on the caller's
// clock, which both processes share.
type handover struct {
	Version        int
	At             time.Duration
	ObservingSince time.Duration `json:"Start"`
	Bound          float64
	Latency        float64
	IdleLatency    float64                             `json:"Idle"`
	Responses      float64                             `json:"Seen"`
	ServedRate     float64                             `json:"Served"`
	RetryBudget    float64                             `json:"Retries"`
	MeanTokens     float64                             `json:"Units"`
	ShortestRetry  time.Duration                       `json:"NextTry"`
	Misfit         [binsPerPeriod][maxMeterLag]float64 `json:"Miss"`
	Phase, Lag     int64
	Shares         [3][]float64                `json:"Law"` // see shareController.save
	Plans          map[string]handoverPlan     // by plan name
	UsualTimeLeft  map[string]handoverTimeLeft `json:"Usual"` // by class name
	Servers        map[uint32]handoverServer   // by Endpoint.Server
	Tenants        map[string]handoverTenant   `json:"Customers"` // by tenantKey
}

// handoverPlan is the state of a plan; see planQueue.
type handoverPlan struct {
	Share    float64
	Credit   float64
	Lateness float64 `json:"Y"`
}

// handoverTimeLeft is the state of a usualTimeLeft.
type handoverTimeLeft struct {
	TimeLeft  time.Duration `json:"TTL"`
	Recurring time.Duration `json:"Second"`
	Seen      int
	Recurred  int `json:"Often"`
}

// handoverServer is the state of a server; see server.
type handoverServer struct {
	Latency             float64
	FailureRate         float64 `json:"Failing"`
	LatencyAt           time.Duration
	FailureRateAt       time.Duration `json:"FailingAt"`
	ConsecutiveFailures int           `json:"Strikes"`
	EjectedUntil        time.Duration `json:"AsideUntil"`
	EjectionTime        time.Duration `json:"Aside"`
	WarmingUp           bool          `json:"Cold"`
	WarmingSince        time.Duration `json:"ColdFrom"`
	RefilledAt          time.Duration `json:"TokensAt"`
	Tokens              float64
	HasStartedAt        bool          `json:"HasCameUp"`
	StartedAt           time.Duration `json:"CameUp"`
}

// handoverTenant is the state of a tenant; see tenant.
type handoverTenant struct {
	Plan                string
	Key                 string
	Nodes               float64       `json:"Spread"`
	FirstSeen           time.Duration `json:"SeenFrom"`
	RefilledAt          time.Duration `json:"At"`
	ReadAt              time.Duration `json:"ToldAt"`
	RequestedAt         time.Duration `json:"TriesAt"`
	Level               float64
	Ceiling             float64
	SlotLimit           float64 `json:"OpenCap"`
	SlotRejectionChance float64 `json:"Chance"`
	ChanceRemainder     float64 `json:"Carry"`
	Metered             bool
	OtherNodesRate      float64 `json:"Base"`
	LastPeriodTokens    float64 `json:"LastUsed"`
	RequestedTokens     float64 `json:"Tries"`
	ReadTokens          float64 `json:"Told"`
	ReadSeconds         float64 `json:"ToldFor"`
	CoveredSeconds      float64 `json:"Cover"`
	LocalTokens         float64 `json:"OwnSum"`
	FleetTokens         float64 `json:"AllSum"`
	MeanRate            float64 `json:"Smooth"`
	ReadEnd             int64
	Sent                [][2]float64 `json:"Own"` // pairs of bin and amount, here and below
	Charged             [][2]float64
	Requested           [][2]float64 `json:"Asked"`
	Rejected            [][2]float64 `json:"Refused"`
}

// Handover returns the learned state and half of each bucket; the other half stays here. From now on the
// controller shares its quotas with the process that restores the handover, until EndSharing.
func (c *Controller) Handover(now time.Duration) ([]byte, error) {
	c.env.now = max(c.env.now, now)
	h := c.learnedState()
	h.RetryBudget /= 2
	for _, s := range c.servers.ordered {
		saved, ok := h.Servers[s.Server]
		if !ok {
			continue
		}
		saved.Tokens /= 2
		s.tokens /= 2
		h.Servers[s.Server] = saved
	}
	c.halveQuotas()
	for key, t := range c.tenants.byKey {
		c.tenants.refill(t)
		h.Tenants[key] = t.save(key)
	}
	c.retries.budget /= 2
	return json.Marshal(h)
}

// learnedState returns the learned state except for tenants.
func (c *Controller) learnedState() handover {
	h := handover{
		Version:        handoverVersion,
		At:             c.env.now,
		ObservingSince: c.tenants.observingSince,
		Bound:          c.concurrency.bound,
		Latency:        c.traffic.latency,
		IdleLatency:    c.traffic.idleLatency,
		Responses:      c.traffic.responses,
		ServedRate:     c.traffic.servedRate,
		RetryBudget:    c.retries.budget,
		MeanTokens:     c.traffic.meanTokens,
		ShortestRetry:  c.classifier.shortestRetry,
		Misfit:         c.meter.phase.misfit,
		Phase:          c.meter.phase.phase,
		Lag:            c.meter.phase.lag,
		Shares:         c.shares.save(),
		Plans:          map[string]handoverPlan{},
		UsualTimeLeft:  map[string]handoverTimeLeft{},
		Servers:        map[uint32]handoverServer{},
		Tenants:        map[string]handoverTenant{},
	}
	for _, p := range c.scheduler.plans {
		h.Plans[p.Name] = handoverPlan{Share: p.share, Credit: p.credit, Lateness: p.lateness}
	}
	for class, usual := range c.classifier.byClass {
		h.UsualTimeLeft[class.Name] = usual.save()
	}
	for _, s := range c.servers.ordered {
		if s.listed {
			h.Servers[s.Server] = s.save()
		}
	}
	return h
}

// RestoreHandover restores what Handover of another controller returned. It must be called before this
// controller handles an event. The controllers share the quotas until EndSharing. After an error this
// controller is unchanged.
func (c *Controller) RestoreHandover(now time.Duration, raw []byte) error {
	var h handover
	if err := json.Unmarshal(raw, &h); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := c.restore(now, &h, maxHandoverAge); err != nil {
		return err
	}
	c.env.sharingQuotas = true
	return nil
}

// restore restores a learned state that is at most maxAge old. After an error the controller is unchanged.
func (c *Controller) restore(now time.Duration, h *handover, maxAge time.Duration) error {
	if err := h.check(now, maxAge); err != nil {
		return err
	}
	if err := c.checkPlans(h); err != nil {
		return err
	}
	if !c.shares.load(h.Shares) {
		return fmt.Errorf("handover: the share controller's matrices do not fit %d plans", len(c.scheduler.plans))
	}
	c.env.now = max(c.env.now, now)
	c.tenants.observingSince = h.ObservingSince
	c.concurrency.bound = h.Bound
	c.traffic.latency = h.Latency
	c.traffic.idleLatency = h.IdleLatency
	c.traffic.responses = h.Responses
	c.traffic.servedRate = h.ServedRate
	c.traffic.meanTokens = h.MeanTokens
	c.retries.budget = h.RetryBudget
	c.classifier.shortestRetry = h.ShortestRetry
	c.meter.phase = meterPhase{misfit: h.Misfit, phase: h.Phase, lag: h.Lag}
	for _, p := range c.scheduler.plans {
		saved := h.Plans[p.Name]
		p.share = saved.Share
		p.credit = saved.Credit
		p.lateness = saved.Lateness
	}
	for class, usual := range c.classifier.byClass {
		usual.load(h.UsualTimeLeft[class.Name])
	}
	for id, saved := range h.Servers { // these are not listed until an endpoint list contains them
		s := loadServer(id, saved, c.env.now)
		c.servers.add(s)
		if s.warmingUp {
			c.slowStart.scheduleEnd(s)
		}
	}
	lastBin := int64(h.At / c.env.binLength())
	for key, saved := range h.Tenants {
		t := loadTenant(c.scheduler.byName[saved.Plan], saved, lastBin)
		c.tenants.applyRules(t, key)
		c.tenants.byKey[key] = t
	}
	return nil
}

// check returns an error if the version, a time or a number of the handover cannot be used.
func (h *handover) check(now, maxAge time.Duration) error {
	switch {
	case h.Version != handoverVersion:
		return fmt.Errorf("handover: version is %d, not %d", h.Version, handoverVersion)
	case h.At > now+maxHandoverAge || h.At < now-maxAge || h.ObservingSince > now:
		return fmt.Errorf("handover: its time %v is too far from the present time %v", h.At, now)
	case len(h.Tenants) > maxTenants:
		return fmt.Errorf("handover: %d tenants are more than the maximum of %d", len(h.Tenants), maxTenants)
	case !(h.Bound >= 0 && h.Bound < maxHandoverBound):
		return fmt.Errorf("handover: in-flight bound %g is out of range", h.Bound)
	case h.Phase < 0 || h.Phase >= binsPerPeriod || h.Lag < 0 || h.Lag >= maxMeterLag:
		return fmt.Errorf("handover: meter phase %d with lag %d is out of range", h.Phase, h.Lag)
	case h.Latency < 0 || h.IdleLatency < 0 || h.ServedRate < 0 || h.MeanTokens < 0:
		return fmt.Errorf("handover: an average is negative")
	case h.RetryBudget < 0:
		return fmt.Errorf("handover: retry budget %g is negative", h.RetryBudget)
	case h.ShortestRetry <= 0:
		return fmt.Errorf("handover: shortest retry %v is not positive", h.ShortestRetry)
	}
	return nil
}

// checkPlans returns an error if the plans and tenants of a handover do not match the settings.
func (c *Controller) checkPlans(h *handover) error {
	for _, p := range h.Plans {
		if !(p.Share >= 0 && p.Share <= 1) || len(h.Plans) != len(c.scheduler.plans) {
			return fmt.Errorf("handover: a share of %g with %d plans does not match the settings",
				p.Share, len(h.Plans))
		}
	}
	for key, t := range h.Tenants {
		plan := c.scheduler.byName[t.Plan]
		if plan == nil || key != t.Key {
			return fmt.Errorf("handover: tenant %q does not match its plan %q and key %q", key, t.Plan, t.Key)
		}
		if !(t.Nodes >= 1) || t.RefilledAt > h.At || math.Abs(t.Level) > 2*plan.Burst {
			return fmt.Errorf("handover: tenant %q: its nodes, refill time or level are out of range", key)
		}
	}
	return nil
}

// RemainingTokens returns what this controller's half of the buckets still holds, for the other process. It
// must be the last call: the other process uses the tokens from then on, so this one must not.
func (c *Controller) RemainingTokens(now time.Duration) ([]byte, error) {
	c.env.now = max(c.env.now, now)
	remainder := map[string][2]float64{}
	for key, t := range c.tenants.byKey {
		c.tenants.refill(t)
		remainder[key] = [2]float64{t.level, t.ceilingLevel}
	}
	return json.Marshal(remainder)
}

// EndSharing returns the whole quotas to this controller after the other process has ended. remainder is what
// RemainingTokens returned there; nil means that nothing was received. An error means that the remainder is
// lost; the quotas are whole nonetheless. Without a handover EndSharing does nothing.
func (c *Controller) EndSharing(now time.Duration, remainder []byte) error {
	c.env.now = max(c.env.now, now)
	if !c.env.sharingQuotas {
		return nil
	}
	for _, t := range c.tenants.byKey {
		c.tenants.refill(t)
	}
	c.restoreQuotas()
	if remainder == nil {
		return nil
	}
	var left map[string][2]float64
	if err := json.Unmarshal(remainder, &left); err != nil {
		return fmt.Errorf("rest: %w", err)
	}
	for key, levels := range left {
		level, ceiling := levels[0], levels[1]
		t := c.tenants.byKey[key]
		if t == nil || math.Abs(level) > 2*t.plan.Burst || ceiling > t.plan.CeilingBurst {
			continue
		}
		t.level = math.Min(t.plan.Burst, t.level+level)
		t.ceilingLevel += ceiling
	}
	return nil
}

// halveQuotas halves the buckets, the slots and the in-flight bound, unless that is already done.
func (c *Controller) halveQuotas() {
	if c.env.sharingQuotas {
		return
	}
	for _, t := range c.tenants.byKey {
		c.tenants.refill(t)
		t.level /= 2
		t.ceilingLevel /= 2
		t.slotLimit /= 2
	}
	c.concurrency.bound /= 2
	c.env.sharingQuotas = true
}

// restoreQuotas doubles the slots and the in-flight bound. The buckets refill at the whole rate from now on.
func (c *Controller) restoreQuotas() {
	for _, t := range c.tenants.byKey {
		t.slotLimit *= 2
	}
	c.concurrency.bound *= 2
	c.env.sharingQuotas = false
}
