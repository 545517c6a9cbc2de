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
	"golang.org/x/sys/unix"
)

const (
	lostAfter     = 500 * time.Millisecond // time after the client's time from which a response counts as lost
	leaveSlack    = 100 * time.Millisecond // time after a client has left until which an attempt may begin
	timeLeftSlack = 150 * time.Millisecond // slack of the time left that an attempt tells its server
	hostSlack     = 100 * time.Millisecond // that a busy machine may add to each of these
	// closeCrossing is the time within which a request may cross the end of its connection: the node had closed it before
	// it could read the request.
	closeCrossing = 30 * time.Millisecond

	slowClientEvery = 8                // one client of as many reads slowly
	soakReadTimeout = 20 * time.Second // time to read a response; longer than any run
	bodyBytesHeader = "X-Body-Bytes"   // length of a response's body, whatever its framing
)

// soakRequest is what a client and the server saw of one request. The run's mutex guards it.
type soakRequest struct {
	id        string
	sentAt    time.Time
	timeLeft  time.Duration
	endedAt   time.Time
	begunAt   time.Time // time at which the header of the response was there; zero means never
	status    int       // 0 means no whole response
	err       error     // reason why there is none
	leftEarly bool      // the client closed the connection before its time was over
	slow      bool      // the client reads slowly
	conn      net.Conn
	closed    bool // the end of the connection had come to the client's machine by the kill, perhaps behind bytes to read
	attempts  []soakAttempt
}

// soakAttempt is one arrival of a request at the server.
type soakAttempt struct {
	at       time.Time
	timeLeft time.Duration // that the node told
}

// mayOpen reports whether clients open connections now. To a shared socket they would come to the other process, which this
// test has not.
func (run *soakRun) mayOpen() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return !run.connsFixed && (run.sigterm.IsZero() || time.Since(run.sigterm) < newConnsUntil)
}

// rest waits for a random time of the shutdown.
func (run *soakRun) rest(rng *rand.Rand, stop <-chan struct{}) {
	select {
	case <-stop:
	case <-run.shutdown:
		time.Sleep(time.Duration(rng.Float64() * float64(killAfter(run.deadline))))
	}
}

// runClient sends requests one after the other, on an open connection as long as there is one, until the process has
// ended. One that rests does so between its first and its second request.
func (run *soakRun) runClient(addr string, number int, rests bool, rng *rand.Rand, stop <-chan struct{}) {
	var conn net.Conn
	slow := number%slowClientEvery == 1
	for i := 0; ; i++ {
		if i == 1 && rests {
			run.rest(rng, stop)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(15*time.Millisecond))):
		}
		if conn == nil {
			var err error
			if !run.mayOpen() {
				return
			}
			if conn, err = net.Dial("tcp", addr); err != nil {
				return
			}
			if slow { // little may lie unread at the client
				_ = conn.(*net.TCPConn).SetReadBuffer(slowPiece)
			}
		}
		if !run.exchange(conn, fmt.Sprint("c", number, "-", i), slow, rng) {
			_ = conn.Close()
			conn = nil
		}
	}
}

// exchange sends one request and waits for its end: for the header of the response while it has time, for the rest until the
// connection ends. It returns false if the connection can't be used again.
func (run *soakRun) exchange(conn net.Conn, id string, slow bool, rng *rand.Rand) (reusable bool) {
	r := &soakRequest{id: id, timeLeft: run.deadline, sentAt: time.Now(), conn: conn, slow: slow}
	method, class, framing, body := "GET", "roster-read", "", ""
	if rng.IntN(3) == 0 {
		method, class = "POST", "visit-update"
		framing, body = drawBody(rng)
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
		"Idempotency-Key: %s\r\nX-Weight: units=1,spread=1,first=0\r\n%s\r\n%s", method, class, rng.IntN(200), id, r.timeLeft.Milliseconds(), id, framing, body)
	var resp *http.Response
	if err == nil {
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			run.mu.Lock()
			r.begunAt = time.Now()
			run.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(soakReadTimeout))
			err = readBody(resp, r.slow)
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

// drawBody draws a request body, with the header lines of its framing.
func drawBody(rng *rand.Rand) (framing, body string) {
	switch rng.IntN(6) {
	case 0:
		return "Content-Length: 20000\r\n", strings.Repeat("b", 20_000)
	case 1:
		return "Content-Length: 150000\r\n", strings.Repeat("b", 150_000)
	case 2:
		return "Transfer-Encoding: chunked\r\n", "186a0\r\n" + strings.Repeat("b", 100_000) + "\r\n0\r\n\r\n"
	}
	return "Content-Length: 0\r\n", ""
}

// readBody reads a response to its end. It returns an error if the response is not whole.
func readBody(resp *http.Response, slow bool) error {
	if !slow {
		n, err := io.Copy(io.Discard, resp.Body)
		if want := resp.Header.Get(bodyBytesHeader); err == nil && want != "" && want != strconv.FormatInt(n, 10) {
			return fmt.Errorf("%d bytes of %s, with nothing to tell it", n, want)
		}
		return err
	}
	piece := make([]byte, slowPiece)
	for {
		_, err := io.ReadFull(resp.Body, piece)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			_, err = resp.Body.Read(piece) // tells the end of the body from that of the connection
			if errors.Is(err, io.EOF) {
				return nil
			}
		}
		if err != nil {
			return err
		}
		time.Sleep(slowPause)
	}
}

// serveAttempt is the server: it answers soon, late or never, resets, fails or rejects, or stops within its response.
func (run *soakRun) serveAttempt(w http.ResponseWriter, q *http.Request) {
	ms, _ := strconv.Atoi(strings.TrimSuffix(q.Header.Get("X-Time-Left"), "m"))
	id := q.Header.Get("X-Correlation-Id")
	at := time.Now()
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return // by the protocol an attempt counts once its last byte has arrived
	}
	run.mu.Lock()
	if r := run.requests[id]; r != nil {
		r.attempts = append(r.attempts, soakAttempt{at, time.Duration(ms) * time.Millisecond})
	}
	run.mu.Unlock()
	if rand.IntN(100) < run.endless {
		serveEndless(w, q)
		return
	}
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

// serveEndless begins a response and does not end it before the kill.
func serveEndless(w http.ResponseWriter, q *http.Request) {
	part, pieces, pause := []byte("x"), 1, time.Duration(0)
	switch rand.IntN(5) {
	case 0: // a header and nothing
		part = nil
	case 1: // slow pieces
		pieces, pause = 1000, 200*time.Millisecond
	case 2: // a long response, whole at once
		w.Header().Set(bodyBytesHeader, "600000")
		_, _ = w.Write(make([]byte, 600_000))
		return
	case 3: // the start of a long response
		w.Header().Set("Content-Length", "600000")
		part = make([]byte, 200_000)
	default: // a part with a length
		w.Header().Set("Content-Length", "100")
	}
	for range pieces {
		_, _ = w.Write(part)
		w.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-time.After(pause):
		}
	}
	<-q.Context().Done()
}

// openEarlyStreams returns the number of responses to early requests that have begun and have no end.
func (run *soakRun) openEarlyStreams() (n int) {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, r := range run.records {
		if r.sentAt.Sub(run.sigterm) <= lateFrom && !r.begunAt.IsZero() && r.endedAt.IsZero() {
			n++
		}
	}
	return n
}

// recordCloses records which connections of open requests have been closed by the node.
func (run *soakRun) recordCloses() {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, r := range run.records {
		if r.endedAt.IsZero() {
			r.closed = closedByPeer(r.conn)
		}
	}
}

// closedByPeer reports whether the end of a connection has come to this machine.
func closedByPeer(conn net.Conn) (closed bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != unix.BPF_TCP_ESTABLISHED
	})
	return closed || err != nil
}

// hasEndBeforeKill reports whether a request had a whole response or the end of its connection before the kill.
func (run *soakRun) hasEndBeforeKill(r *soakRequest) bool {
	return (!r.endedAt.IsZero() && !r.endedAt.After(run.killAt)) || (r.slow && r.closed)
}

// judge checks what became of each request.
func (run *soakRun) judge() {
	run.mu.Lock()
	defer run.mu.Unlock()
	answered, unread, late, cutOff := 0, 0, 0, 0
	for _, r := range run.records {
		if r.sentAt.Sub(run.sigterm) > lateFrom && r.sentAt.Before(run.killAt) {
			late++
			assert.True(run.t, run.hasEndBeforeKill(r), "seed %d, %s: sent %v after SIGTERM, no end %v later; begun after %v, closed %v, slow %v", run.seed,
				r.id, r.sentAt.Sub(run.sigterm), run.killAt.Sub(r.sentAt), r.begunAt.Sub(r.sentAt), r.closed, r.slow)
		}
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
			if r.slow {
				took = r.begunAt.Sub(r.sentAt)
			}
			assert.Less(run.t, took, r.timeLeft+lostAfter+hostSlack, "seed %d, %s: late", run.seed, r.id)
		case r.leftEarly:
		case !r.begunAt.IsZero(): // a part of a response, and its client can tell
			cutOff++
			assert.Less(run.t, r.begunAt.Sub(r.sentAt), r.timeLeft+lostAfter+hostSlack, "seed %d, %s: begun late", run.seed, r.id)
			assert.NotZero(run.t, run.endless, "seed %d, %s: a response is not whole: %v", run.seed, r.id, r.err)
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
	run.t.Logf("deadline %v, %d servers, %d clients, crowd %d, throttled %v, shared %v, ordered %v, endless %d%%: "+
		"%d requests, %d late, %d answered, %d cut off, %d not read",
		run.deadline, run.servers, run.clients, run.crowd, run.throttle, run.shared, run.ordered, run.endless,
		len(run.records), late, answered, cutOff, unread)
}
