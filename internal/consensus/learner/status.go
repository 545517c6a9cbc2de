package learner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"sloestile/fleet/rules"
)

const (
	statusInterval     = 4 * time.Second       // interval of a node's reports while nothing changes
	statusDelay        = 50 * time.Millisecond // delay of a report after a change, so that it carries several changes
	maxStatusAge       = 15 * time.Second      // age at which a received report is dropped
	maxReportingNodes  = 256                   // nodes whose reports this node keeps
	maxVersionCounts   = 8                     // pairs of version and reason in a report
	maxVersionFailures = 6                     // failures in a report
	maxFailureBytes    = 100                   // bytes of the reason of a failure
)

// VersionCount is the number of nodes at which a version is in effect. With Number 0 it is the number of nodes at which
// none is, for the given reason.
type VersionCount struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Reason rules.Reason
	Nodes  int
}

// VersionFailure is the reason why a node can't use a version.
type VersionFailure struct {
	_      struct{} `cbor:",toarray"`
	Node   int      // index of the node
	Reason string
}

// FleetStatus counts the versions in effect at a node and at the nodes that report to it, directly or through others.
// At the leader these are all nodes that report. It is encoded as a CBOR map with the names in its tags, which must not
// change.
type FleetStatus struct {
	Versions []VersionCount   `cbor:"By"`
	Failures []VersionFailure `cbor:"Troubles"`
	Unusable int              `cbor:"Refusing"` // nodes that can't use a version, including those left out of Failures
}

// receivedStatus is the last status that another node has reported, with the time of its arrival by Clock.
type receivedStatus struct {
	receivedAt time.Duration
	status     FleetStatus
}

// statusReports holds the statuses that other nodes have reported to this one.
type statusReports struct {
	byNode   map[int]receivedStatus // by index of the node
	sendAt   time.Duration          // time of this node's next report, by Clock
	lastSent FleetStatus            // status at this node's last report
}

// add stores a report, unless it comes from one node too many or has too many elements.
func (r *statusReports) add(now time.Duration, report *statusReport) {
	_, known := r.byNode[report.Sender]
	if !known && len(r.byNode) >= maxReportingNodes {
		return
	}
	if len(report.Status.Versions) > maxVersionCounts || len(report.Status.Failures) > maxVersionFailures {
		return
	}
	r.byNode[report.Sender] = receivedStatus{now, report.Status}
	r.sendAt = min(r.sendAt, now+statusDelay)
}

// flushStatus publishes the total of this node's status and those reported to it. If a report is due, it sends the
// total to the first grantor; the leader sends none.
func (l *Learner) flushStatus() {
	r := &l.reports
	now := Clock()
	total := r.total(l, now)
	l.fleetStatus.Store(&total)
	if !total.equal(r.lastSent) {
		r.sendAt = min(r.sendAt, now+statusDelay)
	}
	if now < r.sendAt {
		return
	}
	r.sendAt = now + statusInterval
	r.lastSent = total
	grantors := l.grantors()
	if l.leads || len(grantors) == 0 {
		return
	}
	report := statusReport{Sender: l.config.NodeIndex, Incarnation: l.incarnation, Status: total}
	if raw, err := encoder.Marshal(report); err == nil {
		l.send(grantors[0], kindStatus, raw)
	}
}

func (s *FleetStatus) equal(o FleetStatus) bool {
	return s.Unusable == o.Unusable && slices.Equal(s.Versions, o.Versions) && slices.Equal(s.Failures, o.Failures)
}

// total drops outdated reports and returns the sum of this node's status and the remaining reports.
func (r *statusReports) total(l *Learner, now time.Duration) FleetStatus {
	type key struct {
		number uint64
		reason rules.Reason
	}
	effective := l.effective.Load()
	nodes := map[key]int{{effective.Number, effective.Reason}: 1}
	total := l.ownStatus()
	maps.DeleteFunc(r.byNode, func(_ int, s receivedStatus) bool { return now-s.receivedAt > maxStatusAge })
	for _, node := range slices.Sorted(maps.Keys(r.byNode)) {
		status := r.byNode[node].status
		for _, v := range status.Versions {
			nodes[key{v.Number, v.Reason}] += v.Nodes
		}
		total.Unusable += status.Unusable
		total.Failures = append(total.Failures, status.Failures...)
	}
	total.Failures = total.Failures[:min(len(total.Failures), maxVersionFailures)]
	for k, n := range nodes {
		total.Versions = append(total.Versions, VersionCount{Number: k.number, Reason: k.reason, Nodes: n})
	}
	slices.SortFunc(total.Versions, func(a, b VersionCount) int {
		return cmp.Or(cmp.Compare(b.Number, a.Number), cmp.Compare(a.Reason, b.Reason))
	})
	total.Versions = total.Versions[:min(len(total.Versions), maxVersionCounts)]
	return total
}

// ownStatus returns the status of this node alone, without version counts: the failure if it can't use the active or
// the prepared version, else nothing.
func (l *Learner) ownStatus() FleetStatus {
	err := l.UnusableReason()
	if err == nil {
		return FleetStatus{}
	}
	reason := err.Error()
	reason = strings.ToValidUTF8(reason[:min(len(reason), maxFailureBytes)], "")
	return FleetStatus{Unusable: 1, Failures: []VersionFailure{{Node: l.config.NodeIndex, Reason: reason}}}
}

// FleetStatus returns the latest total of this node's status and those reported to it. It is safe for concurrent use.
func (l *Learner) FleetStatus() FleetStatus { return *l.fleetStatus.Load() }
