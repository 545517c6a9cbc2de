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
func (r *testNode) stopAndWait() {
	r.stop()
	select {
	case err := <-r.ended:
		r.ended <- err
	case <-time.After(testTimeout):
		r.t.Fatal("the node did not end")
	}
}

// What a customer has used is not granted again by the next process, whether the one before ended
// as planned or left only what was on the disk; spoilt, it starts as from nothing.
func TestTokenBucketsSurviveARestart(t *testing.T) {
	for _, mode := range []string{"planned", "killed", "spoilt", "off"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			server, dir := newTestServer(t, serveOK), t.TempDir()
			configure := func(c *config.Config) {
				if c.Settings.FleetSize = 1; mode != "off" {
					c.Fleet = &config.Fleet{State: &config.State{Dir: dir}}
				}
			}
			predecessor := newTestNodeWith(t, configure)
			predecessor.updateList(server.target("a", 1))
			for i := 0; requestBasicPlan(predecessor, fmt.Sprint("a", i), 1, 1) == http.StatusOK; i++ {
				if i > 20 {
					t.Fatal("the store is never empty")
				}
			}
			state := filepath.Join(dir, "state")
			if mode == "killed" {
				predecessor.waitUntil("a state on the disk", func() bool {
					return predecessor.node.loop.persistence.lastWrittenAt.Load() > 0 && !predecessor.node.loop.persistence.checkpoints.Due()
				})
				raw, err := os.ReadFile(state)
				if err != nil {
					t.Fatal(err)
				}
				predecessor.stopAndWait()
				if err := os.WriteFile(state, raw, 0o600); err != nil { // as if nothing had come after
					t.Fatal(err)
				}
			}
			predecessor.stopAndWait()
			if mode == "spoilt" {
				if err := os.Truncate(state, 30); err != nil {
					t.Fatal(err)
				}
			}
			successor := newTestNodeWith(t, configure)
			successor.updateList(server.target("a", 1))
			want := http.StatusServiceUnavailable
			if mode == "spoilt" || mode == "off" {
				want = http.StatusOK
			}
			if got := requestBasicPlan(successor, "b", 4, 1); got != want {
				t.Errorf("the next process answers %d, wanted %d", got, want)
			}
			names, err := os.ReadDir(dir)
			if err != nil || mode == "off" && len(names) > 0 {
				t.Errorf("off, the folder holds %v, %v", names, err)
			}
			if mode != "off" {
				var text strings.Builder
				writeRegistry(&text, successor.node.loop.metrics)
				if !strings.Contains(text.String(), "node_state_restored_total") {
					t.Error("the figures lack what was restored")
				}
			}
		})
	}
}

// A process that finds the folder in use serves all the same, and keeps its state when the one
// before has ended, with what that one had marked.
func TestStateFolderInUseAtStart(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	configure := func(c *config.Config) { c.Fleet = &config.Fleet{State: &config.State{Dir: dir}} }
	server := newTestServer(t, serveOK)
	predecessor := newTestNodeWith(t, configure)
	predecessor.updateList(server.target("a", 1))
	if got := requestBasicPlan(predecessor, "a", 4, 1); got != http.StatusOK {
		t.Fatalf("answered %d", got)
	}
	successor := newTestNodeWith(t, configure)
	successor.updateList(server.target("a", 1))
	successor.waitUntil("no folder", func() bool { return successor.node.loop.persistence.persister == nil })
	predecessor.stopAndWait()
	successor.waitUntil("the folder", func() bool { return successor.node.loop.persistence.persister != nil })
	req := successor.newRequest(http.MethodGet, "/roster-read", "b") // another customer's
	if resp, _ := successor.do(req); resp.StatusCode != http.StatusOK {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	successor.waitUntil("a state of its own", func() bool { return successor.node.loop.persistence.lastWrittenAt.Load() > 0 })
	successor.stopAndWait()
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
func TestStalledDiskDelaysNeitherStartNorRequests(t *testing.T) {
	dir, faultDir := t.TempDir(), t.TempDir()
	faultyDisk, err := faulty.New(disk.Local{}, faultDir)
	require.NoError(t, err)
	configure := func(c *config.Config) { c.Fleet, c.Disk = &config.Fleet{State: &config.State{Dir: dir}}, faultyDisk }
	server := newTestServer(t, serveOK)
	predecessor := newTestNodeWith(t, configure)
	predecessor.updateList(server.target("a", 1))
	require.Equal(t, http.StatusOK, requestBasicPlan(predecessor, "a", 4, 1))
	predecessor.stopAndWait()
	require.NoError(t, faulty.Set(faultDir, faulty.Faults{Stalled: true}))
	successor := newTestNodeWith(t, configure)
	successor.updateList(server.target("a", 1))
	req := successor.newRequest(http.MethodGet, "/roster-read", "b") // another customer's
	resp, _ := successor.do(req)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, faulty.Set(faultDir, faulty.Faults{}))
	successor.waitUntil("the folder", func() bool { return successor.node.loop.persistence.persister != nil })
	resp, _ = successor.do(successor.newRequest(http.MethodGet, "/roster-read", "c"))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	successor.waitUntil("a state of its own", func() bool { return successor.node.loop.persistence.lastWrittenAt.Load() > 0 })
	successor.stopAndWait()
	f, err := store.Open(disk.Local{}, dir, "n0")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	s, err := f.Read()
	require.NoError(t, err)
	require.True(t, slices.ContainsFunc(s.Checkpoints, func(r store.Checkpoint) bool { return r.Plan == "basic" }), "the mark of before is gone: %+v", s)
}
