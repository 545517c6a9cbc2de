package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"sloestile/control"
	"sloestile/fleet/ratelimit"
	"sloestile/internal/testbed/eventqueue"
	"sloestile/internal/testbed/scale"
)

const (
	nearLink = time.Millisecond // that a message takes within a region
	farLink  = 40 * time.Millisecond
	// warmUp is until ages are known between nodes that talk (a second), and estimates are corrected.
	warmUp = 2 * time.Second
	// remembered is for how long a tenant that sends no more is remembered, about: one to two rotations.
	remembered = 20 * time.Second
	// contextEach is how many events there are between two looks at the context.
	contextEach = 4096
	// tenantsLeast is for how many tenants a hollow node has room at least, as in internal/testbed/virtual.
	tenantsLeast = 20_000
	liveSample   = 16 // nodes whose cost of a change of members is timed
)

// fleetConfig is a hollow fleet that shares limits.
type fleetConfig struct {
	nodes, tenants int
	rate           float64 // requests a second and node
	zones, regions int
	warm, measure  time.Duration
	fill           time.Duration // of requests whose tenants the nodes remember at the start
	seed           uint64
	plant          plant
}

// hollowNode is one node's part of the exchange, on a clock of its own.
type hollowNode struct {
	*ratelimit.Limiter
	skew    time.Duration
	waiting bool
	at      time.Duration // of the next flush, by the node's clock
	out     traffic
	in      traffic
}

// traffic is what a node has sent or heard.
type traffic struct{ messages, bytes float64 }

func (t *traffic) add(bytes int) {
	t.messages++
	t.bytes += float64(bytes)
}

// hollowFleet runs requests over hollow nodes in virtual time.
type hollowFleet struct {
	eventqueue.Agenda
	fleetConfig
	ctx      context.Context
	rng      *rand.Rand
	load     *workload
	nodes    []hollowNode
	events   int
	ends     time.Duration
	err      error
	heapFrom float64
	far      traffic // between regions
	relayed  traffic // levels on their way from owners to all nodes of a set; the rest is uses and their answers
	messages cpuMeter
	requests cpuMeter
}

func newHollowFleet(ctx context.Context, cfg fleetConfig) *hollowFleet {
	f := &hollowFleet{fleetConfig: cfg, ctx: ctx, rng: rand.New(rand.NewPCG(cfg.seed, 0x7368617265)), ends: cfg.warm + cfg.measure,
		messages: newCPUMeter(), requests: newCPUMeter()}
	f.load = newWorkload(f.rng, cfg.nodes, cfg.tenants, cfg.rate)
	f.heapFrom = scale.Heap()
	f.nodes = make([]hollowNode, cfg.nodes)
	all := f.members()
	for i := range f.nodes {
		n := &f.nodes[i]
		n.skew = time.Duration(f.rng.Int64N(int64(time.Hour)))
		n.Limiter = ratelimit.NewLimiter(ratelimit.Config{Node: i, FleetSize: cfg.nodes, Incarnation: lifeOf(i), Quotas: f.load.quotas,
			MaxTenants: max(tenantsLeast, 2*cfg.tenants)}, n.skew)
		n.SetLivePeers(n.skew, all)
	}
	return f
}

// lifeOf is the incarnation of a node's process. It is as long as a real one, in ms of Unix time.
func lifeOf(node int) uint64 { return 1_790_000_000_000 + uint64(node) }

func (f *hollowFleet) members() (all []ratelimit.Peer) {
	for i := range f.nodes {
		all = append(all, ratelimit.Peer{Index: i, Incarnation: lifeOf(i)})
	}
	return all
}

// run runs the load, and measures after the warming up. It holds the thread for the CPU clock.
func (f *hollowFleet) run() error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	f.fillTenants()
	f.prime()
	f.arrive()
	f.After(f.warm, f.reset)
	f.Run()
	return f.err
}

// after has something done, where the run goes on then.
func (f *hollowFleet) after(wait time.Duration, do func()) {
	if f.err != nil || f.Now+wait >= f.ends {
		return
	}
	f.After(wait, func() {
		if f.events++; f.events%contextEach == 0 && f.ctx.Err() != nil {
			f.err = f.ctx.Err()
		}
		if f.err == nil {
			do()
		}
	})
}

// reset forgets what came before.
func (f *hollowFleet) reset() {
	for i := range f.nodes {
		f.nodes[i].in, f.nodes[i].out = traffic{}, traffic{}
	}
	f.far, f.relayed = traffic{}, traffic{}
	f.messages.reset()
	f.requests.reset()
}

// fillTenants has nodes meet the tenants that they would remember after a long run: at the node that a
// request came to, and at the owner of its token bucket.
func (f *hollowFleet) fillTenants() {
	for range int(f.load.rate * f.fill.Seconds()) {
		which, node := f.load.pick(f.rng, len(f.nodes))
		t, key := &f.load.tenants[which], uint64(which)+1
		owner, _ := ratelimit.Owner(key, t.set, len(f.nodes), func(int) bool { return true })
		f.nodes[node].Level(f.now(node), key, t.plan, t.set)
		f.nodes[owner].Level(f.now(owner), key, t.plan, t.set)
	}
}

// prime takes from the token buckets of tenants beyond their limits what they will not have.
func (f *hollowFleet) prime() {
	for i := range f.load.tenants {
		t := &f.load.tenants[i]
		if t.usage < 1 {
			continue
		}
		n := (t.set.First + f.rng.IntN(t.set.Count)) % len(f.nodes)
		f.after(time.Duration(f.rng.Int64N(int64(500*time.Millisecond))), func() {
			f.sent(n, i, primed*f.load.quotas[t.plan].Burst, false)
		})
	}
}

// arrive has requests come, one after the other.
func (f *hollowFleet) arrive() {
	f.after(f.load.wait(f.rng), func() {
		which, node := f.load.pick(f.rng, len(f.nodes))
		f.request(which, node)
		f.arrive()
	})
}

func (f *hollowFleet) now(node int) time.Duration { return f.Now + f.nodes[node].skew }

// request decides on a request as the control module does where the bucket is known, and tells of it.
func (f *hollowFleet) request(which, node int) {
	t, n := &f.load.tenants[which], &f.nodes[node]
	estimate, correction := tokens(f.rng)
	f.requests.begin()
	k, ok := n.Level(f.now(node), uint64(which)+1, t.plan, t.set)
	f.requests.end()
	need := control.MinSharedBucketLevel(f.load.quotas[t.plan].Burst, estimate, min(1, 4/float64(t.set.Count)))
	if ok && !k.IsLowerBound && k.Tokens < need {
		return
	}
	f.sent(node, which, estimate, false)
	if correction != 0 {
		f.after(answerAfter, func() { f.sent(node, which, correction, true) })
	}
}

// sent lets a node's exchange know of tokens that it has used.
func (f *hollowFleet) sent(node, which int, units float64, correction bool) {
	t, n := &f.load.tenants[which], &f.nodes[node]
	f.requests.begin()
	n.Consume(f.now(node), uint64(which)+1, t.plan, t.set, units, correction)
	f.requests.end()
	f.flushSoon(node)
}

// flushSoon has a node flush when it next has something to send.
func (f *hollowFleet) flushSoon(node int) {
	n := &f.nodes[node]
	when, ok := n.NextFlush()
	if !ok || n.waiting && n.at <= when {
		return
	}
	n.waiting, n.at = true, when
	f.after(max(0, when-f.now(node)), func() {
		if n.waiting && n.at == when {
			n.waiting = false
			f.flush(node)
		}
	})
}

// flush carries what a node sends.
func (f *hollowFleet) flush(node int) {
	f.messages.begin()
	outs := f.nodes[node].Flush(f.now(node))
	raws := make([][]byte, len(outs))
	for i, o := range outs {
		raw, err := o.Message.Encode()
		if err != nil {
			f.err = fmt.Errorf("node %d: %w", node, err)
		}
		raws[i] = raw
	}
	f.messages.end()
	for i, o := range outs {
		f.carry(node, o.To, raws[i])
		if o.Message.Hop > 0 {
			f.relayed.add(datagramOverhead + len(raws[i]))
		}
		if f.plant.fullState && len(o.Message.Consumptions) > 0 {
			f.sendFullState(node, o.To)
		}
	}
	f.flushSoon(node)
}

// carry takes a message to its receiver.
func (f *hollowFleet) carry(from, to int, raw []byte) {
	f.count(from, to, len(raw))
	f.after(f.link(from, to), func() {
		n := &f.nodes[to]
		n.in.add(datagramOverhead + len(raw))
		f.messages.begin()
		m, err := ratelimit.Decode(raw, len(f.nodes))
		if err == nil {
			n.Receive(f.now(to), m)
		}
		f.messages.end()
		if err != nil {
			f.err = fmt.Errorf("node %d: a message of node %d: %w", to, from, err)
			return
		}
		f.flushSoon(to)
	})
}

// count counts a message at its sender.
func (f *hollowFleet) count(from, to, bytes int) {
	bytes += datagramOverhead
	f.nodes[from].out.add(bytes)
	if f.region(from) != f.region(to) {
		f.far.add(bytes)
	}
}

// zone of a node; neighbours by index are in different ones, as the platform numbers them.
func (f *hollowFleet) zone(node int) int { return node % max(1, f.zones) }

func (f *hollowFleet) region(node int) int { return f.zone(node) % max(1, f.regions) }

func (f *hollowFleet) link(from, to int) time.Duration {
	if f.region(from) != f.region(to) {
		return farLink
	}
	return nearLink
}

// sendFullState is the planted regression: a list of all nodes, in messages of the exchange's own form.
func (f *hollowFleet) sendFullState(from, to int) {
	const inMessage = 36
	for first := 0; first < len(f.nodes); first += inMessage {
		m := &ratelimit.Message{Sender: from, Incarnation: lifeOf(from), Number: 1}
		for i := first; i < min(first+inMessage, len(f.nodes)); i++ {
			m.Owners = append(m.Owners, ratelimit.OwnerReport{Node: i})
		}
		raw, err := m.Encode()
		if err != nil {
			f.err = err
			return
		}
		f.count(from, to, len(raw))
	}
}
