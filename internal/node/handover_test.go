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
func beside(t *testing.T) func(*config.Config) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socket, err := tcp.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	_ = tcp.Close()
	t.Cleanup(func() { _ = socket.Close() })
	dir := t.TempDir()
	started := false
	return func(c *config.Config) {
		if started { // a successor finds nobody to take over from before the first process listens
			awaitFile(t, filepath.Join(dir, handoverName))
		}
		started = true
		c.HandoverDir = dir
		// Each process has a descriptor of its own.
		if c.SocketFD, err = syscall.Dup(int(socket.Fd())); err != nil {
			t.Fatal(err)
		}
	}
}

// awaitFile waits until a file exists.
func awaitFile(t *testing.T, path string) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, err := os.Stat(path); err == nil {
			return
		}
	}
	t.Fatalf("%s does not exist after %v", path, patience)
}

// A process that takes over says yes when it has been told its list, keeps the ids of what it
// took over, and both keep to half of the descriptors while the other runs.
func TestTakenOver(t *testing.T) {
	config := beside(t)
	old := newRigWith(t, config)
	a := newApp(t, served)
	gone, b := a.target("s-gone", 0), a.target("s-1", 0)
	old.list(gone)
	gone.State = "removed"
	old.list(gone, b)
	old.wait("ready", old.node.front.ready.Load)
	most := old.node.upstream.sockets.limit.Load()

	fresh := newRigWith(t, config)
	fresh.wait("the old one's ids", func() bool { return fresh.node.loop.serverIDs["s-1"] == 2 && fresh.node.loop.lastServerID == 2 })
	if q := next(t, fresh.agent.Asked); q != "/v1/servers?watch=1" { // its discovery is not the old one's
		t.Errorf("asked %s", q)
	}
	if s, _, _ := fresh.command(http.MethodGet, "/ready"); s == 200 {
		t.Error("yes before it was told its list")
	}
	for _, r := range []*rig{old, fresh} {
		if now := r.node.upstream.sockets.limit.Load(); now != most/2-int64(ownDescriptors+maxConsoleConns)/2 {
			t.Errorf("%d descriptors of %d", now, most)
		}
	}
	fresh.list(b)
	fresh.wait("ready", fresh.node.front.ready.Load)

	old.stop()
	if err := next(t, old.ended); err != nil {
		t.Error(err)
	}
	old.ended <- nil
	fresh.wait("alone", func() bool { return fresh.node.upstream.sockets.limit.Load() == most })
	if resp, _ := fresh.do(fresh.call(http.MethodGet, "/roster-read", "id-1")); resp.StatusCode != 200 {
		t.Error(resp.Status)
	}
}

// Where discovery is silent, the list that was handed over has to do.
func TestTakenOverInSilence(t *testing.T) {
	t.Parallel()
	config := beside(t)
	old := newRigWith(t, config)
	old.list(newApp(t, served).target("s-1", 0))
	fresh := newRigWith(t, config)
	begun := time.Now()
	for s := 0; s != 200; s, _, _ = fresh.command(http.MethodGet, "/ready") {
		if time.Since(begun) > patience {
			t.Fatal("never ready")
		}
	}
	if took := time.Since(begun); took < listConfirmTimeout/2 {
		t.Errorf("yes after %v without its list", took)
	}
}

// A process whose successor goes has all places again.
func TestSuccessorGone(t *testing.T) {
	config := beside(t)
	old := newRigWith(t, config)
	old.list(newApp(t, served).target("s-1", 0))
	most := old.node.upstream.sockets.limit.Load()
	fresh := newRigWith(t, config)
	fresh.wait("the old one's list", func() bool { return len(fresh.node.loop.serverIDs) == 1 })
	fresh.stop()
	if err := next(t, fresh.ended); err != nil {
		t.Error(err)
	}
	fresh.ended <- nil
	old.wait("alone", func() bool { return old.node.upstream.sockets.limit.Load() == most })
	if !old.node.front.ready.Load() {
		t.Error("the old one is not ready any more")
	}
}
