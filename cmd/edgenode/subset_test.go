package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/fleet/subset"
	"sloestile/internal/discovery"
)

// drainGrace is the maximum time for which a server may get requests after the discovery lists it as draining.
const drainGrace = 2 * time.Second

const subsetFleetFile = `[subset]
servers = 6
zone_least = 2
list_most = 100
[state]
dir = %q
`

// expectedSubset returns the sorted IDs of the servers that node 0 uses of a list.
func expectedSubset(t *testing.T, list []discovery.Target) (uids []string) {
	t.Helper()
	set, err := subset.New(subset.Config{MaxServers: 6, MinPerZone: 2, MaxListed: 100})
	require.NoError(t, err)
	staged := set.NewList()
	for _, x := range list {
		state := subset.Available
		if x.Status() != discovery.Available {
			state = subset.Draining
		}
		require.NoError(t, staged.Add(subset.Server{ID: x.UID, Endpoint: x.Endpoint, Zone: x.Zone, Group: x.Group, Capacity: x.Capacity, State: state}))
	}
	set.Replace(staged)
	for _, x := range set.Chosen() {
		if x.State == subset.Available {
			uids = append(uids, x.ID)
		}
	}
	slices.Sort(uids)
	return uids
}

// clientInterval is the time between two requests of a client.
const clientInterval = 20 * time.Millisecond

// requestClients send requests to a program and record the result of each.
type requestClients struct {
	p         *program
	prefix    string
	stop      chan struct{}
	stopOnce  sync.Once
	done      sync.WaitGroup
	sentCount atomic.Int64
	mu        sync.Mutex
	responses map[string][]string // results by request ID
}

// connectionBroken reports whether a request's connection broke before its response.
func connectionBroken(response string) bool { return !strings.Contains(response, " close=") }

// startClients starts eight clients, which send until they are stopped or their connections break.
func startClients(t *testing.T, p *program, prefix string) *requestClients {
	c := &requestClients{p: p, prefix: prefix, stop: make(chan struct{}), responses: map[string][]string{}}
	t.Cleanup(c.stopAndWait)
	go func() { // reads the log, because the program blocks when the pipe is full
		for p.logLines.Scan() {
		}
	}()
	for range 8 {
		c.done.Go(func() {
			for {
				select {
				case <-c.stop:
					return
				case <-time.After(clientInterval): // keeps the clients together within the quota of their one tenant
				}
				id := fmt.Sprint(prefix, c.sentCount.Add(1))
				response := <-p.get(id)
				c.mu.Lock()
				c.responses[id] = append(c.responses[id], response)
				c.mu.Unlock()
				if connectionBroken(response) {
					return // the process has exited, or the test has failed
				}
			}
		})
	}
	return c
}

// waitForRequests waits until n more requests have been answered. It waits for 8 more to be sent, because each of the
// eight clients may have one in flight.
func (c *requestClients) waitForRequests(t *testing.T, n int64) {
	t.Helper()
	until := c.sentCount.Load() + n + 8
	require.Eventually(t, func() bool { return c.sentCount.Load() >= until }, 20*time.Second, time.Millisecond)
}

// stopAndWait stops the clients and waits for their last results.
func (c *requestClients) stopAndWait() {
	c.stopOnce.Do(func() { close(c.stop) })
	c.done.Wait()
}

// stopAndCheck stops the clients and requires exactly one result of each request: a served one or, if the process was
// killed, a broken connection.
func (c *requestClients) stopAndCheck(t *testing.T, killed bool) {
	t.Helper()
	c.stopAndWait()
	brokenCount := 0
	for id, results := range c.responses {
		require.Len(t, results, 1, "results of %s", id)
		if strings.HasPrefix(results[0], "200 ") {
			continue
		}
		require.True(t, killed && connectionBroken(results[0]), "%s: %s", id, results[0])
		brokenCount++
	}
	t.Logf("%s: %d requests, %d with a broken connection", c.prefix, len(c.responses), brokenCount)
	require.Greater(t, len(c.responses), 100)
}

// A node that uses a subset of the endpoint list keeps serving while servers of the subset drain and while the process
// is killed and the list changes. Each request has one result, a server gets no request later than 2 s after it is
// listed as draining, and each later process uses the subset that the current list determines.
func TestSubsetSurvivesDrainsAndKills(t *testing.T) {
	servers, targets := newRatingServers(t, 40)
	source := newDiscoveryServer(t, targets)
	file := filepath.Join(t.TempDir(), "fleet.toml")
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf(subsetFleetFile, filepath.Join(t.TempDir(), "state"))), 0o600))
	var firstRequests []int // index of each process's first request to the discovery
	startNode := func() (*program, time.Time) {
		at := time.Now()
		firstRequests = append(firstRequests, len(source.requests()))
		return startBinary(t, edgenodeBinary(t), testConfig, source.Listener.Addr().String(), nil, "NODE_FLEET="+file), at
	}
	// waitForSubset waits until all servers of the expected subset, and no others, have got requests since from.
	waitForSubset := func(c *requestClients, from time.Time) []string {
		want := expectedSubset(t, source.list())
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); c.waitForRequests(t, 20) {
			got := slices.Sorted(maps.Keys(servers.lastReceivedSince(from)))
			if slices.Equal(want, got) {
				break
			}
		}
		c.waitForRequests(t, 300)
		require.Equal(t, want, slices.Sorted(maps.Keys(servers.lastReceivedSince(from))))
		return want
	}
	// checkDrained waits until well after drainedAt, while the clients send, and checks that the servers uids got no
	// request after the grace period.
	checkDrained := func(c *requestClients, drainedAt time.Time, uids ...string) {
		for time.Since(drainedAt) < drainGrace+time.Second {
			c.waitForRequests(t, 20)
		}
		for uid, last := range servers.lastReceivedSince(drainedAt) {
			if slices.Contains(uids, uid) {
				require.LessOrEqual(t, last.Sub(drainedAt), drainGrace, "%s got a request later than the grace period after it was listed as draining", uid)
			}
		}
	}

	a, startedAt := startNode()
	firstClients := startClients(t, a, "a")
	firstSubset := waitForSubset(firstClients, startedAt)
	require.Len(t, firstSubset, 6)
	source.setState("draining", firstSubset[:3]...) // half of the subset at once
	at, _ := source.drainedAt(firstSubset[0])
	checkDrained(firstClients, at, firstSubset[:3]...)
	source.setState("removed", firstSubset[0])
	secondSubset := waitForSubset(firstClients, time.Now())
	require.NotEqual(t, firstSubset, secondSubset)

	source.setState("draining", secondSubset[0])
	a.signal(syscall.SIGKILL)
	source.setState("removed", secondSubset[1]) // while no process runs
	source.setState("up", firstSubset[1])
	_ = a.Wait()
	firstClients.stopAndCheck(t, true)

	b, startedAt := startNode()
	secondClients := startClients(t, b, "b")
	checkDrained(secondClients, startedAt, secondSubset[0], secondSubset[1], firstSubset[0], firstSubset[2])
	thirdSubset := waitForSubset(secondClients, time.Now())
	b.signal(syscall.SIGKILL)
	_ = b.Wait()
	secondClients.stopAndCheck(t, true)

	c, startedAt := startNode()
	thirdClients := startClients(t, c, "c")
	checkDrained(thirdClients, startedAt, secondSubset[0], secondSubset[1], firstSubset[0], firstSubset[2])
	require.Equal(t, thirdSubset, waitForSubset(thirdClients, startedAt), "the subset changed with the restart")
	thirdClients.stopAndCheck(t, false)
	for _, call := range firstRequests[1:] {
		require.Equal(t, "/v1/servers?watch=1", source.requests()[call], "a restarted process requested something other than the complete list")
	}
}
