package request

import (
	"container/heap"
	"time"
)

// Clock is virtual time: it stands still while work is done and then steps to the next thing due.
// Things due at one moment are done in the order in which they were asked for.
type Clock struct {
	now   time.Duration
	queue dues
	count uint64
}

type due struct {
	at    time.Duration
	order uint64
	do    func()
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = due{}
	*d = (*d)[:last]
	return x
}

// NewClock makes a clock that shows a time.
func NewClock(now time.Duration) *Clock { return &Clock{now: now} }

// Now is the time that the clock shows.
func (c *Clock) Now() time.Duration { return c.now }

// After has something done after a span; one that is not positive is as soon as possible.
func (c *Clock) After(span time.Duration, do func()) {
	c.count++
	heap.Push(&c.queue, due{at: c.now + max(span, 0), order: c.count, do: do})
}

// Run does all that is due up to a time and then shows it.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(due)
		c.now = next.at
		next.do()
	}
	c.now = max(c.now, until)
}
