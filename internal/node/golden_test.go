package node

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"sloestile/control"
	"sloestile/internal/golden"
	"sloestile/internal/membership"
)

func decodeJSON[T any](raw []byte) (*T, error) {
	v := new(T)
	return v, json.Unmarshal(raw, v)
}

func encodeJSON[T any](v *T) ([]byte, error) { return json.MarshalIndent(v, "", " ") }

// What one process hands to the next, or keeps for it, has the recorded bytes.
func TestHandoverStateMatchesGoldenFile(t *testing.T) {
	b := &handoverState{}
	golden.Fill(b)
	b.Module = json.RawMessage(`{"a":1}`)
	golden.RoundTripOf(t, "handover", b, encodeJSON[handoverState], decodeJSON[handoverState])
	require.Equal(t, "handover.sock learnt", handoverSocket+" "+snapshotPart)
}

// The orders that go to the leader, its replies and what the console shows of them have the recorded bytes.
func TestConsensusCallsMatchGoldenFiles(t *testing.T) {
	golden.RoundTrip(t, "order", func(o *order) ([]byte, error) { return cbor.Marshal(*o) }, func(raw []byte) (*order, error) {
		o := &order{}
		return o, cbor.Unmarshal(raw, o)
	})
	golden.RoundTrip(t, "reply", func(a *reply) ([]byte, error) { return cbor.Marshal(*a) }, func(raw []byte) (*reply, error) {
		a := &reply{}
		return a, cbor.Unmarshal(raw, a)
	})
	golden.RoundTrip(t, "agreed", encodeJSON[leaderStatus], decodeJSON[leaderStatus])
	here := &nodeStatus{}
	golden.Fill(here)
	here.Leader = json.RawMessage(`{"a":1}`)
	golden.RoundTripOf(t, "here", here, encodeJSON[nodeStatus], decodeJSON[nodeStatus])
	require.Equal(t, "o", string(rune(orderCallKind)))
}

// The figures that are there without a fleet file, and those of the membership, are written as recorded.
func TestMetricsMatchGoldenFile(t *testing.T) {
	s := newStats([]control.Class{{Name: "b"}, {Name: "a"}})
	s.countAnswer("a", 200)
	s.countAnswer("a", 503)
	s.countAnswer("b", 500)
	var out strings.Builder
	s.write(&out)
	writePeerMetrics(&out, &membership.Counts{})
	golden.CheckText(t, "figures", out.String())
}
