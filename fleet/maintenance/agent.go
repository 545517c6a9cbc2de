package maintenance

import "time"

// Action is what an agent makes its machine do.
type Action uint8

// Actions of an agent.
const (
	ActionNone    Action = iota
	ActionDrain          // begin the drain
	ActionUndrain        // end the drain and serve again
	ActionLeave          // leave service: the process exits and the work begins
)

func (a Action) String() string { return enumName(a, "nothing", "drain", "undrain", "leave") }

// Agent requests the maintenance lease of its host, either in a process on the machine or, for a
// rating server, in a process elsewhere. It acts only on responses to its own requests, and on each
// only for its TTL, counted on the process's monotonic clock from before the request was sent. It
// is not safe for concurrent use.
type Agent struct {
	host, name     string
	nonce          uint64
	remote         bool
	registered     bool          // the leader has accepted this process
	response       Response      // last response accepted
	responseSentAt time.Duration // time before the request of the last response was sent
	abandonedToken uint64        // the agent no longer acts under this fencing token or a lower one
	draining       bool          // the machine drains on the agent's order
	inWork         bool          // the machine has left service on the agent's order and is not back
}

// NewAgent returns the agent of a process. nonce is a random number of the process and must not be
// 0. remote means that the agent does not run on the machine, so that the agent's start is not the
// machine's return.
func NewAgent(host, name string, nonce uint64, remote bool) *Agent {
	return &Agent{host: host, name: name, nonce: nonce, remote: remote}
}

// NextRequest returns the request to send to the leader now. The caller records the time before it
// sends the request and passes it to HandleResponse as sentAt.
func (a *Agent) NextRequest(now time.Duration) Request {
	req := Request{Host: a.host, Name: a.name, FencingToken: a.response.FencingToken}
	switch {
	case !a.registered || (a.response.Stage == StageWaiting && !a.draining):
		req.Type, req.Nonce, req.FencingToken = RequestAcquire, a.nonce, 0
	case a.response.Stage.isHeld() && a.response.FencingToken <= a.abandonedToken:
		req.Type, req.FencingToken = RequestConfirmUndrain, a.abandonedToken
	case a.response.Stage == StageGranted && now < a.responseSentAt+a.response.TTL:
		req.Type = RequestStartDrain
	case a.response.Stage == StageDrained && a.draining:
		req.Type = RequestStartWork
	case a.response.Stage == StageOut && !a.inWork && !a.remote:
		req.Type = RequestFinishWork
	}
	return req
}

// HandleResponse handles the response to a request sent after sentAt, and returns the action to
// take.
func (a *Agent) HandleResponse(now, sentAt time.Duration, response Response) Action {
	switch {
	case response.Host == "" || sentAt < a.responseSentAt || now >= sentAt+response.TTL ||
		(response.FencingToken != 0 && response.FencingToken < a.response.FencingToken):
		return a.CheckTimeout(now) // expired or overtaken
	case response.Stage.isHeld() && response.Nonce != a.nonce:
		// Another process of this host has requested the lease since.
		a.registered = false
		a.response, a.responseSentAt = response, sentAt
		return a.undrain()
	}
	a.registered, a.response, a.responseSentAt = true, response, sentAt
	a.inWork = a.inWork && response.Stage == StageOut
	switch {
	case response.Stage.isHeld() && response.FencingToken <= a.abandonedToken:
		// The machine was undrained; the next request confirms it.
	case response.Stage == StageDraining || response.Stage == StageDrained:
		if !a.draining {
			a.draining = true
			return ActionDrain
		}
	case response.Stage == StageOut && a.draining:
		a.draining, a.inWork = false, true
		return ActionLeave
	case response.Stage == StageRecalled:
		a.abandonedToken = response.FencingToken
		return a.undrain()
	default:
		return a.undrain()
	}
	return ActionNone
}

// CheckTimeout makes a draining machine undrain if the last response has expired. The caller has to
// call it at short intervals, and before anything else after the process may have been paused.
func (a *Agent) CheckTimeout(now time.Duration) Action {
	if a.draining && now >= a.responseSentAt+responseTTL {
		a.abandonedToken = a.response.FencingToken
		return a.undrain()
	}
	return ActionNone
}

// undrain ends a drain.
func (a *Agent) undrain() Action {
	if !a.draining {
		return ActionNone
	}
	a.draining, a.abandonedToken = false, max(a.abandonedToken, a.response.FencingToken)
	return ActionUndrain
}
