package outage

import (
	"context"
	"math/rand/v2"
	"time"

	"sloestile/internal/discovery"
	"sloestile/internal/testbed/scale"
)

const reconnectName = "reconnect"

// A node's reader of the server list gives a fetch up that brings less than fetchChunk in fetchWindow, or that
// is not whole within fetchMost. A bulk fetch has this budget of its own, beside that for control.
const (
	fetchChunk     = discovery.MinProgressBytes
	fetchWindow    = discovery.ProgressInterval
	fetchLeastRate = float64(fetchChunk) * float64(time.Second) / float64(fetchWindow) // bytes a second
	fetchMost      = discovery.TransferTimeout
)

// The simulated discovery, and the nodes' retries.
const (
	discoveryBandwidth = 1.25e9 // bytes a second in all: 10 Gbit/s
	nodeBandwidth      = 12.5e6 // bytes a second of one node: 100 Mbit/s for the bulk fetch
	slowBandwidth      = 1.25e8 // of a discovery with a tenth of that
	fetchesAtOnce      = 64     // that discovery serves, where it limits them; others wait
	retryFirst         = 500 * time.Millisecond
	retryMost          = 4 * time.Second
	fluidStep          = 50 * time.Millisecond
	fluidEnd           = 10 * time.Minute
	listAfterCut       = 30.0 // s within which all have the list at discovery's full bandwidth
)

// reconnect is that all nodes of a region fetch the whole list at once.
func reconnect() scale.Event {
	return scale.Event{
		Name: reconnectName,
		About: "a fifth of the nodes fetch the whole list at once; discovery sends 1.25 GB/s, or a tenth of it to all at once or " +
			"to 64 at a time; a fetch ends at 10 min, or with under 16 KiB in 0.5 s",
		Costs: costsOf(reconnectName,
			scale.Cost{Name: "nodes", Unit: scale.Count},
			scale.Cost{Name: "list-bytes", Unit: scale.Bytes},
			scale.Cost{Name: "all-bytes", Unit: scale.Bytes},
			scale.Cost{Name: "discovery-peak-bytes", Unit: scale.BytesPerSecond, Budget: discoveryBandwidth * 1.01},
			scale.Cost{Name: "node-peak-bytes", Unit: scale.BytesPerSecond, Budget: nodeBandwidth * 1.01},
			scale.Cost{Name: "all-have-list", Unit: scale.Seconds, Budget: listAfterCut},
			scale.Cost{Name: "fetches-given-up", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "slow-all-have-list", Unit: scale.Seconds, Budget: fetchMost.Seconds()},
			scale.Cost{Name: "slow-fetches-given-up", Unit: scale.Count, Budget: none, Bound: none},
			scale.Cost{Name: "slow-bytes-wasted", Unit: scale.Bytes},
			scale.Cost{Name: "queued-all-have-list", Unit: scale.Seconds, Budget: fetchMost.Seconds()},
			scale.Cost{Name: "queued-fetches-given-up", Unit: scale.Count, Budget: none, Bound: none},
		),
		Play: measure(reconnectName, measureReconnect),
	}
}

func measureReconnect(ctx context.Context, f fleetSize, seed uint64, out *figures) error {
	raw, err := message(newServerList(f, seed).servers, true)
	if err != nil {
		return err
	}
	nodes, bytes := f.nodes/f.regions, float64(len(raw))
	// The quick form has fewer nodes: discovery's bandwidth and limit are as much smaller.
	part := float64(f.nodes) / float64(targetSize.nodes) * float64(targetSize.regions) / float64(f.regions)
	out.add("nodes", float64(nodes))
	out.add("list-bytes", bytes)
	out.add("all-bytes", bytes*float64(nodes))
	fast := newFetchRun(nodes, bytes, discoveryBandwidth*part, nodes, seed)
	if err := fast.run(ctx); err != nil {
		return err
	}
	out.add("discovery-peak-bytes", fast.peak)
	out.add("node-peak-bytes", fast.nodePeak)
	out.add("all-have-list", fast.now.Seconds())
	out.add("fetches-given-up", float64(fast.givenUp))
	slow := newFetchRun(nodes, bytes, slowBandwidth*part, nodes, seed)
	if err := slow.run(ctx); err != nil {
		return err
	}
	out.add("slow-all-have-list", slow.now.Seconds())
	out.add("slow-fetches-given-up", float64(slow.givenUp))
	out.add("slow-bytes-wasted", slow.wasted)
	queued := newFetchRun(nodes, bytes, slowBandwidth*part, max(1, int(fetchesAtOnce*part)), seed)
	if err := queued.run(ctx); err != nil {
		return err
	}
	out.add("queued-all-have-list", queued.now.Seconds())
	out.add("queued-fetches-given-up", float64(queued.givenUp))
	return nil
}

// fetchRun simulates fetches that share discovery's bandwidth evenly.
type fetchRun struct {
	nodes     []fetchState
	bytes     float64 // of the list
	bandwidth float64
	atOnce    int
	rng       *rand.Rand
	now       time.Duration
	whole     int // nodes with the list
	givenUp   int
	wasted    float64
	peak      float64 // bytes a second
	nodePeak  float64
}

// fetchState is one node's fetch.
type fetchState struct {
	begins  time.Duration // of the present fetch, or of the next one
	active  bool
	done    bool
	got     float64
	window  float64       // bytes in the present window
	closes  time.Duration // end of the window
	retries int
}

func newFetchRun(nodes int, bytes, bandwidth float64, atOnce int, seed uint64) *fetchRun {
	r := &fetchRun{nodes: make([]fetchState, nodes), bytes: bytes, bandwidth: bandwidth, atOnce: atOnce,
		rng: rand.New(rand.NewPCG(seed, 71))}
	for i := range r.nodes {
		r.nodes[i].begins = time.Duration(r.rng.Int64N(int64(time.Second)))
	}
	return r
}

// run simulates until all nodes have the list, or fluidEnd.
func (r *fetchRun) run(ctx context.Context) error {
	for r.whole < len(r.nodes) && r.now < fluidEnd {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.step(r.admit())
		r.now += fluidStep
	}
	return nil
}

// admit begins fetches that are due, as many as discovery serves, and returns how many run.
func (r *fetchRun) admit() (running int) {
	for i := range r.nodes {
		if r.nodes[i].active {
			running++
		}
	}
	for i := range r.nodes {
		n := &r.nodes[i]
		if running < r.atOnce && !n.done && !n.active && n.begins <= r.now {
			*n = fetchState{begins: r.now, active: true, closes: r.now + fetchWindow, retries: n.retries}
			running++
		}
	}
	return running
}

// step passes bytes on for fluidStep.
func (r *fetchRun) step(running int) {
	if running == 0 {
		return
	}
	rate := min(nodeBandwidth, r.bandwidth/float64(running))
	r.peak, r.nodePeak = max(r.peak, rate*float64(running)), max(r.nodePeak, rate)
	for i := range r.nodes {
		n := &r.nodes[i]
		if !n.active {
			continue
		}
		n.got += rate * fluidStep.Seconds()
		n.window += rate * fluidStep.Seconds()
		end := r.now + fluidStep
		switch {
		case n.got >= r.bytes:
			n.active, n.done = false, true
			r.whole++
		case end >= n.closes && n.window < fetchChunk, end-n.begins >= fetchMost:
			r.giveUp(n, end)
		case end >= n.closes:
			n.window, n.closes = 0, end+fetchWindow
		}
	}
}

// giveUp ends a fetch, which begins anew after a pause that doubles.
func (r *fetchRun) giveUp(n *fetchState, now time.Duration) {
	r.givenUp++
	r.wasted += n.got
	pause := min(retryMost, retryFirst<<min(n.retries, 8))
	n.retries++
	n.active = false
	n.begins = now + pause/2 + time.Duration(r.rng.Int64N(int64(pause)))
}
