package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The tests of this file hold the event loop in one event, as an event that takes long does. The platform counts a
// request as lost whose response comes more than 0.5 s after its client's time.
const lostAfter = 500 * time.Millisecond

// holdLoop keeps the event loop in one event until the returned function is called.
func (r *testNode) holdLoop() (release func()) {
	r.t.Helper()
	held, released := make(chan struct{}), make(chan struct{})
	r.node.loop.post(func() { close(held); <-released })
	receive(r.t, held)
	done := false
	release = func() {
		if !done {
			done = true
			close(released)
		}
	}
	r.t.Cleanup(release)
	return release
}

// rawRequest returns the text of a request with a method, class, ID and time left.
func rawRequest(method, class, id string, timeLeft time.Duration) string {
	headers := strings.NewReplacer("raw", id, "7000m", fmt.Sprint(timeLeft.Milliseconds(), "m")).Replace(validHeaders)
	return fmt.Sprintf("%s /%s?account=00000000b4d65521 HTTP/1.1\r\nHost: o\r\n%s\r\n", method, class, headers)
}

// timedStatus reads one response and returns its status and the time that it took since begun.
func timedStatus(t *testing.T, c net.Conn, begun time.Time) (status int, took time.Duration) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	took = time.Since(begun)
	require.NoError(t, err, "no response after %v", took)
	return resp.StatusCode, took
}

// A request gets its final response in its time while the loop is held, wherever it is: not yet taken by the loop, in a
// queue longer than the loop's, or with an attempt at a server that does not answer. It is rejected if a retry does no
// harm, otherwise it fails.
func TestRequestEndsInItsTimeWhileTheLoopIsBusy(t *testing.T) {
	const timeLeft = 600 * time.Millisecond
	for name, k := range map[string]struct {
		method, class string
		attempt       bool // the request is at a server when the loop is held
		requests      int
		want          int
	}{
		"not taken by the loop":         {http.MethodGet, "roster-read", false, 1, http.StatusServiceUnavailable},
		"keyed, not taken by the loop":  {http.MethodPost, "visit-update", false, 1, http.StatusServiceUnavailable},
		"more than the loop's queue":    {http.MethodGet, "roster-read", false, 2 * maxQueuedEvents, http.StatusServiceUnavailable},
		"at a server":                   {http.MethodGet, "roster-read", true, 1, http.StatusServiceUnavailable},
		"keyed, at a server, may run":   {http.MethodPost, "visit-update", true, 1, http.StatusGatewayTimeout},
		"many keyed requests at a time": {http.MethodPost, "visit-update", false, maxQueuedEvents + 1, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestNode(t)
			received := make(chan struct{}, k.requests)
			serve := neverAnswer(t)
			a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) { received <- struct{}{}; serve(w, q) })
			r.updateList(a.target("s-1", 0))
			release := func() {}
			if !k.attempt {
				release = r.holdLoop()
			}
			begun := time.Now()
			var clients []net.Conn
			for i := range k.requests {
				c := r.dial()
				_, _ = io.WriteString(c, rawRequest(k.method, k.class, fmt.Sprint("id-", i), timeLeft))
				clients = append(clients, c)
			}
			if k.attempt {
				receive(t, received)
				release = r.holdLoop()
			}
			for _, c := range clients {
				status, took := timedStatus(t, c, begun)
				assert.Equal(t, k.want, status)
				assert.Less(t, took, timeLeft+lostAfter)
			}
			release()
			r.waitUntil("the loop has released the requests", func() bool { return len(r.node.loop.exchanges) == 0 })
			if !k.attempt {
				assert.Zero(t, a.requestCount(), "a request was forwarded after its end")
			}
			r.waitForMetric("node_inflight", 0)
		})
	}
}

// The response of a server reaches the client while the loop is held, buffered or streamed.
func TestResponseDoesNotWaitForTheLoop(t *testing.T) {
	long := strings.Repeat("x", 4*maxBufferedBytes)
	for name, body := range map[string]string{"short": "done", "streamed": long} {
		t.Run(name, func(t *testing.T) {
			r := newTestNode(t)
			received, answer := make(chan struct{}), make(chan struct{})
			a := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				close(received)
				<-answer
				_, _ = io.WriteString(w, body)
			})
			r.updateList(a.target("s-1", 0))
			c := r.dial()
			_, _ = io.WriteString(c, rawRequest(http.MethodGet, "roster-read", "id-1", 5*time.Second))
			receive(t, received)
			release := r.holdLoop()
			begun := time.Now()
			close(answer)
			_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, resp.StatusCode)
			assert.Equal(t, len(body), len(got))
			assert.Less(t, time.Since(begun), 3*time.Second)
			release()
			r.waitForEnd("id-1")
			r.waitForMetric(`node_success_total{tier="roster-read"}`, 1)
		})
	}
}

// No attempt starts for a client that has left while the loop is held, nor for one whose time was over by then.
func TestNoAttemptForAClientThatLeftWhileTheLoopIsBusy(t *testing.T) {
	for name, leave := range map[string]func(r *testNode, c net.Conn){
		"the client leaves": func(r *testNode, c net.Conn) {
			_ = c.Close()
			assert.Eventually(r.t, func() bool { return r.node.front.clientDisconnects.Load() == 1 }, testTimeout, time.Millisecond)
		},
		"its time is over": func(r *testNode, c net.Conn) {
			status, _ := timedStatus(r.t, c, time.Now())
			assert.Equal(r.t, http.StatusServiceUnavailable, status)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestNode(t)
			a := newTestServer(t, serveOK)
			r.updateList(a.target("s-1", 0))
			d := blockDials(r)
			c := r.dial()
			_, _ = io.WriteString(c, rawRequest(http.MethodGet, "roster-read", "id-1", 600*time.Millisecond))
			receive(t, d.dialing)
			release := r.holdLoop()
			leave(r, c)
			d.proceed <- struct{}{} // the connection opens while the loop is held
			time.Sleep(50 * time.Millisecond)
			assert.Zero(t, a.requestCount(), "an attempt started after the end of its request")
			release()
			r.waitForEnd("id-1")
			assert.Zero(t, a.requestCount())
		})
	}
}

// At the end of a drain the open requests get their final responses, and requests that are read after it too, while the
// loop is held.
func TestDrainAnswersOpenRequestsWhileTheLoopIsBusy(t *testing.T) {
	r := newTestNode(t)
	received := make(chan struct{}, 1)
	serve := neverAnswer(t)
	a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) { received <- struct{}{}; serve(w, q) })
	r.updateList(a.target("s-1", 0))
	atServer, waiting := r.dial(), r.dial()
	_, _ = io.WriteString(atServer, rawRequest(http.MethodGet, "roster-read", "id-1", 7*time.Second))
	receive(t, received)
	release := r.holdLoop()
	_, _ = io.WriteString(waiting, rawRequest(http.MethodGet, "roster-read", "id-2", 7*time.Second))
	begun := time.Now()
	r.stop()
	status, took := timedStatus(t, atServer, begun)
	assert.Equal(t, http.StatusBadGateway, status)
	assert.Less(t, took, r.node.drainTimeout+drainWriteTimeout)
	status, took = timedStatus(t, waiting, begun)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Less(t, took, r.node.drainTimeout+drainWriteTimeout)
	release()
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
	assert.Len(t, a.requests(), 1, "a request was forwarded at the end of the drain")
}

// Guards against a request whose client leaves before the loop takes it, and that has the ID of an open one: the open
// request is still retried.
func TestLeavingDuplicateDoesNotEndTheOpenRequest(t *testing.T) {
	r := newTestNode(t)
	received, fail := make(chan struct{}, 2), make(chan struct{})
	first := true
	a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
		received <- struct{}{}
		if first {
			first = false
			<-fail
			resetConn(w, q)
			return
		}
		serveOK(w, q)
	})
	r.updateList(a.target("s-1", 0))
	open, duplicate := r.dial(), r.dial()
	_, _ = io.WriteString(open, rawRequest(http.MethodGet, "roster-read", "id-1", 5*time.Second))
	receive(t, received)
	release := r.holdLoop()
	_, _ = io.WriteString(duplicate, rawRequest(http.MethodGet, "roster-read", "id-1", 5*time.Second))
	time.Sleep(100 * time.Millisecond) // until it waits for the loop
	_ = duplicate.Close()
	assert.Eventually(t, func() bool { return r.node.front.clientDisconnects.Load() == 1 }, testTimeout, time.Millisecond)
	release()
	r.waitUntil("the loop has handled the duplicate", func() bool { return len(r.node.loop.events) == 0 })
	close(fail)
	status, _ := timedStatus(t, open, time.Now())
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, 2, a.requestCount())
}
