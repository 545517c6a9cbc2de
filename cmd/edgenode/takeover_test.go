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

// clientSocket returns a listening socket for clients, as the platform passes it to the processes of a node.
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

// Two processes share the listening socket, and the second takes over the first one's state. At SIGTERM the first
// answers its requests, closes client connections with their next response and exits early; the second serves on the
// same socket and both together stay within the quota.
func TestProcessTakesOverClientSocket(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "done") }))
	t.Cleanup(server.Close)
	socket := clientSocket(t)
	bin, list, dir := edgenodeBinary(t), startDiscovery(t, "s-1", server).Listener.Addr().String(), "TMPDIR="+t.TempDir()
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
		t.Fatalf("before SIGTERM: status %s, closes %v", resp.Status, resp.Close)
	}
	startedAt := time.Now()
	served := previous.countServed("before-", 20)
	successor := startBinary(t, bin, testConfig, list, socket, dir)
	if !slices.ContainsFunc(successor.logged, func(l string) bool { return strings.Contains(l, "taken over") }) {
		t.Errorf("no log line about the state that was taken over: %q", successor.logged)
	}
	signalledAt := time.Now()
	previous.signal(syscall.SIGTERM)
	previous.waitForLog("draining")
	if resp := ask("id-2"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("after SIGTERM: status %s, closes %v", resp.Status, resp.Close)
	}
	previous.waitForLog("drained")
	if took := time.Since(signalledAt); took > 2*time.Second {
		t.Errorf("a process without requests took %v to exit", took)
	}
	if err := previous.Wait(); err != nil {
		t.Error(err)
	}
	if got := <-successor.get("id-3"); !strings.HasPrefix(got, "200 done") {
		t.Error(got)
	}
	// The plan has a burst of 8 tokens and a rate of half a token per second, for both processes together.
	served += successor.countServed("after-", 20)
	if maxServed := 8 + int(time.Since(startedAt).Seconds()/2) + 1; served < 1 || served > maxServed {
		t.Errorf("%d requests were served, want 1 to %d", served, maxServed)
	}
	successor.signal(syscall.SIGTERM)
	successor.waitForLog("drained")
	if err := successor.Wait(); err != nil {
		t.Error(err)
	}
}

// A process whose predecessor sends an invalid handover, or none, starts without its state and serves.
func TestInvalidHandoverStartsWithoutState(t *testing.T) {
	bin := edgenodeBinary(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "done") }))
	t.Cleanup(server.Close)
	list := startDiscovery(t, "s-1", server).Listener.Addr().String()
	for name, reply := range map[string]string{"wrong checksum": "\x00\x00\x00\x04\x01\x02\x03\x04what", "nothing sent": "", "truncated": "\x00\x00\x00\x04\x01",
		"length too large": "\xff\xff\xff\xff\x01\x02\x03\x04"} {
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
				t.Errorf("no log line about starting without state: %q", p.logged)
			}
			if got := <-p.get("id-1"); !strings.HasPrefix(got, "200 done") {
				t.Error(got)
			}
		})
	}
}
