package discovery

import (
	"cmp"
	"fmt"
	"sync"
	"sync/atomic"

	"sloestile/fleet/subset"
)

// Counts are the sizes of the list and of the subset in use. They may be read at any time.
type Counts struct {
	Listed atomic.Int64 // number of servers in the whole list
	Chosen atomic.Int64 // number of those servers in the subset
}

// selection holds the whole list and chooses the node's subset of it. The set is locked because calls stage lists while
// the session applies updates.
type selection struct {
	config         subset.Config
	fleetSize      int
	maxKeptEntries int // maximum entries of a complete list that are also kept unchanged, in case the whole list is used
	maxListed      int // maximum entries of a message
	counts         Counts

	mu           sync.Mutex
	set          *subset.Set
	cachedSubset bool // the node uses a cached subset without the rest of its list, so the next update must be complete
}

func newSelection(cfg subset.Config, fleetSize int) (*selection, error) {
	set, err := subset.New(cfg)
	if err != nil {
		return nil, err
	}
	return &selection{config: cfg, fleetSize: fleetSize, set: set, maxKeptEntries: 2 * cmp.Or(cfg.MaxServers, subset.DefaultMaxServers),
		maxListed: cmp.Or(cfg.MaxListed, subset.DefaultMaxListed)}, nil
}

// stage begins a complete list. The list changes nothing until it is passed to choose.
func (s *selection) stage() *subset.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.NewList()
}

// add adds an entry to a staged list.
func (s *selection) add(list *subset.List, t *Target) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return list.Add(t.server())
}

// choose applies an update. For a complete list, list holds its staged entries. It returns the update that the node
// needs, and false if the node's servers don't change. After an error nothing has changed.
func (s *selection) choose(u Update, list *subset.List) (Update, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedSubset && !u.All {
		return u, false, &PartialError{Rev: u.Rev}
	}
	unchanged := s.set.Whole() && !s.cachedSubset
	change, err := s.apply(u, list)
	if err != nil {
		return u, false, err
	}
	s.updateCounts(change)
	if s.set.Whole() && unchanged && (u.Targets != nil || list == nil) {
		return u, true, nil // as discovery sent it
	}
	needed := Update{Rev: u.Rev, All: s.cachedSubset || s.set.Whole(), NodesPerServer: s.nodesPerServer()}
	s.cachedSubset = false
	if needed.All {
		change = subset.Change{Updated: s.set.Chosen()}
	}
	needed.Targets = changeTargets(change)
	return needed, needed.All || len(needed.Targets) > 0, nil
}

// updateCounts updates the counts after a change.
func (s *selection) updateCounts(change subset.Change) {
	s.counts.Listed.Store(int64(s.set.Len()))
	if len(change.Updated)+len(change.Removed) > 0 {
		s.counts.Chosen.Store(int64(len(s.set.Chosen())))
	}
}

// changeTargets returns a change of the subset as the targets that discovery would send for it.
func changeTargets(change subset.Change) []Target {
	all := make([]Target, 0, len(change.Updated)+len(change.Removed))
	for _, id := range change.Removed {
		all = append(all, Target{UID: id, State: stateRemoved})
	}
	for i := range change.Updated {
		all = append(all, serverTarget(&change.Updated[i]))
	}
	return all
}

func (s *selection) apply(u Update, list *subset.List) (subset.Change, error) {
	if u.All {
		return s.set.Replace(list), nil
	}
	servers := make([]subset.Server, len(u.Targets))
	for i := range u.Targets {
		servers[i] = u.Targets[i].server()
	}
	return s.set.Apply(servers)
}

// nodesPerServer returns the mean number of nodes that use each chosen server. 0 means all nodes of the fleet.
func (s *selection) nodesPerServer() float64 {
	if s.set.Whole() {
		return 0
	}
	return s.set.Sharers(s.fleetSize)
}

// adopt starts from a cached list and returns the part of it that the node uses. If the cached list is itself a subset,
// the node uses all of it and the rest of the whole list is unknown.
func (s *selection) adopt(cached Update) (Update, error) {
	set, err := subset.New(s.config)
	if err != nil {
		return Update{}, err
	}
	s.mu.Lock()
	s.set, s.cachedSubset = set, cached.NodesPerServer > 0
	s.mu.Unlock()
	if s.cachedSubset || len(cached.Targets) == 0 {
		return cached, nil
	}
	list := s.stage()
	for i := range cached.Targets {
		if err := s.add(list, &cached.Targets[i]); err != nil {
			return Update{}, fmt.Errorf("cached list: %w", err)
		}
	}
	usable, _, err := s.choose(Update{Rev: cached.Rev, All: true, Targets: cached.Targets}, list)
	usable.All = cached.All
	return usable, err
}

// server converts a target to an entry of package subset.
func (t *Target) server() subset.Server {
	state := subset.Draining
	switch t.Status() {
	case Available:
		state = subset.Available
	case Removed:
		state = subset.Removed
	}
	return subset.Server{ID: t.UID, Endpoint: t.Endpoint, Zone: t.Zone, Model: t.Model, Group: t.Group, State: state,
		Capacity: t.Capacity, BootMS: t.BootMS}
}

// serverTarget converts an entry of package subset to a target.
func serverTarget(s *subset.Server) Target {
	state := stateDraining
	if s.State == subset.Available {
		state = stateUp
	}
	return Target{UID: s.ID, Endpoint: s.Endpoint, Zone: s.Zone, Model: s.Model, Group: s.Group, State: state,
		Capacity: s.Capacity, BootMS: s.BootMS}
}
