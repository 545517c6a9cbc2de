package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	lostAfter     = 500 * time.Millisecond // time after the client's time from which a response counts as lost
	leaveSlack    = 100 * time.Millisecond // time after a client has left until which an attempt may begin
	timeLeftSlack = 150 * time.Millisecond // slack of the time left that an attempt tells its server
	hostSlack     = 100 * time.Millisecond // that a busy machine may add to each of these
	// closeCrossing is the time within which a request may cross the end of its connection: the node had closed it before
	// it could read the request.
	closeCrossing = 30 * time.Millisecond
)

// soakRequest is what a client and the server saw of one request. The run's mutex guards it.
type soakRequest struct {
	id        string
	sentAt    time.Time
	timeLeft  time.Duration
	endedAt   time.Time
	status    int   // 0 means no response
	err       error // reason why there is none
	leftEarly bool  // the client closed the connection before its time was over
	attempts  []soakAttempt
}

// soakAttempt is one arrival of a request at the server.
type soakAttempt struct {
	at       time.Time
	timeLeft time.Duration // that the node told
}

// runClient sends requests one after the other, on an open connection as long as there is one, until the process has
// ended.
func (run *soakRun) runClient(addr string, number int, rng *rand.Rand, stop <-chan struct{}) {
	var conn net.Conn
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(15*time.Millisecond))):
		}
		if conn == nil {
			run.mu.Lock()
			mayOpen := run.sigterm.IsZero() || time.Since(run.sigterm) < newConnsUntil
			run.mu.Unlock()
			var err error
			if !mayOpen {
				return
			}
			if conn, err = net.Dial("tcp", addr); err != nil {
				return
			}
		}
		if !run.exchange(conn, fmt.Sprint("c", number, "-", i), rng) {
			_ = conn.Close()
			conn = nil
		}
	}
}

// exchange sends one request and waits for its end. It returns false if the connection can't be used again.
func (run *soakRun) exchange(conn net.Conn, id string, rng *rand.Rand) (reusable bool) {
	r := &soakRequest{id: id, timeLeft: run.deadline, sentAt: time.Now()}
	method, class := "GET", "roster-read"
	if rng.IntN(3) == 0 {
		method, class = "POST", "visit-update"
	}
	wait := r.timeLeft + lostAfter + hostSlack
	if rng.IntN(12) == 0 { // leaves early
		wait = time.Duration(rng.Float64() * float64(r.timeLeft))
	}
	run.mu.Lock()
	run.requests[id] = r
	run.records = append(run.records, r)
	run.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(wait))
	_, err := fmt.Fprintf(conn, "%s /%s?account=%016x HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: %s\r\nX-Tariff: enterprise\r\nX-Time-Left: %dm\r\n"+
		"Idempotency-Key: %s\r\nX-Weight: units=1,spread=1,first=0\r\n\r\n", method, class, rng.IntN(200), id, r.timeLeft.Milliseconds(), id)
	var resp *http.Response
	if err == nil {
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	r.endedAt, r.err = time.Now(), err
	r.leftEarly = errors.Is(err, os.ErrDeadlineExceeded) && wait < r.timeLeft
	if err != nil {
		return false
	}
	r.status = resp.StatusCode
	return !resp.Close
}

// serveAttempt is the server: it answers soon, late or never, resets, fails or rejects.
func (run *soakRun) serveAttempt(w http.ResponseWriter, q *http.Request) {
	ms, _ := strconv.Atoi(strings.TrimSuffix(q.Header.Get("X-Time-Left"), "m"))
	id := q.Header.Get("X-Correlation-Id")
	run.mu.Lock()
	if r := run.requests[id]; r != nil {
		r.attempts = append(r.attempts, soakAttempt{time.Now(), time.Duration(ms) * time.Millisecond})
	}
	run.mu.Unlock()
	switch draw := rand.IntN(100); {
	case draw < 86:
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(20*time.Millisecond)))
		_, _ = io.WriteString(w, "done")
	case draw < 90: // hangs through the whole of a shutdown
		<-q.Context().Done()
	case draw < 94:
		panic(http.ErrAbortHandler)
	case draw < 97:
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// judge checks what became of each request.
func (run *soakRun) judge() {
	run.mu.Lock()
	defer run.mu.Unlock()
	answered, unread := 0, 0
	for _, r := range run.records {
		took := r.endedAt.Sub(r.sentAt)
		for _, a := range r.attempts {
			left := r.timeLeft - a.at.Sub(r.sentAt)
			assert.LessOrEqual(run.t, a.timeLeft, left+timeLeftSlack+hostSlack, "seed %d, %s: time left told to the server", run.seed, r.id)
			if r.status != 0 || r.leftEarly {
				assert.Less(run.t, a.at.Sub(r.endedAt), leaveSlack+hostSlack, "seed %d, %s: an attempt began after its end", run.seed, r.id)
			}
		}
		switch {
		case r.status != 0:
			answered++
			assert.Less(run.t, took, r.timeLeft+lostAfter+hostSlack, "seed %d, %s: late", run.seed, r.id)
		case r.leftEarly:
		case len(r.attempts) == 0 && (errors.Is(r.err, syscall.ECONNRESET) || errors.Is(r.err, syscall.EPIPE)):
			unread++ // a close over unread bytes is a reset
		case len(r.attempts) == 0 && took < closeCrossing:
			unread++
		default:
			assert.Fail(run.t, "a request has no final response", "seed %d, %s: %v after %v, %d attempts, sent %v after SIGTERM",
				run.seed, r.id, r.err, took, len(r.attempts), r.sentAt.Sub(run.sigterm))
		}
	}
	assert.Greater(run.t, answered, run.clients, "seed %d: the run proves nothing", run.seed)
	run.t.Logf("deadline %v, %d servers, %d clients, crowd %d, throttled %v: %d requests, %d answered, %d not read", run.deadline, run.servers, run.clients,
		run.crowd, run.throttle, len(run.records), answered, unread)
}
