package transport

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// A call's stream, header and body, has the bytes in the golden file, so that nodes with different versions of the
// program understand each other.
func TestCallMatchesGoldenFile(t *testing.T) {
	var out bytes.Buffer
	h := header{}
	golden.Fill(&h)
	require.NoError(t, writeHeader(&out, kindCall, h))
	require.NoError(t, writeBody(&out, []byte("body")))
	golden.Check(t, "call", out.Bytes())
	kind, decoded, err := readHeader(&out)
	require.NoError(t, err)
	require.Equal(t, byte(kindCall), kind)
	require.Equal(t, h, decoded)
	body, err := readBody(&out)
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
}

// The bytes for the kinds of streams are those in the golden file.
func TestStreamKindsMatchGoldenFile(t *testing.T) {
	golden.Check(t, "kinds", []byte{kindRaft, kindCall})
}
