package judge

import (
	"fmt"
	"time"

	"sloestile/internal/testbed/record"
)

// What is still sent for a client that has closed its connection.
const (
	goneSend    = 100 * time.Millisecond // after which no attempt begins
	goneCases   = 3                      // from which on that is a break
	goneWaiting = 300 * time.Millisecond // after which a request that waited for its first attempt counts as sent on
	waitingPart = 1.0 / 4                // of these that may be
	waitingMost = 5                      // from which on more than that is a break
)

// gone finds what was begun for clients that had gone: single attempts, and too large a part of the
// requests that still waited for their first when their clients went.
func (j *judge) gone() {
	var cases []string
	waited, sentOn := 0, 0
	for _, t := range j.book.Order {
		if t.End != record.Left && t.End != record.Unheard {
			continue
		}
		begun, late := false, false
		for _, a := range t.Attempts {
			after := a.First - t.Ended - slack
			if begun = begun || a.First <= t.Ended; after <= goneSend || j.late(a) || j.unheardOf(t, a) {
				continue
			}
			cases = append(cases, fmt.Sprintf("%s: node %d began an attempt at %v, %v after its client went", t.ID, a.Node, a.First, a.First-t.Ended))
			late = late || after > goneWaiting
		}
		if !begun && !t.NodeKilled {
			waited++
			sentOn += int(btof(late))
		}
	}
	for i := goneCases - 1; i < len(cases); i++ {
		j.v.broke("gone", "%s", cases[i])
	}
	if sentOn >= waitingMost && float64(sentOn) > waitingPart*float64(waited) {
		j.v.broke("gone", "%d of %d requests that waited for their first attempt when their clients went were sent on over %v later", sentOn, waited, goneWaiting)
	}
}

// unheardOf tells whether the way from a try's client was cut, so that its node may not know that
// it has gone.
func (j *judge) unheardOf(t *record.Try, a *record.Attempt) bool {
	return j.book.CutWithin(record.Pair{Node: a.Node, Server: record.Front}, t.Ended-settled, a.First)
}
