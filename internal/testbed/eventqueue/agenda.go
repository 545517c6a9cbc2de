// Package eventqueue is virtual time: what is to happen, in order.
package eventqueue

import (
	"container/heap"
	"time"
)

// Agenda holds what is to happen. Its zero value is at time 0 with nothing to do.
type Agenda struct {
	Now    time.Duration
	events queue
	made   int
}

type event struct {
	at time.Duration
	n  int // in order of making, so that a play is the same each time
	do func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// After has something done after a while.
func (a *Agenda) After(wait time.Duration, do func()) {
	a.made++
	heap.Push(&a.events, event{a.Now + wait, a.made, do})
}

// Run does all that is to happen, in order, until nothing is left.
func (a *Agenda) Run() {
	for a.events.Len() > 0 {
		e := heap.Pop(&a.events).(event)
		a.Now = e.at
		e.do()
	}
}
