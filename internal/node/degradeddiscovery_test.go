package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/control"
	"sloestile/internal/config"
	"sloestile/internal/discovery"
)

// Where discovery answers and tells nothing, requests go only to servers that say for themselves that
// they serve, and to none where these may not be asked; when it speaks again, to all that it lists.
func TestDegradedDiscoveryUsesOnlyHealthyServers(t *testing.T) {
	for healthChecks, want := range map[bool]int{true: 1, false: 0} {
		r := newTestNodeWith(t, func(c *config.Config) {
			c.Settings.HealthChecks, c.Settings.DrainGrace = healthChecks, 400*time.Millisecond
		})
		healthy := newTestServer(t, serveOK)
		draining := newTestServer(t, func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/healthz" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		r.updateList(healthy.target("s-1", 0), draining.target("s-2", 1))
		pooledServers := func() int {
			n := 0
			for _, s := range r.node.loop.serverIDs {
				if r.node.loop.pools[s] != nil {
					n++
				}
			}
			return n
		}
		r.waitUntil("both are listed", func() bool { return pooledServers() == 2 })
		r.node.loop.post(func() { r.node.degraded.setActive(true) })
		r.waitUntil("who vouches", func() bool { return pooledServers() == want })
		resp, _ := r.do(r.newRequest(http.MethodGet, "/roster-read", "id-1"))
		require.Equal(t, healthChecks, resp.StatusCode == http.StatusOK)
		require.Equal(t, "up", r.node.listedTarget("s-2").State, "what is listed is not forgotten")
		r.node.loop.post(func() { r.node.degraded.setActive(false) })
		r.waitUntil("all are back", func() bool { return pooledServers() == 2 })
	}
}

// loopTarget gives an entry of the list, on the loop's goroutine.
func (n *Node) listedTarget(uid string) discovery.Target {
	c := make(chan discovery.Target, 1)
	n.loop.post(func() { c <- n.loop.endpoints[uid] })
	return <-c
}

// Where the settings tell no grace no word comes in time, and a call for one would have no end.
func TestNoHealthChecksWithoutDrainGrace(t *testing.T) {
	require.Nil(t, newDegradedDiscovery(control.Settings{HealthChecks: true}, nil).healthCheck)
	require.NotNil(t, newDegradedDiscovery(control.Settings{HealthChecks: true, DrainGrace: time.Second}, nil).healthCheck)
}
