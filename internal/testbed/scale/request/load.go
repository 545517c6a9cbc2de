package request

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"sloestile/control"
)

// start is the time that the virtual clock shows at first: the program's clock is Unix time.
const start = 400000 * time.Hour

// refusedMost is the part of the requests that may end without an answer: beyond it a run measured
// what refusals cost.
const refusedMost = 0.05

// Load is what clients send a node: Poisson arrivals of tenants drawn evenly.
type Load struct {
	Rate    float64 // requests a second
	Tenants int
	Spread  int // gateways that a tenant comes through
	random  *rand.Rand
	count   int
	known   []string
}

// NewLoad makes clients whose requests come of a seed.
func NewLoad(rate float64, tenants, spread int, seed uint64) *Load {
	l := &Load{Rate: rate, Tenants: tenants, Spread: max(1, spread), random: rand.New(rand.NewPCG(seed, 0x6c6f6164))}
	for i := range tenants {
		l.known = append(l.known, "tenant-"+strconv.Itoa(i))
	}
	return l
}

// gap is the time to the next arrival.
func (l *Load) gap() time.Duration {
	return time.Duration(l.random.ExpFloat64() / l.Rate * float64(time.Second))
}

// next is the next request, of a tenant drawn by chance.
func (l *Load) next() control.Request { return l.of(l.random.IntN(l.Tenants)) }

// of is the next request, of one tenant.
func (l *Load) of(tenant int) control.Request {
	l.count++
	r := control.Request{ID: strconv.Itoa(l.count), Class: "rate", Plan: "basic", Tenant: l.known[tenant],
		TimeLeft: 2 * time.Second, Tokens: 1, TenantNodes: l.Spread}
	if l.count%4 == 0 {
		r.Class = "charge"
	}
	if tenant%8 == 0 {
		r.Plan = "premium"
	}
	return r
}

// Run sends a number of requests at the load's pace and then lets all be answered.
func (n *Node) Run(ctx context.Context, requests int, gap func() time.Duration, next func() control.Request) error {
	for i := range requests {
		if i%1024 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		n.clock.Run(n.clock.Now() + gap())
		n.Begin(next())
	}
	return ctx.Err()
}

// UnservedError says that too many requests of a run ended without an answer.
type UnservedError struct{ Counts Counts }

func (e *UnservedError) Error() string {
	return fmt.Sprintf("hollow node: of %d requests %d were answered, %d refused, %d failed; give it more servers or less load",
		e.Counts.Requests, e.Counts.Answered, e.Counts.Refused, e.Counts.Failed)
}

// served checks that a run was one of served requests.
func (c *Counts) served() error {
	if float64(c.Refused+c.Failed) > refusedMost*float64(c.Requests) {
		return &UnservedError{Counts: *c}
	}
	return nil
}
