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

// What a call may meet beside a status.
const (
	notJSON     = -1 - iota // an answer that is no list
	dialTimeout             // no connection, until the bound on dialing
	connClosed              // a connection that ends with no answer
)

// fleet is a group of watchers at one discovery, on a clock of the test's own. Each watch is open
// from the start and has heartbeats until a time at which all fall silent or break, and the list
// changes.
type fleet struct {
	mu            sync.Mutex
	start         time.Time
	silentAt      time.Duration                             // when the watches fall silent
	polled        bool                                      // lists are asked for
	resets        bool                                      // they are reset then
	moveAt        time.Duration                             // when all are told another address; 0 is never
	answerCall    func(n, attempt int) (int, time.Duration) // how a call after that is answered, and how late
	calls         []time.Duration                           // after that
	callsByNode   map[int]int                               // calls of each node
	lastHeartbeat map[int]time.Duration                     // the last heartbeat of each node before
	degradedAt    map[int]time.Duration                     // when each gave its list up
	updatedAt     map[int]time.Duration                     // when each had the change
}

func (h *fleet) elapsed() time.Duration { return time.Since(h.start) }

// member is the way of one node to discovery.
type nodeTransport struct {
	*fleet
	node            int
	heartbeatOffset time.Duration
}

func (m nodeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	body, bodyWriter := io.Pipe()
	ok := &http.Response{StatusCode: http.StatusOK, Status: "200 OK", Body: body, Request: r}
	sendHeartbeats := func(end time.Duration) {
		for m.elapsed() < end && ctx.Err() == nil {
			_, _ = io.WriteString(bodyWriter, "\n")
			m.mu.Lock()
			m.lastHeartbeat[m.node] = m.elapsed()
			m.mu.Unlock()
			time.Sleep(2 * time.Second)
		}
	}
	context.AfterFunc(ctx, func() { bodyWriter.CloseWithError(ctx.Err()) })
	if m.elapsed() < m.silentAt {
		go func() {
			time.Sleep(m.heartbeatOffset)
			sendHeartbeats(m.silentAt)
		}()
		if m.resets {
			time.AfterFunc(m.silentAt-m.elapsed(), func() { bodyWriter.CloseWithError(io.ErrUnexpectedEOF) })
		}
		return ok, nil
	}
	m.mu.Lock()
	m.callsByNode[m.node]++
	nth := m.callsByNode[m.node]
	m.calls = append(m.calls, m.elapsed())
	status, delay := m.answerCall(m.node, nth)
	m.mu.Unlock()
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

// run has a group watch for a while.
func (h *fleet) run(t *testing.T, fleetSize int, drainGrace, duration time.Duration) {
	h.callsByNode, h.lastHeartbeat, h.updatedAt, h.degradedAt = map[int]int{}, map[int]time.Duration{}, map[int]time.Duration{}, map[int]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		h.start = time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		rng := rand.New(rand.NewPCG(1, uint64(fleetSize)))
		for n := range fleetSize {
			w := newWatcher("a:1", Update{Rev: 1, Targets: []Target{{}}}, fleetSize, drainGrace, uint64(n), func(Update) {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.updatedAt[n] = h.elapsed()
			})
			w.polled = h.polled
			w.onDegraded = func(on bool) {
				h.mu.Lock()
				defer h.mu.Unlock()
				if delete(h.degradedAt, n); on {
					h.degradedAt[n] = h.elapsed()
				}
			}
			w.client.Transport = nodeTransport{h, n, time.Duration(rng.Int64N(int64(2 * time.Second)))}
			if h.moveAt > 0 {
				// One by one: timers that are due at once in many goroutines of a bubble stop the race detector.
				time.AfterFunc(h.moveAt+time.Duration(n)*time.Millisecond, func() { w.Move("b:1") })
			}
			running.Go(func() { w.Run(ctx) })
		}
		time.Sleep(duration)
		cancel()
		running.Wait()
		time.Sleep(5 * time.Second) // the fakes' ends
	})
}

// most gives the most calls of all within a span.
func (h *fleet) maxCallsWithin(span time.Duration) int {
	maxCalls := 0
	for i, from := range h.calls {
		n := 0
		for _, c := range h.calls[i:] {
			if c < from+span {
				n++
			}
		}
		maxCalls = max(maxCalls, n)
	}
	return maxCalls
}

// From the last heartbeat before silence to the list in force pass 6 s at most at every size of fleet, also where
// discovery's line is full, or answers late, or where a call goes astray; and a fleet does not call all at once.
func TestSilenceEndsWithinItsBudget(t *testing.T) {
	const silentAt = 10 * time.Second
	for _, group := range []int{3, 8, 60, 300} {
		for name, answer := range map[string]func(h *fleet, n, nth int) (int, time.Duration){
			"at once":  func(*fleet, int, int) (int, time.Duration) { return 200, 0 },
			"2 s late": func(*fleet, int, int) (int, time.Duration) { return 200, 2 * time.Second },
			"one astray": func(_ *fleet, _, nth int) (int, time.Duration) {
				if nth == 1 {
					return 200, time.Hour
				}
				return 200, 200 * time.Millisecond
			},
			// A line that is full for all until 5 s after the node's last heartbeat.
			"full": func(h *fleet, n, _ int) (int, time.Duration) {
				if h.elapsed() < h.lastHeartbeat[n]+5*time.Second {
					return 503, 0
				}
				return 200, 200 * time.Millisecond
			},
			// A line that has room for the group in two seconds, and for a sixth of it to wait.
			"crowded": func() func(h *fleet, n, _ int) (int, time.Duration) {
				var freeAt time.Duration
				return func(h *fleet, _, _ int) (int, time.Duration) {
					freeAt = max(freeAt, h.elapsed())
					if freeAt-h.elapsed() > 2*time.Second/6 {
						return 503, 0
					}
					freeAt += 2 * time.Second / time.Duration(group)
					return 200, freeAt - h.elapsed()
				}
			}(),
		} {
			t.Run(fmt.Sprint(name, " ", group), func(t *testing.T) {
				h := &fleet{silentAt: silentAt}
				h.answerCall = func(n, nth int) (int, time.Duration) { return answer(h, n, nth) }
				h.run(t, group, 2*time.Second, silentAt+8*time.Second)
				require.Equal(t, group, len(h.updatedAt), "nodes that have the change")
				late := time.Duration(0)
				for n := range group {
					late = max(late, h.updatedAt[n]-h.lastHeartbeat[n])
				}
				require.LessOrEqual(t, late, progressTimeout)
				if group >= minSpreadNodes {
					// No more than two in a node's turn, evenly by chance.
					require.LessOrEqual(t, h.maxCallsWithin(100*time.Millisecond), group/4+8)
					require.LessOrEqual(t, h.maxCallsWithin(time.Second), 3*group/2)
				}
				t.Logf("%v at most, %.1f calls a node, most %d a s", late, float64(len(h.calls))/float64(group), h.maxCallsWithin(time.Second))
			})
		}
	}
}

// A call that is made while discovery is down stays open: what the agent gets at the return is in
// force at once, and few calls are made until then.
func TestUpdateArrivesAtOnceWhenDiscoveryReturns(t *testing.T) {
	for _, group := range []int{3, 300} {
		h := &fleet{silentAt: 10 * time.Second}
		back := h.silentAt + 20*time.Second
		h.answerCall = func(int, int) (int, time.Duration) { return 200, max(0, back-h.elapsed()) }
		h.run(t, group, 500*time.Millisecond, back+2*time.Second)
		require.Equal(t, group, len(h.updatedAt))
		for n := range group {
			require.LessOrEqual(t, h.updatedAt[n]-back, 10*time.Millisecond)
			require.LessOrEqual(t, h.callsByNode[n], 7)
		}
	}
}

// After a reset what the agent has counts at once: the next call comes well within the grace.
func TestResetWatchIsReopenedWithinDrainGrace(t *testing.T) {
	for _, group := range []int{3, 300} {
		h := &fleet{silentAt: 10 * time.Second, resets: true}
		h.answerCall = func(int, int) (int, time.Duration) { return 200, 0 }
		h.run(t, group, 500*time.Millisecond, h.silentAt+2*time.Second)
		for n := range group {
			require.LessOrEqual(t, h.updatedAt[n]-h.silentAt, 125*time.Millisecond)
		}
	}
}

// A line that stays full is asked rarely: no sooner than in half of a second by each node on the
// average, once the budget is spent; and a new process asks within half of the grace.
func TestOverloadedDiscoveryIsCalledRarely(t *testing.T) {
	h := &fleet{silentAt: 0}
	h.answerCall = func(int, int) (int, time.Duration) { return 503, 0 }
	h.run(t, 300, time.Second, 40*time.Second)
	require.LessOrEqual(t, h.calls[299], time.Second)
	lateCalls := 0
	for _, c := range h.calls {
		if c > 10*time.Second {
			lateCalls++
		}
	}
	require.LessOrEqual(t, lateCalls, 300*30/4)
}

// The list is given up 6 s after the last heartbeat where discovery answers and tells nothing, or, where lists
// are asked for, is silent; an agent that is silent has nothing to tell.
func TestDiscoveryIsDegradedAfterProgressDeadline(t *testing.T) {
	for _, x := range []struct {
		name           string
		polled, resets bool
		degraded       bool
		answer         func(int, int) (int, time.Duration)
	}{
		{"turned away", false, false, true, func(int, int) (int, time.Duration) { return 503, 0 }},
		{"pushed, reset and then silent", false, true, false, func(int, int) (int, time.Duration) { return 200, time.Hour }},
		{"pushed and silent", false, false, false, func(int, int) (int, time.Duration) { return 200, time.Hour }},
		{"asked for and silent", true, false, true, func(int, int) (int, time.Duration) { return 200, time.Hour }},
	} {
		t.Run(x.name, func(t *testing.T) {
			h := &fleet{silentAt: 10 * time.Second, polled: x.polled, resets: x.resets, answerCall: x.answer}
			h.run(t, 40, 2*time.Second, 30*time.Second)
			require.Equal(t, x.degraded, len(h.degradedAt) > 0)
			require.True(t, len(h.degradedAt) == 0 || len(h.degradedAt) == 40)
			for n, at := range h.degradedAt {
				require.InDelta(t, (h.lastHeartbeat[n] + progressTimeout).Seconds(), at.Seconds(), 0.01)
			}
		})
	}
	h := &fleet{silentAt: 10 * time.Second}
	h.answerCall = func(int, int) (int, time.Duration) {
		if h.elapsed() < 20*time.Second {
			return 503, 0
		}
		return 200, 0
	}
	h.run(t, 40, 2*time.Second, 40*time.Second)
	require.Empty(t, h.degradedAt, "discovery has spoken again")
}

// What discovery had when it answered counts, whatever comes after it: discovery that is degraded as the
// answers were no lists stays so until the next update or heartbeat, through silence and a move to an address that is
// silent too. Where nothing answered, nothing was had.
func TestDegradedDiscoveryEndsWithProgressOnly(t *testing.T) {
	const silentAt, unansweredAt = 10 * time.Second, 20 * time.Second
	for _, x := range []struct {
		name       string
		outcome    int // what calls meet until still; then all are silent
		outcomeEnd time.Duration
		moveAt     time.Duration
		degraded   bool
	}{
		{"turned away", 503, unansweredAt, 0, true},
		{"no lists", notJSON, unansweredAt, 0, true},
		{"turned away, until just before it binds", 503, silentAt + 4*time.Second, 0, true},
		{"turned away, and moved", 503, unansweredAt, unansweredAt + 3*time.Second, true},
		{"turned away, and moved before it binds", 503, silentAt + 4*time.Second, silentAt + 4*time.Second, true},
		{"cut off", connClosed, unansweredAt, 0, false},
		{"unanswered", dialTimeout, unansweredAt, 0, false},
	} {
		for _, group := range []int{3, minSpreadNodes} {
			t.Run(fmt.Sprint(x.name, " ", group), func(t *testing.T) {
				h := &fleet{silentAt: silentAt, moveAt: x.moveAt}
				h.answerCall = func(int, int) (int, time.Duration) {
					if h.elapsed() < x.outcomeEnd {
						return x.outcome, 0
					}
					return 200, time.Hour
				}
				h.run(t, group, 2*time.Second, 40*time.Second)
				require.Equal(t, x.degraded, len(h.degradedAt) == group)
				require.True(t, len(h.degradedAt) == 0 || len(h.degradedAt) == group)
				for n, at := range h.degradedAt {
					require.InDelta(t, (h.lastHeartbeat[n] + progressTimeout).Seconds(), at.Seconds(), 0.01)
				}
			})
		}
	}
}

// Where lists are pushed, what the agent has counts at once: after calls that were refused, or cut off with
// no answer, the next comes within the grace, however short the settings have it.
func TestRefusedCallsAreRetriedWithinDrainGrace(t *testing.T) {
	for _, group := range []int{3, minSpreadNodes, 300} {
		for _, grace := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
			h := &fleet{silentAt: 10 * time.Second, resets: true}
			back := h.silentAt + 3*time.Second
			h.answerCall = func(int, int) (int, time.Duration) {
				if h.elapsed() < back {
					return connClosed, 0
				}
				return 200, 0
			}
			h.run(t, group, grace, back+2*grace)
			late := time.Duration(0)
			for n := range group {
				require.Contains(t, h.updatedAt, n)
				late = max(late, h.updatedAt[n]-back)
			}
			t.Logf("group %d, grace %v: %v at most", group, grace, late)
			require.LessOrEqual(t, late, grace*7/8)
		}
	}
}

// A discovery whose machine drops all that comes is called again as soon as a connection to it has not
// come up in its time: when it is back, the rest of one such wait and a short pause go by at most.
func TestUnansweredCallsAreRetriedSoon(t *testing.T) {
	for _, group := range []int{3, minSpreadNodes, 300} {
		h := &fleet{silentAt: 10 * time.Second, resets: true}
		back := h.silentAt + 20*time.Second
		h.answerCall = func(int, int) (int, time.Duration) {
			if h.elapsed() < back {
				return dialTimeout, lateAnswerTimeout
			}
			return 200, 0
		}
		h.run(t, group, 2*time.Second, back+10*time.Second)
		for n := range group {
			require.Contains(t, h.updatedAt, n)
			require.LessOrEqual(t, h.updatedAt[n]-back, lateAnswerTimeout+500*time.Millisecond, "group %d", group)
		}
	}
}
