package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func lastLine(out []byte) string {
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	return lines[len(lines)-1]
}

func exitCode(err error) int {
	if exit, ok := errors.AsType[*exec.ExitError](err); ok {
		return exit.ExitCode()
	}
	return 0
}

func TestScaleMeasuresWhatIsAskedFor(t *testing.T) {
	dir := t.TempDir()
	c, _ := fleetlab(t, "scale", "--quick", "--only", "list-bytes", "--json", filepath.Join(dir, "all.json"), "--report", dir)
	out, err := c.Output()
	require.NoError(t, err)
	assert.Contains(t, string(out), "list-bytes/change  B ")
	assert.NotContains(t, string(out), "plain/request-cpu")
	assert.Regexp(t, "^PASS scale: quick, 1 costs", lastLine(out))
	for _, name := range []string{"all.json", "list-bytes-change.png"} {
		_, err := os.Stat(filepath.Join(dir, name))
		assert.NoError(t, err)
	}
}

func TestScaleThatIsStoppedFails(t *testing.T) {
	c, _ := fleetlab(t, "scale", "--quick", "--only", "servers", "--most", "1ms")
	var told strings.Builder
	c.Stderr = &told
	out, err := c.Output()
	assert.Equal(t, exitFailed, exitCode(err))
	assert.Contains(t, told.String(), "stopped: run time")
	assert.Regexp(t, "^FAIL scale: stopped after ", lastLine(out))
}

func TestScaleThatCannotBeMeasuredExitsWithTwo(t *testing.T) {
	for _, args := range [][]string{{"--only", "nothing"}, {"--seeds", "3..1"}, {"--fast"}} {
		c, _ := fleetlab(t, append([]string{"scale", "--quick"}, args...)...)
		_, err := c.Output()
		assert.Equal(t, exitUnable, exitCode(err), args)
	}
}

// What is declared can be added up and told apart.
func TestSweepsNameTheirCostsOnce(t *testing.T) {
	costs := make(map[string]bool)
	for _, s := range sweeps() {
		assert.GreaterOrEqual(t, len(s.Sizes), 4, s.Name)
		assert.GreaterOrEqual(t, s.Sizes[len(s.Sizes)-1], 100*s.Sizes[0], "%s: two decades", s.Name)
		assert.GreaterOrEqual(t, len(s.Quick), 2, s.Name)
		for _, c := range s.Costs {
			assert.False(t, costs[c.Name], c.Name)
			costs[c.Name] = true
		}
	}
}

// The parts of the quick form hold each sweep and event once, and the run passes only where all of them do.
func TestPartsAreTheWhole(t *testing.T) {
	names := make(map[string]int)
	parts := divideScale(scaleParts)
	for _, part := range parts {
		for _, name := range part.names {
			names[name]++
		}
	}
	for _, s := range sweeps() {
		assert.Equal(t, 1, names[s.Name], s.Name)
	}
	for _, e := range events() {
		assert.Equal(t, 1, names[e.Name], e.Name)
	}
	assert.Len(t, names, len(sweeps())+len(events()))

	var out strings.Builder
	for i := range parts {
		parts[i].result = scalePartResult{Passed: true, Last: "PASS"}
	}
	require.NoError(t, printParts(&out, parts, time.Second))
	parts[1].result = scalePartResult{Last: "FAIL scale: stopped after 1s"}
	require.ErrorIs(t, printParts(&out, parts, time.Second), errFailed)
	assert.Equal(t, "FAIL scale: stopped after 1s", lastLine([]byte(out.String())))
}
