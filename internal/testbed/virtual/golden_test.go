package virtual

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
	"sloestile/internal/testbed/scenario"
)

// The figures of each way, with their units, have the recorded names, in the recorded order.
func TestNamesAreAsRecorded(t *testing.T) {
	f, err := scenario.Read("../../../scenarios/uplink-known.toml", "seconds = 12", "fleet = {nodes = 6, servers = 6, zones = 3}",
		"fault = [{kind = \"split\", at_s = 6, for_s = 3, zone = 1}]")
	require.NoError(t, err)
	d, err := f.Draw(1)
	require.NoError(t, err)
	var out strings.Builder
	for _, way := range []Way{Alone, Provided, RulesOverlap} {
		out.WriteString(string(way) + "\n")
		for _, x := range Run(d, way, 0) {
			out.WriteString(" " + x.Name + "|" + x.Unit + "\n")
		}
	}
	golden.CheckText(t, "names", out.String())
}
