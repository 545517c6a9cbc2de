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
	logInterval  = 5 * time.Second // interval of the log lines with counts of connections
	readyTimeout = 5 * time.Second // time after the start at which the node is ready even without an endpoint list
)

// Node is an edge node. New starts to listen, and Run serves until its context ends.
type Node struct {
	name     string
	front    *frontend
	loop     *loop
	upstream *upstream
	stats    *stats
	console  *console // nil if there is no console
	drainer  *drainer

	discovery        watcher
	discoveryAddress string
	knownServers     discovery.Update       // cached list, which the decision module gets at the start
	onUpdate         func(discovery.Update) // handles an update of the endpoint list
	degraded         *degradedDiscovery

	listener      net.Listener
	stopListening context.CancelFunc
	serveEnded    chan struct{} // closed when no connection is accepted any more
	inherited     bool          // the listening socket is inherited: another process may accept on it too
	drainTimeout  time.Duration // maximum duration of a drain
	readyTimeout  time.Duration

	peers      atomic.Pointer[membership.Peers]  // nil while the membership is disabled or not started
	startPeers func() (*membership.Peers, error) // nil disables the membership

	handoverIDs     *idExchange // exchange of IDs with the process that this one replaces; nil if there is none
	handoverDir     string      // folder of the handover socket, shared with the next process; "" disables the handover
	listUnconfirmed atomic.Bool // the handed-over endpoint list has not been confirmed by discovery
}

// New returns an edge node that listens already. Run must be called to serve.
func New(cfg config.Config) (*Node, error) {
	sockets := newSockets(maxSockets(cfg.MaxSockets, cfg.MemoryMB), reservedDescriptors(cfg))
	metrics := newStats(cfg.Settings.Classes)
	upstreamSide := newUpstreamFromConfig(cfg, sockets)
	eventLoop, err := newLoop(cfg, upstreamSide, metrics)
	if err != nil {
		return nil, &config.FileError{File: cfg.File, Err: err}
	}
	listener, inherited, err := listen(cfg)
	if err != nil {
		return nil, err
	}
	limitBacklog(listener, maxSockets(cfg.MaxSockets, cfg.MemoryMB))
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		name:             cfg.Name,
		front:            newFrontend(cfg.Settings, eventLoop, sockets, metrics),
		loop:             eventLoop,
		upstream:         upstreamSide,
		stats:            metrics,
		discoveryAddress: cfg.Discovery,
		listener:         &countedListener{Listener: listener, ctx: ctx, sockets: sockets, budget: upstreamSide.budget},
		stopListening:    cancel,
		serveEnded:       make(chan struct{}),
		inherited:        inherited,
		drainTimeout:     computeDrainTimeout(cfg.Settings.Classes),
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

// reservedDescriptors returns the number of file descriptors that connections to clients and servers may not use.
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

// newUpstreamFromConfig returns the upstream side with the limits and timeouts of a configuration.
func newUpstreamFromConfig(cfg config.Config, sockets *sockets) *upstream {
	memoryMB := cfg.MemoryMB
	if cfg.SocketFD > 0 {
		memoryMB /= 2 // a second process may run at the same time, during a handover
	}
	connectTimeout := cfg.ServerConnectTimeout
	if grace := cfg.Settings.DrainGrace; grace > 0 {
		// A server may begin to drain while a connection to it opens. A longer timeout would let the first byte of a
		// request reach it after the drain grace.
		connectTimeout = min(connectTimeout, grace)
	}
	return newUpstream(connectTimeout, cfg.ServerKeepalive, cfg.Settings.FleetSize, sockets, newBudget(memoryMB))
}

// assemble adds the watch of the endpoint list, and the features that the configuration and the fleet file enable.
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
	if err := n.watchEndpoints(cfg); err != nil {
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
	// The process that this one replaces holds the address until it ends; joinPeers retries.
	if err != nil && (!n.inherited || !errors.Is(err, syscall.EADDRINUSE)) {
		return err
	}
	n.peers.Store(p)
	return nil
}

// Addr returns the address to which clients connect.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Reload applies the settings that may change while the node runs: the address of discovery and the seeds of the
// membership. It does not affect requests, connections or the state of the decision module.
func (n *Node) Reload(cfg config.Config) {
	slog.Info("reloading", "discovery", cfg.Discovery)
	n.discovery.Move(cfg.Discovery)
	if p := n.peers.Load(); p != nil && cfg.Fleet != nil && cfg.Fleet.Peers != nil {
		p.SetSeeds(cfg.Fleet.Peers.Seeds)
	}
}

// applyUpdate applies a complete or delta update of the endpoint list, on the event loop. The node becomes ready once a
// server is listed, unless the list is an unconfirmed one of the previous process.
func (n *Node) applyUpdate(kind control.UpdateKind, update discovery.Update) {
	n.loop.updateEndpoints(kind, update)
	if len(n.loop.serverIDs) > 0 && !n.listUnconfirmed.Load() {
		n.front.ready.Store(true)
	}
}

// Run serves until ctx ends, and then drains. If the cause of that end is a ShutdownSignal, the drain's times count from it. It returns an error only if the node itself failed. Before it returns it
// waits for the node's services to end, but not for calls that a stalled disk or voter blocks.
func (n *Node) Run(ctx context.Context) error {
	runCtx, endRun := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer endRun()
	defer n.drainer.stop()
	defer n.loop.cancelAttempts()
	loopCtx, stopLoop := context.WithCancel(runCtx)
	defer stopLoop()
	defer context.AfterFunc(ctx, func() { n.scheduleEnd(ctx) })()
	if n.console != nil {
		running.Go(func() { n.console.run(runCtx) })
	}
	previous := n.startLoop(ctx, runCtx, loopCtx, &running)
	if previous != nil {
		defer n.scheduleListConfirmation().Stop()
		running.Go(func() { n.awaitPredecessor(runCtx, previous) })
	}
	// A node also becomes ready if discovery is down or lists no server: it rejects requests then, and clients may
	// safely retry these.
	ready := time.AfterFunc(n.readyTimeout, func() { n.front.ready.Store(true) })
	defer ready.Stop()
	served := n.startServing(runCtx, &running)
	n.startFleetServices(ctx, runCtx, &running)
	select {
	case <-ctx.Done():
		return n.drain(n.loop.shutdown.begin(signalTime(ctx)), stopLoop)
	case <-n.loop.ended:
		n.finish(drainWriteTimeout)
		return n.loop.failure
	case err := <-served:
		return &ServeError{n.Addr(), err}
	}
}

// startLoop receives the state of the previous process or restores the stored state, and starts the event loop. It
// returns the connection to the previous process, or nil if there is none. It waits for neither once ctx has ended.
func (n *Node) startLoop(ctx, runCtx, loopCtx context.Context, running *sync.WaitGroup) (previous net.Conn) {
	if n.handoverDir != "" {
		previous = n.receiveHandover(ctx, n.handoverDir)
		if previous != nil {
			n.listUnconfirmed.Store(true)
		}
	}
	if p := n.loop.persistence; p != nil {
		if !p.open(ctx, n, previous != nil) {
			running.Go(func() { p.openWhenUnlocked(runCtx) })
		}
		running.Go(func() { <-n.loop.ended; p.close() })
	}
	running.Go(func() { n.loop.run(loopCtx) })
	// An empty list must not be applied: it would set the decision module's in-flight bound.
	if len(n.knownServers.Targets) > 0 {
		n.loop.post(func() { n.applyUpdate(control.Cached, n.knownServers) })
	}
	return previous
}

// scheduleListConfirmation makes the node ready with the handed-over list if discovery does not confirm the list within
// listConfirmTimeout.
func (n *Node) scheduleListConfirmation() *time.Timer {
	return time.AfterFunc(listConfirmTimeout, func() {
		n.loop.post(func() {
			if n.listUnconfirmed.Swap(false) && len(n.loop.serverIDs) > 0 {
				n.front.ready.Store(true)
			}
		})
	})
}

// startServing starts to serve clients. The returned channel receives the error with which the HTTP server ends.
func (n *Node) startServing(runCtx context.Context, running *sync.WaitGroup) <-chan error {
	if n.handoverDir != "" {
		running.Go(func() { n.serveHandover(runCtx, n.handoverDir) })
	}
	running.Go(func() { n.discovery.Run(runCtx) })
	running.Go(func() { n.upstream.sweep(runCtx) })
	running.Go(func() { n.logCounts(runCtx) })
	server := n.front.server()
	served := make(chan error, 1)
	running.Go(func() {
		defer close(n.serveEnded)
		served <- server.Serve(n.listener)
	})
	slog.Info("serving", "listen", n.Addr())
	return served
}

// startFleetServices starts the services of a fleet file that have goroutines of their own. The node announces a
// planned shutdown to the other nodes when ctx ends; they detect a failure by missing messages.
func (n *Node) startFleetServices(ctx, runCtx context.Context, running *sync.WaitGroup) {
	if c := n.loop.consensus; c != nil {
		running.Go(func() { c.run(runCtx) })
	}
	if n.startPeers != nil {
		running.Go(func() { n.leavePeers(ctx, runCtx) })
	}
}

// logCounts logs counts of connections every logInterval until ctx ends.
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
