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
	group       int
	self        int

	active        bool
	round         int
	healthy       map[string]bool // passed the last health check, by UID
	shownDraining map[string]bool // shown to the decision module as draining, by UID
}

func newDegradedDiscovery(s control.Settings, l *loop) *degradedDiscovery {
	d := &degradedDiscovery{loop: l, grace: s.DrainGrace, group: s.FleetSize, self: s.NodeIndex}
	if s.HealthChecks && d.grace > 0 { // without a grace no answer comes in time
		within := d.grace / 2
		client := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true,
			DialContext: (&net.Dialer{Timeout: within}).DialContext}}
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
	d.showHealthyOnly()
}

// checkHealth checks the health of servers, and again after healthCheckInterval.
func (d *degradedDiscovery) checkHealth(round int) {
	if !d.active || round != d.round {
		return
	}
	heard := map[string]bool{}
	for _, t := range d.serversToCheck() {
		go func() {
			ok := d.healthCheck(t.Endpoint)
			d.loop.post(func() { heard[t.UID] = ok })
		}()
	}
	d.after(d.grace/2+d.grace/8, round, func() { d.healthy = heard; d.showHealthyOnly() })
	d.after(healthCheckInterval, round, func() { d.checkHealth(round) })
}

// after runs a function on the loop after a while, unless the round is over.
func (d *degradedDiscovery) after(wait time.Duration, round int, do func()) {
	time.AfterFunc(wait, func() {
		d.loop.post(func() {
			if d.active && round == d.round {
				do()
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
		h.Write([]byte{byte(d.self), byte(d.self >> 8)})
		h.Write([]byte(t.UID))
		return h.Sum64()
	}
	slices.SortFunc(all, func(a, b discovery.Target) int { return cmp.Compare(rank(a), rank(b)) })
	return all[:min(len(all), max(minCheckedServers, nodesPerCheckedServer*len(all)/max(1, d.group)))]
}

// showHealthyOnly shows servers to the decision module as draining that have not passed a health check, and as listed
// those that have again.
func (d *degradedDiscovery) showHealthyOnly() {
	var news discovery.Update
	demoted := map[string]bool{}
	for uid, t := range d.loop.endpoints {
		if t.Status() != discovery.Available {
			continue
		}
		demoted[uid] = d.active && !d.healthy[uid]
		if demoted[uid] {
			t.State = "draining"
		}
		if demoted[uid] != d.shownDraining[uid] {
			news.Targets = append(news.Targets, t)
		}
	}
	d.shownDraining = demoted
	slices.SortFunc(news.Targets, func(a, b discovery.Target) int { return cmp.Compare(a.UID, b.UID) })
	if len(news.Targets) > 0 {
		d.loop.applyEndpoints(control.Delta, news)
	}
}
