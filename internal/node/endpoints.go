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

// toEndpoint converts a target to the decision module's type. id is the ID that this node assigned to the server, and
// startedAt the server's start on the decision module's clock. A node assigns IDs in the order in which it first sees
// servers; the hash key is the same at all nodes.
func toEndpoint(t *discovery.Target, id uint32, startedAt time.Duration) control.Endpoint {
	key := fnv.New32a()
	_, _ = io.WriteString(key, t.UID)
	return control.Endpoint{Server: id, HashKey: key.Sum32(), Condition: toCondition(t.Status()), Zone: t.Zone, Cell: t.Group,
		Flavor: t.Model, Size: t.Capacity, HasStartedAt: t.BootMS > 0, StartedAt: startedAt}
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
	event := control.EndpointUpdate{Kind: kind, NodesPerServer: l.nodesPerServer, Endpoints: make([]control.Endpoint, 0, len(update.Targets))}
	before := l.serverIDs
	if kind != control.Delta { // what a complete list does not name is gone
		l.serverIDs = make(map[string]uint32, len(update.Targets))
	}
	for i := range update.Targets {
		t := &update.Targets[i]
		endpoint := toEndpoint(t, l.serverID(t.UID, before), l.serverStart(t))
		l.notifyEndpoint(endpoint.Server, t)
		event.Endpoints = append(event.Endpoints, endpoint)
		l.updatePool(endpoint, t)
		if endpoint.Condition == control.Removed {
			l.forgetServer(t.UID, endpoint.Server)
		}
	}
	if kind != control.Delta {
		for uid, id := range before {
			if _, listed := l.serverIDs[uid]; !listed {
				l.forgetServer(uid, id)
			}
		}
	}
	return event
}

// updatePool brings the pool of a server in line with its entry in the list: only available servers have one.
func (l *loop) updatePool(endpoint control.Endpoint, t *discovery.Target) {
	if p := l.pools[endpoint.Server]; p != nil && (endpoint.Condition != control.Active || p.endpoint != t.Endpoint) {
		l.retirePool(endpoint.Server, false)
	}
	if endpoint.Condition == control.Active && l.pools[endpoint.Server] == nil {
		l.pools[endpoint.Server] = l.upstream.newPool(t.Endpoint)
	}
}

// forgetServer removes the state of a server that is no longer listed.
func (l *loop) forgetServer(uid string, id uint32) {
	l.retirePool(id, false)
	delete(l.serverIDs, uid)
	delete(l.serverStarts, uid)
	l.notifyEndpoint(id, nil)
}

// serverID returns the ID of a server. before holds the IDs of the list before the update. It assigns a new ID if the
// server was not listed.
func (l *loop) serverID(uid string, before map[string]uint32) uint32 {
	id, ok := l.serverIDs[uid]
	if !ok {
		id, ok = before[uid]
	}
	if !ok {
		l.lastServerID++
		id = l.lastServerID
	}
	l.serverIDs[uid] = id
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
