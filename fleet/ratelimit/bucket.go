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
	consumed  float64 // tokens since it was made here
	// inherited says that its first level was not handed over by the owner before, which was not heard.
	provisional bool
	createdAt   time.Duration
	overflow    overflowHistory

	reportedLevel float64 // the level that was reported last
	reportedAt    time.Duration
	hasReported   bool
}

// NewBucket returns a bucket with a level.
func NewBucket(q Quota, level float64, now time.Duration) *Bucket {
	return &Bucket{Quota: q, level: level, updatedAt: now}
}

// Level returns the tokens that the bucket holds.
func (b *Bucket) Level(now time.Duration) float64 { return b.levelAfter(b.level, now-b.updatedAt) }

// Consume takes tokens, or gives them back where they are below zero. What the bucket does not hold went beyond the
// quota and leaves no debt: the platform takes it from nobody.
func (b *Bucket) Consume(tokens float64, now time.Duration) { b.ConsumeLate(tokens, 0, now) }

// ConsumeLate takes tokens that were consumed up to some time ago and are reported only now: after a partition, or as
// their owner died. Had they been reported at once, less of the refill since then would have overflowed; so they come
// off that first. A bucket would else be empty by the consumption of a whole partition when it ends.
func (b *Bucket) ConsumeLate(tokens float64, age, now time.Duration) {
	b.advance(now)
	b.consumed += tokens
	if age >= minLateAge && tokens > 0 {
		tokens -= b.overflow.absorb(tokens, age, now)
	}
	b.set(b.level-tokens, now)
}

// advance refills the bucket up to now and remembers the refill that found it full.
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

func (b *Bucket) set(level float64, now time.Duration) {
	b.level = math.Max(0, math.Min(b.Burst, level))
	b.updatedAt = now
}

// Merge takes over the bucket of another owner. Where this one inherited the tenant from that owner, the owner's
// level stands, less what was consumed here since. Where the other one inherited it from this node, which was not
// heard but lived, as on a side of a partition, what was consumed there in that time is taken from this one too. Of
// two that are neither the lower level counts.
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

// DueReport returns the level that is to be reported now, if one is: while the bucket is low, when the other nodes
// reckon with another level or will soon reckon with none.
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
	// lateAfter is the wait from which consumption counts as of the time when it happened.
	minLateAge       = ReportLifetime
	overflowBinWidth = 500 * time.Millisecond
	// overflowBins hold 16 s: twice what the membership takes to see that one of sixty nodes is gone.
	overflowBinCount = 32
)

// overflowHistory holds the refill that found a bucket full, in tokens by time.
type overflowHistory struct {
	bins    [overflowBinCount]float32
	lastBin int64 // latest bin in use
}

// advance clears the bins that begin anew up to now, and returns the present one.
func (h *overflowHistory) advance(now time.Duration) int64 {
	bin := int64(now / overflowBinWidth)
	for i := max(h.lastBin+1, bin-overflowBinCount+1); i <= bin; i++ {
		h.bins[i%overflowBinCount] = 0
	}
	h.lastBin = max(h.lastBin, bin)
	return bin
}

// add adds a refill that overflowed at a rate up to now.
func (h *overflowHistory) add(tokens, rate float64, now time.Duration) {
	bin := h.advance(now)
	start := now - time.Duration(tokens/rate*float64(time.Second))
	for i := max(0, bin-overflowBinCount+1, int64(start/overflowBinWidth)); i <= bin; i++ {
		begin := max(start, time.Duration(i)*overflowBinWidth)
		end := min(now, time.Duration(i+1)*overflowBinWidth)
		h.bins[i%overflowBinCount] += float32(rate * (end - begin).Seconds())
	}
}

// absorb takes up to some tokens from what overflowed in the last span, and returns how many it took.
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
