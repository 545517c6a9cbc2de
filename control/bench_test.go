package control

import (
	"fmt"
	"testing"
	"time"
)

// newRequestFunc returns a function that sends one request to a node of a fleet of 300 and answers it.
func newRequestFunc(t testing.TB, servers uint32) (request func()) {
	var ids []uint32
	for id := uint32(1); id <= servers; id++ {
		ids = append(ids, id)
	}
	c, err := New(fleetSettings(300), 1)
	if err != nil {
		t.Fatal(err)
	}
	now, i := time.Hour, 0
	c.Handle(now, EndpointUpdate{Kind: Cached, Endpoints: endpoints(ids...)})
	return func() {
		now, i = now+80*ms, i+1
		id := fmt.Sprint(i)
		for _, a := range c.Handle(now, Request{
			ID:          id,
			Class:       "job",
			Plan:        "low",
			Tenant:      fmt.Sprint(i % 2000),
			TimeLeft:    5 * time.Second,
			Tokens:      2,
			TenantNodes: 200,
		}) {
			if send, ok := a.(Send); ok {
				c.Handle(now+50*ms, AttemptEnded{
					ID:           id,
					Server:       send.Server,
					Outcome:      OK,
					Done:         true,
					MeterReading: 40,
					Tokens:       2,
				})
				break
			}
		}
	}
}

// BenchmarkRequestAmongManyServers measures the cost of a request and its response at a node of a large fleet
// with 200 servers.
func BenchmarkRequestAmongManyServers(b *testing.B) {
	request := newRequestFunc(b, 200)
	for b.Loop() {
		request()
	}
}

// Guards against allocations for each server or tenant when a request is decided. A node has a sixth of a
// core, and garbage collection runs on it too.
func TestAllocationsDoNotGrowWithServers(t *testing.T) {
	allocations := func(servers uint32) float64 {
		request := newRequestFunc(t, servers)
		for range 4000 { // until every tenant and server is known
			request()
		}
		return testing.AllocsPerRun(2000, request)
	}
	if few, many := allocations(60), allocations(200); many > few+1 || many > 30 {
		t.Errorf("%.0f allocations per request with 60 servers, %.0f with 200", few, many)
	}
}
