package discovery

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/fleet/subset"
	"sloestile/internal/discovery/discoverytest"
)

// slowDiscovery starts a discovery that answers each call with text, sent in pieces of pieceSize bytes with a pause
// after each. calls counts the calls.
func slowDiscovery(t *testing.T, text string, pieceSize int, pause time.Duration) (addr string, calls *atomic.Int64) {
	calls = &atomic.Int64{}
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		for rest := text; len(rest) > 0; {
			n := min(pieceSize, len(rest))
			if _, err := io.WriteString(w, rest[:n]); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			rest = rest[n:]
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			case <-done:
				return
			}
		}
		select {
		case <-r.Context().Done():
		case <-done:
		}
	}))
	t.Cleanup(func() { close(done); srv.Close() })
	return srv.Listener.Addr().String(), calls
}

// A long list that arrives slowly but with progress is received by one call. No parallel call is made, although the
// transfer takes longer than a call may stay unanswered.
func TestSlowListWithProgressTakesOneCall(t *testing.T) {
	t.Parallel()
	cfg := subset.Config{MaxServers: 200, MinPerZone: 2, MaxListed: 131072}
	text := encodeUpdate(t, Update{Rev: 7, All: true, Targets: servers(20_000)}, "")
	pieces := 25
	pause := 200 * time.Millisecond
	pieceSize := len(text)/pieces + 1
	require.Greater(t, pieceSize, MinProgressBytes)
	require.Greater(t, time.Duration(pieces)*pause, stallTimeout+callSpread)
	addr, calls := slowDiscovery(t, text, pieceSize, pause)
	s := startSubset(t, addr, cfg, Update{})
	s.next(t)
	require.Equal(t, int64(1), calls.Load())
	require.Empty(t, s.dropped)
	require.Equal(t, int64(20_000), s.Counts().Listed.Load())
}

// A message whose bytes arrive too slowly or stop is canceled at its progress deadline and reported as dropped. The
// next call follows soon.
func TestMessageWithoutProgressIsCanceled(t *testing.T) {
	text := encodeUpdate(t, Update{Rev: 7, All: true, Targets: servers(5_000)}, "")
	for name, pause := range map[string]time.Duration{"too slow": 50 * time.Millisecond, "stopped": time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, calls := slowDiscovery(t, text, 1024, pause) // at most 20 kB/s
			startedAt := time.Now()
			s := startSubset(t, addr, subset.Config{MaxServers: 20, MaxListed: 10_000}, Update{})
			err := next(t, s.dropped)
			took := time.Since(startedAt)
			require.True(t, is[*StalledError](err), "%v", err)
			require.GreaterOrEqual(t, took, ProgressInterval)
			require.Less(t, took, answerTimeout, "the message was not canceled by its progress deadline")
			require.Eventually(t, func() bool { return calls.Load() > 1 }, testTimeout, time.Millisecond)
			require.Empty(t, s.updates)
		})
	}
}

// Heartbeats before and between messages, however many, do not count towards the maximum size of an entry.
func TestHeartbeatsDoNotCountTowardsEntrySize(t *testing.T) {
	a := discoverytest.NewServer(t)
	s := startSubset(t, a.Addr(), smallSubset, Update{})
	for range 3 {
		a.Chunks <- strings.Repeat("\n", 2*maxEntryBytes)
	}
	a.Chunks <- encodeUpdate(t, Update{Rev: 7, All: true, Targets: servers(30)}, "  ")
	s.next(t)
	a.Chunks <- strings.Repeat("\n", 2*maxEntryBytes) + encodeUpdate(t, Update{Rev: 8, All: true, Targets: servers(5)}, "")
	require.Equal(t, int64(8), s.next(t).Rev)
	require.Equal(t, 5, len(s.inUse))
	require.Empty(t, s.dropped)
}

// Progress within an update is not an update: a list in transfer defers a parallel call, but not the progress deadline
// or the time at which missed updates count as received.
func TestProgressWithinMessageDefersNoDeadline(t *testing.T) {
	w := newWatcher("127.0.0.1:9", Update{}, 2, time.Second, 1, func(Update) {})
	w.pace.recordProgress(time.Now().Add(-4 * time.Second))
	deadline, staleAt := w.pace.deadline, w.pace.staleAt
	s := newSession(t.Context(), w, time.Hour)
	older, newer := &call{cancel: func(error) {}}, &call{cancel: func(error) {}}
	s.openCalls, s.latest = []*call{older, newer}, newer
	w.unusable = true
	s.handle(event{call: newer, progress: true})
	require.Equal(t, []*call{newer}, s.openCalls)
	require.Equal(t, deadline, w.pace.deadline)
	require.Equal(t, staleAt, w.pace.staleAt)
	require.True(t, w.unusable)
	s.handle(event{call: newer})
	require.True(t, w.pace.staleAt.After(staleAt))
	require.False(t, w.unusable)
}
