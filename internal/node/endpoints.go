package node

import (
	"hash/fnv"
	"io"
	"time"

	"sloestile/control"
	"sloestile/internal/discovery"
)

// condition is what the decision module is told of a server's status.
func condition(s discovery.Status) control.Condition {
	switch s {
	case discovery.Available:
		return control.Active
	case discovery.Removed:
		return control.Removed
	}
	return control.Draining
}

// member is what the decision module is told of a target under the id that this node gave it. Ids are
// given in the order in which a node hears of servers; the key is the same at all nodes.
func member(t *discovery.Target, id uint32) control.Endpoint {
	key := fnv.New32a()
	_, _ = io.WriteString(key, t.UID)
	return control.Endpoint{Server: id, HashKey: key.Sum32(), Condition: condition(t.Status()), Zone: t.Zone, Cell: t.Group,
		Flavor: t.Model, Size: t.Capacity, HasStartedAt: t.BootMS > 0,
		StartedAt: time.Duration(t.BootMS * float64(time.Millisecond))}
}

// retire lets go of the connections to an app server, and takes new ones where it goes on.
func (l *loop) retirePool(server uint32, goesOn bool) {
	p := l.pools[server]
	if p == nil {
		return
	}
	l.upstream.retire(p)
	delete(l.pools, server)
	if goesOn {
		l.pools[server] = l.upstream.pool(p.endpoint)
	}
}

// list takes in what discovery tells. What is no longer listed is forgotten.
func (l *loop) endpointsChanged(kind control.UpdateKind, news discovery.Update) {
	l.rememberEndpoints(kind, news)
	l.applyEndpoints(kind, news)
}

// show has the module and the pools go by a list.
func (l *loop) applyEndpoints(kind control.UpdateKind, news discovery.Update) {
	l.handle(l.updatePools(kind, news))
	l.publish()
}

// apply has the pools and the other parts of the node go by a list, and gives what the module is told.
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
			l.pools[m.Server] = l.upstream.pool(t.Endpoint)
		}
	}
	for uid, id := range l.serverIDs {
		if is, told := listed[uid]; told && !is || !told && kind != control.Delta {
			l.retirePool(id, false)
			delete(l.serverIDs, uid)
			l.notifyEndpoint(id, nil)
		}
	}
	return e
}

// idOf gives the number of a server, a new one for a server that is not listed yet.
func (l *loop) idOf(uid string) uint32 {
	id, ok := l.serverIDs[uid]
	if !ok {
		l.lastServerID++
		id = l.lastServerID
		l.serverIDs[uid] = id
	}
	return id
}

// note tells the parts that are switched on of an entry of the list; nil is that it is gone.
func (l *loop) notifyEndpoint(id uint32, t *discovery.Target) {
	if l.limitSharing != nil {
		l.limitSharing.updateServer(id, t)
	}
	if l.zones != nil {
		l.zones.updateServer(id, t)
	}
}
