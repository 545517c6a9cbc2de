package discovery

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Outcomes of a call other than an HTTP status.
const (
	notJSON     = -1 - iota // a response that is not a list
	dialTimeout             // a timeout of the connection attempt
	connClosed              // a connection closed without a response
)

// fleet simulates the nodes of a fleet, each with a watcher, and their discovery, with the fake clock of synctest. Each
// watch is open from the start and receives heartbeats until silentAt. Then all watches become silent or are reset, and
// the list changes. Times are durations since the start.
type fleet struct {
	mu            sync.Mutex
	start         time.Time
	silentAt      time.Duration                             // when the watches become silent
	polled        bool                                      // lists are polled, not pushed
	resets        bool                                      // the watches are reset at silentAt
	moveAt        time.Duration                             // when discovery's address changes for all nodes; 0 means never
	answerCall    func(n, attempt int) (int, time.Duration) // returns outcome and delay of a node's call after silentAt; attempt is 1 for its first
	calls         []time.Duration                           // times of all calls after silentAt
	callsByNode   map[int]int                               // number of calls after silentAt, by node
	lastHeartbeat map[int]time.Duration                     // last heartbeat before silentAt, by node
	degradedAt    map[int]time.Duration                     // when discovery became degraded, by node; no entry if it is not
	updatedAt     map[int]time.Duration                     // when the latest update arrived, by node
}

func (f *fleet) elapsed() time.Duration { return time.Since(f.start) }

// nodeTransport is the HTTP transport from one node to the simulated discovery.
type nodeTransport struct {
	*fleet
	node            int
	heartbeatOffset time.Duration
}

func (tr nodeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	body, bodyWriter := io.Pipe()
	ok := &http.Response{StatusCode: http.StatusOK, Status: "200 OK", Body: body, Request: r}
	sendHeartbeats := func(end time.Duration) {
		for tr.elapsed() < end && ctx.Err() == nil {
			_, _ = io.WriteString(bodyWriter, "\n")
			tr.mu.Lock()
			tr.lastHeartbeat[tr.node] = tr.elapsed()
			tr.mu.Unlock()
			time.Sleep(2 * time.Second)
		}
	}
	context.AfterFunc(ctx, func() { bodyWriter.CloseWithError(ctx.Err()) })
	if tr.elapsed() < tr.silentAt {
		go func() {
			time.Sleep(tr.heartbeatOffset)
			sendHeartbeats(tr.silentAt)
		}()
		if tr.resets {
			time.AfterFunc(tr.silentAt-tr.elapsed(), func() { bodyWriter.CloseWithError(io.ErrUnexpectedEOF) })
		}
		return ok, nil
	}
	tr.mu.Lock()
	tr.callsByNode[tr.node]++
	attempt := tr.callsByNode[tr.node]
	tr.calls = append(tr.calls, tr.elapsed())
	status, delay := tr.answerCall(tr.node, attempt)
	tr.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	switch status {
	case http.StatusOK:
	case notJSON:
		ok.Body = io.NopCloser(strings.NewReader("<html>"))
		return ok, nil
	case dialTimeout:
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	case connClosed:
		return nil, io.ErrUnexpectedEOF
	default:
		return &http.Response{StatusCode: status, Status: fmt.Sprint(status), Body: http.NoBody, Request: r}, nil
	}
	go func() {
		_, _ = io.WriteString(bodyWriter, `{"rev":2,"targets":[]}`+"\n")
		for ctx.Err() == nil {
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(bodyWriter, "\n")
		}
	}()
	return ok, nil
}

// run runs the watchers of fleetSize nodes for a duration.
func (f *fleet) run(t *testing.T, fleetSize int, drainGrace, duration time.Duration) {
	f.callsByNode, f.lastHeartbeat, f.updatedAt, f.degradedAt = map[int]int{}, map[int]time.Duration{}, map[int]time.Duration{}, map[int]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		f.start = time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		rng := rand.New(rand.NewPCG(1, uint64(fleetSize)))
		for n := range fleetSize {
			w := newWatcher("a:1", Update{Rev: 1, Targets: []Target{{}}}, fleetSize, drainGrace, uint64(n), func(Update) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.updatedAt[n] = f.elapsed()
			})
			w.polled = f.polled
			w.onDegraded = func(on bool) {
				f.mu.Lock()
				defer f.mu.Unlock()
				if delete(f.degradedAt, n); on {
					f.degradedAt[n] = f.elapsed()
				}
			}
			w.client.Transport = nodeTransport{f, n, time.Duration(rng.Int64N(int64(2 * time.Second)))}
			if f.moveAt > 0 {
				// One by one: timers that are due at once in many goroutines of a bubble stop the race detector.
				time.AfterFunc(f.moveAt+time.Duration(n)*time.Millisecond, func() { w.Move("b:1") })
			}
			running.Go(func() { w.Run(ctx) })
		}
		time.Sleep(duration)
		cancel()
		running.Wait()
		time.Sleep(5 * time.Second) // for the goroutines of the transports to end
	})
}

// maxCallsWithin returns the maximum number of calls of all nodes within any span of time.
func (f *fleet) maxCallsWithin(span time.Duration) int {
	maxCalls := 0
	for i, from := range f.calls {
		n := 0
		for _, c := range f.calls[i:] {
			if c < from+span {
				n++
			}
		}
		maxCalls = max(maxCalls, n)
	}
	return maxCalls
}

// After the watches become silent, each node has the changed list within 6 s of its last heartbeat, at every fleet
// size: also if discovery is overloaded or answers late, or if a call is lost. The nodes of a larger fleet don't call
// all at once.
func TestSilenceEndsWithinItsBudget(t *testing.T) {
	const silentAt = 10 * time.Second
	for _, fleetSize := range []int{3, 8, 60, 300} {
		for name, answer := range map[string]func(f *fleet, n, attempt int) (int, time.Duration){
			"at once":  func(*fleet, int, int) (int, time.Duration) { return 200, 0 },
			"2 s late": func(*fleet, int, int) (int, time.Duration) { return 200, 2 * time.Second },
			"first call lost": func(_ *fleet, _, attempt int) (int, time.Duration) {
				if attempt == 1 {
					return 200, time.Hour
				}
				return 200, 200 * time.Millisecond
			},
			// Discovery rejects each node's calls until 5 s after its last heartbeat.
			"overloaded": func(f *fleet, n, _ int) (int, time.Duration) {
				if f.elapsed() < f.lastHeartbeat[n]+5*time.Second {
					return 503, 0
				}
				return 200, 200 * time.Millisecond
			},
			// Discovery needs 2 s for one call of each node. Its queue has room for a sixth of the nodes.
			"bounded queue": func() func(f *fleet, n, _ int) (int, time.Duration) {
				var freeAt time.Duration
				return func(f *fleet, _, _ int) (int, time.Duration) {
					freeAt = max(freeAt, f.elapsed())
					if freeAt-f.elapsed() > 2*time.Second/6 {
						return 503, 0
					}
					freeAt += 2 * time.Second / time.Duration(fleetSize)
					return 200, freeAt - f.elapsed()
				}
			}(),
		} {
			t.Run(fmt.Sprint(name, " ", fleetSize), func(t *testing.T) {
				f := &fleet{silentAt: silentAt}
				f.answerCall = func(n, attempt int) (int, time.Duration) { return answer(f, n, attempt) }
				f.run(t, fleetSize, 2*time.Second, silentAt+8*time.Second)
				require.Equal(t, fleetSize, len(f.updatedAt), "number of nodes that have received the change")
				late := time.Duration(0)
				for n := range fleetSize {
					late = max(late, f.updatedAt[n]-f.lastHeartbeat[n])
				}
				require.LessOrEqual(t, late, progressTimeout)
				if fleetSize >= minSpreadNodes {
					// Each node makes at most two calls in an interval, at random times that spread evenly.
					require.LessOrEqual(t, f.maxCallsWithin(100*time.Millisecond), fleetSize/4+8)
					require.LessOrEqual(t, f.maxCallsWithin(time.Second), 3*fleetSize/2)
				}
				t.Logf("at most %v after the last heartbeat, %.1f calls per node, at most %d calls in a second", late, float64(len(f.calls))/float64(fleetSize), f.maxCallsWithin(time.Second))
			})
		}
	}
}

// A call that is made while discovery is down stays open, so the update that discovery sends on its return arrives at
// once. Few calls are made until then.
func TestUpdateArrivesAtOnceWhenDiscoveryReturns(t *testing.T) {
	for _, fleetSize := range []int{3, 300} {
		f := &fleet{silentAt: 10 * time.Second}
		back := f.silentAt + 20*time.Second
		f.answerCall = func(int, int) (int, time.Duration) { return 200, max(0, back-f.elapsed()) }
		f.run(t, fleetSize, 500*time.Millisecond, back+2*time.Second)
		require.Equal(t, fleetSize, len(f.updatedAt))
		for n := range fleetSize {
			require.LessOrEqual(t, f.updatedAt[n]-back, 10*time.Millisecond)
			require.LessOrEqual(t, f.callsByNode[n], 7)
		}
	}
}

// After a reset of the watches, updates that discovery has count as received at once, so each node calls again well
// within the drain grace.
func TestResetWatchIsReopenedWithinDrainGrace(t *testing.T) {
	for _, fleetSize := range []int{3, 300} {
		f := &fleet{silentAt: 10 * time.Second, resets: true}
		f.answerCall = func(int, int) (int, time.Duration) { return 200, 0 }
		f.run(t, fleetSize, 500*time.Millisecond, f.silentAt+2*time.Second)
		for n := range fleetSize {
			require.LessOrEqual(t, f.updatedAt[n]-f.silentAt, 125*time.Millisecond)
		}
	}
}

// A discovery that stays overloaded is called rarely: after the progress deadline, at most once in 4 s by each node on
// average. Before that, a new process makes its first call within half of the drain grace.
func TestOverloadedDiscoveryIsCalledRarely(t *testing.T) {
	f := &fleet{silentAt: 0}
	f.answerCall = func(int, int) (int, time.Duration) { return 503, 0 }
	f.run(t, 300, time.Second, 40*time.Second)
	require.LessOrEqual(t, f.calls[299], time.Second)
	lateCalls := 0
	for _, c := range f.calls {
		if c > 10*time.Second {
			lateCalls++
		}
	}
	require.LessOrEqual(t, lateCalls, 300*30/4)
}

// Discovery counts as degraded 6 s after the last heartbeat if it answers without an update, or if lists are polled and
// it is silent. If lists are pushed, a silent discovery has nothing to send and is not degraded.
func TestDiscoveryIsDegradedAfterProgressDeadline(t *testing.T) {
	for _, x := range []struct {
		name           string
		polled, resets bool
		degraded       bool
		answer         func(int, int) (int, time.Duration)
	}{
		{"rejected", false, false, true, func(int, int) (int, time.Duration) { return 503, 0 }},
		{"pushed, reset and then silent", false, true, false, func(int, int) (int, time.Duration) { return 200, time.Hour }},
		{"pushed and silent", false, false, false, func(int, int) (int, time.Duration) { return 200, time.Hour }},
		{"polled and silent", true, false, true, func(int, int) (int, time.Duration) { return 200, time.Hour }},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := &fleet{silentAt: 10 * time.Second, polled: x.polled, resets: x.resets, answerCall: x.answer}
			f.run(t, 40, 2*time.Second, 30*time.Second)
			require.Equal(t, x.degraded, len(f.degradedAt) > 0)
			require.True(t, len(f.degradedAt) == 0 || len(f.degradedAt) == 40)
			for n, at := range f.degradedAt {
				require.InDelta(t, (f.lastHeartbeat[n] + progressTimeout).Seconds(), at.Seconds(), 0.01)
			}
		})
	}
	f := &fleet{silentAt: 10 * time.Second}
	f.answerCall = func(int, int) (int, time.Duration) {
		if f.elapsed() < 20*time.Second {
			return 503, 0
		}
		return 200, 0
	}
	f.run(t, 40, 2*time.Second, 40*time.Second)
	require.Empty(t, f.degradedAt, "discovery is degraded although updates arrive again")
}

// Updates that discovery had when it answered count as received, whatever follows. So once discovery is degraded
// because its answers were not usable lists, it stays degraded until the next update or heartbeat, even if it then
// becomes silent or its address changes to one that is silent too. If calls only failed without a response, discovery
// is no longer degraded once later calls stay open.
func TestDegradedDiscoveryEndsWithProgressOnly(t *testing.T) {
	const silentAt, unansweredAt = 10 * time.Second, 20 * time.Second
	for _, x := range []struct {
		name       string
		outcome    int // outcome of calls until outcomeEnd; later calls get no answer
		outcomeEnd time.Duration
		moveAt     time.Duration
		degraded   bool
	}{
		{"rejected", 503, unansweredAt, 0, true},
		{"not a list", notJSON, unansweredAt, 0, true},
		{"rejected until shortly before the deadline", 503, silentAt + 4*time.Second, 0, true},
		{"rejected, then moved", 503, unansweredAt, unansweredAt + 3*time.Second, true},
		{"rejected, then moved before the deadline", 503, silentAt + 4*time.Second, silentAt + 4*time.Second, true},
		{"connection closed", connClosed, unansweredAt, 0, false},
		{"dial timeout", dialTimeout, unansweredAt, 0, false},
	} {
		for _, fleetSize := range []int{3, minSpreadNodes} {
			t.Run(fmt.Sprint(x.name, " ", fleetSize), func(t *testing.T) {
				f := &fleet{silentAt: silentAt, moveAt: x.moveAt}
				f.answerCall = func(int, int) (int, time.Duration) {
					if f.elapsed() < x.outcomeEnd {
						return x.outcome, 0
					}
					return 200, time.Hour
				}
				f.run(t, fleetSize, 2*time.Second, 40*time.Second)
				require.Equal(t, x.degraded, len(f.degradedAt) == fleetSize)
				require.True(t, len(f.degradedAt) == 0 || len(f.degradedAt) == fleetSize)
				for n, at := range f.degradedAt {
					require.InDelta(t, (f.lastHeartbeat[n] + progressTimeout).Seconds(), at.Seconds(), 0.01)
				}
			})
		}
	}
}

// If lists are pushed, updates that discovery has count as received at once. So after calls that failed without a
// response, such as refused connections, the next call is made within the drain grace, even if that is short.
func TestRefusedCallsAreRetriedWithinDrainGrace(t *testing.T) {
	for _, fleetSize := range []int{3, minSpreadNodes, 300} {
		for _, grace := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
			f := &fleet{silentAt: 10 * time.Second, resets: true}
			back := f.silentAt + 3*time.Second
			f.answerCall = func(int, int) (int, time.Duration) {
				if f.elapsed() < back {
					return connClosed, 0
				}
				return 200, 0
			}
			f.run(t, fleetSize, grace, back+2*grace)
			late := time.Duration(0)
			for n := range fleetSize {
				require.Contains(t, f.updatedAt, n)
				late = max(late, f.updatedAt[n]-back)
			}
			t.Logf("fleet size %d, drain grace %v: updated at most %v after discovery's return", fleetSize, grace, late)
			require.LessOrEqual(t, late, grace*7/8)
		}
	}
}

// If discovery's machine drops all packets, a node calls again as soon as its connection attempt has timed out. After
// discovery's return a node therefore waits at most for the rest of that timeout and a short delay.
func TestUnansweredCallsAreRetriedSoon(t *testing.T) {
	for _, fleetSize := range []int{3, minSpreadNodes, 300} {
		f := &fleet{silentAt: 10 * time.Second, resets: true}
		back := f.silentAt + 20*time.Second
		f.answerCall = func(int, int) (int, time.Duration) {
			if f.elapsed() < back {
				return dialTimeout, lateAnswerTimeout
			}
			return 200, 0
		}
		f.run(t, fleetSize, 2*time.Second, back+10*time.Second)
		for n := range fleetSize {
			require.Contains(t, f.updatedAt, n)
			require.LessOrEqual(t, f.updatedAt[n]-back, lateAnswerTimeout+500*time.Millisecond, "fleet size %d", fleetSize)
		}
	}
}
