package maintenance

import "time"

// Act is what an agent has its machine do.
type Act uint8

// The acts.
const (
	Nothing Act = iota
	Drain       // begin the drain
	Undrain     // come back from it, and serve
	Leave       // go out: the process ends, and the work begins
)

func (a Act) String() string { return name(a, "nothing", "drain", "undrain", "leave") }

// Agent is the part of one process that is told of its host's turn, or that takes out a rating server
// in its name. It believes nothing but answers to what this process has asked, and acts on each only
// for as long as it says, counted on the process's own monotonic clock from before it asked. It is
// not safe for concurrent use.
type Agent struct {
	host, name string
	nonce      uint64
	remote     bool
	asked      bool          // the council knows this process
	last       Answer        // the latest that counts
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
func (a *Agent) Next(now time.Duration) Word {
	w := Word{Host: a.host, Name: a.name, Fence: a.last.Fence}
	switch {
	case !a.asked || (a.last.Stage == Waiting && !a.drains):
		w.Verb, w.Nonce, w.Fence = Ask, a.nonce, 0
	case a.last.Stage.holds() && a.last.Fence <= a.ended:
		w.Verb, w.Fence = Here, a.ended
	case a.last.Stage == Granted && now < a.heard+a.last.Left:
		w.Verb = Begin
	case a.last.Stage == Drained && a.drains:
		w.Verb = Go
	case a.last.Stage == Out && !a.out && !a.remote:
		w.Verb = Back
	}
	return w
}

// Hear takes the answer to a word that was sent after asked, and says what to do.
func (a *Agent) Hear(now, asked time.Duration, r Answer) Act {
	switch {
	case r.Host == "" || asked < a.heard || now >= asked+r.Left || (r.Fence != 0 && r.Fence < a.last.Fence):
		return a.Look(now) // too late, or overtaken
	case r.Stage.holds() && r.Nonce != a.nonce: // another process of this host has asked since
		a.asked = false
		a.last, a.heard = r, asked
		return a.stop()
	}
	a.asked, a.last, a.heard = true, r, asked
	a.out = a.out && r.Stage == Out
	switch {
	case r.Stage.holds() && r.Fence <= a.ended: // it has come back, and says so
	case r.Stage == Draining || r.Stage == Drained:
		if !a.drains {
			a.drains = true
			return Drain
		}
	case r.Stage == Out && a.drains:
		a.drains, a.out = false, true
		return Leave
	case r.Stage == Recalled:
		a.ended = r.Fence
		return a.stop()
	default:
		return a.stop()
	}
	return Nothing
}

// Look has a machine that drains come back when it has heard nothing for too long; it is to be
// called now and then, and first of all by a process that may have stood still.
func (a *Agent) Look(now time.Duration) Act {
	if a.drains && now >= a.heard+trust {
		a.ended = a.last.Fence
		return a.stop()
	}
	return Nothing
}

// stop comes back from a drain.
func (a *Agent) stop() Act {
	if !a.drains {
		return Nothing
	}
	a.drains, a.ended = false, max(a.ended, a.last.Fence)
	return Undrain
}
