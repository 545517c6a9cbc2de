package ratelimit

import "time"

// Receive processes a message from another node. A message whose sender's incarnation is not the known one is dropped;
// consumption that is received twice is applied once.
func (l *Limiter) Receive(now time.Duration, m *Message) {
	if m.Sender == l.config.Node || m.Incarnation == 0 || m.Incarnation != l.incarnations[m.Sender] {
		l.Counts.UnknownSender++
		return
	}
	l.Counts.Received++
	link := l.link(m.Sender)
	if int32(m.Number-link.receivedNumber) > 0 || link.receivedNumber == 0 {
		link.receivedNumber = m.Number
		link.receivedAt = now
	}
	if link.unacknowledged != nil && m.Acknowledged == link.unacknowledged.Sequence {
		link.unacknowledged = nil
		if link.hasPending() {
			l.scheduleSend(m.Sender, now+batchInterval)
		}
	}
	if m.Sequence > 0 {
		l.receiveConsumptions(link, m, now)
	}
	if len(m.Levels)+len(m.Owners)+len(m.OutlierReports) > 0 {
		l.receiveReports(link, m, now)
		if !link.hasSent || now > link.lastSentAt+echoInterval {
			l.scheduleSend(m.Sender, now) // the sender echoes the number, which gives its reports an age
		}
	}
}

// receiveConsumptions applies the transfers and consumption of a message that is not a duplicate, and schedules an
// acknowledgement in either case.
func (l *Limiter) receiveConsumptions(link *peerLink, m *Message, now time.Duration) {
	link.ackDue = true
	l.scheduleSend(m.Sender, now)
	isNew := int32(m.Sequence-link.appliedSequence) > 0
	if isNew {
		link.appliedSequence = m.Sequence
		l.applyTransfers(m, now)
	} else {
		l.Counts.Duplicates++
	}
	age := time.Duration(m.ConsumptionAge) * time.Millisecond
	for _, c := range m.Consumptions {
		t := l.tenantWithQuota(c.Tenant, c.Plan, NodeRange{c.First, c.Count}, now)
		if t == nil {
			continue
		}
		if l.ownerOf(t, now) != l.config.Node {
			if isNew { // the sender has not seen the change of owner yet
				l.notifyOwner(t, float64(c.Tokens), now-age, now, now+batchInterval)
			}
			continue
		}
		if isNew {
			l.consume(t, float64(c.Tokens), age, now)
		}
		link.ackLevels[t.key] = t
	}
}

// applyTransfers merges the transferred buckets into the ones here. They get no refill for the time in transit.
func (l *Limiter) applyTransfers(m *Message, now time.Duration) {
	age := time.Duration(m.TransferAge) * time.Millisecond
	for _, tr := range m.Transfers {
		t := l.tenantWithQuota(tr.Tenant, tr.Plan, NodeRange{tr.First, tr.Count}, now)
		if t == nil {
			continue
		}
		l.Counts.TransferredIn++
		l.bucketOf(t, now).Merge(float64(tr.Level), float64(tr.Consumed), tr.Provisional, age, now)
		l.consume(t, 0, 0, now)
	}
}

// receiveReports stores the reports that have not expired, and queues them for forwarding if this node is a relay.
// Without an echo their age is unknown and all are dropped.
func (l *Limiter) receiveReports(link *peerLink, m *Message, now time.Duration) {
	sentAt, ok := link.earliestSendTime(m, l.config.Incarnation)
	if !ok || sentAt > now {
		l.Counts.UnknownAge++
		return
	}
	for _, r := range m.Levels {
		validAt := sentAt - time.Duration(r.Age)*time.Millisecond
		if validAt+ReportLifetime < now {
			l.Counts.Expired++
			continue
		}
		l.receiveLevel(r, validAt, now)
		level := queuedLevel{float64(r.Tokens), validAt, NodeRange{r.First, r.Count}}
		l.forward(m.Hop, func(q *reportQueue) { q.addLevel(r.Tenant, level) }, now)
	}
	for _, r := range m.OutlierReports {
		reportedAt := sentAt - time.Duration(r.Age)*time.Millisecond
		if reportedAt+OutlierReportLifetime < now {
			l.Counts.Expired++
			continue
		}
		key := outlierReportKey{Server{r.ServerKey, r.StartedAt}, r.Reporter}
		l.outlierReports.add(key, reportedAt)
		l.forward(m.Hop, func(q *reportQueue) { q.addOutlierReport(key, reportedAt) }, now)
	}
	for _, r := range m.Owners {
		validAt := sentAt - time.Duration(r.Age)*time.Millisecond
		if validAt+ReportLifetime < now {
			l.Counts.Expired++
			continue
		}
		l.ownerReportedAt[r.Node] = max(l.ownerReportedAt[r.Node], validAt)
		l.forward(m.Hop, func(q *reportQueue) { q.addOwner(r.Node, queuedOwner{validAt, r.MaxDistance}) }, now)
	}
}

// receiveLevel updates the cached level of a tenant's bucket from a report, less this node's consumption that the owner
// may not have applied yet.
func (l *Limiter) receiveLevel(r LevelReport, validAt, now time.Duration) {
	t := l.tenant(r.Tenant, now)
	newer := !t.cached.known || validAt > t.cached.validAt
	t.cached.Update(float64(r.Tokens), validAt)
	// If the quota is unknown here, the bucket counts as low: owners report no other ones.
	t.cached.reportedLow = t.quota.Burst == 0 || float64(r.Tokens) < lowFraction*t.quota.Burst
	if newer {
		l.deductUnacknowledged(t)
	}
}

// forward adds a report received on the given hop to the queues from which a relay forwards it on the next hops.
// Reports of hop 0 and of the last hop are not forwarded.
func (l *Limiter) forward(hop int, queue func(*reportQueue), now time.Duration) {
	if hop == 0 || hop == lastHop {
		return
	}
	if hop == 1 {
		queue(&l.toRelays)
	}
	queue(&l.toGroup)
	if l.relayAt == 0 {
		l.relayAt = now + relayInterval
	}
	l.scheduleFlush(l.relayAt)
}
