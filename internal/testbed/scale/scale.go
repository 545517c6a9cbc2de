// Package scale measures how each cost of the edge node grows with the size of the fleet, fits the
// growth and compares what the fit gives at the target size with its budget. It drives the
// project's own decision and state code in hollow nodes: nodes without sockets and disks, on an
// injected clock, thousands in one process.
package scale

import "context"

// Unit names what a cost is counted in.
type Unit string

// The units of costs.
const (
	Microseconds   Unit = "us"
	Milliseconds   Unit = "ms"
	Seconds        Unit = "s"
	Bytes          Unit = "B"
	BytesPerSecond Unit = "B/s"
	PerSecond      Unit = "1/s"
	Count          Unit = "1"
	CorePercent    Unit = "% of a core"
)

// Cost is one figure that a sweep measures at each size.
type Cost struct {
	Name   string  // unique over all sweeps, such as "control/request-cpu"
	Unit   Unit    // of every reading of this cost
	Budget float64 // at the target size; 0 is that no budget is set
	// Exponent is the steepest growth that docs/CAPACITY.md states for this cost: 0 is flat, 1 is
	// linear in the swept size.
	Exponent float64
	// Timed marks a cost that depends on the speed of the machine. The quick form compares ratios of
	// such costs within one run only.
	Timed bool
	// Slack is the factor that the quick form allows on the ratio of two sizes, in place of the
	// standard one of the cost's kind; 0 is the standard one. A heap has one, as maps grow in steps.
	Slack float64
	// Bound is the most that the page states for a figure of an event, or for a cost at any size; above
	// it the run fails. 0 is none. A timed cost is held to it in the full form only.
	Bound float64
}

// Reading is the value of one cost at one size with one seed.
type Reading struct {
	Cost  string
	Value float64
}

// Sweep measures costs at several sizes of one dimension, with all other dimensions held.
type Sweep struct {
	Name      string // such as "servers"
	Dimension string // what the sizes count, such as "servers known to a node"
	Target    int    // the size that the fits are extrapolated to
	Sizes     []int  // of the full form: at least four over at least two decades
	Quick     []int  // of the quick form
	Costs     []Cost
	// Measure gives the readings of all Costs at one size. It returns early with the context's error.
	Measure func(ctx context.Context, size int, seed uint64) ([]Reading, error)
}

// Event is a failure or a change at the target size, played in virtual time.
type Event struct {
	Name  string
	About string
	Costs []Cost // figures that Play gives, with the bounds that the page states as budgets
	// Play gives the readings of all Costs. The quick form plays a smaller fleet.
	Play func(ctx context.Context, quick bool, seed uint64) ([]Reading, error)
}
