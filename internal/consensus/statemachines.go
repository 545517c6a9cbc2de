package consensus

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/raftlog"
)

// stateMachines passes each command in the log to the state machine that its first byte selects.
type stateMachines struct{ byKind map[byte]StateMachine }

var _ raft.FSM = (*stateMachines)(nil)

// reset restores the initial state of all state machines.
func (m *stateMachines) reset() error {
	for kind, machine := range m.byKind {
		if err := machine.Restore(nil); err != nil {
			return fmt.Errorf("council: resetting state machine %q: %w", kind, err)
		}
	}
	return nil
}

// Apply applies a committed command.
func (m *stateMachines) Apply(r *raft.Log) any {
	if len(r.Data) == 0 {
		return errors.New("council: log entry: the command is empty")
	}
	machine := m.byKind[r.Data[0]]
	if machine == nil {
		return &UnknownMachineError{Machine: r.Data[0]}
	}
	return machine.Apply(r.Index, r.Data[1:])
}

// Snapshot returns the states of all state machines.
func (m *stateMachines) Snapshot() (raft.FSMSnapshot, error) {
	states := make(machineStates)
	for kind, machine := range m.byKind {
		raw, err := machine.Snapshot()
		if err != nil {
			return nil, fmt.Errorf("council: taking a snapshot of state machine %q: %w", kind, err)
		}
		states[kind] = raw
	}
	return states, nil
}

// Restore restores the states of all state machines. One that the snapshot does not have gets its initial state.
func (m *stateMachines) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }() // an error does not matter after reading
	raw, err := io.ReadAll(io.LimitReader(from, raftlog.MaxSnapshotBytes))
	if err != nil {
		return err
	}
	states := make(machineStates)
	if err := cbor.Unmarshal(raw, &states); err != nil {
		return fmt.Errorf("council: decoding a snapshot: %w", err)
	}
	for kind := range states {
		if m.byKind[kind] == nil {
			return &UnknownMachineError{Machine: kind}
		}
	}
	for kind, machine := range m.byKind {
		if err := machine.Restore(states[kind]); err != nil {
			return fmt.Errorf("council: restoring state machine %q: %w", kind, err)
		}
	}
	return nil
}

// machineStates has the states of all state machines at one log index, by the first byte of their commands.
type machineStates map[byte][]byte

var _ raft.FSMSnapshot = machineStates(nil)

// Persist writes the states to a snapshot.
func (s machineStates) Persist(to raft.SnapshotSink) error {
	raw, err := cbor.Marshal(map[byte][]byte(s))
	if err == nil {
		_, err = to.Write(raw)
	}
	if err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

// Release does nothing: there is nothing to release.
func (machineStates) Release() {}
