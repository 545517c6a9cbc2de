package subset

// List stages a complete server list while the message that carries it is read. The set is unchanged until
// Replace. Entries that the set already lists with the same content are shared with it, so that a repeated
// list costs little memory.
type List struct {
	set     *Set
	index   *index
	removed map[string]Server // entries in the state Removed, to detect contradictions
	entries int               // entries added so far
	err     error             // first error of Add, or a *ListUsedError; nil while the list is usable
}

// NewList returns an empty list for Add and Replace.
func (s *Set) NewList() *List {
	return &List{set: s, index: newIndex(s.order)}
}

// Add stages one entry. An entry in the state Removed is checked and not listed. An entry that repeats
// one of the same list is ignored, and one that contradicts it is an *EntryError. Beyond the maximum
// number of servers or zones Add returns a *TooManyError. After an error the list is unusable: Add
// returns the same error again and Replace ignores the list.
func (l *List) Add(server Server) error {
	if l.err == nil {
		l.entries++
		l.err = l.add(server)
	}
	return l.err
}

func (l *List) add(server Server) error {
	if err := server.check(l.entries); err != nil {
		return err
	}
	probe := l.index.probe(server.ID)
	if repeated, err := l.repeats(&probe, server); repeated || err != nil {
		return err
	}
	if have := l.index.listed() + len(l.removed) + 1; have > l.set.config.MaxListed {
		return &TooManyError{What: "servers", Count: have, Max: l.set.config.MaxListed}
	}
	if server.State == Removed {
		if l.removed == nil {
			l.removed = make(map[string]Server)
		}
		l.removed[server.ID] = server
		return nil
	}
	l.index.insert(l.set.entryFor(&probe, server))
	return l.set.config.checkZones(l.index.listed(), len(l.index.zones))
}

// repeats reports whether the list already holds the same entry. It returns an *EntryError if the list holds
// a different one with the same ID.
func (l *List) repeats(probe *entry, server Server) (bool, error) {
	earlier, found := l.removed[server.ID]
	if staged := l.index.find(probe); staged != nil {
		earlier, found = staged.server(), true
	}
	if found && earlier != server {
		return false, newEntryError(l.entries, server.ID, "", "it contradicts an earlier entry of the same ID")
	}
	return found, nil
}

// entryFor returns the set's own entry if it has the same content, else a new one.
func (s *Set) entryFor(probe *entry, server Server) *entry {
	if listed := s.index.find(probe); listed != nil && listed.server() == server {
		return listed
	}
	return newEntry(probe.position, server)
}

// Replace replaces the set's whole list by the staged one and returns the change of the chosen servers. The
// list cannot be used again. A list whose Add has failed, or that was staged for another set, has no effect.
func (s *Set) Replace(l *List) Change {
	if l.err != nil || l.set != s {
		return Change{}
	}
	s.index = l.index
	l.index, l.removed, l.err = nil, nil, &ListUsedError{}
	return s.choose()
}
