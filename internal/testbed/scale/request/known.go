package request

import (
	"sloestile/control"
	"sloestile/fleet/subset"
)

// known is what a node makes of the server list: what its controller is told of the whole list and of
// each change.
type known struct {
	list    control.EndpointUpdate
	numbers map[string]uint32 // by which the controller knows the servers
	chosen  []subset.Server
	// apply takes changed entries and gives what the controller is told; any is false where they do not
	// concern the node.
	apply  func(delta []subset.Server) (told control.EndpointUpdate, any bool, err error)
	held   any     // what the node holds of the list beside its controller
	handle handler // that its controller is told by; nil is the controller's Handle
}

// choice is how a node makes its known servers of a list. group is the number of nodes.
type choice func(all []subset.Server, group int) (*known, error)

// wholeList is the choice of a node that uses all servers.
func wholeList(all []subset.Server, group int) (*known, error) {
	f, err := newFollower(group)
	if err != nil {
		return nil, err
	}
	return &known{list: control.EndpointUpdate{Kind: control.Complete, Endpoints: f.members(all)}, numbers: f.numbers, chosen: all,
		apply: func(delta []subset.Server) (control.EndpointUpdate, bool, error) {
			return control.EndpointUpdate{Kind: control.Delta, Endpoints: f.members(delta)}, true, nil
		}, held: f}, nil
}

// subsetOf is the choice of a node that uses a subset.
func subsetOf(all []subset.Server, group int) (*known, error) {
	f, err := newFollower(group)
	if err != nil {
		return nil, err
	}
	list, err := f.replace(all)
	if err != nil {
		return nil, err
	}
	return &known{list: list, numbers: f.numbers, chosen: f.set.Chosen(), apply: f.apply, held: f}, nil
}

// server gives the chosen server that the controller knows by a number.
func (k *known) server(number uint32) (subset.Server, bool) {
	for _, s := range k.chosen {
		if k.numbers[s.ID] == number {
			return s, true
		}
	}
	return subset.Server{}, false
}

// others gives the servers of a list that are not chosen.
func (k *known) others(all []subset.Server) []subset.Server {
	used := make(map[string]bool, len(k.chosen))
	for _, s := range k.chosen {
		used[s.ID] = true
	}
	var others []subset.Server
	for _, s := range all {
		if !used[s.ID] {
			others = append(others, s)
		}
	}
	return others
}
