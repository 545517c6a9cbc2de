package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// A node that sends to a drained server until its grace ends, counted by the clock of the list, breaks
// nothing; one that is a second late is found.
func TestDrainsCountByTheClockOfTheList(t *testing.T) {
	const s, never = time.Second, record.Never
	for name, x := range map[string]struct {
		had, written         time.Duration
		silent, moved, again []time.Duration // of the watch, the address, the process
		answered             []time.Duration
		asked                bool
		told                 time.Duration
	}{
		"pushed, no watch open":                 {had: 20 * s, written: never, told: 20 * s},
		"discovery is down until 26 s":          {had: 26 * s, written: 27 * s, told: 26 * s},
		"a new process":                         {had: 20 * s, written: 20 * s, again: []time.Duration{24 * s}, told: 24 * s},
		"the watch fell silent":                 {had: 20 * s, written: never, silent: []time.Duration{19 * s}, told: 25 * s},
		"it was opened anew":                    {had: 20 * s, written: 22 * s, silent: []time.Duration{19 * s}, told: 22 * s},
		"it had been, and broke":                {had: 20 * s, written: never, silent: []time.Duration{17 * s}, answered: []time.Duration{19 * s}, told: 20 * s},
		"it was silent for long":                {had: 30 * s, written: never, silent: []time.Duration{19 * s}, told: 30 * s},
		"the silent one was of another process": {had: 22 * s, written: never, silent: []time.Duration{19 * s}, again: []time.Duration{20 * s}, told: 22 * s},
		"after SIGHUP":                          {had: 20 * s, written: never, moved: []time.Duration{19 * s}, told: 23 * s},
		"before SIGHUP":                         {had: 18 * s, written: never, moved: []time.Duration{19 * s}, told: 18 * s},
		"asked for":                             {had: 20 * s, written: never, asked: true, told: 26 * s},
		"asked for and heard":                   {had: 20 * s, written: 21 * s, asked: true, told: 21 * s},
		"it never came":                         {had: never, written: never, told: 100 * s},
	} {
		t.Run(name, func(t *testing.T) {
			for late, broken := range map[time.Duration]int{0: 0, s: 1} {
				b := record.NewBook()
				b.Told[record.Pair{}] = []record.Told{
					{Change: 15 * s, Had: x.had, At: x.written, Kind: "draining"}, {Had: 2 * s, At: 2 * s, Kind: "up"}}
				b.Silent[0], b.Moved[0], b.Answered[0] = x.silent, x.moved, x.answered
				b.Runs = []record.Run{{}}
				for _, again := range x.again {
					b.Runs = append(b.Runs, record.Run{From: again})
				}
				f := &scenario.File{}
				f.Rules.DrainGraceMS, f.Discovery.Asked = 2000, x.asked
				b.Order = []*record.Try{{Attempts: []*record.Attempt{{First: x.told + 2*s + late}}}}
				if x.had == never {
					broken = 0
				}
				v := &Verdict{Broken: map[string][]string{}, Count: map[string]int{}}
				(&judge{&scenario.Day{File: f}, b, v}).drains()
				assert.Equal(t, broken, v.Count["drain"], "%v late", late)
			}
		})
	}
}
