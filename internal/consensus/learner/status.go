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
	statusInterval     = 4 * time.Second       // between two reports of a node, where nothing has changed
	statusDelay        = 50 * time.Millisecond // for which changes are gathered
	maxStatusAge       = 15 * time.Second      // of a report; a node that is not heard for so long is not counted
	maxReportingNodes  = 256                   // that report to this one
	maxVersionCounts   = 8                     // versions and reasons in a report
	maxVersionFailures = 6                     // in a report
	maxFailureBytes    = 100                   // of one
)

// VersionCount is how many nodes go by a version, or by none for a reason.
type VersionCount struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Reason rules.Reason
	Nodes  int
}

// VersionFailure is a node that can't use a version, and why.
type VersionFailure struct {
	_      struct{} `cbor:",toarray"`
	Node   int
	Reason string
}

// FleetStatus is how the nodes of a part of the fleet are. At the leader it is all that report. It is encoded as a CBOR map
// by the names in its tags, which may not change.
type FleetStatus struct {
	Versions []VersionCount   `cbor:"By"`
	Failures []VersionFailure `cbor:"Troubles"`
	Unusable int              `cbor:"Refusing"` // nodes, also those that Failures has no room for
}

type receivedStatus struct {
	receivedAt time.Duration
	status     FleetStatus
}

// statusReports gathers what other nodes report.
type statusReports struct {
	byNode   map[int]receivedStatus
	sendAt   time.Duration // when to report next
	lastSent FleetStatus   // reported
}

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

// flushStatus publishes how all are that report to this node, and reports it to the first grantor.
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

// total adds this node to those that report.
func (r *statusReports) total(l *Learner, now time.Duration) FleetStatus {
	type key struct {
		number uint64
		reason rules.Reason
	}
	acting := l.effective.Load()
	nodes := map[key]int{{acting.Number, acting.Reason}: 1}
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

// ownStatus returns why this node can't use a version, if it can't.
func (l *Learner) ownStatus() FleetStatus {
	err := l.UnusableReason()
	if err == nil {
		return FleetStatus{}
	}
	text := err.Error()
	text = strings.ToValidUTF8(text[:min(len(text), maxFailureBytes)], "")
	return FleetStatus{Unusable: 1, Failures: []VersionFailure{{Node: l.config.NodeIndex, Reason: text}}}
}

// FleetStatus returns how the nodes are that report to this one; at the leader, all. It is safe for concurrent use.
func (l *Learner) FleetStatus() FleetStatus { return *l.fleetStatus.Load() }
