package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// otherBinary is the path of another version of the program, built with the tag lab. If it is "", the tests of this
// file run processes of this version only.
var otherBinary = flag.String("other", "", "path of another version of the program, built with -tags lab, to run together with this one")

// binaryPairs returns pairs of programs, the first to start and the second, with both versions in both orders.
func binaryPairs(t *testing.T) map[string][2]string {
	t.Helper()
	own := edgenodeBinary(t)
	if *otherBinary == "" {
		return map[string][2]string{"one version": {own, own}}
	}
	return map[string][2]string{"from the other": {*otherBinary, own}, "to the other": {own, *otherBinary}}
}

// Nodes of two versions form one fleet: they share limits and outlier reports, agree on rule versions and activate
// them. They need a service discovery: without one their endpoint list is stale 6 s after the start, and they stop
// sending.
func TestFleetOfTwoVersions(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "done") }))
	t.Cleanup(server.Close)
	t.Setenv("NODE_DISCOVERY", startDiscovery(t, "s-1", server).Listener.Addr().String())
	f := newConsensusFleet(t, 3, 5, "limits = true", "verdicts = true")
	if *otherBinary != "" {
		for _, i := range []int{1, 3} {
			f.kill(i)
			f.nodes[i].bin = *otherBinary
			f.start(i)
		}
	}
	all := []int{0, 1, 2, 3, 4}
	one := f.publish(4, 1)
	f.activate(3, one, "overlap")
	f.waitForVersion(one, 10*time.Second, all...)
	two := f.publish(1, 2)
	f.activate(2, two, "exclusive")
	f.waitForVersion(two, 10*time.Second, all...)
	ctx, stop := context.WithCancel(t.Context())
	var work sync.WaitGroup
	for i := range f.nodes {
		work.Go(func() { f.sendSharedTenantRequests(ctx, i) })
	}
	time.Sleep(4 * time.Second)
	assert.Eventually(t, func() bool {
		for i := range f.nodes {
			if m := f.metrics(i); m["node_share_known_total"] == 0 || m["node_share_heard_total"] == 0 {
				return false
			}
		}
		return true
	}, 20*time.Second, 100*time.Millisecond, "a node has received no shared token bucket")
	stop()
	work.Wait()
	for i, n := range f.nodes {
		m := f.metrics(i)
		t.Logf("%s: %v of %v buckets known, %v messages received", n.name, m["node_share_known_total"],
			m["node_share_known_total"]+m["node_share_unknown_total"], m["node_share_heard_total"])
		assert.Positive(t, m["node_share_known_total"], n.name)
		assert.Positive(t, m["node_share_heard_total"], n.name)
		assert.EqualValues(t, 4, m["node_peers"], n.name)
		for _, name := range []string{"node_share_spoilt_total", "node_rules_spoilt_total", "node_peer_spoilt_total"} {
			assert.Zero(t, m[name], "%s: %s", n.name, name)
		}
	}
}

// sendSharedTenantRequests sends requests to node i until ctx ends, of a tenant whose quota all nodes share.
func (f *consensusFleet) sendSharedTenantRequests(ctx context.Context, i int) {
	for n := 0; ctx.Err() == nil; n++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.nodes[i].clientAddr+"/roster-read?account=00000000b4d65521", nil)
		if err != nil {
			return
		}
		for k, v := range map[string]string{"X-Correlation-Id": fmt.Sprintf("shared-%d-%d", i, n), "X-Tariff": "basic",
			"X-Time-Left": "900m", "X-Weight": "units=1,spread=5,first=0"} {
			req.Header.Set(k, v)
		}
		if resp, err := consoleClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// metrics returns the values of those metrics of a node that have no labels.
func (f *consensusFleet) metrics(i int) map[string]float64 {
	f.t.Helper()
	resp, err := consoleClient.Get("http://" + f.nodes[i].consoleAddr + "/metrics")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	values := map[string]float64{}
	for line := range strings.Lines(string(raw)) {
		if name, text, ok := strings.Cut(strings.TrimSpace(line), " "); ok && !strings.HasPrefix(name, "#") {
			if v, err := strconv.ParseFloat(text, 64); err == nil {
				values[name] = v
			}
		}
	}
	return values
}

// A process takes over the socket and the state of a process of another version, and both together stay within the
// quota.
func TestTakeoverFromAnotherVersion(t *testing.T) {
	for name, bin := range binaryPairs(t) {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "done") }))
			t.Cleanup(server.Close)
			socket, dir := clientSocket(t), "TMPDIR="+t.TempDir()
			list := startDiscovery(t, "s-1", server).Listener.Addr().String()
			startedAt := time.Now()
			before := startBinary(t, bin[0], testConfig, list, socket, dir)
			served := before.countServed("before-", 20)
			after := startBinary(t, bin[1], testConfig, list, socket, dir)
			require.Contains(t, strings.Join(after.logged, "\n"), "taken over")
			before.signal(syscall.SIGTERM)
			before.waitForLog("drained")
			require.NoError(t, before.Wait())
			served += after.countServed("after-", 30)
			maxServed := 8 + int(time.Since(startedAt).Seconds()/2) + 1
			require.Positive(t, served)
			require.LessOrEqual(t, served, maxServed, "more than a burst of 8 tokens and half a token per second for both processes")
			after.signal(syscall.SIGTERM)
			after.waitForLog("drained")
			require.NoError(t, after.Wait())
		})
	}
}

// A process restores the state folder of a killed process of another version.
func TestStateFolderOfAnotherVersion(t *testing.T) {
	for name, bin := range binaryPairs(t) {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "done") }))
			t.Cleanup(server.Close)
			list := startDiscovery(t, "s-1", server).Listener.Addr().String()
			dir := t.TempDir()
			fleet := filepath.Join(dir, "fleet.toml")
			require.NoError(t, os.WriteFile(fleet, fmt.Appendf(nil, "[state]\ndir = %q\n", filepath.Join(dir, "state")), 0o600))
			startedAt := time.Now()
			before := startBinary(t, bin[0], testConfig, list, nil, "NODE_FLEET="+fleet)
			served := before.countServed("before-", 20)
			require.Eventually(t, func() bool {
				info, err := os.Stat(filepath.Join(dir, "state", "state"))
				return err == nil && info.Size() > 0
			}, 5*time.Second, 10*time.Millisecond)
			time.Sleep(time.Second) // time for two writes of the state
			require.NoError(t, before.Process.Kill())
			_ = before.Wait()
			after := startBinary(t, bin[1], testConfig, list, nil, "NODE_FLEET="+fleet)
			log := strings.Join(after.logged, "\n")
			// The second text is that of another version; this one does not log it.
			require.True(t, strings.Contains(log, "state: restored") || strings.Contains(log, "state: taken"), log)
			served += after.countServed("after-", 20)
			require.LessOrEqual(t, served, 8+int(time.Since(startedAt).Seconds()/2)+1, "more than a burst of 8 tokens and half a token per second for both processes")
			after.signal(syscall.SIGTERM)
			after.waitForLog("drained")
			require.NoError(t, after.Wait())
		})
	}
}
