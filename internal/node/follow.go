package node

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"sloestile/control"
	"sloestile/internal/config"
	"sloestile/internal/discovery"
)

// watcher is what the node needs of the list watch; *discovery.Watcher is one.
type watcher interface {
	Run(ctx context.Context)
	Move(addr string)
	Address() string
	Adopt(held discovery.Update, current bool) discovery.Update
}

// follow makes the watch of the server list, and has the loop take what it brings.
func (n *Node) follow(cfg config.Config) error {
	n.degraded = newDegraded(cfg.Settings, n.loop)
	n.updated = n.listed
	watch := discovery.Config{Address: cfg.Discovery, Group: cfg.Settings.FleetSize, DrainGrace: cfg.Settings.DrainGrace,
		Seed: cfg.Seed, Polled: cfg.Settings.PollDiscovery, Subset: cfg.Fleet.SubsetOf(cfg.Settings.NodeIndex),
		Updated:  func(u discovery.Update) { n.updated(u) },
		Degraded: func(on bool) { n.loop.post(func() { n.degraded.turn(on) }) }}
	var dropped prometheus.Counter
	if watch.Subset != nil {
		dropped = newSubsetDropped()
		watch.Dropped = func(*discovery.ListError) { dropped.Inc() }
	}
	w, err := discovery.New(watch)
	if err != nil {
		return err
	}
	n.discovery, n.known = w, w.Adopt(cfg.KnownServers, true)
	if watch.Subset != nil {
		registerSubset(n.loop.registry(), w.Counts(), dropped)
	}
	return nil
}

// listed hands an update of discovery to the loop.
func (n *Node) listed(u discovery.Update) {
	kind := control.Delta
	if u.All {
		kind = control.Complete
	}
	n.loop.post(func() {
		n.listDue.Store(false)
		n.learn(kind, u)
	})
}
