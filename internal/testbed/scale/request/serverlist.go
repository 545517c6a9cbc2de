package request

import (
	"fmt"
	"hash/fnv"
	"io"

	"sloestile/control"
	"sloestile/fleet/subset"
	"sloestile/internal/discovery"
)

// follower is what a hollow node keeps of the server list: the subset that it uses, and the numbers
// by which its controller knows those servers.
type follower struct {
	set     *subset.Set
	group   int // nodes that share the list
	numbers map[string]uint32
	last    uint32
}

// newFollower makes the follower of the node in the middle of a group, as Settings has it.
func newFollower(group int) (*follower, error) {
	set, err := subset.New(subset.Config{Node: group / 2})
	return &follower{set: set, group: group, numbers: make(map[string]uint32)}, err
}

// replace takes a whole list and gives what the controller is told of it.
func (f *follower) replace(all []subset.Server) (control.EndpointUpdate, error) {
	list := f.set.NewList()
	for _, server := range all {
		if err := list.Add(server); err != nil {
			return control.EndpointUpdate{}, err
		}
	}
	f.set.Replace(list)
	clear(f.numbers)
	return control.EndpointUpdate{Kind: control.Complete, Endpoints: f.members(f.set.Chosen()), NodesPerServer: f.set.Sharers(f.group)}, nil
}

// apply takes changed entries and gives what the controller is told of them; any is false where they
// do not concern the node.
func (f *follower) apply(delta []subset.Server) (told control.EndpointUpdate, any bool, err error) {
	change, err := f.set.Apply(delta)
	if err != nil || len(change.Updated)+len(change.Removed) == 0 {
		return control.EndpointUpdate{}, false, err
	}
	told = control.EndpointUpdate{Kind: control.Delta, Endpoints: f.members(change.Updated), NodesPerServer: f.set.Sharers(f.group)}
	for _, id := range change.Removed {
		told.Endpoints = append(told.Endpoints, control.Endpoint{Server: f.numbers[id], Condition: control.Removed})
		delete(f.numbers, id)
	}
	return told, true, nil
}

// members gives servers as the controller is told of them.
func (f *follower) members(servers []subset.Server) []control.Endpoint {
	all := make([]control.Endpoint, len(servers))
	for i := range servers {
		all[i] = f.member(&servers[i])
	}
	return all
}

func (f *follower) member(s *subset.Server) control.Endpoint {
	number, ok := f.numbers[s.ID]
	if !ok {
		f.last++
		number = f.last
		f.numbers[s.ID] = number
	}
	key := fnv.New32a()
	_, _ = io.WriteString(key, s.ID)
	m := control.Endpoint{Server: number, HashKey: key.Sum32(), Condition: control.Active, Zone: s.Zone, Cell: s.Group,
		Flavor: s.Model, Size: s.Capacity}
	if s.State == subset.Draining {
		m.Condition = control.Draining
	}
	return m
}

// servers gives a list of servers that are available, in turn over the zones of the target.
func servers(number int) []subset.Server {
	all := make([]subset.Server, number)
	for i := range all {
		all[i] = subset.Server{ID: fmt.Sprintf("server-%06d", i), Endpoint: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: zone(i, targetZones), Model: "standard", Group: i % 64, Capacity: 1}
	}
	return all
}

// listing gives servers in the form that discovery sends; all is that they are the whole list.
func listing(servers []subset.Server, all bool) discovery.Update {
	l := discovery.Update{Rev: 1, All: all, Targets: make([]discovery.Target, len(servers))}
	for i, s := range servers {
		state := "up"
		if s.State == subset.Draining {
			state = "draining"
		}
		l.Targets[i] = discovery.Target{UID: s.ID, Endpoint: s.Endpoint, Zone: s.Zone, Model: s.Model, Group: s.Group, State: state,
			Capacity: s.Capacity}
	}
	return l
}

// drained gives a server as the i-th change has it: one drains, and comes back by the next change.
func drained(all []subset.Server, i int) subset.Server {
	server := all[(i/2*7919)%len(all)]
	if i%2 == 0 {
		server.State = subset.Draining
	}
	return server
}
