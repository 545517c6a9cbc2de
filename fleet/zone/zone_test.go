package zone

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// hall is a zone as it is: how many of its servers fail, and how much slower it answers.
type hall struct {
	failing float64 // part of the servers that fail
	errors  float64 // part of the attempts at the others that fail
	slow    float64
}

// play lets a node send to three zones of ten servers each, by the parts that its policy gives.
func play(p *Policy, rng *rand.Rand, from, to time.Duration, rate float64, state func(now time.Duration, zone int) hall) {
	for now := from; now < to; now += 20 * time.Millisecond {
		parts := p.TrafficFractions(0)
		for z := range 3 {
			name := fmt.Sprint("z", z)
			h := state(now, z)
			for n := rate / 50 * parts[name]; rng.Float64() < n; n-- {
				server := rng.IntN(10)
				bad := float64(server) < 10*h.failing || rng.Float64() < h.errors
				p.Observe(now, name, uint64(server), 1, !bad, 0.1*max(1, h.slow)*(0.5+rng.Float64()))
			}
		}
		p.Update(now)
	}
}

func three() *Policy {
	return New("z0", []Zone{{Name: "z0"}, {Name: "z1", Distance: 1}, {Name: "z2", Distance: 1}})
}

// What each kind of trouble in one zone does, two seconds after it began.
func TestTroubles(t *testing.T) {
	whole := hall{}
	for _, x := range []struct {
		name     string
		trouble  func(zone int) hall
		low, top float64 // of the part that zone 1 has
		others   float64 // the least of the others'
	}{
		{"lost", func(z int) hall {
			if z == 1 {
				return hall{failing: 1}
			}
			return whole
		}, 0, 0, 1},
		{"I am the one who is alone", func(int) hall { return hall{failing: 1} }, 1, 1, 1},
		{"half-lost: every other server", func(z int) hall {
			if z == 1 {
				return hall{failing: 0.5}
			}
			return whole
		}, 0.9, 1, 1},
		{"slow, four times", func(z int) hall {
			if z == 1 {
				return hall{slow: 4}
			}
			return whole
		}, 0.3, 0.7, 1},
		{"a tenth of the attempts err", func(z int) hall {
			if z == 1 {
				return hall{errors: 0.1}
			}
			return whole
		}, 1, 1, 1},
		{"two zones lost", func(z int) hall {
			if z > 0 {
				return hall{failing: 1}
			}
			return whole
		}, 0, 0, 0},
		{"nothing", func(int) hall { return whole }, 1, 1, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			for seed := range uint64(20) {
				p, rng := three(), rand.New(rand.NewPCG(seed, 0))
				play(p, rng, 0, 5*time.Second, 150, func(time.Duration, int) hall { return whole })
				play(p, rng, 5*time.Second, 7*time.Second, 150, func(_ time.Duration, z int) hall { return x.trouble(z) })
				parts := p.TrafficFractions(0)
				if got := parts["z1"]; got < x.low || got > x.top {
					t.Errorf("seed %d: the zone has %.2f of its traffic, wanted %.2f to %.2f", seed, got, x.low, x.top)
				}
				if least := min(parts["z0"], parts["z2"]); least < x.others {
					t.Errorf("seed %d: others have %.2f", seed, least)
				}
			}
		})
	}
}

// A zone that fails wholly is left within a second, and is whole again in steps that double at most,
// half a minute after it came back.
func TestLeaveAndReturn(t *testing.T) {
	for seed := range uint64(20) {
		p, rng := three(), rand.New(rand.NewPCG(seed, 1))
		left, whole, before := time.Duration(-1), time.Duration(-1), 0.0
		for now := time.Duration(0); now < 60*time.Second; now += 100 * time.Millisecond {
			play(p, rng, now, now+100*time.Millisecond, 300, func(now time.Duration, z int) hall {
				if z == 1 && now >= 5*time.Second && now < 12*time.Second {
					return hall{failing: 1}
				}
				return hall{}
			})
			part := p.TrafficFractions(0)["z1"]
			if left < 0 && now >= 5*time.Second && part == 0 {
				left = now - 5*time.Second
			}
			if now >= 12*time.Second && part > 2*before+initialRampFraction {
				t.Errorf("seed %d: from %.2f to %.2f at once", seed, before, part)
			}
			if before = part; whole < 0 && now > 12*time.Second && part == 1 {
				whole = now - 12*time.Second
			}
		}
		if left < 0 || left > time.Second || whole < 0 || whole > 30*time.Second {
			t.Errorf("seed %d: left after %v, whole %v after it came back", seed, left, whole)
		}
	}
}

// A zone that flaps is left longer each time: of ten minutes of flaps, half of the time bad, it is sent
// a small part of what it would fail.
func TestFlappingIsBounded(t *testing.T) {
	p, rng := three(), rand.New(rand.NewPCG(3, 3))
	turns, was := 0, Healthy
	for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
		play(p, rng, now, now+time.Second, 150, func(now time.Duration, z int) hall {
			if z == 1 && now%(20*time.Second) < 10*time.Second {
				return hall{failing: 1}
			}
			return hall{}
		})
		if s := p.byName["z1"].state; s == Evacuated && was != Evacuated {
			turns++
			was = s
		} else {
			was = s
		}
	}
	if turns > 15 {
		t.Errorf("left %d times in ten minutes of 30 flaps", turns)
	}
}

// The rest is never filled beyond what it bears; operators' orders go before what is seen.
func TestSpillAndOrders(t *testing.T) {
	p := New("a", []Zone{{Name: "a", Capacity: 100}, {Name: "b", Distance: 1, Capacity: 100}, {Name: "c", Distance: 2, Capacity: 100}})
	if !p.SetOrder(0, "b", Leave) || p.SetOrder(0, "x", Leave) {
		t.Error("orders")
	}
	if got := p.TrafficFractions(150); got["b"] != 0 || got["a"] != 1 {
		t.Errorf("150 asked of 160: %v", got)
	}
	if got := p.TrafficFractions(180); got["b"] < 0.2 || got["b"] > 0.3 {
		t.Errorf("180 asked of 160: %v", got)
	}
	p.SetOrder(0, "b", Return)
	if v := p.Views()[1]; v.State != Returning || v.Fraction != initialRampFraction {
		t.Errorf("on return %+v", v)
	}
}
