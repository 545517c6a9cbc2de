// Package control decides for one edge node what becomes of each request: whether it is admitted, when
// it is dispatched, which server gets it, whether it is retried, and with which answer it ends. The
// operators' protocol page and DESIGN page specify it; docs/architecture.md shows the way of a request.
//
// The package is pure. A Controller is given events (events.go) with the time of the caller's clock and
// returns actions (actions.go). It has no clock, socket or goroutine, and draws all random numbers from
// one seed, so the same events give the same actions.
//
// # The path of a request
//
//	Request -> admission (tenant's quota) -> queue of its plan -> weighted round robin among plans
//	        -> in-flight bound -> choice of a server -> Send -> AttemptEnded -> retry or final answer
//
// # Questions at night
//
// Why was this request rejected?
//   - On arrival: admission.admits (admission.go) names the checks in order, and the operators' log line
//     counts them: "late", "store" and "chance" (rejectionCounts, report.go).
//   - After a wait: Controller.onTimer (interval.go) rejects a request whose time in the queue is over:
//     admission.maxQueueTime; counted as "queue".
//   - After a failed attempt: Controller.retryOrFinish (retry.go); counted as "ended".
//   - Rejection or failure? Controller.finish (rejection.go): a rejection promises that nothing ran.
//
// Why did it wait? concurrencyLimit.hasCapacity (concurrency.go) bounds the attempts in flight,
// scheduler.next (scheduler.go) gives plans their dispatch slots, scheduler.firstDispatchable skips requests
// of tenants without a free slot (tenant.hasFreeSlot, slots.go).
//
// Why did it go to that server? balancer.pick (balancer.go) takes the server with the least expected wait;
// balancer.cost lists what a server's cost is made of. Preferred servers: preferred.go.
//
// Why was it retried or not? Controller.retryOrFinish asks retryPolicy.allows (retry.go): the class's
// idempotency and its window, the limit of attempts, the retry budget (0.1 attempts earned by each request),
// and the time that the client has left.
//
// Why was this server ejected, and for how long? outlierDetector.recordFailure (outlier.go): three
// failures in a row eject it for 1 s, doubled with each ejection up to 8 s. Reports of other nodes only
// raise its cost: outlierDetector.onReport.
//
// What may a server get that is warming up? slowStart.admits (slowstart.go): this node's part of a token
// bucket that grows with the server's warm-up.
//
// Why did the shares move? shareController.update (shares.go): at the end of each control interval, by the
// lateness of each plan's answers and its price.
package control
