package discovery

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// longList returns a complete list of some servers as one message.
func longList(t *testing.T, servers int) []byte {
	t.Helper()
	u := Update{Rev: 5, All: true}
	for i := range servers {
		u.Targets = append(u.Targets, Target{UID: fmt.Sprintf("s-%08x", i), Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: "z1",
			Model: "std-3core", Group: i / 4, State: "up", Capacity: 1, BootMS: 1.8e12})
	}
	raw, err := json.Marshal(u)
	require.NoError(t, err)
	return append(raw, '\n')
}

// watchSlowDiscovery runs a watcher against a discovery that writes its answer in pieces, one in each interval. It returns
// the watcher's updates and the number of calls.
func watchSlowDiscovery(t *testing.T, answer []byte, piece int, interval time.Duration) (<-chan Update, *atomic.Int64) {
	t.Helper()
	calls := new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		for rest := answer; len(rest) > 0; {
			n := min(piece, len(rest))
			if _, err := w.Write(rest[:n]); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			rest = rest[n:]
			select {
			case <-time.After(interval):
			case <-r.Context().Done():
				return
			}
		}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	updates := make(chan Update, 10)
	w, err := New(Config{Address: server.Listener.Addr().String(), FleetSize: 300, DrainGrace: 2 * time.Second, Seed: 1,
		OnUpdate: func(u Update) { updates <- u }, OnDegraded: func(bool) {}})
	require.NoError(t, err)
	go w.Run(t.Context())
	return updates, calls
}

// Guards against a list of thousands of servers that is dropped and requested again as it takes longer than a short list.
func TestLongListOnASlowLinkIsAppliedAtOnce(t *testing.T) {
	t.Parallel()
	const servers = 3200
	answer := longList(t, servers)
	updates, calls := watchSlowDiscovery(t, answer, 32<<10, 60*time.Millisecond) // some 1.1 s in all
	select {
	case u := <-updates:
		assert.Len(t, u.Targets, servers)
	case <-time.After(10 * time.Second):
		t.Fatal("the list was not applied")
	}
	assert.Equal(t, int64(1), calls.Load(), "calls until the list was applied")
}

// A message without progress is dropped, however long it is, and so is one that never ends: another call is made.
func TestMessageWithoutProgressIsDropped(t *testing.T) {
	t.Parallel()
	for name, k := range map[string]struct {
		answer   []byte
		piece    int
		interval time.Duration
		within   time.Duration
	}{
		"a long list that halts": {longList(t, 3200), 32 << 10, 2 * time.Second, 2500 * time.Millisecond},
		"a trickle":              {longList(t, 50), 64, 30 * time.Millisecond, 2500 * time.Millisecond},
		"a list that never ends": {longList(t, 20000), 8 << 10, 100 * time.Millisecond, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, calls := watchSlowDiscovery(t, k.answer, k.piece, k.interval)
			assert.Eventually(t, func() bool { return calls.Load() > 1 }, k.within, 10*time.Millisecond)
		})
	}
}
