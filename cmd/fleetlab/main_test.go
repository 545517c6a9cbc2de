package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloestile/internal/testbed/proc"
)

// The test's own program stands for fleetlab where this is set.
const selfVariable = "FLEETLAB_TEST_SELF"

func TestMain(m *testing.M) {
	proc.ReapIfAsked()
	if os.Getenv(selfVariable) != "" {
		_ = os.Unsetenv(selfVariable) // not the reaper's
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// fleetlab starts the tool from the repository's root with a folder of its own for what it writes.
func fleetlab(t *testing.T, args ...string) (c *exec.Cmd, tmp string) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	tmp = t.TempDir()
	c = exec.Command(self, args...)
	c.Dir = "../.."
	c.Env = append(os.Environ(), selfVariable+"=1", "TMPDIR="+tmp)
	return c, tmp
}

func TestWhatCannotBePlayedExitsWithTwo(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"bad\"\nsped = 1\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		args []string
		want string
	}{
		{[]string{"run", "scenarios/none.toml"}, "no such file"},
		{[]string{"run", bad}, "line 2: unknown key sped"},
		{[]string{"run", "scenarios/calm.toml", "--no-build", "--set", "fleet.nodes = 250", "--set", "fleet.servers = 250"}, "descriptors"},
		{[]string{"run", "scenarios/calm.toml", "--speed"}, "unknown flag"},
		{[]string{"compare", "scenarios/calm.toml", "--seeds", "5..1"}, "not A..B"},
	} {
		c, _ := fleetlab(t, x.args...)
		var out bytes.Buffer
		c.Stderr = &out
		err := c.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != exitUnable || !strings.Contains(out.String(), x.want) {
			t.Errorf("%v: %v, %q; wanted exit 2 and %q", x.args, err, out.String(), x.want)
		}
	}
}

// A tool that is killed outright leaves no process and no file.
func TestNothingOutlivesAKilledTool(t *testing.T) {
	c, tmp := fleetlab(t, "run", "scenarios/calm.toml", "--set", "fleet.nodes = 6")
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	wait := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("waited in vain for %s; left: %v", what, children(tmp))
			}
		}
	}
	wait("six nodes", func() bool { return len(children(tmp)) >= 6 })
	_ = c.Process.Kill()
	_ = c.Wait()
	wait("the nodes' end", func() bool { return len(children(tmp)) == 0 })
	wait("an empty folder", func() bool { left, _ := os.ReadDir(tmp); return len(left) == 0 })
}

// children lists the processes whose environment names a folder below tmp as their own.
func children(tmp string) (pids []string) {
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range all {
		if raw, err := os.ReadFile(path); err == nil && bytes.Contains(raw, []byte("NODE_CONFIG="+tmp)) {
			pids = append(pids, filepath.Base(filepath.Dir(path)))
		}
	}
	return pids
}
