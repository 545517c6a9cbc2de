package scale

import (
	"encoding/json"
	"math"
	"os"
)

// figure is a number that may be missing: JSON has none that is not finite.
type figure float64

// MarshalJSON gives null for what is no number.
func (f figure) MarshalJSON() ([]byte, error) {
	if v := float64(f); !math.IsNaN(v) && !math.IsInf(v, 0) {
		return json.Marshal(v)
	}
	return []byte("null"), nil
}

// costFile is one cost in the file that JSON writes.
type costFile struct {
	Name      string  `json:"name"`
	Unit      Unit    `json:"unit"`
	Sweep     string  `json:"sweep"`
	Dimension string  `json:"dimension"`
	Points    []Point `json:"points"`
	Factor    figure  `json:"factor"`
	Exponent  figure  `json:"exponent"`
	Half      figure  `json:"exponent_half"`
	Residual  figure  `json:"residual_decades"`
	Stated    float64 `json:"exponent_stated"`
	Label     string  `json:"label"`
	Target    int     `json:"target"`
	AtTarget  figure  `json:"at_target"`
	Basis     Basis   `json:"basis"`
	Budget    float64 `json:"budget"`
	Ratio     figure  `json:"ratio"`
}

// eventFile is one figure of an event in the file that JSON writes.
type eventFile struct {
	Name   string    `json:"name"`
	Unit   Unit      `json:"unit"`
	Event  string    `json:"event"`
	Values []float64 `json:"values"`
	Budget float64   `json:"budget"`
	Bound  float64   `json:"bound"`
	Ratio  figure    `json:"ratio"`
}

type resultFile struct {
	Quick    bool        `json:"quick"`
	Seeds    []uint64    `json:"seeds"`
	Seconds  float64     `json:"seconds"`
	Passed   bool        `json:"passed"`
	Last     string      `json:"last"`
	Breaches []string    `json:"breaches"`
	Costs    []costFile  `json:"costs"`
	Events   []eventFile `json:"events"`
}

// JSON writes every figure by name with its unit.
func (r *Result) JSON(path string) error {
	f := resultFile{Quick: r.Quick, Seeds: r.Seeds, Seconds: r.Took.Seconds(), Passed: r.Passed(), Last: r.Last()}
	for _, b := range r.Breaches {
		f.Breaches = append(f.Breaches, b.String())
	}
	for _, s := range r.Series {
		value, basis := s.AtTarget()
		f.Costs = append(f.Costs, costFile{Name: s.Cost.Name, Unit: s.Cost.Unit, Sweep: s.Sweep, Dimension: s.Dimension,
			Points: s.Points, Factor: figure(s.Fit.Factor), Exponent: figure(s.Fit.Exponent), Half: figure(s.Fit.Half),
			Residual: figure(s.Fit.Residual), Stated: s.Cost.Exponent, Label: s.Fit.Label, Target: s.Target,
			AtTarget: figure(value), Basis: basis, Budget: s.Cost.Budget, Ratio: figure(s.Ratio())})
	}
	for _, e := range r.Events {
		f.Events = append(f.Events, eventFile{Name: e.Cost.Name, Unit: e.Cost.Unit, Event: e.Event, Values: e.Values,
			Budget: e.Cost.Budget, Bound: e.Cost.Bound, Ratio: figure(e.Ratio())})
	}
	b, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
