package node

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"sloestile/internal/config"
)

// sharedSocketConfig returns a function that configures nodes to share a listening socket and a handover folder.
func sharedSocketConfig(t *testing.T) func(*config.Config) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socketFile, err := tcp.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	_ = tcp.Close()
	t.Cleanup(func() { _ = socketFile.Close() })
	dir := t.TempDir()
	started := false
	return func(c *config.Config) {
		if started { // wait until the first process listens for a successor
			waitForFile(t, filepath.Join(dir, handoverSocket))
		}
		started = true
		c.HandoverDir = dir
		// Each process needs its own descriptor.
		if c.SocketFD, err = syscall.Dup(int(socketFile.Fd())); err != nil {
			t.Fatal(err)
		}
	}
}

// waitForFile waits until a file exists.
func waitForFile(t *testing.T, path string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			return
		}
	}
	t.Fatalf("%s does not exist after %v", path, testTimeout)
}

// A successor keeps the server IDs of its predecessor and becomes ready only once discovery confirms the list. While
// both processes run, each may use half of the descriptors.
func TestHandoverBetweenProcesses(t *testing.T) {
	configure := sharedSocketConfig(t)
	predecessor := newTestNodeWith(t, configure)
	a := newTestServer(t, serveOK)
	removed, listed := a.target("s-gone", 0), a.target("s-1", 0)
	predecessor.updateList(removed)
	removed.State = "removed"
	predecessor.updateList(removed, listed)
	predecessor.waitUntil("ready", predecessor.node.front.ready.Load)
	maxSockets := predecessor.node.upstream.sockets.limit.Load()

	successor := newTestNodeWith(t, configure)
	successor.waitUntil("server IDs of the predecessor", func() bool { return successor.node.loop.serverIDs["s-1"] == 2 && successor.node.loop.lastServerID == 2 })
	if q := receive(t, successor.discovery.Requests); q != "/v1/servers?watch=1" { // the discovery addresses differ
		t.Errorf("watch requested as %s", q)
	}
	if s, _, _ := successor.callConsole(http.MethodGet, "/ready"); s == 200 {
		t.Error("ready before the list was confirmed")
	}
	for _, r := range []*testNode{predecessor, successor} {
		if now := r.node.upstream.sockets.limit.Load(); now != maxSockets/2-int64(ownDescriptors+maxConsoleConns)/2 {
			t.Errorf("limit of %d descriptors, %d without a second process", now, maxSockets)
		}
	}
	successor.updateList(listed)
	successor.waitUntil("ready", successor.node.front.ready.Load)

	predecessor.stop()
	if err := receive(t, predecessor.ended); err != nil {
		t.Error(err)
	}
	predecessor.ended <- nil
	successor.waitUntil("the full limit of descriptors", func() bool { return successor.node.upstream.sockets.limit.Load() == maxSockets })
	if resp, _ := successor.do(successor.newRequest(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != 200 {
		t.Error(resp.Status)
	}
}

// While discovery is silent, the handed-over list is used after listConfirmTimeout, so that the node becomes ready.
func TestHandedOverListIsUsedWhileDiscoveryIsSilent(t *testing.T) {
	t.Parallel()
	configure := sharedSocketConfig(t)
	predecessor := newTestNodeWith(t, configure)
	predecessor.updateList(newTestServer(t, serveOK).target("s-1", 0))
	successor := newTestNodeWith(t, configure)
	begun := time.Now()
	for s := 0; s != 200; s, _, _ = successor.callConsole(http.MethodGet, "/ready") {
		if time.Since(begun) > testTimeout {
			t.Fatal("the node does not become ready")
		}
	}
	if took := time.Since(begun); took < listConfirmTimeout/2 {
		t.Errorf("ready after %v without a confirmed list", took)
	}
}

// A process whose successor ends may use all descriptors again and stays ready.
func TestSuccessorEndsDuringHandover(t *testing.T) {
	configure := sharedSocketConfig(t)
	predecessor := newTestNodeWith(t, configure)
	predecessor.updateList(newTestServer(t, serveOK).target("s-1", 0))
	maxSockets := predecessor.node.upstream.sockets.limit.Load()
	successor := newTestNodeWith(t, configure)
	successor.waitUntil("list of the predecessor", func() bool { return len(successor.node.loop.serverIDs) == 1 })
	successor.stop()
	if err := receive(t, successor.ended); err != nil {
		t.Error(err)
	}
	successor.ended <- nil
	predecessor.waitUntil("the full limit of descriptors", func() bool { return predecessor.node.upstream.sockets.limit.Load() == maxSockets })
	if !predecessor.node.front.ready.Load() {
		t.Error("the predecessor is no longer ready")
	}
}
