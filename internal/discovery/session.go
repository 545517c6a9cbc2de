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

// callsMost is how many calls are open at once: a stalled watch and two beside it.
const maxOpenCalls = 3

// session watches at one address. A stalled call stays open while others are made beside it: the first
// of them that brings something is the watch from then on.
type session struct {
	*Watcher
	ctx           context.Context
	calls         sync.WaitGroup
	events        chan event
	openCalls     []*call // oldest first
	latest        *call
	callTimer     *time.Timer // when the next call is made
	degradedTimer *time.Timer // when what was missed counts as received
}

func newSession(ctx context.Context, w *Watcher, firstDelay time.Duration) *session {
	w.rejected = false
	return &session{Watcher: w, ctx: ctx, events: make(chan event), callTimer: time.NewTimer(firstDelay),
		degradedTimer: time.NewTimer(time.Until(w.pace.receivedBy))}
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

// cancelCalls ends calls.
func (s *session) cancelCalls(calls ...*call) {
	for _, c := range calls {
		c.cancel(context.Canceled)
	}
}

// openCall makes a call beside those that are stalled, or the first one.
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
		return // it was dropped
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

// keepOnly makes a call the only watch and cancels the others. Progress within an update says nothing yet of what was
// missed.
func (s *session) keepOnly(kept *call) {
	for _, c := range s.openCalls {
		if c != kept {
			s.cancelCalls(c)
		}
	}
	s.openCalls = []*call{kept}
	s.callTimer.Reset(s.pace.stallDelay())
}

// progress takes an update or a heartbeat of a call, which is the only watch from now on.
func (s *session) recordProgress(c *call) {
	c.received = true
	s.pace.recordProgress(time.Now())
	s.keepOnly(c)
	s.degradedTimer.Reset(progressTimeout)
	s.rejected, s.unusable = false, false
	s.updateDegraded()
}

// ended takes the end of the call open[i], or ends it where its update can't be used.
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

// entryPause is what a message that can't be used adds to the pause for each entry that was read of it. To
// read one costs some 10 us, and the same message is likely to come again.
const delayPerEntry = 100 * time.Microsecond

// uselessPause bounds the part of the time that is spent on messages that can't be used. One that was cut
// off may be whole the next time, and adds none.
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

// pause returns how long after the end of the newest call another one is made. A call whose connection did not open in
// time has waited long enough, and cost discovery nothing.
func (s *session) nextCallDelay(c *call, timedOut bool) time.Duration {
	now := time.Now()
	if timedOut {
		return s.pace.reconnectDelay()
	}
	// A discovery that answers and ends each time is called as rarely as one that is overloaded.
	if c.received && now.Sub(c.startedAt) >= minCallInterval {
		return s.pace.reconnectDelay()
	}
	return s.pace.retryDelay(now)
}

// call requests the changes since the cached list.
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
