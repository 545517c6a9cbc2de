package testbed

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
	"sloestile/internal/testbed/scenario"
)

// The settings that a node is given have the recorded keys and values.
func TestSettingsAreAsRecorded(t *testing.T) {
	f, err := scenario.Read("../../scenarios/calm.toml")
	require.NoError(t, err)
	d, err := f.Draw(1)
	require.NoError(t, err)
	p := &play{day: d}
	raw, err := json.MarshalIndent(p.settings(&node{Node: d.Nodes[1], index: 1}), "", " ")
	require.NoError(t, err)
	golden.CheckText(t, "settings", string(raw)+"\n")
}

// A deploy file is read by the recorded keys, which are at the recorded place.
func TestDeployFileIsReadAsRecorded(t *testing.T) {
	root := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(root, "deploy"), 0o755))
	require.NoError(t, os.WriteFile(filepath.Join(root, "deploy", "balancer.toml"), []byte("build = \"make\"\nrun = \"exec bin/edgenode\"\n"), 0o644))
	d, err := ReadDeploy(root)
	require.NoError(t, err)
	require.Equal(t, []string{root, "make", "exec bin/edgenode"}, []string{d.Root, d.Build, d.Run})
}
