package control

import (
	"cmp"
	"math"
	"time"
)

func (c *Controller) onList(e EndpointUpdate) {
	if c.following = c.set.PollDiscovery && e.Kind != Cached && e.Kind != Failed; e.Kind == Failed {
		c.askAt = c.now + askAgain/2 + time.Duration(c.rng.Int64N(int64(askAgain)))
		return
	}
	c.merge(e)
	c.usables = c.count((*server).usable)
	for _, s := range c.order {
		s.home = c.home(s)
	}
	if c.bound == 0 {
		c.bound = max(c.floor(), min(perServer, groupFirst/c.sharers)*c.usables)
	}
}

// pick is the server of least expected wait that the rules allow; nil is to wait. Guards against a
// herd that takes the same few servers, as each knows too little of how busy they are: while some are
// cold it shares them by chance, each as often as its speed and warmth are of the sum.
func (c *Controller) pick(r *request) *server {
	var best *server
	bestCost, u, out := math.Inf(1), c.drawn(), c.keepsOut(r)
	chance := c.herd() && c.count(func(s *server) bool { return s.usable() && s.coldRamp }) > 0
	for _, s := range c.order {
		if !s.usable() || !c.sameGroup(r, s) || out && r.rules.closed(s) || !c.coldRoom(s, r.units) {
			continue
		}
		cost := c.cost(s) + c.far(r, s)
		if chance {
			cost *= math.Pow(c.rng.ExpFloat64(), chanceMild)
		}
		for _, t := range r.tried {
			if t == s.Server {
				cost *= triedCost
			}
		}
		if c.aside(s) || s.probing || c.now < s.shut[r.plan] || c.away[s.Zone] > u {
			cost *= asideCost
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

func (c *Controller) sameGroup(r *request, s *server) bool {
	if r.group == nil || r.class.Idempotency != IdempotentByKey || r.class.KeyScope == KeyScopeAll {
		return true
	}
	return r.class.KeyScope == KeyScopeZone && r.group.Zone == s.Zone ||
		r.class.KeyScope == KeyScopeCell && r.group.Cell == s.Cell
}

// cost is the expected wait at a server: its latency times what it holds of ours.
func (c *Controller) cost(s *server) float64 {
	base := c.latency
	if s.coldRamp { // it holds less and is no slower for that; its queue is new
		base = cmp.Or(c.coldLatency, min(c.idle, c.latency))
	}
	base = max(base, 1e-3)
	lat := base
	if s.latency > 0 {
		lat = base + (s.latency-base)*math.Exp(-(c.now-s.latencyAt).Seconds()/c.recall())
	}
	if s.working() > 0 { // a server that is silent is at least as slow as its silence
		lat = max(lat, (c.now - s.heard).Seconds())
	}
	n := float64(s.working() + s.ghosts)
	cost := lat * (n + 1)
	if s.coldRamp && !c.herd() { // else what all may send there is bounded by its warmth: see coldRoom
		cost /= c.warmth(s)
	}
	if !s.coldRamp && !s.home {
		cost *= awayCost
	}
	if c.spoken(s) {
		cost *= toldCost
	}
	f := max(0, c.failing(s)-failGain) // one failure says nothing
	return cost * (1 + failCost*f*f) * (1 + tieNoise*c.rng.Float64())
}

// home tells whether a server is one of those that this gateway turns to first: each is so for
// homeGateways of the group, in turn by a number of its own, so that the loads are even and a change
// of the list moves no other. Guards against many gateways that each open connections to every
// server, and know next to nothing of any.
func (c *Controller) home(s *server) bool {
	key := s.Server // given in turn, so that each gateway has as many homes
	if s.coldRamp && s.HashKey != 0 {
		key = s.HashKey // the same everywhere, so that as many gateways come to each cold server
	}
	_, turn := math.Modf(float64(c.set.NodeIndex)/float64(c.set.FleetSize) + float64(key)*golden)
	return turn < c.homes(s)
}

// homes is the part of the group that a server is home to, and so of the servers that are home here.
// A cold one is so for more: what each may send it is little, and little passes through some.
func (c *Controller) homes(s *server) float64 {
	part := max(homeGateways/c.sharers, homeServers/max(c.usables, 1))
	if s.coldRamp {
		part *= coldHomes
	}
	return min(1, part)
}

// failing is the part of a server's attempts that is taken to fail. It is forgotten with time,
// as a server that is not chosen has no chance to do better.
func (c *Controller) failing(s *server) float64 {
	if s.failing == 0 { // as of most, and each choice looks at all
		return 0
	}
	return s.failing * math.Exp(-(c.now-s.failingAt).Seconds()/c.recall())
}

// recall is for how long, in s, what was seen of a server counts: for some answers of each. Guards
// against a gateway of many that forgets which server is slow before it comes there again.
func (c *Controller) recall() float64 {
	if c.answerRate == 0 {
		return latencyAge
	}
	return min(recallMost, max(latencyAge, recallVisits*c.usables/c.answerRate))
}

// fared takes whether an attempt at a server failed: 1 or 0. Guards against a server that fails part of
// its requests at once: never often enough in a row to be put aside, it looks idle and draws the rest.
func (c *Controller) fared(s *server, failed float64) {
	f := c.failing(s)
	s.failing, s.failingAt = f+failGain*(failed-f), c.now
}

func (c *Controller) aside(s *server) bool { return s.strikes >= strikesOut && c.now < s.asideUntil }

// strike counts a failure that speaks against the server.
func (c *Controller) strike(s *server, n int) {
	s.strikes, s.probing = s.strikes+n, false
	if s.strikes >= strikesOut && c.now >= s.asideUntil {
		s.aside = min(max(asideFirst, 2*s.aside), asideMost)
		s.asideUntil = c.now + s.aside
	}
}

// onHearsay takes that others found a server slow. Guards against words that set most servers aside.
func (c *Controller) onHearsay(e OutlierReport) {
	s := c.servers[e.Server]
	if s == nil || c.now >= s.toldUntil && c.count(c.spoken) >= toldMost*c.usables {
		return
	}
	s.toldAt, s.toldUntil = c.now, e.Until
}

// spoken tells whether others speak against a server, and no own answer since then for it.
func (c *Controller) spoken(s *server) bool {
	return c.now < s.toldUntil && !(s.latencyAt > s.toldAt && s.latency < toldFine*c.latency)
}
