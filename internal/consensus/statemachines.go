package consensus

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/raftlog"
)

// stateMachines applies the log to the state machines by the first byte of each command.
type stateMachines struct{ byKind map[byte]StateMachine }

var _ raft.FSM = (*stateMachines)(nil)

// reset brings all to their initial state.
func (m *stateMachines) reset() error {
	for k, x := range m.byKind {
		if err := x.Restore(nil); err != nil {
			return fmt.Errorf("council: state machine %q: %w", k, err)
		}
	}
	return nil
}

// Apply applies an agreed command.
func (m *stateMachines) Apply(r *raft.Log) any {
	if len(r.Data) == 0 {
		return errors.New("council: an empty command")
	}
	x := m.byKind[r.Data[0]]
	if x == nil {
		return &UnknownMachineError{Machine: r.Data[0]}
	}
	return x.Apply(r.Index, r.Data[1:])
}

// Snapshot returns the states of all.
func (m *stateMachines) Snapshot() (raft.FSMSnapshot, error) {
	s := make(machineStates)
	for k, x := range m.byKind {
		raw, err := x.Snapshot()
		if err != nil {
			return nil, fmt.Errorf("council: state machine %q: %w", k, err)
		}
		s[k] = raw
	}
	return s, nil
}

// Restore restores the states of all.
func (m *stateMachines) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }() // it was read to its end
	raw, err := io.ReadAll(io.LimitReader(from, raftlog.MaxSnapshotBytes))
	if err != nil {
		return err
	}
	s := make(machineStates)
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	for k := range s {
		if m.byKind[k] == nil {
			return &UnknownMachineError{Machine: k}
		}
	}
	for k, x := range m.byKind {
		if err := x.Restore(s[k]); err != nil {
			return fmt.Errorf("council: state machine %q: %w", k, err)
		}
	}
	return nil
}

// machineStates are the states of all state machines at one index.
type machineStates map[byte][]byte

var _ raft.FSMSnapshot = machineStates(nil)

// Persist writes the states.
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

// Release has nothing to release.
func (machineStates) Release() {}
