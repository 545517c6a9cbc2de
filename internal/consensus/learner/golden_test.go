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

// The messages between learners have the encoding and the kinds in the golden files, so that nodes with different
// versions of the program understand each other.
func TestMessagesMatchGoldenFiles(t *testing.T) {
	golden.RoundTrip(t, "want", encodeAs[partRequest], decodeAs[partRequest])
	golden.RoundTrip(t, "part", encodeAs[textPart], decodeAs[textPart])
	golden.RoundTrip(t, "told", encodeAs[statusReport], decodeAs[statusReport])
	golden.Check(t, "kinds", []byte{kindRules, kindPartRequest, kindPart, kindStatus, StateMachineKind})
}

// The file of the high-water mark has the name and the encoding in the golden file, so that a new version of the
// program reads the one that an older version wrote.
func TestHighWaterMarkFileMatchesGoldenFile(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, writeHighWaterMark(disk.Local{}, dir, "n1", 42))
	raw, err := os.ReadFile(filepath.Join(dir, "acted"))
	require.NoError(t, err)
	golden.Check(t, "mark", raw)
	number, err := readHighWaterMark(disk.Local{}, dir, "n1")
	require.NoError(t, err)
	require.EqualValues(t, 42, number)
}
