package rules

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// The encoding of each command must not change, as the consensus log holds it.
func TestCommandEncodingMatchesGolden(t *testing.T) {
	for name, c := range map[string]Command{
		"publish":  {Publish: &Publish{Parent: 3, Author: "ada", Text: []byte("[limits]\nin_flight = 9\n")}},
		"activate": {Activate: &Activate{Number: 4, Kind: Exclusive, At: 77, Author: "ada"}},
		"back":     {Rollback: &Rollback{Parent: 4, Target: 2, Kind: Overlap, Author: "bo"}},
		"cancel":   {Cancel: &Cancel{Number: 4, Author: "bo"}},
		"prepare":  {Prepare: &Prepare{Number: 5}},
		"commit":   {Commit: &Commit{Number: 5, Revision: 6}},
	} {
		golden.RoundTripOf(t, "command-"+name, &c, func(c *Command) ([]byte, error) { return c.Encode() },
			func(raw []byte) (*Command, error) {
				c, err := DecodeCommand(raw)
				return &c, err
			})
	}
}

// The encoding of messages must not change, as nodes with other program versions decode it.
func TestMessageEncodingMatchesGolden(t *testing.T) {
	m := &Message{}
	golden.Fill(m)
	*m.State = VersionState{}
	golden.Fill(m.State)
	m.State.Kind, m.Grant.State.Kind = Overlap, Exclusive
	m.State.Prepared.Number, m.Grant.State.Prepared.Number = 400, 500
	m.Grant.Revision = m.Grant.State.Revision
	golden.RoundTripOf(t, "message", m, (*Message).Encode, func(raw []byte) (*Message, error) { return DecodeMessage(raw, 1000) })
}

// The encoding of a registry's snapshot must not change, as it is on disk. The registry here has an active, a prepared
// and a canceled version.
func TestSnapshotEncodingMatchesGolden(t *testing.T) {
	r := &Registry{}
	for _, c := range []Command{
		{Publish: &Publish{Author: "ada", Text: []byte("[limits]\nin_flight = 9\n")}},
		{Activate: &Activate{Number: 1, Kind: Overlap, Author: "ada"}},
		{Prepare: &Prepare{Number: 1}},
		{Commit: &Commit{Number: 1, Revision: 1}},
		{Publish: &Publish{Parent: 1, Author: "bo", Text: []byte("[limits]\nin_flight = 8\n")}},
		{Publish: &Publish{Parent: 2, Author: "bo", Text: []byte("[limits]\nin_flight = 7\n")}},
		{Activate: &Activate{Number: 2, Kind: Exclusive, At: 50, Author: "cy"}},
		{Activate: &Activate{Number: 3, Kind: Overlap, At: 60, Author: "cy"}},
		{Cancel: &Cancel{Number: 3, Author: "cy"}},
		{Prepare: &Prepare{Number: 2}},
	} {
		_, err := r.ApplyCommand(c)
		require.NoError(t, err)
	}
	golden.RoundTripOf(t, "snapshot", r, (*Registry).Snapshot, Restore)
}

// The keys of a rule set, its digest and the text of its sections must not change, as operators and other packages use
// them.
func TestTextParsingMatchesGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every-key.toml"))
	require.NoError(t, err)
	set, err := Parse(text)
	require.NoError(t, err)
	require.Equal(t, 1.5, *set.Plans["basic"].Price)
	require.Equal(t, 2.0, *set.Plans["basic"].Quota)
	require.Equal(t, 0.5, *set.Tenants["basic 00000000000000ff"].Quota)
	require.Equal(t, 3, *set.Classes["rate"].Attempts)
	require.Equal(t, 40, *set.Limits.InFlight)
	require.Equal(t, 4, *set.Limits.Attempts)
	require.True(t, set.Zones["hall-a"].Closed)
	require.Equal(t, 0.25, *set.Zones["hall-b"].Cost)
	golden.CheckText(t, "digest", DigestOf(text).String())
	for name, section := range map[string]map[string]any{"work": set.Work, "uplinks": set.Uplinks} {
		sectionText, err := MarshalSection(section)
		require.NoError(t, err)
		golden.CheckText(t, "section-"+name, string(sectionText))
	}
}

// A text with every key must be parsed to the recorded values, under the names that its tables have in the text.
func TestEveryKeyIsReadAsRecorded(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every-key.toml"))
	require.NoError(t, err)
	set, err := Parse(text)
	require.NoError(t, err)
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(set.Plans)) {
		fmt.Fprintln(&out, name, *set.Plans[name].Price, *set.Plans[name].Quota)
	}
	for _, name := range slices.Sorted(maps.Keys(set.Tenants)) {
		fmt.Fprintln(&out, name, *set.Tenants[name].Quota)
	}
	for _, name := range slices.Sorted(maps.Keys(set.Classes)) {
		fmt.Fprintln(&out, name, *set.Classes[name].Attempts)
	}
	fmt.Fprintln(&out, *set.Limits.InFlight, *set.Limits.Attempts)
	for _, name := range slices.Sorted(maps.Keys(set.Zones)) {
		cost := "none"
		if set.Zones[name].Cost != nil {
			cost = fmt.Sprint(*set.Zones[name].Cost)
		}
		fmt.Fprintln(&out, name, set.Zones[name].Closed, cost)
	}
	fmt.Fprintln(&out, set.Work, set.Uplinks)
	golden.CheckText(t, "every-key", out.String())
}

// An unknown key must be rejected in each table of a rule set.
func TestUnknownKeyIsRejected(t *testing.T) {
	for _, table := range []string{"plans.basic", `customers."basic 00000000000000ff"`, "classes.rate", "limits", "zones.hall-a"} {
		_, err := Parse([]byte("[" + table + "]\nother = 1\n"))
		var documentError *DocumentError
		require.ErrorAs(t, err, &documentError, table)
		require.Equal(t, "unknown key", documentError.Reason)
	}
}

// The names of activation kinds, version statuses and reasons must not change, as operators see them. For each type the
// recorded list ends with the name of a number that is out of range.
func TestNamesAreAsRecorded(t *testing.T) {
	text := "kinds:\n"
	for k := range Exclusive + 2 {
		text += k.String() + "\n"
	}
	text += "statuses:\n"
	for s := range Cancelled + 2 {
		text += s.String() + "\n"
	}
	text += "reasons:\n"
	for r := range OlderVersion + 2 {
		text += r.String() + "\n"
	}
	golden.CheckText(t, "names", text)
}
