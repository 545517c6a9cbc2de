// Package node implements the edge node: it does the network I/O, passes events to the decision module (package
// control) and executes the actions that the module returns. Package node itself makes no decision about a request.
//
// Node (node.go) owns the components and their lifecycle: New builds them and starts to listen, Run serves and drains.
// The event loop (loop.go) owns the decision module and all state that depends on it; other goroutines post events to
// it.
//
//   - Connections of clients: frontend.go serves a request, clientrequests.go reads it, clientbody.go streams its body,
//     clientresponses.go writes the response, clientconns.go keeps the connections, exchange.go has a request's state.
//   - Connections to servers: attempts.go starts an attempt, upstream.go makes it, serverrequests.go writes the request
//     and serverresponses.go reads the response, serverconns.go keeps idle connections, endpoints.go maps the endpoint
//     list to servers.
//   - Calls of operators: console.go, zones.go, consensuscalls.go, consensusstatus.go; metrics.go writes the metrics.
//   - Lifecycle: drain.go, shutdown.go and openstreams.go (what ends when), handover.go (to the next process), persistence.go (stored state), discovery.go and
//     degradeddiscovery.go (watch of the endpoint list, and what to do while the list is stale).
//   - Features that a fleet file enables: peering.go (membership), limitsharing.go (shared token buckets and outlier
//     reports), stragglers.go, zones.go, consensus.go (rule versions), subset.go.
//   - Limits: sockets.go (file descriptors), budget.go (memory for bodies and responses). headers.go maps the names of
//     the protocol's headers.
//
// Package config reads the configuration, the environment and the fleet file.
package node
