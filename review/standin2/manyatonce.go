package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	manyClients  = 5
	manyCommands = 150 // requests that a client sends at once
	manyWork     = 200 * time.Millisecond
)

// playManyAtOnce lets clients send many commands at once on a connection, each of them a proper request. Without
// trouble each waits for its answer before it sends the next.
func playManyAtOnce(r *record, trouble bool) (res result) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	handle := func(s *ratingServer, w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Correlation-Id")
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		r.line("%s runs %s", s.UID, id)
		time.Sleep(manyWork)
		meter(w)
		_, _ = io.WriteString(w, "rated "+id)
	}
	list, err := startServers(9, handle)
	if err != nil {
		return result{cannot: err}
	}
	d, err := startDiscovery(r, list)
	if err != nil {
		return result{cannot: err}
	}
	e, err := startEdge(r, d, edgeOptions{memoryMB: 64, sockets: 384, drainGraceMS: 2000, classes: muscatClasses()})
	if err != nil {
		return result{cannot: err}
	}
	defer e.stop()
	time.Sleep(500 * time.Millisecond)
	for i := range manyClients {
		c, err := dialClient(e.address)
		if err != nil {
			return result{cannot: err}
		}
		ids := make([]string, manyCommands)
		for j := range ids {
			ids[j] = fmt.Sprintf("%08x%08x", i+1, j)
		}
		if !trouble {
			ids = ids[:5]
		}
		first := c.sendCommands(r, ids, 100+i, trouble)
		_ = c.conn.Close()
		time.Sleep(2 * manyWork)
		mu.Lock()
		runs := ran[ids[0]]
		mu.Unlock()
		if first != nil && runs {
			res.broken = append(res.broken, fmt.Sprintf("client %d stayed and got no answer to %s, which a rating server ran: %v", i, ids[0], first))
		}
	}
	return res
}

// sendCommands sends requests, at once or one by one, and reads their answers. It returns the error in place of the
// answer to the first one.
func (c *client) sendCommands(r *record, ids []string, account int, atOnce bool) (first error) {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString(get(id, account))
	}
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	if atOnce {
		err := c.sendInTwo(text.String(), len(text.String())/len(ids))
		r.line("client sent %d requests at once, %d bytes: %v", len(ids), text.Len(), err)
	}
	for i, id := range ids {
		var status int
		var body string
		var err error
		if atOnce {
			status, body, err = c.answer()
		} else {
			status, body, err = c.exchange(get(id, account), 8*time.Second)
		}
		r.line("client got %d %q %v for %s", status, body, err, id)
		if err != nil {
			if i == 0 {
				return err
			}
			return nil
		}
	}
	return nil
}

// sendInTwo sends some text, the first part a little earlier, so that its request is in work when the rest comes.
func (c *client) sendInTwo(text string, first int) error {
	if _, err := io.WriteString(c.conn, text[:first]); err != nil {
		return err
	}
	time.Sleep(manyWork / 4)
	_, err := io.WriteString(c.conn, text[first:])
	return err
}
