package consensus

import (
	"bytes"
	"io"
	"strings"
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

// The calls between voters and their answers have the encoding in the golden files, so that voters with different
// versions of the program understand each other.
func TestVoterCallsMatchGoldenFiles(t *testing.T) {
	golden.RoundTrip(t, "ask", func(q *reportRequest) ([]byte, error) { return cbor.Marshal(*q) }, decodeAs[reportRequest])
	golden.RoundTrip(t, "report", func(a *voterReport) ([]byte, error) { return cbor.Marshal(*a) }, decodeAs[voterReport])
}

// sinkBuffer is a snapshot sink in memory.
type sinkBuffer struct {
	bytes.Buffer
	raft.SnapshotSink
}

func (s *sinkBuffer) Write(b []byte) (int, error) { return s.Buffer.Write(b) }
func (s *sinkBuffer) Close() error                { return nil }

// fixedStateMachine is a state machine whose state is the one restored last; commands do not change it.
type fixedStateMachine struct{ state []byte }

func (m *fixedStateMachine) Apply(uint64, []byte) any  { return nil }
func (m *fixedStateMachine) Snapshot() ([]byte, error) { return m.state, nil }
func (m *fixedStateMachine) Restore(b []byte) error    { m.state = b; return nil }

// A snapshot of the state machines has the encoding in the golden file, and restores their states.
func TestSnapshotMatchesGoldenFile(t *testing.T) {
	m := &stateMachines{byKind: map[byte]StateMachine{'r': &fixedStateMachine{[]byte("rules")}}}
	s, err := m.Snapshot()
	require.NoError(t, err)
	var out sinkBuffer
	require.NoError(t, s.Persist(&out))
	golden.Check(t, "snapshot", out.Bytes())
	restored := &fixedStateMachine{}
	require.NoError(t, (&stateMachines{byKind: map[byte]StateMachine{'r': restored}}).Restore(io.NopCloser(&out)))
	require.Equal(t, "rules", string(restored.state))
}

// The first byte of a call between voters, and the names of the phases that operators see, are those in the golden
// file.
func TestCallKindAndPhasesMatchGoldenFile(t *testing.T) {
	golden.CheckText(t, "names", strings.Join([]string{string(rune(voterCallKind)), PhaseNotRunning, PhaseRequestingReports, PhaseAwaitingAdmission, PhaseVoting}, "\n")+"\n")
}

// A voter's record of another has the encoding in the golden files, also the zero record, because voters with different
// versions of the program exchange it.
func TestPeerRecordsMatchGoldenFiles(t *testing.T) {
	encode := func(p *peerRecord) ([]byte, error) { return cbor.Marshal(*p) }
	golden.RoundTrip(t, "peer", encode, decodeAs[peerRecord])
	golden.RoundTripOf(t, "peer-empty", &peerRecord{}, encode, decodeAs[peerRecord])
}
