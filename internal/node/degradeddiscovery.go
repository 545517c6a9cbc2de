package node

import (
	"cmp"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"time"

	"sloestile/control"
	"sloestile/internal/discovery"
)

const (
	healthCheckInterval   = 4 * time.Second // between two health checks of a server; a drain counts as received after 6 s
	minCheckedServers     = 8               // of a node
	nodesPerCheckedServer = 10              // nodes of the fleet that check each server, beyond that
)

// degradedDiscovery keeps the rule on drains while the cached list is stale, as discovery answers without a usable update:
// new requests go only to servers whose own health check says that they serve. Where servers may not be checked, they go
// to none. It is owned by the event loop.
type degradedDiscovery struct {
	loop        *loop
	healthCheck func(endpoint string) bool // nil where servers may not be checked
	grace       time.Duration
	fleetSize   int
	nodeIndex   int

	active           bool
	round            int
	healthy          map[string]bool // passed the last health check, by UID
	reportedDraining map[string]bool // shown to the decision module as draining, by UID
}

func newDegradedDiscovery(s control.Settings, l *loop) *degradedDiscovery {
	d := &degradedDiscovery{loop: l, grace: s.DrainGrace, fleetSize: s.FleetSize, nodeIndex: s.NodeIndex}
	if s.HealthChecks && d.grace > 0 { // without a grace no answer comes in time
		timeout := d.grace / 2
		client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true,
			DialContext: (&net.Dialer{Timeout: timeout}).DialContext}}
		d.healthCheck = func(endpoint string) bool {
			resp, err := client.Get("http://" + endpoint + "/healthz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}
	}
	return d
}

// setActive begins or ends degraded discovery.
func (d *degradedDiscovery) setActive(on bool) {
	d.active, d.healthy = on, map[string]bool{}
	d.round++
	if on && d.healthCheck != nil {
		d.checkHealth(d.round)
		return
	}
	d.drainUnhealthy()
}

// checkHealth checks the health of servers, and again after healthCheckInterval.
func (d *degradedDiscovery) checkHealth(round int) {
	if !d.active || round != d.round {
		return
	}
	passed := map[string]bool{}
	for _, t := range d.serversToCheck() {
		go func() {
			ok := d.healthCheck(t.Endpoint)
			d.loop.post(func() { passed[t.UID] = ok })
		}()
	}
	d.runAfter(d.grace/2+d.grace/8, round, func() { d.healthy = passed; d.drainUnhealthy() })
	d.runAfter(healthCheckInterval, round, func() { d.checkHealth(round) })
}

// after runs a function on the loop after a while, unless the round is over.
func (d *degradedDiscovery) runAfter(delay time.Duration, round int, run func()) {
	time.AfterFunc(delay, func() {
		d.loop.post(func() {
			if d.active && round == d.round {
				run()
			}
		})
	})
}

// serversToCheck returns the servers that this node checks. Each server is checked by some nodes, so that in a round all
// nodes together check it nodesPerCheckedServer times, or each node checks minCheckedServers.
func (d *degradedDiscovery) serversToCheck() []discovery.Target {
	var all []discovery.Target
	for _, t := range d.loop.endpoints {
		if t.Status() == discovery.Available {
			all = append(all, t)
		}
	}
	rank := func(t discovery.Target) uint64 {
		h := fnv.New64a()
		h.Write([]byte{byte(d.nodeIndex), byte(d.nodeIndex >> 8)})
		h.Write([]byte(t.UID))
		return h.Sum64()
	}
	slices.SortFunc(all, func(a, b discovery.Target) int { return cmp.Compare(rank(a), rank(b)) })
	return all[:min(len(all), max(minCheckedServers, nodesPerCheckedServer*len(all)/max(1, d.fleetSize)))]
}

// showHealthyOnly shows servers to the decision module as draining that have not passed a health check, and as listed
// those that have again.
func (d *degradedDiscovery) drainUnhealthy() {
	var update discovery.Update
	draining := map[string]bool{}
	for uid, t := range d.loop.endpoints {
		if t.Status() != discovery.Available {
			continue
		}
		draining[uid] = d.active && !d.healthy[uid]
		if draining[uid] {
			t.State = "draining"
		}
		if draining[uid] != d.reportedDraining[uid] {
			update.Targets = append(update.Targets, t)
		}
	}
	d.reportedDraining = draining
	slices.SortFunc(update.Targets, func(a, b discovery.Target) int { return cmp.Compare(a.UID, b.UID) })
	if len(update.Targets) > 0 {
		d.loop.applyEndpoints(control.Delta, update)
	}
}
