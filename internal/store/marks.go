package store

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	reservePart = 0.25 // of a depth, that a mark leaves for grants until the next: what a crash costs at most
	renewPart   = 0.5  // of the reserve, from which a new mark is asked for
)

// Marks is the pure part of keeping customers' stores: which marks have come to the disk, and which
// have to be written before the grants that they are to cover. Times are on the caller's clock.
//
// A mark is a level that a store has at least, at a time. Recovery takes the level and the refill
// since. A grant is covered if recovery after it would give no more than the store then holds.
type Marks struct {
	Uncovered int64 // grants that no mark on the disk covers: those go by the plain rule
	all       map[Key]*mark
	most      int
	writing   []Key // of the batch on its way to the disk
	dirty     map[Key]bool
}

// Key names a customer.
type Key struct{ Plan, Customer string }

// Level is what a store holds, and its quota.
type Level struct {
	Units, Rate, Depth float64
	Spread             int
}

type mark struct {
	last    Level         // as last noted
	at      time.Duration // of last
	disk    point         // on the disk
	onDisk  bool
	written point // on its way there
}

// point is a level at a time.
type point struct {
	level float64
	at    time.Duration
}

// recovered is what would be taken to be there.
func (p point) recovered(l Level, now time.Duration) float64 {
	return math.Min(l.Depth, p.level+l.Rate*math.Max(0, (now-p.at).Seconds()))
}

// full is how long it takes from then until the store is full.
func (p point) full(l Level) time.Duration {
	return time.Duration((l.Depth - p.level) / l.Rate * float64(time.Second))
}

// NewMarks makes marks of so many customers at most.
func NewMarks(most int) *Marks {
	return &Marks{all: make(map[Key]*mark), most: most, dirty: make(map[Key]bool)}
}

// Grant notes what a store holds after a grant. It tells whether a mark is to be written soon.
func (m *Marks) Grant(k Key, l Level, now time.Duration) bool {
	x := m.all[k]
	if x == nil {
		if len(m.all) >= m.most {
			m.Uncovered++
			return false
		}
		x = &mark{}
		m.all[k] = x
	}
	x.last, x.at = l, now
	room := math.Inf(-1)
	if x.onDisk {
		room = l.Units - x.disk.recovered(l, now)
	}
	if room < 0 {
		m.Uncovered++
	}
	if room < renewPart*reservePart*l.Depth {
		m.dirty[k] = true
	}
	return len(m.dirty) > 0
}

// Batch gives the records to be written now, of the state that is written next; none where one is
// still on its way or there is nothing to write. Marks of stores that are full again are dropped
// where there are many.
func (m *Marks) Batch(now time.Duration, wall time.Time) (records []Record) {
	if m.writing != nil || len(m.dirty) == 0 {
		return nil
	}
	for k := range m.dirty {
		x := m.all[k]
		level := x.last.Units + x.last.Rate*(now-x.at).Seconds() // at least: nothing was granted since it was noted
		x.written = point{math.Min(x.last.Depth, level) - reservePart*x.last.Depth, now}
		records = append(records, Record{Plan: k.Plan, Customer: k.Customer, Spread: x.last.Spread, Level: x.written.level, At: wall.UnixMilli(),
			Full: wall.Add(x.written.full(x.last)).UnixMilli()})
		m.writing = append(m.writing, k)
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Plan, b.Plan), cmp.Compare(a.Customer, b.Customer))
	})
	clear(m.dirty)
	if len(m.all) > m.most/2 {
		maps.DeleteFunc(m.all, func(_ Key, x *mark) bool {
			return x.onDisk && x.disk.recovered(x.last, now) >= x.last.Depth && x.written == x.disk
		})
	}
	return records
}

// Due tells whether a mark is to be written.
func (m *Marks) Due() bool { return len(m.dirty) > 0 }

// Last gives records of all stores as they are, for the end: nothing is granted after.
func (m *Marks) Last(now time.Duration, wall time.Time) (records []Record) {
	for k, x := range m.all {
		level := math.Min(x.last.Depth, x.last.Units+x.last.Rate*(now-x.at).Seconds())
		records = append(records, Record{Plan: k.Plan, Customer: k.Customer, Spread: x.last.Spread, Level: level, At: wall.UnixMilli(),
			Full: wall.Add(point{level, now}.full(x.last)).UnixMilli()})
	}
	return records
}

// Done takes that the last batch has come to the disk, or has not.
func (m *Marks) Done(ok bool) {
	for _, k := range m.writing {
		x := m.all[k]
		switch {
		case x == nil:
		case ok:
			x.disk, x.onDisk = x.written, true
		default:
			m.dirty[k] = true
		}
	}
	m.writing = nil
}
