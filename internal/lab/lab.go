// Package lab is the stand-in platform: it plays a scenario's day against real processes of the
// edge node, with links between all parties that fail as the timetable says, and has the judge say
// what came of it. The node never imports it.
package lab

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"martennotch/internal/lab/client"
	"martennotch/internal/lab/counter"
	"martennotch/internal/lab/discovery"
	"martennotch/internal/lab/judge"
	"martennotch/internal/lab/ledger"
	"martennotch/internal/lab/link"
	"martennotch/internal/lab/origin"
	"martennotch/internal/lab/proc"
	"martennotch/internal/lab/record"
	"martennotch/internal/lab/scenario"
)

const (
	readyWait   = 30 * time.Second // for all nodes to be taken in
	sampleEvery = 500 * time.Millisecond
	afterDay    = 2 * time.Second // for answers that come late
	firstBlock  = 16              // of the addresses 127.16.0.0/16 and up, one block for a play
	lastBlock   = 250
	lockPort    = 9
)

// Options is how a day is played.
type Options struct {
	Deploy   *Deploy
	Logs     string              // folder for the processes' logs; "" is none kept
	Progress func(string)        // hears how far the play is
	Env      []string            // more for each node's process, such as NODE_FLEET
	Node     func(i int) *Deploy // another program for some node; nil is Deploy for all
}

// party numbers: nodes count from 0; the others stand for themselves.
const (
	partyFront = -1 - iota
	partyDiscovery
	partyCounter
	partyServers = 1000 // and up
)

// play is one play in progress.
type play struct {
	day     *scenario.Day
	opt     Options
	block   int
	lock    net.Listener
	guard   *proc.Guard
	zero    time.Time // the play's clock is 0 then
	mu      sync.Mutex
	book    *record.Book
	ledger  *ledger.Ledger
	fleet   *origin.Fleet
	servers []*origin.Server
	agents  []*discovery.Agent
	counter *counter.Counter
	nodes   []*node
	clients *client.Clients
	fronts  []*client.Node
	paths   [][]*link.Path // by server, then node
	counts  []*link.Path   // to the counter, by node
	tells   []*link.Path   // to discovery, by node
	wg      sync.WaitGroup
	revs    map[int]int

	between    [][]*link.Path // nodes that talk, from and to
	forwarders []*link.Forwarder
	datagrams  *net.UDPConn // that the nodes' datagrams go on from; nil where they don't talk
}

// errBusy is what a machine that can't hold the play gives.
var errBusy = errors.New("no free block of addresses 127.16.0.0/16 to 127.250.0.0/16")

// Play plays a day and judges it.
func Play(ctx context.Context, d *scenario.Day, opt Options) (*judge.Verdict, error) {
	if opt.Progress == nil {
		opt.Progress = func(string) {}
	}
	if err := holds(d); err != nil {
		return nil, err
	}
	p := &play{day: d, opt: opt, book: record.NewBook(), zero: time.Now().Add(time.Hour)}
	if err := p.takeBlock(); err != nil {
		return nil, err
	}
	defer p.lock.Close()
	var err error
	if p.guard, err = proc.NewGuard(); err != nil {
		return nil, err
	}
	defer p.guard.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer p.end(cancel)
	if err := p.build(ctx); err != nil {
		return nil, err
	}
	if err := p.ready(ctx); err != nil {
		return nil, err
	}
	p.run(ctx)
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	p.book.Talk = p.peerTraffic()
	p.stopNodes()
	for _, paths := range p.paths {
		for _, path := range paths {
			p.book.Opened += path.Opened.Load()
		}
	}
	return judge.Judge(d, p.book), nil
}

// clock is the play's time: 0 when clients come, below zero before.
func (p *play) clock() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.zero)
}

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
	var quotas []ledger.Quota
	for _, c := range d.Customers {
		quotas = append(quotas, ledger.Quota{Rate: d.Plans[c.Plan].Rate, Depth: d.Plans[c.Plan].Depth})
	}
	p.ledger = ledger.New(quotas, time.Duration(d.File.Rules.MeterS*float64(time.Second)), d.MeterLate)
	p.fleet = origin.NewFleet(d, p.book, p.ledger, p.clock)
	p.fleet.Block = p.block
	for i := range d.Servers {
		paths := make([]*link.Path, len(d.Nodes))
		for n := range d.Nodes {
			paths[n] = link.NewPath(n, partyServers+i, p.delay(d.Nodes[n].Zone, d.Servers[i].Zone))
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
	if (d.File.On.State || d.File.On.Zones) && !d.File.On.Peers {
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
	a := discovery.NewAgent(func(server int, state string) { p.told(i, server, state) })
	tell := link.NewPath(i, partyDiscovery, 0)
	if err := a.Serve(tell, p.address(i, portDiscovery)); err != nil {
		return err
	}
	p.agents, p.tells = append(p.agents, a), append(p.tells, tell)
	count := link.NewPath(i, partyCounter, p.delay(n.Zone, 0))
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
		Path: link.NewPath(partyFront, i, p.day.Link.Client), Notice: n.Notice})
	x := &node{index: i, Node: n, dir: filepath.Join(p.guard.Dir, n.Name), discovery: portDiscovery}
	if err := os.Mkdir(x.dir, 0o755); err != nil {
		return err
	}
	p.nodes = append(p.nodes, x)
	return nil
}

// delay is what the link of two zones takes, one way.
func (p *play) delay(a, b int) time.Duration {
	switch z := p.day.Zones; {
	case a == b:
		return p.day.Link.Same
	case z[a].Region != z[b].Region:
		return p.day.Link.Far
	}
	return p.day.Link.Cross
}

// target is a server's entry in the list of one node.
func (p *play) target(node, server int, state string) discovery.Target {
	m := p.day.Servers[server]
	boot := int64(0)
	if since := p.servers[server].Since(); since > -time.Minute {
		boot = p.zero.Add(since).UnixMilli()
	}
	return discovery.Target{UID: m.UID, Endpoint: p.fleet.Address(server, node), AZ: p.day.Zones[m.Zone].Name, Model: "std-3core",
		PodGroup: m.Cell, State: state, Capacity: 1, BootMS: boot}
}

// change tells all agents of a server's change, each after its lateness.
func (p *play) change(ctx context.Context, server int, state string, notice time.Duration) {
	at := p.clock()
	p.mu.Lock()
	if p.revs == nil {
		p.revs = map[int]int{}
	}
	p.revs[server]++
	rev := p.revs[server]
	p.mu.Unlock()
	for i, n := range p.day.Nodes {
		p.book.Changed(record.Pair{Node: i, Server: server}, at, state)
		p.after(ctx, notice+n.Late, func() {
			p.mu.Lock()
			newest := rev == p.revs[server]
			p.mu.Unlock()
			if newest {
				p.agents[i].Put(server, p.target(i, server, state))
			}
		})
	}
}

// told notes that a node has been written an entry.
func (p *play) told(node, server int, state string) {
	p.book.Heard(record.Pair{Node: node, Server: server}, p.clock(), state)
}

// after runs f after a while unless the play ends before.
func (p *play) after(ctx context.Context, wait time.Duration, f func()) {
	p.wg.Go(func() {
		select {
		case <-time.After(wait):
			f()
		case <-ctx.Done():
		}
	})
}

// ready waits until the front has taken all nodes in.
func (p *play) ready(ctx context.Context) error {
	p.opt.Progress("starting " + fmt.Sprint(len(p.nodes)) + " nodes")
	for _, f := range p.fronts {
		p.wg.Go(func() { f.Watch(ctx) })
	}
	deadline, t := time.After(readyWait), time.NewTicker(20*time.Millisecond)
	defer t.Stop()
	for {
		up := 0
		for _, f := range p.fronts {
			if f.Up() {
				up++
			}
		}
		if up == len(p.fronts) {
			return nil
		}
		for _, n := range p.nodes {
			if err := n.ended(); err != nil {
				return fmt.Errorf("%s refused to start: %w%s", n.Name, err, tail(p.log(n)))
			}
		}
		select {
		case <-t.C:
		case <-deadline:
			return fmt.Errorf("%d of %d nodes are ready after %v", up, len(p.fronts), readyWait)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// run lets the clients come and the timetable happen.
func (p *play) run(ctx context.Context) {
	p.mu.Lock()
	p.zero = time.Now()
	p.mu.Unlock()
	if p.counter != nil {
		p.counter.Open()
	}
	faults, stop := context.WithCancel(ctx)
	defer stop()
	for _, e := range p.day.Faults {
		p.after(faults, e.At, func() { p.happen(faults, e) })
	}
	for i, m := range p.day.Servers {
		if m.From >= 0 {
			p.after(faults, m.From, func() { p.join(faults, i) })
		}
		for _, x := range m.Pauses {
			p.after(faults, x.At, func() { p.servers[i].Pause(x.For) })
		}
		if m.Drain > 0 {
			p.after(faults, m.Drain, func() { p.change(faults, i, "draining", p.day.Notice.Change) })
			p.after(faults, m.Gone, func() { p.leave(faults, i) })
		}
	}
	p.wg.Go(func() { p.sample(faults) })
	if p.day.File.On.Peers {
		p.wg.Go(func() { p.look(faults) })
	}
	if rate := p.day.File.Clients.Improper; rate > 0 {
		p.wg.Go(func() { p.clients.Improper(faults, rate) })
	}
	p.after(faults, p.day.Length/4, func() { p.opt.Progress("a quarter of the day") })
	p.after(faults, p.day.Length/2, func() { p.opt.Progress("half of the day") })
	p.clients.Run(ctx)
	select {
	case <-time.After(max(0, p.day.Length-p.clock()) + afterDay):
	case <-ctx.Done():
	}
}

// join starts a server that a release brings.
func (p *play) join(ctx context.Context, server int) {
	if err := p.servers[server].Listen(p.paths[server]); err != nil {
		p.crash("server %d: %v", server, err)
		return
	}
	p.change(ctx, server, "up", p.day.Notice.Add)
}

// leave ends a server that has drained.
func (p *play) leave(ctx context.Context, server int) {
	p.servers[server].Crash()
	p.change(ctx, server, "removed", p.day.Notice.Change)
}

func (p *play) crash(format string, args ...any) {
	p.book.With(func() { p.book.Crashes = append(p.book.Crashes, fmt.Sprintf(format, args...)) })
}

// end ends all that a play has started, in an order in which nothing waits for what is gone.
func (p *play) end(cancel context.CancelFunc) {
	cancel()
	p.stopNodes()
	for _, f := range p.fronts {
		f.Close()
	}
	for i, s := range p.servers {
		s.Stop()
		for _, path := range p.paths[i] {
			path.Change(func(s *link.State) { s.HoldUp, s.HoldDown = false, false })
		}
	}
	for _, a := range p.agents {
		a.Close()
	}
	if p.counter != nil {
		p.counter.Close()
	}
	for _, f := range p.forwarders {
		f.Close()
	}
	if p.datagrams != nil {
		p.datagrams.Close()
	}
	p.wg.Wait()
}
