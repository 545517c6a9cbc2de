package request

import (
	"context"
	"math"
	"time"

	"sloestile/control"
	"sloestile/internal/testbed/scale"
)

// Recording is all that a controller was told in a run. As the controller decides by its settings,
// its seed and what it is told, a second one does the same work again, without the hollow node and
// the models around it: that is what control costs.
type Recording struct {
	settings control.Settings
	seed     uint64
	told     []told
	segments []segment // what is measured, one after another; all before is preparation
	handle   handler   // that the controller is told by; nil is its Handle
}

// handler passes an event to a controller.
type handler func(c *control.Controller, at time.Duration, e control.Event)

type told struct {
	at    time.Duration
	event control.Event
}

// segment is a part of a recording that is measured by itself.
type segment struct {
	from  int           // index of its first event
	began time.Duration // virtual time
}

// spent is the least CPU time of the segments of a recording, and the heap.
type spent struct {
	heap    float64 // bytes that a controller holds which was told the preparation
	request float64 // us of one request, with its answer and all that time costs meanwhile
	second  float64 // us of one second of virtual time
}

func (r *Recording) add(at time.Duration, e control.Event) { r.told = append(r.told, told{at, e}) }

// Mark begins a segment.
func (r *Recording) Mark(now time.Duration) {
	r.segments = append(r.segments, segment{from: len(r.told), began: now})
}

// tell tells a controller a part of the recording.
func (r *Recording) tell(c *control.Controller, part []told) {
	handle := r.handle
	if handle == nil {
		handle = func(c *control.Controller, at time.Duration, e control.Event) { c.Handle(at, e) }
	}
	for _, t := range part {
		handle(c, t.at, t.event)
	}
}

// prepared gives a new controller that was told the preparation.
func (r *Recording) prepared() (*control.Controller, error) {
	c, err := control.New(r.settings, r.seed)
	if err != nil {
		return nil, err
	}
	r.tell(c, r.told[:r.segments[0].from])
	return c, nil
}

// Costs tells a new controller all of the recording and gives the least CPU time of its segments: what
// others on the machine add varies and is never negative. The last mark ends the last segment.
func (r *Recording) Costs(ctx context.Context) (spent, error) {
	before := scale.Heap()
	c, err := r.prepared()
	if err != nil {
		return spent{}, err
	}
	least := spent{heap: scale.Heap() - before, request: math.Inf(1), second: math.Inf(1)}
	for i := range len(r.segments) - 1 {
		if err := ctx.Err(); err != nil {
			return spent{}, err
		}
		s, next := r.segments[i], r.segments[i+1]
		part := r.told[s.from:next.from]
		took := microseconds(scale.CPUOf(func() { r.tell(c, part) }))
		least.request = min(least.request, took/max(1, float64(requests(part))))
		least.second = min(least.second, took/(next.began-s.began).Seconds())
	}
	return least, nil
}

// requests counts the requests of a part.
func requests(part []told) int {
	n := 0
	for _, t := range part {
		if _, ok := t.event.(control.Request); ok {
			n++
		}
	}
	return n
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// What bounds a measurement that is repeated as a whole.
const (
	runsMost = 5
	runsTime = 500 * time.Millisecond
)
