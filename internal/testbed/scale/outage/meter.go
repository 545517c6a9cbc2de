package outage

import (
	"slices"
	"time"
)

// role is what a node does in the distribution of rules.
type role int

const (
	ordinary role = iota // asks a relay
	relay                // passes leases on to nodes of its zone
	leader
	roles
)

// meter counts traffic for each node by second, and CPU for each role by second.
type meter struct {
	from  time.Duration // what comes before it is not counted
	nodes []nodeTraffic
	cpu   [roles]map[int]time.Duration // by second
}

// nodeTraffic is the traffic of one node in both directions together.
type nodeTraffic struct {
	second        int
	bytes, peak   float64 // in the present second, and the most in one second before it
	messages      float64
	peakMessages  float64
	allBytes, all float64 // since the begin of the measurement
}

func newMeter(nodes int) *meter {
	m := &meter{nodes: make([]nodeTraffic, nodes)}
	m.restart(0)
	return m
}

// restart forgets what was counted and counts what comes from a time on.
func (m *meter) restart(from time.Duration) {
	m.from = from
	clear(m.nodes)
	for i := range m.cpu {
		m.cpu[i] = map[int]time.Duration{}
	}
}

func (m *meter) message(now time.Duration, node int, bytes float64) {
	m.count(now, node, bytes, 1)
}

func (m *meter) count(now time.Duration, node int, bytes, messages float64) {
	if now < m.from {
		return
	}
	n := &m.nodes[node]
	if s := int(now / time.Second); s != n.second {
		n.close()
		n.second = s
	}
	n.bytes, n.messages = n.bytes+bytes, n.messages+messages
	n.allBytes, n.all = n.allBytes+bytes, n.all+messages
}

func (n *nodeTraffic) close() {
	n.peak, n.peakMessages = max(n.peak, n.bytes), max(n.peakMessages, n.messages)
	n.bytes, n.messages = 0, 0
}

func (m *meter) spent(now time.Duration, r role, cpu time.Duration) {
	if now >= m.from {
		m.cpu[r][int(now/time.Second)] += cpu
	}
}

// peakBytes returns the most bytes in a second at any of the nodes.
func (m *meter) peakBytes(nodes []int) (most float64) {
	for _, i := range nodes {
		m.nodes[i].close()
		most = max(most, m.nodes[i].peak)
	}
	return most
}

// peakMessages returns the most messages in a second at any of the nodes.
func (m *meter) peakMessages(nodes []int) (most float64) {
	for _, i := range nodes {
		m.nodes[i].close()
		most = max(most, m.nodes[i].peakMessages)
	}
	return most
}

// meanBytes returns the bytes a second of the nodes on average until now.
func (m *meter) meanBytes(nodes []int, now time.Duration) float64 {
	sum := 0.0
	for _, i := range nodes {
		sum += m.nodes[i].allBytes
	}
	return sum / max(1, float64(len(nodes))) / (now - m.from).Seconds()
}

// peakCPU returns the CPU of the busiest second, in % of a core, on average over the nodes of a role.
func (m *meter) peakCPU(r role, nodes int) float64 {
	most := time.Duration(0)
	for _, cpu := range m.cpu[r] {
		most = max(most, cpu)
	}
	return 100 * most.Seconds() / float64(max(1, nodes))
}

// quantile returns a quantile of values, which it sorts.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
