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

// A start that can't be made is one clear line and exit code 1.
func TestFailedStartExitsWithOneLine(t *testing.T) {
	bin := edgenodeBinary(t)
	broken := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(broken, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, env := range map[string][]string{"none named": {"NODE_CONFIG="}, "missing": {"NODE_CONFIG=" + broken + ".no"},
		"broken": {"NODE_CONFIG=" + broken}, "no console": {"NODE_CONFIG=" + testConfig, "NODE_CONSOLE=nowhere"},
		"console of others": {"NODE_CONFIG=" + testConfig, "NODE_CONSOLE=192.0.2.1:9"},
		"no descriptor":     {"NODE_CONFIG=" + testConfig, "NODE_SOCKET_FD=99"},
		"no socket":         {"NODE_CONFIG=" + testConfig, "NODE_SOCKET_FD=x"}} {
		t.Run(name, func(t *testing.T) {
			cmd := exec.Command(bin)
			cmd.Env = append(os.Environ(), env...)
			out, err := cmd.CombinedOutput()
			if cmd.ProcessState.ExitCode() != 1 || strings.Count(string(out), "\n") != 1 {
				t.Errorf("%v: %s", err, out)
			}
		})
	}
}

// A word that is no command is not taken for none: the node does not start.
func TestInvalidArgumentsExitWithUsage(t *testing.T) {
	bin := edgenodeBinary(t)
	for _, args := range [][]string{{"chekc", "x"}, {"check"}, {"check", "x", "y"}, {"-flet", "x"}} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second) // of one that serves all the same
		cmd := exec.CommandContext(ctx, bin, args...)
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+testConfig)
		out, _ := cmd.CombinedOutput()
		cancel()
		assert.Equal(t, 2, cmd.ProcessState.ExitCode(), "%v: %s", args, out)
		assert.Contains(t, string(out), "check FILE")
	}
}

// SIGTERM with work held: the client gets its answer on a connection that it may use for as long
// as the node serves on, then the program ends well. A SIGHUP meanwhile is harmless.
func TestSIGTERMAnswersRequestsInFlight(t *testing.T) {
	app, held, finish := blockingServer(t)
	p := startProgram(t, testConfig, startDiscovery(t, "s-1", app).Listener.Addr().String())
	answer := p.get("id-1")
	<-held
	p.signal(syscall.SIGTERM)
	p.waitForLog("draining")
	p.signal(syscall.SIGHUP)
	p.waitForLog("reloading")
	finish()
	if a := <-answer; !strings.HasPrefix(a, "200 done") {
		t.Error(a)
	}
	p.waitForLog("drained")
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

// A second SIGTERM changes nothing: what is held is answered, and the program ends well.
func TestSecondSIGTERMChangesNothing(t *testing.T) {
	app, held, finish := blockingServer(t)
	p := startProgram(t, testConfig, startDiscovery(t, "s-1", app).Listener.Addr().String())
	answer := p.get("id-1")
	<-held
	p.signal(syscall.SIGTERM)
	p.waitForLog("draining")
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	p.waitForLog("reloading")
	finish()
	if a := <-answer; !strings.HasPrefix(a, "200 done") {
		t.Error(a)
	}
	p.waitForLog("drained")
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}

// SIGHUP has the program follow the discovery that the file now names, whatever the
// environment said, and keep what it holds. A file that can't be used changes nothing.
func TestSIGHUPReloadsConfiguration(t *testing.T) {
	app, held, finish := blockingServer(t)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "other")
	}))
	t.Cleanup(other.Close)
	first, second := startDiscovery(t, "s-1", app), startDiscovery(t, "s-2", other)
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
	answer := p.get("id-1")
	<-held

	write("{")
	p.signal(syscall.SIGHUP)
	p.waitForLog("the old configuration stays")

	write(strings.Replace(string(raw), "127.0.0.1:1\"", second.Listener.Addr().String()+"\"", 1))
	p.signal(syscall.SIGHUP)
	p.waitForLog("reloading")
	finish()
	if a := <-answer; !strings.HasPrefix(a, "200 done") {
		t.Errorf("what was held over the reload: %s", a)
	}
	for id := 2; ; id++ {
		if a := <-p.get(fmt.Sprint("id-", id)); a == "200 other close=false" {
			break
		} else if p.ProcessState != nil {
			t.Fatal("the program has ended")
		}
		time.Sleep(time.Millisecond)
	}
	p.signal(syscall.SIGTERM)
	p.waitForLog("drained")
	if err := p.Wait(); err != nil {
		t.Error(err)
	}
}
