package zone

import (
	"math"
	"time"
)

// TrafficFractions returns the fraction of its usual traffic that each zone may have, by name. Where all are evacuated, or
// the others could not take what would come, all have some: no zone is evacuated onto zones that fail under it. offered is
// the traffic of the whole fleet in requests a second, where capacities are known.
func (p *Policy) TrafficFractions(offered float64) map[string]float64 {
	parts := make(map[string]float64, len(p.zones))
	sum, bears, known := 0.0, 0.0, true
	for _, z := range p.zones {
		parts[z.Name] = z.fraction
		sum += z.fraction
		bears += z.fraction * maxFillFraction * z.Capacity
		known = known && z.Capacity > 0
	}
	if sum == 0 { // no zone is better: traffic goes as if nothing were known
		for _, z := range p.zones {
			parts[z.Name] = 1
		}
		return parts
	}
	if lack := offered - bears; known && lack > 0 {
		p.spill(parts, lack)
	}
	return parts
}

// spill gives what the others can't take to zones that have less than their traffic, the nearest first and those that
// operators ordered to leave last.
func (p *Policy) spill(parts map[string]float64, lack float64) {
	for _, ordered := range []bool{false, true} {
		for _, z := range p.zones {
			if (z.order == Leave) != ordered || lack <= 0 {
				continue
			}
			room := (1 - parts[z.Name]) * maxFillFraction * z.Capacity
			takes := math.Min(room, lack)
			parts[z.Name] += takes / (maxFillFraction * z.Capacity)
			lack -= takes
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
