package zone

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// TestNamesAreAsRecorded guards against a change of the names of states and orders, which operators use.
func TestNamesAreAsRecorded(t *testing.T) {
	text := "states:\n"
	for s := Healthy; s <= Returning; s++ {
		text += s.String() + "\n"
	}
	text += "orders:\n"
	for o := NoOrder; o <= Return; o++ {
		text += o.String() + "\n"
		back, err := ParseOrder(o.String())
		require.NoError(t, err)
		require.Equal(t, o, back)
	}
	golden.CheckText(t, "names", text)
}
