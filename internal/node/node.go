package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sloestile/control"
	"sloestile/internal/config"
	"sloestile/internal/discovery"
	"sloestile/internal/membership"
)

const (
	deadlineMost = 3 * time.Second         // of a class, as far as the end of a planned restart waits for it
	drainMargin  = 300 * time.Millisecond  // after the longest deadline: what is still held then is failed
	drainServe   = 1200 * time.Millisecond // before that: connections are let go
	drainClose   = 200 * time.Millisecond  // from then until what rests is closed, and no new connections are taken
	drainListen  = 400 * time.Millisecond  // for which new connections may come, by the protocol
	drainWrite   = 300 * time.Millisecond  // what the last answers may take
	drainLook    = 20 * time.Millisecond   // how often an end is looked for that comes early
	reportEvery  = 5 * time.Second         // how often the log is told what became of connections
	readyMost    = 5 * time.Second         // a process is ready by then, whatever it was told of servers
)

// Node is an edge node.
type Node struct {
	name      string
	front     *front
	loop      *loop
	upstream  *upstream
	discovery watcher
	known     discovery.Update       // shown to the loop as stale at the start
	updated   func(discovery.Update) // takes the watcher's updates
	degraded  *degraded
	listener  net.Listener
	listening context.CancelFunc
	inherited bool          // the socket of the clients is the platform's: another process may share it
	most      time.Duration // a drain ends by then
	readyBy   time.Duration // after the start, whatever came of discovery until then
	console   *console      // nil is none
	stats     *stats
	drainer   *drainer
	peers     atomic.Pointer[membership.Peers]  // nil is that nodes don't talk, or not yet
	peering   func() (*membership.Peers, error) // begins it; nil is that nodes don't talk

	dir         string // that a process which takes this one's place shares; "" is none
	discoveryAt string
	listDue     atomic.Bool // the list that was handed over is to be confirmed
}

// New makes an edge node and begins to listen.
func New(cfg config.Config) (*Node, error) {
	socks := newSockets(cfg.MaxSockets, placesApart(cfg))
	counts := newStats(cfg.Settings.Classes)
	up := newUpstreamOf(cfg, socks)
	l, err := newLoop(cfg, up, counts)
	if err != nil {
		return nil, &config.FileError{File: cfg.File, Err: err}
	}
	tcp, inherited, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{name: cfg.Name, front: newFront(cfg.Settings, l, socks, counts), loop: l, upstream: up,
		listener: &countedListener{tcp, ctx, socks}, listening: cancel, inherited: inherited,
		most: drainMost(cfg.Settings.Classes), readyBy: readyMost, stats: counts}
	n.drainer = &drainer{front: n.front}
	n.discoveryAt = cfg.Discovery
	if inherited {
		n.dir = cfg.HandoverDir
	}
	if err := n.assemble(cfg); err != nil {
		cancel()
		_ = tcp.Close()
		return nil, err
	}
	return n, nil
}

// placesApart is how many descriptors are set apart for other parts than clients and servers.
func placesApart(cfg config.Config) int {
	apart := socketsApart
	if cfg.Console != "" {
		apart += consolePlaces
	}
	if cfg.Fleet != nil && cfg.Fleet.Peers != nil {
		apart += peerPlaces
	}
	return apart + consensusDescriptors(cfg.Fleet, cfg.Name)
}

// newUpstreamOf makes the connections to servers as a configuration has them.
func newUpstreamOf(cfg config.Config, socks *sockets) *upstream {
	memory := cfg.MemoryMB
	if cfg.SocketFD > 0 {
		memory /= 2 // a second process may run beside this one
	}
	connect := cfg.ServerConnectTimeout
	if grace := cfg.Settings.DrainGrace; grace > 0 {
		// Guards against a first byte later than the grace to a server that is told to drain while a
		// connection to it opens.
		connect = min(connect, grace)
	}
	return newUpstream(connect, cfg.ServerKeepalive, cfg.Settings.FleetSize, socks, newBudget(memory))
}

// assemble adds the parts that the configuration and the fleet file switch on, and the list watch.
func (n *Node) assemble(cfg config.Config) (err error) {
	l, fleet := n.loop, cfg.Fleet
	if fleet != nil && fleet.Zones != nil && fleet.Zones.Evacuate {
		l.zoning = newZoning(cfg, l)
	}
	if fleet != nil && fleet.State != nil {
		l.keeping = newKeeping(cfg, l, func() string { return n.discovery.Address() })
	}
	if n.peering, err = peering(cfg, l); err != nil {
		return err
	}
	if err := n.follow(cfg); err != nil {
		return err
	}
	if cfg.Console != "" {
		if n.console, err = newConsole(cfg.Console, n); err != nil {
			return err
		}
	}
	if n.peering == nil {
		return nil
	}
	p, err := n.peering()
	// A process whose place this one takes has the address until it ends.
	if err != nil && (!n.inherited || !errors.Is(err, syscall.EADDRINUSE)) {
		return err
	}
	n.peers.Store(p)
	return nil
}

// Addr is where clients connect.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Reload takes over what may change while the node runs: where discovery is. Requests,
// connections and what the module has learned stay as they are.
func (n *Node) Reload(cfg config.Config) {
	slog.Info("reloading", "discovery", cfg.Discovery)
	n.discovery.Move(cfg.Discovery)
	if p := n.peers.Load(); p != nil && cfg.Fleet != nil && cfg.Fleet.Peers != nil {
		p.SetSeeds(cfg.Fleet.Peers.Seeds)
	}
}

// learn tells the loop's side of a list; with a server to send to the node is ready, else by readyBy.
func (n *Node) learn(kind control.UpdateKind, news discovery.Update) {
	n.loop.list(kind, news)
	if len(n.loop.ids) > 0 && !n.listDue.Load() {
		n.front.ready.Store(true)
	}
}

// Run serves until ctx ends, then drains. An error is a failure of the node itself.
func (n *Node) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer end()
	defer n.drainer.over()
	work, stop := context.WithCancel(life)
	defer stop()
	if n.console != nil {
		parts.Go(func() { n.console.run(life) })
	}
	var before net.Conn
	if n.dir != "" {
		if before = n.inherit(n.dir); before != nil {
			n.listDue.Store(true)
		}
	}
	if k := n.loop.keeping; k != nil {
		if !k.open(n, before != nil) {
			parts.Go(func() { k.openLater(life) })
		}
		parts.Go(func() { <-n.loop.ended; k.end() })
	}
	parts.Go(func() { n.loop.run(work) })
	// Guards against a bound that the module sets by a list of no servers.
	if len(n.known.Targets) > 0 {
		n.loop.post(func() { n.learn(control.Cached, n.known) })
	}
	if before != nil {
		parts.Go(func() { n.succeed(life, before) })
		late := time.AfterFunc(listWithin, func() {
			n.loop.post(func() {
				if n.listDue.Swap(false) && len(n.loop.ids) > 0 {
					n.front.ready.Store(true)
				}
			})
		})
		defer late.Stop()
	}
	// Guards against clients that nobody takes for as long as discovery is down or lists nobody: a node
	// without servers refuses them, which is harmless to try again.
	bound := time.AfterFunc(n.readyBy, func() { n.front.ready.Store(true) })
	defer bound.Stop()
	if n.dir != "" {
		parts.Go(func() { n.bequeath(life, n.dir) })
	}
	parts.Go(func() { n.discovery.Run(life) })
	parts.Go(func() { n.upstream.sweep(life) })
	parts.Go(func() { n.report(life) })
	srv := n.front.server()
	served := make(chan error, 1)
	parts.Go(func() { served <- srv.Serve(n.listener) })
	slog.Info("serving", "listen", n.Addr())

	if c := n.loop.council; c != nil {
		parts.Go(func() { c.run(life) })
	}
	if n.peering != nil {
		// The others hear of a planned end at its beginning, and of a failure as of a death.
		parts.Go(func() { n.part(ctx, life) })
	}
	select {
	case <-ctx.Done():
	case <-n.loop.ended:
		n.finish(drainWrite)
		return n.loop.failed
	case err := <-served:
		return &ServeError{n.Addr(), err}
	}
	return n.drain(stop)
}

// joinAgain is how often a process tries to talk that waits for the one before it to end.
const joinAgain = time.Second

// join gives the talk with other nodes, once it could begin; nil is that ctx ended before.
func (n *Node) join(ctx context.Context) *membership.Peers {
	for n.peers.Load() == nil {
		select {
		case <-time.After(joinAgain):
		case <-ctx.Done():
			return nil
		}
		p, err := n.peering()
		if err != nil {
			slog.Debug("peers: not yet", "err", err)
			continue
		}
		n.peers.Store(p)
	}
	return n.peers.Load()
}

// part takes leave of the other nodes when ctx ends, and ends the talk with life: until then this
// node serves, and tells them what it sends on.
func (n *Node) part(ctx, life context.Context) {
	p := n.join(ctx)
	if p == nil {
		return
	}
	end := p.Close
	select {
	case <-ctx.Done():
		if n.loop.sharing != nil {
			n.loop.post(n.loop.sharing.leave)
		}
		if err := p.Part(); err != nil {
			slog.Warn("peers: leaving", "err", err)
		}
		end = p.Leave
		<-life.Done()
	case <-life.Done():
	}
	if n.loop.sharing != nil {
		n.loop.sharing.end()
	}
	if err := end(); err != nil {
		slog.Warn("peers: leaving", "err", err)
	}
}

// report writes the node's counts to the log now and then, until ctx ends.
func (n *Node) report(ctx context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			slog.Info("servers", n.upstream.report()...)
			slog.Info("clients", n.front.report()...)
		}
	}
}

// drainMost is how long a drain lasts at most: the platform kills a node 0.7 s after the longest
// deadline of its classes.
func drainMost(classes []control.Class) time.Duration {
	longest := time.Duration(0)
	for _, k := range classes {
		longest = max(longest, k.Deadline)
	}
	return min(longest, deadlineMost) + drainMargin
}

// drain ends the process. The front goes by /healthz; the connections it has it may go on
// using for as long as they are open, and while another edge node restarts too, some customers
// have no other. So the node serves as before for a while, then each answer closes its
// connection, and the node ends when all that it holds is answered. Where another process shares
// the socket, that one takes all that comes: this one takes nothing new and lets go at once.
func (n *Node) drain(stop context.CancelFunc) error {
	begun := time.Now()
	serve := max(n.most-drainServe, 0)
	slog.Info("draining", "shared", n.inherited)
	if n.inherited {
		n.listening()
		if err := n.listener.Close(); err != nil {
			slog.Warn("closing the clients' socket", "err", err)
		}
		n.drainer.end(0, serve, true)
	} else {
		n.drainer.end(serve, drainClose, false)
	}
	look := time.NewTicker(drainLook)
	defer look.Stop()
	for over := time.After(max(serve+drainClose, min(n.most, drainListen))); ; {
		select {
		case <-look.C:
			if !n.inherited || n.front.conns.Load() > 0 {
				continue
			}
		case <-over:
		case <-n.loop.ended:
			n.finish(drainWrite)
			return n.loop.failed
		}
		break
	}
	n.finish(n.most - time.Since(begun))
	stop() // answers what is still held as failed
	<-n.loop.ended
	n.finish(drainWrite)
	slog.Info("drained", "took", time.Since(begun).Round(time.Millisecond))
	return n.loop.failed
}

// finish stops listening and gives the answers that are under way some time. Guards against
// http.Server's Shutdown, which closes connections that seem idle to it while a request comes on
// them, and drops requests that it has just read.
func (n *Node) finish(within time.Duration) {
	n.listening()
	if err := n.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Warn("closing the clients' socket", "err", err)
	}
	n.front.closing.Store(true)
	look := time.NewTicker(drainLook)
	defer look.Stop()
	for over := time.After(within); n.front.conns.Load() > 0; {
		n.front.closeIdle()
		select {
		case <-look.C:
		case <-over:
			return
		}
	}
}
