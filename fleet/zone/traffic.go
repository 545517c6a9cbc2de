package zone

import (
	"math"
	"time"
)

// TrafficFractions returns the fraction of its usual traffic that each zone may have, by name. Where all are evacuated, or
// the others could not take what would come, all have some: no zone is evacuated onto zones that fail under it. offered is
// the traffic of the whole fleet in requests a second, where capacities are known.
func (p *Policy) TrafficFractions(offered float64) map[string]float64 {
	fractions := make(map[string]float64, len(p.zones))
	total, usable, capacitiesKnown := 0.0, 0.0, true
	for _, z := range p.zones {
		fractions[z.Name] = z.fraction
		total += z.fraction
		usable += z.fraction * maxFillFraction * z.Capacity
		capacitiesKnown = capacitiesKnown && z.Capacity > 0
	}
	if total == 0 { // no zone is better: traffic goes as if nothing were known
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

// spill gives what the others can't take to zones that have less than their traffic, the nearest first and those that
// operators ordered to leave last.
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

// View is what operators see of a zone.
type View struct {
	Zone           string
	State          State
	Fraction       float64
	Order          Order
	Reason         string
	Since          time.Duration
	EvacuationTime time.Duration // least time of an evacuation
}

// Views returns what operators see, the nearest zone first.
func (p *Policy) Views() (views []View) {
	for _, z := range p.zones {
		views = append(views, View{z.Name, z.state, z.fraction, z.order, z.reason, z.since, z.evacuationTime})
	}
	return views
}
