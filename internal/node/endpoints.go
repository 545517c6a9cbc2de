package node

import (
	"hash/fnv"
	"io"
	"time"

	"sloestile/control"
	"sloestile/internal/discovery"
)

// toCondition converts a server's status to the decision module's type.
func toCondition(s discovery.Status) control.Condition {
	switch s {
	case discovery.Available:
		return control.Active
	case discovery.Removed:
		return control.Removed
	}
	return control.Draining
}

// toEndpoint converts a target to the decision module's type. id is the ID that this node assigned to the server. A
// node assigns IDs in the order in which it first sees servers; the hash key is the same at all nodes.
func toEndpoint(t *discovery.Target, id uint32) control.Endpoint {
	key := fnv.New32a()
	_, _ = io.WriteString(key, t.UID)
	return control.Endpoint{Server: id, HashKey: key.Sum32(), Condition: toCondition(t.Status()), Zone: t.Zone, Cell: t.Group,
		Flavor: t.Model, Size: t.Capacity, HasStartedAt: t.BootMS > 0,
		StartedAt: time.Duration(t.BootMS * float64(time.Millisecond))}
}

// retirePool closes the connections to a server. replace creates a new pool, as the server stays in use.
func (l *loop) retirePool(server uint32, replace bool) {
	p := l.pools[server]
	if p == nil {
		return
	}
	l.upstream.retire(p)
	delete(l.pools, server)
	if replace {
		l.pools[server] = l.upstream.newPool(p.endpoint)
	}
}

// updateEndpoints applies a complete or delta update of the endpoint list, and records the list for the next process.
func (l *loop) updateEndpoints(kind control.UpdateKind, update discovery.Update) {
	l.recordEndpoints(kind, update)
	l.applyEndpoints(kind, update)
}

// applyEndpoints applies an update to the decision module and the pools, but does not record it.
func (l *loop) applyEndpoints(kind control.UpdateKind, update discovery.Update) {
	l.handle(l.updatePools(kind, update))
	l.publish()
}

// updatePools applies an update to the pools and the features that use the list, and removes the state of servers that
// are no longer listed. It returns the event for the decision module.
func (l *loop) updatePools(kind control.UpdateKind, update discovery.Update) control.EndpointUpdate {
	event := control.EndpointUpdate{Kind: kind, NodesPerServer: l.nodesPerServer}
	listed := make(map[string]bool)
	for i := range update.Targets {
		t := &update.Targets[i]
		endpoint := toEndpoint(t, l.serverID(t.UID))
		l.notifyEndpoint(endpoint.Server, t)
		event.Endpoints = append(event.Endpoints, endpoint)
		listed[t.UID] = endpoint.Condition != control.Removed
		if p := l.pools[endpoint.Server]; p != nil && (endpoint.Condition != control.Active || p.endpoint != t.Endpoint) {
			l.retirePool(endpoint.Server, false)
		}
		if endpoint.Condition == control.Active && l.pools[endpoint.Server] == nil {
			l.pools[endpoint.Server] = l.upstream.newPool(t.Endpoint)
		}
	}
	for uid, id := range l.serverIDs {
		if isListed, present := listed[uid]; (present && !isListed) || (!present && kind != control.Delta) {
			l.retirePool(id, false)
			delete(l.serverIDs, uid)
			l.notifyEndpoint(id, nil)
		}
	}
	return event
}

// serverID returns the ID of a server. It assigns a new ID if the server is not listed yet.
func (l *loop) serverID(uid string) uint32 {
	id, ok := l.serverIDs[uid]
	if !ok {
		l.lastServerID++
		id = l.lastServerID
		l.serverIDs[uid] = id
	}
	return id
}

// notifyEndpoint passes an entry of the list to the enabled features. A nil entry means that the server is no longer
// listed.
func (l *loop) notifyEndpoint(id uint32, t *discovery.Target) {
	if l.limitSharing != nil {
		l.limitSharing.updateServer(id, t)
	}
	if l.zones != nil {
		l.zones.updateServer(id, t)
	}
}
