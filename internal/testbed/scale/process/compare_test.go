package process

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed"
)

func TestRatios(t *testing.T) {
	real, hollow := map[int]float64{10: 5, 20: 8, 40: 14, 80: 1}, map[int]float64{10: 1, 20: 2, 40: 4, 160: 1}
	direct, err := Comparison{Factor: 0.5}.Ratios(real, hollow)
	require.NoError(t, err)
	assert.Equal(t, map[int]float64{10: 10, 20: 8, 40: 7}, direct)
	growth, err := Comparison{Factor: 1, Growth: true}.Ratios(real, hollow)
	require.NoError(t, err)
	assert.Equal(t, map[int]float64{20: 3, 40: 3}, growth)
	var size *SizeError
	_, err = Comparison{Factor: 1, Growth: true}.Ratios(map[int]float64{10: 1}, hollow)
	require.ErrorAs(t, err, &size)
	_, err = Comparison{Factor: 1}.Ratios(map[int]float64{7: 1}, hollow)
	require.ErrorAs(t, err, &size)
}

// Each comparison names a cost that some sweep of this package has, and no cost has two names.
func TestComparisonsNameCosts(t *testing.T) {
	costs := map[string]bool{}
	for _, s := range Sweeps(&testbed.Deploy{}) {
		for _, c := range s.Costs {
			assert.False(t, costs[c.Name], c.Name)
			costs[c.Name] = true
		}
	}
	for _, c := range Comparisons() {
		assert.True(t, costs[c.Real], c.Real)
		assert.Positive(t, c.Factor, c.Real)
		assert.NotEmpty(t, c.About, c.Real)
	}
}
