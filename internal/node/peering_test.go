package node

import (
	"testing"

	"sloestile/internal/config"
)

// A fleet file alone must not start the membership: the settings have to allow it too.
func TestPeersStayOffUnlessSettingsAllowThem(t *testing.T) {
	cfg, err := config.Load("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Fleet = &config.Fleet{Peers: &config.Peers{Label: "x", Port: 1}}
	on, err := startPeersFunc(cfg, nil)
	if on != nil || err != nil {
		t.Error("the membership can be started although the settings do not allow it", err)
	}
}
