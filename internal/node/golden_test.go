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

// decodeJSON and encodeJSON are the codecs of the golden files in JSON.
func decodeJSON[T any](raw []byte) (*T, error) {
	v := new(T)
	return v, json.Unmarshal(raw, v)
}

func encodeJSON[T any](v *T) ([]byte, error) { return json.MarshalIndent(v, "", " ") }

// The encoding of the state that a process hands over or stores must not change: the next process may be of another
// version.
func TestHandoverStateMatchesGoldenFile(t *testing.T) {
	state := &handoverState{}
	golden.Fill(state)
	state.Module = json.RawMessage(`{"a":1}`)
	golden.RoundTripOf(t, "handover", state, encodeJSON[handoverState], decodeJSON[handoverState])
	require.Equal(t, "handover.sock learnt", handoverSocket+" "+snapshotPart)
}

// The encodings of orders, replies and the console's status must not change: nodes of other versions and operators'
// tools read them.
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
	status := &nodeStatus{}
	golden.Fill(status)
	status.Leader = json.RawMessage(`{"a":1}`)
	golden.RoundTripOf(t, "here", status, encodeJSON[nodeStatus], decodeJSON[nodeStatus])
	require.Equal(t, "o", string(rune(orderCallKind)))
}

// The metrics that are available without a fleet file, and those of the membership, must not change their text.
func TestMetricsMatchGoldenFile(t *testing.T) {
	metrics := newStats([]control.Class{{Name: "b"}, {Name: "a"}})
	metrics.countResponse("a", 200)
	metrics.countResponse("a", 503)
	metrics.countResponse("b", 500)
	var out strings.Builder
	metrics.write(&out)
	writePeerMetrics(&out, &membership.Counts{})
	golden.CheckText(t, "figures", out.String())
}
