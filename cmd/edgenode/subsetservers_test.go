package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"sloestile/internal/discovery"
)

// firstRev is the first version of a discoveryServer's list, above the version in the programs' configuration.
const firstRev = 100

// discoveryServer is a service discovery with versions. A watch without a version gets the complete list, one with a
// version gets the changes since; both then get each change as it is made.
type discoveryServer struct {
	*httptest.Server
	mu           sync.Mutex
	targets      []discovery.Target
	changes      []discovery.Update   // deltas since firstRev
	changed      chan struct{}        // closed and replaced at each change
	requestURIs  []string             // request URIs in order of arrival
	drainedSince map[string]time.Time // times at which servers that are not up were last listed as draining or removed
	stopped      chan struct{}
}

func newDiscoveryServer(t *testing.T, targets []discovery.Target) *discoveryServer {
	s := &discoveryServer{targets: targets, changed: make(chan struct{}), drainedSince: map[string]time.Time{}, stopped: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(s.watch))
	t.Cleanup(func() { close(s.stopped); s.Close() })
	return s
}

// setState changes the state of servers in one new version of the list.
func (s *discoveryServer) setState(state string, uids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := discovery.Update{Rev: firstRev + 1 + int64(len(s.changes))}
	for i := range s.targets {
		for _, uid := range uids {
			if s.targets[i].UID == uid {
				s.targets[i].State = state
				u.Targets = append(u.Targets, s.targets[i])
				delete(s.drainedSince, uid)
				if state != "up" {
					s.drainedSince[uid] = time.Now()
				}
			}
		}
	}
	s.changes = append(s.changes, u)
	close(s.changed)
	s.changed = make(chan struct{})
}

// drainedAt returns when a server was last listed as draining or removed; false means that it is up.
func (s *discoveryServer) drainedAt(uid string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.drainedSince[uid]
	return at, ok
}

// requests returns the URIs of all requests so far.
func (s *discoveryServer) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requestURIs...)
}

// list returns the current entries, without removed ones.
func (s *discoveryServer) list() (all []discovery.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.targets {
		if x.Status() != discovery.Removed {
			all = append(all, x)
		}
	}
	return all
}

// watch serves a watch, with a heartbeat of an empty line every second.
func (s *discoveryServer) watch(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requestURIs = append(s.requestURIs, r.URL.RequestURI())
	rev := firstRev + int64(len(s.changes))
	s.mu.Unlock()
	if from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64); err == nil && from >= firstRev && from <= rev {
		rev = from
	} else {
		writeUpdate(w, discovery.Update{Rev: rev, All: true, Targets: s.list()})
	}
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		s.mu.Lock()
		updates, changed := s.changes[rev-firstRev:], s.changed
		s.mu.Unlock()
		for _, u := range updates {
			writeUpdate(w, u)
			rev = u.Rev
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			_, _ = io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

func writeUpdate(w http.ResponseWriter, u discovery.Update) {
	raw, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(append(raw, '\n'))
	w.(http.Flusher).Flush()
}

// ratingServers are servers that record the requests they get.
type ratingServers struct {
	mu            sync.Mutex
	receivedAt    map[string][]time.Time // arrivals by server ID
	requestCounts map[string]int         // number of arrivals by request ID
}

func newRatingServers(t *testing.T, n int) (*ratingServers, []discovery.Target) {
	f := &ratingServers{receivedAt: map[string][]time.Time{}, requestCounts: map[string]int{}}
	var targets []discovery.Target
	for i := range n {
		uid := fmt.Sprintf("s-%02d", i)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.receivedAt[uid] = append(f.receivedAt[uid], time.Now())
			f.requestCounts[r.Header.Get("X-Correlation-Id")]++
			f.mu.Unlock()
			_, _ = io.WriteString(w, "done")
		}))
		t.Cleanup(srv.Close)
		targets = append(targets, discovery.Target{UID: uid, Endpoint: srv.Listener.Addr().String(), Zone: fmt.Sprint("z", 1+i%2),
			Group: i % 4, State: "up", Capacity: 1})
	}
	return f, targets
}

// lastReceivedSince returns the time of the last request of each server that got one after at.
func (f *ratingServers) lastReceivedSince(at time.Time) map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := map[string]time.Time{}
	for uid, got := range f.receivedAt {
		if x := got[len(got)-1]; x.After(at) {
			last[uid] = x
		}
	}
	return last
}
