package node

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"sloestile/control"
	"sloestile/internal/config"
	"sloestile/internal/discovery"
)

// watcher watches the endpoint list. It is implemented by *discovery.Watcher.
type watcher interface {
	Run(ctx context.Context)
	Move(addr string)
	Address() string
	Adopt(cached discovery.Update, current bool) discovery.Update
}

// watchEndpoints creates the watch of the endpoint list, whose updates go to the loop. Run starts it.
func (n *Node) watchEndpoints(cfg config.Config) error {
	n.degraded = newDegradedDiscovery(cfg.Settings, n.loop)
	n.onUpdate = n.handleUpdate
	watch := discovery.Config{Address: cfg.Discovery, FleetSize: cfg.Settings.FleetSize, DrainGrace: cfg.Settings.DrainGrace,
		Seed: cfg.Seed, Polled: cfg.Settings.PollDiscovery, Subset: cfg.Fleet.SubsetOf(cfg.Settings.NodeIndex),
		OnUpdate:   func(u discovery.Update) { n.onUpdate(u) },
		OnDegraded: func(on bool) { n.loop.post(func() { n.degraded.setActive(on) }) }}
	var dropped prometheus.Counter
	if watch.Subset != nil {
		dropped = newSubsetDroppedCounter()
		watch.OnDropped = func(*discovery.ListError) { dropped.Inc() }
	}
	w, err := discovery.New(watch)
	if err != nil {
		return err
	}
	n.discovery, n.knownServers = w, w.Adopt(cfg.KnownServers, true)
	if watch.Subset != nil {
		registerSubsetMetrics(n.loop.metricsRegistry(), w.Counts(), dropped)
	}
	return nil
}

// handleUpdate passes an update of discovery to the loop. An update confirms a handed-over list.
func (n *Node) handleUpdate(u discovery.Update) {
	kind := control.Delta
	if u.All {
		kind = control.Complete
	}
	n.loop.post(func() {
		n.listUnconfirmed.Store(false)
		n.applyUpdate(kind, u)
	})
}
