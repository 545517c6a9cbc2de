package rules

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// init fixes the seed of package rapid, so that each run of the tests draws the same values. -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// drawCommand draws a command that the registry's state allows more often than not.
func drawCommand(t *rapid.T, r *Registry) Command {
	number := rapid.Uint64Range(0, r.state.Newest+1).Draw(t, "number")
	if len(r.state.Scheduled) > 0 && rapid.Bool().Draw(t, "first") {
		number = r.state.Scheduled[0]
	}
	offset := rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "offset")
	kind := rapid.SampledFrom([]ActivationKind{Overlap, Exclusive}).Draw(t, "kind")
	switch rapid.IntRange(0, 5).Draw(t, "command") {
	case 0:
		return Command{Publish: &Publish{Parent: r.state.Newest + offset, Author: "a", Text: fmt.Append(nil, "# ", rapid.IntRange(0, 9).Draw(t, "text"))}}
	case 1:
		return Command{Activate: &Activate{Number: number, Kind: kind, At: rapid.Uint64Range(0, 3).Draw(t, "at"), Author: "b"}}
	case 2:
		return Command{Rollback: &Rollback{Parent: r.state.Newest + offset, Target: number, Kind: kind, Author: "c"}}
	case 3:
		return Command{Cancel: &Cancel{Number: number, Author: "d"}}
	case 4:
		return Command{Prepare: &Prepare{Number: number}}
	}
	return Command{Commit: &Commit{Number: number, Revision: r.state.Revision - min(offset, r.state.Revision)}}
}

// Random commands, some with a flipped bit, must keep these invariants: version numbers only grow; a published version
// does not change; the active version is never replaced by an older one; the texts of the active and the scheduled
// versions are kept; a rejected command changes nothing; a registry restored from a snapshot behaves like the original.
func TestRegistryInvariantsUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, restored := &Registry{}, &Registry{}
		published := map[uint64]Version{}
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			before, err := r.Snapshot()
			require.NoError(t, err)
			stateBefore := r.state
			raw, err := drawCommand(t, r).Encode()
			require.NoError(t, err)
			if rapid.IntRange(0, 9).Draw(t, "corrupt") == 0 {
				raw[rapid.IntRange(0, len(raw)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			}
			result, err := r.Apply(raw)
			restoredResult, restoredErr := restored.Apply(raw)
			require.Equal(t, err, restoredErr)
			require.Equal(t, result, restoredResult)
			after, _ := r.Snapshot()
			if err != nil {
				require.Equal(t, before, after)
			}
			restored, err = Restore(after)
			require.NoError(t, err)

			require.GreaterOrEqual(t, r.state.Newest, stateBefore.Newest)
			require.GreaterOrEqual(t, r.state.Active, stateBefore.Active)
			require.Equal(t, result.StateChanged, r.state.Revision != stateBefore.Revision)
			for _, v := range r.Versions() {
				old, ok := published[v.Number]
				if !ok {
					require.Greater(t, v.Number, stateBefore.Newest)
					published[v.Number] = v
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

// The test checks the error of each command that the registry has to reject, among commands that it accepts.
func TestRegistryRejectsInvalidCommands(t *testing.T) {
	r := &Registry{}
	apply := func(c Command) error {
		_, err := r.ApplyCommand(c)
		return err
	}
	for n := range uint64(maxKeptVersions + 40) {
		require.NoError(t, apply(Command{Publish: &Publish{Parent: n, Text: fmt.Append(nil, "# ", n)}}))
	}
	newest := r.Newest()
	assert.LessOrEqual(t, len(r.state.Versions), maxKeptVersions+1)
	assert.Equal(t, &StaleVersionError{Current: newest, Given: 3}, apply(Command{Publish: &Publish{Parent: 3}}))
	assert.Equal(t, &NoVersionError{Number: 2}, apply(Command{Activate: &Activate{Number: 2, Kind: Overlap}}))
	assert.Equal(t, &NoVersionError{Number: newest - maxKeptTexts, TextDropped: true}, apply(Command{Rollback: &Rollback{Parent: newest, Target: newest - maxKeptTexts, Kind: Overlap}}))
	require.NoError(t, apply(Command{Activate: &Activate{Number: newest - 1, Kind: Exclusive, At: 70}}))
	assert.Equal(t, &OrderError{Number: newest, Scheduled: newest - 1}, apply(Command{Activate: &Activate{Number: newest, Kind: Overlap, At: 60}}))
	assert.Equal(t, &OrderError{Number: newest - 2, Scheduled: newest - 1}, apply(Command{Activate: &Activate{Number: newest - 2, Kind: Overlap, At: 80}}))
	require.NoError(t, apply(Command{Activate: &Activate{Number: newest - 2, Kind: Overlap}}))
	number, at, ok := r.NextActivation()
	assert.Equal(t, [3]any{newest - 2, uint64(0), true}, [3]any{number, at, ok})
	assert.Equal(t, &PhaseError{Step: "preparing", Number: newest - 1}, apply(Command{Prepare: &Prepare{Number: newest - 1}}))
	require.NoError(t, apply(Command{Prepare: &Prepare{Number: newest - 2}}))

	// A Commit with the revision of a canceled preparation is rejected.
	canceledRevision := r.State().Revision
	require.NoError(t, apply(Command{Cancel: &Cancel{Number: newest - 2}}))
	require.NoError(t, apply(Command{Activate: &Activate{Number: newest - 2, Kind: Overlap}}))
	require.NoError(t, apply(Command{Prepare: &Prepare{Number: newest - 2}}))
	assert.Equal(t, &PhaseError{Step: "activating", Number: newest - 2, Prepared: newest - 2}, apply(Command{Commit: &Commit{Number: newest - 2, Revision: canceledRevision}}))
	require.NoError(t, apply(Command{Commit: &Commit{Number: newest - 2, Revision: r.State().Revision}}))
	assert.Equal(t, &StaleVersionError{Current: newest - 2, Given: newest - 3}, apply(Command{Activate: &Activate{Number: newest - 3, Kind: Overlap}}))

	// A rollback publishes the older text under a new number and cancels the scheduled activations.
	require.NoError(t, apply(Command{Rollback: &Rollback{Parent: newest, Target: newest - 5, Kind: Exclusive, Author: "ops"}}))
	restored, err := r.Version(newest + 1)
	require.NoError(t, err)
	assert.Equal(t, fmt.Append(nil, "# ", newest-6), restored.Text)
	canceled, _ := r.Version(newest - 1)
	assert.Equal(t, Cancelled, canceled.Status)
}

// Any bytes that are accepted as a command must leave the registry in a state that can be restored from its snapshot.
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

// A registry that was restored from any accepted snapshot must handle further commands without a panic.
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

// Any accepted message must leave a node with leases no longer than LeaseDuration and with messages that can be
// encoded.
func FuzzMessage(f *testing.F) {
	state := VersionState{Revision: 3, Active: VersionID{Number: 1}, Prepared: VersionID{Number: 2}, Kind: Exclusive}
	for _, m := range []Message{{Sender: 1, Incarnation: 5, State: &state}, {Sender: 1, Incarnation: 5, AckedRevision: 3, Request: &LeaseRequest{Sequence: 1, Fresh: true}},
		{Sender: 1, Incarnation: 5, Grant: &LeaseGrant{Incarnation: 9, Sequence: 1, Revision: 3, Length: 1e6, State: &state}}} {
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
		for _, isLeader := range []bool{false, true} {
			n := NewNode(Config{Node: 0, Incarnation: 9, LeaseParams: DefaultLeaseParams}, 0)
			n.SetGrantors(0, []int{1})
			if isLeader {
				n.BecomeLeader(0)
			}
			n.Flush(0)
			n.Receive(1, m)
			if _, until, _ := n.EffectiveVersion(1); until > DefaultLeaseParams.LeaseDuration {
				t.Fatalf("lease until %v is longer than %v", until, DefaultLeaseParams.LeaseDuration)
			}
			for _, o := range n.Flush(1) {
				if _, err := o.Message.Encode(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
