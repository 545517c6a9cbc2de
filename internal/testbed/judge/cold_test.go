package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// Only a fall of which over two thirds came from nodes that had been told of the start breaks the
// rule, and only the first such; a node is told what its agent has.
func TestColdFallsAreTheNodesDoingOnlyWhereTheyWereTold(t *testing.T) {
	const start, s = 10 * time.Second, time.Second
	told := [][]record.Told{ // by node
		{{Change: start, Had: start + 3*s, At: start + 3*s, Kind: "up"}},
		{{Change: start, Had: start + 6*s, At: record.Never, Kind: "up"}},
		{{Change: start - 3*s, Had: start - 3*s, At: start - 3*s, Kind: "up"}}, // of the process before
	}
	fall := func(after time.Duration, nodes ...int) record.Fall {
		f := record.Fall{Since: start, At: start + after}
		for _, n := range nodes {
			f.Sends = append(f.Sends, record.Send{Node: n, At: start + after, Work: 1})
		}
		return f
	}
	for _, x := range []struct {
		name   string
		falls  []record.Fall
		broken int
	}{
		{"all had been told", []record.Fall{fall(4*s, 0, 0, 0)}, 1},
		{"two thirds", []record.Fall{fall(4*s, 0, 0, 1)}, 0},
		{"three quarters", []record.Fall{fall(4*s, 0, 0, 0, 1)}, 1},
		{"told after the sends", []record.Fall{fall(2*s, 0, 0)}, 0},
		{"told of an earlier start", []record.Fall{fall(4*s, 2)}, 0},
		{"the agent had it, and nobody asked", []record.Fall{fall(7*s, 1)}, 1},
		{"the second is theirs, the third follows from it", []record.Fall{fall(4*s, 1), fall(4*s, 0), fall(4*s, 0)}, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := record.NewBook()
			b.Fallen = x.falls
			for node := range told {
				b.Told[record.Pair{Node: node}] = told[node]
			}
			v := &Verdict{Broken: map[string][]string{}, Count: map[string]int{}}
			(&judge{&scenario.Day{File: &scenario.File{}}, b, v}).cold()
			assert.Equal(t, x.broken, v.Count["cold"])
		})
	}
}
