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
func TestDrain(t *testing.T) {
	r := newRig(t)
	held, finish := make(chan struct{}, 2), make(chan struct{})
	a := newApp(t, func(w http.ResponseWriter, q *http.Request) {
		held <- struct{}{}
		<-finish
		served(w, q)
	})
	r.list(a.target("s-1", 0))
	answers := make(chan *http.Response, 2)
	ask := func(id string) {
		resp, _ := r.do(r.call(http.MethodGet, "/roster-read", id))
		answers <- resp
	}
	for _, id := range []string{"before", "held on"} {
		go ask(id)
		next(t, held)
	}
	r.stop()
	r.wait("draining", r.node.front.draining.Load)
	if resp, _ := r.do(r.call(http.MethodGet, "/roster-read", "")); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("a bad request: %s, close %v", resp.Status, resp.Close)
	}
	finish <- struct{}{}
	// The front may have no other node for the customer while the next one restarts too.
	if resp := next(t, answers); resp.StatusCode != 200 || resp.Close && !r.node.front.closing.Load() {
		t.Errorf("%s, close %v before connections are let go", resp.Status, resp.Close)
	}
	r.wait("closing", r.node.front.closing.Load)
	finish <- struct{}{}
	if resp := next(t, answers); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("%s, close %v", resp.Status, resp.Close)
	}
	if err := next(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
	if c, err := net.Dial("tcp", r.node.Addr()); err == nil {
		_ = c.Close()
		t.Error("still listening")
	}
}

// What an app server doesn't answer while the node drains is answered as failed before the end.
func TestDrainWithSilentAppServer(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	answered := r.held()
	r.stop()
	if s := next(t, answered); s != http.StatusBadGateway {
		t.Errorf("%d", s)
	}
	if err := next(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}

// A drain ends before the platform kills the node, which goes by the longest deadline.
func TestDrainEndsBeforeTheKill(t *testing.T) {
	for _, k := range []struct{ deadline, kill time.Duration }{
		{2 * time.Second, 2700 * time.Millisecond}, {6 * time.Second, 3700 * time.Millisecond}} {
		classes := []control.Class{{Deadline: time.Second}, {Deadline: k.deadline}}
		if most := maxDrainOf(classes); most+drainWriteTime >= k.kill || most < k.kill-time.Second {
			t.Errorf("deadline %v: the drain ends after %v, the kill comes after %v", k.deadline, most, k.kill)
		}
	}
}

// New connections may come for 0.4 s after the signal, also where the classes' deadlines are short:
// whoever comes by then is taken and answered.
func TestDrainTakesWhatStillComes(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.list(newApp(t, served).target("s-1", 0))
	r.node.maxDrain = maxDrainOf([]control.Class{{Deadline: 500 * time.Millisecond}})
	begun := time.Now()
	r.stop()
	for id := 0; time.Since(begun) < drainListenTime; id++ {
		c, err := net.Dial("tcp", r.node.Addr())
		if err != nil {
			if after := time.Since(begun); after < drainListenTime {
				t.Errorf("refused after %v", after)
			}
			break
		}
		_ = c.SetDeadline(time.Now().Add(patience))
		_, _ = io.WriteString(c, strings.Replace(rawGet, "raw", "new-"+strconv.Itoa(id), 1))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		switch {
		case err == nil && resp.StatusCode != 200:
			t.Error(resp.Status)
		case err != nil && time.Since(begun) < drainListenTime:
			t.Error(err)
		}
		_ = c.Close()
	}
	if err := next(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}

// A node that is told to end before it knows a server answers what it holds, and ends well.
func TestDrainBeforeReady(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	answered := make(chan int, 1)
	go func() {
		resp, _ := r.do(r.call(http.MethodGet, "/roster-read", "id-1"))
		answered <- resp.StatusCode
	}()
	r.wait("held", func() bool { return r.node.loop.exchanges["id-1"] != nil })
	r.stop()
	if s := next(t, answered); s < 500 {
		t.Errorf("answered %d", s)
	}
	if err := next(t, r.ended); err != nil {
		t.Error(err)
	}
	r.ended <- nil
}
