package control

import "time"

// pollInterval is the time between two requests for a watch. After a failure the next one comes within half
// to one and a half of it, so that nodes do not poll together.
const pollInterval = 2 * time.Second

// endpointWatch asks for a watch of the endpoint list where the settings have the list polled.
type endpointWatch struct {
	env        *environment
	watching   bool
	nextPollAt time.Duration
}

// onUpdate notes whether the watch is open after an update.
func (w *endpointWatch) onUpdate(kind UpdateKind) {
	w.watching = w.env.settings.PollDiscovery && kind != Cached && kind != Failed
	if kind == Failed {
		w.nextPollAt = w.env.now + pollInterval/2 + time.Duration(w.env.random.Int64N(int64(pollInterval)))
	}
}

// poll asks for a watch where none is open and one is due.
func (w *endpointWatch) poll() {
	if w.env.settings.PollDiscovery && !w.watching && w.env.now >= w.nextPollAt {
		w.env.emit(Watch{Active: true})
		w.nextPollAt = w.env.now + pollInterval
	}
}

// onEndpointUpdate takes a change of the endpoint list.
func (c *Controller) onEndpointUpdate(e EndpointUpdate) {
	c.watch.onUpdate(e.Kind)
	if e.Kind == Failed {
		return
	}
	c.servers.applyUpdate(e, func(s *server, listed Endpoint) {
		if listed.HasStartedAt && (!s.HasStartedAt || listed.StartedAt > s.StartedAt) {
			s.resetObservations()
		}
		c.slowStart.begin(s, listed)
	})
	for _, s := range c.servers.ordered {
		s.preferred = c.servers.isPreferred(s)
	}
	c.concurrency.initialize()
}
