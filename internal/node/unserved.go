package node

import (
	"log/slog"
	"net/http"
	"time"
)

// loopGrace is the time after a request's deadline that the event loop has for the final response. Without one by then
// the request is completed without the loop. A response more than 0.5 s after the client's time counts as lost.
const loopGrace = 50 * time.Millisecond

// unservedReason is the reason for which a request was completed without the event loop.
type unservedReason string

// The reasons for which a request is completed without the event loop.
const (
	reasonExpired unservedReason = "deadline"
	reasonStopped unservedReason = "process ends"
)

// completeUnserved completes a request for which the event loop has no response, and tells the loop, if the loop has
// begun it. It returns the final response: the one that the request has got meanwhile, else a rejection if the client may
// retry without harm, else a failure.
func (f *frontend) completeUnserved(x *exchange, begun bool, reason unservedReason) response {
	first, mayHaveRun := x.completion.end()
	if !first {
		return <-x.response
	}
	if begun {
		go f.loop.post(func() { f.loop.abandon(x) }) // ends when the loop takes the event or has ended
	}
	resp := f.unservedResponse(x, mayHaveRun, reason)
	f.stats.unserved.Add(1)
	if f.unservedLog.allow() {
		slog.Warn("request completed without the event loop", "id", x.req.ID, "class", x.req.Class, "reason", string(reason),
			"begun", begun, "may_have_run", mayHaveRun, "status", resp.status, "total", f.stats.unserved.Load())
	}
	return resp
}

// unservedResponse returns the final response to a request for which the event loop has none.
func (f *frontend) unservedResponse(x *exchange, mayHaveRun bool, reason unservedReason) response {
	class := f.classes[x.req.Class]
	switch {
	case reason == reasonStopped && mayHaveRun:
		return response{status: http.StatusBadGateway}
	case class.RetryIsHarmless(mayHaveRun):
		return response{status: http.StatusServiceUnavailable, retryAfter: f.retryAfter}
	}
	return response{status: http.StatusGatewayTimeout}
}
