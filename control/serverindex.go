package control

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// serverRole is the role in which a usable server is offered to a choice.
type serverRole int

// The roles of usable servers.
const (
	warmPreferred serverRole = iota
	warmOther
	slowStarting
	roleCount
)

// scopeCount is the number of groups that a usable server belongs to: all servers, its zone, and its cell.
const scopeCount = 3

// serverGroup holds the usable servers of one scope by role, in no order.
type serverGroup struct {
	zone    string
	cell    int
	servers [roleCount][]*server
}

// len returns the number of servers in the group.
func (g *serverGroup) len() int {
	n := 0
	for _, servers := range g.servers {
		n += len(servers)
	}
	return n
}

// containsOutside reports whether the group has a server outside the zones that the rules close.
func (g *serverGroup) containsOutside(rules *Rules) bool {
	for _, servers := range g.servers {
		if slices.ContainsFunc(servers, func(s *server) bool { return !rules.closesZoneOf(s) }) {
			return true
		}
	}
	return false
}

// indexEntry is the place of one server in the index.
type indexEntry struct {
	indexed   bool
	role      serverRole
	groups    [scopeCount]*serverGroup
	positions [scopeCount]int // position in the list of the role, by group
}

// serverIndex holds the usable servers by scope and role, so that a choice looks only at servers that can be
// chosen.
type serverIndex struct {
	all    serverGroup
	byZone map[string]*serverGroup
	byCell map[int]*serverGroup
}

func newServerIndex() serverIndex {
	return serverIndex{byZone: map[string]*serverGroup{}, byCell: map[int]*serverGroup{}}
}

// role returns the role in which a usable server is indexed.
func (s *server) role() serverRole {
	switch {
	case s.warmingUp:
		return slowStarting
	case s.preferred:
		return warmPreferred
	}
	return warmOther
}

// update brings the entry of a server in line with the server's state.
func (x *serverIndex) update(s *server) {
	x.remove(s)
	if !s.usable() {
		return
	}
	s.index.indexed = true
	s.index.role = s.role()
	s.index.groups = [scopeCount]*serverGroup{&x.all, x.zone(s.Zone), x.cell(s.Cell)}
	for i, group := range s.index.groups {
		servers := &group.servers[s.index.role]
		s.index.positions[i] = len(*servers)
		*servers = append(*servers, s)
	}
}

// zone returns the group of a zone, and creates it if there is none.
func (x *serverIndex) zone(name string) *serverGroup {
	group := x.byZone[name]
	if group == nil {
		group = &serverGroup{zone: name}
		x.byZone[name] = group
	}
	return group
}

// openZones returns the zones with a usable server that the rules do not close, sorted.
func (set *serverSet) openZones(rules *Rules) []string {
	zones := slices.Sorted(maps.Keys(set.index.byZone))
	return slices.DeleteFunc(zones, func(zone string) bool { return slices.Contains(rules.ClosedZones, zone) })
}

// cell returns the group of a cell, and creates it if there is none.
func (x *serverIndex) cell(number int) *serverGroup {
	group := x.byCell[number]
	if group == nil {
		group = &serverGroup{cell: number}
		x.byCell[number] = group
	}
	return group
}

// remove removes a server, and the groups that it leaves empty.
func (x *serverIndex) remove(s *server) {
	if !s.index.indexed {
		return
	}
	for i, group := range s.index.groups {
		servers := group.servers[s.index.role]
		position, last := s.index.positions[i], len(servers)-1
		servers[position] = servers[last]
		servers[position].index.positions[i] = position
		servers[last] = nil
		group.servers[s.index.role] = servers[:last]
	}
	zone, cell := s.index.groups[1], s.index.groups[2]
	if zone.len() == 0 {
		delete(x.byZone, zone.zone)
	}
	if cell.len() == 0 {
		delete(x.byCell, cell.cell)
	}
	s.index = indexEntry{}
}

// appendSample appends up to limit servers of a list to sample: all of them, or consecutive ones from a
// random position on.
func appendSample(sample, servers []*server, limit int, random *rand.Rand) []*server {
	if len(servers) <= limit {
		return append(sample, servers...)
	}
	first := random.IntN(len(servers))
	sample = append(sample, servers[first:min(first+limit, len(servers))]...)
	if rest := first + limit - len(servers); rest > 0 {
		sample = append(sample, servers[:rest]...)
	}
	return sample
}
