package maintenance

import "time"

// Act is what an agent has its machine do.
type Action uint8

// The acts.
const (
	ActionNone    Action = iota
	ActionDrain          // begin the drain
	ActionUndrain        // come back from it, and serve
	ActionLeave          // go out: the process ends, and the work begins
)

func (a Action) String() string { return name(a, "nothing", "drain", "undrain", "leave") }

// Agent is the part of one process that is told of its host's turn, or that takes out a rating server
// in its name. It believes nothing but answers to what this process has asked, and acts on each only
// for as long as it says, counted on the process's own monotonic clock from before it asked. It is
// not safe for concurrent use.
type Agent struct {
	host, name string
	nonce      uint64
	remote     bool
	asked      bool          // the council knows this process
	last       Response      // the latest that counts
	heard      time.Duration // before the last answer was asked for
	ended      uint64        // under this number, and those before, it acts no more
	drains     bool          // the machine drains, as it was told to
	out        bool
}

// NewAgent makes the agent of a process, which the caller gives a number of its own, drawn by chance
// and not zero. Remote is an agent that is not on the machine: its start is not the machine's return.
func NewAgent(host, name string, nonce uint64, remote bool) *Agent {
	return &Agent{host: host, name: name, nonce: nonce, remote: remote}
}

// Next is what to say now, to the council's leader; the caller remembers the time before it sent it.
func (a *Agent) NextRequest(now time.Duration) Request {
	w := Request{Host: a.host, Name: a.name, FencingToken: a.last.FencingToken}
	switch {
	case !a.asked || (a.last.Stage == StageWaiting && !a.drains):
		w.Type, w.Nonce, w.FencingToken = RequestAcquire, a.nonce, 0
	case a.last.Stage.holds() && a.last.FencingToken <= a.ended:
		w.Type, w.FencingToken = RequestConfirmUndrain, a.ended
	case a.last.Stage == StageGranted && now < a.heard+a.last.TTL:
		w.Type = RequestStartDrain
	case a.last.Stage == StageDrained && a.drains:
		w.Type = RequestStartWork
	case a.last.Stage == StageOut && !a.out && !a.remote:
		w.Type = RequestFinishWork
	}
	return w
}

// Hear takes the answer to a word that was sent after asked, and says what to do.
func (a *Agent) HandleResponse(now, asked time.Duration, r Response) Action {
	switch {
	case r.Host == "" || asked < a.heard || now >= asked+r.TTL || (r.FencingToken != 0 && r.FencingToken < a.last.FencingToken):
		return a.CheckTimeout(now) // too late, or overtaken
	case r.Stage.holds() && r.Nonce != a.nonce: // another process of this host has asked since
		a.asked = false
		a.last, a.heard = r, asked
		return a.stop()
	}
	a.asked, a.last, a.heard = true, r, asked
	a.out = a.out && r.Stage == StageOut
	switch {
	case r.Stage.holds() && r.FencingToken <= a.ended: // it has come back, and says so
	case r.Stage == StageDraining || r.Stage == StageDrained:
		if !a.drains {
			a.drains = true
			return ActionDrain
		}
	case r.Stage == StageOut && a.drains:
		a.drains, a.out = false, true
		return ActionLeave
	case r.Stage == StageRecalled:
		a.ended = r.FencingToken
		return a.stop()
	default:
		return a.stop()
	}
	return ActionNone
}

// Look has a machine that drains come back when it has heard nothing for too long; it is to be
// called now and then, and first of all by a process that may have stood still.
func (a *Agent) CheckTimeout(now time.Duration) Action {
	if a.drains && now >= a.heard+trust {
		a.ended = a.last.FencingToken
		return a.stop()
	}
	return ActionNone
}

// stop comes back from a drain.
func (a *Agent) stop() Action {
	if !a.drains {
		return ActionNone
	}
	a.drains, a.ended = false, max(a.ended, a.last.FencingToken)
	return ActionUndrain
}
