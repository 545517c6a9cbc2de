package judge

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// What was never sent on and failed counts as refused, also where its new connection was closed with
// no answer; beyond one such close in 200 requests, or once it was sent on, it is lost.
func TestClosesWithNoAnswer(t *testing.T) {
	sent := []*record.Attempt{{}}
	for _, x := range []struct {
		name          string
		closed        int
		try           record.Try
		refused, lost bool
	}{
		{"one in 200", 1, record.Try{End: record.Broken, Fresh: true}, true, false},
		{"two in 200", 2, record.Try{End: record.Broken, Fresh: true}, true, true},
		{"sent on before", 1, record.Try{End: record.Broken, Fresh: true, Attempts: sent}, false, true},
		{"on a connection used before", 1, record.Try{End: record.Broken}, false, true},
		{"by the death of its node", 2, record.Try{End: record.Broken, Fresh: true, NodeKilled: true}, false, false},
		{"answered as failed", 9, record.Try{End: record.Answered, Status: 502}, true, false},
		{"answered as failed once sent on", 9, record.Try{End: record.Answered, Status: 502, Attempts: sent}, false, false},
	} {
		b := record.NewBook()
		for i := range 200 {
			t := &record.Try{End: record.Answered, Status: 200, Genuine: true, Attempts: sent}
			if i < x.closed {
				t = &x.try
			}
			b.Order = append(b.Order, t)
		}
		v := &Verdict{Broken: map[string][]string{}, Count: map[string]int{}}
		(&judge{&scenario.Day{Classes: []scenario.Class{{Effect: "free"}}, File: &scenario.File{}}, b, v}).tries()
		assert.Equal(t, x.lost, v.Count["lost"] > 0, x.name)
		assert.Equal(t, x.refused, refused(&x.try), x.name)
	}
}
