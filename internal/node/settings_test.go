package node

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/internal/config"
)

// writeConfigWith writes the test configuration with a changed value at a dotted path, and returns the file's path. A
// nil value removes the key.
func writeConfigWith(t *testing.T, path string, value any) string {
	raw, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	var tree map[string]any
	require.NoError(t, json.Unmarshal(raw, &tree))
	tree["listen"] = "127.0.0.1:0"
	keys := strings.Split(path, ".")
	var at any = tree
	for _, k := range keys[:len(keys)-1] {
		if list, ok := at.([]any); ok {
			at = list[k[0]-'0']
		} else {
			at = at.(map[string]any)[k]
		}
	}
	if last := keys[len(keys)-1]; value == nil {
		delete(at.(map[string]any), last)
	} else {
		at.(map[string]any)[last] = value
	}
	raw, err = json.Marshal(tree)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, raw, 0o600))
	return file
}

// hundredClasses returns the settings of a hundred valid classes.
func hundredClasses() (all []any) {
	for i := range 100 {
		all = append(all, map[string]any{"name": fmt.Sprint("class-", i), "aim": 100, "deadline": 200,
			"effect": []string{"free", "guarded", "single_shot"}[i%3], "worth": 1})
	}
	return all
}

// With keys that are missing, unknown or out of range, and with no class or a hundred, either the node starts or the
// configuration is rejected with a one-line error that names the key. A configuration that is accepted on SIGHUP is
// thus one that a node can start with.
func TestSettingsAreAcceptedOrErrorNamesKey(t *testing.T) {
	for _, x := range []struct {
		path    string
		value   any
		wantErr string // name of the key in the error; "" means that the configuration is accepted
	}{
		{"settings.classes", []any{}, "classes"},
		{"settings.classes", nil, "classes"},
		{"settings.classes", hundredClasses(), ""},
		{"settings.tariffs", nil, "plans"},
		{"settings.unheard-of", map[string]any{"of": []any{1, nil, "x"}}, ""},
		{"settings.azs", nil, ""},
		{"settings.azs", []any{"z1"}, ""},
		{"settings.zone", nil, ""},
		{"settings.self-index", nil, ""},
		{"settings.self-index", 2, "self index"},
		{"settings.self-index", -1, "self index"},
		{"settings.group-size", nil, "group size"},
		{"settings.group-size", 1e15, "group size"},
		{"settings.group-size", 1e300, "group size"},
		{"settings.group-size", 300, ""},
		{"settings.classes.0.name", nil, ""},
		{"settings.classes.0.aim", nil, "aim"},
		{"settings.classes.0.aim", 0, "aim"},
		{"settings.classes.0.deadline", -1, "deadline"},
		{"settings.classes.0.deadline", 1e300, "deadline"},
		{"settings.classes.0.worth", -1, "worth"},
		{"settings.classes.0.worth", "1e999", "worth"},
		{"settings.classes.0.worth", "NaN", "worth"},
		{"settings.classes.0.effect", nil, "effect"},
		{"settings.classes.0.effect", "single_shot", ""},
		{"settings.classes.1.effect", "free", ""},
		{"settings.classes.1.key-scope", "moon", "key-scope"},
		{"settings.classes.1.key-scope", nil, ""},
		{"settings.classes.1.repeat-window", 0, ""},
		{"settings.classes.1.repeat-window", nil, ""},
		{"settings.classes.1.repeat-window", 100, ""}, // shorter than the connect timeout
		{"settings.classes.1.repeat-window", -1, "repeat window"},
		{"settings.tariffs.0.quota-rate", -1, "rate"},
		{"settings.tariffs.0.name", nil, ""},
		{"settings.contract", nil, ""},
		{"settings.contract.drain-grace", nil, ""},
		{"settings.contract.drain-grace", -1, "drain grace"},
		{"settings.contract.drain-grace", 1e300, "drain-grace"},
		{"settings.contract.cold-from", -1, "cold from"},
		{"settings.limits", nil, ""},
		{"settings.limits.connect-timeout", 0, "connect-timeout"},
		{"settings.limits.connect-timeout", 1e300, "connect-timeout"},
		{"settings.limits.keepalive", "Inf", "keepalive"},
		{"settings.limits.send-cap", -1, "send cap"},
		{"settings.limits.may-cancel", "perhaps", "may-cancel"},
		{"settings.limits.max-retry-after", nil, ""},
		{"settings.domain", nil, ""},
		{"settings.clients", 5, ""},
		{"limits", nil, ""},
		{"limits.sockets", 1, ""},
		{"limits.sockets", -1, "limits.sockets"},
		{"limits.memory_mb", -1, "limits.memory_mb"},
		{"limits.memory_mb", 1 << 50, "limits.memory_mb"},
		{"limits.cores", -1, "limits.cores"},
		{"limits.cores", 1e300, "limits.cores"},
		{"known", nil, ""},
		{"known.targets", nil, ""},
		{"known.targets", []any{nil}, "known"},
		{"settings", []any{}, "settings"},
		{"settings", nil, "settings"},
	} {
		value, _ := json.Marshal(x.value)
		t.Run(fmt.Sprintf("%s=%.20s", x.path, value), func(t *testing.T) {
			cfg, err := config.Load(writeConfigWith(t, x.path, x.value))
			if x.wantErr != "" {
				var wrong *config.FileError
				require.ErrorAs(t, err, &wrong)
				require.Contains(t, err.Error(), x.wantErr)
				require.NotContains(t, err.Error(), "\n")
				return
			}
			require.NoError(t, err)
			n, err := New(cfg)
			require.NoError(t, err)
			n.finish(time.Millisecond)
			require.ErrorIs(t, n.listener.Close(), net.ErrClosed)
			require.Positive(t, cfg.ServerConnectTimeout)
			require.Positive(t, n.upstream.maxIdleAge)
			require.Positive(t, n.drainTimeout)
			// The values must be in the ranges that TestDelaysAreNeverNegative of package discovery covers.
			require.GreaterOrEqual(t, cfg.Settings.DrainGrace, time.Duration(0))
			require.Positive(t, cfg.Settings.FleetSize)
		})
	}
}
