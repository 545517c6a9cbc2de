package discovery

import (
	"context"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sloestile/internal/discovery/discoverytest"
)

// patience bounds every wait of the tests; nothing is expected to come near it.
const patience = 30 * time.Second

func newWatcher(addr string, cached Update, fleetSize int, drainGrace time.Duration, seed uint64, onUpdate func(Update)) *Watcher {
	w, err := New(Config{Address: addr, FleetSize: fleetSize, DrainGrace: drainGrace, Seed: seed, OnUpdate: onUpdate, OnDegraded: func(bool) {}})
	if err != nil {
		panic(err)
	}
	w.Adopt(cached, true)
	return w
}

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

func startWatch(t *testing.T, a *discoverytest.Agent, rev int64) (<-chan Update, *Watcher) {
	updates := make(chan Update, 100)
	w := newWatcher(a.Addr(), Update{Rev: rev}, 2, time.Second, 1, func(u Update) { updates <- u })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return updates, w
}

const oneTargetUpdate = `{"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","model":"m2","pod_group":3,"state":"up","boot_ms":1700000000000}]}` + "\n"

// After each way in which a watch can break, the next asks from the last whole version.
func TestWatchReconnectsFromLastCompleteRevision(t *testing.T) {
	for name, tc := range map[string]struct{ sent, wantQuery string }{
		"ended":              {"", "from=43"},
		"cut off in a line":  {`{"rev":44,"all":fal`, "from=43"},
		"not JSON":           {"<html>\n", "from=43"},
		"a target of no uid": {`{"rev":44,"targets":[{"endpoint":"127.0.0.1:9","state":"up"}]}` + "\n", "from=43"},
		"no endpoint":        {`{"rev":44,"targets":[{"uid":"s-2","state":"up"}]}` + "\n", "from=43"},
		"no targets":         {`{"rev":44,"all":true}` + "\n", "from=43"},
		"a time of no clock": {strings.Replace(strings.Replace(oneTargetUpdate, "43", "44", 1), "1700000000000", "1e300", 1), "from=43"},
		"a time below none":  {strings.Replace(strings.Replace(oneTargetUpdate, "43", "44", 1), "1700000000000", "-5", 1), "from=43"},
		"begun, not ended":   {`{"rev":` + "\n", "from=43"},
		"counts anew":        {`{"rev":3,"targets":[]}` + "\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := discoverytest.NewAgent(t)
			told, _ := startWatch(t, a, 41)
			if q := next(t, a.Asked); !strings.Contains(q, "watch=1&from=41") {
				t.Errorf("asked %s", q)
			}
			a.Tell <- "\n" // a heartbeat
			a.Tell <- oneTargetUpdate
			if l := next(t, told); l.Rev != 43 || l.All || l.Targets[0].Group != 3 || l.Targets[0].BootMS != 1700000000000 {
				t.Errorf("told %+v", l)
			}
			a.Tell <- tc.sent
			if tc.sent != "" && name != "begun, not ended" {
				a.Tell <- ""
			}
			q := next(t, a.Asked)
			if tc.wantQuery == "" && strings.Contains(q, "from") || !strings.Contains(q, tc.wantQuery) {
				t.Errorf("asked %s", q)
			}
			// Lists may come indented.
			a.Tell <- "\n" + strings.NewReplacer("43", "45", "{", "{\n  ", ",", ",\n  ").Replace(oneTargetUpdate)
			if l := next(t, told); l.Rev != 45 {
				t.Errorf("told %+v", l)
			}
		})
	}
}

// After a move the new discovery is asked for its whole list at once, whatever versions
// the old one had come to, also where the old one is gone and a pause is on.
func TestWatchMoves(t *testing.T) {
	old, other := discoverytest.NewAgent(t), discoverytest.NewAgent(t)
	told, w := startWatch(t, old, 41)
	next(t, old.Asked)
	w.Move(other.Addr())
	if q := next(t, other.Asked); strings.Contains(q, "from") {
		t.Errorf("asked %s", q)
	}
	other.Tell <- `{"rev":2,"all":true,"targets":[]}` + "\n"
	if l := next(t, told); l.Rev != 2 || !l.All {
		t.Errorf("told %+v", l)
	}
	w.Move("127.0.0.1:1") // nobody listens there
	w.Move(old.Addr())
	if q := next(t, old.Asked); strings.Contains(q, "from") {
		t.Errorf("asked %s", q)
	}
}

// A node asks for what changed since its list, also where that has version 0; one without a list
// asks for all of it.
func TestWatchRequestsChangesSinceCachedList(t *testing.T) {
	for wantQuery, cached := range map[string]Update{
		"from=0":  {Targets: []Target{{UID: "s-1", Endpoint: "127.0.0.1:9", State: "up"}}},
		"watch=1": {},
	} {
		a := discoverytest.NewAgent(t)
		w := newWatcher(a.Addr(), cached, 2, time.Second, 1, func(Update) {})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		if q := next(t, a.Asked); !strings.HasSuffix(q, wantQuery) {
			t.Errorf("asked %s, not %s", q, wantQuery)
		}
		cancel()
		<-done
	}
}

// The pauses of a watch come from the node's seed: those of many nodes differ, and one that is
// started again with a seed does as before.
func TestDelaysAreDerivedFromSeed(t *testing.T) {
	firstTenths := map[time.Duration]bool{}
	for seed := range uint64(300) {
		jitters := func() (d []time.Duration) {
			w := newWatcher("127.0.0.1:9", Update{Rev: 3}, 300, time.Second, seed, func(Update) {})
			for range 5 {
				d = append(d, w.pace.jitter(time.Second))
			}
			return d
		}
		a, b := jitters(), jitters()
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d pauses for %v and for %v", seed, a, b)
		}
		firstTenths[a[0]/(100*time.Millisecond)] = true
	}
	if len(firstTenths) < 10 {
		t.Errorf("300 nodes begin in %d of the ten parts of a second", len(firstTenths))
	}
}

// No pause is below zero, and none is drawn from a range that overflows, whatever the settings allow.
func TestDelaysAreNeverNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleetSize := rapid.IntRange(1, 1<<20).Draw(t, "group")
		drainGrace := time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "grace"))
		w := newWatcher("127.0.0.1:9", Update{}, fleetSize, drainGrace, rapid.Uint64().Draw(t, "seed"), func(Update) {})
		now := time.Now()
		p := &w.pace
		for range 20 {
			for _, d := range []time.Duration{p.firstDelay(), p.stallDelay(), p.parallelCallDelay(now), p.reconnectDelay(), p.retryDelay(now)} {
				require.GreaterOrEqual(t, d, time.Duration(0))
			}
		}
	})
}
