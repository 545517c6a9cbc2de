package judge

import (
	"cmp"
	"slices"
	"time"

	"sloestile/internal/testbed/record"
)

// The clock of the list.
const (
	silentMost = 6 * time.Second // after a watch fell silent, what it missed counts as told
	movedMost  = 4 * time.Second // after SIGHUP, what the agent has at its new address does
	askedMost  = 6 * time.Second // after the agent had it, where lists are asked for
)

// told gives when a change counts as told to the process of a node that began at since. What the
// agent has counts at once, from the process's first moment, whether or not a watch is open; only
// where a watch fell silent unseen, where the agent has just moved, or where lists are asked for it
// counts when it is written, and at the latest some time after.
func (j *judge) told(node int, since time.Duration, x record.Told) time.Duration {
	had := max(x.Had, since)
	at := had
	if had == record.Never {
		return at
	}
	unless := func(by time.Duration) { at = max(at, min(x.At, by)) }
	if j.day.File.Discovery.Asked {
		unless(had + askedMost)
	}
	for _, s := range j.book.Silent[node] {
		mended := slices.ContainsFunc(j.book.Answered[node], func(a time.Duration) bool { return a > s && a <= had })
		if s >= since && s <= had && !mended {
			unless(s + silentMost)
		}
	}
	for _, m := range j.book.Moved[node] {
		if m >= since && m <= had {
			unless(m + movedMost)
		}
	}
	return at
}

// counted is a change with the time at which it counts as told.
type counted struct {
	record.Told
	at time.Duration
}

// order gives the changes of a server as the process of a node that began at since is told them.
func (j *judge) order(node, server int, since time.Duration) []counted {
	var all []counted
	for _, x := range j.book.Told[record.Pair{Node: node, Server: server}] {
		all = append(all, counted{x, j.told(node, since, x)})
	}
	slices.SortStableFunc(all, func(a, b counted) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.Had, b.Had))
	})
	return all
}

// started is when the process of a node that ran at a time began.
func (j *judge) started(node int, at time.Duration) time.Duration {
	from := time.Duration(-1 << 62)
	for _, r := range j.book.Runs {
		if r.Node == node && r.From <= at {
			from = max(from, r.From)
		}
	}
	return from
}
