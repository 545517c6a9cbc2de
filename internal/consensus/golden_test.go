package consensus

import (
	"bytes"
	"io"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

func decodeAs[T any](raw []byte) (*T, error) {
	v := new(T)
	return v, cbor.Unmarshal(raw, v)
}

// What voters say to each other has the recorded bytes.
func TestCallsAreAsRecorded(t *testing.T) {
	golden.RoundTrip(t, "ask", func(q *reportRequest) ([]byte, error) { return cbor.Marshal(*q) }, decodeAs[reportRequest])
	golden.RoundTrip(t, "report", func(a *voterReport) ([]byte, error) { return cbor.Marshal(*a) }, decodeAs[voterReport])
}

// sinkBuffer is a snapshot's destination in memory.
type sinkBuffer struct {
	bytes.Buffer
	raft.SnapshotSink
}

func (s *sinkBuffer) Write(b []byte) (int, error) { return s.Buffer.Write(b) }
func (s *sinkBuffer) Close() error                { return nil }

// fixedStateMachine is a state machine whose state is what was restored.
type fixedStateMachine struct{ state []byte }

func (k *fixedStateMachine) Apply(uint64, []byte) any  { return nil }
func (k *fixedStateMachine) Snapshot() ([]byte, error) { return k.state, nil }
func (k *fixedStateMachine) Restore(b []byte) error    { k.state = b; return nil }

// The snapshot of all state machines has the recorded bytes and is restored from them.
func TestSnapshotIsAsRecorded(t *testing.T) {
	m := &stateMachines{byKind: map[byte]StateMachine{'r': &fixedStateMachine{[]byte("rules")}}}
	s, err := m.Snapshot()
	require.NoError(t, err)
	var out sinkBuffer
	require.NoError(t, s.Persist(&out))
	golden.Check(t, "snapshot", out.Bytes())
	back := &fixedStateMachine{}
	require.NoError(t, (&stateMachines{byKind: map[byte]StateMachine{'r': back}}).Restore(io.NopCloser(&out)))
	require.Equal(t, "rules", string(back.state))
}
