package store

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/store/disk"
	"sloestile/internal/store/disk/faulty"
)

// All runs draw the same values, so that they have the same result. -rapid.seed on the command line changes the seed.
func init() { _ = flag.Set("rapid.seed", "1") }

// testState returns a state whose values all depend on its generation.
func testState(generation uint64) *State {
	return &State{Node: "n1", Generation: generation, WrittenAt: int64(generation), Parts: map[string][]byte{"learnt": []byte(fmt.Sprint("what ", generation))},
		Checkpoints: []Checkpoint{{Plan: "basic", Tenant: fmt.Sprint("c", generation), Nodes: 3, Level: float64(generation), LevelAt: 5, FullAt: 9}}}
}

// checkCrashStates writes a number of states and checks each content of the disk that is possible after a crash at any
// operation. It returns the number of contents checked and the first violation: a state that was not written, a state
// older than one whose write had succeeded, or a directory that cannot be written to. It calls beforeWrite before each
// write.
func checkCrashStates(writes int, beforeWrite func(r *recorder, i int)) (checked int, violation error) {
	r := newRecorder()
	d := &Dir{fsys: r, path: "d", node: "n1"}
	endOps := []int{} // number of operations after each successful write
	for i := range writes {
		beforeWrite(r, i)
		if _, err := d.Write(testState(uint64(i + 1))); err == nil {
			endOps = append(endOps, len(r.ops))
		} else {
			endOps = append(endOps, 1<<30)
		}
	}
	for crashAt := range len(r.ops) + 1 {
		minGeneration := uint64(0)
		for i, endOp := range endOps {
			if endOp <= crashAt {
				minGeneration = uint64(i + 1)
			}
		}
		forEachCrashState(r.ops[:crashAt], func(afterCrash *recorder) {
			checked++
			reopened := &Dir{fsys: afterCrash, path: "d", node: "n1"}
			s, err := reopened.Read()
			switch {
			case violation != nil:
			case err != nil:
				violation = fmt.Errorf("crash after %d operations: %w", crashAt, err)
			case s == nil && minGeneration > 0:
				violation = fmt.Errorf("crash after %d operations: read no state, state %d was durable", crashAt, minGeneration)
			case s != nil && (s.Generation < minGeneration || s.Generation > uint64(writes) || !reflect.DeepEqual(s, testState(s.Generation))):
				violation = fmt.Errorf("crash after %d operations: read %+v, state %d was durable", crashAt, s, minGeneration)
			}
			if _, err := reopened.Write(testState(99)); err != nil && violation == nil {
				violation = fmt.Errorf("crash after %d operations: the directory can't be written to: %w", crashAt, err)
			}
		})
	}
	return checked, violation
}

// After a loss of power at any operation, the state that is read is complete, and not older than that of the last
// successful write; this also holds when operations of the disk fail at random. The check must find the fault of a
// write that does not sync the file or the directory.
func TestPowerLossAtEveryPoint(t *testing.T) {
	checked, violation := checkCrashStates(4, func(*recorder, int) {})
	if violation != nil {
		t.Error(violation)
	}
	t.Logf("%d disk contents", checked)
	for _, skipped := range []string{"sync", "syncdir"} {
		if _, violation := checkCrashStates(3, func(r *recorder, _ int) { r.skippedKind = skipped }); violation == nil {
			t.Errorf("a write without the operation %s is not found", skipped)
		}
	}
	// A disk on which operations fail at random.
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		n, violation := checkCrashStates(5, func(r *recorder, _ int) { r.fail = func(string) bool { return rng.IntN(8) == 0 } })
		if checked += n; violation != nil {
			t.Errorf("seed %d: %v", seed, violation)
		}
	}
	t.Logf("%d disk contents in total", checked)
}

// A state file with flipped bits in any byte, with any smaller length, with a trailing byte, or of another node is
// rejected. A node that used it would start from wrong token buckets.
func TestCorruptStateIsRejected(t *testing.T) {
	raw, err := encode(testState(7))
	if err != nil {
		t.Fatal(err)
	}
	expectRejected := func(what string, b []byte) {
		if s, err := decode("f", b, "n1"); err == nil || s != nil {
			t.Errorf("%s: read %+v", what, s)
		}
	}
	for i := range raw {
		for _, bit := range []byte{1, 0x80, 0xff} {
			b := slices.Clone(raw)
			b[i] ^= bit
			expectRejected(fmt.Sprint("byte ", i), b)
		}
		expectRejected(fmt.Sprint("length ", i), raw[:i])
	}
	expectRejected("a trailing byte", append(slices.Clone(raw), 0))
	_, err = decode("f", raw, "n2")
	assert.Equal(t, &OwnerError{"f", "n1", "n2"}, err)
}

// Whatever unusable file is in place of the state, Read returns no state and the reason, quarantines the file and keeps
// at most two quarantined ones, and the directory can be written to. A second Open fails, and so does writing a state
// that exceeds MaxStateBytes.
func TestDirRecoversFromUnusableState(t *testing.T) {
	dir := t.TempDir()
	d, err := Open(disk.Local{}, dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = d.Close() }()
	_, err = Open(disk.Local{}, dir, "n1")
	assert.Equal(t, &InUseError{dir}, err)
	for i, replaceState := range []func() error{
		func() error { return os.WriteFile(d.filePath(stateName), nil, 0o600) },
		func() error {
			return os.WriteFile(d.filePath(stateName), []byte("lfstxxxxxxxxxxxxxxxxxxxxxxxx"), 0o600)
		},
		func() error { return os.Mkdir(d.filePath(stateName), 0o700) },
		func() error {
			other := testState(1)
			other.Node = "n2"
			raw, err := encode(other)
			return errors.Join(err, os.WriteFile(d.filePath(stateName), raw, 0o600))
		},
		func() error { return os.Truncate(d.filePath(stateName), 20) },
	} {
		if _, err := d.Write(testState(uint64(i + 1))); err != nil {
			t.Fatal(err)
		}
		if i < 4 {
			if err := os.Remove(d.filePath(stateName)); err != nil {
				t.Fatal(err)
			}
		}
		if err := replaceState(); err != nil {
			t.Fatal(err)
		}
		s, err := d.Read()
		assert.Nil(t, s)
		assert.IsType(t, []error{&CorruptError{}, &CorruptError{}, &ReadError{}, &OwnerError{}, &CorruptError{}}[i], err, "case %d", i)
		if s, err := d.Read(); s != nil || err != nil {
			t.Errorf("case %d: read after the quarantine: %+v, %v", i, s, err)
		}
	}
	names, err := d.fsys.ReadDirNames(dir, 100)
	if slices.Sort(names); err != nil || !slices.Equal(names, []string{lockName, quarantinePrefix + "1", quarantinePrefix + "2"}) {
		t.Errorf("files in the directory: %v, %v", names, err)
	}
	big := testState(1)
	big.Parts["learnt"] = make([]byte, MaxStateBytes)
	_, err = d.Write(big)
	assert.IsType(t, &SizeError{}, err, "a state larger than MaxStateBytes is written")
	if _, err := d.Write(testState(50)); err != nil {
		t.Fatal(err)
	}
	if s, err := d.Read(); err != nil || !reflect.DeepEqual(s, testState(50)) {
		t.Errorf("read %+v, %v", s, err)
	}
}

// Submit does not block while the disk is stalled: it accepts at most two changes, one being written and one waiting,
// and then returns false. All accepted changes are written when the disk continues.
func TestSubmitDoesNotWaitForStalledDisk(t *testing.T) {
	resume := make(chan struct{})
	r := newRecorder()
	r.fail = func(kind string) bool {
		if kind == "sync" {
			<-resume
		}
		return false
	}
	done := make(chan error, 10)
	p := NewPersister(&Dir{fsys: r, path: "d", node: "n1"}, nil, 100, func(err error, _ int, _ time.Duration) { done <- err })
	checkpoint := Checkpoint{Plan: "p", Tenant: "c", Level: 1, FullAt: 1 << 60}
	accepted := 0
	for accepted < 100 && p.Submit([]Checkpoint{checkpoint}, nil) {
		accepted++
	}
	if accepted > 2 {
		t.Errorf("%d changes are accepted while the disk is stalled", accepted)
	}
	close(resume)
	for range accepted {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if !p.Submit([]Checkpoint{checkpoint}, nil) {
		t.Error("Submit fails after the disk has continued")
	}
	if err := p.Close(time.Minute); err != nil {
		t.Error(err)
	}
	if s, err := (&Dir{fsys: r, path: "d", node: "n1"}).Read(); err != nil || len(s.Checkpoints) != 1 || s.Generation != uint64(accepted+1) {
		t.Errorf("read %+v, %v", s, err)
	}
}

// Repeated failures of writes with the same error are logged once, and so is the first successful write after them.
// Otherwise a full disk would flood the log.
func TestRepeatedWriteFailureIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(before)
	r, done := newRecorder(), make(chan error)
	diskFails := true
	r.fail = func(string) bool { return diskFails }
	p := NewPersister(&Dir{fsys: r, path: "d", node: "n1"}, nil, 100, func(err error, _ int, _ time.Duration) { done <- err })
	for range 5 {
		p.Submit(nil, nil)
		require.Error(t, <-done)
	}
	diskFails = false
	for range 2 {
		p.Submit(nil, nil)
		require.NoError(t, <-done)
	}
	require.NoError(t, p.Close(time.Minute))
	require.Equal(t, 1, strings.Count(log.String(), `msg="persisting state failed"`), log.String())
	require.Equal(t, 1, strings.Count(log.String(), "succeeds again"), log.String())
}

// bitRotFS is a file system that flips a bit in each read of the files that are opened next.
type bitRotFS struct {
	disk.FS
	faultDir     string // directory that sets the faults of FS
	corruptOpens int    // number of files still to open with flipped bits
}

func (d *bitRotFS) OpenFile(name string, flag int) (disk.File, error) {
	if err := faulty.SetFaults(d.faultDir, faulty.Faults{BitRotFraction: float64(min(1, d.corruptOpens))}); err != nil {
		return nil, err
	}
	d.corruptOpens = max(0, d.corruptOpens-1)
	return d.FS.OpenFile(name, flag)
}

// A state that is corrupt in one read only, because a bit was flipped in transfer, is read again and used. One that is
// corrupt in two reads is reported as corrupt.
func TestCorruptReadIsRetried(t *testing.T) {
	faultDir := t.TempDir()
	faultyFS, err := faulty.New(disk.Local{}, faultDir)
	require.NoError(t, err)
	fsys := &bitRotFS{FS: faultyFS, faultDir: faultDir}
	stateDir, err := Open(fsys, t.TempDir(), "n1")
	require.NoError(t, err)
	defer func() { _ = stateDir.Close() }()
	_, err = stateDir.Write(testState(7))
	require.NoError(t, err)
	fsys.corruptOpens = 1
	got, err := stateDir.Read()
	require.NoError(t, err)
	require.Equal(t, testState(7), got)
	fsys.corruptOpens = 2
	_, err = stateDir.Read()
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt)
}

// FuzzDecode checks that decode does not panic and never accepts a state of another node.
func FuzzDecode(f *testing.F) {
	raw, err := encode(testState(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:headerBytes])
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decode("f", b, "n1"); err == nil && s.Node != "n1" {
			t.Fatalf("decoded a state of another node: %+v", s)
		}
	})
}

// BenchmarkWrite measures writing and reading a state on this machine's disk, by number of tenants.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n, " tenants"), func(b *testing.B) {
			d, err := Open(disk.Local{}, b.TempDir(), "n1")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = d.Close() }()
			s := testState(1)
			s.Checkpoints = nil
			for i := range n {
				s.Checkpoints = append(s.Checkpoints, Checkpoint{Plan: "business", Tenant: fmt.Sprintf("%016x", i), Nodes: 30, Level: 12.5, LevelAt: 1796000000000, FullAt: 1796000009000})
			}
			size := 0
			for b.Loop() {
				if size, err = d.Write(s); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes/state")
			openedAt := time.Now()
			if _, err := d.Read(); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(openedAt).Microseconds())/1000, "ms/open")
		})
	}
}
