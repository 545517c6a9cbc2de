package judge

import (
	"time"

	"sloestile/internal/testbed/record"
)

// When a process that was started again has to be ready.
const (
	readySoon = 10 * time.Second // nine in ten
	readyOf   = 10
	readyMost = 30 * time.Second // each
)

// restarts finds nodes that were not ready soon after they were started again. One that ended before,
// or whose clients' link was cut, tells nothing.
func (j *judge) restarts() {
	again := map[int]bool{}
	all, slow := 0, 0
	for _, r := range j.book.Runs {
		if !again[r.Node] { // the play does not begin before all first ones are ready
			again[r.Node] = true
			continue
		}
		took := r.Ready - r.From
		if r.Ready == record.Never {
			took = r.To - r.From
		}
		if took <= readySoon && r.Ready == record.Never || j.book.CutWithin(record.Pair{Node: r.Node, Server: record.Front}, r.From, r.From+took) {
			continue
		}
		if all++; took > readySoon {
			slow++
		}
		if took > readyMost {
			j.v.broke("ready", "node %d, started again at %v, was not ready after %v", r.Node, r.From, readyMost)
		}
	}
	if slow*readyOf > all {
		j.v.broke("ready", "%d of %d nodes that were started again were not ready within %v", slow, all, readySoon)
	}
}
