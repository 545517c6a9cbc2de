package control

import "time"

// outlierDetector ejects servers that fail several times in a row, and raises the cost of those that fail
// often or that other nodes report as slow.
type outlierDetector struct {
	env     *environment
	servers *serverSet
	traffic *trafficStats
}

// outlierState is the evidence against one server.
type outlierState struct {
	consecutiveFailures int
	ejectedUntil        time.Duration
	ejectionTime        time.Duration // length of the last ejection; 0 once an attempt succeeds
	trialInFlight       bool          // an attempt at an ejected server is in flight
	failureRate         float64       // average of attempts that failed
	failureRateAt       time.Duration
	rejectsPlanUntil    map[*planQueue]time.Duration // rejected an attempt of the plan: chosen last until then
	reportedAt          time.Duration                // when other nodes reported it as slow
	reportedUntil       time.Duration                // when that report expires
}

const (
	ejectionFailures        = 3 // consecutive failures that eject a server
	baseEjectionTime        = time.Second
	maxEjectionTime         = 8 * time.Second // each ejection is twice the one before, up to this
	planAvoidanceTime       = 15 * time.Second
	failureRateGain         = 0.15
	maxFailureRate          = 0.75 // from which an error counts as a consecutive failure
	maxReportedFraction     = 0.34 // fraction of the usable servers that may be reported as slow at once
	rebuttalLatencyMultiple = 2.0  // times the mean latency: an own answer below it rebuts a report
)

// ejected reports whether a server is out of use for its failures.
func (d *outlierDetector) ejected(s *server) bool {
	return s.consecutiveFailures >= ejectionFailures && d.env.now < s.ejectedUntil
}

// recordFailure counts failures of the server as a whole, and ejects it after ejectionFailures in a row.
func (d *outlierDetector) recordFailure(s *server, count int) {
	s.consecutiveFailures += count
	s.trialInFlight = false
	if s.consecutiveFailures >= ejectionFailures && d.env.now >= s.ejectedUntil {
		s.ejectionTime = min(max(baseEjectionTime, 2*s.ejectionTime), maxEjectionTime)
		s.ejectedUntil = d.env.now + s.ejectionTime
	}
}

// recordSuccess ends an ejection: an attempt has succeeded.
func (d *outlierDetector) recordSuccess(s *server) {
	s.consecutiveFailures = 0
	s.trialInFlight = false
	s.ejectionTime = 0
	d.recordOutcome(s, 0)
}

// recordRejection records that a server rejected an attempt. Some servers reject one plan only.
func (d *outlierDetector) recordRejection(s *server, plan *planQueue) {
	d.recordFailure(s, 1)
	s.rejectsPlanUntil[plan] = d.env.now + planAvoidanceTime
}

// recordError records an error or a reset. A server that fails at once would look idle and attract traffic,
// so errors raise its cost before they eject it.
func (d *outlierDetector) recordError(s *server) {
	d.recordOutcome(s, 1)
	if d.failureRate(s) > maxFailureRate {
		d.recordFailure(s, 1)
	}
	s.trialInFlight = false
}

// recordOutcome adds an outcome to the average of failures: 1 for a failure, 0 for a success.
func (d *outlierDetector) recordOutcome(s *server, failed float64) {
	rate := d.failureRate(s)
	s.failureRate = rate + failureRateGain*(failed-rate)
	s.failureRateAt = d.env.now
}

// failureRate returns the fraction of a server's attempts that fail. It decays, as a server that is not
// chosen can't improve it.
func (d *outlierDetector) failureRate(s *server) float64 {
	if s.failureRate == 0 { // a shortcut: most servers have none, and each choice looks at all
		return 0
	}
	return s.failureRate * decay(d.env.since(s.failureRateAt), d.traffic.observationLifetime(d.servers.usable))
}

// onReport takes that other nodes found a server slow. Where a third of the servers is reported, further
// reports are ignored, so that reports never take most servers out of use.
func (d *outlierDetector) onReport(e OutlierReport) {
	s := d.servers.byID[e.Server]
	if s == nil {
		return
	}
	if d.env.now >= s.reportedUntil && d.servers.count(d.reportedSlow) >= maxReportedFraction*d.servers.usable {
		return
	}
	s.reportedAt = d.env.now
	s.reportedUntil = e.Until
}

// reportedSlow reports whether other nodes' report on a server is valid and no own answer since rebuts it.
func (d *outlierDetector) reportedSlow(s *server) bool {
	rebutted := s.latencyAt > s.reportedAt && s.latency < rebuttalLatencyMultiple*d.traffic.latency
	return d.env.now < s.reportedUntil && !rebutted
}

// AvoidedServers returns, for the operators' metrics, how many usable servers get nothing now while there is
// another. It changes nothing.
func (c *Controller) AvoidedServers(now time.Duration) int {
	avoided := func(s *server) bool {
		ejected := s.consecutiveFailures >= ejectionFailures && now < s.ejectedUntil
		return s.usable() && (s.trialInFlight || ejected || now < s.reportedUntil)
	}
	return int(c.servers.count(avoided))
}
