// Package prefetch is the pure part of getting an edge ready for a time in which it is alone. Some
// sites lose the link to the rest of the fleet at known times: a satellite passes, a leased line has
// windows. Their own hall's rating servers stay; peers, owners of customers' stores and the council
// are gone. What is fetched ahead is what a node needs to go on deciding well alone.
//
// A Calendar tells when the link goes, a Demand what customers will ask meanwhile, Choose what to
// fetch and when, a Ledger at the owner and a Purse at the edge hold the units that are lent, and an
// Uplink is the state of all that, with a reason for each change.
//
// It has no clock, no socket and no goroutine. A time.Duration named now is on the caller's own
// monotonic clock; one named at is fleet time, which is Unix time as the council's clock has it, and
// a Clock turns one into the other.
package prefetch
