package ratelimit

import "time"

// Receive takes a message. One of a process that is not live is dropped; what comes twice is applied once.
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
			l.scheduleSend(m.Sender, now) // so that the ages of its reports are known
		}
	}
}

// receiveConsumptions applies transfers and consumption, each once, and has them acknowledged.
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
			if isNew { // the sender does not know of the owner's change yet
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

// applyTransfers takes over buckets. The refill while they were on their way is left out.
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

// receiveReports takes reports by their ages, and has them forwarded where this node is a relay.
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

// receiveLevel takes a level of a tenant, less own consumption that the owner may not have applied yet.
func (l *Limiter) receiveLevel(r LevelReport, validAt, now time.Duration) {
	t := l.tenant(r.Tenant, now)
	newer := !t.cached.known || validAt > t.cached.validAt
	t.cached.Update(float64(r.Tokens), validAt)
	// A tenant whose quota is not known here was reported because its bucket is low.
	t.cached.reportedLow = t.quota.Burst == 0 || float64(r.Tokens) < lowFraction*t.quota.Burst
	if newer {
		l.deductUnacknowledged(t)
	}
}

// forward queues what has come to a relay with a number of hops where it goes on from.
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
