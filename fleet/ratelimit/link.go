package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// peerLink is the state of the message exchange with one process at another node.
type peerLink struct {
	incarnation uint64 // incarnation of the peer

	number     uint32                      // number of the last message sent
	sentAt     [maxSendTimes]time.Duration // send times, by message number modulo maxSendTimes
	hasSent    bool
	lastSentAt time.Duration

	receivedNumber uint32 // highest number of a message received; 0 means none
	receivedAt     time.Duration

	sendAt              time.Duration                  // time of the next message; negative means none is due
	pending             map[uint64]*pendingConsumption // consumption to be sent, by tenant
	transfers           []Transfer                     // buckets to be sent
	oldestProvisionalAt time.Duration                  // creation time of the oldest provisional transfer; 0 means none

	unacknowledged       *Message // last message with a Sequence, until it is acknowledged; nil means none
	unacknowledgedSentAt time.Duration
	oldestConsumptionAt  time.Duration // time of the oldest consumption in unacknowledged

	appliedSequence uint32 // Sequence of the peer's message that was applied last
	ackDue          bool
	ackLevels       map[uint64]*tenantState // tenants whose levels are sent with the acknowledgement
}

// pendingConsumption is consumption that has not been sent, with the time of the oldest part of it.
type pendingConsumption struct {
	Consumption
	consumedAt time.Duration
}

// link returns the link to a node, which is created at the first call.
func (l *Limiter) link(node int) *peerLink {
	link := l.links[node]
	if link == nil {
		link = &peerLink{
			incarnation: l.incarnations[node],
			number:      l.lastMessageNumbers[node],
			sendAt:      -1,
			pending:     make(map[uint64]*pendingConsumption),
			ackLevels:   make(map[uint64]*tenantState),
		}
		l.links[node] = link
	}
	return link
}

// scheduleSend schedules a message to a node at the given time, unless an earlier one is scheduled, and returns the
// link to the node.
func (l *Limiter) scheduleSend(node int, when time.Duration) *peerLink {
	link := l.link(node)
	if link.sendAt < 0 || when < link.sendAt {
		link.sendAt = when
	}
	l.activeLinks[node] = link
	l.scheduleFlush(when)
	return link
}

// hasPending reports whether there is consumption or a transfer to be sent.
func (p *peerLink) hasPending() bool { return len(p.pending)+len(p.transfers) > 0 }

// undeliveredConsumptions returns the consumption that the peer has not acknowledged, whether it was sent or not.
func (p *peerLink) undeliveredConsumptions() []pendingConsumption {
	var list []pendingConsumption
	if p.unacknowledged != nil {
		for _, c := range p.unacknowledged.Consumptions {
			list = append(list, pendingConsumption{c, p.oldestConsumptionAt})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(p.pending)) {
		list = append(list, *p.pending[key])
	}
	return list
}

// earliestSendTime returns the earliest time, on this node's clock, at which a received message can have been sent: the
// sender had by then held this node's message Echo for EchoDelay. ok is false if the message echoes none of the last
// maxSendTimes messages of this process.
func (p *peerLink) earliestSendTime(m *Message, incarnation uint64) (time.Duration, bool) {
	if m.Echo == 0 || m.EchoIncarnation != uint32(incarnation) || p.number-m.Echo >= maxSendTimes {
		return 0, false
	}
	return p.sentAt[m.Echo%maxSendTimes] + time.Duration(m.EchoDelay)*time.Microsecond, true
}
