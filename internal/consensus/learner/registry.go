package learner

import (
	"sync"

	"sloestile/fleet/rules"
)

// StateMachineKind is the first byte of the registry's commands in the consensus log.
const StateMachineKind = 'r'

// Registry is the registry of versions as a state machine of the consensus group. It is safe for concurrent use.
type Registry struct {
	onChange func(rules.VersionState) // nil is nobody

	mu       sync.Mutex
	registry *rules.Registry
}

// NewRegistry returns an empty registry. onChange is called with each state that differs from the one before; it must not wait.
func NewRegistry(onChange func(rules.VersionState)) *Registry {
	return &Registry{onChange: onChange, registry: &rules.Registry{}}
}

// Outcome is the result of a command.
type Outcome struct {
	Result rules.Result
	Err    error
}

// Apply applies an agreed command.
func (r *Registry) Apply(_ uint64, command []byte) any {
	r.mu.Lock()
	result, err := r.registry.Apply(command)
	state := r.registry.State()
	r.mu.Unlock()
	if result.StateChanged && r.onChange != nil {
		r.onChange(state)
	}
	return Outcome{result, err}
}

// Snapshot returns the state.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.Snapshot()
}

// Restore restores a state; nil is the initial one.
func (r *Registry) Restore(state []byte) error {
	reg := &rules.Registry{}
	if state != nil {
		var err error
		if reg, err = rules.Restore(state); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.registry = reg
	w := reg.State()
	r.mu.Unlock()
	if r.onChange != nil && w.Revision > 0 {
		r.onChange(w)
	}
	return nil
}

// State returns the state that the nodes are notified of.
func (r *Registry) State() rules.VersionState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.State()
}

// NextActivation returns the activation that comes next; see rules.Registry.
func (r *Registry) NextActivation() (number, at uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.NextActivation()
}

// Newest returns the number that was given last.
func (r *Registry) Newest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.Newest()
}

// View returns the state, the number given last and all versions that are kept, as of one moment.
func (r *Registry) View() (w rules.VersionState, newest uint64, versions []rules.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.State(), r.registry.Newest(), r.registry.Versions()
}

// text returns the text of a digest, where one of the versions has it.
func (r *Registry) text(d rules.Digest) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.registry.Versions() {
		if v.Digest == d && v.Text != nil {
			return v.Text, true
		}
	}
	return nil, false
}
