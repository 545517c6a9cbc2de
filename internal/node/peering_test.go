package node

import (
	"testing"

	"sloestile/internal/config"
)

// A fleet file alone does not make nodes talk: the settings have to allow it.
func TestPeersStayOffUnlessSettingsAllowThem(t *testing.T) {
	cfg, err := config.Load("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Fleet = &config.Fleet{Peers: &config.Peers{Label: "x", Port: 1}}
	on, err := startPeersFunc(cfg, nil)
	if on != nil || err != nil {
		t.Error("peers against the settings", err)
	}
}
