package ratelimit

import (
	"math"
	"time"
)

// CachedLevel is what a node knows of a tenant's bucket by its owner's reports.
type CachedLevel struct {
	level        float64
	validAt      time.Duration // latest time at which it can have been true, on this node's clock
	known        bool
	reportedLow  bool // when it was reported
	isLowerBound bool // no level was reported, only that the bucket was not low
}

// Update takes a level; validAt is the earliest time, on this node's clock, at which it can have been true. A report
// older than the last one changes nothing, and of two of one time the lower level counts.
func (c *CachedLevel) Update(level float64, validAt time.Duration) {
	switch {
	case !c.known || validAt > c.validAt:
		*c = CachedLevel{level: level, validAt: validAt, known: true}
	case validAt == c.validAt:
		c.level = math.Min(c.level, level)
	}
}

// Fresh reports whether the level may still be used.
func (c *CachedLevel) Fresh(now time.Duration) bool {
	return c.known && now <= c.validAt+ReportLifetime
}

// Consume takes tokens that this node has consumed.
func (c *CachedLevel) Consume(tokens float64) { c.level -= tokens }

// Level returns what the bucket is reckoned to hold, with the refill since the report.
func (c *CachedLevel) Level(q Quota, now time.Duration) float64 {
	return q.levelAfter(c.level, now-c.validAt)
}
