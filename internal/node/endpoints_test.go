package node

import (
	"net/http"
	"strconv"
	"sync"
	"testing"

	"sloestile/internal/discovery"
)

// A draining server must get no new requests, and its idle connections are closed.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	r := newTestNode(t)
	a := newTestServer(t, serveOK)
	b := newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
	drains := a.target("s-1", 0)
	drains.State = "draining"
	r.updateList(drains, b.target("s-2", 0))
	for i := range 20 {
		if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "later-"+strconv.Itoa(i))); resp.StatusCode != 200 {
			t.Errorf("%s", resp.Status)
		}
	}
	if a.requestCount() != 1 || b.requestCount() != 20 {
		t.Errorf("%d requests to the draining server, %d to the other", a.requestCount(), b.requestCount())
	}
	if r.node.loop.pools[r.node.loop.serverIDs["s-1"]] != nil || len(idleConns(r.node.upstream)) != 1 {
		t.Error("an idle connection to the draining server was kept")
	}
}

// A server with a known UID may be listed with another address; requests go to the new one.
func TestServerChangesItsAddress(t *testing.T) {
	r := newTestNode(t)
	a, b := newTestServer(t, serveOK), newTestServer(t, serveOK)
	r.updateList(a.target("s-1", 0))
	r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
	r.updateList(b.target("s-1", 0))
	r.do(r.newRequest(http.MethodGet, "/roster-read", "id-2"))
	if a.requestCount() != 1 || b.requestCount() != 1 {
		t.Errorf("%d requests to the old address, %d to the new one", a.requestCount(), b.requestCount())
	}
}

// A connection must not be used for another server that is listed later at the same address, even if it was in use
// while the first server was removed.
func TestReusedAddressGetsNewConnections(t *testing.T) {
	r := newTestNode(t)
	var mu sync.Mutex
	from := make(map[string]string)
	started, finish := make(chan struct{}), make(chan struct{})
	a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get(headerID)
		mu.Lock()
		from[id] = q.RemoteAddr
		mu.Unlock()
		if id == "held" {
			close(started)
			<-finish
		}
		serveOK(w, q)
	})
	r.updateList(a.target("s-1", 0))
	answered := make(chan int, 1)
	go func() {
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "held"))
		answered <- resp.StatusCode
	}()
	receive(t, started)
	r.do(r.newRequest(http.MethodGet, "/roster-read", "before"))
	removed := a.target("s-1", 0)
	removed.State = "removed"
	r.updateList(removed, a.target("s-2", 0))
	close(finish)
	if s := receive(t, answered); s != 200 {
		t.Errorf("held request: status %d", s)
	}
	r.waitUntil("end of the attempt", func() bool { return len(r.node.loop.exchanges) == 0 })
	r.do(r.newRequest(http.MethodGet, "/roster-read", "after"))
	if from["after"] == from["before"] || from["after"] == from["held"] {
		t.Error("a connection to the removed server was reused")
	}
}

// The node must keep no state of removed servers, which would leak, and must not reuse their IDs.
func TestRemovedServersAreForgotten(t *testing.T) {
	r := newTestNode(t)
	a := newTestServer(t, serveOK)
	seen := make(map[uint32]bool)
	for i := range 50 {
		up := a.target("s-"+strconv.Itoa(i), 0)
		r.updateList(up)
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-"+strconv.Itoa(i)))
		if resp.StatusCode != 200 {
			t.Errorf("%s", resp.Status)
		}
		r.waitUntil("one server listed", func() bool {
			seen[r.node.loop.serverIDs[up.UID]] = true
			return len(r.node.loop.serverIDs) == 1 && len(r.node.loop.pools) == 1
		})
		up.State = "removed"
		r.updateList(up)
	}
	r.waitUntil("no server listed", func() bool { return len(r.node.loop.serverIDs) == 0 && len(r.node.loop.pools) == 0 })
	if len(seen) != 50 || len(r.node.upstream.idlePools) != 0 || len(idleConns(r.node.upstream)) != 0 {
		t.Errorf("%d IDs assigned, %d pools and %d connections left", len(seen), len(r.node.upstream.idlePools), len(idleConns(r.node.upstream)))
	}
}

// The hash key of a server must not depend on the order in which a node sees servers.
func TestHashKeyIsTheSameAtAllNodes(t *testing.T) {
	a, b := discovery.Target{UID: "s-1", State: "up"}, discovery.Target{UID: "s-2", State: "up"}
	if here, there := toEndpoint(&a, 1, 0), toEndpoint(&a, 2, 0); here.HashKey != there.HashKey || here.HashKey == 0 || here.Server == there.Server {
		t.Errorf("endpoints of the same target: %+v and %+v", here, there)
	}
	if toEndpoint(&a, 1, 0).HashKey == toEndpoint(&b, 1, 0).HashKey {
		t.Error("two servers have the same hash key")
	}
}
