package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/fleet/rules"
)

// attempts is the app server of a council's fleet: it notes by which version each request came.
type attempts struct {
	address string
	begun   time.Time
	mu      sync.Mutex
	all     []attempted
	sent    map[string]attempted // requests on their way
}

// attempted is a request that a node began after sent and sent on before came.
type attempted struct {
	node       int
	version    uint64
	sent, came time.Duration
}

func newAttempts(t *testing.T) *attempts {
	a := &attempts{begun: time.Now(), sent: make(map[string]attempted)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Since(a.begun)
		version, err := strconv.ParseUint(r.Header.Get("X-Rules"), 10, 64)
		a.mu.Lock()
		defer a.mu.Unlock()
		if x, ok := a.sent[r.Header.Get("X-Correlation-Id")]; ok && err == nil {
			delete(a.sent, r.Header.Get("X-Correlation-Id"))
			x.version, x.came = version, now
			a.all = append(a.all, x)
		}
	}))
	t.Cleanup(s.Close)
	a.address = s.Listener.Addr().String()
	return a
}

// ask sends requests to a node until ctx ends.
func (f *councilFleet) ask(ctx context.Context, i int) {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d", i, n)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.nodes[i].listen+"/roster-read?account=00000000b4d65521", nil)
		if err != nil {
			return
		}
		for k, v := range map[string]string{"X-Correlation-Id": id, "X-Tariff": "enterprise", "X-Time-Left": "900m"} {
			req.Header.Set(k, v)
		}
		f.seen.mu.Lock()
		f.seen.sent[id] = attempted{node: i, sent: time.Since(f.seen.begun)}
		f.seen.mu.Unlock()
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-time.After(15 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// judge goes by what came alone: no request begins by a version once another was sent on by a later
// exclusive one; by a later overlapping one, for no longer than a second after; and no node goes back.
func (a *attempts) judge(t *testing.T, kinds map[uint64]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := map[uint64]time.Duration{}
	for _, x := range a.all {
		if at, ok := first[x.version]; x.version != 0 && (!ok || x.came < at) {
			first[x.version] = x.came
		}
	}
	byTime := slices.Clone(a.all)
	slices.SortFunc(byTime, func(x, y attempted) int { return int(x.came - y.came) })
	for _, x := range a.all {
		if x.version == 0 {
			continue
		}
		for v, at := range first {
			if v > x.version && kinds[v] == "exclusive" && x.sent > at {
				assert.Fail(t, "two versions at once", "node %d began by %d at %v, exclusive %d was acted by at %v", x.node, x.version, x.sent, v, at)
				return
			}
			if v > x.version && x.sent > at+1100*time.Millisecond {
				assert.Fail(t, "two versions for long", "node %d began by %d at %v, %d was acted by at %v", x.node, x.version, x.sent, v, at)
				return
			}
		}
		for _, y := range byTime {
			if y.came >= x.sent {
				break
			}
			if y.node == x.node && y.version > x.version {
				assert.Fail(t, "a node goes back", "node %d began by %d at %v after %d at %v", x.node, x.version, x.sent, y.version, y.came)
				return
			}
		}
	}
	t.Logf("%d requests, %d versions acted by", len(a.all), len(first))
}

// registryOp is what an operator has done: published a text, or read.
type registryOp struct {
	text string // "" is a read
}

// registryView is what a read gave, or the number of a text.
type registryView struct {
	unknown bool // nothing came back
	number  uint64
	digests string // of all versions, in order
	active  uint64
}

// registryModel is a list of texts that only grows, and the number of the active one, which does too.
var registryModel = porcupine.Model{
	Init: func() any { return registryView{} },
	Step: func(state, in, out any) (bool, any) {
		s, op, got := state.(registryView), in.(registryOp), out.(registryView)
		if op.text != "" {
			s.number++
			s.digests += rules.DigestOf([]byte(op.text)).String() + " "
			return got.number == s.number, s
		}
		ok := got.digests == s.digests && got.active >= s.active && got.active <= s.number
		s.active = got.active
		return ok, s
	},
	Equal: func(a, b any) bool { return a == b },
}

// history is what operators have done and seen.
type history struct {
	f     *councilFleet
	begun time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
	kinds map[uint64]string
	texts map[uint64]string
}

func newHistory(f *councilFleet) *history {
	return &history{f: f, begun: time.Now(), kinds: map[uint64]string{}, texts: map[uint64]string{}}
}

func (h *history) note(client int, in registryOp, call time.Time, out registryView) {
	h.mu.Lock()
	defer h.mu.Unlock()
	back := int64(time.Since(h.begun))
	if out.unknown {
		back = 1 << 62 // it may come about at any later time, or never
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(h.begun)), Output: out, Return: back})
}

// publish has a text published at a node; 0 is that it was refused, or nothing is known of it.
func (h *history) publish(client, i int, text string) uint64 {
	call := time.Now()
	status, body := h.f.call(i, "publish", nil, text)
	switch status {
	case http.StatusOK:
		var n uint64
		_, err := fmt.Sscanf(strings.ReplaceAll(body, " ", ""), `{"call":"publish","number":%d}`, &n)
		require.NoError(h.f.t, err, body)
		h.note(client, registryOp{text}, call, registryView{number: n})
		h.mu.Lock()
		h.texts[n] = text
		h.mu.Unlock()
		return n
	case http.StatusServiceUnavailable:
		return 0 // it came to no leader
	}
	h.note(client, registryOp{text}, call, registryView{unknown: true})
	return 0
}

// read reads the registry at a node.
func (h *history) read(client, i int) {
	call := time.Now()
	s := h.f.status(i)
	if s == nil || s.Council == nil || len(s.Council.Versions) != int(s.Council.Newest) {
		return
	}
	var view registryView
	for _, v := range s.Council.Versions {
		view.digests += v.Digest + " "
	}
	view.active = s.Council.Active
	h.note(client, registryOp{}, call, view)
}

// judge tells whether all that was seen is as of one list to which texts were added one by one. What
// came of a publication of which nothing came back is told by the list at the end.
func (h *history) judge(t *testing.T, end map[string]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ops []porcupine.Operation
	for _, op := range h.ops {
		if out := op.Output.(registryView); out.unknown {
			out.number = end[rules.DigestOf([]byte(op.Input.(registryOp).text)).String()]
			if out.unknown = false; out.number == 0 {
				continue
			}
			op.Output = out
		}
		ops = append(ops, op)
	}
	result := porcupine.CheckOperationsTimeout(registryModel, ops, 10*time.Second)
	assert.Equal(t, porcupine.Ok, result, "%d operations", len(ops))
	t.Logf("%d operations, %d texts", len(h.ops), len(h.texts))
}
