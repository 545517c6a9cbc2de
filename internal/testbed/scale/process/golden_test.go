package process

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/config"
	"sloestile/internal/golden"
)

// The fleet file that a node is given has the recorded keys, and the node's program takes it; so does one with no
// more than peers in it.
func TestFleetFileIsAsRecorded(t *testing.T) {
	whole := &fleetFile{Regions: map[string][]string{"gulf": {"z1", "z2"}},
		Peers:  &peersSection{Label: "gulf", Port: 7946, Seeds: []string{"127.0.0.1:7946"}, Limits: true, Via: map[string]string{"127.0.0.1:7946": "127.0.0.1:7947"}},
		Subset: &subsetSection{Servers: 200}}
	for name, f := range map[string]*fleetFile{"fleet": whole, "fleet-least": {Peers: &peersSection{Label: "gulf", Port: 7946, Via: map[string]string{}}}} {
		path, err := writeFleet(t.TempDir(), f)
		require.NoError(t, err)
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		golden.CheckText(t, name, string(raw))
		_, err = config.LoadFleet(path)
		require.NoError(t, err)
	}
}
