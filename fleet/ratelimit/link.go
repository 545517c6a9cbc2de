package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// peerLink is what this node and another one have sent each other.
type peerLink struct {
	incarnation uint64 // of the other process

	number     uint32                      // of the last message to it
	sentAt     [maxSendTimes]time.Duration // by number
	hasSent    bool
	lastSentAt time.Duration

	receivedNumber uint32 // latest number of its messages
	receivedAt     time.Duration

	sendAt              time.Duration // when something is to be sent; below zero is nothing
	pending             map[uint64]*pendingConsumption
	transfers           []Transfer    // to be sent
	oldestProvisionalAt time.Duration // when the oldest inherited bucket of transfers was made; 0 is none

	unacknowledged       *Message // with consumption; nil is none
	unacknowledgedSentAt time.Duration
	oldestConsumptionAt  time.Duration // since when the oldest in unacknowledged waits

	appliedSequence uint32 // of its consumption, last
	ackDue          bool
	ackLevels       map[uint64]*tenantState // whose levels go with the acknowledgement
}

// pendingConsumption is consumption that has not been sent, and since when it waits.
type pendingConsumption struct {
	Consumption
	consumedAt time.Duration
}

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

// sendBy has something sent to a node by a time.
func (l *Limiter) scheduleSend(node int, when time.Duration) *peerLink {
	link := l.link(node)
	if link.sendAt < 0 || when < link.sendAt {
		link.sendAt = when
	}
	l.activeLinks[node] = link
	l.scheduleFlush(when)
	return link
}

// hasPending reports whether consumption or transfers wait to be sent.
func (p *peerLink) hasPending() bool { return len(p.pending)+len(p.transfers) > 0 }

// unacknowledgedConsumptions returns the consumption that the other side has not acknowledged.
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

// sentAtLeastAt returns the earliest time, on this node's clock, at which a message can have been sent: its sender had
// received our number so long before. It is known only for numbers that were sent lately.
func (p *peerLink) earliestSendTime(m *Message, incarnation uint64) (time.Duration, bool) {
	if m.Echo == 0 || m.EchoIncarnation != uint32(incarnation) || p.number-m.Echo >= maxSendTimes {
		return 0, false
	}
	return p.sentAt[m.Echo%maxSendTimes] + time.Duration(m.EchoDelay)*time.Microsecond, true
}
