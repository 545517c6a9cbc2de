package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// On a calm day, a burst is one, what goes beyond quotas may cost a tenth of the worth offered.
func TestQuotasHoldOverAllNodesOnACalmDay(t *testing.T) {
	for _, x := range []struct {
		name, fault string
		beyond      int // of 100 requests of the same worth
		broken      int
	}{
		{"a tenth", "", 10, 0}, {"more", "", 11, 1}, {"more, in a burst", "burst", 11, 1}, {"more, while servers are slow", "slow", 11, 0},
	} {
		d := &scenario.Day{Length: time.Second, File: &scenario.File{}, Nodes: []scenario.Node{{}},
			Classes:   []scenario.Class{{Worth: 1, Effect: "free", DeadlineMS: 100, AimMS: 100}},
			Plans:     []scenario.DayPlan{{Rate: 1000, Depth: 1000, Price: 1, OverCost: 1}},
			Customers: []scenario.Customer{{Spread: 1, Epoch: time.Minute, Weights: [][]float32{{1}}}}}
		if x.fault != "" {
			d.Faults = []scenario.Event{{Kind: x.fault, Size: 1}}
		}
		b := record.NewBook()
		for i := range 100 {
			d.Arrivals = append(d.Arrivals, scenario.Arrival{At: time.Duration(i) * time.Millisecond, Units: 1, True: 1})
			b.Order = append(b.Order, &record.Try{Arrival: i, Units: 1, Taken: true, Inside: i >= x.beyond, End: record.Answered, Status: 200, Genuine: true})
		}
		assert.Equal(t, x.broken, Judge(d, b).Count["quota"], x.name)
	}
}
