package config

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/control"
)

func TestLoadReadsConfiguration(t *testing.T) {
	c, err := Load("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Seed != 0x8c1f30d27a5be964 || c.MaxSockets != 1024 || c.MemoryMB != 192 || c.KnownServers.Rev != 7 ||
		c.ServerKeepalive != 15*time.Second || c.ServerConnectTimeout != 250*time.Millisecond {
		t.Errorf("configuration: %+v", c)
	}
	if small := maxTenants(32); s.MaxTenants != maxTenants(192) || small < 1500 || small*tenantBytes > 32<<20/4 {
		t.Errorf("at most %d tenants with 192 MB, %d with 32 MB", s.MaxTenants, small)
	}
	if s.FleetSize != 2 || !s.ResponsesReportTokens || !s.ClientsMarkRetries || s.MaxAttempts != 6 || s.SlowStartDuration != 15*time.Second ||
		len(s.Classes) != 2 || len(s.Plans) != 2 {
		t.Errorf("settings %+v", s)
	}
	if k := s.Classes[1]; k.Idempotency != control.IdempotentByKey || k.KeyScope != control.KeyScopeCell || k.LatencyObjective != 2*time.Second {
		t.Errorf("class %+v", k)
	}
	if p := s.Plans[0]; p.Rate != 0.5 || p.Burst != 8 || p.OverQuotaCost != 0.6 {
		t.Errorf("plan %+v", p)
	}
}

func TestLoadNamesTheInvalidKey(t *testing.T) {
	good, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct{ old, new, want string }{
		"not JSON":            {`{"name"`, `{name`, "invalid"},
		"no address":          {`"127.0.0.1:0"`, `""`, "listen"},
		"no port":             {`"127.0.0.1:1"`, `"127.0.0.1"`, "discovery"},
		"invalid seed":        {"8c1f30d27a5be964", "xyz", "seed"},
		"invalid number":      {`"aim": 2000.0`, `"aim": "soon"`, "aim"},
		"unknown idempotency": {`"guarded"`, `"maybe"`, "effect"},
		"negative duration":   {`"keepalive": 15000.0`, `"keepalive": -1`, "keepalive"},
		"invalid server list": {`"targets": []`, `"targets": [{"state": "up"}]`, "known"},
		"no settings":         {`"settings"`, `"unsettled"`, "settings"},
		"wrong type":          {`"cores": 1.0`, `"cores": "many"`, "Cores"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(strings.Replace(string(good), tc.old, tc.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(path)
			var fileErr *FileError
			require.ErrorAs(t, err, &fileErr)
			assert.Equal(t, path, fileErr.File)
			assert.Contains(t, err.Error(), tc.want)
		})
	}
	_, err = Load(filepath.Join(t.TempDir(), "none"))
	assert.ErrorIs(t, err, fs.ErrNotExist)
}

// Environment variables override the file, and an error names the variable with an invalid value.
func TestEnvironmentOverridesFile(t *testing.T) {
	env := map[string]string{"NODE_CONSOLE": "127.0.0.1:9", "NODE_SOCKET_FD": "5"}
	c, err := Load("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.FromEnvironment(func(n string) string { return env[n] }); err != nil || c.Console != "127.0.0.1:9" || c.SocketFD != 5 {
		t.Errorf("error %v, console %q, descriptor %d", err, c.Console, c.SocketFD)
	}
	for name, value := range map[string]string{"NODE_CONSOLE": "nowhere", "NODE_SOCKET_FD": "five", "NODE_LISTEN": "x"} {
		err := c.FromEnvironment(func(n string) string {
			if n == name {
				return value
			}
			return ""
		})
		var envErr *EnvironmentError
		require.ErrorAs(t, err, &envErr, "%s=%s", name, value)
		assert.Equal(t, name, envErr.Variable)
	}
}
