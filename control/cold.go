package control

import (
	"cmp"
	"math"
)

// learn takes an entry of the list before it replaces what was listed. A server that started
// anew has no record, and starts cold with an empty budget.
func (c *Controller) learn(s *server, m Endpoint) {
	if m.HasStartedAt && (!s.HasStartedAt || m.StartedAt > s.StartedAt) {
		s.latency, s.failing, s.strikes, s.asideUntil, s.aside = 0, 0, 0, 0, 0
		clear(s.shut)
	}
	if m.HasStartedAt && c.now < m.StartedAt+c.set.SlowStartDuration {
		s.coldRamp, s.coldFrom = true, max(m.StartedAt, s.coldFrom)
		if s.tokens, s.tokensAt = 0, c.now; c.herd() { // so that not all send at the same moment
			s.tokens = -c.rng.Float64() * c.unitsMean
		}
	}
}

// herd tells whether so many gateways share the load that each knows little of it.
func (c *Controller) herd() bool { return c.set.FleetSize >= herdLeast }

// warmth is the part of its capacity that a server has reached at least.
func (c *Controller) warmth(s *server) float64 {
	if c.set.SlowStartDuration <= 0 {
		return 1
	}
	x := (c.now - s.coldFrom).Seconds() / c.set.SlowStartDuration.Seconds()
	return min(1, max(warmLeast, c.set.SlowStartInitial)+(1-c.set.SlowStartInitial)*max(0, x))
}

// coldRoom holds a cold server under this gateway's part of its budget: what warm servers do for it,
// times the warmth and the multiple; one attempt at a time is never more than it can do.
func (c *Controller) coldRoom(s *server, units float64) bool {
	if !s.coldRamp {
		return true
	}
	if c.now >= s.coldFrom+c.set.SlowStartDuration {
		s.coldRamp = false
		s.home = c.home(s)
		return true
	}
	w := c.warmth(s)
	if float64(s.working()+s.ghosts) >= max(1, math.Floor(w*perServer)) {
		return false
	}
	// Guards against one attempt a second each by many gateways: a token bucket, not a window.
	warm := c.count(func(s *server) bool { return s.usable() && !s.coldRamp })
	bears := c.set.OverloadFactor * w * c.servedRate / max(1, warm)
	rate := max(coldSafety*bears, 1/c.sharers)
	if c.herd() { // too little passes here to tell what a server does: it holds so many at a time
		does := groupLeast / max(c.idle, tick.Seconds()) // requests a second, warm, for all
		each := c.set.OverloadFactor * w * c.unitsMean * does / c.sharers
		// Guards against a new connection for nearly each request to a cold server: most of what it
		// bears is for those that it is home to, whatever passes through them.
		homes := c.homes(s)
		theirs := coldTheirs * (1 - homes)
		if bears = (1 - theirs) * max(bears, each); s.home {
			bears += theirs * each / homes
		}
		rate = coldSafety * bears
	}
	s.tokens += rate * (c.now - s.tokensAt).Seconds()
	if s.tokensAt = c.now; c.herd() {
		// Each may go into debt for a request, as small ones would else keep the store too low for
		// others. Who has not come for longer comes by chance, so that not all do at one moment.
		full, answers := rate*c.set.OverloadWindow.Seconds()/2, cmp.Or(c.answerRate, rateFirst)
		s.tokens = min(s.tokens, full)
		return s.tokens >= 0 && (s.tokens < full || c.rng.Float64()*c.unitsMean*answers < coldSurge*rate)
	}
	s.tokens = min(s.tokens, max(units, rate*c.set.OverloadWindow.Seconds()/2))
	return s.tokens >= units
}
