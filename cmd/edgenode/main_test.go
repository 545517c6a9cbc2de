package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A start with an invalid environment or configuration prints one line and exits with code 1.
func TestFailedStartExitsWithOneLine(t *testing.T) {
	bin := edgenodeBinary(t)
	broken := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(broken, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, env := range map[string][]string{"no configuration named": {"NODE_CONFIG="}, "missing file": {"NODE_CONFIG=" + broken + ".no"},
		"malformed file": {"NODE_CONFIG=" + broken}, "invalid console address": {"NODE_CONFIG=" + testConfig, "NODE_CONSOLE=nowhere"},
		"console address of another machine": {"NODE_CONFIG=" + testConfig, "NODE_CONSOLE=192.0.2.1:9"},
		"closed descriptor":                  {"NODE_CONFIG=" + testConfig, "NODE_SOCKET_FD=99"},
		"invalid descriptor":                 {"NODE_CONFIG=" + testConfig, "NODE_SOCKET_FD=x"}} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(bin)
			cmd.Env = append(os.Environ(), env...)
			out, err := cmd.CombinedOutput()
			if cmd.ProcessState.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 {
				t.Errorf("want exit code 1 and one line, got %v: %s", err, out)
			}
		})
	}
}

// Unknown commands and flags, and a wrong number of arguments, print the usage and exit with code 2. A mistyped command
// must not start a node.
func TestInvalidArgumentsExitWithUsage(t *testing.T) {
	bin := edgenodeBinary(t)
	for _, args := range [][]string{{"chekc", "x"}, {"check"}, {"check", "x", "y"}, {"-flet", "x"}} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second) // ends a program that serves in spite of the arguments
		cmd := exec.CommandContext(ctx, bin, args...)
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+testConfig)
		out, _ := cmd.CombinedOutput()
		cancel()
		assert.Equal(t, 2, cmd.ProcessState.ExitCode(), "%v: %s", args, out)
		assert.Contains(t, string(out), "check FILE")
	}
}

// At SIGTERM with a request in flight the node drains: it answers the request, then the program exits with code 0. A
// SIGHUP while it drains does not end it.
func TestSIGTERMAnswersRequestsInFlight(t *testing.T) {
	server, received, release := blockingServer(t)
	p := startProgram(t, testConfig, startDiscovery(t, "s-1", server).Listener.Addr().String())
	response := p.get("id-1")
	<-received
	p.signal(syscall.SIGTERM)
	p.waitForLog("draining")
	p.signal(syscall.SIGHUP)
	p.waitForLog("reloading")
	release()
	if got := <-response; !strings.HasPrefix(got, "200 done") {
		t.Error(got)
	}
	p.waitForLog("drained")
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

// A second SIGTERM while the node drains changes nothing: the request in flight is answered, and the program exits with
// code 0.
func TestSecondSIGTERMChangesNothing(t *testing.T) {
	server, received, release := blockingServer(t)
	p := startProgram(t, testConfig, startDiscovery(t, "s-1", server).Listener.Addr().String())
	response := p.get("id-1")
	<-received
	p.signal(syscall.SIGTERM)
	p.waitForLog("draining")
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	p.waitForLog("reloading")
	release()
	if got := <-response; !strings.HasPrefix(got, "200 done") {
		t.Error(got)
	}
	p.waitForLog("drained")
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against a signal in the last moments of the process that ends it with a failure: of a series of signals that goes
// on until the process has ended, only the first one counts.
func TestSignalsUntilTheEndDoNotFailTheProcess(t *testing.T) {
	raw, err := os.ReadFile(testConfig)
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, []byte(strings.ReplaceAll(string(raw), "7500.0", "100.0")), 0o600); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	discovery := startDiscovery(t, "s-1", server).Listener.Addr().String()
	for range 12 {
		p := startProgram(t, config, discovery)
		ended := make(chan error, 1)
		go func() { ended <- p.Wait() }()
		for stop := false; !stop; time.Sleep(50 * time.Microsecond) {
			_ = p.Process.Signal(syscall.SIGTERM)
			select {
			case err := <-ended:
				stop = true
				assert.NoError(t, err)
			default:
			}
		}
	}
}

// At SIGHUP the program uses the discovery address of the changed file, not that of the environment, and keeps the
// request in flight. An invalid file changes nothing.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	server, received, release := blockingServer(t)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "other")
	}))
	t.Cleanup(other.Close)
	first, second := startDiscovery(t, "s-1", server), startDiscovery(t, "s-2", other)
	raw, err := os.ReadFile(testConfig)
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(raw))
	p := startProgram(t, config, first.Listener.Addr().String())
	response := p.get("id-1")
	<-received

	write("{")
	p.signal(syscall.SIGHUP)
	p.waitForLog("the old configuration stays")

	write(strings.Replace(string(raw), "127.0.0.1:1\"", second.Listener.Addr().String()+"\"", 1))
	p.signal(syscall.SIGHUP)
	p.waitForLog("reloading")
	release()
	if got := <-response; !strings.HasPrefix(got, "200 done") {
		t.Errorf("request in flight during the reload: %s", got)
	}
	for id := 2; ; id++ {
		if got := <-p.get(fmt.Sprint("id-", id)); got == "200 other close=false" {
			break
		} else if p.ProcessState != nil {
			t.Fatal("the program has exited")
		}
		time.Sleep(time.Millisecond)
	}
	p.signal(syscall.SIGTERM)
	p.waitForLog("drained")
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}
