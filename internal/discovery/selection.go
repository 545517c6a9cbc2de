package discovery

import (
	"cmp"
	"fmt"
	"sync"
	"sync/atomic"

	"sloestile/fleet/subset"
)

// Counts are the figures of the subset in use. They may be read at any time.
type Counts struct {
	Listed atomic.Int64 // servers in the whole list
	Chosen atomic.Int64 // of them, those in the subset
}

// selection holds the whole list and chooses the node's subset of it. Calls stage lists while the session
// applies updates, so that the set is locked.
type selection struct {
	config         subset.Config
	fleetSize      int
	maxKeptEntries int // entries of a whole list that are kept as they came, in case the whole of it is used
	maxListed      int // entries of a message
	counts         Counts

	mu           sync.Mutex
	set          *subset.Set
	cachedSubset bool // the node shows a part of a list whose rest is not known: only a whole list can follow
}

func newSelection(cfg subset.Config, fleetSize int) (*selection, error) {
	set, err := subset.New(cfg)
	if err != nil {
		return nil, err
	}
	return &selection{config: cfg, fleetSize: fleetSize, set: set, maxKeptEntries: 2 * cmp.Or(cfg.Most, subset.DefaultMost),
		maxListed: cmp.Or(cfg.ListMost, subset.DefaultListMost)}, nil
}

// stage begins a whole list. It changes nothing until choose takes it.
func (s *selection) stage() *subset.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.NewList()
}

// add takes an entry of a whole list.
func (s *selection) add(list *subset.List, t *Target) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return list.Add(t.server())
}

// choose takes an update, with the list that was staged of it where it is a whole one. It returns the
// update that the node needs, and false where the node's servers don't change. After an error nothing has
// changed.
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

// count updates the counts after a change.
func (s *selection) updateCounts(change subset.Change) {
	s.counts.Listed.Store(int64(s.set.Len()))
	if len(change.Updated)+len(change.Removed) > 0 {
		s.counts.Chosen.Store(int64(len(s.set.Chosen())))
	}
}

// targets is a change of the subset as discovery would send it.
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

// sharers is the mean number of nodes that use each chosen server; 0 is the whole group.
func (s *selection) nodesPerServer() float64 {
	if s.set.Whole() {
		return 0
	}
	return s.set.Sharers(s.fleetSize)
}

// adopt starts with a list that another process had, and returns what the node shows of it. Of a partial list only that is
// known.
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
			return Update{}, fmt.Errorf("the list held before: %w", err)
		}
	}
	usable, _, err := s.choose(Update{Rev: cached.Rev, All: true, Targets: cached.Targets}, list)
	usable.All = cached.All
	return usable, err
}

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

func serverTarget(s *subset.Server) Target {
	state := stateDraining
	if s.State == subset.Available {
		state = stateUp
	}
	return Target{UID: s.ID, Endpoint: s.Endpoint, Zone: s.Zone, Model: s.Model, Group: s.Group, State: state,
		Capacity: s.Capacity, BootMS: s.BootMS}
}
