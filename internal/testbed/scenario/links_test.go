package scenario

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// A fault takes the links that it names: single pairs or all of some nodes, one direction or both, of
// one zone, and where it says so of the nodes that another takes; no link of two nodes twice.
func TestDrawnLinks(t *testing.T) {
	f, err := Read(dir+"calm.toml", "fleet = {nodes = 9, servers = 6, zones = 3}")
	require.NoError(t, err)
	zone := 1
	f.Fault = []Fault{
		{Kind: "drop", Share: one(0.25), Links: []string{"peers"}, Pairs: true},
		{Kind: "drop", Share: one(1), Zone: &zone, Links: []string{"peers", "servers"}, Direction: "in"},
		{Kind: "stall", Share: one(1), Links: []string{"peers"}},
		{Kind: "kill", Share: one(0.3)},
		{Kind: "lag", Same: 4, Links: []string{"agents", "clients"}, Direction: "out"},
		{Kind: "power", Same: 4},
		{Kind: "disk", Share: one(0.2), How: "full"},
	}
	for seed := range uint64(20) {
		d, err := f.Draw(seed)
		require.NoError(t, err)
		e := d.Faults
		require.Len(t, e[0].Links, int(math.Round(0.25*9*8/2)))
		require.Len(t, e[1].Links, 3*(8+6))
		require.Len(t, e[2].Links, 9*8/2)
		require.Len(t, e[4].Links, 2*3)
		require.ElementsMatch(t, e[3].Targets, e[4].Targets)
		require.Equal(t, e[3].Targets, e[5].Targets)
		require.Len(t, e[6].Targets, 2, "a disk's targets are its own")
		for i, x := range e {
			for _, l := range x.Links {
				back := Link{l.Kind, l.Other, l.Node, l.Out, l.In}
				require.False(t, l.Kind == "peers" && l.Out && l.In && slices.Contains(x.Links, back), "%v twice", l)
				require.Equal(t, i != 1, l.Out)
				require.Equal(t, i != 4, l.In)
				require.True(t, i != 1 || d.Nodes[l.Node].Zone == zone)
				require.True(t, i != 4 || slices.Contains(e[3].Targets, l.Node))
			}
		}
	}
}
