package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"
)

func next[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func startWatch(t *testing.T, a *agent, rev int64, silence time.Duration) (<-chan listing, *watcher) {
	told := make(chan listing, 100)
	w := newWatcher(a.addr(), listing{Rev: rev}, 2, 1, func(l listing) { told <- l })
	w.silence = silence
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return told, w
}

const oneUp = `{"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","model":"m2","pod_group":3,"state":"up","boot_ms":1700000000000}]}` + "\n"

// After each way in which a watch can break, the next asks from the last whole version.
func TestWatchComesBack(t *testing.T) {
	for name, tc := range map[string]struct{ line, from string }{
		"ended":              {"", "from=43"},
		"cut off in a line":  {`{"rev":44,"all":fal`, "from=43"},
		"not JSON":           {"<html>\n", "from=43"},
		"a target of no uid": {`{"rev":44,"targets":[{"endpoint":"127.0.0.1:9","state":"up"}]}` + "\n", "from=43"},
		"no endpoint":        {`{"rev":44,"targets":[{"uid":"s-2","state":"up"}]}` + "\n", "from=43"},
		"no targets":         {`{"rev":44,"all":true}` + "\n", "from=43"},
		"a time of no clock": {strings.Replace(strings.Replace(oneUp, "43", "44", 1), "1700000000000", "1e300", 1), "from=43"},
		"a time below none":  {strings.Replace(strings.Replace(oneUp, "43", "44", 1), "1700000000000", "-5", 1), "from=43"},
		"counts anew":        {`{"rev":3,"targets":[]}` + "\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(t)
			told, _ := startWatch(t, a, 41, patience)
			if q := next(t, a.asked); !strings.Contains(q, "watch=1&from=41") {
				t.Errorf("asked %s", q)
			}
			a.tell <- "\n" // a heartbeat
			a.tell <- oneUp
			if l := next(t, told); l.Rev != 43 || l.All || l.Targets[0].Group != 3 || l.Targets[0].BootMS != 1700000000000 {
				t.Errorf("told %+v", l)
			}
			a.tell <- tc.line
			if tc.line != "" {
				a.tell <- ""
			}
			q := next(t, a.asked)
			if tc.from == "" && strings.Contains(q, "from") || !strings.Contains(q, tc.from) {
				t.Errorf("asked %s", q)
			}
			a.tell <- strings.Replace(oneUp, "43", "45", 1)
			if l := next(t, told); l.Rev != 45 {
				t.Errorf("told %+v", l)
			}
		})
	}
}

// A watch that says nothing is dead, though its connection is open.
func TestSilentWatch(t *testing.T) {
	a := newAgent(t)
	startWatch(t, a, 41, 50*time.Millisecond)
	next(t, a.asked)
	if q := next(t, a.asked); !strings.Contains(q, "from=41") {
		t.Errorf("asked %s", q)
	}
}

// After a move the new discovery is asked for its whole list at once, whatever versions
// the old one had come to, also where the old one is gone and a pause is on.
func TestWatchMoves(t *testing.T) {
	old, other := newAgent(t), newAgent(t)
	told, w := startWatch(t, old, 41, patience)
	next(t, old.asked)
	w.move(other.addr())
	if q := next(t, other.asked); strings.Contains(q, "from") {
		t.Errorf("asked %s", q)
	}
	other.tell <- `{"rev":2,"all":true,"targets":[]}` + "\n"
	if l := next(t, told); l.Rev != 2 || !l.All {
		t.Errorf("told %+v", l)
	}
	w.move("127.0.0.1:1") // nobody listens there
	w.move(old.addr())
	if q := next(t, old.asked); strings.Contains(q, "from") {
		t.Errorf("asked %s", q)
	}
}

// A node asks for what changed since its list, also where that has version 0; one without a list
// asks for all of it.
func TestWatchAsksForChanges(t *testing.T) {
	for want, known := range map[string]listing{
		"from=0":  {Targets: []target{{UID: "s-1", Endpoint: "127.0.0.1:9", State: "up"}}},
		"watch=1": {},
	} {
		a := newAgent(t)
		w := newWatcher(a.addr(), known, 2, 1, func(listing) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); w.run(ctx) }()
		if q := next(t, a.asked); !strings.HasSuffix(q, want) {
			t.Errorf("asked %s, not %s", q, want)
		}
		cancel()
		<-done
	}
}

// A herd spreads its first watches, over less time than that after which what it could have heard
// binds it, and waits longer and longer, by chance, while discovery has
// no room; a small group comes back soon.
func TestHerdGivesDiscoveryTime(t *testing.T) {
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer full.Close()
	for group, want := range map[int]struct{ first, least, most time.Duration }{
		3:  {0, backoffFirst / 4, backoffMost},
		36: {36 * herdTurn, 36 * herdTurn / 8, 2 * 36 * herdTurn},
		// Half a second at least, so 600 calls a second of all at most while discovery has no room.
		300: {herdMost, herdMost / 8, 2 * herdMost},
	} {
		w := newWatcher(full.Listener.Addr().String(), listing{Rev: 3}, group, 1, func(listing) {})
		ctx, cancel := context.WithCancel(context.Background())
		var pauses []time.Duration
		w.jitter = func(most time.Duration) time.Duration { return most }
		w.pause = func(_ context.Context, d time.Duration) {
			if pauses = append(pauses, d); len(pauses) == 10 {
				cancel()
			}
		}
		w.run(ctx)
		if pauses[0] != min(want.first, firstMost) {
			t.Errorf("%d nodes: the first watch after %v", group, pauses[0])
		}
		for i, d := range pauses[1:] {
			if d < want.least || d > want.most || i > 0 && d < pauses[i] {
				t.Errorf("%d nodes: pauses %v", group, pauses)
			}
		}
		if last := pauses[9]; last != want.most {
			t.Errorf("%d nodes: the longest pause is %v, not %v", group, last, want.most)
		}
	}
}

// Nodes that hear of servers in another order know them by the same keys.
func TestServersHaveTheSameKeyAtAllNodes(t *testing.T) {
	a, b := target{UID: "s-1", State: "up"}, target{UID: "s-2", State: "up"}
	if here, there := a.member(1), a.member(2); here.Key != there.Key || here.Key == 0 || here.Server == there.Server {
		t.Errorf("%+v and %+v", here, there)
	}
	if a.member(1).Key == b.member(1).Key {
		t.Error("two servers have one key")
	}
}

// The pauses of a watch come from the node's seed: those of many nodes differ, and one that is
// started again with a seed does as before.
func TestPausesOfWatchesComeFromTheSeed(t *testing.T) {
	first := map[time.Duration]bool{}
	for seed := range uint64(300) {
		pauses := func() (d []time.Duration) {
			w := newWatcher("127.0.0.1:9", listing{Rev: 3}, 300, seed, func(listing) {})
			for range 5 {
				d = append(d, w.jitter(time.Second))
			}
			return d
		}
		a, b := pauses(), pauses()
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d pauses for %v and for %v", seed, a, b)
		}
		first[a[0]/(100*time.Millisecond)] = true
	}
	if len(first) < 10 {
		t.Errorf("300 nodes begin in %d of the ten parts of a second", len(first))
	}
}
