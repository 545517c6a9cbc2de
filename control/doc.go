// Package control decides, for one edge node, how each request is handled: whether it is admitted, when it
// is dispatched, which server receives it, whether it is retried, and which final response its client gets.
// The operators' protocol page and DESIGN page specify the decisions; docs/architecture.md shows the path of
// a request through the node.
//
// The package does no I/O. The caller passes events (events.go) to Controller.Handle together with the time
// of its own clock, and carries out the actions (actions.go) that Handle returns. A Controller has no clock,
// socket or goroutine and draws all its random numbers from one seed, so the same events produce the same
// actions.
//
// # The path of a request
//
//	Request -> admission (quota of the tenant) -> queue of the plan -> weighted round robin among plans
//	        -> in-flight bound -> choice of a server -> Send -> AttemptEnded -> retry or final response
//
// # Questions of an engineer on call
//
// Why was this request rejected?
//   - On arrival: admission.admits (admission.go) lists the checks in order. The operators' log line counts
//     the rejections by check as "late", "store" (the token bucket) and "chance" (rejectionCounts in
//     report.go).
//   - After a wait in the queue: Controller.onTimer (interval.go) ends a request that has been queued for
//     admission.maxQueueTime; the log line counts it as "queue".
//   - After a failed attempt: Controller.retryOrEnd (retry.go); the log line counts it as "ended".
//   - Controller.rejectOrFail (rejection.go) chooses between a rejection and a failure: a rejection promises
//     that the request did not run, or that a retry does no harm.
//
// Why did it wait? concurrencyLimit.hasCapacity (concurrency.go) bounds the attempts in flight.
// scheduler.next (scheduler.go) assigns the dispatch slots to the plans, and scheduler.firstDispatchable
// skips requests of tenants without a free slot (tenantSlots.hasFreeSlot, slots.go).
//
// Why did it go to that server? balancer.pick (balancer.go) chooses the server with the lowest cost, and
// balancer.cost computes the cost of a server. preferred.go determines the preferred servers.
//
// Why was it retried, or not? Controller.retryOrEnd calls retryPolicy.allows (retry.go), which checks the
// idempotency of the class and its idempotency window, the maximum number of attempts, the retry budget (each
// request adds 0.1 retries), and the time that the client has left.
//
// Why was this server ejected, and for how long? outlierDetector.recordFailure (outlier.go): three
// consecutive failures eject a server for 1 s, and each further ejection lasts twice as long, up to 8 s.
// Reports of other nodes only raise the server's cost: outlierDetector.onReport.
//
// How much may a server receive while it is warming up? slowStart.admits (slowstart.go) holds this node to
// its part of a token bucket whose rate grows with the server's warm-up fraction.
//
// Why did the shares of the plans change? shareController.update (shares.go) computes them at the end of each
// control interval from the price of each plan and the lateness of its responses.
package control
