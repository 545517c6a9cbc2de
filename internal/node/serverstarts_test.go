package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/control"
	"sloestile/internal/discovery"
)

// Guards against a step of the wall clock that makes a server which has just started look warm, or one that is long
// warm look as if it had just started.
func TestServerStartSurvivesStepsOfTheWallClock(t *testing.T) {
	const now, recent, old = 400 * time.Hour, 2 * time.Second, 10 * time.Minute
	for name, step := range map[string]time.Duration{"no step": 0, "an hour on": time.Hour, "an hour back": -time.Hour,
		"seconds on": 3 * time.Second, "seconds back": -3 * time.Second} {
		for recorder, recorded := range map[string]time.Duration{"by the stepped clock": step, "by a clock without the step": 0} {
			t.Run(name+", "+recorder, func(t *testing.T) {
				started := now - convertStart(now-recent+recorded, now, step)
				assert.GreaterOrEqual(t, started, time.Duration(0))
				assert.LessOrEqual(t, started, recent)
			})
		}
		// A start before the step was recorded by the clock as it was then.
		assert.Greater(t, now-convertStart(now-old, now, step), old-4*time.Second, name)
	}
}

// A start in the future counts as now, once: listed again, the server keeps its start.
func TestServerKeepsAStartInTheFuture(t *testing.T) {
	r := newTestNode(t)
	future := discovery.Target{UID: "s-1", Endpoint: "127.0.0.1:1", State: "up", BootMS: float64(time.Now().Add(time.Hour).UnixMilli())}
	var first, second control.EndpointUpdate
	r.waitUntil("the first update", func() bool {
		first = r.node.loop.updatePools(control.Delta, discovery.Update{Rev: 8, Targets: []discovery.Target{future}})
		return true
	})
	time.Sleep(5 * time.Millisecond)
	r.waitUntil("the second update", func() bool {
		second = r.node.loop.updatePools(control.Delta, discovery.Update{Rev: 9, Targets: []discovery.Target{future}})
		assert.LessOrEqual(t, second.Endpoints[0].StartedAt, r.node.loop.now())
		return true
	})
	require.True(t, first.Endpoints[0].HasStartedAt)
	assert.Equal(t, first.Endpoints[0].StartedAt, second.Endpoints[0].StartedAt)
}
