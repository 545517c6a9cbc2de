package transport

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// The head of a stream and a call's body have the recorded bytes.
func TestHeadIsAsRecorded(t *testing.T) {
	var out bytes.Buffer
	h := header{}
	golden.Fill(&h)
	require.NoError(t, writeHeader(&out, kindCall, h))
	require.NoError(t, writeBody(&out, []byte("body")))
	golden.Check(t, "call", out.Bytes())
	kind, back, err := readHeader(&out)
	require.NoError(t, err)
	require.Equal(t, byte(kindCall), kind)
	require.Equal(t, h, back)
	body, err := readBody(&out)
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
}

// The kinds of streams have the recorded bytes.
func TestKindsAreAsRecorded(t *testing.T) {
	golden.Check(t, "kinds", []byte{kindRaft, kindCall})
}
