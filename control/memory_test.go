package control

import (
	"fmt"
	"testing"
)

// Guards against memory that grows with tenants, requests and servers that come once.
func TestMemoryIsBounded(t *testing.T) {
	s := testSettings()
	s.MaxTenants = 1500 // as on a machine of 26 MB
	h := newHarness(t, s, endpoints(1, 2, 3)...)
	for i := 0; i < 30000; i++ {
		id := fmt.Sprint("r", i)
		h.request(id, "job", "low", fmt.Sprint("once", i))
		if h.attempts[id] > 0 {
			h.endAttempt(id, OK, 0)
		}
		h.advance(2 * ms)
		if i%100 == 0 {
			h.handle(EndpointUpdate{Kind: Complete, Endpoints: endpoints(uint32(i+1), uint32(i+2))})
			h.sends, h.actions = nil, nil
		}
	}
	if n := len(h.controller.tenants.byKey); n > s.MaxTenants+500 { // 500 come between two sweeps
		t.Errorf("%d tenants in the table", n)
	}
	held := len(h.controller.requests) + len(h.controller.timers.byLabel) + len(h.controller.attempts)
	if held > 100 {
		t.Errorf("%d requests, timer labels and attempts held", held)
	}
	if n := len(h.controller.servers.byID); n > 10 {
		t.Errorf("%d servers held, two are listed", n)
	}
}
