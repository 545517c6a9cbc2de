package process

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"sloestile/internal/testbed/scale"
)

const (
	requestsMost = 1 << 16 // of one point
	requestLimit = 1500 * time.Millisecond
	lateSend     = 5 * time.Millisecond // of a send that counts as late
	lateMost     = 0.001                // part of the sends that may be later, or the point is void
	servedLeast  = 0.95                 // part of the requests, where all are within their limits
	idleConns    = 256                  // kept to one address
)

// tenant is one customer whose requests come through some nodes of the group.
type tenant struct {
	id            uint64
	plan          string
	spread, first int     // nodes, and the first of them
	weight        float64 // part of all requests, of the sum of all tenants' weights
}

// estimate is what a request says that it costs, and what its server says that it did.
type estimate struct{ tokens, actual int }

// clients sends the requests of a point.
type clients struct {
	http    *http.Client
	backend *backend
	next    atomic.Int64 // number of the next request
	tenants []tenant
	summed  []float64 // of the tenants' weights
	tokens  func(rng *rand.Rand) estimate
	rng     *rand.Rand

	inFlight sync.WaitGroup // requests that no load counts
}

func (b *bench) newClients(s *backend, tenants []tenant, seed uint64) *clients {
	t := &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	b.atEnd(t.CloseIdleConnections)
	c := &clients{http: &http.Client{Transport: t, Timeout: requestLimit}, backend: s, tenants: tenants,
		tokens: func(*rand.Rand) estimate { return estimate{1, 1} }, rng: rand.New(rand.NewPCG(seed, 1))}
	total := 0.0
	for _, t := range tenants {
		total += t.weight
		c.summed = append(c.summed, total)
	}
	return c
}

// pick draws the tenant of a request.
func (c *clients) pick() tenant {
	i := sort.SearchFloat64s(c.summed, c.rng.Float64()*c.summed[len(c.summed)-1])
	return c.tenants[min(i, len(c.tenants)-1)]
}

// loadResult is what became of a load.
type loadResult struct {
	sent, served int
	lags         []time.Duration // of each send behind its time
	added        []time.Duration // by the way to the server and back, of those served
	last         string          // what the last request that was not served got
}

// lateness tells whether the generator was in time, over this load and others of the same point. Its
// error is a scale.LateError.
func (r *loadResult) lateness(sweep string, others ...*loadResult) error {
	lags := slices.Clone(r.lags)
	for _, o := range others {
		lags = append(lags, o.lags...)
	}
	if lag := quantile(lags, 1-lateMost); lag > lateSend {
		return &scale.LateError{Sweep: sweep, Lag: lag, Most: lateSend}
	}
	return nil
}

// refusals tells whether a part of the requests was served at least. Its error is a RefusedError.
func (r *loadResult) refusals(least float64) error {
	if float64(r.served) < least*float64(r.sent) {
		return &RefusedError{r.served, r.sent, r.last}
	}
	return nil
}

// run sends requests at a mean rate for a span, with exponential gaps, whatever becomes of those
// before. Each goes to the address that to gives for its tenant and a number within 0 to 1.
func (c *clients) run(ctx context.Context, rate float64, span time.Duration, to func(t tenant, x float64) string) (*loadResult, error) {
	r := &loadResult{}
	var mu sync.Mutex
	var out sync.WaitGroup
	defer out.Wait()
	begin, due := time.Now(), time.Duration(0)
	for {
		due += time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
		if due >= span {
			break
		}
		if err := wait(ctx, time.Until(begin.Add(due))); err != nil {
			return nil, err
		}
		t, cost := c.pick(), c.tokens(c.rng)
		address, sendAt := to(t, c.rng.Float64()), begin.Add(due)
		out.Go(func() {
			lag := time.Since(sendAt)
			added, got := c.request(ctx, t, cost, address)
			mu.Lock()
			defer mu.Unlock()
			r.add(lag, added, got)
		})
	}
	if err := wait(ctx, time.Until(begin.Add(span))); err != nil {
		return nil, err
	}
	out.Wait()
	return r, nil
}

// add counts one request; got is "" where it was served.
func (r *loadResult) add(lag, added time.Duration, got string) {
	r.sent++
	r.lags = append(r.lags, lag)
	if got != "" {
		r.last = got
		return
	}
	r.served++
	r.added = append(r.added, added)
}

// request sends one request and gives the time that it took beside its server's, and what it got
// where that is not the server's answer.
func (c *clients) request(ctx context.Context, t tenant, cost estimate, address string) (added time.Duration, got string) {
	number := c.next.Add(1) - 1
	if int(number) >= len(c.backend.held) {
		return 0, "no number is left"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/look?account=%016x", address, t.id), nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", number))
	req.Header.Set("X-Tariff", t.plan)
	req.Header.Set("X-Time-Left", fmt.Sprintf("%dm", requestLimit.Milliseconds()))
	req.Header.Set("X-Weight", fmt.Sprintf("units=%d,spread=%d,first=%d", cost.tokens, t.spread, t.first))
	c.backend.cost[number].Store(int32(cost.actual))
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err.Error()
	}
	if resp.StatusCode != http.StatusOK {
		return 0, resp.Status
	}
	return time.Since(began) - time.Duration(c.backend.held[number].Load()), ""
}

// first sends one request through a node. Its error is nil where it was served.
func (c *clients) first(ctx context.Context, n *edgeNode) error {
	if _, got := c.request(ctx, c.tenants[0], estimate{1, 1}, n.listen); got != "" {
		return fmt.Errorf("the first request: %s", got)
	}
	return nil
}

// nodeOf gives the address of the node that a tenant's request comes through, by a number within 0 to 1.
func nodeOf(nodes []*edgeNode) func(tenant, float64) string {
	return func(t tenant, x float64) string {
		return nodes[(t.first+int(x*float64(t.spread)))%len(nodes)].listen
	}
}
