package control

import "time"

// outlierDetector ejects servers after consecutive failures, and raises the cost of servers that fail often
// or that other nodes report as slow.
type outlierDetector struct {
	env     *environment
	servers *serverSet
	traffic *trafficStats
}

// outlierState is the state of the outlier detection for one server.
type outlierState struct {
	consecutiveFailures int
	ejectedUntil        time.Duration                // end of the last ejection
	ejectionTime        time.Duration                // length of the last ejection; 0 once an attempt succeeds
	trialInFlight       bool                         // an attempt that tests an ejected server is in flight
	failureRate         float64                      // average fraction of attempts that failed
	failureRateAt       time.Duration                // time of the last update of failureRate
	rejectsPlanUntil    map[*planQueue]time.Duration // by plan: end of the avoidance after a rejection
	reportedAt          time.Duration                // time at which other nodes reported the server as slow
	reportedUntil       time.Duration                // time at which that report expires
	suspectAt           int                          // 1 + position in serverSet.suspects; 0 if not in it
}

const (
	ejectionFailures  = 3                // consecutive failures that eject a server
	baseEjectionTime  = time.Second      // length of the first ejection
	maxEjectionTime   = 8 * time.Second  // each ejection lasts twice as long as the last one, up to this
	planAvoidanceTime = 15 * time.Second // time for which a server is avoided for a plan that it rejected
	failureRateGain   = 0.15             // gain of the average failure rate
	maxFailureRate    = 0.75             // failure rate above which an error counts as a consecutive failure
	// maxReportedFraction is the fraction of the usable servers that may be reported as slow at once. From there
	// on, reports on other servers are ignored.
	maxReportedFraction = 0.34
	// rebuttalLatencyMultiple is the multiple of the mean latency below which this node's own average latency of
	// a server, observed after a report, rebuts the report.
	rebuttalLatencyMultiple = 2.0
)

// ejected reports whether a server is ejected now.
func (d *outlierDetector) ejected(s *server) bool {
	return s.consecutiveFailures >= ejectionFailures && d.env.now < s.ejectedUntil
}

// recordFailure adds count consecutive failures of the server as a whole, and ejects it once it has
// ejectionFailures of them.
func (d *outlierDetector) recordFailure(s *server, count int) {
	s.consecutiveFailures += count
	s.trialInFlight = false
	if s.consecutiveFailures >= ejectionFailures && d.env.now >= s.ejectedUntil {
		s.ejectionTime = min(max(baseEjectionTime, 2*s.ejectionTime), maxEjectionTime)
		s.ejectedUntil = d.env.now + s.ejectionTime
	}
	d.servers.updateSuspect(s)
}

// recordSuccess resets the failures and the ejection time of a server after a successful attempt.
func (d *outlierDetector) recordSuccess(s *server) {
	s.consecutiveFailures = 0
	s.trialInFlight = false
	s.ejectionTime = 0
	d.recordOutcome(s, 0)
	d.servers.updateSuspect(s)
}

// recordRejection records that a server rejected an attempt. It is avoided for the plan for some time, as
// some servers reject one plan only.
func (d *outlierDetector) recordRejection(s *server, plan *planQueue) {
	d.recordFailure(s, 1)
	s.rejectsPlanUntil[plan] = d.env.now + planAvoidanceTime
}

// recordError records an error or a connection reset. Errors raise the cost of a server before they eject it:
// a server that fails at once would otherwise look idle and attract traffic.
func (d *outlierDetector) recordError(s *server) {
	d.recordOutcome(s, 1)
	if d.failureRate(s) > maxFailureRate {
		d.recordFailure(s, 1)
	}
	d.endTrial(s)
}

// beginTrial records that an attempt at an ejected server tests it.
func (d *outlierDetector) beginTrial(s *server) {
	s.trialInFlight = true
	d.servers.updateSuspect(s)
}

// endTrial records the end of an attempt that is no evidence for or against a server.
func (d *outlierDetector) endTrial(s *server) {
	s.trialInFlight = false
	d.servers.updateSuspect(s)
}

// recordOutcome adds an outcome to the average failure rate: 1 for a failure, 0 for a success.
func (d *outlierDetector) recordOutcome(s *server, failed float64) {
	rate := d.failureRate(s)
	s.failureRate = rate + failureRateGain*(failed-rate)
	s.failureRateAt = d.env.now
}

// failureRate returns the average fraction of a server's attempts that fail. It decays with time, as a server
// that is not chosen has no attempt that could lower it.
func (d *outlierDetector) failureRate(s *server) float64 {
	if s.failureRate == 0 { // shortcut for most servers, as each choice of a server computes the cost of all
		return 0
	}
	return s.failureRate * decay(d.env.since(s.failureRateAt), d.traffic.observationLifetime(d.servers.usable))
}

// onReport records that other nodes found a server to be slow. While maxReportedFraction of the usable
// servers are reported, reports on others are ignored, so that reports never make a node avoid most servers.
func (d *outlierDetector) onReport(e OutlierReport) {
	s := d.servers.byID[e.Server]
	if s == nil {
		return
	}
	reported := d.servers.countSuspects(d.reportedSlow)
	if d.env.now >= s.reportedUntil && reported >= maxReportedFraction*d.servers.usable {
		return
	}
	s.reportedAt = d.env.now
	s.reportedUntil = e.Until
	d.servers.updateSuspect(s)
}

// reportedSlow reports whether other nodes' report on a server is in force: it has not expired, and this
// node's own observations since do not rebut it.
func (d *outlierDetector) reportedSlow(s *server) bool {
	rebutted := s.latencyAt > s.reportedAt && s.latency < rebuttalLatencyMultiple*d.traffic.latency
	return d.env.now < s.reportedUntil && !rebutted
}

// suspect reports whether a server may be ejected, on trial or reported as slow. A report that has expired
// counts until the server's next change.
func (s *server) suspect() bool {
	return s.consecutiveFailures >= ejectionFailures || s.trialInFlight || s.reportedUntil > 0
}

// updateSuspect adds a server to the suspects or removes it, by its state. An expired report is dropped.
func (set *serverSet) updateSuspect(s *server) {
	if s.reportedUntil <= set.env.now {
		s.reportedUntil = 0
	}
	switch {
	case !s.suspect():
		set.removeSuspect(s)
	case s.suspectAt == 0:
		set.suspects = append(set.suspects, s)
		s.suspectAt = len(set.suspects)
	}
}

// removeSuspect removes a server from the suspects, if it is one of them.
func (set *serverSet) removeSuspect(s *server) {
	if s.suspectAt == 0 {
		return
	}
	last := len(set.suspects) - 1
	set.suspects[s.suspectAt-1] = set.suspects[last]
	set.suspects[s.suspectAt-1].suspectAt = s.suspectAt
	set.suspects[last] = nil
	set.suspects = set.suspects[:last]
	s.suspectAt = 0
}

// countSuspects returns the number of suspects that satisfy a condition.
func (set *serverSet) countSuspects(condition func(*server) bool) float64 {
	set.examined += uint64(len(set.suspects))
	n := 0.0
	for _, s := range set.suspects {
		if condition(s) {
			n++
		}
	}
	return n
}

// AvoidedServers returns, for the operators' metrics, the number of usable servers that are avoided while
// there is another: those ejected, with a trial attempt in flight, or reported as slow. A report counts until
// it expires, even if this node's own observations rebut it. The call changes no decision.
func (c *Controller) AvoidedServers(now time.Duration) int {
	avoided := func(s *server) bool {
		ejected := s.consecutiveFailures >= ejectionFailures && now < s.ejectedUntil
		return s.usable() && (s.trialInFlight || ejected || now < s.reportedUntil)
	}
	return int(c.servers.countSuspects(avoided))
}
