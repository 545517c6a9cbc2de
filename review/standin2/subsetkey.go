package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// keyedRun is one arrival of a request with a key at a rating server.
type keyedRun struct {
	cell int
	at   time.Time
}

// keyRuns holds the arrivals by key.
type keyRuns struct {
	mu    sync.Mutex
	byKey map[string][]keyedRun
}

// arrived notes an arrival and returns how many there were before.
func (k *keyRuns) arrived(key string, cell int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.byKey[key] = append(k.byKey[key], keyedRun{cell, time.Now()})
	return len(k.byKey[key]) - 1
}

const (
	subsetServers  = 210 // ten more than the subset of a node, by its default
	subsetRequests = 30
	keyWindow      = 8 * time.Second
)

// playSubsetKey replaces rating servers that have a request with a key in work: discovery tells that the server is gone,
// and its process ends soon after. With the key known in one cell only, the request must not run in another one.
func playSubsetKey(r *record, trouble bool) result {
	runs := &keyRuns{byKey: make(map[string][]keyedRun)}
	var d *discovery
	handle := func(s *ratingServer, w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		key := req.Header.Get("Idempotency-Key")
		before := runs.arrived(key, s.Group)
		r.line("%s of cell %d runs key %s, %d before", s.UID, s.Group, key, before)
		time.Sleep(100 * time.Millisecond)
		if before > 0 || !trouble || s.Group == 0 {
			meter(w)
			_, _ = io.WriteString(w, "posted "+key)
			return
		}
		d.change(s.UID, "removed")
		time.Sleep(300 * time.Millisecond)
		r.line("%s ends, its connections are reset", s.UID)
		_ = s.listener.Close()
		reset(w)
	}
	list, err := startServers(subsetServers, handle)
	if err != nil {
		return result{cannot: err}
	}
	if d, err = startDiscovery(r, list); err != nil {
		return result{cannot: err}
	}
	classes := muscatClasses()
	classes[2]["key-scope"], classes[2]["repeat-window"] = "cell", float64(keyWindow.Milliseconds())
	e, err := startEdge(r, d, edgeOptions{memoryMB: 192, sockets: 1024, drainGraceMS: 2000, classes: classes, fleetFile: "[subset]\n"})
	if err != nil {
		return result{cannot: err}
	}
	defer e.stop()
	time.Sleep(time.Second)
	for i := range subsetRequests {
		if i >= 8 && trouble {
			break // eight rating servers have been replaced; the list stays longer than a subset
		}
		id := fmt.Sprintf("a%015x", i)
		postOnce(r, e, id, 100+i)
	}
	return judgeKeys(r, runs)
}

// postOnce sends one charge-post and notes its answer.
func postOnce(r *record, e *edge, id string, account int) {
	c, err := dialClient(e.address)
	if err != nil {
		r.line("client could not connect: %v", err)
		return
	}
	defer func() { _ = c.conn.Close() }()
	r.line("client sends %s", id)
	status, body, err := c.exchange(post(id, account, 5)+"12345", 5*time.Second)
	r.line("client got %d %q %v for %s", status, body, err, id)
}

// judgeKeys returns the keys that arrived in two cells within their window.
func judgeKeys(r *record, runs *keyRuns) (res result) {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	for key, all := range runs.byKey {
		for _, run := range all[1:] {
			if run.cell != all[0].cell {
				res.broken = append(res.broken, fmt.Sprintf("%s ran in cell %d and %.1f s later in cell %d", key, all[0].cell,
					run.at.Sub(all[0].at).Seconds(), run.cell))
			}
		}
	}
	r.line("%d keys arrived", len(runs.byKey))
	if len(runs.byKey) == 0 {
		res.cannot = errors.New("no request came to a rating server")
	}
	return res
}
