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

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { _ = flag.Set("rapid.seed", "1") }

func state(gen uint64) *State {
	return &State{Node: "n1", Generation: gen, WrittenAt: int64(gen), Parts: map[string][]byte{"learnt": []byte(fmt.Sprint("what ", gen))},
		Checkpoints: []Checkpoint{{Plan: "basic", Tenant: fmt.Sprint("c", gen), Nodes: 3, Level: float64(gen), LevelAt: 5, FullAt: 9}}}
}

// outcome plays a run of writes, and looks at every disk that a crash at each point may leave. It
// gives the first that is wrong: a state that is none of those written, or older than one whose write
// had ended.
func outcome(writes int, plan func(r *recorder, i int)) (looked int, wrong error) {
	r := newRecorder()
	f := &Dir{fs: r, dir: "d", node: "n1"}
	ends := []int{} // how many steps had been done when each write had ended
	for i := range writes {
		plan(r, i)
		if _, err := f.Write(state(uint64(i + 1))); err == nil {
			ends = append(ends, len(r.ops))
		} else {
			ends = append(ends, 1<<30)
		}
	}
	for p := range len(r.ops) + 1 {
		least := uint64(0)
		for i, end := range ends {
			if end <= p {
				least = uint64(i + 1)
			}
		}
		crashes(r.ops[:p], func(left *recorder) {
			looked++
			g := &Dir{fs: left, dir: "d", node: "n1"}
			s, err := g.Read()
			switch {
			case wrong != nil:
			case err != nil:
				wrong = fmt.Errorf("after %d steps: %w", p, err)
			case s == nil && least > 0:
				wrong = fmt.Errorf("after %d steps: nothing, state %d was there", p, least)
			case s != nil && (s.Generation < least || s.Generation > uint64(writes) || !reflect.DeepEqual(s, state(s.Generation))):
				wrong = fmt.Errorf("after %d steps: %+v, state %d was there", p, s, least)
			}
			if _, err := g.Write(state(99)); err != nil && wrong == nil {
				wrong = fmt.Errorf("after %d steps it can't be written to: %w", p, err)
			}
		})
	}
	return looked, wrong
}

// Power may go at every point: what is read is whole, and no older than the last write that ended.
// A write that syncs no file, or no folder, before it is said to have ended is found.
func TestPowerLossAtEveryPoint(t *testing.T) {
	looked, wrong := outcome(4, func(*recorder, int) {})
	if wrong != nil {
		t.Error(wrong)
	}
	t.Logf("%d disks", looked)
	for _, bug := range []string{"sync", "syncdir"} {
		if _, wrong := outcome(3, func(r *recorder, _ int) { r.skipped = bug }); wrong == nil {
			t.Errorf("a write without %s is not found", bug)
		}
	}
	// A disk that refuses steps by chance.
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		n, wrong := outcome(5, func(r *recorder, _ int) { r.fail = func(string) bool { return rng.IntN(8) == 0 } })
		if looked += n; wrong != nil {
			t.Errorf("seed %d: %v", seed, wrong)
		}
	}
	t.Logf("%d disks in all", looked)
}

// Each byte of the file turned, and each length: nothing is read, and what is spoilt is put aside.
func TestBitRot(t *testing.T) {
	raw, err := encode(state(7))
	if err != nil {
		t.Fatal(err)
	}
	look := func(what string, b []byte) {
		if s, err := decode("f", b, "n1"); err == nil || s != nil {
			t.Errorf("%s: read %+v", what, s)
		}
	}
	for i := range raw {
		for _, bit := range []byte{1, 0x80, 0xff} {
			b := slices.Clone(raw)
			b[i] ^= bit
			look(fmt.Sprint("byte ", i), b)
		}
		look(fmt.Sprint("length ", i), raw[:i])
	}
	look("more", append(slices.Clone(raw), 0))
	_, err = decode("f", raw, "n2")
	assert.Equal(t, &OwnerError{"f", "n1", "n2"}, err)
}

// Whatever stands where the state should be, a folder opens, gives nothing, keeps two of what was
// spoilt at most, and can be written to.
func TestBadFolders(t *testing.T) {
	dir := t.TempDir()
	f, err := Open(disk.Local{}, dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	_, err = Open(disk.Local{}, dir, "n1")
	assert.Equal(t, &InUseError{dir}, err)
	for i, spoil := range []func() error{
		func() error { return os.WriteFile(f.path(stateName), nil, 0o600) },
		func() error { return os.WriteFile(f.path(stateName), []byte("lfstxxxxxxxxxxxxxxxxxxxxxxxx"), 0o600) },
		func() error { return os.Mkdir(f.path(stateName), 0o700) },
		func() error {
			other := state(1)
			other.Node = "n2"
			raw, err := encode(other)
			return errors.Join(err, os.WriteFile(f.path(stateName), raw, 0o600))
		},
		func() error { return os.Truncate(f.path(stateName), 20) },
	} {
		if _, err := f.Write(state(uint64(i + 1))); err != nil {
			t.Fatal(err)
		}
		if i < 4 {
			if err := os.Remove(f.path(stateName)); err != nil {
				t.Fatal(err)
			}
		}
		if err := spoil(); err != nil {
			t.Fatal(err)
		}
		s, err := f.Read()
		assert.Nil(t, s)
		assert.IsType(t, []error{&CorruptError{}, &CorruptError{}, &ReadError{}, &OwnerError{}, &CorruptError{}}[i], err, "case %d", i)
		if s, err := f.Read(); s != nil || err != nil {
			t.Errorf("case %d: after it was put aside: %+v, %v", i, s, err)
		}
	}
	names, err := f.fs.ReadDirNames(dir, 100)
	if slices.Sort(names); err != nil || !slices.Equal(names, []string{lockName, quarantineName + "1", quarantineName + "2"}) {
		t.Errorf("the folder holds %v, %v", names, err)
	}
	big := state(1)
	big.Parts["learnt"] = make([]byte, MaxStateBytes)
	_, err = f.Write(big)
	assert.IsType(t, &SizeError{}, err, "a state beyond the most is written")
	if _, err := f.Write(state(50)); err != nil {
		t.Fatal(err)
	}
	if s, err := f.Read(); err != nil || !reflect.DeepEqual(s, state(50)) {
		t.Errorf("read %+v, %v", s, err)
	}
}

// A disk that stands still holds up nobody: changes are refused until it goes on, and then written.
func TestDiskThatStandsStill(t *testing.T) {
	still := make(chan struct{})
	r := newRecorder()
	r.fail = func(kind string) bool {
		if kind == "sync" {
			<-still
		}
		return false
	}
	done := make(chan error, 10)
	k := NewPersister(&Dir{fs: r, dir: "d", node: "n1"}, nil, 100, func(err error, _ int, _ time.Duration) { done <- err })
	rec := Checkpoint{Plan: "p", Tenant: "c", Level: 1, FullAt: 1 << 60}
	taken := 0
	for taken < 100 && k.Submit([]Checkpoint{rec}, nil) {
		taken++
	}
	if taken > 2 {
		t.Errorf("%d changes wait for a disk that stands still", taken)
	}
	close(still)
	for range taken {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if !k.Submit([]Checkpoint{rec}, nil) {
		t.Error("it does not go on")
	}
	if err := k.Close(time.Minute); err != nil {
		t.Error(err)
	}
	if s, err := (&Dir{fs: r, dir: "d", node: "n1"}).Read(); err != nil || len(s.Checkpoints) != 1 || s.Generation != uint64(taken+1) {
		t.Errorf("read %+v, %v", s, err)
	}
}

// A disk that refuses is told of once, and once when it takes a state again, however often it is tried.
func TestRefusalIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(before)
	r, done := newRecorder(), make(chan error)
	refuses := true
	r.fail = func(string) bool { return refuses }
	k := NewPersister(&Dir{fs: r, dir: "d", node: "n1"}, nil, 100, func(err error, _ int, _ time.Duration) { done <- err })
	for range 5 {
		k.Submit(nil, nil)
		require.Error(t, <-done)
	}
	refuses = false
	for range 2 {
		k.Submit(nil, nil)
		require.NoError(t, <-done)
	}
	require.NoError(t, k.Close(time.Minute))
	require.Equal(t, 1, strings.Count(log.String(), `msg="persisting state failed"`), log.String())
	require.Equal(t, 1, strings.Count(log.String(), "succeeds again"), log.String())
}

// turning is a disk of whose opened files the first few turn bits on reading.
type turning struct {
	disk.FS
	drive string
	left  int
}

func (d *turning) OpenFile(name string, flag int) (disk.File, error) {
	if err := faulty.SetFaults(d.drive, faulty.Faults{BitRotFraction: float64(min(1, d.left))}); err != nil {
		return nil, err
	}
	d.left = max(0, d.left-1)
	return d.FS.OpenFile(name, flag)
}

// A bit that is turned on the way from the disk alone costs nothing: the state is read again. One that
// is read so twice is put aside.
func TestTurnedBitIsReadAgain(t *testing.T) {
	drive := t.TempDir()
	lies, err := faulty.New(disk.Local{}, drive)
	require.NoError(t, err)
	d := &turning{FS: lies, drive: drive}
	f, err := Open(d, t.TempDir(), "n1")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	_, err = f.Write(state(7))
	require.NoError(t, err)
	d.left = 1
	got, err := f.Read()
	require.NoError(t, err)
	require.Equal(t, state(7), got)
	d.left = 2
	_, err = f.Read()
	var spoilt *CorruptError
	require.ErrorAs(t, err, &spoilt)
}

func FuzzDecode(f *testing.F) {
	raw, err := encode(state(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:headBytes])
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decode("f", b, "n1"); err == nil && s.Node != "n1" {
			t.Fatalf("read another's: %+v", s)
		}
	})
}

// The cost of a state of some customers on this machine's disk.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n, " customers"), func(b *testing.B) {
			f, err := Open(disk.Local{}, b.TempDir(), "n1")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = f.Close() }()
			s := state(1)
			s.Checkpoints = nil
			for i := range n {
				s.Checkpoints = append(s.Checkpoints, Checkpoint{Plan: "business", Tenant: fmt.Sprintf("%016x", i), Nodes: 30, Level: 12.5, LevelAt: 1796000000000, FullAt: 1796000009000})
			}
			bytes := 0
			for b.Loop() {
				if bytes, err = f.Write(s); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "bytes/state")
			begun := time.Now()
			if _, err := f.Read(); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(begun).Microseconds())/1000, "ms/open")
		})
	}
}
