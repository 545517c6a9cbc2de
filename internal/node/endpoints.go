package node

import (
	"hash/fnv"
	"io"
	"time"

	"sloestile/control"
	"sloestile/internal/discovery"
)

// condition returns a server's status in the decision module's terms.
func condition(s discovery.Status) control.Condition {
	switch s {
	case discovery.Available:
		return control.Active
	case discovery.Removed:
		return control.Removed
	}
	return control.Draining
}

// member returns a target in the decision module's terms, under the ID that this node gave it. IDs are given in the order
// in which a node first sees servers; the hash key is the same at all nodes.
func member(t *discovery.Target, id uint32) control.Endpoint {
	key := fnv.New32a()
	_, _ = io.WriteString(key, t.UID)
	return control.Endpoint{Server: id, HashKey: key.Sum32(), Condition: condition(t.Status()), Zone: t.Zone, Cell: t.Group,
		Flavor: t.Model, Size: t.Capacity, HasStartedAt: t.BootMS > 0,
		StartedAt: time.Duration(t.BootMS * float64(time.Millisecond))}
}

// retirePool closes the connections to a server, and makes a new pool where the server stays in use.
func (l *loop) retirePool(server uint32, goesOn bool) {
	p := l.pools[server]
	if p == nil {
		return
	}
	l.upstream.retire(p)
	delete(l.pools, server)
	if goesOn {
		l.pools[server] = l.upstream.newPool(p.endpoint)
	}
}

// endpointsChanged takes an endpoint list or a change of it. Servers that are no longer listed are forgotten.
func (l *loop) endpointsChanged(kind control.UpdateKind, news discovery.Update) {
	l.rememberEndpoints(kind, news)
	l.applyEndpoints(kind, news)
}

// applyEndpoints passes a list or a change to the decision module and the pools.
func (l *loop) applyEndpoints(kind control.UpdateKind, news discovery.Update) {
	l.handle(l.updatePools(kind, news))
	l.publish()
}

// updatePools applies a list or a change to the pools and the other parts of the node, and returns the event for the
// decision module.
func (l *loop) updatePools(kind control.UpdateKind, news discovery.Update) control.EndpointUpdate {
	e := control.EndpointUpdate{Kind: kind, NodesPerServer: l.nodesPerServer}
	listed := make(map[string]bool)
	for i := range news.Targets {
		t := &news.Targets[i]
		m := member(t, l.idOf(t.UID))
		l.notifyEndpoint(m.Server, t)
		e.Endpoints = append(e.Endpoints, m)
		listed[t.UID] = m.Condition != control.Removed
		if p := l.pools[m.Server]; p != nil && (m.Condition != control.Active || p.endpoint != t.Endpoint) {
			l.retirePool(m.Server, false)
		}
		if m.Condition == control.Active && l.pools[m.Server] == nil {
			l.pools[m.Server] = l.upstream.newPool(t.Endpoint)
		}
	}
	for uid, id := range l.serverIDs {
		if is, told := listed[uid]; (told && !is) || (!told && kind != control.Delta) {
			l.retirePool(id, false)
			delete(l.serverIDs, uid)
			l.notifyEndpoint(id, nil)
		}
	}
	return e
}

// idOf returns the ID of a server, and gives a new one to a server that is not listed yet.
func (l *loop) idOf(uid string) uint32 {
	id, ok := l.serverIDs[uid]
	if !ok {
		l.lastServerID++
		id = l.lastServerID
		l.serverIDs[uid] = id
	}
	return id
}

// notifyEndpoint tells the parts that are switched on of an entry of the list; nil is that it is no longer listed.
func (l *loop) notifyEndpoint(id uint32, t *discovery.Target) {
	if l.limitSharing != nil {
		l.limitSharing.updateServer(id, t)
	}
	if l.zones != nil {
		l.zones.updateServer(id, t)
	}
}
