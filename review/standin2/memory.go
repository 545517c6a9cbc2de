package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryClients = 330                   // under a third of the descriptors
	memoryBetween = 20 * time.Millisecond // between the starts of two clients
	memoryPlay    = 40 * time.Second
	overSamples   = 5 // samples in a row, 0.1 s apart, for which the edge node is over its memory
)

// memory is what a process holds, in kB.
type memory struct {
	own int // its own memory, without the pages of the program's file
	all int // with these pages
}

func (m memory) String() string {
	return fmt.Sprintf("%d kB of its own, %d kB with the pages of its file", m.own, m.all)
}

// memoryOf returns the memory of a process; zero if there is none.
func memoryOf(pid int) (m memory) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return m
	}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, ":")
		kB, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		if err != nil {
			continue
		}
		switch name {
		case "RssAnon":
			m.own = kB
		case "VmRSS":
			m.all = kB
		}
	}
	return m
}

// playMemory lets clients read long answers, and one in three send long bodies, at 64 kB a second; neither states its
// length. An edge node that holds more than its memory is killed. Without trouble the clients read and send as fast as
// they can.
func playMemory(r *record, trouble bool) result {
	list, err := startServers(9, giveLong(r))
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
	over := make(chan string, 1)
	go watchMemory(r, e, over)
	done := make(chan struct{})
	go startMemoryClients(r, e, trouble, done)
	select {
	case broken := <-over:
		return result{broken: []string{broken}}
	case <-done:
	case <-time.After(memoryPlay):
	}
	return result{}
}

// watchMemory records the memory of the edge node and reports when it is over its limit.
func watchMemory(r *record, e *edge, over chan<- string) {
	most, samples := 0, 0
	for e.running() {
		time.Sleep(100 * time.Millisecond)
		m := memoryOf(e.cmd.Process.Pid)
		if m.own > most {
			most = m.own
			r.line("edge node holds %v", m)
		}
		if samples++; m.own <= longMemoryMB<<10 {
			samples = 0
		}
		if samples == overSamples {
			over <- fmt.Sprintf("the edge node holds %v, and its limit is %d kB: it is killed, and has crashed", m, longMemoryMB<<10)
			return
		}
	}
}

// startMemoryClients runs the clients, each with one request and at most one retry, and closes done when all have ended.
func startMemoryClients(r *record, e *edge, slow bool, done chan<- struct{}) {
	var all sync.WaitGroup
	for i := range memoryClients {
		all.Go(func() {
			for try := 0; try < longTries; try++ {
				id := fmt.Sprintf("%08x%08x", i+1, try)
				r.line("client %d sends %s", i, id)
				status, read, err := longExchange(e.address, id, i, try, slow)
				r.line("client %d got %d and %d bytes for %s: %v", i, status, read, id, err)
				if status == http.StatusOK {
					return
				}
				time.Sleep(time.Second)
			}
		})
		time.Sleep(memoryBetween)
	}
	all.Wait()
	close(done)
}

// giveLong returns what reads a request and gives a long answer without a length.
func giveLong(r *record) func(*ratingServer, http.ResponseWriter, *http.Request) {
	return func(s *ratingServer, w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Correlation-Id")
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		r.line("%s runs %s", s.UID, id)
		time.Sleep(20 * time.Millisecond)
		meter(w)
		piece := make([]byte, longPiece)
		for sent := 0; sent < longBytes; sent += longPiece {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}
}

// longExchange sends one request, a long one for each third client, and reads its answer.
func longExchange(address, id string, number, try int, slow bool) (status, read int, err error) {
	c, err := dialClient(address)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = c.conn.Close() }()
	if slow {
		_ = c.conn.(*net.TCPConn).SetReadBuffer(longPiece)
	}
	_ = c.conn.SetDeadline(time.Now().Add(2 * memoryPlay))
	if number%3 == 0 {
		c.sendLong(id, 100+number, try, slow)
	} else if _, err := io.WriteString(c.conn, markRetry(get(id, 100+number), try)); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	piece := make([]byte, longPiece)
	for {
		n, err := io.ReadFull(resp.Body, piece)
		read += n
		if err != nil {
			return resp.StatusCode, read, nil
		}
		if slow {
			time.Sleep(longPause)
		}
	}
}

// sendLong sends a charge-post with a long body without a length, until it is whole or the connection ends.
func (c *client) sendLong(id string, account, try int, slow bool) {
	head := strings.Replace(post(id, account, 0), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	if _, err := io.WriteString(c.conn, markRetry(head, try)); err != nil {
		return
	}
	piece := make([]byte, longPiece)
	for sent := 0; sent < longBytes; sent += longPiece {
		if _, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return
		}
		if slow {
			time.Sleep(longPause)
		}
	}
	_, _ = io.WriteString(c.conn, "0\r\n\r\n")
}
