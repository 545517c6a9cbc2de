package process

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"time"

	"sloestile/internal/testbed"
	"sloestile/internal/testbed/scale"
)

// The load of shared limits. It is that of internal/testbed/scale/exchange, so that real and hollow
// figures can be compared size by size.
const (
	limitRate      = 9  // requests a second and node
	limitServers   = 20 // listed
	limitLoad      = 5 * time.Second
	tenantRequests = 6.6 // requests a second of a tenant on average
	setMost        = 60  // nodes that a tenant comes through
	tokensMost     = 5   // of a request
	meanTokens     = (1 + tokensMost) / 2.0
	usageLeast     = 0.4 // part of its limit that a tenant asks for, drawn evenly
	usageMost      = 1.4
	correctedPart  = 0.75 // of requests whose true tokens differ from the estimate
	primed         = 0.9  // part of its burst that a tenant beyond its limit lacks at the start
	primeTokens    = 8    // of one request that takes it
	primeRate      = 300  // such requests a second
	servedSome     = 0.5  // part of the requests that is served at least, as tenants go beyond their limits
)

// planShape is a plan of scenarios/wide.toml: its part of the load, its rate, and its burst in
// seconds of the rate.
type planShape struct {
	name              string
	load, rate, burst float64
}

var planShapes = []planShape{{"basic", 0.38, 1.65, 4.35}, {"business", 0.26, 3.8, 4.5}, {"carrier", 0.36, 15, 2.05}}

// planTariffs are the plans with limits raised so that a tenant sends tenantRequests on average.
func planTariffs() (all []tariff) {
	raise := tenantRequests * meanTokens * tenantsPerLoad() / ((usageLeast + usageMost) / 2)
	for _, p := range planShapes {
		all = append(all, tariff{p.name, p.rate * raise, p.rate * raise * p.burst})
	}
	return all
}

// tenantsPerLoad is how many tenants one token a second of the plans' own rates stands for.
func tenantsPerLoad() (sum float64) {
	for _, p := range planShapes {
		sum += p.load / p.rate
	}
	return sum
}

// limitedTenant is a tenant with the part of its limit that it asks for.
type limitedTenant struct {
	tenant
	usage, depth float64
}

// limitedTenants draws the tenants of a group of nodes.
func limitedTenants(rng *rand.Rand, nodes int) []limitedTenant {
	tariffs, total := planTariffs(), tenantsPerLoad()
	all := make([]limitedTenant, max(1, int(math.Round(float64(nodes)*limitRate/tenantRequests))))
	sum := 0.0
	for i := range all {
		plan, x := 0, rng.Float64()*total
		for plan < len(planShapes)-1 && x > planShapes[plan].load/planShapes[plan].rate {
			x -= planShapes[plan].load / planShapes[plan].rate
			plan++
		}
		usage := usageLeast + (usageMost-usageLeast)*rng.Float64()
		all[i] = limitedTenant{usage: usage, depth: tariffs[plan].depth, tenant: tenant{id: uint64(i + 1), plan: tariffs[plan].name,
			spread: min(setMost, nodes), first: rng.IntN(nodes), weight: usage * tariffs[plan].rate}}
		sum += all[i].weight
	}
	for i := range all { // the load is fixed, so that a few tenants may ask for more or less than was drawn
		all[i].usage *= float64(nodes) * limitRate * meanTokens / sum
	}
	return all
}

// limitTokens draws the estimate of a request's tokens, and what it turns out to take.
func limitTokens(rng *rand.Rand) estimate {
	e := estimate{tokens: 1 + rng.IntN(tokensMost)}
	e.actual = e.tokens
	if rng.Float64() < correctedPart {
		off := 1 + rng.IntN(2)
		if rng.Float64() < 0.5 && e.tokens > off {
			off = -off
		}
		e.actual += off
	}
	return e
}

// limitSweep measures shared limits among real nodes. Each point starts two groups, one with shared
// limits and one with the membership alone: the difference is what shared limits cost.
func limitSweep(deploy *testbed.Deploy) scale.Sweep {
	const name = "process/limits"
	return scale.Sweep{Name: name, Dimension: "real nodes that share limits, each with 9 requests a second", Target: targetNodes,
		Sizes: []int{4, 12, 40}, Costs: []scale.Cost{
			{Name: name + "/messages", Unit: scale.PerSecond, Exponent: 0.5},
			{Name: name + "/bytes-out", Unit: scale.BytesPerSecond, Budget: 3000, Exponent: 0.5},
			{Name: name + "/sharing-cpu", Unit: scale.CorePercent, Budget: 4.4, Exponent: 0.5, Timed: true},
			{Name: name + "/message-cpu", Unit: scale.Microseconds, Exponent: 0.15, Timed: true},
			{Name: name + "/load-cpu", Unit: scale.CorePercent, Exponent: 0.5, Timed: true},
			{Name: name + "/idle-cpu", Unit: scale.CorePercent, Exponent: 0.5, Timed: true},
			{Name: name + "/idle-bytes-out", Unit: scale.BytesPerSecond, Exponent: 0.5},
			{Name: name + "/rss", Unit: scale.Bytes, Exponent: 0.2},
		},
		Measure: func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
			ctx, cancel := context.WithTimeout(ctx, pointMost)
			defer cancel()
			parts := fullSpans
			parts.load = limitLoad
			alone, err := measureGroup(ctx, deploy, parts, size, seed, false)
			if err != nil {
				return nil, err
			}
			sharing, err := measureGroup(ctx, deploy, parts, size, seed, true)
			if err != nil {
				return nil, err
			}
			return sharing.readings(name, alone), cmp.Or(sharing.result.lateness(name, alone.result),
				sharing.result.refusals(servedSome), alone.result.refusals(servedSome))
		}}
}

// groupFigures is what was measured of a group of nodes.
type groupFigures struct {
	idle, load rates
	rss        float64
	result     *loadResult
}

const udpHeader = 28 // bytes of an IPv4 and a UDP header, which the hollow figures count

// readings compares a group that shares limits with one that does not.
func (f *groupFigures) readings(sweep string, alone *groupFigures) []scale.Reading {
	return []scale.Reading{
		{Cost: sweep + "/messages", Value: f.load.messages},
		{Cost: sweep + "/bytes-out", Value: f.load.bytes - alone.load.bytes + udpHeader*f.load.messages},
		{Cost: sweep + "/sharing-cpu", Value: 100 * (f.load.cores - alone.load.cores)},
		// As many messages are heard as are sent.
		{Cost: sweep + "/message-cpu", Value: 1e6 * (f.load.cores - alone.load.cores) / (2 * f.load.messages)},
		{Cost: sweep + "/load-cpu", Value: 100 * f.load.cores},
		{Cost: sweep + "/idle-cpu", Value: 100 * f.idle.cores},
		{Cost: sweep + "/idle-bytes-out", Value: f.idle.bytes},
		{Cost: sweep + "/rss", Value: f.rss},
	}
}

// measureGroup starts a group and measures it under load and idle.
func measureGroup(ctx context.Context, deploy *testbed.Deploy, s spans, size int, seed uint64, limits bool) (*groupFigures, error) {
	b, err := newBench(deploy, s)
	if err != nil {
		return nil, err
	}
	defer b.close()
	back, err := b.serveBackends()
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	limited := limitedTenants(rng, size)
	var tenants []tenant
	for _, t := range limited {
		tenants = append(tenants, t.tenant)
	}
	c := b.newClients(back, tenants, seed)
	c.tokens = limitTokens
	g, err := b.startGroup(ctx, size, c, limits, listed(back, limitServers))
	if err != nil {
		return nil, err
	}
	if err := c.prime(ctx, g, limited); err != nil {
		return nil, err
	}
	return g.measure(ctx, c, s, limits)
}

// prime takes from the token buckets of tenants beyond their limits what they will not have for long.
func (c *clients) prime(ctx context.Context, g *group, tenants []limitedTenant) error {
	through := nodeOf(g.nodes)
	for _, t := range tenants {
		if t.usage < 1 {
			continue
		}
		for range int(math.Ceil(primed * t.depth / primeTokens)) {
			address := through(t.tenant, c.rng.Float64())
			c.inFlight.Go(func() { c.request(ctx, t.tenant, estimate{primeTokens, primeTokens}, address) })
			if err := wait(ctx, time.Second/primeRate); err != nil {
				return err
			}
		}
	}
	c.inFlight.Wait()
	return nil
}

// measure measures a group under load, and idle where it shares limits.
func (g *group) measure(ctx context.Context, c *clients, s spans, idle bool) (*groupFigures, error) {
	through, rate := nodeOf(g.nodes), float64(limitRate*len(g.nodes))
	if _, err := c.run(ctx, rate, s.warm, through); err != nil {
		return nil, err
	}
	f := &groupFigures{}
	var err error
	f.load, err = g.window(ctx, func() error {
		f.result, err = c.run(ctx, rate, s.load, through)
		return err
	})
	if err != nil {
		return nil, err
	}
	if f.rss, err = g.rss(); err != nil || !idle {
		return f, err
	}
	if err := wait(ctx, s.rest); err != nil {
		return nil, err
	}
	f.idle, err = g.window(ctx, func() error { return wait(ctx, s.idle) })
	return f, err
}
