package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/store/disk/faulty"
)

const (
	fewSockets   = 128 // descriptors of a process, of which connections of clients may take some 85
	idleConns    = 65  // connections without a request; with more the node would close the other clients' resting ones
	signalsEvery = 20 * time.Millisecond
)

// Guards against a shutdown that something other than a request holds up: late requests end as ever.
func TestLateRequestsEndBeforeTheKillUnderFaults(t *testing.T) {
	endless := respondTrickle("Transfer-Encoding: chunked\r\n\r\n", "64\r\n", "\r\n")
	stalledDisk := withStalledDisk(t, lateShutdown{deadline: 2 * time.Second, serve: endless})
	for name, s := range map[string]lateShutdown{
		"disk that stalls from SIGTERM on": stalledDisk,
		"signals in series":                {deadline: 2 * time.Second, serve: endless, after: signalInSeries},
		"most descriptors taken by idle connections": {deadline: 3 * time.Second, serve: endless, sockets: fewSockets,
			before: func(p *program) { openIdleConns(t, p) }},
		"a small share of a core": {deadline: 3 * time.Second, serve: endless,
			after: func(p *program) {
				throttleProcess(p.Process, 10*time.Millisecond, closeAfter(killAfter(3*time.Second)))
			}},
		"deadline of 0.5 s": {deadline: 500 * time.Millisecond, serve: endless},
		"deadline of 9 s":   {deadline: 9 * time.Second, serve: endless},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			results := s.play(t)
			assert.Empty(t, results.lost, "late requests without an end at the kill")
			assert.Empty(t, results.closed, "requests without a response")
		})
	}
}

// withStalledDisk adds a state folder to a shutdown, on a disk that does not respond from SIGTERM on.
func withStalledDisk(t *testing.T, s lateShutdown) lateShutdown {
	t.Helper()
	bin, err := buildLabEdgenode()
	require.NoError(t, err)
	faults, fleet := t.TempDir(), filepath.Join(t.TempDir(), "fleet.toml")
	require.NoError(t, os.WriteFile(fleet, []byte(fmt.Sprintf("[state]\ndir = %q\n", t.TempDir())), 0o600))
	s.bin, s.env = bin, []string{"NODE_FLEET=" + fleet, faulty.EnvVariable + "=" + faults}
	s.before = func(*program) { assert.NoError(t, faulty.SetFaults(faults, faulty.Faults{Stalled: true})) }
	return s
}

// signalInSeries sends signals to a process until it has ended.
func signalInSeries(p *program) {
	for {
		if err := p.Process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}[rand.IntN(3)]); err != nil {
			return
		}
		time.Sleep(signalsEvery)
	}
}

// openIdleConns opens connections that send nothing.
func openIdleConns(t *testing.T, p *program) {
	for range idleConns {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// closeAfter returns a channel that is closed after a time.
func closeAfter(d time.Duration) <-chan struct{} {
	closed := make(chan struct{})
	time.AfterFunc(d, func() { close(closed) })
	return closed
}

// Guards against a shutdown that waits for whoever reads the process's log: with the pipe of the log full, requests end as ever.
func TestLateRequestsEndBeforeTheKillWhileNobodyReadsTheLog(t *testing.T) {
	results := lateShutdown{deadline: 2 * time.Second, serve: hold, unreadLog: true}.play(t)
	assert.Empty(t, results.lost, "late requests without an end at the kill")
	assert.Empty(t, results.closed, "requests without a response")
}

// fillLog makes a process fill the pipe of its log.
func fillLog(p *program) {
	for range 3000 { // each writes a line of some 70 bytes, and a pipe holds 64 KiB
		p.signal(syscall.SIGHUP)
		time.Sleep(500 * time.Microsecond)
	}
}
