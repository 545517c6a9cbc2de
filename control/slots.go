package control

import (
	"math"
	"time"
)

// tenantSlots is this node's part of a tenant's quota of attempts in flight (Plan.MaxConcurrent). A part
// below one is kept by a pause after each attempt.
type tenantSlots struct {
	inFlight       int           // attempts of the tenant
	slotLimit      float64       // attempts that may be in flight
	slotFreeAt     time.Duration // end of the pause
	slotsExhausted bool          // a request had to wait since the last reading

	slotRejectionChance float64 // where slotLimit is at its minimum and the quota is still exceeded
}

const (
	maxSlotFactor = 1.25 // the most that one reading adds to the limit
	minSlotFactor = 0.85 // the most that one reading takes off the limit, as a factor
)

// hasFreeSlot reports whether another attempt of the tenant may start.
func (s *tenantSlots) hasFreeSlot(now time.Duration) bool {
	return now >= s.slotFreeAt && float64(s.inFlight) < max(1, math.Floor(s.slotLimit))
}

// pause starts the pause of a limit below one after an attempt that took some time.
func (s *tenantSlots) pause(now, took time.Duration) {
	if fraction := 1/max(s.slotLimit, epsilon) - 1; fraction > 0 {
		s.slotFreeAt = now + time.Duration(fraction*float64(took))
	}
}

// minSlots returns the least limit: half of an even part of the quota.
func (t *tenant) minSlots() float64 { return float64(t.plan.MaxConcurrent) / t.nodes / 2 }

// adjustSlots moves the limit by a reading of the most slots in use, in percent of the quota, while a
// fraction of the requests was rejected. The chance of rejection comes last.
func (t *tenant) adjustSlots(percent, rejected, requested float64) {
	if t.slotLimit > t.minSlots() {
		t.slotRejectionChance = 0
	} else if requested > 0 || percent <= 100 {
		t.slotRejectionChance = min(maxRejectionChance, max(0, 1-(1-rejected)*100/max(percent, 1)))
	}
	if percent > 100 || t.slotsExhausted {
		t.slotLimit *= max(minSlotFactor, min(maxSlotFactor, 100/max(percent, 1)))
	}
	t.slotLimit = min(float64(t.plan.MaxConcurrent), max(t.minSlots(), t.slotLimit))
	t.slotsExhausted = false
}
