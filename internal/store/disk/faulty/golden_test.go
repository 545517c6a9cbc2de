package faulty

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// The faults that a folder has in force are in the recorded file, under the recorded keys.
func TestFaultsAreAsRecorded(t *testing.T) {
	var f Faults
	golden.Fill(&f)
	dir := t.TempDir()
	require.NoError(t, SetFaults(dir, f))
	raw, err := os.ReadFile(filepath.Join(dir, "faults.json"))
	require.NoError(t, err)
	golden.CheckText(t, "faults", string(raw)+"\n")
	var back Faults
	require.NoError(t, json.Unmarshal(raw, &back))
	require.Equal(t, f, back)
	require.Equal(t, "LAB_DISK", EnvVariable)
}

// Notes of each kind are written to the recorded file, under the recorded keys, and read back.
func TestNotesAreAsRecorded(t *testing.T) {
	var full undo
	golden.Fill(&full)
	full.Kept = 1
	all := []undo{full}
	for _, kind := range []string{made, emptied, changed, moved, removed, synced} {
		all = append(all, undo{Kind: kind})
	}
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "kept-1"), []byte("old"), 0o600))
	j, err := openJournal(dir)
	require.NoError(t, err)
	for _, u := range all {
		require.NoError(t, j.add(u))
	}
	raw, err := os.ReadFile(filepath.Join(dir, "undo"))
	require.NoError(t, err)
	golden.CheckText(t, "undo", string(raw))
	back, err := notes(dir)
	require.NoError(t, err)
	require.Equal(t, all, back)
	require.NoError(t, write(dir, all))
	again, err := os.ReadFile(filepath.Join(dir, "undo"))
	require.NoError(t, err)
	require.Equal(t, string(raw), string(again))
}
