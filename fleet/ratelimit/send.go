package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Flush returns the messages that are due. It is called at the time that NextFlush returns; if it is called later by
// more than suspendThreshold, a quiet period begins.
func (l *Limiter) Flush(now time.Duration) []Outgoing {
	if l.flushAt >= 0 && now > l.flushAt+suspendThreshold {
		// The process was suspended: messages received meanwhile have not been read, and may report that a bucket is
		// low.
		l.quietUntil = now + ReportLifetime/2
	}
	l.flushAt = -1
	var out []Outgoing
	out = l.publish(now, out)
	out = l.relayReports(now, out)
	for _, node := range slices.Sorted(maps.Keys(l.activeLinks)) {
		out = l.flushLink(node, l.activeLinks[node], now, out)
	}
	return out
}

// flushLink appends to out the messages due to one node: an unacknowledged one to be sent again, and a new one.
func (l *Limiter) flushLink(node int, link *peerLink, now time.Duration, out []Outgoing) []Outgoing {
	if link.unacknowledged != nil && now >= link.unacknowledgedSentAt+resendInterval {
		l.Counts.Resent++
		link.unacknowledgedSentAt = now
		resent := *link.unacknowledged
		resent.ConsumptionAge = milliseconds(now - link.oldestConsumptionAt)
		out = append(out, l.addHeader(node, &resent, now))
	}
	if link.sendAt >= 0 && link.sendAt <= now {
		out = append(out, l.sendPending(node, link, now))
	}
	if link.unacknowledged != nil {
		l.scheduleFlush(link.unacknowledgedSentAt + resendInterval)
	}
	if link.sendAt >= 0 {
		l.scheduleFlush(link.sendAt)
	} else if link.unacknowledged == nil {
		delete(l.activeLinks, node)
	}
	return out
}

// sendPending returns a message with the acknowledgement, if one is due, and with the pending consumption and
// transfers, unless earlier ones are unacknowledged. With neither, the message serves for its number and echo only.
func (l *Limiter) sendPending(node int, link *peerLink, now time.Duration) Outgoing {
	link.sendAt = -1
	m := &Message{}
	if link.ackDue {
		link.addAcknowledgement(m, now)
	}
	if link.unacknowledged == nil && link.hasPending() {
		l.sequence++
		m.Sequence = l.sequence
		link.addConsumptions(m, now)
		if link.hasPending() {
			l.scheduleSend(node, now+batchInterval)
		}
	}
	return l.addHeader(node, m, now)
}

// addAcknowledgement adds the sequence number that was applied last, and the levels of the tenants concerned.
func (p *peerLink) addAcknowledgement(m *Message, now time.Duration) {
	m.Acknowledged = p.appliedSequence
	p.ackDue = false
	for _, key := range slices.Sorted(maps.Keys(p.ackLevels)) {
		t := p.ackLevels[key]
		if t.bucket == nil || len(m.Levels) >= maxAckLevels {
			continue
		}
		m.Levels = append(m.Levels, LevelReport{
			Tenant: key,
			First:  t.nodes.First,
			Count:  t.nodes.Count,
			Tokens: float32(t.bucket.Level(now)),
		})
	}
	clear(p.ackLevels)
}

// addConsumptions moves as many transfers and consumptions as fit from the link's queues to a message, and keeps a copy
// until they are acknowledged.
func (p *peerLink) addConsumptions(m *Message, now time.Duration) {
	transferCount := min(len(p.transfers), maxConsumptions-maxAckLevels)
	m.Transfers = p.transfers[:transferCount:transferCount]
	p.transfers = p.transfers[transferCount:]
	oldest := now
	for _, key := range slices.Sorted(maps.Keys(p.pending)) {
		if len(m.Consumptions)+transferCount >= maxConsumptions {
			break
		}
		pending := p.pending[key]
		m.Consumptions = append(m.Consumptions, pending.Consumption)
		oldest = min(oldest, pending.consumedAt)
		delete(p.pending, key)
	}
	m.ConsumptionAge = milliseconds(now - oldest)
	if p.oldestProvisionalAt > 0 {
		m.TransferAge = milliseconds(now - p.oldestProvisionalAt)
	}
	if len(p.transfers) == 0 {
		p.oldestProvisionalAt = 0
	}
	p.unacknowledged = &Message{
		Sequence:     m.Sequence,
		Consumptions: m.Consumptions,
		Transfers:    m.Transfers,
		TransferAge:  m.TransferAge,
	}
	p.unacknowledgedSentAt = now
	p.oldestConsumptionAt = oldest
}

// milliseconds returns an age in ms as it is encoded, limited to the range from 0 to maxAgeMillis.
func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, min(maxAgeMillis, d.Milliseconds())))
}

// publish appends to out the reports that this node is due to send as an owner: levels of low buckets, the owner
// report, and its outlier reports. If this node is the relay of its group, it queues them for forwarding instead.
func (l *Limiter) publish(now time.Duration, out []Outgoing) []Outgoing {
	if l.hasLeft {
		l.ownReports = newReportQueue()
		return out
	}
	if now > l.lastConsumptionAt+publishDuration && l.ownReports.isEmpty() {
		return out
	}
	if now < l.publishAt || now < l.quietUntil {
		l.scheduleFlush(max(l.publishAt, l.quietUntil))
		return out
	}
	l.publishAt = now + publishInterval
	l.scheduleFlush(l.publishAt)
	for _, key := range slices.Sorted(maps.Keys(l.lowTenants)) {
		l.reportIfDue(l.lowTenants[key], now)
	}
	l.ownReports.addOwner(l.config.Node, queuedOwner{now, l.maxDistance})
	if l.relay != l.config.Node {
		anyRange := func(NodeRange) bool { return true }
		return l.sendReports(l.ownReports.drain(now), 1, l.relay, anyRange, now, out)
	}
	l.forwardOwnReports(now)
	return out
}

// forwardOwnReports moves the reports of this node, the relay of its group, to the queues for forwarding.
func (l *Limiter) forwardOwnReports(now time.Duration) {
	for tenant, level := range l.ownReports.levels {
		l.forward(1, func(q *reportQueue) { q.addLevel(tenant, level) }, now)
	}
	for key, reportedAt := range l.ownReports.outlierReports {
		l.forward(1, func(q *reportQueue) { q.addOutlierReport(key, reportedAt) }, now)
	}
	l.forward(1, func(q *reportQueue) { q.addOwner(l.config.Node, queuedOwner{now, l.maxDistance}) }, now)
	l.ownReports = newReportQueue()
}

// relayReports appends to out the reports that this node forwards as a relay, to the other relays and to the nodes of
// its group.
func (l *Limiter) relayReports(now time.Duration, out []Outgoing) []Outgoing {
	if l.relayAt == 0 {
		return out
	}
	if now < l.relayAt {
		l.scheduleFlush(l.relayAt)
		return out
	}
	l.relayAt = 0
	toRelays := l.toRelays.drain(now)
	toGroup := l.toGroup.drain(now)
	for group, relay := range l.relayGroups.relays {
		if relay >= 0 && relay != l.config.Node {
			inGroup := func(nodes NodeRange) bool { return l.relayGroups.overlaps(nodes, group) }
			out = l.sendReports(toRelays, 2, relay, inGroup, now, out)
		}
	}
	for _, node := range l.groupMembers {
		forNode := func(nodes NodeRange) bool { return nodes.contains(node, l.config.FleetSize) }
		out = l.sendReports(toGroup, lastHop, node, forNode, now, out)
	}
	return out
}

// sendReports appends to out the messages that carry a batch of reports to a node; each fits a datagram. They hold all
// outlier reports of the batch, and the levels and owner reports whose node range satisfies concerns.
func (l *Limiter) sendReports(batch reportBatch, hop, to int, concerns func(NodeRange) bool, now time.Duration, out []Outgoing) []Outgoing {
	var levels []LevelReport
	for _, r := range batch.levels {
		if concerns(NodeRange{r.First, r.Count}) {
			levels = append(levels, r)
		}
	}
	var owners []OwnerReport
	for _, r := range batch.owners {
		if concerns(rangeAround(r.Node, r.MaxDistance, l.config.FleetSize)) {
			owners = append(owners, r)
		}
	}
	// Outlier reports are sent first, in messages of their own. Levels precede the owner reports, which state that all
	// low levels have been reported.
	outlierReports := batch.outlierReports
	for len(levels)+len(owners)+len(outlierReports) > 0 {
		m := &Message{Hop: hop}
		switch {
		case len(outlierReports) > 0:
			m.OutlierReports, outlierReports = split(outlierReports, maxOutlierReports)
		case len(levels) > maxLevels:
			m.Levels, levels = split(levels, maxLevels)
		default:
			m.Levels, levels = levels, nil
			m.Owners, owners = split(owners, maxOwners)
		}
		out = append(out, l.addHeader(to, m, now))
	}
	return out
}

// split returns the first n elements of a list, or all if there are fewer, and the rest.
func split[T any](list []T, n int) (first, rest []T) {
	n = min(n, len(list))
	return list[:n], list[n:]
}

// addHeader numbers a message to a node and sets its sender and echo.
func (l *Limiter) addHeader(node int, m *Message, now time.Duration) Outgoing {
	link := l.link(node)
	link.number++
	link.number = cmp.Or(link.number, 1)
	link.sentAt[link.number%maxSendTimes] = now
	link.hasSent = true
	link.lastSentAt = now
	m.Sender = l.config.Node
	m.Incarnation = l.config.Incarnation
	m.Number = link.number
	if link.receivedNumber > 0 {
		delay := int64((now - link.receivedAt) / time.Microsecond)
		m.Echo = link.receivedNumber
		m.EchoIncarnation = uint32(link.incarnation)
		m.EchoDelay = uint32(min(int64(math.MaxUint32), delay))
	}
	l.Counts.Sent++
	return Outgoing{node, m}
}
