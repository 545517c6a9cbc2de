package node

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloestile/control"
	"sloestile/fleet/ratelimit"
	"sloestile/internal/config"
)

// newNodePair starts two nodes of one membership and waits until they have joined. sharedLimits enables shared limits.
func newNodePair(t *testing.T, sharedLimits bool) [2]*testNode {
	var ports [2]int
	host := uniqueHost()
	for i := range ports {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		ports[i] = l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
	}
	var nodes [2]*testNode
	for i := range nodes {
		nodes[i] = newTestNodeWith(t, func(c *config.Config) {
			c.Name, c.Settings.NodeIndex, c.Settings.PeerMessages = fmt.Sprint("n", i), i, true
			c.Listen = host + ":0"
			c.Fleet = &config.Fleet{Peers: &config.Peers{Label: t.Name(), Port: ports[i], Seeds: []string{fmt.Sprint(host, ":", ports[1-i])}, SharedLimits: sharedLimits}}
		})
	}
	for _, r := range nodes {
		r.waitUntil("one live peer", func() bool { return r.node.peers.Load().Counts.Live.Load() == 1 })
	}
	return nodes
}

// requestBasicPlan sends a request of plan basic, which has a small quota. nodes is the number of nodes that the
// tenant's requests come through. It returns the status.
func requestBasicPlan(r *testNode, id string, tokens, nodes int) int {
	req := r.newRequest(http.MethodGet, "/roster-read", id)
	req.Header.Set(headerPlan, "basic")
	req.Header.Set(headerWeight, fmt.Sprintf("units=%d,spread=%d,first=0", tokens, nodes))
	resp, _ := r.do(req)
	return resp.StatusCode
}

// Tokens that one node has granted must not be granted again by the other node. Without shared limits they are.
func TestNodesShareLimits(t *testing.T) {
	for _, sharedLimits := range []bool{true, false} {
		t.Run(fmt.Sprint(sharedLimits), func(t *testing.T) {
			t.Parallel()
			server := newTestServer(t, serveOK)
			nodes := newNodePair(t, sharedLimits)
			q := &control.Request{Plan: "basic", Tenant: "00000000b4d65521", TenantNodes: 2}
			for _, r := range nodes {
				r.updateList(server.target("a", 1))
				if sharedLimits {
					requestBasicPlan(r, "first", 1, 2) // so that the bucket gets an owner that reports its level
					r.waitUntil("a known level of the bucket", func() bool { return r.node.loop.limitSharing.bucketOf(q) != nil })
				}
			}
			for i := 0; requestBasicPlan(nodes[0], fmt.Sprint("a", i), 1, 2) == http.StatusOK; i++ {
				if i > 20 {
					t.Fatal("the token bucket never runs empty")
				}
			}
			b := nodes[1]
			if !sharedLimits {
				if got := requestBasicPlan(b, "b", 4, 2); got != http.StatusOK {
					t.Errorf("without shared limits the other node answers %d", got)
				}
				return
			}
			b.waitUntil("the low level of the bucket", func() bool {
				s := b.node.loop.limitSharing.bucketOf(q)
				return s != nil && !s.LowerBound && s.Tokens < 3
			})
			if got := requestBasicPlan(b, "b", 4, 2); got != http.StatusServiceUnavailable {
				t.Errorf("a node that knows the low level answers %d", got)
			}
			var text strings.Builder
			writeRegistry(&text, b.node.loop.metrics)
			if !strings.Contains(text.String(), "node_share_age_seconds_bucket") || !strings.Contains(text.String(), "node_share_known_total") {
				t.Error("the metrics lack the age or the number of known buckets")
			}
		})
	}
}

// Without a fleet file a node must start neither the membership nor the sharing of limits.
func TestPeersAreOffWithoutFleetFile(t *testing.T) {
	r := newTestNode(t)
	if n := r.node; n.startPeers != nil || n.peers.Load() != nil || n.loop.limitSharing != nil {
		t.Error("a node without a fleet file has a membership or shares limits")
	}
}

// BenchmarkLimitSharing measures the loop's additional work per request with shared limits and a known bucket.
func BenchmarkLimitSharing(b *testing.B) {
	q := &control.Request{Plan: "basic", Tenant: "x", TenantNodes: 3, Tokens: 1}
	s := newLimitSharing(&control.Settings{FleetSize: 3}, config.Peers{SharedLimits: true}, &loop{start: time.Now(), ended: make(chan struct{})})
	s.limiter = ratelimit.NewLimiter(ratelimit.Config{Node: 0, FleetSize: 3, Incarnation: 1, MaxTenants: 1000,
		Quotas: map[uint32]ratelimit.Quota{planKey("basic"): {Rate: 1e9, Burst: 1e9}}}, s.loop.now())
	s.limiter.SetLivePeers(s.loop.now(), []ratelimit.Peer{{Index: 1, Incarnation: 1}, {Index: 2, Incarnation: 1}})
	b.ReportAllocs()
	for b.Loop() {
		s.bucketOf(q)
		s.consume(q, 1, false)
	}
	close(s.loop.ended)
}

// A process that starts while its predecessor holds the membership's address must join once the address is free.
func TestPeersStartWhenTheAddressIsFree(t *testing.T) {
	t.Parallel()
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Settings.PeerMessages = true
	cfg.Fleet = &config.Fleet{Peers: &config.Peers{Label: "x", Port: holder.Addr().(*net.TCPAddr).Port}}
	startPeers, err := startPeersFunc(cfg, &loop{})
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{startPeers: startPeers}
	if _, err := n.startPeers(); !errors.Is(err, syscall.EADDRINUSE) {
		t.Fatalf("start while the address is in use: %v", err)
	}
	_ = holder.Close()
	p := n.joinPeers(t.Context())
	if p == nil || n.peers.Load() != p {
		t.Fatal("the membership does not start")
	}
	_ = p.Close()
}
