package judge

import (
	"time"

	"sloestile/internal/testbed/record"
)

// fallPart is the part of what pushed a cold server over that has to come from nodes that had been
// told of its start, or the fall breaks no rule.
const fallPart = 2.0 / 3

// cold finds the first fall of a cold server that is the nodes' doing. One is enough: what comes
// after it is its consequence.
func (j *judge) cold() {
	for _, f := range j.book.Fallen {
		all, told := 0.0, 0.0
		for _, s := range f.Sends {
			if all += s.Work; j.toldOfStart(s.Node, f.Server, f.Since, s.At) {
				told += s.Work
			}
		}
		if told > fallPart*all {
			j.v.broke("cold", "server %d fell over at %v, %v after its start, under %d requests in %g ms, %.0f%% of their work from nodes told of the start",
				f.Server, f.At, f.At-f.Since, len(f.Sends), j.day.File.Rules.FallMS, 100*told/all)
			return
		}
	}
}

// toldOfStart tells whether a node had been told by a time of a server's start, or counts as told.
func (j *judge) toldOfStart(node, server int, start, by time.Duration) bool {
	since := j.started(node, by)
	for _, x := range j.book.Told[record.Pair{Node: node, Server: server}] {
		if x.Kind == "up" && x.Change >= start && j.told(node, since, x) <= by {
			return true
		}
	}
	return false
}
