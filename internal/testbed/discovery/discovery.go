// Package discovery is the platform's list of rating servers as the nodes are told it: an agent on
// each node's machine, late by the node's lateness, that can fall silent, send what is no list, or
// move.
package discovery

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sloestile/internal/testbed/faultlink"
)

// Target is one entry of a list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// Listing is a list or a change of one.
type Listing struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

const (
	beat      = 2 * time.Second         // between empty lines while nothing changes
	movedOpen = 1500 * time.Millisecond // that the old address keeps its connections
)

// spoilt is what an agent sends in place of a list while it is spoilt. None of it is a list in the
// protocol's form: one that is well formed and empty binds, as who is not in a whole list is gone.
var spoilt = []string{
	"{\"rev\":", "[]\n", "{\"rev\":1,\"all\":true}\n", "null\n", "\x00\xff\xfe\n",
	"{\"rev\":-4,\"all\":false,\"targets\":[{\"uid\":\"\",\"endpoint\":\"nowhere\",\"state\":\"up\"}]}\n",
	"{\"rev\":9,\"all\":true,\"targets\":[{\"uid\":\"s-0\",\"endpoint\":\"127.0.0.1:99999\",\"state\":\"up\",\"boot_ms\":1e30}]}\n",
}

// entry is a target with the version at which it changed last, and what it is told by.
type entry struct {
	Target
	rev    int
	server int
}

// Notes hear of what becomes of a list: that the agent has a change, that it has written one to the
// node, and that it has answered a new call. They must not call the agent.
type Notes struct {
	Has, Told func(server int, state string)
	Answered  func()
}

// Agent tells one node. It is safe for concurrent use.
type Agent struct {
	notes   Notes
	waiting []entry // changes that have not come to the agent, as discovery is down
	silent  int     // how often all open watches fell silent
	mu      sync.Mutex
	rev     int
	entries map[string]*entry
	order   []string
	changed chan struct{}
	dark    bool
	bad     bool
	full    bool
	badNext int
	http    *http.Server
}

// NewAgent makes the agent of a node.
func NewAgent(notes Notes) *Agent {
	return &Agent{notes: notes, entries: make(map[string]*entry), changed: make(chan struct{})}
}

// Serve answers at an address across a path, in place of where it answered before: the old address
// takes no new connections and closes its open ones a little later.
func (a *Agent) Serve(p *faultlink.Path, address string) error {
	l, err := p.Listen(address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.list)
	h := &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	// Lines that wait for a silent path end with the server.
	ctx, cancel := context.WithCancel(context.Background())
	h.BaseContext = func(net.Listener) context.Context { return ctx }
	h.RegisterOnShutdown(cancel)
	a.mu.Lock()
	old := a.http
	a.http = h
	a.mu.Unlock()
	go func() { _ = h.Serve(l) }() // until retire
	if old != nil {
		retire(old)
	}
	return nil
}

func retire(h *http.Server) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	h.SetKeepAlivesEnabled(false)
	time.AfterFunc(movedOpen, func() { _ = h.Shutdown(gone); _ = h.Close() })
}

// Close ends the agent.
func (a *Agent) Close() {
	a.mu.Lock()
	h := a.http
	a.mu.Unlock()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.Shutdown(gone)
	_ = h.Close()
}

// Put enters a change, which comes to the agent at once or when discovery is back. A target that is
// removed stays as such, so that a watch tells it.
func (a *Agent) Put(server int, t Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = append(a.waiting, entry{t, 0, server})
	a.learn()
}

// learn takes in what has not come, unless discovery is down. The caller holds mu.
func (a *Agent) learn() {
	if !a.dark && !a.bad {
		for _, e := range a.waiting {
			a.rev++
			e.rev = a.rev
			if a.entries[e.UID] == nil {
				a.order = append(a.order, e.UID)
			}
			a.entries[e.UID] = &e
			a.notes.Has(e.server, e.State)
		}
		a.waiting = nil
	}
	a.wake()
}

// Dark is that discovery is down: the agent is silent and learns nothing, and answers what waits when
// it is back.
func (a *Agent) Dark(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dark = on
	a.learn()
}

// Full has the agent turn all calls away, and ends the watches that are open, or lets calls in again.
func (a *Agent) Full(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.full = on
	a.wake()
}

// Silence has the watches that are open say nothing more, without a word. New calls are answered.
func (a *Agent) Silence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent++
	a.wake()
}

// Spoil makes the agent send what is no list, or ends that. It learns nothing meanwhile.
func (a *Agent) Spoil(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bad = on
	a.learn()
}

func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Whole gives the list as it stands.
func (a *Agent) Whole() Listing {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, _ := a.since(0)
	return l
}

// since gives what changed after a version, and the servers and states that it tells of. The caller
// holds mu.
func (a *Agent) since(rev int) (Listing, []entry) {
	l := Listing{Rev: a.rev, All: rev <= 0 || rev > a.rev, Targets: []Target{}}
	var told []entry
	for _, uid := range a.order {
		e := a.entries[uid]
		if !l.All && e.rev <= rev || l.All && e.State == "removed" {
			continue
		}
		l.Targets = append(l.Targets, e.Target)
		told = append(told, *e)
	}
	return l, told
}

func (a *Agent) list(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	open, full := a.silent, a.full
	a.mu.Unlock()
	if full {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	if r.URL.Query().Get("watch") != "1" {
		if a.send(w, r, 0) >= 0 {
			a.notes.Answered()
		}
		return
	}
	w.WriteHeader(http.StatusOK)
	for first := true; ; first = false {
		a.mu.Lock()
		rev, changed, news, silent, full := a.rev, a.changed, first || a.rev > from || a.bad, a.silent != open, a.full
		a.mu.Unlock()
		if full {
			return
		}
		if silent {
			<-r.Context().Done()
			return
		}
		if news {
			if from = a.send(w, r, from); from < 0 {
				return
			}
			from = max(from, rev)
		}
		if first {
			a.notes.Answered()
		}
		select {
		case <-changed:
		case <-time.After(beat):
			if a.light(r) && !a.write(w, []byte("\n")) {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// light waits until the agent may speak; it gives false when the caller has gone.
func (a *Agent) light(r *http.Request) bool {
	for {
		a.mu.Lock()
		dark, changed := a.dark, a.changed
		a.mu.Unlock()
		if !dark {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// send writes what changed after a version; it gives the version told, or -1 where that failed.
func (a *Agent) send(w http.ResponseWriter, r *http.Request, from int) int {
	if !a.light(r) {
		return -1
	}
	a.mu.Lock()
	l, told := a.since(from)
	bad := ""
	if a.bad {
		bad = spoilt[a.badNext%len(spoilt)]
		a.badNext++
	}
	a.mu.Unlock()
	if bad != "" {
		a.write(w, []byte(bad))
		return -1
	}
	raw, err := json.Marshal(l)
	if err != nil || !a.write(w, append(raw, '\n')) {
		return -1
	}
	for _, e := range told {
		a.notes.Told(e.server, e.State)
	}
	return l.Rev
}

func (a *Agent) write(w http.ResponseWriter, b []byte) bool {
	if _, err := w.Write(b); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
