package request

import (
	"math/rand/v2"
	"time"
)

// Assumptions on a server: its cores work on one request each, first come first served.
const (
	serverCores = 4
	serviceTime = 50 * time.Millisecond // mean of one unit on an idle core; drawn exponentially
	// othersPart is the part of a server's cores that requests of other nodes hold on average: they
	// stretch each service time by 1/(1-othersPart).
	othersPart = 0.4
)

// Model is the servers of a fleet, as one node's requests see them.
type Model struct {
	random *rand.Rand
	free   map[uint32]*[serverCores]time.Duration // when each core is free of this node's requests
}

// NewModel makes servers whose service times come of a seed.
func NewModel(seed uint64) *Model {
	return &Model{random: rand.New(rand.NewPCG(seed, 0x73657276)), free: make(map[uint32]*[serverCores]time.Duration)}
}

// Serve gives the wait for a core and the work on it.
func (m *Model) Serve(now time.Duration, server uint32, units float64) time.Duration {
	cores := m.free[server]
	if cores == nil {
		cores = &[serverCores]time.Duration{}
		m.free[server] = cores
	}
	first := 0
	for i := range cores {
		if cores[i] < cores[first] {
			first = i
		}
	}
	work := m.random.ExpFloat64() * units * float64(serviceTime) / (1 - othersPart)
	cores[first] = max(now, cores[first]) + time.Duration(work)
	return cores[first] - now
}
