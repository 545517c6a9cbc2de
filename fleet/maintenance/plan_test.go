package maintenance

import (
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validPlan = `
grant = "30s"
drain = "5s"
warm = "1m"
[bounds]
zone = 0.34
set = 0.5
sets = [3, 8]
warm = 0.25
one = true
uplink = "10m"
[trouble]
served = 0.02
lost = "1s"
resume = "rule"
calm = "30s"
[[jobs]]
name = "kernel"
hosts = ["edge-[01-12]", "rate-a"]
length = "20m"
deadline = "2026-10-03T04:00:00+02:00"
[[apart]]
name = "sources"
hosts = ["edge-01", "edge-07"]
most = 1
`

// A plan must be parsed to the values in its text, and keep them when it is written as TOML or
// encoded in a command.
func TestPlanRoundTrip(t *testing.T) {
	plan, err := Parse([]byte(validPlan))
	require.NoError(t, err)
	compiled, err := compile(plan)
	require.NoError(t, err)
	assert.Len(t, compiled.hosts, 13)
	assert.Equal(t, hostWork{"kernel", Duration(20 * time.Minute),
		Timestamp(time.Date(2026, 10, 3, 2, 0, 0, 0, time.UTC).UnixMilli())}, compiled.workByHost["edge-12"])
	assert.Equal(t, Fraction(340), plan.Bounds.MaxZoneFraction)
	text, err := toml.Marshal(plan) // as in the document of a rule set
	require.NoError(t, err)
	again, err := Parse(text)
	require.NoError(t, err)
	assert.Equal(t, plan, again)
	raw, err := (&Command{LoadPlan: &LoadPlan{Version: 1, Plan: plan}}).Encode()
	require.NoError(t, err)
	decoded, err := DecodeCommand(raw)
	require.NoError(t, err)
	assert.Equal(t, plan, decoded.LoadPlan.Plan)
}

// A plan that is not valid must be rejected with the key and host at fault, in one line with a
// hint.
func TestInvalidPlanIsRejected(t *testing.T) {
	tooManyHosts := strings.Repeat(`"x-[000001-004000]", `, 3)
	for _, tc := range []struct{ old, new, key, host string }{
		{`drain = "5s"`, "drain = \"5s\"\nhurry = true", "hurry", ""},
		{`sets = [3, 8]`, `sets = [3, 8]` + "\nsoon = 1", "bounds.soon", ""},
		{`drain = "5s"`, `drain = "soon"`, "drain", ""},
		{`drain = "5s"`, `drain = "200h"`, "drain", ""},
		{`grant = "30s"`, ``, "grant", ""},
		{`zone = 0.34`, `zone = 1.5`, "bounds.zone", ""},
		{`zone = 0.34`, ``, "bounds.zone", ""},
		{`sets = [3, 8]`, `sets = []`, "bounds.sets", ""},
		{`sets = [3, 8]`, `sets = [0]`, "bounds.sets", ""},
		{`"rule"`, `"soon"`, "trouble.resume", ""},
		{`"rate-a"`, `"rate a"`, "jobs.0.hosts", "rate a"},
		{`"rate-a"`, `"edge-04"`, "jobs.0.hosts", "edge-04"},
		{`"rate-a"`, `"edge-[9-1]"`, "jobs.0.hosts", "edge-[9-1]"},
		{`"rate-a"`, tooManyHosts + `"y"`, "jobs.0.hosts", "x-[000001-004000]"},
		{`+02:00`, ``, "jobs.deadline", ""},
		{`most = 1`, `most = 2`, "apart.0.most", ""},
		{`"edge-07"]`, `"edge-01"]`, "apart.0.hosts", "edge-01"},
		{`name = "sources"`, `name = ""`, "apart.0.name", ""},
		{`[[apart]]`, "[[jobs]]\nname = \"kernel\"\nhosts = [\"z\"]\nlength = \"1m\"\n[[apart]]", "jobs.1.name", ""},
		{`[bounds]`, `#` + strings.Repeat("x", MaxPlanBytes) + "\n[bounds]", "document", ""},
		{`[bounds]`, `[bounds`, "document", ""},
	} {
		text := strings.Replace(validPlan, tc.old, tc.new, 1)
		require.NotEqual(t, validPlan, text, tc.old)
		_, err := Parse([]byte(text))
		var planErr *PlanError
		if !assert.ErrorAs(t, err, &planErr, tc.new) {
			continue
		}
		assert.Equal(t, [2]string{tc.key, tc.host}, [2]string{planErr.Key, planErr.Host}, "%.80s: %v", tc.new, err)
		assert.NotContains(t, err.Error(), "\n")
		assert.NotEmpty(t, planErr.Hint)
	}
}

// A text is either rejected with a one-line *PlanError, or its plan can be written and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validPlan))
	f.Add([]byte(`jobs = [{name="x", hosts=["a-[1-9]"], length="1m"}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		plan, err := Parse(text)
		if err != nil {
			if assert.NotContains(t, err.Error(), "\n") {
				assert.ErrorAs(t, err, new(*PlanError))
			}
			return
		}
		encoded, err := toml.Marshal(plan)
		require.NoError(t, err)
		decoded, err := Parse(encoded)
		if len(encoded) <= MaxPlanBytes {
			require.NoError(t, err, string(encoded))
			require.Equal(t, plan, decoded)
		}
	})
}
