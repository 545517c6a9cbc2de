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

	mu      sync.Mutex
	set     *subset.Set
	partial bool // the node shows a part of a list whose rest is not known: only a whole list can follow
}

func newSelection(cfg subset.Config, group int) (*selection, error) {
	set, err := subset.New(cfg)
	if err != nil {
		return nil, err
	}
	return &selection{config: cfg, fleetSize: group, set: set, maxKeptEntries: 2 * cmp.Or(cfg.MaxServers, subset.DefaultMaxServers),
		maxListed: cmp.Or(cfg.MaxListed, subset.DefaultMaxListed)}, nil
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
	if s.partial && !u.All {
		return u, false, &PartialError{Rev: u.Rev}
	}
	unchanged := s.set.Whole() && !s.partial
	change, err := s.apply(u, list)
	if err != nil {
		return u, false, err
	}
	s.count(change)
	if s.set.Whole() && unchanged && (u.Targets != nil || list == nil) {
		return u, true, nil // as discovery sent it
	}
	needed := Update{Rev: u.Rev, All: s.partial || s.set.Whole(), NodesPerServer: s.sharers()}
	s.partial = false
	if needed.All {
		change = subset.Change{Updated: s.set.Chosen()}
	}
	needed.Targets = targets(change)
	return needed, needed.All || len(needed.Targets) > 0, nil
}

// count updates the counts after a change.
func (s *selection) count(change subset.Change) {
	s.counts.Listed.Store(int64(s.set.Len()))
	if len(change.Updated)+len(change.Removed) > 0 {
		s.counts.Chosen.Store(int64(len(s.set.Chosen())))
	}
}

// targets is a change of the subset as discovery would send it.
func targets(change subset.Change) []Target {
	all := make([]Target, 0, len(change.Updated)+len(change.Removed))
	for _, id := range change.Removed {
		all = append(all, Target{UID: id, State: stateRemoved})
	}
	for i := range change.Updated {
		all = append(all, target(&change.Updated[i]))
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
func (s *selection) sharers() float64 {
	if s.set.Whole() {
		return 0
	}
	return s.set.Sharers(s.fleetSize)
}

// adopt starts with a list that another process had, and returns what the node shows of it. Of a partial list only that is
// known.
func (s *selection) adopt(held Update) (Update, error) {
	set, err := subset.New(s.config)
	if err != nil {
		return Update{}, err
	}
	s.mu.Lock()
	s.set, s.partial = set, held.NodesPerServer > 0
	s.mu.Unlock()
	if s.partial || len(held.Targets) == 0 {
		return held, nil
	}
	list := s.stage()
	for i := range held.Targets {
		if err := s.add(list, &held.Targets[i]); err != nil {
			return Update{}, fmt.Errorf("the list held before: %w", err)
		}
	}
	shown, _, err := s.choose(Update{Rev: held.Rev, All: true, Targets: held.Targets}, list)
	shown.All = held.All
	return shown, err
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

func target(s *subset.Server) Target {
	state := stateDraining
	if s.State == subset.Available {
		state = stateUp
	}
	return Target{UID: s.ID, Endpoint: s.Endpoint, Zone: s.Zone, Model: s.Model, Group: s.Group, State: state,
		Capacity: s.Capacity, BootMS: s.BootMS}
}
