package ratelimit

import (
	"math"
	"time"
)

// Bucket is a tenant's token bucket as its owner holds it.
type Bucket struct {
	Quota
	level     float64
	updatedAt time.Duration
	consumed  float64 // tokens consumed since this node created the bucket
	// provisional is set if the initial level was estimated, because the previous owner was unreachable and transferred
	// no bucket.
	provisional bool
	createdAt   time.Duration
	overflow    overflowHistory

	reportedLevel float64 // level in the last report; meaningless unless hasReported
	reportedAt    time.Duration
	hasReported   bool
}

// NewBucket returns a bucket with the given level, in tokens.
func NewBucket(q Quota, level float64, now time.Duration) *Bucket {
	return &Bucket{Quota: q, level: level, updatedAt: now}
}

// Level returns the tokens that the bucket holds.
func (b *Bucket) Level(now time.Duration) float64 { return b.levelAfter(b.level, now-b.updatedAt) }

// Consume removes tokens from the bucket; a negative number returns them. The level stops at 0: tokens consumed beyond
// the quota leave no debt, because the platform charges them to nobody.
func (b *Bucket) Consume(tokens float64, now time.Duration) { b.ConsumeLate(tokens, 0, now) }

// ConsumeLate removes tokens that were consumed up to age ago and are reported only now, as after a partition or the
// loss of the previous owner. Had they been reported at once, less of the refill since then would have overflowed.
// Therefore they are first taken from that overflow and only then from the level; otherwise the consumption of a whole
// partition would empty the bucket when the partition ends.
func (b *Bucket) ConsumeLate(tokens float64, age, now time.Duration) {
	b.advance(now)
	b.consumed += tokens
	if age >= minLateAge && tokens > 0 {
		tokens -= b.overflow.absorb(tokens, age, now)
	}
	b.set(b.level-tokens, now)
}

// advance refills the bucket up to now and records the refill that overflowed because the bucket was full.
func (b *Bucket) advance(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	excess := b.level + b.Rate*(now-b.updatedAt).Seconds() - b.Burst
	if excess > 0 && b.Rate > 0 {
		b.overflow.add(excess, b.Rate, now)
	}
	b.set(b.Level(now), now)
}

// set sets the level as of now, limited to the range from 0 to the burst.
func (b *Bucket) set(level float64, now time.Duration) {
	b.level = math.Max(0, math.Min(b.Burst, level))
	b.updatedAt = now
}

// Merge merges a bucket of the same tenant that another owner has transferred: its level, the tokens consumed from it,
// whether it is provisional, and, if it is, the time since its creation (age).
//
// If only this bucket is provisional, the transferred level replaces its level, less the tokens consumed here. If only
// the other one is provisional, its owner had taken this node for dead, as on the other side of a partition; the
// tokens consumed there are removed here too. In the remaining cases the lower level is kept.
func (b *Bucket) Merge(level, consumed float64, provisional bool, age, now time.Duration) {
	b.advance(now)
	switch {
	case b.provisional && !provisional:
		b.provisional = false
		b.set(level-b.consumed, now)
	case !b.provisional && provisional:
		if age >= minLateAge {
			consumed -= b.overflow.absorb(consumed, age, now)
		}
		b.set(math.Min(b.level-consumed, level), now)
	default:
		b.set(math.Min(b.Level(now), level), now)
	}
}

// DueReport returns the level to be reported now and records it as reported; ok is false if no report is due. A report
// is due when the bucket is low, or the other nodes estimate it to be, and their estimate is off by minReportChange of
// the burst or their last report is about to expire.
func (b *Bucket) DueReport(now time.Duration) (level float64, ok bool) {
	level = b.Level(now)
	assumed := b.levelAfter(b.reportedLevel, now-b.reportedAt)
	fresh := b.hasReported && now < b.reportedAt+reportRenewalAge
	relevant := b.isLow(level) || (fresh && b.isLow(assumed))
	if !relevant || (fresh && math.Abs(level-assumed) < minReportChange*b.Burst) {
		return 0, false
	}
	b.reportedLevel = level
	b.reportedAt = now
	b.hasReported = true
	return level, true
}

func (b *Bucket) isLow(level float64) bool { return level < lowFraction*b.Burst }

const (
	// minLateAge is the age from which consumption is applied as of the time when it happened; see ConsumeLate.
	minLateAge       = ReportLifetime
	overflowBinWidth = 500 * time.Millisecond
	// overflowBinCount bins cover 16 s, twice the time that the membership needs to detect the loss of one of sixty
	// nodes.
	overflowBinCount = 32
)

// overflowHistory records the refill that overflowed because the bucket was full, in tokens for each time bin.
type overflowHistory struct {
	bins    [overflowBinCount]float32 // ring, indexed by bin number modulo overflowBinCount
	lastBin int64                     // number of the latest bin in use
}

// advance clears the bins that are reused up to now, and returns the number of the current bin.
func (h *overflowHistory) advance(now time.Duration) int64 {
	bin := int64(now / overflowBinWidth)
	for i := max(h.lastBin+1, bin-overflowBinCount+1); i <= bin; i++ {
		h.bins[i%overflowBinCount] = 0
	}
	h.lastBin = max(h.lastBin, bin)
	return bin
}

// add records tokens that overflowed up to now at the given rate, in tokens per second.
func (h *overflowHistory) add(tokens, rate float64, now time.Duration) {
	bin := h.advance(now)
	start := now - time.Duration(tokens/rate*float64(time.Second))
	for i := max(0, bin-overflowBinCount+1, int64(start/overflowBinWidth)); i <= bin; i++ {
		begin := max(start, time.Duration(i)*overflowBinWidth)
		end := min(now, time.Duration(i+1)*overflowBinWidth)
		h.bins[i%overflowBinCount] += float32(rate * (end - begin).Seconds())
	}
}

// absorb removes up to the given number of tokens from the overflow of the given period up to now, oldest first, and
// returns the number removed.
func (h *overflowHistory) absorb(tokens float64, period, now time.Duration) float64 {
	left := tokens
	bin := h.advance(now)
	for i := max(0, bin-overflowBinCount+1, int64((now-period)/overflowBinWidth)); i <= bin && left > 0; i++ {
		taken := math.Min(left, float64(h.bins[i%overflowBinCount]))
		h.bins[i%overflowBinCount] -= float32(taken)
		left -= taken
	}
	return tokens - math.Max(0, left)
}
