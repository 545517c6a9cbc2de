package control

import (
	"fmt"
	"testing"
	"time"
)

// newRequestFunc gives a function that asks a node of a full fleet and answers it.
func newRequestFunc(t testing.TB, servers uint32) (one func()) {
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
		for _, a := range c.Handle(now, Request{ID: id, Class: "job", Plan: "low", Tenant: fmt.Sprint(i % 2000),
			TimeLeft: 5 * time.Second, Tokens: 2, TenantNodes: 200}) {
			if x, ok := a.(Send); ok {
				c.Handle(now+50*ms, AttemptEnded{ID: id, Server: x.Server, Outcome: OK, Done: true, MeterReading: 40, Tokens: 2})
				break
			}
		}
	}
}

// What a request and its answer cost a node of a full fleet among 200 servers.
func BenchmarkRequestAmongManyServers(b *testing.B) {
	one := newRequestFunc(b, 200)
	for b.Loop() {
		one()
	}
}

// A request is decided on without an allocation for each server or tenant: a node has a sixth of
// a core, and what it allocates it also collects.
func TestRequestAllocatesTheSameAmongManyServers(t *testing.T) {
	cost := func(servers uint32) float64 {
		one := newRequestFunc(t, servers)
		for range 4000 { // until each customer and server is known
			one()
		}
		return testing.AllocsPerRun(2000, one)
	}
	if few, many := cost(60), cost(200); many > few+1 || many > 30 {
		t.Errorf("%.0f allocations a request among 60 servers, %.0f among 200", few, many)
	}
}
