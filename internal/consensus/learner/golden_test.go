package learner

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
	"sloestile/internal/store/disk"
)

func encodeAs[T any](v *T) ([]byte, error) { return encoder.Marshal(*v) }

func decodeAs[T any](raw []byte) (*T, error) {
	v := new(T)
	return v, decoder.Unmarshal(raw, v)
}

// What learners say to each other has the recorded bytes and kinds.
func TestMessagesAreAsRecorded(t *testing.T) {
	golden.RoundTrip(t, "want", encodeAs[partRequest], decodeAs[partRequest])
	golden.RoundTrip(t, "part", encodeAs[textPart], decodeAs[textPart])
	golden.RoundTrip(t, "told", encodeAs[statusReport], decodeAs[statusReport])
	golden.Check(t, "kinds", []byte{kindRules, kindPartRequest, kindPart, kindStatus, StateMachineKind})
}

// The mark of the version acted by has the recorded name and bytes.
func TestMarkIsAsRecorded(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, writeHighWaterMark(disk.Local{}, dir, "n1", 42))
	raw, err := os.ReadFile(filepath.Join(dir, "acted"))
	require.NoError(t, err)
	golden.Check(t, "mark", raw)
	number, err := readHighWaterMark(disk.Local{}, dir, "n1")
	require.NoError(t, err)
	require.EqualValues(t, 42, number)
}
