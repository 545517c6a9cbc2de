package virtual

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"sloestile/fleet/rules"
)

// Both kinds are in force everywhere within a second, with one node cut off within a lease and a
// second; a new leader's fleet never goes without rules; messages do not grow with the fleet.
func TestRulesComeIntoForce(t *testing.T) {
	for seed := range uint64(3) {
		d := day(t, 21+seed)
		for _, kind := range []rules.ActivationKind{rules.Overlap, rules.Exclusive} {
			for _, loss := range []float64{0, 0.01} {
				f := RunRules(d, kind, loss)
				assert.Zero(t, f.Get("wrong"), "%v, seed %d", kind, d.Seed)
				assert.Less(t, f.Get("in_force_all"), 1000.0, "%v, seed %d, loss %g", kind, d.Seed, loss)
				assert.Less(t, f.Get("cut_in_force_all"), 5000.0, "%v, seed %d, loss %g", kind, d.Seed, loss)
				assert.Greater(t, f.Get("cut_in_force_all"), 1000.0, "%v, seed %d, loss %g: nothing was cut", kind, d.Seed, loss)
				assert.LessOrEqual(t, f.Get("alone"), loss, "%v, seed %d", kind, d.Seed)
				assert.Less(t, f.Get("messages"), 3.0)
			}
		}
	}
}
