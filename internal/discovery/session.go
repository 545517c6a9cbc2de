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
	ctx    context.Context
	calls  sync.WaitGroup
	events chan event
	open   []*call // oldest first
	latest *call
	wake   *time.Timer // when the next call is made
	bound  *time.Timer // when what was missed counts as received
}

func newSession(ctx context.Context, w *Watcher, first time.Duration) *session {
	w.rejected = false
	return &session{Watcher: w, ctx: ctx, events: make(chan event), wake: time.NewTimer(first),
		bound: time.NewTimer(time.Until(w.pace.receivedBy))}
}

// run watches until the session's context ends, and waits for the end of its calls.
func (s *session) run() {
	defer s.calls.Wait()
	defer func() { s.cancelCalls(s.open...) }()
	defer s.wake.Stop()
	defer s.bound.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake.C:
			s.openCall()
		case <-s.bound.C:
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
	if len(s.open) > 0 {
		slog.Warn("discovery: watch stalled, opening another", "rev", s.rev, "open", len(s.open))
		if s.open[len(s.open)-1] == s.latest { // else the latest has ended, and an older stalled one is open
			s.rejected = false
			s.updateDegraded()
		}
	}
	if len(s.open) == maxOpenCalls {
		s.cancelCalls(s.open[0])
		s.open = s.open[1:]
	}
	s.latest = s.call()
	s.open = append(s.open, s.latest)
	s.wake.Reset(s.pace.parallelCallDelay(time.Now()))
}

// handle applies what a call reports.
func (s *session) handle(e event) {
	i := slices.Index(s.open, e.from)
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
		s.ended(i, e)
	case e.progress:
		s.keepOnly(e.from)
	default:
		s.progress(e.from)
	}
}

// keepOnly makes a call the only watch and cancels the others. Progress within an update says nothing yet of what was
// missed.
func (s *session) keepOnly(from *call) {
	for _, c := range s.open {
		if c != from {
			s.cancelCalls(c)
		}
	}
	s.open = []*call{from}
	s.wake.Reset(s.pace.stallDelay())
}

// progress takes an update or a heartbeat of a call, which is the only watch from now on.
func (s *session) progress(from *call) {
	from.received = true
	s.pace.progress(time.Now())
	s.keepOnly(from)
	s.bound.Reset(progressDeadline)
	s.rejected, s.unusable = false, false
	s.updateDegraded()
}

// ended takes the end of the call open[i], or ends it where its update can't be used.
func (s *session) ended(i int, e event) {
	slog.Warn("discovery: watch ended", "rev", s.rev, "received", e.from.received, "error", e.err)
	s.cancelCalls(e.from)
	s.notifyDropped(e.err)
	var timeout net.Error
	s.rejected = !errors.As(e.err, &timeout) || !timeout.Timeout()
	if _, ok := errors.AsType[unusableError](e.err); ok {
		s.unusable = true
	}
	s.updateDegraded()
	last := i == len(s.open)-1
	s.open = slices.Delete(s.open, i, i+1)
	if last {
		s.wake.Reset(s.pause(e.from, !s.rejected) + unusablePause(e.err))
	}
}

// entryPause is what a message that can't be used adds to the pause for each entry that was read of it. To
// read one costs some 10 us, and the same message is likely to come again.
const entryPause = 100 * time.Microsecond

// uselessPause bounds the part of the time that is spent on messages that can't be used. One that was cut
// off may be whole the next time, and adds none.
func unusablePause(err error) time.Duration {
	dropped, ok := errors.AsType[*ListError](err)
	if _, truncated := errors.AsType[*TruncatedError](err); !ok || truncated {
		return 0
	}
	if _, stalled := errors.AsType[*StalledError](err); stalled {
		return 0
	}
	return time.Duration(dropped.Entries) * entryPause
}

// pause returns how long after the end of the newest call another one is made. A call whose connection did not open in
// time has waited long enough, and cost discovery nothing.
func (s *session) pause(c *call, unanswered bool) time.Duration {
	now := time.Now()
	if unanswered {
		return s.pace.reconnectDelay()
	}
	// A discovery that answers and ends each time is called as rarely as one that is overloaded.
	if c.received && now.Sub(c.startedAt) >= callInterval {
		return s.pace.reconnectDelay()
	}
	return s.pace.retryDelay(now)
}

// call requests the changes since the cached list.
func (s *session) call() *call {
	url := s.url
	if s.rev != noRev {
		url += "&from=" + strconv.FormatInt(s.rev, 10)
	}
	life, end := context.WithCancelCause(s.ctx)
	c := &call{startedAt: time.Now(), cancel: end}
	emit := func(e event) bool {
		e.from = c
		select {
		case s.events <- e:
			return true
		case <-life.Done():
			return false
		}
	}
	s.calls.Go(func() {
		err := s.read(life, s.client, url, end, emit)
		select {
		case s.events <- event{from: c, err: err}:
		case <-s.ctx.Done():
		}
	})
	return c
}
