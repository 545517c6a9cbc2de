package control

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequestAmongManyServers is what a request and its answer cost a gateway of a full fleet.
func BenchmarkRequestAmongManyServers(b *testing.B) {
	var ids []uint32
	for id := uint32(1); id <= 200; id++ {
		ids = append(ids, id)
	}
	c, err := New(fleet(300), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	c.Handle(now, List{Kind: Stale, Members: on(ids...)})
	for i := 0; b.Loop(); i++ {
		now += 80 * ms
		id := fmt.Sprint(i)
		for _, a := range c.Handle(now, Request{ID: id, Class: "job", Plan: "low", Customer: fmt.Sprint(i % 2000),
			TTL: 5 * time.Second, Units: 2, Spread: 200}) {
			if x, ok := a.(Send); ok {
				c.Handle(now+50*ms, Response{ID: id, Server: x.Server, Reason: OK, Done: true, Used: 40, Cost: 2})
				break
			}
		}
	}
}
