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
	logInterval  = 5 * time.Second // between two log lines with counts of connections
	readyTimeout = 5 * time.Second // after the start, by which the node is ready without an endpoint list
)

// Node is an edge node. New starts to listen, Run serves until its context ends.
type Node struct {
	name     string
	front    *frontend
	loop     *loop
	upstream *upstream
	stats    *stats
	console  *console // nil is none
	drainer  *drainer

	discovery        watcher
	discoveryAddress string
	knownServers     discovery.Update       // cached list for the decision module at the start
	onUpdate         func(discovery.Update) // takes the watcher's updates
	degraded         *degradedDiscovery

	listener      net.Listener
	stopListening context.CancelFunc
	inherited     bool          // the clients' socket was inherited: another process may share it
	maxDrain      time.Duration // a drain ends by then
	readyTimeout  time.Duration

	peers      atomic.Pointer[membership.Peers]  // nil while peers are off or not started
	startPeers func() (*membership.Peers, error) // nil is off

	handoverDir     string      // shared with the process that takes over from this one; "" is none
	listUnconfirmed atomic.Bool // the list that was handed over has not been confirmed by discovery
}

// New makes an edge node and starts to listen.
func New(cfg config.Config) (*Node, error) {
	sockets := newSockets(cfg.MaxSockets, reservedDescriptors(cfg))
	counts := newStats(cfg.Settings.Classes)
	up := upstreamOf(cfg, sockets)
	l, err := newLoop(cfg, up, counts)
	if err != nil {
		return nil, &config.FileError{File: cfg.File, Err: err}
	}
	listener, inherited, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		name:             cfg.Name,
		front:            newFrontend(cfg.Settings, l, sockets, counts),
		loop:             l,
		upstream:         up,
		stats:            counts,
		discoveryAddress: cfg.Discovery,
		listener:         &countedListener{listener, ctx, sockets},
		stopListening:    cancel,
		inherited:        inherited,
		maxDrain:         maxDrainOf(cfg.Settings.Classes),
		readyTimeout:     readyTimeout,
	}
	n.drainer = &drainer{front: n.front}
	if inherited {
		n.handoverDir = cfg.HandoverDir
	}
	if err := n.assemble(cfg); err != nil {
		cancel()
		_ = listener.Close()
		return nil, err
	}
	return n, nil
}

// reservedDescriptors returns how many descriptors are reserved for other uses than connections to clients and servers.
func reservedDescriptors(cfg config.Config) int {
	reserved := ownDescriptors
	if cfg.Console != "" {
		reserved += maxConsoleConns
	}
	if cfg.Fleet != nil && cfg.Fleet.Peers != nil {
		reserved += peerDescriptors
	}
	return reserved + consensusDescriptors(cfg.Fleet, cfg.Name)
}

// upstreamOf makes the upstream side as a configuration has it.
func upstreamOf(cfg config.Config, sockets *sockets) *upstream {
	memory := cfg.MemoryMB
	if cfg.SocketFD > 0 {
		memory /= 2 // a second process may run beside this one
	}
	connect := cfg.ServerConnectTimeout
	if grace := cfg.Settings.DrainGrace; grace > 0 {
		// Otherwise the first byte could reach a server after the grace, where it begins to drain while a connection
		// to it opens.
		connect = min(connect, grace)
	}
	return newUpstream(connect, cfg.ServerKeepalive, cfg.Settings.FleetSize, sockets, newBudget(memory))
}

// assemble adds the parts that the configuration and the fleet file switch on, and the watch of the endpoint list.
func (n *Node) assemble(cfg config.Config) (err error) {
	l, fleet := n.loop, cfg.Fleet
	if fleet != nil && fleet.Zones != nil && fleet.Zones.Evacuate {
		l.zones = newZoneEvacuation(cfg, l)
	}
	if fleet != nil && fleet.State != nil {
		l.persistence = newPersistence(cfg, l, func() string { return n.discovery.Address() })
	}
	if n.startPeers, err = startPeersFunc(cfg, l); err != nil {
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
	if n.startPeers == nil {
		return nil
	}
	p, err := n.startPeers()
	// The process that this one replaces has the address until it ends; joinPeers tries again.
	if err != nil && (!n.inherited || !errors.Is(err, syscall.EADDRINUSE)) {
		return err
	}
	n.peers.Store(p)
	return nil
}

// Addr returns the address where clients connect.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Reload applies what may change while the node runs: the address of discovery and the seeds of peers. Requests,
// connections and the state of the decision module stay as they are.
func (n *Node) Reload(cfg config.Config) {
	slog.Info("reloading", "discovery", cfg.Discovery)
	n.discovery.Move(cfg.Discovery)
	if p := n.peers.Load(); p != nil && cfg.Fleet != nil && cfg.Fleet.Peers != nil {
		p.SetSeeds(cfg.Fleet.Peers.Seeds)
	}
}

// applyList gives the loop an endpoint list or a change of it. With a server to send to the node is ready.
func (n *Node) applyList(kind control.UpdateKind, update discovery.Update) {
	n.loop.endpointsChanged(kind, update)
	if len(n.loop.serverIDs) > 0 && !n.listUnconfirmed.Load() {
		n.front.ready.Store(true)
	}
}

// Run serves until ctx ends, then drains. It returns an error where the node itself has failed. Every goroutine that it
// starts has ended when it returns.
func (n *Node) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer end()
	defer n.drainer.stop()
	loopLife, stopLoop := context.WithCancel(life)
	defer stopLoop()
	if n.console != nil {
		parts.Go(func() { n.console.run(life) })
	}
	previous := n.startLoop(life, loopLife, &parts)
	if previous != nil {
		defer n.confirmListLater().Stop()
		parts.Go(func() { n.awaitPredecessor(life, previous) })
	}
	// A node whose discovery is down or lists no server becomes ready all the same: it rejects requests then, which
	// clients may safely retry.
	ready := time.AfterFunc(n.readyTimeout, func() { n.front.ready.Store(true) })
	defer ready.Stop()
	served := n.startServing(life, &parts)
	n.startFleetParts(ctx, life, &parts)
	select {
	case <-ctx.Done():
		return n.drain(stopLoop)
	case <-n.loop.ended:
		n.finish(drainWriteTime)
		return n.loop.failure
	case err := <-served:
		return &ServeError{n.Addr(), err}
	}
}

// startLoop takes over from a previous process or restores the stored state, and starts the event loop. It returns the
// connection to the previous process, or nil.
func (n *Node) startLoop(life, loopLife context.Context, parts *sync.WaitGroup) (previous net.Conn) {
	if n.handoverDir != "" {
		previous = n.takeOver(n.handoverDir)
		if previous != nil {
			n.listUnconfirmed.Store(true)
		}
	}
	if p := n.loop.persistence; p != nil {
		if !p.open(n, previous != nil) {
			parts.Go(func() { p.openWhenFree(life) })
		}
		parts.Go(func() { <-n.loop.ended; p.close() })
	}
	parts.Go(func() { n.loop.run(loopLife) })
	// Without this check a list of no servers would set the decision module's bound.
	if len(n.knownServers.Targets) > 0 {
		n.loop.post(func() { n.applyList(control.Cached, n.knownServers) })
	}
	return previous
}

// confirmListLater makes the node ready with the list that was handed over where discovery does not confirm it in time.
func (n *Node) confirmListLater() *time.Timer {
	return time.AfterFunc(listConfirmTimeout, func() {
		n.loop.post(func() {
			if n.listUnconfirmed.Swap(false) && len(n.loop.serverIDs) > 0 {
				n.front.ready.Store(true)
			}
		})
	})
}

// startServing starts to serve clients and returns the channel that gets the error of the clients' listener.
func (n *Node) startServing(life context.Context, parts *sync.WaitGroup) <-chan error {
	if n.handoverDir != "" {
		parts.Go(func() { n.serveHandover(life, n.handoverDir) })
	}
	parts.Go(func() { n.discovery.Run(life) })
	parts.Go(func() { n.upstream.sweep(life) })
	parts.Go(func() { n.logCounts(life) })
	server := n.front.server()
	served := make(chan error, 1)
	parts.Go(func() { served <- server.Serve(n.listener) })
	slog.Info("serving", "listen", n.Addr())
	return served
}

// startFleetParts starts what a fleet file switches on beside the loop. The other nodes are told of a planned end when
// ctx ends, and learn of a failure by this node's silence.
func (n *Node) startFleetParts(ctx, life context.Context, parts *sync.WaitGroup) {
	if c := n.loop.consensus; c != nil {
		parts.Go(func() { c.run(life) })
	}
	if n.startPeers != nil {
		parts.Go(func() { n.leavePeers(ctx, life) })
	}
}

// logCounts writes counts of connections to the log at intervals until ctx ends.
func (n *Node) logCounts(ctx context.Context) {
	t := time.NewTicker(logInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			slog.Info("servers", n.upstream.logAttributes()...)
			slog.Info("clients", n.front.logAttributes()...)
		}
	}
}
