// Package ratelimit is the pure part of rate limits that the nodes of a fleet share: who owns a tenant's token
// bucket, what the other nodes report to the owner, and what the owner reports to them. It has no clock, socket or
// goroutine; times are on the caller's monotonic clock, and each node has its own. docs/design.md ("Sharing a
// tenant's quota") specifies it.
//
// A tenant's owner is one of the live nodes that the tenant may come through, chosen by rendezvous hashing (Owner).
// Each node notifies the owner, in batches and after its decision, of the tokens that it has consumed; the owner
// keeps the only bucket. While a bucket is low, its owner reports its level to all nodes, through one relay for each
// group of nodes (relayGroups). Between two reports a node reckons with the refill and its own consumption. A report
// is valid for ReportLifetime: a node that receives none decides by itself.
package ratelimit

import (
	"math"
	"time"
)

const (
	// ReportLifetime is the age at which a reported level is no longer used.
	ReportLifetime = time.Second
	// reportRenewal is the age at which the level of a low bucket is reported again, before the last report expires.
	reportRenewalAge = 700 * time.Millisecond
	// lowFraction is the fraction of its burst below which a bucket is low. The control package admits without a
	// draw where the level is at least this.
	lowFraction = 0.7
	// reportStep is the fraction of its burst by which a level must differ from what the others reckon with to be
	// reported.
	minReportChange = 0.08
)

// Quota is what a tenant may consume.
type Quota struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens that its bucket holds at most
}

// levelAfter returns a level with the refill of some time.
func (q Quota) levelAfter(level float64, elapsed time.Duration) float64 {
	return math.Min(q.Burst, level+q.Rate*elapsed.Seconds())
}
