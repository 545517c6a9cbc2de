package exchange

import (
	"math/rand/v2"
	"sort"
	"time"

	"sloestile/fleet/ratelimit"
)

// The workload of shared limits: assumptions, stated in docs/CAPACITY.md. The plans are those of
// scenarios/wide.toml with rates raised so that a tenant sends as many requests as one does at the
// target: 3.1 million a second of 470,000 tenants.
const (
	tenantRequests = 6.6 // requests a second of a tenant on average
	setMost        = 60  // nodes that a tenant comes through
	unitsMost      = 5   // tokens of a request at most
	meanTokens     = (1 + unitsMost) / 2.0
	usageLeast     = 0.4 // part of its limit that a tenant asks for, drawn evenly
	usageMost      = 1.4
	correctedPart  = 0.75 // of requests whose true tokens differ from the estimate
	answerAfter    = 150 * time.Millisecond
	// primed is the part of its burst that the store of a tenant beyond its limit lacks at the start, so
	// that no long warming up is needed until it is low.
	primed = 0.9
)

// planShape is a plan: its part of the load, and its limit.
type planShape struct {
	load  float64 // part of all requests
	rate  float64 // tokens a second, in scenarios/wide.toml
	burst float64 // seconds of the rate
}

var planShapes = []planShape{{0.38, 1.65, 4.35}, {0.26, 3.8, 4.5}, {0.36, 15, 2.05}}

// tenant is one that sends requests.
type tenant struct {
	plan  uint32
	set   ratelimit.NodeRange
	usage float64 // part of the limit that it asks for
}

// workload draws requests of tenants.
type workload struct {
	quotas  map[uint32]ratelimit.Quota
	tenants []tenant
	summed  []float64 // of the tenants' parts of the load
	rate    float64   // requests a second of all
}

// newWorkload draws tenants over some nodes that get rate requests a second each. The limits do not depend
// on how many tenants there are; what each asks for does.
func newWorkload(rng *rand.Rand, nodes, tenants int, rate float64) *workload {
	w := &workload{quotas: make(map[uint32]ratelimit.Quota), rate: rate * float64(nodes)}
	raise, tenantsOf := limitRaise()
	for i, p := range planShapes {
		w.quotas[uint32(i)] = ratelimit.Quota{Rate: p.rate * raise, Burst: p.rate * raise * p.burst}
	}
	total := 0.0
	for range tenants {
		t := tenant{plan: pickPlan(rng, tenantsOf), set: ratelimit.NodeRange{First: rng.IntN(nodes), Count: min(setMost, nodes)}}
		t.usage = usageLeast + (usageMost-usageLeast)*rng.Float64()
		total += t.usage * w.quotas[t.plan].Rate
		w.tenants, w.summed = append(w.tenants, t), append(w.summed, total)
	}
	for i := range w.summed {
		w.summed[i] /= total
	}
	// With tenantRequests a tenant the mean usage is that drawn; with more or fewer tenants it follows the load.
	for i := range w.tenants {
		w.tenants[i].usage *= w.rate * meanTokens / total
	}
	return w
}

// limitRaise gives the factor on the plans' rates by which a tenant sends tenantRequests on average, and
// each plan's part of the tenants, summed.
func limitRaise() (raise float64, tenantsOf []float64) {
	total := 0.0
	for _, p := range planShapes {
		total += p.load / p.rate
		tenantsOf = append(tenantsOf, total)
	}
	for i := range tenantsOf {
		tenantsOf[i] /= total
	}
	// A tenant's mean rate in tokens is 1/total, at the mean usage.
	return tenantRequests * meanTokens * total / ((usageLeast + usageMost) / 2), tenantsOf
}

func pickPlan(rng *rand.Rand, summed []float64) uint32 {
	return uint32(sort.SearchFloat64s(summed, rng.Float64()))
}

// pick draws the tenant of a request, and the node that it comes to.
func (w *workload) pick(rng *rand.Rand, nodes int) (which, node int) {
	which = min(sort.SearchFloat64s(w.summed, rng.Float64()), len(w.tenants)-1)
	s := w.tenants[which].set
	return which, (s.First + rng.IntN(s.Count)) % nodes
}

// wait draws the time until the next request.
func (w *workload) wait(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() / w.rate * float64(time.Second))
}

// tokens draws the estimate of a request's tokens, and the correction when the true ones are known.
func tokens(rng *rand.Rand) (estimate, correction float64) {
	estimate = float64(1 + rng.IntN(unitsMost))
	if rng.Float64() < correctedPart {
		correction = float64(1 + rng.IntN(2))
		if rng.Float64() < 0.5 && estimate > correction {
			correction = -correction
		}
	}
	return estimate, correction
}
