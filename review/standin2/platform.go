package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// target is one entry of the list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"`
}

// update is one object of discovery.
type update struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// discovery is the stand-in of discovery: a list, and watches of its changes.
type discovery struct {
	listener net.Listener
	record   *record

	mu      sync.Mutex
	rev     int64
	list    []target
	changes []update      // since the first version
	changed chan struct{} // closed at the next change
	told    map[string]time.Time
}

const firstRev = 41

// startDiscovery serves a list.
func startDiscovery(r *record, list []target) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: l, record: r, rev: firstRev, list: list, changed: make(chan struct{}), told: make(map[string]time.Time)}
	go func() { _ = http.Serve(l, http.HandlerFunc(d.serve)) }()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// whole returns the whole list.
func (d *discovery) whole() update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return update{Rev: d.rev, All: true, Targets: append([]target{}, d.list...)}
}

// change tells the new state of one server, with its whole entry.
func (d *discovery) change(uid, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, t := range d.list {
		if t.UID != uid {
			continue
		}
		t.State = state
		d.rev++
		d.changes = append(d.changes, update{Rev: d.rev, Targets: []target{t}})
		d.list[i] = t
		if state == "removed" {
			d.list = append(d.list[:i:i], d.list[i+1:]...)
		}
		d.record.line("discovery has version %d: %s of cell %d is %s", d.rev, uid, t.Group, state)
		close(d.changed)
		d.changed = make(chan struct{})
		return
	}
}

// toldAt returns when a watch was told of a state of a server, and whether it was.
func (d *discovery) toldAt(uid, state string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.told[uid+" "+state]
	return at, ok
}

// serve answers the whole list, or a watch of it.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "1" {
		_ = json.NewEncoder(w).Encode(d.whole())
		return
	}
	controller, encoder := http.NewResponseController(w), json.NewEncoder(w)
	first := d.whole()
	if encoder.Encode(first) != nil || controller.Flush() != nil {
		return
	}
	rev := first.Rev
	for beat := time.NewTicker(2 * time.Second); ; {
		d.mu.Lock()
		changed := d.changed
		pending := d.changes[rev-firstRev:]
		d.mu.Unlock()
		for _, u := range pending {
			if encoder.Encode(u) != nil || controller.Flush() != nil {
				return
			}
			rev = u.Rev
			d.mu.Lock()
			d.told[u.Targets[0].UID+" "+u.Targets[0].State] = time.Now()
			d.mu.Unlock()
			d.record.line("discovery has told version %d", u.Rev)
		}
		select {
		case <-changed:
		case <-beat.C:
			if _, err := w.Write([]byte("\n")); err != nil || controller.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// ratingServer is the stand-in of one rating server.
type ratingServer struct {
	target
	listener net.Listener
}

// cellSize is the number of rating servers of a cell.
const cellSize = 3

// startServers starts rating servers in three halls, cell by cell, and returns their list.
// handle gets each request after its body.
func startServers(count int, handle func(*ratingServer, http.ResponseWriter, *http.Request)) ([]target, error) {
	var list []target
	halls := []string{"hall-a", "hall-b", "hall-c"}
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		cell := i / cellSize
		s := &ratingServer{listener: l, target: target{UID: "s-" + string(rune('a'+i/26%26)) + string(rune('a'+i%26)) + string(rune('a'+i/676)),
			Endpoint: l.Addr().String(), Zone: halls[cell%3], Model: "std-3core", Group: cell, State: "up", Capacity: 1}}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/healthz" {
				return
			}
			handle(s, w, r)
		})}
		go func() { _ = server.Serve(l) }()
		list = append(list, s.target)
	}
	return list, nil
}

// reset closes the connection of a request with a reset, as the end of its process does.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// meter sets the headers that a rating server's answers carry.
func meter(w http.ResponseWriter) {
	w.Header().Set("X-Allowance-Used", "20")
	w.Header().Set("X-True-Cost", "1")
}
