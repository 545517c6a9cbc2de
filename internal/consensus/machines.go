package consensus

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"

	"sloestile/internal/consensus/raftlog"
)

// machines leads the state machines through the log.
type machines struct{ of map[byte]Machine }

var _ raft.FSM = (*machines)(nil)

// reset brings all to their begin.
func (m *machines) reset() error {
	for k, x := range m.of {
		if err := x.Restore(nil); err != nil {
			return fmt.Errorf("council: state machine %q: %w", k, err)
		}
	}
	return nil
}

// StrangeError tells of a command for a state machine that this program does not have.
type StrangeError struct{ Machine byte }

func (e *StrangeError) Error() string {
	return fmt.Sprintf("council: a record: no state machine %q here; bring all voters to one version of the program", e.Machine)
}

// Apply takes what is agreed.
func (m *machines) Apply(r *raft.Log) any {
	if len(r.Data) == 0 {
		return errors.New("council: an empty command")
	}
	x := m.of[r.Data[0]]
	if x == nil {
		return &StrangeError{Machine: r.Data[0]}
	}
	return x.Apply(r.Index, r.Data[1:])
}

// Snapshot gives the states of all.
func (m *machines) Snapshot() (raft.FSMSnapshot, error) {
	s := make(states)
	for k, x := range m.of {
		raw, err := x.Snapshot()
		if err != nil {
			return nil, fmt.Errorf("council: state machine %q: %w", k, err)
		}
		s[k] = raw
	}
	return s, nil
}

// Restore takes the states of all.
func (m *machines) Restore(from io.ReadCloser) error {
	defer from.Close()
	raw, err := io.ReadAll(io.LimitReader(from, raftlog.SnapshotMost))
	if err != nil {
		return err
	}
	s := make(states)
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	for k := range s {
		if m.of[k] == nil {
			return &StrangeError{Machine: k}
		}
	}
	for k, x := range m.of {
		if err := x.Restore(s[k]); err != nil {
			return fmt.Errorf("council: state machine %q: %w", k, err)
		}
	}
	return nil
}

// states are those of all machines at one index.
type states map[byte][]byte

var _ raft.FSMSnapshot = states(nil)

// Persist writes them.
func (s states) Persist(to raft.SnapshotSink) error {
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
func (states) Release() {}
