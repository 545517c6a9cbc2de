package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
	"sloestile/internal/testbed"
	"sloestile/internal/testbed/scale"
	"sloestile/internal/testbed/scale/process"
)

// describe lists a command's arguments and flags with their defaults and placeholders, and the commands below it.
func describe(out *strings.Builder, n *kong.Node, indent string) {
	fmt.Fprintln(out, indent+n.Name)
	for _, p := range n.Positional {
		fmt.Fprintf(out, "%s <%s> required=%v default=%q\n", indent, p.Name, p.Required, p.Default)
	}
	for _, f := range n.Flags {
		fmt.Fprintf(out, "%s --%s default=%q placeholder=%q\n", indent, f.Name, f.Default, f.PlaceHolder)
	}
	for _, c := range n.Children {
		describe(out, c, indent+" ")
	}
}

// The commands, arguments and flags have the recorded names and defaults.
func TestCommandsAreAsRecorded(t *testing.T) {
	parser, err := kong.New(&cli{}, kong.Name("fleetlab"))
	require.NoError(t, err)
	var out strings.Builder
	describe(&out, parser.Model.Node, "")
	golden.CheckText(t, "commands", out.String())
	require.Equal(t, [2]int{1, 2}, [2]int{exitFailed, exitUnable})
}

// The sweeps with their dimensions and costs, and the events with their figures, have the recorded names and units.
func TestSweepsAndEventsAreAsRecorded(t *testing.T) {
	var out strings.Builder
	costs := func(all []scale.Cost) {
		for _, c := range all {
			fmt.Fprintf(&out, " %s|%s\n", c.Name, c.Unit)
		}
	}
	for _, s := range slices.Concat(sweeps(), process.Sweeps(&testbed.Deploy{})) {
		fmt.Fprintf(&out, "%s|%s\n", s.Name, s.Dimension)
		costs(s.Costs)
	}
	out.WriteString("\n")
	for _, e := range events() {
		fmt.Fprintln(&out, e.Name)
		costs(e.Costs)
	}
	golden.CheckText(t, "sweeps", out.String())
}
