// Package node is the edge node: it turns what happens on sockets into events for the decision module (package control)
// and carries out the module's actions. It decides nothing about a request.
//
// Node (node.go) owns the parts and their lifecycle: New assembles and listens, Run serves and drains. The event loop
// (loop.go) owns the decision module and all state that goes with it; other goroutines post events to it.
//
//   - Clients' connections: frontend.go serves a request, clientrequests.go reads it, clientbody.go streams its body,
//     clientanswers.go writes the answer, clientconns.go keeps the connections, exchange.go is one request on its way.
//   - Servers' connections: attempts.go starts an attempt, upstream.go makes it, serverrequests.go and serveranswers.go are
//     its two directions, serverconns.go keeps idle connections, endpoints.go maps the endpoint list to servers.
//   - Operators' calls: console.go, zones.go, consensuscalls.go, consensusstatus.go; metrics in metrics.go.
//   - Lifecycle: drain.go, handover.go (to the next process), persistence.go (stored state), discovery.go and
//     degradeddiscovery.go (the endpoint list and its staleness).
//   - Parts that a fleet file switches on: peering.go (membership), limitsharing.go (shared token buckets and outlier
//     reports), stragglers.go, zones.go, consensus.go (rule versions), subset.go.
//   - Bounds: sockets.go (descriptors), budget.go (memory of bodies and answers). The protocol's header names are mapped in
//     headers.go.
//
// Configuration, environment and fleet file are read by package config.
package node
