package scale

import (
	"math"
	"slices"
)

// EventFigure is all that was measured of one figure of an event, by seed.
type EventFigure struct {
	Event  string
	Cost   Cost
	Values []float64
}

// Most is the largest value of all seeds; NaN is that there is none.
func (e *EventFigure) Most() float64 {
	if len(e.Values) == 0 {
		return math.NaN()
	}
	return slices.Max(e.Values)
}

// Median is the median over all seeds.
func (e *EventFigure) Median() float64 { return median(slices.Clone(e.Values)) }

// Ratio gives the largest value over the budget; NaN is that no budget is set.
func (e *EventFigure) Ratio() float64 {
	if e.Cost.Budget <= 0 {
		return math.NaN()
	}
	return e.Most() / e.Cost.Budget
}
