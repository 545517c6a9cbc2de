package delayedref

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/scenario"
)

// A day comes out the same each time; half of the servers lost at once cost more until the policy
// sees it than after, and a server that hangs costs nothing once it is seen.
func TestPolicySeesLate(t *testing.T) {
	f, err := scenario.Read("../../../scenarios/calm.toml", "seconds = 12", "load.inside = 0.4", "load.heavy = 0", "load.spiky = 0", "load.full = 0",
		"clients.retries = 0", `fault = [{kind = "pause", at_s = 6, for_s = 6, share = 0.5}]`)
	require.NoError(t, err)
	d, err := f.Draw(3)
	require.NoError(t, err)
	served, err := Served(d)
	require.NoError(t, err)
	again, _ := Served(d)
	assert.Equal(t, served, again)
	part := func(from, to time.Duration) float64 {
		yes, all := 0.0, 0.0
		for i, a := range d.Arrivals {
			if a.At >= from && a.At < to {
				if all++; served[i] {
					yes++
				}
			}
		}
		return yes / all
	}
	const s = time.Second
	assert.Greater(t, part(0, 5*s), 0.9)
	assert.Less(t, part(6*s, 6*s+seenAfter), 0.7)
	assert.Greater(t, part(9*s, 12*s), 0.8)
}
