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

// stopAndWait stops the node and waits until Run has returned.
func (r *testNode) stopAndWait() {
	r.stop()
	select {
	case err := <-r.ended:
		r.ended <- err
	case <-time.After(testTimeout):
		r.t.Fatal("the node did not end")
	}
}

// Tokens that a tenant has consumed must not be granted again by the next process, whether its predecessor was shut
// down or killed after a checkpoint. If the stored state is corrupt or persistence is off, the buckets start full.
func TestTokenBucketsSurviveARestart(t *testing.T) {
	for _, mode := range []string{"planned", "killed", "corrupt", "off"} {
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
					t.Fatal("the token bucket never runs empty")
				}
			}
			state := filepath.Join(dir, "state")
			if mode == "killed" {
				predecessor.waitUntil("a state with all checkpoints on disk", func() bool {
					return predecessor.node.loop.persistence.lastWrittenAt.Load() > 0 && !predecessor.node.loop.persistence.checkpoints.Due()
				})
				raw, err := os.ReadFile(state)
				if err != nil {
					t.Fatal(err)
				}
				predecessor.stopAndWait()
				if err := os.WriteFile(state, raw, 0o600); err != nil { // undo the final write, as after a kill
					t.Fatal(err)
				}
			}
			predecessor.stopAndWait()
			if mode == "corrupt" {
				if err := os.Truncate(state, 30); err != nil {
					t.Fatal(err)
				}
			}
			successor := newTestNodeWith(t, configure)
			successor.updateList(server.target("a", 1))
			want := http.StatusServiceUnavailable
			if mode == "corrupt" || mode == "off" {
				want = http.StatusOK
			}
			if got := requestBasicPlan(successor, "b", 4, 1); got != want {
				t.Errorf("status %d of the next process, want %d", got, want)
			}
			names, err := os.ReadDir(dir)
			if err != nil || mode == "off" && len(names) > 0 {
				t.Errorf("persistence is off, but the folder holds %v (error %v)", names, err)
			}
			if mode != "off" {
				var text strings.Builder
				writeRegistry(&text, successor.node.loop.metrics)
				if !strings.Contains(text.String(), "node_state_restored_total") {
					t.Error("the metrics lack the restored tenants")
				}
			}
		})
	}
}

// A process whose state folder is in use serves nevertheless. It persists its state once its predecessor has ended, and
// keeps the predecessor's checkpoints.
func TestStateFolderInUseAtStart(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	configure := func(c *config.Config) { c.Fleet = &config.Fleet{State: &config.State{Dir: dir}} }
	server := newTestServer(t, serveOK)
	predecessor := newTestNodeWith(t, configure)
	predecessor.updateList(server.target("a", 1))
	if got := requestBasicPlan(predecessor, "a", 4, 1); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	successor := newTestNodeWith(t, configure)
	successor.updateList(server.target("a", 1))
	successor.waitUntil("start without the folder", func() bool { return successor.node.loop.persistence.persister == nil })
	predecessor.stopAndWait()
	successor.waitUntil("the lock of the folder", func() bool { return successor.node.loop.persistence.persister != nil })
	req := successor.newRequest(http.MethodGet, "/roster-read", "b") // a request of another plan
	if resp, _ := successor.do(req); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	successor.waitUntil("a written state", func() bool { return successor.node.loop.persistence.lastWrittenAt.Load() > 0 })
	successor.stopAndWait()
	f, err := store.Open(disk.Local{}, dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	s, err := f.Read()
	if err != nil || !slices.ContainsFunc(s.Checkpoints, func(r store.Checkpoint) bool { return r.Plan == "basic" }) {
		t.Errorf("the state lacks the checkpoint of the predecessor: %+v, %v", s, err)
	}
}

// A stalled disk must delay neither the start nor requests. Once the disk responds, the state is persisted, and the
// checkpoints that were stored before are kept.
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
	req := successor.newRequest(http.MethodGet, "/roster-read", "b") // a request of another plan
	resp, _ := successor.do(req)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, faulty.Set(faultDir, faulty.Faults{}))
	successor.waitUntil("the lock of the folder", func() bool { return successor.node.loop.persistence.persister != nil })
	resp, _ = successor.do(successor.newRequest(http.MethodGet, "/roster-read", "c"))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	successor.waitUntil("a written state", func() bool { return successor.node.loop.persistence.lastWrittenAt.Load() > 0 })
	successor.stopAndWait()
	f, err := store.Open(disk.Local{}, dir, "n0")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	s, err := f.Read()
	require.NoError(t, err)
	require.True(t, slices.ContainsFunc(s.Checkpoints, func(r store.Checkpoint) bool { return r.Plan == "basic" }), "the checkpoint of the predecessor is gone: %+v", s)
}
