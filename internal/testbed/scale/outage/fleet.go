package outage

import "fmt"

// fleetSize is the size of a simulated fleet. Nodes and servers are dealt to zones in turn, and
// zones to regions in turn.
type fleetSize struct {
	nodes, servers, zones, regions int
}

var (
	targetSize = fleetSize{nodes: 5800, servers: 85000, zones: 17, regions: 5}
	quickSize  = fleetSize{nodes: 255, servers: 3825, zones: 17, regions: 5}
)

// sizeOf returns the size that the full or the quick form of an event simulates.
func sizeOf(quick bool) fleetSize {
	if quick {
		return quickSize
	}
	return targetSize
}

func (f fleetSize) zoneOf(index int) int { return index % f.zones }

func (f fleetSize) regionOf(index int) int { return f.zoneOf(index) % f.regions }

func zoneName(zone int) string { return fmt.Sprintf("z%02d", zone) }

// requestsPerSecond is the mean of one node at the peak of the target, 3.1 million over 5,800 nodes.
const requestsPerSecond = 534.0

// controlBytesPerSecond is the target's budget for control traffic at one node.
const controlBytesPerSecond = 3000.0

// controlCorePercent is the target's budget for control at one node.
const controlCorePercent = 4.4

// inForceWithin is the target's bound from publication until a configuration is in force, in seconds.
const inForceWithin = 7.0

// none bounds a count that must be 0; a budget of 0 is that none is set.
const none = 0.5
