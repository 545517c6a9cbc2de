package rules

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// event is something that happens in a fleet in virtual time.
type event struct {
	at time.Duration
	n  int
	do func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// fleet is nodes with clocks of their own, an agreed registry and links that lose and delay.
type fleet struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Duration
	events queue
	made   int
	nodes  []*Node
	rate   []float64 // of each node's clock
	lives  uint64
	leader int // -1 is none
	agreed Registry
	marks  []uint64
	armed  []time.Duration // of the next wake
	acted  []uint64        // the highest version that each has ever acted by
	loss   float64
	cut    map[int]bool
	wait   func(from, to int) time.Duration
	sent   int
	bytes  int
	texts  time.Duration // until a text is fetched
	watch  func()
}

const commitAfter = 3 * time.Millisecond // of a command, and of a confirmation

func newFleet(t testing.TB, nodes int, seed uint64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 7)), leader: -1, cut: map[int]bool{}, texts: 5 * time.Millisecond}
	f.wait = func(int, int) time.Duration { return time.Duration(200+f.rng.IntN(800)) * time.Microsecond }
	f.nodes, f.marks, f.acted, f.armed = make([]*Node, nodes), make([]uint64, nodes), make([]uint64, nodes), make([]time.Duration, nodes)
	for i := range nodes {
		f.rate = append(f.rate, 1+Usual.Drift/2*(f.rng.Float64()*2-1))
		f.start(i)
	}
	return f
}

func (f *fleet) at(i int) time.Duration {
	return time.Duration(i)*time.Minute + time.Duration(float64(f.now)*f.rate[i])
}

func (f *fleet) after(d time.Duration, do func()) {
	f.made++
	heap.Push(&f.events, event{f.now + d, f.made, do})
}

func (f *fleet) start(i int) {
	f.lives++
	f.armed[i] = 0
	f.nodes[i] = NewNode(Config{Self: i, Life: f.lives, Mark: f.marks[i], Terms: Usual}, f.at(i))
	f.parents(i)
	f.poll(i)
}

func (f *fleet) parents(i int) {
	if f.leader >= 0 && i != f.leader {
		f.nodes[i].Parents(f.at(i), []int{f.leader})
	}
}

func (f *fleet) elect(i int) {
	if f.leader >= 0 && f.nodes[f.leader] != nil {
		f.nodes[f.leader].Follow()
	}
	f.leader = i
	f.nodes[i].Learn(f.at(i), f.agreed.Word())
	f.nodes[i].Lead(f.at(i))
	for j := range f.nodes {
		if f.nodes[j] != nil {
			f.parents(j)
			f.poll(j)
		}
	}
}

// do has a command agreed on.
func (f *fleet) do(c Command) {
	_, err := f.agreed.Do(c)
	require.NoError(f.t, err)
	f.nodes[f.leader].Learn(f.at(f.leader), f.agreed.Word())
	f.poll(f.leader)
}

// poll does what a node's caller does.
func (f *fleet) poll(i int) {
	n := f.nodes[i]
	if n == nil {
		return
	}
	for _, o := range n.Flush(f.at(i)) {
		f.carry(i, o)
	}
	if name, ok := n.Want(); ok {
		f.after(f.texts, func() {
			if f.nodes[i] == n && !f.cut[i] {
				n.Have(f.at(i), name, true)
				f.poll(i)
			}
		})
	}
	if number, ok := n.Keep(f.at(i)); ok {
		f.after(time.Millisecond, func() {
			if f.nodes[i] == n {
				f.marks[i] = max(f.marks[i], number)
				n.Kept(number)
				f.poll(i)
			}
		})
	}
	if round, ok := n.Begin(); ok && i == f.leader && !f.cut[i] {
		f.after(commitAfter, func() {
			if f.leader == i && f.nodes[i] == n {
				n.Confirmed(f.at(i), round)
				f.poll(i)
			}
		})
	}
	if c, ok := n.Ready(f.at(i)); ok && i == f.leader {
		f.after(commitAfter, func() {
			if f.leader == i {
				f.do(Command{Commit: &c})
			}
		})
	}
	if when, ok := n.Wake(f.at(i)); ok {
		due := f.now + max(0, time.Duration(float64(when-f.at(i))/f.rate[i])) + time.Microsecond
		if f.armed[i] > f.now && f.armed[i] <= due {
			return
		}
		f.armed[i] = due
		f.after(due-f.now, func() {
			if f.nodes[i] == n && f.armed[i] == due {
				f.armed[i] = 0
				f.poll(i)
			}
		})
	}
}

func (f *fleet) carry(from int, o Out) {
	raw, err := o.Message.Encode()
	require.NoError(f.t, err)
	f.sent++
	f.bytes += len(raw)
	if f.cut[from] || f.cut[o.To] || f.rng.Float64() < f.loss {
		return
	}
	f.after(f.wait(from, o.To), func() {
		if f.nodes[o.To] == nil || f.cut[o.To] {
			return
		}
		m, err := Decode(raw, len(f.nodes))
		require.NoError(f.t, err)
		f.nodes[o.To].Hear(f.at(o.To), m)
		f.poll(o.To)
	})
}

// acting gives the versions that are acted by now, and how many nodes do by each.
func (f *fleet) acting() map[uint64]int {
	by := map[uint64]int{}
	for i, n := range f.nodes {
		if n == nil {
			continue
		}
		if number, _, _ := n.Acting(f.at(i)); number != 0 {
			by[number]++
			require.GreaterOrEqual(f.t, number, f.acted[i], "node %d goes back", i)
			f.acted[i] = number
		}
	}
	return by
}

func (f *fleet) run(d time.Duration, until func() bool) time.Duration {
	begun := f.now
	for end := f.now + d; len(f.events) > 0 && f.events[0].at <= end; {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
		if f.watch != nil {
			f.watch()
		}
		if until != nil && until() {
			break
		}
	}
	return f.now - begun
}

func (f *fleet) publish(kind Kind) uint64 {
	f.do(Command{Publish: &Publish{Parent: f.agreed.Newest(), Text: []byte{byte(f.agreed.Newest())}}})
	number := f.agreed.Newest()
	f.do(Command{Activate: &Activate{Number: number, Kind: kind}})
	f.do(Command{Prepare: &Prepare{Number: number}})
	return number
}

// In a quiet fleet both kinds are in force soon, and what is agreed is acted by until the next.
func TestActivationsComeIntoForce(t *testing.T) {
	f := newFleet(t, 12, 1)
	f.elect(0)
	f.run(5*time.Second, nil) // until no lease of a leader before can be held
	for _, kind := range []Kind{Overlap, Exclusive, Overlap, Overlap, Exclusive, Exclusive} {
		n := f.publish(kind)
		took := f.run(5*time.Second, func() bool { return f.acting()[n] == len(f.nodes) })
		t.Logf("%v: %v", kind, took)
		require.Less(t, took, 200*time.Millisecond)
		f.run(3*time.Second, func() bool { require.Equal(t, len(f.nodes), f.acting()[n]); return false })
	}
}
