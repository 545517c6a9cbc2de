package control

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The deploy file lists each source file of the package that makes decisions, and no source line of the
// package is longer than 110 characters.
func TestDeployFileListsDecidingSources(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	require.NoError(t, err)
	_, list, _ := strings.Cut(string(deploy), "policy = [")
	list, _, _ = strings.Cut(list, "]")
	listed := map[string]bool{}
	for _, name := range strings.Split(list, ",") {
		listed[strings.TrimPrefix(strings.Trim(name, " \""), "control/")] = true
	}
	interfaces := map[string]bool{"doc.go": true, "settings.go": true, "events.go": true, "actions.go": true}
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		assert.NotEqual(t, interfaces[name], listed[name],
			"%s must either be listed as policy or declare only the package's interface; it is listed: %v",
			name, listed[name])
		delete(listed, name)
		source, err := os.ReadFile(name)
		require.NoError(t, err)
		for i, line := range strings.Split(string(source), "\n") {
			assert.LessOrEqual(t, len([]rune(line)), 110, "%s:%d", name, i+1)
		}
	}
	assert.Empty(t, listed, "policy lists files that do not exist")
}

func TestNewNamesInvalidSetting(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"classes":    func(s *Settings) { s.Classes = nil },
		"plans":      func(s *Settings) { s.Plans = nil },
		"self index": func(s *Settings) { s.NodeIndex = 2 },
		"group size": func(s *Settings) { s.FleetSize = 0 },
		"rate":       func(s *Settings) { s.Plans[0].Rate = -1 },
		"price":      func(s *Settings) { s.Plans[1].PriceFactor = math.NaN() },
		"depth":      func(s *Settings) { s.Plans[1].Burst = math.Inf(1) },
		"aim":        func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
	} {
		s := testSettings()
		invalidate(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: New returned error %v", field, err)
		}
	}
}
