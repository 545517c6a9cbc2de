package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// A configuration file and a fleet file that set every key are decoded as recorded, so that a rename in the code does
// not change a key of the files.
func TestFilesWithEveryKeyMatchGolden(t *testing.T) {
	c, err := Load("testdata/every-key.json")
	require.NoError(t, err)
	golden.CheckText(t, "every-key-config", golden.Values(c))
	f, err := LoadFleet("testdata/every-key.toml")
	require.NoError(t, err)
	golden.CheckText(t, "every-key-fleet", golden.Values(f))
}
