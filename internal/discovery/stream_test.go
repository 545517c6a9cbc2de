package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/fleet/subset"
	"sloestile/internal/discovery/discoverytest"
)

// subsetWatch is a watcher that uses a subset, with the updates that it has passed on.
type subsetWatch struct {
	*Watcher
	updates    chan Update
	dropped    chan *ListError
	inUse      map[string]Target // servers in use after the applied updates, by UID
	lastUpdate Update
}

// startSubset starts a watcher for node 3 of 5,800 that starts with a cached list.
func startSubset(t *testing.T, addr string, cfg subset.Config, cached Update) *subsetWatch {
	t.Helper()
	cfg.Node = 3
	s := &subsetWatch{updates: make(chan Update, 100), dropped: make(chan *ListError, 100), inUse: map[string]Target{}}
	w, err := New(Config{Address: addr, FleetSize: 5800, DrainGrace: time.Second, Seed: 1, Subset: &cfg,
		OnUpdate: func(u Update) { s.updates <- u }, OnDegraded: func(bool) {}, OnDropped: func(err *ListError) { s.dropped <- err }})
	require.NoError(t, err)
	s.Watcher = w
	s.applyUpdate(w.Adopt(cached, true), true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

// applyUpdate applies an update as the node does. replace drops the servers in use before.
func (s *subsetWatch) applyUpdate(u Update, replace bool) {
	if u.All || replace {
		clear(s.inUse)
	}
	for _, t := range u.Targets {
		if t.Status() == Removed {
			delete(s.inUse, t.UID)
		} else {
			s.inUse[t.UID] = t
		}
	}
	s.lastUpdate = u
}

// next waits for the next update and applies it.
func (s *subsetWatch) next(t *testing.T) Update {
	t.Helper()
	u := next(t, s.updates)
	s.applyUpdate(u, false)
	return u
}

// uids returns the sorted UIDs of the servers in use.
func (s *subsetWatch) uids() []string { return slices.Sorted(maps.Keys(s.inUse)) }

// chosenUIDs returns the sorted UIDs of the servers that node 3 chooses from a complete list.
func chosenUIDs(t *testing.T, cfg subset.Config, all []Target) (uids []string) {
	t.Helper()
	cfg.Node = 3
	set, err := subset.New(cfg)
	require.NoError(t, err)
	list := set.NewList()
	for i := range all {
		require.NoError(t, list.Add(all[i].server()))
	}
	set.Replace(list)
	for _, x := range set.Chosen() {
		uids = append(uids, x.ID)
	}
	slices.Sort(uids)
	return uids
}

// servers returns n targets in 17 zones.
func servers(n int) []Target {
	all := make([]Target, n)
	for i := range all {
		all[i] = Target{UID: fmt.Sprintf("server-%06d", i), Endpoint: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprintf("zone-%02d", i%17), Model: fmt.Sprint("model-", i%5), Group: i % 64, State: "up", Capacity: 1, BootMS: 1.7e12 + float64(i)}
	}
	return all
}

// encodeUpdate returns a message as discovery sends it: compact, or indented if indent is not empty.
func encodeUpdate(t *testing.T, u Update, indent string) string {
	t.Helper()
	raw, err := json.MarshalIndent(u, "", indent)
	if indent == "" {
		raw, err = json.Marshal(u)
	}
	require.NoError(t, err)
	return string(raw) + "\n"
}

// requireBounded requires that the number of servers in use is within the bound of cfg.
func (s *subsetWatch) requireBounded(t *testing.T, cfg subset.Config) {
	t.Helper()
	require.LessOrEqual(t, len(s.inUse), cfg.MaxChosen())
}

var smallSubset = subset.Config{MaxServers: 20, MinPerZone: subset.NoZoneMinimum, MaxListed: 100}

// A list of 85,000 entries and over 4 MB, compact or indented, yields a subset of some 200. A change outside the subset
// is not passed on, and one within it is passed on as a few entries.
func TestListOfTargetSizeYieldsSubset(t *testing.T) {
	cfg := subset.Config{MaxServers: 200, MinPerZone: 2, MaxListed: 131072}
	all := servers(85_000)
	for _, indent := range []string{"", "  "} {
		text := encodeUpdate(t, Update{Rev: 7, All: true, Targets: all}, indent)
		require.Greater(t, len(text), maxMessageBytes)
		server := &chunkServer{}
		addr := server.start(t)
		s := startSubset(t, addr, cfg, Update{})
		server.send(text)
		startedAt := time.Now()
		u := s.next(t)
		t.Logf("list of %d bytes passed on after %v", len(text), time.Since(startedAt).Round(time.Millisecond))
		require.Equal(t, int64(7), u.Rev)
		require.Equal(t, chosenUIDs(t, cfg, all), s.uids())
		s.requireBounded(t, cfg)
		require.GreaterOrEqual(t, len(s.inUse), 200)
		require.InDelta(t, 13.6, u.NodesPerServer, 1.5)
		require.Equal(t, int64(85_000), s.Counts().Listed.Load())
		require.Equal(t, int64(len(s.inUse)), s.Counts().Chosen.Load())

		var inSubset, notInSubset Target
		for _, x := range all {
			if _, ok := s.inUse[x.UID]; ok {
				inSubset = x
			} else {
				notInSubset = x
			}
		}
		notInSubset.State, inSubset.State = "draining", "draining"
		server.send(encodeUpdate(t, Update{Rev: 8, Targets: []Target{notInSubset}}, ""))
		server.send(encodeUpdate(t, Update{Rev: 9, Targets: []Target{inSubset}}, indent))
		u = s.next(t)
		require.Equal(t, int64(9), u.Rev, "a change outside the subset was passed on")
		require.LessOrEqual(t, len(u.Targets), 3)
		require.Equal(t, Draining, statusOf(s.inUse[inSubset.UID]))
	}
}

// statusOf returns the status of a target that is not addressable.
func statusOf(t Target) Status { return t.Status() }

// The list of 85,000 servers, with the watcher's other data, uses less than 16 MB of the heap. The memory budget of a
// node is 128 MB, of which an eighth is for the list.
func TestHeapOfTheWholeList(t *testing.T) {
	cfg := subset.Config{MaxServers: 200, MinPerZone: 2, MaxListed: 131072}
	server := &chunkServer{}
	addr := server.start(t)
	s := startSubset(t, addr, cfg, Update{})
	for !server.called() {
		time.Sleep(time.Millisecond)
	}
	before := heapBytes()
	func() { server.send(encodeUpdate(t, Update{Rev: 7, All: true, Targets: servers(85_000)}, "")) }()
	s.next(t)
	usedMB := float64(heapBytes()-before) / (1 << 20)
	t.Logf("%.1f MB of heap", usedMB)
	assert.Less(t, usedMB, 16.0)
	assert.Greater(t, usedMB, 1.0, "the list is not in memory")
	runtime.KeepAlive(s)
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// The fields of a message may be in any order, even "targets" before "all", and unknown fields are skipped.
func TestFieldsInAnyOrder(t *testing.T) {
	entries := encodeUpdate(t, Update{Targets: servers(50)}, "")
	entries = entries[strings.Index(entries, "["):strings.LastIndex(entries, "}")]
	for _, text := range []string{
		`{"rev":7,"all":true,"targets":` + entries + `}`,
		`{"targets":` + entries + `,"all":true,"rev":7}`,
		`{"all":true,"more":{"a":[1,2]},"targets":` + entries + `,"rev":7}`,
		`{"Rev":7,"TARGETS":` + entries + `,"x":null,"All":true}`,
	} {
		a := discoverytest.NewServer(t)
		s := startSubset(t, a.Addr(), smallSubset, Update{})
		a.Chunks <- "\n\n" + text + "\n"
		u := s.next(t)
		require.Equal(t, int64(7), u.Rev)
		require.Len(t, s.inUse, 20)
		require.Equal(t, int64(50), s.Counts().Listed.Load())
	}
}

// An unusable message is dropped whole and reported with an error of the expected type. The previous list stays in use,
// and the next one is applied.
func TestBadMessagesAreDroppedWhole(t *testing.T) {
	completeList := func(change func([]Target) []Target) string {
		return strings.TrimSpace(encodeUpdate(t, Update{Rev: 8, All: true, Targets: change(servers(50))}, ""))
	}
	addContradiction := func(all []Target) []Target {
		duplicate := all[3]
		duplicate.State = "draining"
		return append(all, duplicate)
	}
	for name, x := range map[string]struct {
		message    string
		isExpected func(error) bool
	}{
		"too many entries":     {completeList(func(all []Target) []Target { return servers(101) }), is[*subset.TooManyError]},
		"entry too long":       {completeList(func(all []Target) []Target { all[9].Model = strings.Repeat("m", maxEntryBytes); return all }), is[*EntrySizeError]},
		"field too long":       {completeList(func(all []Target) []Target { all[9].Model = strings.Repeat("m", 300); return all }), is[*subset.EntryError]},
		"contradictory list":   {completeList(addContradiction), is[*subset.EntryError]},
		"contradictory delta":  {strings.Replace(completeList(addContradiction), `"all":true`, `"all":false`, 1), is[*subset.EntryError]},
		"no uid":               {completeList(func(all []Target) []Target { all[9].UID = ""; return all }), is[*MalformedError]},
		"no endpoint":          {completeList(func(all []Target) []Target { all[9].Endpoint = "x"; return all }), is[*MalformedError]},
		"truncated":            {completeList(func(all []Target) []Target { return all })[:3000], is[*TruncatedError]},
		"not JSON":             {`{"rev":8,"all":true,"targets":[{"uid":}]}`, is[*MalformedError]},
		"not an object":        {`[1]`, is[*MalformedError]},
		"wrong type":           {`{"rev":8,"all":"yes"}`, is[*MalformedError]},
		"duplicate field":      {`{"rev":8,"rev":9}`, is[*MalformedError]},
		"no targets":           {`{"rev":8,"all":true}`, is[error]},
		"targets not an array": {`{"rev":8,"all":true,"targets":7}`, is[*MalformedError]},
		"older revision":       {`{"rev":3,"targets":[]}`, is[*VersionError]},
		"unbounded field":      {`{"rev":8,"x":"` + strings.Repeat("y", 3*maxEntryBytes), is[*EntrySizeError]},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := discoverytest.NewServer(t)
			s := startSubset(t, a.Addr(), smallSubset, Update{})
			next(t, a.Requests)
			a.Chunks <- encodeUpdate(t, Update{Rev: 7, All: true, Targets: servers(40)}, "")
			s.next(t)
			require.Equal(t, chosenUIDs(t, smallSubset, servers(40)), s.uids())
			a.Chunks <- x.message
			a.Chunks <- "" // closes the connection
			err := error(next(t, s.dropped))
			require.True(t, x.isExpected(err), "%v", err)
			require.NotContains(t, err.Error(), "\n")
			require.Empty(t, s.dropped)
			require.Equal(t, int64(40), s.Counts().Listed.Load(), "the previous list is no longer in use")
			q := next(t, a.Requests)
			require.Equal(t, name == "older revision", !strings.Contains(q, "from=7"), "requested %s", q)
			all := servers(45)
			a.Chunks <- encodeUpdate(t, Update{Rev: 9, All: true, Targets: all}, " ")
			s.next(t)
			require.Equal(t, chosenUIDs(t, smallSubset, all), s.uids())
			require.Equal(t, int64(45), s.Counts().Listed.Load())
		})
	}
}

// is reports whether err is or wraps an error of type E.
func is[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

// chunkServer is a discovery that sends chunks of a response body to its callers.
type chunkServer struct {
	mu     sync.Mutex
	calls  int // number of calls received
	chunks chan string
}

// start starts the server and returns its address.
func (c *chunkServer) start(t *testing.T) (addr string) {
	c.chunks = make(chan string, 10)
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.calls++
		c.mu.Unlock()
		w.(http.Flusher).Flush()
		for {
			select {
			case text := <-c.chunks:
				_, _ = io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			case <-done:
				return
			}
		}
	}))
	t.Cleanup(func() { close(done); srv.Close() })
	return srv.Listener.Addr().String()
}

// send queues a chunk for the next caller that is ready to receive it.
func (c *chunkServer) send(text string) { c.chunks <- text }

// called reports whether the server has received a call.
func (c *chunkServer) called() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls > 0
}
