package control_test

import (
	"fmt"
	"time"

	"sloestile/control"
)

// A node passes events to its controller and carries out the actions that it returns.
func Example() {
	c, err := control.New(control.Settings{
		FleetSize:       1,
		MaxAttempts:     3,
		SendsRetryAfter: true,
		MaxRetryAfter:   2 * time.Second,
		Classes: []control.Class{
			{Name: "submit", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1},
		},
		Plans: []control.Plan{{Name: "basic", PriceFactor: 1, Rate: 2, Burst: 4}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour // of any clock that never moves back
	c.Handle(now, control.EndpointUpdate{
		Kind:      control.Complete,
		Endpoints: []control.Endpoint{{Server: 7, Size: 1}},
	})
	for _, a := range c.Handle(now, control.Request{
		ID:          "r1",
		Class:       "submit",
		Plan:        "basic",
		Tenant:      "c1",
		TimeLeft:    3 * time.Second,
		Tokens:      1,
		TenantNodes: 1,
	}) {
		if s, ok := a.(control.Send); ok {
			fmt.Println("send", s.ID, "to server", s.Server)
		}
	}
	// Output: send r1 to server 7
}
