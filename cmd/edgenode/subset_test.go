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
const drainWithin = 2 * time.Second

const subsetFile = `[subset]
servers = 6
zone_least = 2
list_most = 100
[state]
dir = %q
`

// subsetOf gives the servers that node 0 uses of a list, in order.
func subsetOf(t *testing.T, list []listwatch.Target) (uids []string) {
	t.Helper()
	set, err := subset.New(subset.Config{MaxServers: 6, MinPerZone: 2, MaxListed: 100})
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
const clientPause = 20 * time.Millisecond

// clients ask a program in turn, and note what came of each request.
type clients struct {
	p      *program
	prefix string
	stop   chan struct{}
	once   sync.Once
	done   sync.WaitGroup
	asked  atomic.Int64
	mu     sync.Mutex
	ends   map[string][]string // by request
}

// broken tells whether a request's connection broke before its answer.
func broken(answer string) bool { return !strings.Contains(answer, " close=") }

// startClients has eight clients send to a program until end, or its connections break.
func startClients(t *testing.T, p *program, prefix string) *clients {
	c := &clients{p: p, prefix: prefix, stop: make(chan struct{}), ends: map[string][]string{}}
	t.Cleanup(c.halt)
	go func() { // else the program stands still when its log is full
		for p.lines.Scan() {
		}
	}()
	for range 8 {
		c.done.Go(func() {
			for {
				select {
				case <-c.stop:
					return
				case <-time.After(clientPause): // together within the quota of their one customer
				}
				id := fmt.Sprint(prefix, c.asked.Add(1))
				answer := <-p.ask(id)
				c.mu.Lock()
				c.ends[id] = append(c.ends[id], answer)
				c.mu.Unlock()
				if broken(answer) {
					return // the process has ended, or the test has failed
				}
			}
		})
	}
	return c
}

// more waits until n more requests have been answered.
func (c *clients) more(t *testing.T, n int64) {
	t.Helper()
	until := c.asked.Load() + n + 8
	require.Eventually(t, func() bool { return c.asked.Load() >= until }, 20*time.Second, time.Millisecond)
}

// halt ends the clients.
func (c *clients) halt() {
	c.once.Do(func() { close(c.stop) })
	c.done.Wait()
}

// end stops the clients and requires one final answer of each request: served, but for those that a killed
// process held, whose connections broke.
func (c *clients) end(t *testing.T, killed bool) {
	t.Helper()
	c.halt()
	cut := 0
	for id, ends := range c.ends {
		require.Len(t, ends, 1, "answers of %s", id)
		if strings.HasPrefix(ends[0], "200 ") {
			continue
		}
		require.True(t, killed && broken(ends[0]), "%s: %s", id, ends[0])
		cut++
	}
	t.Logf("%s: %d requests, %d broken off", c.prefix, len(c.ends), cut)
	require.Greater(t, len(c.ends), 100)
}

// A node with a subset of a list serves through drains of chosen servers and a kill while the list changes:
// each request has one final answer, nothing comes to a server later than 2 s after its node was told that
// it drains, and the next process uses the subset that the list makes, as every later one.
func TestSubsetThroughDrainsAndAKill(t *testing.T) {
	servers, targets := newServerFleet(t, 40)
	source := newListSource(t, targets)
	file := filepath.Join(t.TempDir(), "fleet.toml")
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf(subsetFile, filepath.Join(t.TempDir(), "state"))), 0o600))
	var firstCalls []int // of each process
	begin := func() (*program, time.Time) {
		at := time.Now()
		firstCalls = append(firstCalls, len(source.calls()))
		return startWith(t, build(t), testConfig, source.Listener.Addr().String(), nil, "NODE_FLEET="+file), at
	}
	// used has a running program send until all of its subset have got something, and nobody else.
	used := func(c *clients, from time.Time) []string {
		want := subsetOf(t, source.list())
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); c.more(t, 20) {
			got := slices.Sorted(maps.Keys(servers.since(from)))
			if slices.Equal(want, got) {
				break
			}
		}
		c.more(t, 300)
		require.Equal(t, want, slices.Sorted(maps.Keys(servers.since(from))))
		return want
	}
	// calm has it send until long after servers were told to drain, and judges what came to these.
	calm := func(c *clients, told time.Time, uids ...string) {
		for time.Since(told) < drainWithin+time.Second {
			c.more(t, 20)
		}
		for uid, last := range servers.since(told) {
			if slices.Contains(uids, uid) {
				require.LessOrEqual(t, last.Sub(told), drainWithin, "%s got a request after it was told to drain", uid)
			}
		}
	}

	a, started := begin()
	first := startClients(t, a, "a")
	chosen := used(first, started)
	require.Len(t, chosen, 6)
	source.set("draining", chosen[:3]...) // half of the subset at once
	at, _ := source.drainedAt(chosen[0])
	calm(first, at, chosen[:3]...)
	source.set("removed", chosen[0])
	second := used(first, time.Now())
	require.NotEqual(t, chosen, second)

	source.set("draining", second[0])
	a.signal(syscall.SIGKILL)
	source.set("removed", second[1]) // while no process is there
	source.set("up", chosen[1])
	_ = a.Wait()
	first.end(t, true)

	b, started := begin()
	next := startClients(t, b, "b")
	calm(next, started, second[0], second[1], chosen[0], chosen[2])
	third := used(next, time.Now())
	b.signal(syscall.SIGKILL)
	_ = b.Wait()
	next.end(t, true)

	c, started := begin()
	last := startClients(t, c, "c")
	calm(last, started, second[0], second[1], chosen[0], chosen[2])
	require.Equal(t, third, used(last, started), "another subset after the restart")
	last.end(t, false)
	for _, call := range firstCalls[1:] {
		require.Equal(t, "/v1/servers?watch=1", source.calls()[call], "a process that begins with a subset asks for changes only")
	}
}
