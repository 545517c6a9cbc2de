package maintenanceday

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"sloestile/fleet/maintenance"
)

// item is one host's work to a search that knows all beforehand: what each turn truly takes.
type item struct {
	*Machine
	takes  int64 // ms, from its drain to its return, with nothing lost between
	place  int
	groups []int
	window [2]int64 // it has to have ended by the first, as planned, or begin after the second
	need   int64    // as planned
}

// best is a search for the order with the least makespan, under the same bounds.
type best struct {
	d      *Day
	items  []item
	most   []int // by zone and kind
	warm   [2]uint64
	groups []int
	halt   [2]int64 // in which nothing goes
	sets   []int

	away   []int
	lost   [2]uint64
	out    []int
	ring   []int
	voters int
}

func newBest(d *Day) *best {
	b := &best{d: d, ring: make([]int, d.Nodes), sets: d.Plan.Bounds.SetSizes}
	places := map[string]int{}
	var sizes []int
	of := map[string]*Machine{}
	for i := range d.Machines {
		m := &d.Machines[i]
		of[m.Host] = m
		key := m.Zone + m.Kind.String()
		if _, ok := places[key]; !ok {
			places[key] = len(sizes)
			sizes = append(sizes, 0)
		}
		sizes[places[key]]++
	}
	for _, n := range sizes {
		b.most = append(b.most, max(1, n*int(d.Plan.Bounds.MaxZoneFraction)/1000))
	}
	b.warm = [2]uint64{d.warm(maintenance.Node), d.warm(maintenance.Server)}
	for _, j := range d.Plan.Jobs {
		for _, h := range j.Hosts {
			m := of[h]
			it := item{Machine: m, takes: (m.Drain + m.Out + max(m.Warmup, 20*time.Second)).Milliseconds(), place: places[m.Zone+m.Kind.String()],
				need: time.Duration(d.Plan.DrainDuration + j.WorkDuration + d.Plan.WarmUpDuration + d.Plan.Bounds.UplinkMargin).Milliseconds()}
			for _, u := range d.Uplinks {
				if u.Zone == m.Zone {
					it.window = [2]int64{int64(u.Start - begin), int64(u.End - begin)}
				}
			}
			for i, g := range d.Plan.AntiAffinityGroups {
				if slices.Contains(g.Hosts, h) {
					it.groups = append(it.groups, i)
				}
			}
			b.items = append(b.items, it)
		}
	}
	for _, g := range d.Plan.AntiAffinityGroups {
		b.groups = append(b.groups, g.MaxUnavailable)
	}
	if d.Lost != "" {
		b.halt = [2]int64{d.At.Milliseconds(), (d.At + d.For + time.Duration(d.Plan.HaltPolicy.ResumeDelay)).Milliseconds()}
	}
	return b
}

// shift counts an item as away, or as back.
func (b *best) shift(it *item, n int) {
	b.away[it.place] += n
	b.lost[it.Kind] += uint64(n) * uint64(it.Capacity)
	if it.Kind == maintenance.Node {
		b.ring[it.Index] += n
	}
	if it.Voter {
		b.voters += n
	}
	for _, g := range it.groups {
		b.out[g] += n
	}
}

// fits tells whether an item may go at a time.
func (b *best) fits(it *item, at int64) bool {
	if b.away[it.place] >= b.most[it.place] || b.lost[it.Kind]+uint64(it.Capacity) > b.warm[it.Kind] || it.Voter && b.voters > 0 {
		return false
	}
	for _, g := range it.groups {
		if b.out[g] >= b.groups[g] {
			return false
		}
	}
	if at < it.window[1] && at+it.need > it.window[0] {
		return false
	}
	if it.Kind == maintenance.Server {
		return true
	}
	n := len(b.ring)
	for _, size := range b.sets {
		most, in := max(1, size*int(b.d.Plan.Bounds.MaxSetFraction)/1000), 1
		for i := range size {
			in += b.ring[(it.Index-i+n)%n]
		}
		for i := 0; ; i++ {
			if in > most {
				return false
			}
			if i == size-1 {
				break
			}
			in += b.ring[(it.Index+i+1)%n] - b.ring[(it.Index-size+1+i+n)%n]
		}
	}
	return true
}

type end struct {
	at int64
	it *item
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// makespan lets items go in an order, each as soon as the bounds let it, and gives the last return.
func (b *best) makespan(order []int) (last int64) {
	b.away, b.out, b.lost, b.voters = make([]int, len(b.most)), make([]int, len(b.groups)), [2]uint64{}, 0
	clear(b.ring)
	pending := slices.Clone(order)
	var queue ends
	if b.halt[1] > 0 {
		queue = append(queue, end{at: b.halt[1]})
	}
	for _, it := range b.items {
		if it.window[1] > 0 {
			queue = append(queue, end{at: it.window[1]})
			break // there is one window
		}
	}
	heap.Init(&queue)
	for at := int64(0); ; {
		if at < b.halt[0] || at >= b.halt[1] {
			pending = slices.DeleteFunc(pending, func(i int) bool {
				it := &b.items[i]
				if !b.fits(it, at) {
					return false
				}
				b.shift(it, 1)
				heap.Push(&queue, end{at + it.takes, it})
				return true
			})
		}
		if len(queue) == 0 {
			return last
		}
		for at = queue[0].at; len(queue) > 0 && queue[0].at == at; {
			if e := heap.Pop(&queue).(end); e.it != nil {
				b.shift(e.it, -1)
				last = at
			}
		}
	}
}

// exactMost is the hosts at most for which all orders are tried.
const exactMost = 9

// Best looks for the order with the least makespan: among all of a few hosts, else by some steps of a
// local search from the longest first.
func Best(d *Day, steps int) time.Duration {
	b, rng := newBest(d), rand.New(rand.NewPCG(d.Seed, 99))
	order := make([]int, len(b.items))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return int(b.items[y].takes - b.items[x].takes) })
	have := b.makespan(order)
	least := have
	if len(order) <= exactMost {
		b.every(order, 0, func() { least = min(least, b.makespan(order)) })
		return time.Duration(least) * time.Millisecond
	}
	for range steps {
		next := slices.Clone(order)
		for range 1 + rng.IntN(3) {
			from, to := rng.IntN(len(next)), rng.IntN(len(next))
			i := next[from]
			next = slices.Insert(slices.Delete(next, from, from+1), to, i)
		}
		if m := b.makespan(next); m <= have+have/500*int64(rng.IntN(2)) { // a little worse now and then
			order, have = next, m
			least = min(least, m)
		}
	}
	return time.Duration(least) * time.Millisecond
}

// every calls do with each order of what is behind an index.
func (b *best) every(order []int, at int, do func()) {
	if at == len(order) {
		do()
		return
	}
	for i := at; i < len(order); i++ {
		order[at], order[i] = order[i], order[at]
		b.every(order, at+1, do)
		order[at], order[i] = order[i], order[at]
	}
}

// Bound is a time that no order goes below: what the turns of one zone, of one kind of machine, of a
// group, of voters or of one set take in all, over what may be away of them.
func Bound(d *Day) time.Duration {
	b := newBest(d)
	least := 0.0
	per := func(in func(*item) float64, most float64) {
		sum := 0.0
		for i := range b.items {
			sum += in(&b.items[i]) * float64(b.items[i].takes)
		}
		least = max(least, sum/most)
	}
	one := func(ok bool) float64 {
		if ok {
			return 1
		}
		return 0
	}
	for p, most := range b.most {
		per(func(it *item) float64 { return one(it.place == p) }, float64(most))
	}
	for k, most := range b.warm {
		per(func(it *item) float64 { return one(int(it.Kind) == k) * float64(it.Capacity) }, float64(most))
	}
	for g, most := range b.groups {
		per(func(it *item) float64 { return one(slices.Contains(it.groups, g)) }, float64(most))
	}
	per(func(it *item) float64 { return one(it.Voter) }, 1)
	for _, size := range b.sets {
		for first := range b.ring {
			per(func(it *item) float64 {
				return one(it.Kind == maintenance.Node && (it.Index-first+len(b.ring))%len(b.ring) < size)
			}, float64(max(1, size*int(d.Plan.Bounds.MaxSetFraction)/1000)))
		}
	}
	for i := range b.items {
		least = max(least, float64(b.items[i].takes))
	}
	return time.Duration(least) * time.Millisecond
}
