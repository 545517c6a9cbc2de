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
	healthCheckInterval   = 4 * time.Second // interval of health checks; a node must know of a drain within 6 s
	minCheckedServers     = 8               // minimum number of servers that a node checks
	nodesPerCheckedServer = 10              // average number of nodes that check each server, beyond that minimum
	longListServers       = 400             // number of available servers beyond which maxCheckedServers applies
	maxCheckedServers     = 40              // maximum number of servers of a long list that a node checks
)

// degradedDiscovery keeps new requests away from draining servers while discovery is degraded, that is, answers without
// a usable update, so that the cached list is stale. New requests then go only to servers that pass a health check, or
// to none if the settings do not allow health checks. It is owned by the event loop.
type degradedDiscovery struct {
	loop        *loop
	healthCheck func(endpoint string) bool // nil disables health checks
	grace       time.Duration              // drain grace of the settings
	fleetSize   int
	nodeIndex   int

	active           bool            // whether discovery is degraded
	round            int             // incremented when active is set, which cancels scheduled calls
	healthy          map[string]bool // whether a server passed the last health check, by UID
	reportedDraining map[string]bool // whether a server was reported to the decision module as draining, by UID
}

// newDegradedDiscovery returns a degradedDiscovery that is not active. Health checks need a drain grace in the
// settings.
func newDegradedDiscovery(s control.Settings, l *loop) *degradedDiscovery {
	d := &degradedDiscovery{loop: l, grace: s.DrainGrace, fleetSize: s.FleetSize, nodeIndex: s.NodeIndex}
	if s.HealthChecks && d.grace > 0 { // without a grace a health check has no time to complete
		timeout := d.grace / 2
		client := &http.Client{Timeout: timeout, CheckRedirect: discovery.RefuseRedirect, Transport: &http.Transport{DisableKeepAlives: true,
			DialContext: (&net.Dialer{Timeout: timeout}).DialContext, MaxResponseHeaderBytes: maxResponseHeaderBytes}}
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

// setActive sets whether discovery is degraded.
func (d *degradedDiscovery) setActive(on bool) {
	d.active, d.healthy = on, map[string]bool{}
	d.round++
	if on && d.healthCheck != nil {
		d.checkHealth(d.round)
		return
	}
	d.drainUnhealthy()
}

// checkHealth starts health checks, applies their results after a fraction of the grace, and repeats after
// healthCheckInterval.
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

// runAfter calls run on the loop after a delay, unless the round has ended.
func (d *degradedDiscovery) runAfter(delay time.Duration, round int, run func()) {
	time.AfterFunc(delay, func() {
		d.loop.post(func() {
			if d.active && round == d.round {
				run()
			}
		})
	})
}

// serversToCheck returns the servers that this node checks. Their number is such that on average nodesPerCheckedServer
// nodes check each server, and at least minCheckedServers, but of a long list at most maxCheckedServers. A hash of the
// node index and the UID selects them.
func (d *degradedDiscovery) serversToCheck() []discovery.Target {
	type rankedTarget struct {
		discovery.Target
		rank uint64
	}
	var ranked []rankedTarget
	for _, t := range d.loop.endpoints {
		if t.Status() == discovery.Available {
			ranked = append(ranked, rankedTarget{t, d.rank(t.UID)})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedTarget) int { return cmp.Compare(a.rank, b.rank) })
	count := max(minCheckedServers, nodesPerCheckedServer*len(ranked)/max(1, d.fleetSize))
	if len(ranked) > longListServers {
		count = min(count, maxCheckedServers)
	}
	var chosen []discovery.Target
	for _, r := range ranked[:min(len(ranked), count)] {
		chosen = append(chosen, r.Target)
	}
	return chosen
}

// rank returns the hash by which this node chooses the servers that it checks.
func (d *degradedDiscovery) rank(uid string) uint64 {
	h := fnv.New64a()
	h.Write([]byte{byte(d.nodeIndex), byte(d.nodeIndex >> 8)})
	h.Write([]byte(uid))
	return h.Sum64()
}

// drainUnhealthy reports servers to the decision module as draining that have not passed a health check while discovery
// is degraded, and all others with their listed state. It passes on only changes.
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
