package share

import (
	"maps"
	"slices"
	"time"
)

// link is what one node and this one have told each other.
type link struct {
	number   uint32
	sentAt   [sentKept]time.Duration // by number
	heard    uint32                  // latest number of theirs
	heardAt  time.Duration
	life     uint64 // of their process
	spokenAt time.Duration
	spoken   bool

	due     time.Duration // when something is to be sent; below zero is nothing
	pending map[uint64]*untold
	hands   []Hand
	made    time.Duration // of the oldest of hands that is of a store made to follow an owner unheard
	flying  *Message      // with uses that are not known to be counted
	flewAt  time.Duration
	since   time.Duration // of the oldest use in it
	counted uint32        // of theirs, last
	ack     bool
	levels  map[uint64]*entry // whose level goes with the word that they were counted
}

// untold is a use that has not been told, and since when it waits.
type untold struct {
	Use
	since time.Duration
}

func (x *Exchange) link(node int) *link {
	l := x.links[node]
	if l == nil {
		l = &link{number: x.numbers[node], life: x.lives[node], due: -1, pending: make(map[uint64]*untold), levels: make(map[uint64]*entry)}
		x.links[node] = l
	}
	return l
}

// dueBy has something sent to a node by a time.
func (x *Exchange) dueBy(node int, when time.Duration) *link {
	l := x.link(node)
	if l.due < 0 || when < l.due {
		l.due = when
	}
	x.busy[node] = l
	x.wakeBy(when)
	return l
}

// unsaid gives the uses that the other side has not said to have counted.
func (l *link) unsaid() (uses []untold) {
	if l.flying != nil {
		for _, u := range l.flying.Uses {
			uses = append(uses, untold{u, l.since})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(l.pending)) {
		uses = append(uses, *l.pending[key])
	}
	return uses
}

// sent gives the earliest time, on this node's clock, at which a message can have been sent: the
// sender had our number so long before. Only a number that was sent of late tells it.
func (l *link) sent(m *Message, life uint64) (time.Duration, bool) {
	if m.Echo == 0 || m.EchoLife != uint32(life) || l.number-m.Echo >= sentKept {
		return 0, false
	}
	return l.sentAt[m.Echo%sentKept] + time.Duration(m.Held)*time.Microsecond, true
}
