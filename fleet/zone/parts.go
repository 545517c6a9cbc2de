package zone

import (
	"math"
	"time"
)

// Parts gives the part of its usual traffic that each zone may have, by name. Where all are left, or
// what is left of the others could not bear what would come, all have some: no zone is emptied onto
// ones that fall under it. Asked is what the node's fleet asks in all, in requests a second, where
// capacities are known.
func (p *Policy) Parts(asked float64) map[string]float64 {
	parts := make(map[string]float64, len(p.zones))
	sum, bears, known := 0.0, 0.0, true
	for _, z := range p.zones {
		parts[z.Name] = z.part
		sum += z.part
		bears += z.part * spareMost * z.Capacity
		known = known && z.Capacity > 0
	}
	if sum == 0 { // nobody is better: over all, as if nothing were known
		for _, z := range p.zones {
			parts[z.Name] = 1
		}
		return parts
	}
	if lack := asked - bears; known && lack > 0 {
		p.spill(parts, lack)
	}
	return parts
}

// spill gives zones that are left in part, or wholly, what the others can't bear, the nearest first;
// those that operators told to leave last.
func (p *Policy) spill(parts map[string]float64, lack float64) {
	for _, ordered := range []bool{false, true} {
		for _, z := range p.zones {
			if (z.order == Leave) != ordered || lack <= 0 {
				continue
			}
			room := (1 - parts[z.Name]) * spareMost * z.Capacity
			takes := math.Min(room, lack)
			parts[z.Name] += takes / (spareMost * z.Capacity)
			lack -= takes
		}
	}
}

// View is what operators see of a zone.
type View struct {
	Zone  string
	State State
	Part  float64
	Order Order
	Why   string
	Since time.Duration
	Hold  time.Duration // for which it is left, or would be
}

// Views gives what operators see, the nearest first.
func (p *Policy) Views() (views []View) {
	for _, z := range p.zones {
		views = append(views, View{z.Name, z.state, z.part, z.order, z.why, z.since, z.hold})
	}
	return views
}
