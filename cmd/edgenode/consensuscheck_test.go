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

// requestLog is the server of a consensusFleet. It records the rule version in the header of each request.
type requestLog struct {
	address   string
	startedAt time.Time
	mu        sync.Mutex
	received  []forwardedRequest
	inFlight  map[string]forwardedRequest // requests that are sent and not yet received, by ID
}

// forwardedRequest is a request that a node received after sentAt and forwarded before receivedAt, both since the start
// of the test.
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

// sendRequests sends requests to node i until ctx ends.
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

// checkVersionOrder checks the versions of the received requests. After the first request with a version that was
// activated as exclusive, no request may start with an earlier one. After a version that was activated as overlapping,
// earlier ones may be used for one more second. No node may return to an earlier version. kinds holds the kind of each
// version's activation.
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
				assert.Fail(t, "two versions in force at once", "node %d used version %d at %v, exclusive version %d was in force at %v", x.node, x.version, x.sentAt, v, at)
				return
			}
			if v > x.version && x.sentAt > at+1100*time.Millisecond {
				assert.Fail(t, "versions overlapped for too long", "node %d used version %d at %v, version %d was in force at %v", x.node, x.version, x.sentAt, v, at)
				return
			}
		}
		for _, y := range byReceivedAt {
			if y.receivedAt >= x.sentAt {
				break
			}
			if y.node == x.node && y.version > x.version {
				assert.Fail(t, "a node returned to an earlier version", "node %d used version %d at %v after version %d at %v", x.node, x.version, x.sentAt, y.version, y.receivedAt)
				return
			}
		}
	}
	t.Logf("%d requests with %d versions", len(l.received), len(firstReceivedAt))
}

// ruleSetOperation is an operator's call: the publication of a text, or a read.
type ruleSetOperation struct {
	text string // published text; "" means a read
}

// ruleSetState is the state of ruleSetModel and the result of a call. The result of a publication has only a number,
// that of a read only digests and active.
type ruleSetState struct {
	noReply bool   // the call had no response, so it may or may not have taken effect
	number  uint64 // number of the newest version, or of the published one
	digests string // digests of all versions, in order
	active  uint64 // number of the active version
}

// ruleSetModel models the published rule sets: a list of texts that only grows, and the number of the active version,
// which never falls.
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

// operationHistory records the operators' calls and their results.
type operationHistory struct {
	f         *consensusFleet
	startedAt time.Time
	mu        sync.Mutex
	ops       []porcupine.Operation
	kinds     map[uint64]string // kinds of activation by version
	texts     map[uint64]string // published texts by version
}

func newOperationHistory(f *consensusFleet) *operationHistory {
	return &operationHistory{f: f, startedAt: time.Now(), kinds: map[uint64]string{}, texts: map[uint64]string{}}
}

// record adds a call that began at calledAt and has just returned.
func (h *operationHistory) record(client int, op ruleSetOperation, calledAt time.Time, result ruleSetState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returnedAt := int64(time.Since(h.startedAt))
	if result.noReply {
		returnedAt = 1 << 62 // it may take effect at any later time
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: int64(calledAt.Sub(h.startedAt)), Output: result, Return: returnedAt})
}

// publish publishes a text at node i and returns its version; 0 means that it was rejected or that the outcome is
// unknown.
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
		return 0 // the call did not reach a leader, so it had no effect
	}
	h.record(client, ruleSetOperation{text}, call, ruleSetState{noReply: true})
	return 0
}

// read reads all versions at node i. It records nothing if the node does not answer with the complete list.
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

// checkLinearizable checks that all results are those of one list to which texts are appended one at a time. numbers
// are the versions by digest at the end of the test; they decide the outcome of a publication that had no response.
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
