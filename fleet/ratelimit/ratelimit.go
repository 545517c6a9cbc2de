// Package ratelimit implements rate limits that the nodes of a fleet share by exchanging messages. It has no clock,
// socket or goroutine: the caller passes the time of its own monotonic clock, sends the messages that Limiter.Flush
// returns and passes received ones to Limiter.Receive. docs/design.md ("Sharing a tenant's quota") specifies it.
//
// A tenant's token bucket is held by its owner, one of the live nodes that the tenant's requests may reach, chosen by
// rendezvous hashing (Owner). The other nodes admit requests first and then notify the owner, in batches, of the
// tokens consumed. While a bucket is low, its owner reports the level to these nodes, through one relay for each group
// of nodes (relayGroups). Between two reports a node estimates the level from the refill and its own consumption. A
// report is valid for ReportLifetime; a node without a valid report decides by itself.
//
// The same messages carry outlier reports: a node's reports on servers that respond to it far more slowly than usual.
package ratelimit

import (
	"math"
	"time"
)

const (
	// ReportLifetime is the age at which a reported level is no longer used.
	ReportLifetime = time.Second
	// reportRenewalAge is the age of its last report at which the level of a low bucket is reported again. It is below
	// ReportLifetime, so that the new report arrives before the last one expires.
	reportRenewalAge = 700 * time.Millisecond
	// lowFraction is the fraction of its burst below which a bucket is low. At a reported level of this fraction or
	// more, package control admits requests without a random draw (its sharedFilledFraction).
	lowFraction = 0.7
	// minReportChange is the smallest difference, as a fraction of the burst, between a bucket's level and the level
	// that the other nodes estimate for which a new report is sent.
	minReportChange = 0.08
)

// Quota is the rate limit of a tenant.
type Quota struct {
	Rate  float64 // tokens per second
	Burst float64 // capacity of the bucket in tokens
}

// levelAfter returns the level that a bucket has after refilling for the elapsed time, if it had the given one.
func (q Quota) levelAfter(level float64, elapsed time.Duration) float64 {
	return math.Min(q.Burst, level+q.Rate*elapsed.Seconds())
}
