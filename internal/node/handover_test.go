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

// beside gives the configuration of processes that share a socket and a folder.
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
		if started { // a successor finds nobody to take over from before the first process listens
			waitForFile(t, filepath.Join(dir, handoverSocket))
		}
		started = true
		c.HandoverDir = dir
		// Each process has a descriptor of its own.
		if c.SocketFD, err = syscall.Dup(int(socketFile.Fd())); err != nil {
			t.Fatal(err)
		}
	}
}

// awaitFile waits until a file exists.
func waitForFile(t *testing.T, path string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			return
		}
	}
	t.Fatalf("%s does not exist after %v", path, testTimeout)
}

// A process that takes over says yes when it has been told its list, keeps the ids of what it
// took over, and both keep to half of the descriptors while the other runs.
func TestHandoverBetweenProcesses(t *testing.T) {
	configure := sharedSocketConfig(t)
	predecessor := newTestNodeWith(t, configure)
	a := newTestServer(t, serveOK)
	removed, b := a.target("s-gone", 0), a.target("s-1", 0)
	predecessor.updateList(removed)
	removed.State = "removed"
	predecessor.updateList(removed, b)
	predecessor.waitUntil("ready", predecessor.node.front.ready.Load)
	maxSockets := predecessor.node.upstream.sockets.limit.Load()

	successor := newTestNodeWith(t, configure)
	successor.waitUntil("the old one's ids", func() bool { return successor.node.loop.serverIDs["s-1"] == 2 && successor.node.loop.lastServerID == 2 })
	if q := receive(t, successor.discovery.Asked); q != "/v1/servers?watch=1" { // its discovery is not the old one's
		t.Errorf("asked %s", q)
	}
	if s, _, _ := successor.callConsole(http.MethodGet, "/ready"); s == 200 {
		t.Error("yes before it was told its list")
	}
	for _, r := range []*testNode{predecessor, successor} {
		if now := r.node.upstream.sockets.limit.Load(); now != maxSockets/2-int64(ownDescriptors+maxConsoleConns)/2 {
			t.Errorf("%d descriptors of %d", now, maxSockets)
		}
	}
	successor.updateList(b)
	successor.waitUntil("ready", successor.node.front.ready.Load)

	predecessor.stop()
	if err := receive(t, predecessor.ended); err != nil {
		t.Error(err)
	}
	predecessor.ended <- nil
	successor.waitUntil("alone", func() bool { return successor.node.upstream.sockets.limit.Load() == maxSockets })
	if resp, _ := successor.do(successor.newRequest(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != 200 {
		t.Error(resp.Status)
	}
}

// Where discovery is silent, the list that was handed over has to do.
func TestHandedOverListIsUsedWhileDiscoveryIsSilent(t *testing.T) {
	t.Parallel()
	configure := sharedSocketConfig(t)
	predecessor := newTestNodeWith(t, configure)
	predecessor.updateList(newTestServer(t, serveOK).target("s-1", 0))
	successor := newTestNodeWith(t, configure)
	begun := time.Now()
	for s := 0; s != 200; s, _, _ = successor.callConsole(http.MethodGet, "/ready") {
		if time.Since(begun) > testTimeout {
			t.Fatal("never ready")
		}
	}
	if took := time.Since(begun); took < listConfirmTimeout/2 {
		t.Errorf("yes after %v without its list", took)
	}
}

// A process whose successor goes has all places again.
func TestSuccessorEndsDuringHandover(t *testing.T) {
	configure := sharedSocketConfig(t)
	predecessor := newTestNodeWith(t, configure)
	predecessor.updateList(newTestServer(t, serveOK).target("s-1", 0))
	maxSockets := predecessor.node.upstream.sockets.limit.Load()
	successor := newTestNodeWith(t, configure)
	successor.waitUntil("the old one's list", func() bool { return len(successor.node.loop.serverIDs) == 1 })
	successor.stop()
	if err := receive(t, successor.ended); err != nil {
		t.Error(err)
	}
	successor.ended <- nil
	predecessor.waitUntil("alone", func() bool { return predecessor.node.upstream.sockets.limit.Load() == maxSockets })
	if !predecessor.node.front.ready.Load() {
		t.Error("the old one is not ready any more")
	}
}
