package zone

import (
	"math"
	"time"
)

// TrafficFractions returns, by zone name, the fraction of its usual traffic that each zone may receive. offered is the
// traffic of the whole fleet in requests per second; it is used only if the capacity of every zone is known.
//
// If all zones are evacuated, each receives its full traffic. The usable capacity is the sum over the zones of
// maxFillFraction of their capacity times their fraction. If it is below the offered traffic, evacuated and reduced
// zones receive the rest, so that an evacuation does not overload the other zones.
func (p *Policy) TrafficFractions(offered float64) map[string]float64 {
	fractions := make(map[string]float64, len(p.zones))
	total, usable, capacitiesKnown := 0.0, 0.0, true
	for _, z := range p.zones {
		fractions[z.Name] = z.fraction
		total += z.fraction
		usable += z.fraction * maxFillFraction * z.Capacity
		capacitiesKnown = capacitiesKnown && z.Capacity > 0
	}
	if total == 0 { // no zone is better than another
		for _, z := range p.zones {
			fractions[z.Name] = 1
		}
		return fractions
	}
	if shortfall := offered - usable; capacitiesKnown && shortfall > 0 {
		p.addShortfall(fractions, shortfall)
	}
	return fractions
}

// addShortfall distributes the traffic that exceeds the usable capacity, in requests per second, over the zones with
// less than their usual traffic: the nearest zones first, and last those that are evacuated by an operator's order.
func (p *Policy) addShortfall(fractions map[string]float64, shortfall float64) {
	for _, ordered := range []bool{false, true} {
		for _, z := range p.zones {
			if (z.order == Leave) != ordered || shortfall <= 0 {
				continue
			}
			spare := (1 - fractions[z.Name]) * maxFillFraction * z.Capacity
			added := math.Min(spare, shortfall)
			fractions[z.Name] += added / (maxFillFraction * z.Capacity)
			shortfall -= added
		}
	}
}

// View is the state of a zone as shown to operators.
type View struct {
	Zone           string
	State          State
	Fraction       float64 // fraction of its usual traffic that the zone may receive, before any shortfall is distributed
	Order          Order
	Reason         string        // reason for the state; empty if the zone is healthy
	Since          time.Duration // time of the last change of state, reason or ramp step
	EvacuationTime time.Duration // minimum duration of an evacuation
}

// Views returns the state of all zones, the nearest first.
func (p *Policy) Views() (views []View) {
	for _, z := range p.zones {
		views = append(views, View{z.Name, z.state, z.fraction, z.order, z.reason, z.since, z.evacuationTime})
	}
	return views
}
