package zone

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// hall is a zone as it is: how many of its servers fail, and how much slower it answers.
type zoneCondition struct {
	failingServers float64 // part of the servers that fail
	errorRate      float64 // part of the attempts at the others that fail
	latencyFactor  float64
}

// play lets a node send to three zones of ten servers each, by the parts that its policy gives.
func simulate(p *Policy, rng *rand.Rand, from, to time.Duration, rate float64, conditionOf func(now time.Duration, zone int) zoneCondition) {
	for now := from; now < to; now += 20 * time.Millisecond {
		fractions := p.TrafficFractions(0)
		for z := range 3 {
			name := fmt.Sprint("z", z)
			condition := conditionOf(now, z)
			for attempts := rate / 50 * fractions[name]; rng.Float64() < attempts; attempts-- {
				server := rng.IntN(10)
				bad := float64(server) < 10*condition.failingServers || rng.Float64() < condition.errorRate
				p.Observe(now, name, uint64(server), 1, !bad, 0.1*max(1, condition.latencyFactor)*(0.5+rng.Float64()))
			}
		}
		p.Update(now)
	}
}

func threeZonePolicy() *Policy {
	return New("z0", []Zone{{Name: "z0"}, {Name: "z1", Distance: 1}, {Name: "z2", Distance: 1}})
}

// What each kind of trouble in one zone does, two seconds after it began.
func TestTrafficFractionByFault(t *testing.T) {
	healthy := zoneCondition{}
	for _, test := range []struct {
		name                     string
		condition                func(zone int) zoneCondition
		minFraction, maxFraction float64 // of the part that zone 1 has
		minOthers                float64 // the least of the others'
	}{
		{"lost", func(z int) zoneCondition {
			if z == 1 {
				return zoneCondition{failingServers: 1}
			}
			return healthy
		}, 0, 0, 1},
		{"I am the one who is alone", func(int) zoneCondition { return zoneCondition{failingServers: 1} }, 1, 1, 1},
		{"half-lost: every other server", func(z int) zoneCondition {
			if z == 1 {
				return zoneCondition{failingServers: 0.5}
			}
			return healthy
		}, 0.9, 1, 1},
		{"slow, four times", func(z int) zoneCondition {
			if z == 1 {
				return zoneCondition{latencyFactor: 4}
			}
			return healthy
		}, 0.3, 0.7, 1},
		{"a tenth of the attempts err", func(z int) zoneCondition {
			if z == 1 {
				return zoneCondition{errorRate: 0.1}
			}
			return healthy
		}, 1, 1, 1},
		{"two zones lost", func(z int) zoneCondition {
			if z > 0 {
				return zoneCondition{failingServers: 1}
			}
			return healthy
		}, 0, 0, 0},
		{"nothing", func(int) zoneCondition { return healthy }, 1, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				p, rng := threeZonePolicy(), rand.New(rand.NewPCG(seed, 0))
				simulate(p, rng, 0, 5*time.Second, 150, func(time.Duration, int) zoneCondition { return healthy })
				simulate(p, rng, 5*time.Second, 7*time.Second, 150, func(_ time.Duration, z int) zoneCondition { return test.condition(z) })
				parts := p.TrafficFractions(0)
				if got := parts["z1"]; got < test.minFraction || got > test.maxFraction {
					t.Errorf("seed %d: the zone has %.2f of its traffic, wanted %.2f to %.2f", seed, got, test.minFraction, test.maxFraction)
				}
				if lowest := min(parts["z0"], parts["z2"]); lowest < test.minOthers {
					t.Errorf("seed %d: others have %.2f", seed, lowest)
				}
			}
		})
	}
}

// A zone that fails wholly is left within a second, and is whole again in steps that double at most,
// half a minute after it came back.
func TestFailedZoneIsEvacuatedAndRampsUpAgain(t *testing.T) {
	for seed := range uint64(20) {
		p, rng := threeZonePolicy(), rand.New(rand.NewPCG(seed, 1))
		evacuatedAfter, recoveredAfter, previous := time.Duration(-1), time.Duration(-1), 0.0
		for now := time.Duration(0); now < 60*time.Second; now += 100 * time.Millisecond {
			simulate(p, rng, now, now+100*time.Millisecond, 300, func(now time.Duration, z int) zoneCondition {
				if z == 1 && now >= 5*time.Second && now < 12*time.Second {
					return zoneCondition{failingServers: 1}
				}
				return zoneCondition{}
			})
			fraction := p.TrafficFractions(0)["z1"]
			if evacuatedAfter < 0 && now >= 5*time.Second && fraction == 0 {
				evacuatedAfter = now - 5*time.Second
			}
			if now >= 12*time.Second && fraction > 2*previous+initialRampFraction {
				t.Errorf("seed %d: from %.2f to %.2f at once", seed, previous, fraction)
			}
			if previous = fraction; recoveredAfter < 0 && now > 12*time.Second && fraction == 1 {
				recoveredAfter = now - 12*time.Second
			}
		}
		if evacuatedAfter < 0 || evacuatedAfter > time.Second || recoveredAfter < 0 || recoveredAfter > 30*time.Second {
			t.Errorf("seed %d: left after %v, whole %v after it came back", seed, evacuatedAfter, recoveredAfter)
		}
	}
}

// A zone that flaps is left longer each time: of ten minutes of flaps, half of the time bad, it is sent
// a small part of what it would fail.
func TestFlappingZoneStaysEvacuatedLonger(t *testing.T) {
	p, rng := threeZonePolicy(), rand.New(rand.NewPCG(3, 3))
	evacuations, previous := 0, Healthy
	for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
		simulate(p, rng, now, now+time.Second, 150, func(now time.Duration, z int) zoneCondition {
			if z == 1 && now%(20*time.Second) < 10*time.Second {
				return zoneCondition{failingServers: 1}
			}
			return zoneCondition{}
		})
		if state := p.byName["z1"].state; state == Evacuated && previous != Evacuated {
			evacuations++
			previous = state
		} else {
			previous = state
		}
	}
	if evacuations > 15 {
		t.Errorf("left %d times in ten minutes of 30 flaps", evacuations)
	}
}

// The rest is never filled beyond what it bears; operators' orders go before what is seen.
func TestEvacuationRespectsCapacityAndOrders(t *testing.T) {
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
