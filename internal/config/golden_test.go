package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// A configuration and a fleet file with every key are read as recorded.
func TestFilesWithEveryKeyMatchGolden(t *testing.T) {
	c, err := Load("testdata/every-key.json")
	require.NoError(t, err)
	golden.CheckText(t, "every-key-config", golden.Values(c))
	f, err := LoadFleet("testdata/every-key.toml")
	require.NoError(t, err)
	golden.CheckText(t, "every-key-fleet", golden.Values(f))
}
