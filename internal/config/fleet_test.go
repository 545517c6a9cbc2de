package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLoadFleetNamesInvalidKeyOnOneLine(t *testing.T) {
	good := "[peers]\nlabel = \"x\"\nport = 7946\nseeds = [\"127.0.0.1:7946\"]\n"
	for text, want := range map[string]string{
		"":                                   "",
		good:                                 "",
		"[regions]\ngulf = [\"a\", \"b\"]\n": "",
		"speed = 1":                          "line 1: unknown key speed",
		"\n\n[peers]\nport = \"x\"":          "line 4: ",
		"[peers]\nport = 7946":               "peers.label",
		"[peers]\nlabel = \"x\"":             "peers.port: 0",
		good + "via = {\"a\" = \"b:1\"}":     "peers.via",
		strings.Replace(good, "127.0.0.1:7946", "127.0.0.1:99999", 1): "peers.seeds",
		"[regions]\ng = [\"a\"]\nh = [\"a\"]\n":                       "zone a is in",
		"[state]\ndir = \"x\"":                                        "state.dir",
		"[zones]\nleave = true":                                       "zones.leave",
		"[peers":                                                      "fleet file",
		"[subset]":                                                    "",
		"[subset]\nservers = 6\nzone_least = 0\nlist_most = 40": "",
		"[subset]\nservers = 0":                                 "subset.servers: 0",
		"[subset]\nservers = 4097":                              "subset.servers: 4097 is not in 1 to 4096",
		"[subset]\nzone_least = -1":                             "subset.zone_least: -1",
		"[subset]\nzone_least = 65":                             "subset.zone_least: 65",
		"[subset]\nlist_most = 199":                             "subset.list_most: 199 is not in 200",
		"[subset]\nlist_most = 0":                               "subset.list_most: 0",
		"[subset]\nservers = \"6\"":                             "line 2: ",
		"[subset]\nserver = 6":                                  "unknown key subset.server",
	} {
		path := filepath.Join(t.TempDir(), "fleet.toml")
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		_, err := LoadFleet(path)
		if want == "" {
			assert.NoError(t, err, text)
			continue
		}
		var fileErr *FleetFileError
		require.ErrorAs(t, err, &fileErr, text)
		assert.Contains(t, err.Error(), want)
		assert.NotContains(t, err.Error(), "\n")
	}
}
