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
	garbled    = -1 - iota // an answer that is no list
	unanswered             // no connection, until the bound on dialing
	cutOff                 // a connection that ends with no answer
)

// fleet is a group of watchers at one discovery, on a clock of the test's own. Each watch is open
// from the start and has heartbeats until a time at which all fall silent or break, and the list
// changes.
type fleet struct {
	mu       sync.Mutex
	start    time.Time
	quiet    time.Duration                         // when the watches fall silent
	asked    bool                                  // lists are asked for
	breaks   bool                                  // they are reset then
	moves    time.Duration                         // when all are told another address; 0 is never
	answer   func(n, nth int) (int, time.Duration) // how a call after that is answered, and how late
	calls    []time.Duration                       // after that
	of       map[int]int                           // calls of each node
	last     map[int]time.Duration                 // the last heartbeat of each node before
	degraded map[int]time.Duration                 // when each gave its list up
	inForce  map[int]time.Duration                 // when each had the change
}

func (h *fleet) now() time.Duration { return time.Since(h.start) }

// member is the way of one node to discovery.
type member struct {
	*fleet
	n     int
	phase time.Duration
}

func (m member) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	out, in := io.Pipe()
	ok := &http.Response{StatusCode: http.StatusOK, Status: "200 OK", Body: out, Request: r}
	beats := func(end time.Duration) {
		for m.now() < end && ctx.Err() == nil {
			_, _ = io.WriteString(in, "\n")
			m.mu.Lock()
			m.last[m.n] = m.now()
			m.mu.Unlock()
			time.Sleep(2 * time.Second)
		}
	}
	context.AfterFunc(ctx, func() { in.CloseWithError(ctx.Err()) })
	if m.now() < m.quiet {
		go func() {
			time.Sleep(m.phase)
			beats(m.quiet)
		}()
		if m.breaks {
			time.AfterFunc(m.quiet-m.now(), func() { in.CloseWithError(io.ErrUnexpectedEOF) })
		}
		return ok, nil
	}
	m.mu.Lock()
	m.of[m.n]++
	nth := m.of[m.n]
	m.calls = append(m.calls, m.now())
	status, late := m.answer(m.n, nth)
	m.mu.Unlock()
	select {
	case <-time.After(late):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	switch status {
	case http.StatusOK:
	case garbled:
		ok.Body = io.NopCloser(strings.NewReader("<html>"))
		return ok, nil
	case unanswered:
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	case cutOff:
		return nil, io.ErrUnexpectedEOF
	default:
		return &http.Response{StatusCode: status, Status: fmt.Sprint(status), Body: http.NoBody, Request: r}, nil
	}
	go func() {
		_, _ = io.WriteString(in, `{"rev":2,"targets":[]}`+"\n")
		for ctx.Err() == nil {
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(in, "\n")
		}
	}()
	return ok, nil
}

// run has a group watch for a while.
func (h *fleet) run(t *testing.T, group int, grace, length time.Duration) {
	h.of, h.last, h.inForce, h.degraded = map[int]int{}, map[int]time.Duration{}, map[int]time.Duration{}, map[int]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		h.start = time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		rng := rand.New(rand.NewPCG(1, uint64(group)))
		for n := range group {
			w := newWatcher("a:1", Update{Rev: 1, Targets: []Target{{}}}, group, grace, uint64(n), func(Update) {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.inForce[n] = h.now()
			})
			w.polled = h.asked
			w.onDegraded = func(on bool) {
				h.mu.Lock()
				defer h.mu.Unlock()
				if delete(h.degraded, n); on {
					h.degraded[n] = h.now()
				}
			}
			w.client.Transport = member{h, n, time.Duration(rng.Int64N(int64(2 * time.Second)))}
			if h.moves > 0 {
				// One by one: timers that are due at once in many goroutines of a bubble stop the race detector.
				time.AfterFunc(h.moves+time.Duration(n)*time.Millisecond, func() { w.Move("b:1") })
			}
			all.Go(func() { w.Run(ctx) })
		}
		time.Sleep(length)
		cancel()
		all.Wait()
		time.Sleep(5 * time.Second) // the fakes' ends
	})
}

// most gives the most calls of all within a span.
func (h *fleet) most(span time.Duration) int {
	most := 0
	for i, from := range h.calls {
		n := 0
		for _, c := range h.calls[i:] {
			if c < from+span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// From the last heartbeat before silence to the list in force pass 6 s at most at every size of fleet, also where
// discovery's line is full, or answers late, or where a call goes astray; and a fleet does not call all at once.
func TestSilenceEndsWithinItsBudget(t *testing.T) {
	const quiet = 10 * time.Second
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
				if h.now() < h.last[n]+5*time.Second {
					return 503, 0
				}
				return 200, 200 * time.Millisecond
			},
			// A line that has room for the group in two seconds, and for a sixth of it to wait.
			"crowded": func() func(h *fleet, n, _ int) (int, time.Duration) {
				var free time.Duration
				return func(h *fleet, _, _ int) (int, time.Duration) {
					free = max(free, h.now())
					if free-h.now() > 2*time.Second/6 {
						return 503, 0
					}
					free += 2 * time.Second / time.Duration(group)
					return 200, free - h.now()
				}
			}(),
		} {
			t.Run(fmt.Sprint(name, " ", group), func(t *testing.T) {
				h := &fleet{quiet: quiet}
				h.answer = func(n, nth int) (int, time.Duration) { return answer(h, n, nth) }
				h.run(t, group, 2*time.Second, quiet+8*time.Second)
				require.Equal(t, group, len(h.inForce), "nodes that have the change")
				late := time.Duration(0)
				for n := range group {
					late = max(late, h.inForce[n]-h.last[n])
				}
				require.LessOrEqual(t, late, progressDeadline)
				if group >= minSpreadNodes {
					// No more than two in a node's turn, evenly by chance.
					require.LessOrEqual(t, h.most(100*time.Millisecond), group/4+8)
					require.LessOrEqual(t, h.most(time.Second), 3*group/2)
				}
				t.Logf("%v at most, %.1f calls a node, most %d a s", late, float64(len(h.calls))/float64(group), h.most(time.Second))
			})
		}
	}
}

// A call that is made while discovery is down stays open: what the agent gets at the return is in
// force at once, and few calls are made until then.
func TestReturnOfDiscoveryIsHeardAtOnce(t *testing.T) {
	for _, group := range []int{3, 300} {
		h := &fleet{quiet: 10 * time.Second}
		back := h.quiet + 20*time.Second
		h.answer = func(int, int) (int, time.Duration) { return 200, max(0, back-h.now()) }
		h.run(t, group, 500*time.Millisecond, back+2*time.Second)
		require.Equal(t, group, len(h.inForce))
		for n := range group {
			require.LessOrEqual(t, h.inForce[n]-back, 10*time.Millisecond)
			require.LessOrEqual(t, h.of[n], 7)
		}
	}
}

// After a reset what the agent has counts at once: the next call comes well within the grace.
func TestResetIsMendedWithinTheGrace(t *testing.T) {
	for _, group := range []int{3, 300} {
		h := &fleet{quiet: 10 * time.Second, breaks: true}
		h.answer = func(int, int) (int, time.Duration) { return 200, 0 }
		h.run(t, group, 500*time.Millisecond, h.quiet+2*time.Second)
		for n := range group {
			require.LessOrEqual(t, h.inForce[n]-h.quiet, 125*time.Millisecond)
		}
	}
}

// A line that stays full is asked rarely: no sooner than in half of a second by each node on the
// average, once the budget is spent; and a new process asks within half of the grace.
func TestFullLineIsAskedRarely(t *testing.T) {
	h := &fleet{quiet: 0}
	h.answer = func(int, int) (int, time.Duration) { return 503, 0 }
	h.run(t, 300, time.Second, 40*time.Second)
	require.LessOrEqual(t, h.calls[299], time.Second)
	later := 0
	for _, c := range h.calls {
		if c > 10*time.Second {
			later++
		}
	}
	require.LessOrEqual(t, later, 300*30/4)
}

// The list is given up 6 s after the last heartbeat where discovery answers and tells nothing, or, where lists
// are asked for, is silent; an agent that is silent has nothing to tell.
func TestDiscoveryIsDegradedWhenTheRuleBinds(t *testing.T) {
	for _, x := range []struct {
		name          string
		asked, breaks bool
		degraded      bool
		answer        func(int, int) (int, time.Duration)
	}{
		{"turned away", false, false, true, func(int, int) (int, time.Duration) { return 503, 0 }},
		{"pushed, reset and then silent", false, true, false, func(int, int) (int, time.Duration) { return 200, time.Hour }},
		{"pushed and silent", false, false, false, func(int, int) (int, time.Duration) { return 200, time.Hour }},
		{"asked for and silent", true, false, true, func(int, int) (int, time.Duration) { return 200, time.Hour }},
	} {
		t.Run(x.name, func(t *testing.T) {
			h := &fleet{quiet: 10 * time.Second, asked: x.asked, breaks: x.breaks, answer: x.answer}
			h.run(t, 40, 2*time.Second, 30*time.Second)
			require.Equal(t, x.degraded, len(h.degraded) > 0)
			require.True(t, len(h.degraded) == 0 || len(h.degraded) == 40)
			for n, at := range h.degraded {
				require.InDelta(t, (h.last[n] + progressDeadline).Seconds(), at.Seconds(), 0.01)
			}
		})
	}
	h := &fleet{quiet: 10 * time.Second}
	h.answer = func(int, int) (int, time.Duration) {
		if h.now() < 20*time.Second {
			return 503, 0
		}
		return 200, 0
	}
	h.run(t, 40, 2*time.Second, 40*time.Second)
	require.Empty(t, h.degraded, "discovery has spoken again")
}

// What discovery had when it answered counts, whatever comes after it: discovery that is degraded as the
// answers were no lists stays so until the next update or heartbeat, through silence and a move to an address that is
// silent too. Where nothing answered, nothing was had.
func TestDegradedDiscoveryEndsWithProgressOnly(t *testing.T) {
	const quiet, still = 10 * time.Second, 20 * time.Second
	for _, x := range []struct {
		name     string
		before   int // what calls meet until still; then all are silent
		until    time.Duration
		moves    time.Duration
		degraded bool
	}{
		{"turned away", 503, still, 0, true},
		{"no lists", garbled, still, 0, true},
		{"turned away, until just before it binds", 503, quiet + 4*time.Second, 0, true},
		{"turned away, and moved", 503, still, still + 3*time.Second, true},
		{"turned away, and moved before it binds", 503, quiet + 4*time.Second, quiet + 4*time.Second, true},
		{"cut off", cutOff, still, 0, false},
		{"unanswered", unanswered, still, 0, false},
	} {
		for _, group := range []int{3, minSpreadNodes} {
			t.Run(fmt.Sprint(x.name, " ", group), func(t *testing.T) {
				h := &fleet{quiet: quiet, moves: x.moves}
				h.answer = func(int, int) (int, time.Duration) {
					if h.now() < x.until {
						return x.before, 0
					}
					return 200, time.Hour
				}
				h.run(t, group, 2*time.Second, 40*time.Second)
				require.Equal(t, x.degraded, len(h.degraded) == group)
				require.True(t, len(h.degraded) == 0 || len(h.degraded) == group)
				for n, at := range h.degraded {
					require.InDelta(t, (h.last[n] + progressDeadline).Seconds(), at.Seconds(), 0.01)
				}
			})
		}
	}
}

// Where lists are pushed, what the agent has counts at once: after calls that were refused, or cut off with
// no answer, the next comes within the grace, however short the settings have it.
func TestRefusedCallsComeAgainWithinTheGrace(t *testing.T) {
	for _, group := range []int{3, minSpreadNodes, 300} {
		for _, grace := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
			h := &fleet{quiet: 10 * time.Second, breaks: true}
			back := h.quiet + 3*time.Second
			h.answer = func(int, int) (int, time.Duration) {
				if h.now() < back {
					return cutOff, 0
				}
				return 200, 0
			}
			h.run(t, group, grace, back+2*grace)
			late := time.Duration(0)
			for n := range group {
				require.Contains(t, h.inForce, n)
				late = max(late, h.inForce[n]-back)
			}
			t.Logf("group %d, grace %v: %v at most", group, grace, late)
			require.LessOrEqual(t, late, grace*7/8)
		}
	}
}

// A discovery whose machine drops all that comes is called again as soon as a connection to it has not
// come up in its time: when it is back, the rest of one such wait and a short pause go by at most.
func TestUnansweredCallsComeAgainSoon(t *testing.T) {
	for _, group := range []int{3, minSpreadNodes, 300} {
		h := &fleet{quiet: 10 * time.Second, breaks: true}
		back := h.quiet + 20*time.Second
		h.answer = func(int, int) (int, time.Duration) {
			if h.now() < back {
				return unanswered, lateAnswerTimeout
			}
			return 200, 0
		}
		h.run(t, group, 2*time.Second, back+10*time.Second)
		for n := range group {
			require.Contains(t, h.inForce, n)
			require.LessOrEqual(t, h.inForce[n]-back, lateAnswerTimeout+500*time.Millisecond, "group %d", group)
		}
	}
}
