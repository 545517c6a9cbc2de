// Package prefetch prepares an edge site for a planned outage of its uplink. Some sites lose the link to
// the rest of the fleet at known times, for example between satellite passes or outside the windows of a
// leased line. During such an outage a node still reaches the rating servers of its own site, but not its
// peers, the owners of tenants' token buckets, or the consensus group. It therefore fetches what it needs
// to admit requests on its own, and reserves tokens at the owners, before the outage starts. In this
// package an edge is an edge node of such a site.
//
// A Calendar lists the outages of each site. A Demand estimates the tokens that tenants will request
// during one. Choose plans what to fetch and when, and a Source divides a node's bandwidth among the
// edges that fetch from it. An Account at the owner and a LocalBucket at the edge hold reserved tokens.
// An Uplink is the state machine of the link and reports a reason for each change of state.
//
// The package reads no clock, opens no socket and starts no goroutine. Times are of two kinds: local time
// is the caller's own monotonic clock, and fleet time is Unix time according to the consensus group. A
// parameter named now is local time. A Clock converts between the two.
package prefetch
