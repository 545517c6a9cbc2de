package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// clientSocket is a listening socket as the platform holds it for the processes of a node.
func clientSocket(t *testing.T) *os.File {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tcp.Close() }()
	socket, err := tcp.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// Two processes share the clients' socket: at SIGTERM the old one answers what it took, lets its
// kept connections go on an answer and leaves early; the socket stays good for the other.
func TestProcessTakesOverClientSocket(t *testing.T) {
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "done") }))
	t.Cleanup(app.Close)
	socket := clientSocket(t)
	bin, list, dir := edgenodeBinary(t), startDiscovery(t, "s-1", app).Listener.Addr().String(), "TMPDIR="+t.TempDir()
	previous := startBinary(t, bin, testConfig, list, socket, dir)
	c, err := net.Dial("tcp", previous.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	in := bufio.NewReader(c)
	ask := func(id string) *http.Response {
		t.Helper()
		fmt.Fprintf(c, "GET /roster-read?account=00000000b4d65521 HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: %s\r\n"+
			"X-Tariff: enterprise\r\nX-Time-Left: 7000m\r\n\r\n", id)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp
	}
	if resp := ask("id-1"); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("%s, closes %v", resp.Status, resp.Close)
	}
	started := time.Now()
	granted := previous.countServed("before-", 20)
	successor := startBinary(t, bin, testConfig, list, socket, dir)
	if !slices.ContainsFunc(successor.logged, func(l string) bool { return strings.Contains(l, "taken over") }) {
		t.Errorf("nothing was taken over: %q", successor.logged)
	}
	begun := time.Now()
	previous.signal(syscall.SIGTERM)
	previous.waitForLog("draining")
	if resp := ask("id-2"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%s, closes %v", resp.Status, resp.Close)
	}
	previous.waitForLog("drained")
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("an empty process left after %v", took)
	}
	if err := previous.Wait(); err != nil {
		t.Error(err)
	}
	if a := <-successor.get("id-3"); !strings.HasPrefix(a, "200 done") {
		t.Error(a)
	}
	// A burst of 8 units and half a unit a second, over both processes.
	granted += successor.countServed("after-", 20)
	if most := 8 + int(time.Since(started).Seconds()/2) + 1; granted < 1 || granted > most {
		t.Errorf("%d units were granted, at most %d are due", granted, most)
	}
	successor.signal(syscall.SIGTERM)
	successor.waitForLog("drained")
	if err := successor.Wait(); err != nil {
		t.Error(err)
	}
}

// A handover that is spoilt, or never comes, leaves the process as from nothing.
func TestInvalidHandoverStartsWithoutState(t *testing.T) {
	bin := edgenodeBinary(t)
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "done") }))
	t.Cleanup(app.Close)
	list := startDiscovery(t, "s-1", app).Listener.Addr().String()
	for name, reply := range map[string]string{"garbage": "\x00\x00\x00\x04\x01\x02\x03\x04what", "silent": "", "cut off": "\x00\x00\x00\x04\x01",
		"huge": "\xff\xff\xff\xff\x01\x02\x03\x04"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			previous, err := net.Listen("unix", filepath.Join(dir, "handover.sock"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = previous.Close() }()
			go func() {
				if c, err := previous.Accept(); err == nil {
					_, _ = io.WriteString(c, reply)
					if reply != "" {
						_ = c.Close()
					}
				}
			}()
			socket := clientSocket(t)
			p := startBinary(t, bin, testConfig, list, socket, "TMPDIR="+dir)
			if !slices.ContainsFunc(p.logged, func(l string) bool { return strings.Contains(l, "starting without the state of the previous process") }) {
				t.Errorf("%q", p.logged)
			}
			if a := <-p.get("id-1"); !strings.HasPrefix(a, "200 done") {
				t.Error(a)
			}
		})
	}
}
