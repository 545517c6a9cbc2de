package process

import (
	"context"
	"math"
	"time"

	"sloestile/internal/testbed"
	"sloestile/internal/testbed/scale"
)

const (
	membersWithin = 100 * time.Second // of a point: the joins' gossip alone takes 20 s among 300
	joinWithin    = 20 * time.Second  // until all members know all
	quietLook     = time.Second
	quietBytes    = 3000 // a second, below which the joins' gossip is over
	exchanges     = 5    // full exchanges that are measured
	steadySpan    = 5 * time.Second

	// The library's interval between two full exchanges that a member begins, and the size from which
	// it grows: its pushPullScale.
	exchangeEvery = 30 * time.Second
	exchangeScale = 32

	probeTimeout = 500 * time.Millisecond // the library's, for a direct probe
)

// memberSweep measures a real node among more and more hollow members.
func memberSweep(deploy *testbed.Deploy) scale.Sweep {
	const name = "process/members"
	return scale.Sweep{Name: name, Dimension: "members known to a real node", Target: targetNodes,
		Sizes: []int{3, 10, 30, 100, 300}, Costs: []scale.Cost{
			{Name: name + "/packet-bytes-out", Unit: scale.BytesPerSecond},
			{Name: name + "/exchange-out", Unit: scale.Bytes, Exponent: 1},
			{Name: name + "/exchange-in", Unit: scale.Bytes, Exponent: 1},
			{Name: name + "/exchange-cpu", Unit: scale.Milliseconds, Exponent: 1, Timed: true},
			{Name: name + "/bytes-out", Unit: scale.BytesPerSecond, Budget: 3000, Exponent: 0.9},
			{Name: name + "/cpu", Unit: scale.CorePercent, Budget: 4.4, Exponent: 0.2, Timed: true},
			{Name: name + "/rss", Unit: scale.Bytes, Exponent: 0.5},
			{Name: name + "/join-bytes-out", Unit: scale.Bytes, Exponent: 1.1},
			{Name: name + "/join-cpu", Unit: scale.Milliseconds, Exponent: 1.1, Timed: true},
			{Name: name + "/join-time", Unit: scale.Seconds, Exponent: 1, Timed: true},
		},
		Measure: func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
			ctx, cancel := context.WithTimeout(ctx, membersWithin)
			defer cancel()
			b, err := newBench(deploy, fullSpans)
			if err != nil {
				return nil, err
			}
			defer b.close()
			return b.measureMembers(ctx, name, size, seed)
		}}
}

// memberPoint is a real node and the hollow members around it.
type memberPoint struct {
	hollow *hollow
	real   *group // of one
	pid    int
	lag    *lagMeter
}

// measureMembers has a real node join hollow members and measures it.
func (b *bench) measureMembers(ctx context.Context, sweep string, size int, seed uint64) ([]scale.Reading, error) {
	p := &memberPoint{lag: startLag(ctx)}
	var err error
	if p.hollow, err = b.startHollow(size, seed); err != nil {
		return nil, err
	}
	if err := p.gather(ctx); err != nil {
		return nil, err
	}
	if err := b.startReal(ctx, p, size, seed); err != nil {
		return nil, err
	}
	f, err := p.measure(ctx)
	if err != nil {
		return nil, err
	}
	return f.readings(sweep, size+1), p.whole(ctx, sweep)
}

// memberFigures is what was measured of the real node.
type memberFigures struct {
	join     account       // of its start, until the joins' gossip was over
	joinTime time.Duration // until then
	steady   rates
	exchange exchanged
	rss      float64
}

// measure measures the join that is going on, what it costs to stay, and full exchanges.
func (p *memberPoint) measure(ctx context.Context) (f memberFigures, err error) {
	if f.joinTime, err = p.quiet(ctx); err != nil {
		return f, err
	}
	if f.join, err = p.real.closing(ctx); err != nil {
		return f, err
	}
	if f.steady, err = p.real.window(ctx, func() error { return wait(ctx, steadySpan) }); err != nil {
		return f, err
	}
	if f.exchange, err = p.exchange(ctx, f.steady.cores); err != nil {
		return f, err
	}
	f.rss, err = p.real.rss()
	return f, err
}

// readings are the figures by cost. A member begins one full exchange in each interval, and answers
// one on average.
func (f *memberFigures) readings(sweep string, members int) []scale.Reading {
	prefix, x := sweep+"/", f.exchange
	perSecond := 2 / exchangeInterval(members).Seconds()
	return []scale.Reading{
		{Cost: prefix + "packet-bytes-out", Value: f.steady.bytes},
		{Cost: prefix + "exchange-out", Value: x.out},
		{Cost: prefix + "exchange-in", Value: x.in},
		{Cost: prefix + "exchange-cpu", Value: millis(x.cpu)},
		{Cost: prefix + "bytes-out", Value: f.steady.bytes + x.out*perSecond},
		{Cost: prefix + "cpu", Value: 100 * (f.steady.cores + x.cpu.Seconds()*perSecond)},
		{Cost: prefix + "rss", Value: f.rss},
		{Cost: prefix + "join-bytes-out", Value: f.join.bytes},
		{Cost: prefix + "join-cpu", Value: millis(f.join.cpu)},
		{Cost: prefix + "join-time", Value: f.joinTime.Seconds()},
	}
}

// exchangeInterval is how often a member begins a full exchange among so many; it answers one as often.
func exchangeInterval(members int) time.Duration {
	if members <= exchangeScale {
		return exchangeEvery
	}
	return exchangeEvery * time.Duration(math.Ceil(math.Log2(float64(members))-math.Log2(exchangeScale))+1)
}

// gather waits until the first hollow member knows all others, and has it tell them.
func (p *memberPoint) gather(ctx context.Context) error {
	first, others := p.hollow.members[0], len(p.hollow.members)-1
	if err := p.joined(ctx, others, func() int { return int(first.Counts.Live.Load()) }); err != nil {
		return err
	}
	if err := p.hollow.meetFirst(); err != nil {
		return err
	}
	return p.joined(ctx, others, p.hollow.known)
}

// joined waits until a number of others is known. Its error is a SettleError.
func (p *memberPoint) joined(ctx context.Context, others int, known func() int) error {
	for begin := time.Now(); known() < others; {
		if time.Since(begin) > joinWithin {
			return &SettleError{Size: others + 1, Known: known() + 1, Within: joinWithin}
		}
		if err := wait(ctx, settleLook); err != nil {
			return err
		}
	}
	return nil
}

// startReal starts the real node and waits until it knows all hollow members and they know it.
func (b *bench) startReal(ctx context.Context, p *memberPoint, size int, seed uint64) error {
	s, err := b.serveBackends()
	if err != nil {
		return err
	}
	c := b.newClients(s, someTenants(1, 1, 1), seed)
	fleet := &fleetFile{Peers: &peersSection{Label: peerLabel, Port: portPeer, Seeds: []string{b.hollowSeed()}, Limits: true}}
	n, err := b.start(nodeSpec{group: size + 1, targets: listed(s, limitServers), fleet: fleet})
	if err != nil {
		return err
	}
	p.real, p.pid = &group{nodes: []*edgeNode{n}}, n.pid
	if _, err := n.serving(ctx, c); err != nil {
		return err
	}
	if err := settled(ctx, p.real.nodes, size+1); err != nil {
		return err
	}
	return p.joined(ctx, size, p.hollow.known)
}

// quiet waits until the gossip of the joins is over and gives how long that took since the real
// node's start.
func (p *memberPoint) quiet(ctx context.Context) (time.Duration, error) {
	for {
		last, err := p.real.window(ctx, func() error { return wait(ctx, quietLook) })
		if err != nil {
			return 0, err
		}
		if last.bytes < quietBytes {
			return time.Since(p.real.nodes[0].began), nil
		}
	}
}

// exchanged is what one full exchange costs the real node.
type exchanged struct {
	in, out float64 // bytes of the stream
	cpu     time.Duration
}

// exchange has hollow members exchange all states with the real node, which is idle but for the
// membership: its write and read calls are then those of the streams, as datagrams use others.
func (p *memberPoint) exchange(ctx context.Context, idle float64) (exchanged, error) {
	from, err := usageOf(p.pid)
	if err != nil {
		return exchanged{}, err
	}
	for i := range exchanges {
		if err := p.hollow.members[i%len(p.hollow.members)].Introduce(0); err != nil {
			return exchanged{}, err
		}
		if err := wait(ctx, settleLook); err != nil {
			return exchanged{}, err
		}
	}
	to, err := usageOf(p.pid)
	if err != nil {
		return exchanged{}, err
	}
	used := to.cpu - from.cpu - time.Duration(idle*float64(to.at.Sub(from.at)))
	return exchanged{in: float64(to.read-from.read) / exchanges, out: float64(to.written-from.written) / exchanges, cpu: used / exchanges}, nil
}

// whole tells whether this process answered probes in time and the membership was whole to the end.
// Its error is a scale.LateError or a DeadMembersError.
func (p *memberPoint) whole(ctx context.Context, sweep string) error {
	if lag := p.lag.most(); lag > probeTimeout {
		return &scale.LateError{Sweep: sweep, Lag: lag, Most: probeTimeout}
	}
	figures, err := p.real.nodes[0].metrics(ctx)
	if err != nil {
		return err
	}
	known, size := int(figures["node_peers"]), len(p.hollow.members)
	if dead := int(figures["node_peer_deaths_total"]) + int(p.hollow.deaths()); dead > 0 || known != size {
		return &DeadMembersError{Dead: dead, Known: known, Size: size}
	}
	return nil
}
