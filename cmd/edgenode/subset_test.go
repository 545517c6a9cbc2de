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
	listwatch "sloestile/internal/discovery"
)

// drainWithin is the platform's grace: nothing comes to a server later than this after it was told to drain.
const drainGrace = 2 * time.Second

const subsetFleetFile = `[subset]
servers = 6
zone_least = 2
list_most = 100
[state]
dir = %q
`

// subsetOf gives the servers that node 0 uses of a list, in order.
func expectedSubset(t *testing.T, list []listwatch.Target) (uids []string) {
	t.Helper()
	set, err := subset.New(subset.Config{Most: 6, ZoneLeast: 2, ListMost: 100})
	require.NoError(t, err)
	staged := set.NewList()
	for _, x := range list {
		state := subset.Available
		if x.Status() != listwatch.Available {
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

// clientPause is between two requests of a client.
const clientInterval = 20 * time.Millisecond

// clients ask a program in turn, and note what came of each request.
type requestClients struct {
	p         *program
	prefix    string
	stop      chan struct{}
	once      sync.Once
	done      sync.WaitGroup
	sentCount atomic.Int64
	mu        sync.Mutex
	answers   map[string][]string // by request
}

// broken tells whether a request's connection broke before its answer.
func connectionBroken(answer string) bool { return !strings.Contains(answer, " close=") }

// startClients has eight clients send to a program until end, or its connections break.
func startClients(t *testing.T, p *program, prefix string) *requestClients {
	c := &requestClients{p: p, prefix: prefix, stop: make(chan struct{}), answers: map[string][]string{}}
	t.Cleanup(c.stopAndWait)
	go func() { // else the program stands still when its log is full
		for p.logLines.Scan() {
		}
	}()
	for range 8 {
		c.done.Go(func() {
			for {
				select {
				case <-c.stop:
					return
				case <-time.After(clientInterval): // together within the quota of their one customer
				}
				id := fmt.Sprint(prefix, c.sentCount.Add(1))
				answer := <-p.get(id)
				c.mu.Lock()
				c.answers[id] = append(c.answers[id], answer)
				c.mu.Unlock()
				if connectionBroken(answer) {
					return // the process has ended, or the test has failed
				}
			}
		})
	}
	return c
}

// more waits until n more requests have been answered.
func (c *requestClients) waitForRequests(t *testing.T, n int64) {
	t.Helper()
	until := c.sentCount.Load() + n + 8
	require.Eventually(t, func() bool { return c.sentCount.Load() >= until }, 20*time.Second, time.Millisecond)
}

// halt ends the clients.
func (c *requestClients) stopAndWait() {
	c.once.Do(func() { close(c.stop) })
	c.done.Wait()
}

// end stops the clients and requires one final answer of each request: served, but for those that a killed
// process held, whose connections broke.
func (c *requestClients) stopAndCheck(t *testing.T, killed bool) {
	t.Helper()
	c.stopAndWait()
	brokenCount := 0
	for id, ends := range c.answers {
		require.Len(t, ends, 1, "answers of %s", id)
		if strings.HasPrefix(ends[0], "200 ") {
			continue
		}
		require.True(t, killed && connectionBroken(ends[0]), "%s: %s", id, ends[0])
		brokenCount++
	}
	t.Logf("%s: %d requests, %d broken off", c.prefix, len(c.answers), brokenCount)
	require.Greater(t, len(c.answers), 100)
}

// A node with a subset of a list serves through drains of chosen servers and a kill while the list changes:
// each request has one final answer, nothing comes to a server later than 2 s after its node was told that
// it drains, and the next process uses the subset that the list makes, as every later one.
func TestSubsetSurvivesDrainsAndKills(t *testing.T) {
	servers, targets := newRatingServers(t, 40)
	source := newDiscoveryServer(t, targets)
	file := filepath.Join(t.TempDir(), "fleet.toml")
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf(subsetFleetFile, filepath.Join(t.TempDir(), "state"))), 0o600))
	var firstRequests []int // of each process
	startNode := func() (*program, time.Time) {
		at := time.Now()
		firstRequests = append(firstRequests, len(source.requests()))
		return startBinary(t, edgenodeBinary(t), testConfig, source.Listener.Addr().String(), nil, "NODE_FLEET="+file), at
	}
	// used has a running program send until all of its subset have got something, and nobody else.
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
	// calm has it send until long after servers were told to drain, and judges what came to these.
	checkDrained := func(c *requestClients, drainedAt time.Time, uids ...string) {
		for time.Since(drainedAt) < drainGrace+time.Second {
			c.waitForRequests(t, 20)
		}
		for uid, last := range servers.lastReceivedSince(drainedAt) {
			if slices.Contains(uids, uid) {
				require.LessOrEqual(t, last.Sub(drainedAt), drainGrace, "%s got a request after it was told to drain", uid)
			}
		}
	}

	a, started := startNode()
	first := startClients(t, a, "a")
	chosen := waitForSubset(first, started)
	require.Len(t, chosen, 6)
	source.setState("draining", chosen[:3]...) // half of the subset at once
	at, _ := source.drainedAt(chosen[0])
	checkDrained(first, at, chosen[:3]...)
	source.setState("removed", chosen[0])
	second := waitForSubset(first, time.Now())
	require.NotEqual(t, chosen, second)

	source.setState("draining", second[0])
	a.signal(syscall.SIGKILL)
	source.setState("removed", second[1]) // while no process is there
	source.setState("up", chosen[1])
	_ = a.Wait()
	first.stopAndCheck(t, true)

	b, started := startNode()
	next := startClients(t, b, "b")
	checkDrained(next, started, second[0], second[1], chosen[0], chosen[2])
	third := waitForSubset(next, time.Now())
	b.signal(syscall.SIGKILL)
	_ = b.Wait()
	next.stopAndCheck(t, true)

	c, started := startNode()
	last := startClients(t, c, "c")
	checkDrained(last, started, second[0], second[1], chosen[0], chosen[2])
	require.Equal(t, third, waitForSubset(last, started), "another subset after the restart")
	last.stopAndCheck(t, false)
	for _, call := range firstRequests[1:] {
		require.Equal(t, "/v1/servers?watch=1", source.requests()[call], "a process that begins with a subset asks for changes only")
	}
}
