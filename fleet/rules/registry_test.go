package rules

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { _ = flag.Set("rapid.seed", "1") }

// drawCommand draws a command that more often than not fits the registry's state.
func drawCommand(t *rapid.T, r *Registry) Command {
	number := rapid.Uint64Range(0, r.state.Newest+1).Draw(t, "number")
	if len(r.state.Scheduled) > 0 && rapid.Bool().Draw(t, "first") {
		number = r.state.Scheduled[0]
	}
	off := rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "off")
	kind := rapid.SampledFrom([]ActivationKind{Overlap, Exclusive}).Draw(t, "kind")
	switch rapid.IntRange(0, 5).Draw(t, "part") {
	case 0:
		return Command{Publish: &Publish{Parent: r.state.Newest + off, Author: "a", Text: fmt.Append(nil, "# ", rapid.IntRange(0, 9).Draw(t, "text"))}}
	case 1:
		return Command{Activate: &Activate{Number: number, Kind: kind, At: rapid.Uint64Range(0, 3).Draw(t, "at"), Author: "b"}}
	case 2:
		return Command{Rollback: &Rollback{Parent: r.state.Newest + off, Target: number, Kind: kind, Author: "c"}}
	case 3:
		return Command{Cancel: &Cancel{Number: number, Author: "d"}}
	case 4:
		return Command{Prepare: &Prepare{Number: number}}
	}
	return Command{Commit: &Commit{Number: number, Revision: r.state.Revision - min(off, r.state.Revision)}}
}

// Numbers only grow, what was published stays what it is, the active version is never an older one,
// its text and those awaited are kept; a refused command changes nothing; a snapshot taken anywhere
// goes on as the registry does.
func TestRegistryInvariantsUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, other := &Registry{}, &Registry{}
		agreed := map[uint64]Version{}
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			before, err := r.Snapshot()
			require.NoError(t, err)
			was := r.state
			raw, err := drawCommand(t, r).Encode()
			require.NoError(t, err)
			if rapid.IntRange(0, 9).Draw(t, "spoil") == 0 {
				raw[rapid.IntRange(0, len(raw)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			}
			res, err := r.Apply(raw)
			again, err2 := other.Apply(raw)
			require.Equal(t, err, err2)
			require.Equal(t, res, again)
			after, _ := r.Snapshot()
			if err != nil {
				require.Equal(t, before, after)
			}
			restored, err := Restore(after)
			require.NoError(t, err)
			other = restored

			require.GreaterOrEqual(t, r.state.Newest, was.Newest)
			require.GreaterOrEqual(t, r.state.Active, was.Active)
			require.Equal(t, res.StateChanged, r.state.Revision != was.Revision)
			for _, v := range r.Versions() {
				old, ok := agreed[v.Number]
				if !ok {
					require.Greater(t, v.Number, was.Newest)
					agreed[v.Number] = v
					continue
				}
				require.Equal(t, [4]any{old.Digest, old.Parent, old.RestoredFrom, old.Author}, [4]any{v.Digest, v.Parent, v.RestoredFrom, v.Author})
			}
			for _, n := range append([]uint64{r.state.Active}, r.state.Scheduled...) {
				if n != 0 {
					v, err := r.Version(n)
					require.NoError(t, err)
					require.NotNil(t, v.Text)
				}
			}
		}
	})
}

func TestRegistryRejectsInvalidCommands(t *testing.T) {
	r := &Registry{}
	do := func(c Command) error {
		_, err := r.ApplyCommand(c)
		return err
	}
	for n := range uint64(maxKeptVersions + 40) {
		require.NoError(t, do(Command{Publish: &Publish{Parent: n, Text: fmt.Append(nil, "# ", n)}}))
	}
	newest := r.Newest()
	assert.LessOrEqual(t, len(r.state.Versions), maxKeptVersions+1)
	assert.Equal(t, &StaleVersionError{Current: newest, Given: 3}, do(Command{Publish: &Publish{Parent: 3}}))
	assert.Equal(t, &NoVersionError{Number: 2}, do(Command{Activate: &Activate{Number: 2, Kind: Overlap}}))
	assert.Equal(t, &NoVersionError{Number: newest - maxKeptTexts, TextDropped: true}, do(Command{Rollback: &Rollback{Parent: newest, Target: newest - maxKeptTexts, Kind: Overlap}}))
	require.NoError(t, do(Command{Activate: &Activate{Number: newest - 1, Kind: Exclusive, At: 70}}))
	assert.Equal(t, &OrderError{Number: newest, Scheduled: newest - 1}, do(Command{Activate: &Activate{Number: newest, Kind: Overlap, At: 60}}))
	assert.Equal(t, &OrderError{Number: newest - 2, Scheduled: newest - 1}, do(Command{Activate: &Activate{Number: newest - 2, Kind: Overlap, At: 80}}))
	require.NoError(t, do(Command{Activate: &Activate{Number: newest - 2, Kind: Overlap}}))
	number, at, ok := r.NextActivation()
	assert.Equal(t, [3]any{newest - 2, uint64(0), true}, [3]any{number, at, ok})
	assert.Equal(t, &PhaseError{Step: "preparing", Number: newest - 1}, do(Command{Prepare: &Prepare{Number: newest - 1}}))
	require.NoError(t, do(Command{Prepare: &Prepare{Number: newest - 2}}))

	// A commit by the step of a preparation that was cancelled counts for nothing.
	step := r.State().Revision
	require.NoError(t, do(Command{Cancel: &Cancel{Number: newest - 2}}))
	require.NoError(t, do(Command{Activate: &Activate{Number: newest - 2, Kind: Overlap}}))
	require.NoError(t, do(Command{Prepare: &Prepare{Number: newest - 2}}))
	assert.Equal(t, &PhaseError{Step: "activating", Number: newest - 2, Prepared: newest - 2}, do(Command{Commit: &Commit{Number: newest - 2, Revision: step}}))
	require.NoError(t, do(Command{Commit: &Commit{Number: newest - 2, Revision: r.State().Revision}}))
	assert.Equal(t, &StaleVersionError{Current: newest - 2, Given: newest - 3}, do(Command{Activate: &Activate{Number: newest - 3, Kind: Overlap}}))

	// A way back is the older text under a new number, and what was awaited is off.
	require.NoError(t, do(Command{Rollback: &Rollback{Parent: newest, Target: newest - 5, Kind: Exclusive, Author: "ops"}}))
	back, err := r.Version(newest + 1)
	require.NoError(t, err)
	assert.Equal(t, fmt.Append(nil, "# ", newest-6), back.Text)
	off, _ := r.Version(newest - 1)
	assert.Equal(t, Cancelled, off.Status)
}

func FuzzCommand(f *testing.F) {
	for _, c := range []Command{{Publish: &Publish{Text: []byte("#")}}, {Commit: &Commit{Number: 1, Revision: 2}}, {Rollback: &Rollback{Target: 1, Kind: Overlap}}} {
		raw, err := c.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := &Registry{}
		_, _ = r.ApplyCommand(Command{Publish: &Publish{Text: []byte("# 1")}})
		if _, err := r.Apply(raw); err == nil {
			snapshot, _ := r.Snapshot()
			if _, err := Restore(snapshot); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func FuzzRestore(f *testing.F) {
	r := &Registry{}
	for n := range uint64(3) {
		_, _ = r.ApplyCommand(Command{Publish: &Publish{Parent: n, Text: []byte("# 1")}})
	}
	_, _ = r.ApplyCommand(Command{Activate: &Activate{Number: 2, Kind: Exclusive}})
	_, _ = r.ApplyCommand(Command{Prepare: &Prepare{Number: 2}})
	raw, _ := r.Snapshot()
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Restore(raw)
		if err != nil {
			return
		}
		r.State()
		for _, v := range r.Versions() {
			_, _ = r.ApplyCommand(Command{Rollback: &Rollback{Parent: r.Newest(), Target: v.Number, Kind: Overlap}})
			_, _ = r.ApplyCommand(Command{Prepare: &Prepare{Number: r.Newest()}})
			_, _ = r.ApplyCommand(Command{Commit: &Commit{Number: r.Newest(), Revision: r.State().Revision}})
		}
	})
}

func FuzzMessage(f *testing.F) {
	word := VersionState{Revision: 3, Active: VersionID{Number: 1}, Prepared: VersionID{Number: 2}, Kind: Exclusive}
	for _, m := range []Message{{Sender: 1, Incarnation: 5, State: &word}, {Sender: 1, Incarnation: 5, AckedRevision: 3, Request: &LeaseRequest{Sequence: 1, Fresh: true}},
		{Sender: 1, Incarnation: 5, Grant: &LeaseGrant{Incarnation: 9, Sequence: 1, Revision: 3, Length: 1e6, State: &word}}} {
		raw, err := m.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := DecodeMessage(raw, 4)
		if err != nil {
			return
		}
		for _, leads := range []bool{false, true} {
			n := NewNode(Config{Node: 0, Incarnation: 9, LeaseParams: DefaultLeaseParams}, 0)
			n.SetGrantors(0, []int{1})
			if leads {
				n.BecomeLeader(0)
			}
			n.Flush(0)
			n.Receive(1, m)
			if _, until, _ := n.EffectiveVersion(1); until > DefaultLeaseParams.LeaseDuration {
				t.Fatalf("a lease until %v", until)
			}
			for _, o := range n.Flush(1) {
				if _, err := o.Message.Encode(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
