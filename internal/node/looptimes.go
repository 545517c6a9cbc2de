package node

import (
	"fmt"
	"log/slog"
	"time"

	"sloestile/control"
)

// loopEvent is a function in the queue of the event loop.
type loopEvent struct {
	run      func()
	postedAt time.Time
}

const (
	// slowEventTime is the time from which the log names an event of the loop as slow: while it runs, the loop handles no
	// deadline, response or disconnect.
	slowEventTime       = 100 * time.Millisecond
	loopLogInterval     = 5 * time.Second // interval of the log line, and of the metrics of the longest times
	slowEventLogSpacing = time.Second     // minimum time between two log lines about slow events
)

// loopTimes measures how long events wait for the event loop and how long they take. It is owned by the loop.
type loopTimes struct {
	events       int           // events since the last log line
	slowest      time.Duration // longest event since then
	longestWait  time.Duration // longest wait of an event since then
	nextLogAt    time.Time
	slowLoggedAt time.Time // time of the last log line about a slow event
}

// measure runs an event and measures it. latest is the event that the decision module has handled last.
func (m *loopTimes) measure(event loopEvent, latest *control.Event) {
	begun := time.Now()
	m.longestWait = max(m.longestWait, begun.Sub(event.postedAt))
	event.run()
	took := time.Since(begun)
	m.slowest = max(m.slowest, took)
	m.events++
	if took >= slowEventTime && time.Since(m.slowLoggedAt) >= slowEventLogSpacing {
		m.slowLoggedAt = time.Now()
		slog.Warn("event loop: slow event", "took", took, "waited", begun.Sub(event.postedAt), "latest", fmt.Sprintf("%T", *latest))
	}
}

// publish writes the log line and the metrics of an interval, if it has ended.
func (m *loopTimes) publish(s *stats) {
	now := time.Now()
	if now.Before(m.nextLogAt) {
		return
	}
	if m.events > 0 {
		slog.Info("event loop", "events", m.events, "slowest", m.slowest, "longest_wait", m.longestWait,
			"examined", s.examined.Load(), "unserved", s.unserved.Load())
	}
	s.slowestUS.Store(m.slowest.Microseconds())
	s.longestUS.Store(m.longestWait.Microseconds())
	*m = loopTimes{nextLogAt: now.Add(loopLogInterval), slowLoggedAt: m.slowLoggedAt}
}
