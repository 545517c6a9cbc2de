package subset

// step is one change of the list. A nil old means an addition, a nil new a removal.
type step struct{ old, new *entry }

// Apply applies a delta: each entry is added, replaces the one with its ID, or is removed. The whole delta is
// validated first, and on an error nothing changes. An entry that repeats one of the same delta is ignored,
// one that contradicts it is an *EntryError, and the removal of an ID that is not listed has no effect. The
// error is a *TooManyError if the delta has more entries than a list can hold, or the list would become too
// large.
func (s *Set) Apply(servers []Server) (Change, error) {
	steps, err := s.plan(servers)
	if err != nil {
		return Change{}, err
	}
	affected := s.Whole()
	for _, change := range steps {
		affected = affected || s.affects(change)
	}
	for _, change := range steps {
		if change.old != nil {
			s.index.remove(change.old)
		}
		if change.new != nil {
			s.index.insert(change.new)
		}
	}
	if !affected && !s.Whole() {
		return Change{}, nil
	}
	return s.choose(), nil
}

// plan validates a delta and returns its steps.
func (s *Set) plan(servers []Server) ([]step, error) {
	if len(servers) > s.config.MaxListed {
		return nil, &TooManyError{What: "entries", Count: len(servers), Max: s.config.MaxListed}
	}
	steps := make([]step, 0, len(servers))
	earlier := make(map[string]Server, len(servers))
	for i, server := range servers {
		if err := server.check(i + 1); err != nil {
			return nil, err
		}
		if same, repeated := earlier[server.ID]; repeated {
			if same != server {
				return nil, newEntryError(i+1, server.ID, "", "it contradicts an earlier entry of the same ID")
			}
			continue
		}
		earlier[server.ID] = server
		if change, changes := s.stepFor(server); changes {
			steps = append(steps, change)
		}
	}
	return steps, s.checkSize(steps)
}

// stepFor returns the step of an entry of a delta, and whether it changes the list.
func (s *Set) stepFor(server Server) (step, bool) {
	probe := s.index.probe(server.ID)
	old := s.index.find(&probe)
	if server.State == Removed {
		return step{old: old}, old != nil
	}
	if old != nil && old.server() == server {
		return step{}, false
	}
	return step{old: old, new: newEntry(probe.position, server)}, true
}

// checkSize returns a *TooManyError if the list would be too large after the steps.
func (s *Set) checkSize(steps []step) error {
	listed := s.Len()
	byZone := make(map[string]int) // change of the number of listed servers of each zone
	for _, change := range steps {
		if change.old != nil {
			listed--
			byZone[change.old.zone()]--
		}
		if change.new != nil {
			listed++
			byZone[change.new.zone()]++
		}
	}
	if listed > s.config.MaxListed {
		return &TooManyError{What: "servers", Count: listed, Max: s.config.MaxListed}
	}
	zones := len(s.index.zones)
	for name, growth := range byZone {
		before := 0
		if z := s.index.zones[name]; z != nil {
			before = z.listed
		}
		switch {
		case before == 0 && growth > 0:
			zones++
		case before > 0 && before+growth == 0:
			zones--
		}
	}
	return s.config.checkZones(listed, zones)
}
