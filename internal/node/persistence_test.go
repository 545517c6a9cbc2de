package node

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/internal/config"
	"sloestile/internal/store"
	"sloestile/internal/store/disk"
	"sloestile/internal/store/disk/faulty"
)

// end stops a node and waits for its end.
func (r *rig) end() {
	r.stop()
	select {
	case err := <-r.ended:
		r.ended <- err
	case <-time.After(patience):
		r.t.Fatal("the node did not end")
	}
}

// What a customer has used is not granted again by the next process, whether the one before ended
// as planned or left only what was on the disk; spoilt, it starts as from nothing.
func TestStoresOutliveTheProcess(t *testing.T) {
	for _, how := range []string{"planned", "killed", "spoilt", "off"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			app, dir := newApp(t, served), t.TempDir()
			with := func(c *config.Config) {
				if c.Settings.FleetSize = 1; how != "off" {
					c.Fleet = &config.Fleet{State: &config.State{Dir: dir}}
				}
			}
			a := newRigWith(t, with)
			a.list(app.target("a", 1))
			for i := 0; askBasic(a, fmt.Sprint("a", i), 1, 1) == http.StatusOK; i++ {
				if i > 20 {
					t.Fatal("the store is never empty")
				}
			}
			state := filepath.Join(dir, "state")
			if how == "killed" {
				a.wait("a state on the disk", func() bool {
					return a.node.loop.persistence.writtenAt.Load() > 0 && !a.node.loop.persistence.checkpoints.Due()
				})
				raw, err := os.ReadFile(state)
				if err != nil {
					t.Fatal(err)
				}
				a.end()
				if err := os.WriteFile(state, raw, 0o600); err != nil { // as if nothing had come after
					t.Fatal(err)
				}
			}
			a.end()
			if how == "spoilt" {
				if err := os.Truncate(state, 30); err != nil {
					t.Fatal(err)
				}
			}
			b := newRigWith(t, with)
			b.list(app.target("a", 1))
			want := http.StatusServiceUnavailable
			if how == "spoilt" || how == "off" {
				want = http.StatusOK
			}
			if got := askBasic(b, "b", 4, 1); got != want {
				t.Errorf("the next process answers %d, wanted %d", got, want)
			}
			names, err := os.ReadDir(dir)
			if err != nil || how == "off" && len(names) > 0 {
				t.Errorf("off, the folder holds %v, %v", names, err)
			}
			if how != "off" {
				var text strings.Builder
				writeRegistry(&text, b.node.loop.metrics)
				if !strings.Contains(text.String(), "node_state_restored_total") {
					t.Error("the figures lack what was restored")
				}
			}
		})
	}
}

// A process that finds the folder in use serves all the same, and keeps its state when the one
// before has ended, with what that one had marked.
func TestFolderInUse(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	with := func(c *config.Config) { c.Fleet = &config.Fleet{State: &config.State{Dir: dir}} }
	app := newApp(t, served)
	a := newRigWith(t, with)
	a.list(app.target("a", 1))
	if got := askBasic(a, "a", 4, 1); got != http.StatusOK {
		t.Fatalf("answered %d", got)
	}
	b := newRigWith(t, with)
	b.list(app.target("a", 1))
	b.wait("no folder", func() bool { return b.node.loop.persistence.persister == nil })
	a.end()
	b.wait("the folder", func() bool { return b.node.loop.persistence.persister != nil })
	req := b.call(http.MethodGet, "/roster-read", "b") // another customer's
	if resp, _ := b.do(req); resp.StatusCode != http.StatusOK {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	b.wait("a state of its own", func() bool { return b.node.loop.persistence.writtenAt.Load() > 0 })
	b.end()
	f, err := store.Open(disk.Local{}, dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	s, err := f.Read()
	if err != nil || !slices.ContainsFunc(s.Checkpoints, func(r store.Checkpoint) bool { return r.Plan == "basic" }) {
		t.Errorf("the state lacks the mark of the process before: %+v, %v", s, err)
	}
}

// A disk that stands still holds up neither the start nor a request; when it goes on, the state is kept, with what was marked there before.
func TestDiskThatStandsStill(t *testing.T) {
	dir, drive := t.TempDir(), t.TempDir()
	lies, err := faulty.New(disk.Local{}, drive)
	require.NoError(t, err)
	with := func(c *config.Config) { c.Fleet, c.Disk = &config.Fleet{State: &config.State{Dir: dir}}, lies }
	app := newApp(t, served)
	a := newRigWith(t, with)
	a.list(app.target("a", 1))
	require.Equal(t, http.StatusOK, askBasic(a, "a", 4, 1))
	a.end()
	require.NoError(t, faulty.SetFaults(drive, faulty.Faults{Stalled: true}))
	b := newRigWith(t, with)
	b.list(app.target("a", 1))
	req := b.call(http.MethodGet, "/roster-read", "b") // another customer's
	resp, _ := b.do(req)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, faulty.SetFaults(drive, faulty.Faults{}))
	b.wait("the folder", func() bool { return b.node.loop.persistence.persister != nil })
	resp, _ = b.do(b.call(http.MethodGet, "/roster-read", "c"))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	b.wait("a state of its own", func() bool { return b.node.loop.persistence.writtenAt.Load() > 0 })
	b.end()
	f, err := store.Open(disk.Local{}, dir, "n0")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	s, err := f.Read()
	require.NoError(t, err)
	require.True(t, slices.ContainsFunc(s.Checkpoints, func(r store.Checkpoint) bool { return r.Plan == "basic" }), "the mark of before is gone: %+v", s)
}
