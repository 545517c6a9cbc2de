package share

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { flag.Set("rapid.seed", "1") }

func members(n int) (m []Member) {
	for i := range n {
		m = append(m, MemberOf(fmt.Sprintf("n%d", i)))
	}
	return m
}

// When one of n members goes, its own customers move and no other; they are at most 1.5/n of all.
func TestFewCustomersMove(t *testing.T) {
	const customers = 20000
	for _, n := range []int{3, 10, 60, 300} {
		all := members(n)
		for _, gone := range []int{0, n / 2, n - 1} {
			moved := 0
			for c := range uint64(customers) {
				before := Owner(c, all, func(int) bool { return true })
				after := Owner(c, all, func(i int) bool { return i != gone })
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
	if got := Owner(1, members(2), func(int) bool { return false }); got != -1 {
		t.Errorf("owner %d where none is live", got)
	}
}

// A store never holds more than its depth, nor more than its rate has brought; what is taken is
// gone, whatever the order of the tellers.
func TestStoreIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(0.1, 50).Draw(t, "rate"), rapid.Float64Range(1, 100).Draw(t, "depth")}
		s := NewStore(q, q.Depth, 0)
		now, sent := time.Duration(0), 0.0
		for range rapid.IntRange(1, 100).Draw(t, "uses") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
			units := float64(rapid.IntRange(0, 8).Draw(t, "units"))
			if s.Level(now) < units {
				continue
			}
			s.Take(units, now)
			sent += units
			if level := s.Level(now); level < -1e-9 || level > q.Depth || sent > q.Depth+q.Rate*now.Seconds()+1e-6 {
				t.Fatalf("level %g of %g, %g sent by %v", level, q.Depth, sent, now)
			}
		}
	})
}

// A notice is not used beyond its life, an older one does not replace a newer one, and no more
// passes than what was told and the refill since.
func TestViewKeepsToItsAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(0.1, 20).Draw(t, "rate"), 40}
		told := rapid.Float64Range(-10, 40).Draw(t, "level")
		var v View
		if !v.Admit(q, 8, 0) {
			t.Fatal("a node that has heard nothing refuses")
		}
		v.Hear(Notice{Level: told}, time.Second)
		v.Hear(Notice{Level: 40}, 500*time.Millisecond) // late on its way
		now, passed := time.Second, 0.0
		for now += 10 * time.Millisecond; now <= time.Second+Life; now += time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond {
			if v.Admit(q, 2, now) {
				passed += 2
			}
			if most := told + q.Rate*(now-time.Second).Seconds() + 1e-9; passed > max(0, most) {
				t.Fatalf("%g passed by %v, %g were told and refilled", passed, now, most)
			}
		}
		if !v.Admit(q, 1000, time.Second+Life+1) {
			t.Fatal("a notice is used beyond its life")
		}
	})
}

// A full store tells nothing. While one is low the set reckons with its level to a step, for as
// long as it is told of uses.
func TestSetReckonsWithTheLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Quota{rapid.Float64Range(0.5, 20).Draw(t, "rate"), 40}
		s, now := NewStore(q, q.Depth, 0), time.Duration(0)
		var v View
		for range 200 {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond
			s.Take(rapid.Float64Range(-2, 8).Draw(t, "units"), now)
			if n, ok := s.Due(1, now); ok {
				v.Hear(n, now)
			}
			if level := s.Level(now); level < lowPart*q.Depth {
				if !v.Fresh(now) || math.Abs(q.reckon(v.level, now-v.at)-level) > step*q.Depth {
					t.Fatalf("at %v the store holds %g, the set reckons with %g of %v", now, level, v.level, v.at)
				}
			}
		}
	})
	s := NewStore(Quota{10, 40}, 40, 0)
	s.Take(3, time.Second)
	if n, ok := s.Due(1, time.Second); ok {
		t.Errorf("a store that is nearly full tells %+v", n)
	}
}
