package ratelimit

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { _ = flag.Set("rapid.seed", "1") }

// When one of n nodes goes, its own customers move and no other; they are at most 1.5/n of all.
func TestFewCustomersMove(t *testing.T) {
	const customers = 20000
	for _, n := range []int{3, 10, 60, 300} {
		for _, gone := range []int{0, n / 2, n - 1} {
			moved, all := 0, NodeRange{n / 3, n}
			for c := range uint64(customers) {
				before, _ := Owner(c, all, n, func(int) bool { return true })
				after, _ := Owner(c, all, n, func(i int) bool { return i != gone })
				if before != after {
					moved++
					if before != gone {
						t.Fatalf("customer %d moves from %d to %d when %d goes", c, before, after, gone)
					}
				}
			}
			if most := 1.5 * customers / float64(n); float64(moved) > most {
				t.Errorf("%d of %d customers move when one of %d goes", moved, customers, n)
			}
		}
	}
}

// Of the sides of a partition one has a quorum at most, and an owner is one of its set.
func TestOneSideHasTheQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := rapid.IntRange(1, 40).Draw(t, "group")
		s := NodeRange{rapid.IntRange(0, group-1).Draw(t, "first"), rapid.IntRange(1, group).Draw(t, "spread")}
		side := rapid.SliceOfN(rapid.IntRange(0, 2), group, group).Draw(t, "sides")
		customer, sides := rapid.Uint64().Draw(t, "customer"), 0
		for k := range 3 {
			owner, quorum := Owner(customer, s, group, func(i int) bool { return side[i] == k })
			if quorum {
				sides++
			}
			if owner >= 0 && (side[owner] != k || (owner-s.First+group)%group >= s.Count) {
				t.Fatalf("owner %d of set %v is on side %d, asked for %d", owner, s, side[owner], k)
			}
			if owner < 0 && quorum {
				t.Fatal("a quorum of nobody")
			}
		}
		if sides > 1 {
			t.Fatalf("%d sides have a quorum", sides)
		}
	})
}

// A store never holds more than its depth, nor less than nothing, and grants no more than its rate
// has brought.
func TestStoreIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(0.1, 50).Draw(t, "rate"), rapid.Float64Range(1, 100).Draw(t, "depth")}
		s := NewBucket(q, q.Burst, 0)
		now, sent := time.Duration(0), 0.0
		for range rapid.IntRange(1, 100).Draw(t, "uses") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
			units := float64(rapid.IntRange(0, 8).Draw(t, "units"))
			held := s.Level(now)
			s.Consume(units, now)
			if held >= units {
				sent += units
			}
			if level := s.Level(now); level < 0 || level > q.Burst || sent > q.Burst+q.Rate*now.Seconds()+1e-6 {
				t.Fatalf("level %g of %g, %g sent by %v", level, q.Burst, sent, now)
			}
		}
	})
}

// Uses that come after a cut leave the store as if each had come when it was sent, to half a second of
// refill, as long as it was never empty; and a follower's store that is merged does.
func TestLateUsesCountAsOfThen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(1, 20).Draw(t, "rate"), rapid.Float64Range(5, 100).Draw(t, "depth")}
		want, late, merged := NewBucket(q, q.Burst, 0), NewBucket(q, q.Burst, 0), NewBucket(q, q.Burst, 0)
		type use struct {
			units float64
			at    time.Duration
		}
		var far []use
		now, sum := time.Duration(0), 0.0
		for now < 8*time.Second {
			now += time.Duration(rapid.IntRange(10, 900).Draw(t, "pause")) * time.Millisecond
			units := rapid.Float64Range(0, 4).Draw(t, "units")
			if want.Level(now) < units {
				continue
			}
			want.Consume(units, now)
			if rapid.Bool().Draw(t, "far") {
				far, sum = append(far, use{units, now}), sum+units
				continue
			}
			late.Consume(units, now)
			merged.Consume(units, now)
		}
		now += lateAfter
		for _, i := range rapid.Permutation(indices(len(far))).Draw(t, "order") {
			late.ConsumeLate(far[i].units, now-far[i].at, now)
		}
		least := want.Level(now) - 1e-3 // bins are single floats
		assert.InDelta(t, late.Level(now), least, q.Rate*overflowBinWidth.Seconds()*1.001+2e-3)
		assert.GreaterOrEqual(t, late.Level(now), least)
		merged.Merge(q.Burst, sum, true, now, now)
		assert.GreaterOrEqual(t, merged.Level(now), least)
	})
}

// Whatever the order in which levels are heard, and however often, the view is the same: the newest,
// of two of one time the lower; and it is used for Life and no longer.
func TestViewsMerge(t *testing.T) {
	type told struct {
		level float64
		at    time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) told {
			return told{float64(rapid.IntRange(0, 40).Draw(t, "level")), time.Duration(rapid.IntRange(1, 5).Draw(t, "at")) * 100 * time.Millisecond}
		}), 1, 8).Draw(t, "told")
		var a, b CachedLevel
		for _, x := range all {
			a.Update(x.level, x.at)
		}
		for _, x := range rapid.Permutation(append(all, all...)).Draw(t, "again") {
			b.Update(x.level, x.at)
		}
		if a != b {
			t.Fatalf("heard in another order and twice: %+v, not %+v", b, a)
		}
		if !a.Fresh(a.validAt+ReportLifetime) || a.Fresh(a.validAt+ReportLifetime+1) {
			t.Fatalf("a level of %v is fresh until another time than %v", a.validAt, a.validAt+ReportLifetime)
		}
	})
}

// A store that is not low tells nothing. While one is low the others reckon with its level to a
// step, for as long as it is told of uses.
func TestOthersReckonWithTheLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(0.5, 20).Draw(t, "rate"), 40}
		s, now := NewBucket(q, q.Burst, 0), time.Duration(0)
		var v CachedLevel
		for range 200 {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond
			s.Consume(rapid.Float64Range(-2, 8).Draw(t, "units"), now)
			if level, ok := s.DueReport(now); ok {
				v.Update(level, now)
			}
			if level := s.Level(now); s.isLow(level) && (!v.Fresh(now) || math.Abs(v.Level(q, now)-level) > reportStep*q.Burst) {
				t.Fatalf("at %v the store holds %g, the others reckon with %g of %v", now, level, v.level, v.validAt)
			}
		}
	})
}

// A store that is handed on stands less what was taken since; what was taken on the other side of a
// cut is gone on both; and whatever the case there is no more than either held.
func TestStoresMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{2, 40}
		a, b := rapid.Float64Range(0, 40).Draw(t, "a"), rapid.Float64Range(0, 40).Draw(t, "b")
		here, there := rapid.Bool().Draw(t, "here"), rapid.Bool().Draw(t, "there")
		s, want := NewBucket(q, a, 0), math.Min(math.Max(0, a-3), b)
		s.inherited = here
		s.Consume(3, 0)
		switch {
		case here && !there:
			want = math.Max(0, b-3)
		case there && !here:
			want = math.Min(b, math.Max(0, math.Max(0, a-3)-5))
		}
		if s.Merge(b, 5, there, 0, 0); math.Abs(s.Level(0)-want) > 1e-9 {
			t.Fatalf("%g less 3 (guessed: %v) and %g after 5 (guessed: %v) come to %g, wanted %g", a, here, b, there, s.Level(0), want)
		}
	})
}

func FuzzDecode(f *testing.F) {
	seed, err := (&Message{Sender: 1, Incarnation: 7, Number: 3, Sequence: 2, Consumptions: []Consumption{{Tenant: 9, Plan: 1, Count: 2, Tokens: 3}},
		Hop: 1, Levels: []LevelReport{{Tenant: 9, Tokens: 2, Age: 40}}, Owners: []OwnerReport{{Node: 1}}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw, 4)
		if err != nil {
			return
		}
		if _, err := m.Encode(); err != nil && len(raw) < MaxMessageBytes/2 {
			t.Fatalf("%+v can't be written again: %v", m, err)
		}
		x := NewLimiter(Config{Node: 0, FleetSize: 4, Incarnation: 1, Quotas: map[uint32]Quota{1: {2, 20}}, MaxTenants: 100}, 0)
		x.SetLivePeers(0, []Peer{{1, m.Incarnation}, {2, 5}, {3, 6}})
		m.Sender = 1
		x.Receive(time.Second, m)
		x.Flush(2 * time.Second)
	})
}

// A set meets the nodes of a range where it holds one of them, and each live node has a live head of
// its own cell.
func TestSetsAndCells(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := rapid.IntRange(1, 50).Draw(t, "group")
		s := NodeRange{rapid.IntRange(0, group-1).Draw(t, "first"), rapid.IntRange(1, group).Draw(t, "spread")}
		lo := rapid.IntRange(0, group-1).Draw(t, "lo")
		hi := rapid.IntRange(lo+1, group).Draw(t, "hi")
		meets := false
		for n := lo; n < hi; n++ {
			meets = meets || s.contains(n, group)
		}
		if got := s.overlaps(lo, hi, group); got != meets {
			t.Fatalf("set %v of %d meets %d to %d: %v", s, group, lo, hi, got)
		}
		node, reach := rapid.IntRange(0, group-1).Draw(t, "node"), rapid.IntRange(0, group-1).Draw(t, "reach")
		for n := range group {
			d := min((n-node+group)%group, (node-n+group)%group)
			if got := rangeAround(node, reach, group).contains(n, group); got != (d <= reach) {
				t.Fatalf("%d within %d of %d in %d: %v", n, reach, node, group, got)
			}
		}
		live := rapid.SliceOfNDistinct(rapid.IntRange(0, group-1), 1, group, rapid.ID).Draw(t, "live")
		c := newRelayGroups(group, live)
		for _, n := range live {
			if h := c.relays[c.of(n)]; h < 0 || c.of(h) != c.of(n) {
				t.Fatalf("node %d has head %d", n, h)
			}
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// A wait longer than any that a node tells is a spoilt message: nobody has the refill of a minute on its word.
func TestWaitsAreBounded(t *testing.T) {
	for _, m := range []*Message{{ConsumptionAge: maxAgeMillis}, {ConsumptionAge: maxAgeMillis + 1}, {TransferAge: maxAgeMillis + 1}} {
		m.Number = 1
		raw, err := m.Encode()
		assert.NoError(t, err)
		_, err = Decode(raw, 3)
		assert.Equal(t, m.ConsumptionAge > maxAgeMillis || m.TransferAge > maxAgeMillis, err != nil, "%+v", m)
	}
}
