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

// subsetWatch is a watcher that uses a subset, and what it has told.
type subsetWatch struct {
	*Watcher
	told    chan Update
	dropped chan *ListError
	shown   map[string]Target // by what it has told
	last    Update
}

// startSubset starts a watcher of node 3 of 5,800 that begins with a list.
func startSubset(t *testing.T, addr string, cfg subset.Config, held Update) *subsetWatch {
	t.Helper()
	cfg.Node = 3
	s := &subsetWatch{told: make(chan Update, 100), dropped: make(chan *ListError, 100), shown: map[string]Target{}}
	w, err := New(Config{Address: addr, FleetSize: 5800, DrainGrace: time.Second, Seed: 1, Subset: &cfg,
		OnUpdate: func(u Update) { s.told <- u }, OnDegraded: func(bool) {}, OnDropped: func(err *ListError) { s.dropped <- err }})
	require.NoError(t, err)
	s.Watcher = w
	s.show(w.Adopt(held, true), true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

// show takes an update as the node does.
func (s *subsetWatch) show(u Update, whole bool) {
	if u.All || whole {
		clear(s.shown)
	}
	for _, t := range u.Targets {
		if t.Status() == Removed {
			delete(s.shown, t.UID)
		} else {
			s.shown[t.UID] = t
		}
	}
	s.last = u
}

// next waits for the next update.
func (s *subsetWatch) next(t *testing.T) Update {
	t.Helper()
	u := next(t, s.told)
	s.show(u, false)
	return u
}

// uids are the servers that the node uses, in order.
func (s *subsetWatch) uids() []string { return slices.Sorted(maps.Keys(s.shown)) }

// chosen are the servers of a whole list that a node which begins with it uses, in order.
func chosen(t *testing.T, cfg subset.Config, all []Target) (uids []string) {
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

// servers gives n entries of a list, in some zones.
func servers(n int) []Target {
	all := make([]Target, n)
	for i := range all {
		all[i] = Target{UID: fmt.Sprintf("server-%06d", i), Endpoint: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprintf("zone-%02d", i%17), Model: fmt.Sprint("model-", i%5), Group: i % 64, State: "up", Capacity: 1, BootMS: 1.7e12 + float64(i)}
	}
	return all
}

// list gives a message as discovery sends it, compact or indented.
func list(t *testing.T, u Update, indent string) string {
	t.Helper()
	raw, err := json.MarshalIndent(u, "", indent)
	if indent == "" {
		raw, err = json.Marshal(u)
	}
	require.NoError(t, err)
	return string(raw) + "\n"
}

// bounded has every told update hold the stated number of servers at most.
func (s *subsetWatch) bounded(t *testing.T, cfg subset.Config) {
	t.Helper()
	require.LessOrEqual(t, len(s.shown), cfg.MaxChosen())
}

var small = subset.Config{MaxServers: 20, MinPerZone: subset.NoZoneMinimum, MaxListed: 100}

// A list of 85,000 entries, over 4 MB and indented, ends in a subset of some 200; a change that does not
// concern the node is not told to it, and one that does is a few entries.
func TestListAtTheTargetSizeEndsInASubset(t *testing.T) {
	cfg := subset.Config{MaxServers: 200, MinPerZone: 2, MaxListed: 131072}
	all := servers(85_000)
	for _, indent := range []string{"", "  "} {
		text := list(t, Update{Rev: 7, All: true, Targets: all}, indent)
		require.Greater(t, len(text), maxMessageBytes)
		d := &body{}
		addr := d.start(t)
		s := startSubset(t, addr, cfg, Update{})
		d.send(text)
		begun := time.Now()
		u := s.next(t)
		t.Logf("%d bytes, told after %v", len(text), time.Since(begun).Round(time.Millisecond))
		require.Equal(t, int64(7), u.Rev)
		require.Equal(t, chosen(t, cfg, all), s.uids())
		s.bounded(t, cfg)
		require.GreaterOrEqual(t, len(s.shown), 200)
		require.InDelta(t, 13.6, u.NodesPerServer, 1.5)
		require.Equal(t, int64(85_000), s.Counts().Listed.Load())
		require.Equal(t, int64(len(s.shown)), s.Counts().Chosen.Load())

		var concerned, other Target
		for _, x := range all {
			if _, ok := s.shown[x.UID]; ok {
				concerned = x
			} else {
				other = x
			}
		}
		other.State, concerned.State = "draining", "draining"
		d.send(list(t, Update{Rev: 8, Targets: []Target{other}}, ""))
		d.send(list(t, Update{Rev: 9, Targets: []Target{concerned}}, indent))
		u = s.next(t)
		require.Equal(t, int64(9), u.Rev, "a change that does not concern the node was told")
		require.LessOrEqual(t, len(u.Targets), 3)
		require.Equal(t, Draining, statusOf(s.shown[concerned.UID]))
	}
}

func statusOf(t Target) Status { return t.Status() }

// The server set of the target's size, with what the watcher holds beside it, takes under 16 MB of the
// heap: the budget of a node is 128 MB, and an eighth of it is the set's.
func TestHeapOfTheWholeList(t *testing.T) {
	cfg := subset.Config{MaxServers: 200, MinPerZone: 2, MaxListed: 131072}
	d := &body{}
	addr := d.start(t)
	s := startSubset(t, addr, cfg, Update{})
	for !d.asked() {
		time.Sleep(time.Millisecond)
	}
	before := heap()
	func() { d.send(list(t, Update{Rev: 7, All: true, Targets: servers(85_000)}, "")) }()
	s.next(t)
	took := float64(heap()-before) / (1 << 20)
	t.Logf("%.1f MB", took)
	assert.Less(t, took, 16.0)
	assert.Greater(t, took, 1.0, "the list is not held")
	runtime.KeepAlive(s)
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Fields come in any order, also the entries before what they are, and unknown ones are passed over.
func TestFieldsInAnyOrder(t *testing.T) {
	entries := list(t, Update{Targets: servers(50)}, "")
	entries = entries[strings.Index(entries, "["):strings.LastIndex(entries, "}")]
	for _, text := range []string{
		`{"rev":7,"all":true,"targets":` + entries + `}`,
		`{"targets":` + entries + `,"all":true,"rev":7}`,
		`{"all":true,"more":{"a":[1,2]},"targets":` + entries + `,"rev":7}`,
		`{"Rev":7,"TARGETS":` + entries + `,"x":null,"All":true}`,
	} {
		a := discoverytest.NewAgent(t)
		s := startSubset(t, a.Addr(), small, Update{})
		a.Tell <- "\n\n" + text + "\n"
		u := s.next(t)
		require.Equal(t, int64(7), u.Rev)
		require.Len(t, s.shown, 20)
		require.Equal(t, int64(50), s.Counts().Listed.Load())
	}
}

// A message that can't be used is dropped whole with an error that says why; the list before stays, and
// the next one is taken.
func TestBadMessagesAreDroppedWhole(t *testing.T) {
	whole := func(change func([]Target) []Target) string {
		return strings.TrimSpace(list(t, Update{Rev: 8, All: true, Targets: change(servers(50))}, ""))
	}
	other := func(all []Target) []Target {
		twin := all[3]
		twin.State = "draining"
		return append(all, twin)
	}
	for name, x := range map[string]struct {
		text string
		as   func(error) bool
	}{
		"too many entries":    {whole(func(all []Target) []Target { return servers(101) }), is[*subset.TooManyError]},
		"an entry too long":   {whole(func(all []Target) []Target { all[9].Model = strings.Repeat("m", maxEntryBytes); return all }), is[*EntrySizeError]},
		"a field too long":    {whole(func(all []Target) []Target { all[9].Model = strings.Repeat("m", 300); return all }), is[*subset.EntryError]},
		"contradictory":       {whole(other), is[*subset.EntryError]},
		"contradictory delta": {strings.Replace(whole(other), `"all":true`, `"all":false`, 1), is[*subset.EntryError]},
		"no uid":              {whole(func(all []Target) []Target { all[9].UID = ""; return all }), is[*MalformedError]},
		"no endpoint":         {whole(func(all []Target) []Target { all[9].Endpoint = "x"; return all }), is[*MalformedError]},
		"truncated":           {whole(func(all []Target) []Target { return all })[:3000], is[*TruncatedError]},
		"not JSON":            {`{"rev":8,"all":true,"targets":[{"uid":}]}`, is[*MalformedError]},
		"no object":           {`[1]`, is[*MalformedError]},
		"of other types":      {`{"rev":8,"all":"yes"}`, is[*MalformedError]},
		"a field twice":       {`{"rev":8,"rev":9}`, is[*MalformedError]},
		"no targets":          {`{"rev":8,"all":true}`, is[error]},
		"no array":            {`{"rev":8,"all":true,"targets":7}`, is[*MalformedError]},
		"a version back":      {`{"rev":3,"targets":[]}`, is[*VersionError]},
		"never ending":        {`{"rev":8,"x":"` + strings.Repeat("y", 3*maxEntryBytes), is[*EntrySizeError]},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := discoverytest.NewAgent(t)
			s := startSubset(t, a.Addr(), small, Update{})
			next(t, a.Asked)
			a.Tell <- list(t, Update{Rev: 7, All: true, Targets: servers(40)}, "")
			s.next(t)
			require.Equal(t, chosen(t, small, servers(40)), s.uids())
			a.Tell <- x.text
			a.Tell <- "" // the end of the connection
			err := error(next(t, s.dropped))
			require.True(t, x.as(err), "%v", err)
			require.NotContains(t, err.Error(), "\n")
			require.Empty(t, s.dropped)
			require.Equal(t, int64(40), s.Counts().Listed.Load(), "the list before does not stay")
			q := next(t, a.Asked)
			require.Equal(t, name == "a version back", !strings.Contains(q, "from=7"), "asked %s", q)
			all := servers(45)
			a.Tell <- list(t, Update{Rev: 9, All: true, Targets: all}, " ")
			s.next(t)
			require.Equal(t, chosen(t, small, all), s.uids())
			require.Equal(t, int64(45), s.Counts().Listed.Load())
		})
	}
}

func is[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

// body is a discovery whose every call has what is sent, in one piece or slowly.
type body struct {
	mu    sync.Mutex
	calls int
	text  chan string
}

func (d *body) start(t *testing.T) (addr string) {
	d.text = make(chan string, 10)
	over := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.calls++
		d.mu.Unlock()
		w.(http.Flusher).Flush()
		for {
			select {
			case text := <-d.text:
				_, _ = io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			case <-over:
				return
			}
		}
	}))
	t.Cleanup(func() { close(over); srv.Close() })
	return srv.Listener.Addr().String()
}

func (d *body) send(text string) { d.text <- text }

func (d *body) asked() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls > 0
}
