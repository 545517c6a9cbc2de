package zone

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// zoneCondition is the simulated condition of a zone. The zero value is a healthy zone.
type zoneCondition struct {
	failingServers float64 // fraction of the servers that fail
	errorRate      float64 // fraction of the attempts at the other servers that fail
	latencyFactor  float64 // factor of the usual response time; below 1 means 1
}

// simulate sends the attempts of a node to three zones of ten servers each, according to the fractions of its policy.
// rate is the number of attempts per second and zone.
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

// TestTrafficFractionByFault guards against a zone that keeps its traffic when it fails, or loses it when the fault
// lies elsewhere. It checks the fractions two seconds after the start of each kind of fault.
func TestTrafficFractionByFault(t *testing.T) {
	healthy := zoneCondition{}
	for _, test := range []struct {
		name                     string
		condition                func(zone int) zoneCondition
		minFraction, maxFraction float64 // range of the fraction of zone 1
		minOthers                float64 // minimum fraction of the other zones
	}{
		{"all servers of a zone fail", func(z int) zoneCondition {
			if z == 1 {
				return zoneCondition{failingServers: 1}
			}
			return healthy
		}, 0, 0, 1},
		{"all zones fail, as for a node without a network", func(int) zoneCondition { return zoneCondition{failingServers: 1} }, 1, 1, 1},
		{"half of the servers of a zone fail", func(z int) zoneCondition {
			if z == 1 {
				return zoneCondition{failingServers: 0.5}
			}
			return healthy
		}, 0.9, 1, 1},
		{"a zone responds four times more slowly", func(z int) zoneCondition {
			if z == 1 {
				return zoneCondition{latencyFactor: 4}
			}
			return healthy
		}, 0.3, 0.7, 1},
		{"a tenth of the attempts at a zone fail", func(z int) zoneCondition {
			if z == 1 {
				return zoneCondition{errorRate: 0.1}
			}
			return healthy
		}, 1, 1, 1},
		{"all servers of two zones fail", func(z int) zoneCondition {
			if z > 0 {
				return zoneCondition{failingServers: 1}
			}
			return healthy
		}, 0, 0, 0},
		{"no fault", func(int) zoneCondition { return healthy }, 1, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				p, rng := threeZonePolicy(), rand.New(rand.NewPCG(seed, 0))
				simulate(p, rng, 0, 5*time.Second, 150, func(time.Duration, int) zoneCondition { return healthy })
				simulate(p, rng, 5*time.Second, 7*time.Second, 150, func(_ time.Duration, z int) zoneCondition { return test.condition(z) })
				fractions := p.TrafficFractions(0)
				if got := fractions["z1"]; got < test.minFraction || got > test.maxFraction {
					t.Errorf("seed %d: zone 1 has fraction %.2f, want %.2f to %.2f", seed, got, test.minFraction, test.maxFraction)
				}
				if lowest := min(fractions["z0"], fractions["z2"]); lowest < test.minOthers {
					t.Errorf("seed %d: another zone has fraction %.2f, want at least %.2f", seed, lowest, test.minOthers)
				}
			}
		})
	}
}

// TestFailedZoneIsEvacuatedAndRampsUpAgain guards against a slow evacuation and against a return that is slow or
// sudden: a zone that fails completely must be evacuated within a second, and after the fault its traffic must return
// within 30 s, at most doubling in each step.
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
				t.Errorf("seed %d: fraction rises from %.2f to %.2f in one step", seed, previous, fraction)
			}
			if previous = fraction; recoveredAfter < 0 && now > 12*time.Second && fraction == 1 {
				recoveredAfter = now - 12*time.Second
			}
		}
		if evacuatedAfter < 0 || evacuatedAfter > time.Second || recoveredAfter < 0 || recoveredAfter > 30*time.Second {
			t.Errorf("seed %d: evacuated %v after the fault began, want at most 1s; recovered %v after it ended, want at most 30s",
				seed, evacuatedAfter, recoveredAfter)
		}
	}
}

// TestFlappingZoneStaysEvacuatedLonger guards against traffic that follows a flapping zone: the evacuation must last
// longer each time, so that a zone that fails for ten of every twenty seconds is evacuated at most 15 times in ten
// minutes.
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
		t.Errorf("zone evacuated %d times during 30 flaps in ten minutes, want at most 15", evacuations)
	}
}

// TestEvacuationRespectsCapacityAndOrders guards against zones that are overloaded by the evacuation of another one:
// the evacuated zone must receive the traffic beyond their capacity. Operators' orders must take effect without any
// attempts.
func TestEvacuationRespectsCapacityAndOrders(t *testing.T) {
	p := New("a", []Zone{{Name: "a", Capacity: 100}, {Name: "b", Distance: 1, Capacity: 100}, {Name: "c", Distance: 2, Capacity: 100}})
	if !p.SetOrder(0, "b", Leave) || p.SetOrder(0, "x", Leave) {
		t.Error("SetOrder: want true for a known zone and false for an unknown one")
	}
	if got := p.TrafficFractions(150); got["b"] != 0 || got["a"] != 1 {
		t.Errorf("offered 150 with 160 usable: fractions %v", got)
	}
	if got := p.TrafficFractions(180); got["b"] < 0.2 || got["b"] > 0.3 {
		t.Errorf("offered 180 with 160 usable: fractions %v", got)
	}
	p.SetOrder(0, "b", Return)
	if v := p.Views()[1]; v.State != Returning || v.Fraction != initialRampFraction {
		t.Errorf("zone after the order to return: %+v", v)
	}
}
