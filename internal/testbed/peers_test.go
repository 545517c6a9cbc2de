package testbed

import (
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The fleet file of a node has the subset that the scenario switches on, and nothing of it otherwise.
func TestFleetFileHasTheSubset(t *testing.T) {
	for set, want := range map[string]any{"on.subset = 8": map[string]any{"servers": int64(8)}, "on.zones = true": nil} {
		d := small(t, set)
		p, n := &play{day: d}, &node{Node: d.Nodes[0], dir: t.TempDir()}
		require.NoError(t, p.writeFleet(n, nil))
		raw, err := os.ReadFile(n.fleet)
		require.NoError(t, err)
		var file map[string]any
		require.NoError(t, toml.Unmarshal(raw, &file))
		assert.Equal(t, want, file["subset"], set)
	}
}
