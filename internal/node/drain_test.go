package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloestile/control"
)

// A draining node answers what it holds, takes what still comes and then ends.
func TestDrainAnswersOpenRequests(t *testing.T) {
	r := newTestNode(t)
	held, finish := make(chan struct{}, 2), make(chan struct{})
	a := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
		held <- struct{}{}
		<-finish
		serveOK(w, q)
	})
	r.updateList(a.target("s-1", 0))
	answers := make(chan *http.Response, 2)
	ask := func(id string) {
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", id))
		answers <- resp
	}
	for _, id := range []string{"before", "held on"} {
		go ask(id)
		receive(t, held)
	}
	r.stop()
	r.waitUntil("draining", r.node.front.draining.Load)
	if resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "")); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("a bad request: %s, close %v", resp.Status, resp.Close)
	}
	finish <- struct{}{}
	// The front may have no other node for the customer while the next one restarts too.
	if resp := receive(t, answers); resp.StatusCode != 200 || resp.Close && !r.node.front.closing.Load() {
		t.Errorf("%s, close %v before connections are let go", resp.Status, resp.Close)
	}
	r.waitUntil("closing", r.node.front.closing.Load)
	finish <- struct{}{}
	if resp := receive(t, answers); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%s, close %v", resp.Status, resp.Close)
	}
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
	if c, err := net.Dial("tcp", r.node.Addr()); err == nil {
		_ = c.Close()
		t.Error("still listening")
	}
}

// What an app server doesn't answer while the node drains is answered as failed before the end.
func TestDrainFailsUnansweredRequests(t *testing.T) {
	t.Parallel()
	r := newTestNode(t)
	answered := r.holdRequest()
	r.stop()
	if s := receive(t, answered); s != http.StatusBadGateway {
		t.Errorf("%d", s)
	}
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}

// A drain ends before the platform kills the node, which goes by the longest deadline.
func TestDrainEndsBeforeThePlatformKills(t *testing.T) {
	for _, k := range []struct{ deadline, killAfter time.Duration }{
		{2 * time.Second, 2700 * time.Millisecond}, {6 * time.Second, 3700 * time.Millisecond}} {
		classes := []control.Class{{Deadline: time.Second}, {Deadline: k.deadline}}
		if timeout := computeDrainTimeout(classes); timeout+drainWriteTimeout >= k.killAfter || timeout < k.killAfter-time.Second {
			t.Errorf("deadline %v: the drain ends after %v, the kill comes after %v", k.deadline, timeout, k.killAfter)
		}
	}
}

// New connections may come for 0.4 s after the signal, also where the classes' deadlines are short:
// whoever comes by then is taken and answered.
func TestDrainAcceptsNewConnections(t *testing.T) {
	t.Parallel()
	r := newTestNode(t)
	r.updateList(newTestServer(t, serveOK).target("s-1", 0))
	r.node.drainTimeout = computeDrainTimeout([]control.Class{{Deadline: 500 * time.Millisecond}})
	begun := time.Now()
	r.stop()
	for id := 0; time.Since(begun) < drainListenPeriod; id++ {
		c, err := net.Dial("tcp", r.node.Addr())
		if err != nil {
			if after := time.Since(begun); after < drainListenPeriod {
				t.Errorf("refused after %v", after)
			}
			break
		}
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, _ = io.WriteString(c, strings.Replace(rawGet, "raw", "new-"+strconv.Itoa(id), 1))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		switch {
		case err == nil && resp.StatusCode != 200:
			t.Error(resp.Status)
		case err != nil && time.Since(begun) < drainListenPeriod:
			t.Error(err)
		}
		_ = c.Close()
	}
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}

// A node that is told to end before it knows a server answers what it holds, and ends well.
func TestDrainBeforeReady(t *testing.T) {
	t.Parallel()
	r := newTestNode(t)
	answered := make(chan int, 1)
	go func() {
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
		answered <- resp.StatusCode
	}()
	r.waitUntil("held", func() bool { return r.node.loop.exchanges["id-1"] != nil })
	r.stop()
	if s := receive(t, answered); s < 500 {
		t.Errorf("answered %d", s)
	}
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}
