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
	healthCheckInterval   = 4 * time.Second // between two health checks of a server: what it can't know counts as received 6 s later
	minCheckedServers     = 8               // servers that are checked, at least
	nodesPerCheckedServer = 10              // nodes of the group that check each server, beyond that
)

// degraded keeps the rule on drains while the list that is held is stale, as discovery answers without a
// usable update: new requests go only to servers whose own health check says that they serve. Where
// servers may not be checked, they go to none. It belongs to the loop.
type degradedDiscovery struct {
	loop        *loop
	healthCheck func(endpoint string) bool // nil is that servers may not be checked
	grace       time.Duration
	group       int
	self        int

	active        bool
	round         int
	healthy       map[string]bool // said so in the last round
	shownDraining map[string]bool // are shown to the module as draining
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

// turn begins or ends degraded discovery.
func (d *degradedDiscovery) setActive(on bool) {
	d.active, d.healthy = on, map[string]bool{}
	d.round++
	if on && d.healthCheck != nil {
		d.checkHealth(d.round)
		return
	}
	d.showHealthyOnly()
}

// asking checks the servers' health, and again after a while.
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

func (d *degradedDiscovery) after(wait time.Duration, round int, do func()) {
	time.AfterFunc(wait, func() {
		d.loop.post(func() {
			if d.active && round == d.round {
				do()
			}
		})
	})
}

// chosen are the servers that this node asks: each server is asked by some nodes, so that all nodes
// together ask each no more often than vouchNodes a round, or each node vouchLeast.
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

// show has the module see as draining what nobody vouches for, and as listed what it did before.
func (d *degradedDiscovery) showHealthyOnly() {
	var news discovery.Update
	demoted := map[string]bool{}
	for uid, t := range d.loop.endpoints {
		if t.Status() != discovery.Available {
			continue
		}
		if demoted[uid] = d.active && !d.healthy[uid]; demoted[uid] {
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
