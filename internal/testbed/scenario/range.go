package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"

	"github.com/pelletier/go-toml/v2"
)

// Range is a figure that is drawn anew for each seed; in a file it is a number or [low, high].
type Range struct{ Lo, Hi float64 }

// UnmarshalTOML reads a number or a pair.
func (r *Range) UnmarshalTOML(raw []byte) error {
	var v struct{ V any }
	if err := toml.Unmarshal(append([]byte("V = "), raw...), &v); err != nil {
		return err
	}
	figure := func(v any) (float64, error) {
		switch v := v.(type) {
		case int64:
			return float64(v), nil
		case float64:
			return v, nil
		}
		return 0, fmt.Errorf("%v is no number", v)
	}
	pair, ok := v.V.([]any)
	if !ok {
		pair = []any{v.V, v.V}
	}
	if len(pair) != 2 {
		return fmt.Errorf("%s is neither a number nor [low, high]", raw)
	}
	var err1, err2 error
	r.Lo, err1 = figure(pair[0])
	r.Hi, err2 = figure(pair[1])
	if err := cmp.Or(err1, err2); err != nil {
		return err
	}
	if r.Lo > r.Hi {
		return fmt.Errorf("low %g is above high %g", r.Lo, r.Hi)
	}
	return nil
}

func (r Range) draw(rng *rand.Rand) float64 { return r.Lo + (r.Hi-r.Lo)*rng.Float64() }

func (r Range) whole(rng *rand.Rand) int {
	return int(r.Lo) + rng.IntN(int(r.Hi)-int(r.Lo)+1)
}

// one is a range of a single figure.
func one(v float64) Range { return Range{v, v} }
