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
	vouchEvery = 4 * time.Second // between two health checks of a server: what it can't know counts as received 6 s later
	vouchLeast = 8               // servers that are checked, at least
	vouchNodes = 10              // nodes of the group that check each server, beyond that
)

// degraded keeps the rule on drains while the list that is held is stale, as discovery answers without a
// usable update: new requests go only to servers whose own health check says that they serve. Where
// servers may not be checked, they go to none. It belongs to the loop.
type degraded struct {
	loop  *loop
	ask   func(endpoint string) bool // nil is that servers may not be checked
	grace time.Duration
	group int
	self  int

	on      bool
	round   int
	assured map[string]bool // said so in the last round
	demoted map[string]bool // are shown to the module as draining
}

func newDegraded(s control.Settings, l *loop) *degraded {
	d := &degraded{loop: l, grace: s.DrainGrace, group: s.FleetSize, self: s.NodeIndex}
	if s.HealthChecks && d.grace > 0 { // without a grace no answer comes in time
		within := d.grace / 2
		client := &http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true,
			DialContext: (&net.Dialer{Timeout: within}).DialContext}}
		d.ask = func(endpoint string) bool {
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
func (d *degraded) turn(on bool) {
	d.on, d.assured = on, map[string]bool{}
	d.round++
	if on && d.ask != nil {
		d.asking(d.round)
		return
	}
	d.show()
}

// asking checks the servers' health, and again after a while.
func (d *degraded) asking(round int) {
	if !d.on || round != d.round {
		return
	}
	heard := map[string]bool{}
	for _, t := range d.chosen() {
		go func() {
			ok := d.ask(t.Endpoint)
			d.loop.post(func() { heard[t.UID] = ok })
		}()
	}
	d.after(d.grace/2+d.grace/8, round, func() { d.assured = heard; d.show() })
	d.after(vouchEvery, round, func() { d.asking(round) })
}

func (d *degraded) after(wait time.Duration, round int, do func()) {
	time.AfterFunc(wait, func() {
		d.loop.post(func() {
			if d.on && round == d.round {
				do()
			}
		})
	})
}

// chosen are the servers that this node asks: each server is asked by some nodes, so that all nodes
// together ask each no more often than vouchNodes a round, or each node vouchLeast.
func (d *degraded) chosen() []discovery.Target {
	var all []discovery.Target
	for _, t := range d.loop.targets {
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
	return all[:min(len(all), max(vouchLeast, vouchNodes*len(all)/max(1, d.group)))]
}

// show has the module see as draining what nobody vouches for, and as listed what it did before.
func (d *degraded) show() {
	var news discovery.Update
	demoted := map[string]bool{}
	for uid, t := range d.loop.targets {
		if t.Status() != discovery.Available {
			continue
		}
		if demoted[uid] = d.on && !d.assured[uid]; demoted[uid] {
			t.State = "draining"
		}
		if demoted[uid] != d.demoted[uid] {
			news.Targets = append(news.Targets, t)
		}
	}
	d.demoted = demoted
	slices.SortFunc(news.Targets, func(a, b discovery.Target) int { return cmp.Compare(a.UID, b.UID) })
	if len(news.Targets) > 0 {
		d.loop.show(control.Delta, news)
	}
}
