package learner

import (
	"sync"

	"sloestile/fleet/rules"
)

// Machine is the first byte of the registry's commands in the council's log.
const Machine = 'r'

// Registry is the registry of versions as a state machine of the council's.
type Registry struct {
	changed func(rules.VersionState) // is told of another word, and does not wait

	mu  sync.Mutex
	reg *rules.Registry
}

// NewRegistry makes an empty one. Changed is told of each word that differs from the one before.
func NewRegistry(changed func(rules.VersionState)) *Registry {
	return &Registry{changed: changed, reg: &rules.Registry{}}
}

// Outcome is what a command has come to.
type Outcome struct {
	Result rules.Result
	Err    error
}

// Apply takes a command that is agreed.
func (r *Registry) Apply(_ uint64, command []byte) any {
	r.mu.Lock()
	res, err := r.reg.Apply(command)
	w := r.reg.State()
	r.mu.Unlock()
	if res.StateChanged && r.changed != nil {
		r.changed(w)
	}
	return Outcome{res, err}
}

// Snapshot gives the state.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reg.Snapshot()
}

// Restore takes a state; nil is the begin.
func (r *Registry) Restore(state []byte) error {
	reg := &rules.Registry{}
	if state != nil {
		var err error
		if reg, err = rules.Restore(state); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.reg = reg
	w := reg.State()
	r.mu.Unlock()
	if r.changed != nil && w.Revision > 0 {
		r.changed(w)
	}
	return nil
}

// Word is what goes round.
func (r *Registry) Word() rules.VersionState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reg.State()
}

// Due is the activation that comes next; see rules.Registry.
func (r *Registry) Due() (number, at uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reg.NextActivation()
}

// Newest is the number that was given last.
func (r *Registry) Newest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reg.Newest()
}

// View gives the word, the number given last and all versions that are kept, as of one moment.
func (r *Registry) View() (w rules.VersionState, newest uint64, versions []rules.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reg.State(), r.reg.Newest(), r.reg.Versions()
}

// text gives the text of a digest, where one of the versions has it.
func (r *Registry) text(d rules.Digest) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.reg.Versions() {
		if v.Digest == d && v.Text != nil {
			return v.Text, true
		}
	}
	return nil, false
}
