package ratelimit

import (
	"math"
	"time"
)

// CachedLevel is the level of a tenant's bucket at another node, from the reports of its owner. The zero value holds
// no level.
type CachedLevel struct {
	level        float64
	validAt      time.Duration // earliest time, on this node's clock, at which the level can have been correct
	known        bool          // whether a level has been set
	reportedLow  bool          // whether the bucket was low when its level was reported
	isLowerBound bool          // whether the owner reported no level, only that the bucket was not low
}

// Update sets the level from a report; validAt is the earliest time, on this node's clock, at which the level can have
// been correct. A report older than the last one is ignored; of two reports of the same time, the lower level is kept.
func (c *CachedLevel) Update(level float64, validAt time.Duration) {
	switch {
	case !c.known || validAt > c.validAt:
		*c = CachedLevel{level: level, validAt: validAt, known: true}
	case validAt == c.validAt:
		c.level = math.Min(c.level, level)
	}
}

// Fresh reports whether a level is known and its report has not expired.
func (c *CachedLevel) Fresh(now time.Duration) bool {
	return c.known && now <= c.validAt+ReportLifetime
}

// Consume deducts tokens that this node has consumed since the report.
func (c *CachedLevel) Consume(tokens float64) { c.level -= tokens }

// Level returns the estimated number of tokens in the bucket, including the refill since the report.
func (c *CachedLevel) Level(q Quota, now time.Duration) float64 {
	return q.levelAfter(c.level, now-c.validAt)
}
