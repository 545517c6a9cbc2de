package control

import (
	"math"
	"time"
)

// tenantSlots is this node's part of a tenant's quota of attempts in flight (Plan.MaxConcurrent). A part
// below one is enforced by a pause after each attempt.
type tenantSlots struct {
	inFlight       int           // attempts of the tenant in flight
	slotLimit      float64       // maximum attempts in flight; may be fractional
	slotFreeAt     time.Duration // end of the pause
	slotsExhausted bool          // a request had to wait for a slot since the last reading

	// slotRejectionChance is the rejection chance while slotLimit is at its minimum and the quota is still
	// exceeded.
	slotRejectionChance float64
}

const (
	maxSlotFactor = 1.25 // maximum factor on the limit by one reading
	minSlotFactor = 0.85 // minimum factor on the limit by one reading
)

// hasFreeSlot reports whether another attempt of the tenant may start.
func (s *tenantSlots) hasFreeSlot(now time.Duration) bool {
	return now >= s.slotFreeAt && float64(s.inFlight) < max(1, math.Floor(s.slotLimit))
}

// pause starts the pause after an attempt if the limit is below one. took is the duration of the attempt.
func (s *tenantSlots) pause(now, took time.Duration) {
	if fraction := 1/max(s.slotLimit, epsilon) - 1; fraction > 0 {
		s.slotFreeAt = now + time.Duration(fraction*float64(took))
	}
}

// minSlots returns the minimum limit: half of an equal part of the quota.
func (t *tenant) minSlots() float64 { return float64(t.plan.MaxConcurrent) / t.nodes / 2 }

// adjustSlots adjusts the limit to a reading: the maximum slots in use, as a percentage of the quota.
// rejected is the fraction of the requests that was rejected meanwhile, requested their number. The rejection
// chance is used only where the limit is at its minimum.
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
