package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"sloestile/internal/testbed/client"
	"sloestile/internal/testbed/counter"
	"sloestile/internal/testbed/discovery"
	"sloestile/internal/testbed/faultlink"
	"sloestile/internal/testbed/ratingserver"
	"sloestile/internal/testbed/refbucket"
	"sloestile/internal/testbed/scenario"
)

// errBusy is what a machine that can't hold the play gives.
var errBusy = errors.New("no free block of addresses 127.16.0.0/16 to 127.250.0.0/16")

// takeBlock finds a part of 127.0.0.0/8 that no other play uses.
func (p *play) takeBlock() error {
	for b := firstBlock; b <= lastBlock; b++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", b, lockPort))
		if err == nil {
			p.block, p.lock = b, l
			return nil
		}
	}
	return errBusy
}

// address gives an address of a node's machine.
func (p *play) address(node, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", p.block, 1+node/250, 1+node%250, port)
}

// Ports on a node's machine.
const (
	portListen     = 9000
	portConsole    = 9001
	portDiscovery  = 8500
	portDiscovery2 = 8501 // where discovery moves to
	portCounter    = 6400
)

// build makes all parties but the nodes' processes.
func (p *play) build(ctx context.Context) error {
	d := p.day
	var quotas []refbucket.Quota
	for _, c := range d.Customers {
		quotas = append(quotas, refbucket.Quota{Rate: d.Plans[c.Plan].Rate, Burst: d.Plans[c.Plan].Depth})
	}
	p.ledger = refbucket.New(quotas, time.Duration(d.File.Rules.MeterS*float64(time.Second)), d.MeterLate)
	p.fleet = ratingserver.NewFleet(d, p.book, p.ledger, p.clock)
	p.fleet.Block = p.block
	for i := range d.Servers {
		paths := make([]*faultlink.Path, len(d.Nodes))
		for n := range d.Nodes {
			paths[n] = faultlink.NewPath(n, partyServers+i, p.delay(d.Nodes[n].Zone, d.Servers[i].Zone))
		}
		p.paths = append(p.paths, paths)
		p.servers = append(p.servers, p.fleet.NewServer(i))
		if d.Servers[i].From < 0 {
			if err := p.servers[i].Listen(paths); err != nil {
				return err
			}
		}
	}
	if d.Counter.PerS > 0 {
		p.counter = counter.New(d.Counter.PerS)
	}
	for i, n := range d.Nodes {
		if err := p.buildNode(i, n); err != nil {
			return err
		}
	}
	p.clients = &client.Clients{Day: d, Book: p.book, Ledger: p.ledger, Nodes: p.fronts, Clock: p.clock, Killed: p.killed}
	if on := d.File.On; (on.State || on.Zones || on.Subset > 0) && !on.Peers {
		for _, n := range p.nodes {
			if err := p.writeFleet(n, nil); err != nil {
				return err
			}
		}
	}
	if d.File.On.Peers {
		if err := p.buildPeers(); err != nil {
			return err
		}
	}
	for _, n := range p.nodes {
		if err := p.start(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// buildNode makes what stands around one node: discovery's agent, the counter's path, its disk and
// the front's view of it.
func (p *play) buildNode(i int, n scenario.Node) error {
	a := discovery.NewAgent(p.notes(i))
	tell := faultlink.NewPath(i, partyDiscovery, 0)
	if err := a.Serve(tell, p.address(i, portDiscovery)); err != nil {
		return err
	}
	p.agents, p.tells = append(p.agents, a), append(p.tells, tell)
	count := faultlink.NewPath(i, partyCounter, p.delay(n.Zone, 0))
	p.counts = append(p.counts, count)
	if p.counter != nil {
		if err := p.counter.Serve(count, p.address(i, portCounter)); err != nil {
			return err
		}
	}
	for s, m := range p.day.Servers {
		if m.From < 0 {
			a.Put(s, p.target(i, s, "up"))
		}
	}
	p.fronts = append(p.fronts, &client.Node{Index: i, Address: p.address(i, portListen),
		Path: faultlink.NewPath(partyFront, i, p.day.Link.Client), Notice: n.Notice,
		Ready: func(asked time.Time) {
			now := p.clock()
			p.book.SaysReady(i, now-time.Since(asked), now)
		}})
	x := &node{index: i, Node: n, dir: filepath.Join(p.guard.Dir, n.Name), discovery: portDiscovery}
	if err := os.Mkdir(x.dir, 0o755); err != nil {
		return err
	}
	p.nodes = append(p.nodes, x)
	return nil
}

// delay is what the link of two zones takes, one way.
func (p *play) delay(a, b int) time.Duration { return p.day.Delay(a, b) }
