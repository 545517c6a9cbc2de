package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	longMemoryMB   = 32
	longClients    = 150                    // 1,024 descriptors are stated, and clients hold at most a third of them
	longBetween    = 40 * time.Millisecond  // between the starts of two clients
	longBytes      = 2 << 20                // an answer
	longPiece      = 16 << 10               // a slow client reads so much
	longPause      = 250 * time.Millisecond // in this time: 64 kB a second
	longTries      = 2                      // of a client: it retries at most once, when it is refused
	holdLimit      = 2*time.Second + 50*time.Millisecond
	longPlayLength = 40 * time.Second
)

// longPlay holds what is known of each request.
type longPlay struct {
	record *record
	mu     sync.Mutex
	begun  map[string]time.Time // the rating server has written the first bytes of its answer
	broken []string
	served atomic.Int64
	stop   chan struct{} // closed when the play is over
}

// playLongAnswers lets clients read long answers at 64 kB a second, more answers at once than memory holds. Without
// trouble they read as fast as they can.
func playLongAnswers(r *record, trouble bool) result {
	p := &longPlay{record: r, begun: make(map[string]time.Time), stop: make(chan struct{})}
	list, err := startServers(9, p.handle)
	if err != nil {
		return result{cannot: err}
	}
	d, err := startDiscovery(r, list)
	if err != nil {
		return result{cannot: err}
	}
	e, err := startEdge(r, d, edgeOptions{memoryMB: longMemoryMB, sockets: 1024, drainGraceMS: 2000, classes: muscatClasses()})
	if err != nil {
		return result{cannot: err}
	}
	defer e.stop()
	time.Sleep(500 * time.Millisecond)
	go p.recordMemory(e.cmd.Process.Pid)
	var all sync.WaitGroup
	for i := range longClients {
		all.Go(func() { p.client(e, i, trouble) })
		time.Sleep(longBetween)
	}
	all.Wait()
	close(p.stop)
	r.line("%d clients got their answer whole", p.served.Load())
	return result{broken: p.broken}
}

// recordMemory records the memory of a process once a second.
func (p *longPlay) recordMemory(pid int) {
	for tick := time.NewTicker(time.Second); ; {
		select {
		case <-p.stop:
			return
		case <-tick.C:
		}
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		for line := range strings.Lines(string(raw)) {
			if strings.HasPrefix(line, "VmRSS:") {
				p.record.line("edge node: %s", strings.Join(strings.Fields(line), " "))
			}
		}
	}
}

// handle gives a long answer.
func (p *longPlay) handle(s *ratingServer, w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Correlation-Id")
	p.record.line("%s runs %s", s.UID, id)
	time.Sleep(20 * time.Millisecond)
	meter(w)
	w.Header().Set("Content-Length", fmt.Sprint(longBytes))
	piece := make([]byte, longPiece)
	for sent := 0; sent < longBytes; sent += longPiece {
		if _, err := w.Write(piece); err != nil {
			p.record.line("%s could not write all of its answer to %s: %v", s.UID, id, err)
			return
		}
		if sent == 0 && http.NewResponseController(w).Flush() == nil {
			p.mu.Lock()
			p.begun[id] = time.Now()
			p.mu.Unlock()
			p.record.line("%s has begun its answer to %s", s.UID, id)
		}
	}
}

// client sends a request, and again once if it is refused, and reads its answer.
func (p *longPlay) client(e *edge, number int, slow bool) {
	for try := range longTries {
		id := fmt.Sprintf("%08x%08x", number+1, try)
		again, err := p.try(e, id, number, try, slow)
		if err != nil {
			p.record.line("client %d: %v", number, err)
		}
		if !again {
			return
		}
		time.Sleep(time.Second)
	}
}

// try sends one request and reads its answer. again is true if it was refused and no rating server had begun an answer.
func (p *longPlay) try(e *edge, id string, number, try int, slow bool) (again bool, err error) {
	c, err := dialClient(e.address)
	if err != nil {
		return true, err
	}
	defer func() { _ = c.conn.Close() }()
	if slow {
		_ = c.conn.(*net.TCPConn).SetReadBuffer(longPiece)
	}
	_ = c.conn.SetDeadline(time.Now().Add(60 * time.Second))
	p.record.line("client %d sends %s", number, id)
	if _, err := io.WriteString(c.conn, markRetry(get(id, 100+number), try)); err != nil {
		return true, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	firstAt := time.Now()
	if err != nil {
		p.judge(id, firstAt, 0, fmt.Sprintf("its connection was closed: %v", err))
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	p.record.line("client %d got the head of %d for %s", number, resp.StatusCode, id)
	begun := p.judge(id, firstAt, resp.StatusCode, fmt.Sprintf("it was answered %d", resp.StatusCode))
	if resp.StatusCode != http.StatusOK {
		return !begun, nil
	}
	read, complete := p.read(resp.Body, slow)
	p.record.line("client %d got %d bytes of %s", number, read, id)
	if complete {
		p.served.Add(1)
	}
	return false, nil
}

// read reads an answer to its end, or to the end of the play.
func (p *longPlay) read(body io.Reader, slow bool) (read int, complete bool) {
	piece := make([]byte, longPiece)
	for next := time.Now(); time.Since(p.record.start) < longPlayLength; {
		n, err := io.ReadFull(body, piece)
		read += n
		if err != nil {
			return read, read == longBytes
		}
		if slow {
			next = next.Add(longPause)
			time.Sleep(time.Until(next))
		}
	}
	return read, false
}

// judge notes a break if a rating server had begun its answer and the client got nothing of it for longer than the page
// allows. It reports whether an answer had begun.
func (p *longPlay) judge(id string, firstAt time.Time, status int, what string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	begunAt, begun := p.begun[id]
	if held := firstAt.Sub(begunAt); begun && held > holdLimit {
		p.broken = append(p.broken, fmt.Sprintf("%s: a rating server gave its answer, nothing of it was passed on for %.2f s, then %s",
			id, held.Seconds(), what))
	} else if begun && status != http.StatusOK {
		p.record.line("%s had an answer and %s", id, what)
	}
	return begun
}
