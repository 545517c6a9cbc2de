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
type requestLog struct {
	address   string
	startedAt time.Time
	mu        sync.Mutex
	received  []forwardedRequest
	inFlight  map[string]forwardedRequest // requests on their way
}

// attempted is a request that a node began after sent and sent on before came.
type forwardedRequest struct {
	node               int
	version            uint64
	sentAt, receivedAt time.Duration
}

func newRequestLog(t *testing.T) *requestLog {
	l := &requestLog{startedAt: time.Now(), inFlight: make(map[string]forwardedRequest)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Since(l.startedAt)
		version, err := strconv.ParseUint(r.Header.Get("X-Rules"), 10, 64)
		l.mu.Lock()
		defer l.mu.Unlock()
		if x, ok := l.inFlight[r.Header.Get("X-Correlation-Id")]; ok && err == nil {
			delete(l.inFlight, r.Header.Get("X-Correlation-Id"))
			x.version, x.receivedAt = version, now
			l.received = append(l.received, x)
		}
	}))
	t.Cleanup(s.Close)
	l.address = s.Listener.Addr().String()
	return l
}

// ask sends requests to a node until ctx ends.
func (f *consensusFleet) sendRequests(ctx context.Context, i int) {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-%d", i, n)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.nodes[i].clientAddr+"/roster-read?account=00000000b4d65521", nil)
		if err != nil {
			return
		}
		for k, v := range map[string]string{"X-Correlation-Id": id, "X-Tariff": "enterprise", "X-Time-Left": "900m"} {
			req.Header.Set(k, v)
		}
		f.requests.mu.Lock()
		f.requests.inFlight[id] = forwardedRequest{node: i, sentAt: time.Since(f.requests.startedAt)}
		f.requests.mu.Unlock()
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
func (l *requestLog) checkVersionOrder(t *testing.T, kinds map[uint64]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	firstReceivedAt := map[uint64]time.Duration{}
	for _, x := range l.received {
		if at, ok := firstReceivedAt[x.version]; x.version != 0 && (!ok || x.receivedAt < at) {
			firstReceivedAt[x.version] = x.receivedAt
		}
	}
	byReceivedAt := slices.Clone(l.received)
	slices.SortFunc(byReceivedAt, func(x, y forwardedRequest) int { return int(x.receivedAt - y.receivedAt) })
	for _, x := range l.received {
		if x.version == 0 {
			continue
		}
		for v, at := range firstReceivedAt {
			if v > x.version && kinds[v] == "exclusive" && x.sentAt > at {
				assert.Fail(t, "two versions at once", "node %d began by %d at %v, exclusive %d was acted by at %v", x.node, x.version, x.sentAt, v, at)
				return
			}
			if v > x.version && x.sentAt > at+1100*time.Millisecond {
				assert.Fail(t, "two versions for long", "node %d began by %d at %v, %d was acted by at %v", x.node, x.version, x.sentAt, v, at)
				return
			}
		}
		for _, y := range byReceivedAt {
			if y.receivedAt >= x.sentAt {
				break
			}
			if y.node == x.node && y.version > x.version {
				assert.Fail(t, "a node goes back", "node %d began by %d at %v after %d at %v", x.node, x.version, x.sentAt, y.version, y.receivedAt)
				return
			}
		}
	}
	t.Logf("%d requests, %d versions acted by", len(l.received), len(firstReceivedAt))
}

// registryOp is what an operator has done: published a text, or read.
type ruleSetOperation struct {
	text string // "" is a read
}

// registryView is what a read gave, or the number of a text.
type ruleSetState struct {
	noReply bool // nothing came back
	number  uint64
	digests string // of all versions, in order
	active  uint64
}

// registryModel is a list of texts that only grows, and the number of the active one, which does too.
var ruleSetModel = porcupine.Model{
	Init: func() any { return ruleSetState{} },
	Step: func(state, in, out any) (bool, any) {
		s, op, got := state.(ruleSetState), in.(ruleSetOperation), out.(ruleSetState)
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
type operationHistory struct {
	f         *consensusFleet
	startedAt time.Time
	mu        sync.Mutex
	ops       []porcupine.Operation
	kinds     map[uint64]string
	texts     map[uint64]string
}

func newOperationHistory(f *consensusFleet) *operationHistory {
	return &operationHistory{f: f, startedAt: time.Now(), kinds: map[uint64]string{}, texts: map[uint64]string{}}
}

func (h *operationHistory) record(client int, op ruleSetOperation, calledAt time.Time, result ruleSetState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returnedAt := int64(time.Since(h.startedAt))
	if result.noReply {
		returnedAt = 1 << 62 // it may come about at any later time, or never
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: int64(calledAt.Sub(h.startedAt)), Output: result, Return: returnedAt})
}

// publish has a text published at a node; 0 is that it was refused, or nothing is known of it.
func (h *operationHistory) publish(client, i int, text string) uint64 {
	call := time.Now()
	status, body := h.f.call(i, "publish", nil, text)
	switch status {
	case http.StatusOK:
		var n uint64
		_, err := fmt.Sscanf(strings.ReplaceAll(body, " ", ""), `{"call":"publish","number":%d}`, &n)
		require.NoError(h.f.t, err, body)
		h.record(client, ruleSetOperation{text}, call, ruleSetState{number: n})
		h.mu.Lock()
		h.texts[n] = text
		h.mu.Unlock()
		return n
	case http.StatusServiceUnavailable:
		return 0 // it came to no leader
	}
	h.record(client, ruleSetOperation{text}, call, ruleSetState{noReply: true})
	return 0
}

// read reads the registry at a node.
func (h *operationHistory) read(client, i int) {
	call := time.Now()
	s := h.f.status(i)
	if s == nil || s.Council == nil || len(s.Council.Versions) != int(s.Council.Newest) {
		return
	}
	var view ruleSetState
	for _, v := range s.Council.Versions {
		view.digests += v.Digest + " "
	}
	view.active = s.Council.Active
	h.record(client, ruleSetOperation{}, call, view)
}

// judge tells whether all that was seen is as of one list to which texts were added one by one. What
// came of a publication of which nothing came back is told by the list at the end.
func (h *operationHistory) checkLinearizable(t *testing.T, numbers map[string]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ops []porcupine.Operation
	for _, op := range h.ops {
		if out := op.Output.(ruleSetState); out.noReply {
			out.number = numbers[rules.DigestOf([]byte(op.Input.(ruleSetOperation).text)).String()]
			if out.noReply = false; out.number == 0 {
				continue
			}
			op.Output = out
		}
		ops = append(ops, op)
	}
	result := porcupine.CheckOperationsTimeout(ruleSetModel, ops, 10*time.Second)
	assert.Equal(t, porcupine.Ok, result, "%d operations", len(ops))
	t.Logf("%d operations, %d texts", len(h.ops), len(h.texts))
}
