package rules

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const fullText = `
[plans.gold]
price = 2.5
quota = 0.5
[plans.free]
[customers."gold 00000000b4d65521"]
quota = 1.5
[classes.lookup]
attempts = 2
[limits]
in_flight = 300
attempts = 3
[zones.hall-a]
closed = true
[zones.hall-b]
cost = 0.2
[work]
hosts = [{ name = "h1", needs = "20m" }]
[uplinks.east]
every = "95m"
`

var nodeSettings = Settings{Plans: []string{"free", "gold"}, Classes: []string{"charge", "lookup"}, Zones: []string{"hall-a", "hall-b"}, MaxAttempts: 5, MaxInFlight: 400}

func TestParseAndCompile(t *testing.T) {
	s, err := Parse([]byte(fullText))
	require.NoError(t, err)
	c, err := s.Compile(nodeSettings)
	require.NoError(t, err)
	assert.True(t, math.IsNaN(c.PriceFactor[0]))
	c.PriceFactor[0] = 0
	assert.Equal(t, &Compiled{PriceFactor: []float64{0, 2.5}, QuotaFactor: []float64{1, 0.5}, TenantQuotaFactor: map[string]float64{"gold 00000000b4d65521": 1.5},
		MaxAttempts: []int{3, 2}, MaxInFlight: 300, ClosedZones: []string{"hall-a"}, CrossZoneCost: map[string]float64{"hall-b": 0.2}}, c)
	text, err := MarshalSection(s.Work)
	require.NoError(t, err)
	assert.Contains(t, string(text), "needs = '20m'")

	empty, err := Parse(nil)
	require.NoError(t, err)
	c, err = empty.Compile(nodeSettings)
	require.NoError(t, err)
	assert.Equal(t, []int{5, 5}, c.MaxAttempts)
	assert.Equal(t, 400, c.MaxInFlight)
}

func TestInvalidSetIsRejected(t *testing.T) {
	for text, want := range map[string]error{
		"[plans.gold]\nfee = 1":                &DocumentError{2, "plans.gold.fee", "unknown key"},
		"[plans.gold]\nprice = -1":             &DocumentError{0, "plans.gold.price", "-1 is not within 0 to 1000"},
		"[plans.gold]\nprice = nan":            &DocumentError{0, "plans.gold.price", "NaN is not within 0 to 1000"},
		"[customers.gold]\nquota = 1":          &DocumentError{0, "customers.gold", "not a plan and a customer: want a plan's name, a space, 16 hex digits"},
		"[limits]\nattempts = 0":               &DocumentError{0, "limits.attempts", "0 is not within 1 to 1048576"},
		"[plans.brass]":                        &UnknownNameError{"plan", "brass"},
		"[customers.\"tin 00000000b4d65521\"]": &UnknownNameError{"plan", "tin"},
		"[classes.bulk]":                       &UnknownNameError{"class", "bulk"},
		"[zones.hall-c]":                       &UnknownNameError{"zone", "hall-c"},
		"[limits]\nattempts = 6":               &LooserError{"limits.attempts", 6, 5},
		"[limits]\nin_flight = 401":            &LooserError{"limits.in_flight", 401, 400},
		"[classes.lookup]\nattempts = 6":       &LooserError{"classes.lookup.attempts", 6, 5},
		"[zones.hall-a]\nclosed = true\n[zones.hall-b]\nclosed=true": &AllClosedError{nodeSettings.Zones},
		"#" + string(make([]byte, MaxTextBytes)):                     &TooLargeError{"bytes of a rule set", MaxTextBytes + 1, MaxTextBytes},
	} {
		s, err := Parse([]byte(text))
		if err == nil {
			err = s.Check(nodeSettings)
		}
		assert.Equal(t, want, err, "%.40q", text)
	}
	for _, text := range []string{"[plans", "[plans.gold]\nprice = 'x'", "plans = 3"} {
		_, err := Parse([]byte(text))
		var doc *DocumentError
		require.ErrorAs(t, err, &doc, text)
		assert.Positive(t, doc.Line, text)
	}
}

// Any accepted text must compile to limits that are no looser than the node's settings, and its work plan must be
// marshalable.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fullText))
	f.Add([]byte("[limits]\nattempts = 1e400"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		if c, err := s.Compile(nodeSettings); err == nil {
			for i := range c.MaxAttempts {
				if c.MaxAttempts[i] > nodeSettings.MaxAttempts || c.MaxInFlight > nodeSettings.MaxInFlight || c.MaxAttempts[i] < 1 || !(c.QuotaFactor[0] <= maxQuotaFactor) {
					t.Fatalf("the compiled limits are looser than the settings: %+v", c)
				}
			}
		}
		if _, err := MarshalSection(s.Work); err != nil {
			t.Fatalf("marshaling the work plan failed: %v", err)
		}
	})
}
