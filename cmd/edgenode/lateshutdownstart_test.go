package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloestile/internal/store/disk/faulty"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	startingClients  = 60
	startingDeadline = 2 * time.Second
)

// idRecorder is a rating server that records the IDs of its requests and never answers.
type idRecorder struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *idRecorder) serve(c *slowConn) {
	request, err := http.ReadRequest(c.in)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.ids[request.Header.Get("X-Correlation-Id")] = true
	r.mu.Unlock()
	<-c.ended
}

func (r *idRecorder) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// Guards against a drain that counts from its own start: a process that is told to end while it waits for its disk has as little
// time as any other.
func TestLateRequestsEndBeforeTheKillOfAStartingProcess(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	recorder := &idRecorder{ids: map[string]bool{}}
	list := startDiscoveryOf(t, []string{startSlowServer(t, recorder.serve, ended)})
	address := freeAddress(t)
	p := startOnStalledDisk(t, address, list)
	defer func() { _ = p.Process.Kill(); _ = p.Wait() }()
	clients := make([]lateClient, startingClients)
	var conns []*slowConn
	for range clients {
		conns = append(conns, newSlowConn(dialRetrying(t, address), ended))
	}
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	sigterm := time.Now()
	killAt := sigterm.Add(killAfter(startingDeadline))
	s := lateShutdown{deadline: startingDeadline, request: lateGet}
	for i, c := range conns {
		moment := sigterm.Add(lateFrom + (killAfter(startingDeadline)-lateFrom)*time.Duration(i)/startingClients)
		go clients[i].send(c, fmt.Sprint("late-", i), moment, s)
	}
	time.Sleep(time.Until(killAt))
	var results lateResults
	forwarded := 0
	for i := range clients {
		clients[i].addTo(&results, killAt, sigterm)
		if recorder.has(fmt.Sprint("late-", i)) {
			forwarded++
		}
	}
	t.Logf("%d requests forwarded", forwarded)
	assert.Empty(t, results.lost, "late requests without an end at the kill")
}

// startOnStalledDisk starts a process whose state folder is on a disk that does not respond.
func startOnStalledDisk(t *testing.T, address, list string) *exec.Cmd {
	t.Helper()
	bin, err := buildLabEdgenode()
	require.NoError(t, err)
	faults, state := t.TempDir(), t.TempDir()
	require.NoError(t, faulty.SetFaults(faults, faulty.Faults{Stalled: true}))
	fleet := filepath.Join(t.TempDir(), "fleet.toml")
	require.NoError(t, os.WriteFile(fleet, []byte(fmt.Sprintf("[state]\ndir = %q\n", state)), 0o600))
	p := exec.Command(bin)
	p.Env = append(os.Environ(), "NODE_CONFIG="+writeDeadlineConfig(t, startingDeadline), "NODE_LISTEN="+address, "NODE_DISCOVERY="+list,
		"NODE_FLEET="+fleet, faulty.EnvVariable+"="+faults)
	p.Stderr = os.Stderr
	require.NoError(t, p.Start())
	return p
}

// freeAddress returns an address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// dialRetrying connects to a process that starts.
func dialRetrying(t *testing.T, address string) net.Conn {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
			return c
		}
		require.Less(t, time.Since(begun), time.Second, err)
	}
}
