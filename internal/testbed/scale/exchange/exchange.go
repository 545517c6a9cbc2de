// Package exchange holds the scale sweeps of what edge nodes tell each other: shared limits, membership,
// rule distribution, and how both grow with zones. Hollow nodes run the project's own code (fleet/ratelimit,
// fleet/rules, internal/consensus/learner, internal/membership and the memberlist library); only the transport
// between them is replaced, and it counts what it carries.
//
// Bytes are those of datagrams with their IPv4 and UDP headers and the membership library's framing.
// Averages of bytes and messages a node are the same in and out, as no message is lost; the busiest
// node differs and has costs of its own.
package exchange

import (
	"sloestile/internal/testbed/scale"
)

// The budget of one edge node for control. It is shared by all that the node tells and hears, and by
// what it decides; a cost that takes all of it leaves nothing for the others.
const (
	budgetBytes  = 3000.0 // a second
	budgetCPU    = 4.4    // percent of a core
	budgetMemory = 128e6  // bytes
)

// The target size.
const (
	targetNodes   = 5800
	targetTenants = 470_000
	targetRate    = 534 // requests a second and node
	targetRoutes  = 84_000
	targetZones   = 17
	targetRegions = 5
)

const (
	udpHeader = 28    // bytes of an IPv4 and a UDP header
	netLabel  = "lab" // of the hollow fleet, as peers.label is of a real one
	// framing is what the membership library puts before a message: its label, a checksum, the type.
	framing = labelBytes + checkBytes + 1
	// datagramOverhead is the bytes of a datagram beside the message that it carries.
	datagramOverhead = udpHeader + framing
)

// Sweeps gives the sweeps of this package.
func Sweeps() []scale.Sweep { return sweeps(plant{}) }

// plant is a regression that is put into the hollow transport on purpose.
type plant struct {
	fullState bool // each message of uses goes with a list of all nodes
}

func sweeps(p plant) []scale.Sweep {
	return []scale.Sweep{shareNodes(p), shareRate(p), shareTenants(p), membershipSweep(), churn(), ruleNodes(), documents(), learners(), zones()}
}

// readings puts values to costs, which are in the same order. The runner finds one that is missing.
func readings(costs []scale.Cost, values []float64) (out []scale.Reading) {
	for i, c := range costs[:min(len(costs), len(values))] {
		out = append(out, scale.Reading{Cost: c.Name, Value: values[i]})
	}
	return out
}
