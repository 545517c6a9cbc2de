package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloestile/fleet/rules"
	"sloestile/internal/testbed/scale"
)

// Changes of the configuration that the target states.
const (
	changesDaily    = 5300.0
	changesInMinute = 100.0
)

// compiledRules is how many rules are compiled at least for one reading.
const compiledRules = 20_000

// documents measures the one text that a rule set is, by the number of tenants that it names a limit for.
// A text beyond rules.TextMost is refused by the program, so what is beyond is read with the same types
// and the same decoder but without that limit: it is what the text would cost. The text is sent whole
// for each change. Compiling grows with the square of the rules from some thousand on, in the TOML library,
// so that the largest size here is below the target: that one takes longer than a point may.
func documents() scale.Sweep {
	const name = "documents/"
	costs := []scale.Cost{
		{Name: name + "text", Unit: scale.Bytes, Budget: rules.MaxTextBytes, Exponent: 1},
		// What of the text is within the limit: beyond it, growth ends here, and so does the product.
		{Name: name + "rules-that-fit", Unit: scale.Count, Exponent: 1},
		{Name: name + "compile-cpu", Unit: scale.Milliseconds, Exponent: 2, Timed: true},
		// Linear, and a map that grows in steps.
		{Name: name + "heap", Unit: scale.Bytes, Budget: budgetMemory, Exponent: 1.15, Slack: 2},
		{Name: name + "steady-changes-rate", Unit: scale.BytesPerSecond, Budget: budgetBytes, Exponent: 1},
		{Name: name + "steady-changes-cpu", Unit: scale.CorePercent, Budget: budgetCPU, Exponent: 2, Timed: true},
		{Name: name + "burst-changes-rate", Unit: scale.BytesPerSecond, Budget: budgetBytes, Exponent: 1},
		{Name: name + "burst-changes-cpu", Unit: scale.CorePercent, Budget: budgetCPU, Exponent: 2, Timed: true},
	}
	return scale.Sweep{Name: "documents", Dimension: "rules in the rule set", Target: targetRoutes,
		Sizes: []int{100, 1000, 10_000, 30_000}, Quick: []int{100, 1000, 10_000}, Costs: costs,
		Measure: func(ctx context.Context, size int, seed uint64) ([]scale.Reading, error) {
			d, err := measureDocument(ctx, size, seed)
			if err != nil {
				return nil, err
			}
			perSecond := [2]float64{changesDaily / (24 * time.Hour).Seconds(), changesInMinute / time.Minute.Seconds()}
			return readings(costs, []float64{d.bytes, d.fit, 1000 * d.compile, d.heap, d.bytes * perSecond[0], 100 * d.compile * perSecond[0],
				d.bytes * perSecond[1], 100 * d.compile * perSecond[1]}), nil
		}}
}

// document is what was measured of one text.
type document struct {
	bytes, fit float64
	compile    float64 // seconds of CPU
	heap       float64 // bytes of the compiled form
}

func measureDocument(ctx context.Context, size int, seed uint64) (d document, err error) {
	text := ruleText(size, seed)
	d.bytes, d.fit = float64(len(text)), float64(size)
	if refused := (*rules.TooLargeError)(nil); len(text) > rules.MaxTextBytes {
		if _, err := rules.Parse(text); !errors.As(err, &refused) {
			return d, fmt.Errorf("a text of %d bytes is not refused: %w", len(text), err)
		}
		d.fit = float64(rulesThatFit(size, seed))
	}
	if err := ctx.Err(); err != nil {
		return d, err
	}
	// Several are compiled and held, so that a small one can be measured.
	held := make([]*rules.Compiled, max(1, compiledRules/size))
	before := scale.Heap()
	spent := scale.CPUOf(func() {
		for i := range held {
			if held[i], err = compile(text); err != nil {
				return
			}
		}
	})
	heap := scale.Heap() - before
	runtime.KeepAlive(held)
	runtime.KeepAlive(text) // so that its end is not taken from the heap
	d.heap, d.compile = heap/float64(len(held)), spent.Seconds()/float64(len(held))
	return d, err
}

// compile reads a text as rules.Parse does, but for the limit of its bytes, and compiles it.
func compile(text []byte) (*rules.Compiled, error) {
	if len(text) <= rules.MaxTextBytes {
		s, err := rules.Parse(text)
		if err != nil {
			return nil, err
		}
		return s.Compile(ruleSettings())
	}
	s := &rules.Set{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(s); err != nil {
		return nil, err
	}
	return s.Compile(ruleSettings())
}

func ruleSettings() rules.Settings {
	return rules.Settings{Plans: []string{"basic", "business", "carrier"}, Classes: []string{"charge", "query"}, Zones: []string{memberZone(0)}}
}

// ruleText is a rule set with a limit of its own for so many tenants.
func ruleText(size int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 0x72756c6573))
	plans := ruleSettings().Plans
	var b bytes.Buffer
	for range size {
		factor := math.Round(100*(0.5+2*rng.Float64())) / 100
		fmt.Fprintf(&b, "[customers.\"%s %016x\"]\nquota = %.2f\n", plans[rng.IntN(len(plans))], rng.Uint64(), factor)
	}
	return b.Bytes()
}

// rulesThatFit is how many of a text's rules the program takes.
func rulesThatFit(size int, seed uint64) int {
	least, most := 0, size
	for least < most {
		middle := (least + most + 1) / 2
		if _, err := rules.Parse(ruleText(middle, seed)); err != nil {
			most = middle - 1
		} else {
			least = middle
		}
	}
	return least
}
