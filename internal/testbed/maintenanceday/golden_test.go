package maintenanceday

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// The figures of a play, with their units, have the recorded names, in the recorded order.
func TestNamesAreAsRecorded(t *testing.T) {
	p, err := Run(Draw(21, 60))
	require.NoError(t, err)
	var out strings.Builder
	for _, f := range p.Figures(1) {
		out.WriteString(f.Name + "|" + f.Unit + "\n")
	}
	golden.CheckText(t, "names", out.String())
}
