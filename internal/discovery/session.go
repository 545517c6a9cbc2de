package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maxOpenCalls is the maximum number of calls open at once: a stalled watch and two in parallel with it.
const maxOpenCalls = 3

// session watches at one address. A stalled call stays open while others are made in parallel: the first of them that
// receives something becomes the only watch.
type session struct {
	*Watcher
	ctx           context.Context
	calls         sync.WaitGroup
	events        chan event
	openCalls     []*call // oldest first
	latest        *call
	callTimer     *time.Timer // fires when the next call is due
	degradedTimer *time.Timer // fires when missed updates count as received
}

// newSession returns a session that makes its first call after firstDelay.
func newSession(ctx context.Context, w *Watcher, firstDelay time.Duration) *session {
	w.rejected = false
	return &session{Watcher: w, ctx: ctx, events: make(chan event), callTimer: time.NewTimer(firstDelay),
		degradedTimer: time.NewTimer(time.Until(w.pace.staleAt))}
}

// run watches until the session's context ends, and waits for the end of its calls.
func (s *session) run() {
	defer s.calls.Wait()
	defer func() { s.cancelCalls(s.openCalls...) }()
	defer s.callTimer.Stop()
	defer s.degradedTimer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.callTimer.C:
			s.openCall()
		case <-s.degradedTimer.C:
			s.updateDegraded()
		case e := <-s.events:
			s.handle(e)
		}
	}
}

// cancelCalls cancels calls.
func (s *session) cancelCalls(calls ...*call) {
	for _, c := range calls {
		c.cancel(context.Canceled)
	}
}

// openCall makes the first call, or another one in parallel with those that are stalled.
func (s *session) openCall() {
	if len(s.openCalls) > 0 {
		slog.Warn("discovery: watch stalled, opening another", "rev", s.rev, "open", len(s.openCalls))
		if s.openCalls[len(s.openCalls)-1] == s.latest { // else the latest has ended, and an older stalled one is open
			s.rejected = false
			s.updateDegraded()
		}
	}
	if len(s.openCalls) == maxOpenCalls {
		s.cancelCalls(s.openCalls[0])
		s.openCalls = s.openCalls[1:]
	}
	s.latest = s.startCall()
	s.openCalls = append(s.openCalls, s.latest)
	s.callTimer.Reset(s.pace.parallelCallDelay(time.Now()))
}

// handle applies what a call reports.
func (s *session) handle(e event) {
	i := slices.Index(s.openCalls, e.call)
	if i < 0 {
		return // the call has been canceled
	}
	if e.err == nil && e.update != nil {
		if err := s.apply(*e.update, e.list); err != nil {
			e.err = unusableError{s.listError(e, err)}
		}
	}
	switch {
	case e.err != nil:
		s.callEnded(i, e)
	case e.progress:
		s.keepOnly(e.call)
	default:
		s.recordProgress(e.call)
	}
}

// keepOnly makes a call the only watch and cancels the others. It does not reset the progress deadline, since progress
// within an update does not yet show which updates were missed.
func (s *session) keepOnly(kept *call) {
	for _, c := range s.openCalls {
		if c != kept {
			s.cancelCalls(c)
		}
	}
	s.openCalls = []*call{kept}
	s.callTimer.Reset(s.pace.stallDelay())
}

// recordProgress records an update or a heartbeat of a call, which becomes the only watch.
func (s *session) recordProgress(c *call) {
	c.received = true
	s.pace.recordProgress(time.Now())
	s.keepOnly(c)
	s.degradedTimer.Reset(progressTimeout)
	s.rejected, s.unusable = false, false
	s.updateDegraded()
}

// callEnded records the end of the call openCalls[i]. It cancels the call if its update can't be used.
func (s *session) callEnded(i int, e event) {
	slog.Warn("discovery: watch ended", "rev", s.rev, "received", e.call.received, "error", e.err)
	s.cancelCalls(e.call)
	s.notifyDropped(e.err)
	var timeout net.Error
	s.rejected = !errors.As(e.err, &timeout) || !timeout.Timeout()
	if _, ok := errors.AsType[unusableError](e.err); ok {
		s.unusable = true
	}
	s.updateDegraded()
	newest := i == len(s.openCalls)-1
	s.openCalls = slices.Delete(s.openCalls, i, i+1)
	if newest {
		s.callTimer.Reset(s.nextCallDelay(e.call, !s.rejected) + unusableDelay(e.err))
	}
}

// delayPerEntry is added to the delay after an unusable message for each entry that was read of it. Reading an entry
// costs some 10 us, and discovery is likely to send the same message again.
const delayPerEntry = 100 * time.Microsecond

// unusableDelay returns the delay added after an unusable message, which bounds the share of time spent on such
// messages. It is 0 for a truncated or stalled message, which may be complete the next time.
func unusableDelay(err error) time.Duration {
	dropped, ok := errors.AsType[*ListError](err)
	if _, truncated := errors.AsType[*TruncatedError](err); !ok || truncated {
		return 0
	}
	if _, stalled := errors.AsType[*StalledError](err); stalled {
		return 0
	}
	return time.Duration(dropped.Entries) * delayPerEntry
}

// nextCallDelay returns the delay from the end of the newest call to the next one. A call that timed out while it was
// connecting has waited long enough and cost discovery nothing.
func (s *session) nextCallDelay(c *call, timedOut bool) time.Duration {
	now := time.Now()
	if timedOut {
		return s.pace.reconnectDelay()
	}
	// If discovery ends each watch soon after its answer, it is called as rarely as if it were overloaded.
	if c.received && now.Sub(c.startedAt) >= minCallInterval {
		return s.pace.reconnectDelay()
	}
	return s.pace.retryDelay(now)
}

// startCall requests the changes since the cached list, or the complete list if there is none.
func (s *session) startCall() *call {
	url := s.url
	if s.rev != noRev {
		url += "&from=" + strconv.FormatInt(s.rev, 10)
	}
	ctx, cancel := context.WithCancelCause(s.ctx)
	c := &call{startedAt: time.Now(), cancel: cancel}
	emit := func(e event) bool {
		e.call = c
		select {
		case s.events <- e:
			return true
		case <-ctx.Done():
			return false
		}
	}
	s.calls.Go(func() {
		err := s.follow(ctx, s.client, url, cancel, emit)
		select {
		case s.events <- event{call: c, err: err}:
		case <-s.ctx.Done():
		}
	})
	return c
}
