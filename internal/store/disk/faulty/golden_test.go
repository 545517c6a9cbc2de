package faulty

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// SetFaults writes the file and the JSON keys in the golden file, so that a testbed can control a process of another
// version of the program.
func TestFaultsMatchGoldenFile(t *testing.T) {
	var f Faults
	golden.Fill(&f)
	dir := t.TempDir()
	require.NoError(t, SetFaults(dir, f))
	raw, err := os.ReadFile(filepath.Join(dir, "faults.json"))
	require.NoError(t, err)
	golden.CheckText(t, "faults", string(raw)+"\n")
	var decoded Faults
	require.NoError(t, json.Unmarshal(raw, &decoded))
	require.Equal(t, f, decoded)
	require.Equal(t, "LAB_DISK", EnvVariable)
}

// Undo records of each kind are written with the JSON keys in the golden file and read back, so that a testbed can
// simulate a loss of power for a process of another version of the program.
func TestUndoRecordsMatchGoldenFile(t *testing.T) {
	var full undoRecord
	golden.Fill(&full)
	full.Backup = 1
	records := []undoRecord{full}
	for _, kind := range []string{kindCreate, kindTruncate, kindChange, kindRename, kindRemove, kindSync} {
		records = append(records, undoRecord{Kind: kind})
	}
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "kept-1"), []byte("old"), 0o600))
	l, err := openUndoLog(dir)
	require.NoError(t, err)
	for _, r := range records {
		require.NoError(t, l.add(r))
	}
	raw, err := os.ReadFile(filepath.Join(dir, "undo"))
	require.NoError(t, err)
	golden.CheckText(t, "undo", string(raw))
	decoded, err := readUndoRecords(dir)
	require.NoError(t, err)
	require.Equal(t, records, decoded)
	require.NoError(t, writeUndoRecords(dir, records))
	again, err := os.ReadFile(filepath.Join(dir, "undo"))
	require.NoError(t, err)
	require.Equal(t, string(raw), string(again))
}
