package learner

import (
	"sync"

	"sloestile/fleet/rules"
)

// StateMachineKind is the first byte of the registry's commands in the consensus log.
const StateMachineKind = 'r'

// Registry is the registry of rule versions as a state machine of the consensus group. It is safe for concurrent use.
type Registry struct {
	onChange func(rules.VersionState) // nil disables it

	mu       sync.Mutex
	registry *rules.Registry
}

// NewRegistry returns an empty registry. onChange is called with the version state after each command that changes it
// and after a snapshot with a state is restored. It must not block; nil disables it.
func NewRegistry(onChange func(rules.VersionState)) *Registry {
	return &Registry{onChange: onChange, registry: &rules.Registry{}}
}

// Outcome is the result of an applied command.
type Outcome struct {
	Result rules.Result
	Err    error // why the registry rejected the command; nil if it did not
}

// Apply applies a committed command and returns an Outcome.
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

// Snapshot returns the encoded state of the registry.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.Snapshot()
}

// Restore restores the state from a snapshot; nil restores the empty registry.
func (r *Registry) Restore(state []byte) error {
	registry := &rules.Registry{}
	if state != nil {
		var err error
		if registry, err = rules.Restore(state); err != nil {
			return err
		}
	}
	r.mu.Lock()
	r.registry = registry
	restored := registry.State()
	r.mu.Unlock()
	if r.onChange != nil && restored.Revision > 0 {
		r.onChange(restored)
	}
	return nil
}

// State returns the version state, of which the nodes are notified.
func (r *Registry) State() rules.VersionState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.State()
}

// NextActivation returns the version number and the time (Unix ms) of the next activation; see rules.Registry.
func (r *Registry) NextActivation() (number, at uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.NextActivation()
}

// Newest returns the highest version number assigned so far, or 0 if there is none.
func (r *Registry) Newest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.Newest()
}

// View returns the version state, the highest version number assigned so far and all versions that are kept, as of one
// moment.
func (r *Registry) View() (state rules.VersionState, newest uint64, versions []rules.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.State(), r.registry.Newest(), r.registry.Versions()
}

// text returns the text with a digest, if one of the versions has it.
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
