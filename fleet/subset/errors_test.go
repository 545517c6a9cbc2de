package subset

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInvalidConfigIsRejected guards against a value out of its range that is accepted, or reported by
// another key.
func TestInvalidConfigIsRejected(t *testing.T) {
	invalid := map[string]Config{
		"node":       {Node: -1},
		"most":       {MaxServers: -1},
		"zone least": {MinPerZone: maxPerZoneMinimum + 1},
		"list most":  {MaxServers: 300, MaxListed: 299},
	}
	for key, config := range invalid {
		_, err := New(config)
		var configErr *ConfigError
		require.ErrorAs(t, err, &configErr)
		require.Equal(t, key, configErr.Key)
		requireOneLine(t, err)
	}
	require.NoError(t, Config{Node: maxNode, MinPerZone: NoZoneMinimum}.Validate())
}

// requireOneLine requires an error text of one line with a hint for the operator.
func requireOneLine(t *testing.T, err error) {
	t.Helper()
	require.NotContains(t, err.Error(), "\n")
	require.Contains(t, err.Error(), "; ")
}

// TestInvalidEntryRejectsWholeMessage guards against a message of which only a part is applied: it sends each
// kind of invalid entry after a valid one, as a list and as a delta. The set must not change.
func TestInvalidEntryRejectsWholeMessage(t *testing.T) {
	long := strings.Repeat("x", MaxFieldBytes+1)
	invalid := map[string]Server{
		"ID":        {},
		"endpoint":  {ID: "w", Endpoint: long},
		"zone":      {ID: "w", Zone: long},
		"model":     {ID: "w", Model: long},
		"state":     {ID: "w", State: Removed + 1},
		"capacity":  {ID: "w", Capacity: math.NaN()},
		"boot time": {ID: "w", BootMS: math.Inf(1)},
		"":          {ID: "good", Endpoint: "10.0.0.9:80"},
	}
	invalid["ID\n"] = Server{ID: "\n" + long}
	for field, server := range invalid {
		requireRejected(t, Server{ID: "good"}, server, strings.TrimSpace(field))
	}
	for _, contradiction := range []Server{{ID: "good", State: Removed}, {ID: "good", State: Draining}} {
		requireRejected(t, Server{ID: "good"}, contradiction, "")
		requireRejected(t, contradiction, Server{ID: "good"}, "")
	}
}

// requireRejected sends two entries, the second of which is invalid in a field, and requires that the set
// rejects both.
func requireRejected(t *testing.T, valid, invalid Server, field string) {
	t.Helper()
	set := mustNew(t, Config{})
	listed := Server{ID: "listed", Zone: "z"}
	apply(t, set, listed)
	change, err := set.Apply([]Server{valid, invalid})
	require.Empty(t, change)
	requireEntryError(t, err, field)

	list := set.NewList()
	require.NoError(t, list.Add(valid))
	err = list.Add(invalid)
	requireEntryError(t, err, field)
	require.Same(t, err, list.Add(Server{ID: "later"}), "the list stays unusable")
	require.Empty(t, set.Replace(list))
	require.Equal(t, []Server{listed}, set.Chosen())
}

func requireEntryError(t *testing.T, err error, field string) {
	t.Helper()
	var entryErr *EntryError
	require.ErrorAs(t, err, &entryErr)
	require.Equal(t, field, entryErr.Field)
	require.Equal(t, 2, entryErr.Number)
	require.LessOrEqual(t, len(entryErr.ID), maxShownIDBytes)
	requireOneLine(t, err)
}

// TestRepeatedEntriesAreIgnored guards against an error or a double entry when a message repeats an entry with
// the same content.
func TestRepeatedEntriesAreIgnored(t *testing.T) {
	a, removed := Server{ID: "a", Zone: "z"}, Server{ID: "gone", State: Removed}
	set := mustNew(t, Config{})
	replace(t, set, []Server{a, removed, a, removed})
	require.Equal(t, []Server{a}, set.Chosen())
	require.Empty(t, apply(t, set, a, removed, a, removed))
	b := Server{ID: "b"}
	require.Equal(t, Change{Updated: []Server{b}}, apply(t, set, b, b))
	require.Equal(t, 2, set.Len())
}

// TestTooManyServersAreRejected guards against a list or a delta that exceeds the maximum number of servers,
// and against rejecting a delta that removes as many servers as it adds.
func TestTooManyServersAreRejected(t *testing.T) {
	set := mustNew(t, Config{MaxServers: 5, MaxListed: 20})
	servers := newServers(1, 42, []float64{1})
	replace(t, set, servers[:20])
	before := set.Chosen()

	list := set.NewList()
	for _, server := range servers[:20] {
		require.NoError(t, list.Add(server))
	}
	require.NoError(t, list.Add(servers[0]), "a repeated entry is not counted")
	requireTooMany(t, list.Add(servers[20]), TooManyError{What: "servers", Count: 21, Max: 20})
	require.Empty(t, set.Replace(list))

	_, err := set.Apply(servers[20:21])
	requireTooMany(t, err, TooManyError{What: "servers", Count: 21, Max: 20})
	_, err = set.Apply(servers[20:41])
	requireTooMany(t, err, TooManyError{What: "entries", Count: 21, Max: 20})
	require.Equal(t, before, set.Chosen())

	apply(t, set, append(inState(Removed, servers[:3]...), servers[20:23]...)...)
	require.Equal(t, 20, set.Len())
}

// TestTooManyRemovalsAreRejected guards against unbounded memory for a list of removals.
func TestTooManyRemovalsAreRejected(t *testing.T) {
	set := mustNew(t, Config{MaxServers: 5, MaxListed: 20})
	list := set.NewList()
	for _, server := range inState(Removed, newServers(1, 20, []float64{1})...) {
		require.NoError(t, list.Add(server))
	}
	requireTooMany(t, list.Add(Server{ID: "a"}), TooManyError{What: "servers", Count: 21, Max: 20})
}

func requireTooMany(t *testing.T, err error, want TooManyError) {
	t.Helper()
	var tooMany *TooManyError
	require.ErrorAs(t, err, &tooMany)
	require.Equal(t, want, *tooMany)
	requireOneLine(t, err)
}

// TestTooManyZonesAreRejected guards against a list or a delta with too many zones, unless the list is short
// enough to be used whole.
func TestTooManyZonesAreRejected(t *testing.T) {
	servers := newServers(1, 100, hundredZoneWeights())
	want := TooManyError{What: "zones", Count: MaxZones + 1, Max: MaxZones}
	whole := mustNew(t, Config{MaxServers: 100})
	replace(t, whole, servers)
	require.Len(t, whole.Chosen(), 100, "a short list may have any number of zones")
	_, err := whole.Apply(newServers(2, 1, []float64{1}))
	requireTooMany(t, err, TooManyError{What: "zones", Count: 100, Max: MaxZones})

	set := mustNew(t, Config{MaxServers: 10})
	replace(t, set, servers[:MaxZones])
	list := set.NewList()
	for _, server := range servers[:MaxZones] {
		require.NoError(t, list.Add(server))
	}
	requireTooMany(t, list.Add(servers[MaxZones]), want)
	_, err = set.Apply(servers[MaxZones : MaxZones+1])
	requireTooMany(t, err, want)
	exchanged := append(inState(Removed, servers[0]), servers[MaxZones])
	apply(t, set, exchanged...)
	require.Len(t, set.index.zones, MaxZones)
}

// hundredZoneWeights returns the weights of 100 zones of the same size.
func hundredZoneWeights() []float64 {
	weights := make([]float64, 100)
	for i := range weights {
		weights[i] = 1
	}
	return weights
}

// TestListCanBeUsedOnlyOnce guards against a staged list that has an effect when it is used twice, extended
// later, or passed to another set.
func TestListCanBeUsedOnlyOnce(t *testing.T) {
	set, other := mustNew(t, Config{}), mustNew(t, Config{})
	list := set.NewList()
	require.NoError(t, list.Add(Server{ID: "a"}))
	require.Empty(t, other.Replace(list))
	require.Len(t, set.Replace(list).Updated, 1)
	require.Empty(t, set.Replace(list))
	var used *ListUsedError
	err := list.Add(Server{ID: "b"})
	require.ErrorAs(t, err, &used)
	requireOneLine(t, err)
	require.Len(t, set.Chosen(), 1)
}
