package control

import "time"

// pollInterval is the minimum time between two requests for a watch. After a failure the next request follows
// after a random delay of between half and one and a half times pollInterval, so that nodes do not poll at
// the same time.
const pollInterval = 2 * time.Second

// endpointWatch requests a watch of the endpoint list if the settings require polling.
type endpointWatch struct {
	env        *environment
	watching   bool          // a watch is open
	nextPollAt time.Duration // time from which the next request for a watch is due
}

// onUpdate records whether a watch is open after an update of the given kind.
func (w *endpointWatch) onUpdate(kind UpdateKind) {
	w.watching = w.env.settings.PollDiscovery && kind != Cached && kind != Failed
	if kind == Failed {
		w.nextPollAt = w.env.now + pollInterval/2 + time.Duration(w.env.random.Int64N(int64(pollInterval)))
	}
}

// poll requests a watch if none is open and a request is due.
func (w *endpointWatch) poll() {
	if w.env.settings.PollDiscovery && !w.watching && w.env.now >= w.nextPollAt {
		w.env.emit(Watch{Active: true})
		w.nextPollAt = w.env.now + pollInterval
	}
}

// onEndpointUpdate applies a change of the endpoint list.
func (c *Controller) onEndpointUpdate(e EndpointUpdate) {
	c.watch.onUpdate(e.Kind)
	if e.Kind == Failed {
		return
	}
	c.servers.applyUpdate(e, func(s *server, listed Endpoint) {
		if listed.HasStartedAt && (!s.HasStartedAt || listed.StartedAt > s.StartedAt) {
			s.resetObservations()
			c.servers.updateSuspect(s)
		}
		c.slowStart.begin(s, listed)
	})
	c.concurrency.initialize()
}
