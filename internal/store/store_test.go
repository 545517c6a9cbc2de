package store

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { flag.Set("rapid.seed", "1") }

func state(gen uint64) *State {
	return &State{Node: "n1", Generation: gen, Written: int64(gen), Parts: map[string][]byte{"learnt": []byte(fmt.Sprint("what ", gen))},
		Records: []Record{{Plan: "basic", Customer: fmt.Sprint("c", gen), Spread: 3, Level: float64(gen), At: 5, Full: 9}}}
}

// op is one step of a file layer that records.
type op struct {
	kind     string // create, write, sync, rename, remove, syncdir
	name, to string
	file     int // the file's number, in the order of creation
	data     []byte
}

// recorder is a file layer in memory that remembers each step. Fail, where set, lets a step fail.
type recorder struct {
	ops     []op
	names   map[string]int
	files   [][]byte
	fail    func(kind string) bool
	skipped string // a step that is left out though it is said to be done: a planted bug
}

func newRecorder() *recorder { return &recorder{names: map[string]int{}} }

func (r *recorder) do(o op) error {
	if r.fail != nil && r.fail(o.kind) {
		return errors.New("the disk refuses")
	}
	if o.kind == r.skipped {
		return nil
	}
	r.ops = append(r.ops, o)
	switch o.kind {
	case "create":
		if o.file == len(r.files) {
			r.files = append(r.files, nil)
		}
		r.files[o.file], r.names[o.name] = nil, o.file
	case "write":
		r.files[o.file] = append(r.files[o.file], o.data...)
	case "rename":
		r.names[o.to] = r.names[o.name]
		delete(r.names, o.name)
	case "remove":
		delete(r.names, o.name)
	}
	return nil
}

type recorded struct {
	r    *recorder
	file int
}

func (r *recorder) Create(name string) (File, error) {
	f := &recorded{r, len(r.files)}
	if i, ok := r.names[name]; ok { // it is emptied, and stays the same file
		f.file = i
	}
	return f, r.do(op{kind: "create", name: name, file: f.file})
}
func (f *recorded) Write(b []byte) (int, error) {
	return len(b), f.r.do(op{kind: "write", file: f.file, data: slices.Clone(b)})
}
func (f *recorded) Sync() error                  { return f.r.do(op{kind: "sync", file: f.file}) }
func (f *recorded) Close() error                 { return nil }
func (r *recorder) Rename(from, to string) error { return r.do(op{kind: "rename", name: from, to: to}) }
func (r *recorder) Remove(name string) error     { return r.do(op{kind: "remove", name: name}) }
func (r *recorder) SyncDir(string) error         { return r.do(op{kind: "syncdir"}) }
func (r *recorder) Names(string, int) ([]string, error) {
	var names []string
	for n := range r.names {
		names = append(names, filepath.Base(n))
	}
	return names, nil
}
func (r *recorder) Read(name string, _ int64) ([]byte, error) {
	i, ok := r.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return r.files[i], nil
}

// crashes calls each with every disk that a crash after some steps may leave: of the changes of
// names since the folder was synced any subset in their order, of each file what was synced and
// of the rest all, nothing, a torn part or rubbish.
func crashes(ops []op, each func(*recorder)) {
	type file struct{ all, synced int }
	var files [][]byte
	var sizes []file
	names, pending := map[string]int{}, []op(nil)
	for _, o := range ops {
		switch o.kind {
		case "create":
			if o.file == len(files) {
				files, sizes = append(files, nil), append(sizes, file{})
			}
			files[o.file], sizes[o.file] = nil, file{}
			pending = append(pending, o)
		case "write":
			files[o.file] = append(files[o.file], o.data...)
			sizes[o.file].all = len(files[o.file])
		case "sync":
			sizes[o.file].synced = sizes[o.file].all
		case "rename", "remove":
			pending = append(pending, o)
		case "syncdir":
			for _, p := range pending {
				apply(names, p)
			}
			pending = nil
		}
	}
	for subset := range 1 << len(pending) {
		left := maps.Clone(names)
		for i, p := range pending {
			if subset&(1<<i) != 0 {
				apply(left, p)
			}
		}
		for _, how := range []string{"all", "nothing", "torn", "rubbish"} {
			r := &recorder{names: maps.Clone(left)}
			for i, f := range files {
				r.files = append(r.files, lose(f, sizes[i].synced, how))
			}
			each(r)
		}
	}
}

func apply(names map[string]int, o op) {
	switch o.kind {
	case "create":
		names[o.name] = o.file
	case "rename":
		if f, ok := names[o.name]; ok {
			names[o.to] = f
			delete(names, o.name)
		}
	case "remove":
		delete(names, o.name)
	}
}

// lose gives what a disk may hold of a file beyond what was synced.
func lose(f []byte, synced int, how string) []byte {
	rest := slices.Clone(f[synced:])
	switch how {
	case "nothing":
		rest = nil
	case "torn":
		rest = rest[:len(rest)/2]
	case "rubbish":
		clear(rest)
	}
	return append(slices.Clone(f[:synced]), rest...)
}

// outcome plays a run of writes, and looks at every disk that a crash at each point may leave. It
// gives the first that is wrong: a state that is none of those written, or older than one whose write
// had ended.
func outcome(writes int, plan func(r *recorder, i int)) (looked int, wrong error) {
	r := newRecorder()
	f := &Folder{fs: r, dir: "d", node: "n1"}
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
			g := &Folder{fs: left, dir: "d", node: "n1"}
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
		if s, err := decode(b, "n1"); err == nil || s != nil {
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
	if _, err := decode(raw, "n2"); !errors.Is(err, ErrOther) {
		t.Errorf("another node's: %v", err)
	}
}

// Whatever stands where the state should be, a folder opens, gives nothing, keeps two of what was
// spoilt at most, and can be written to.
func TestBadFolders(t *testing.T) {
	dir := t.TempDir()
	f, err := Open(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := Open(dir, "n1"); !errors.Is(err, ErrUsed) {
		t.Errorf("a second process: %v", err)
	}
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
		if s, err := f.Read(); s != nil || err == nil {
			t.Errorf("case %d: read %+v, %v", i, s, err)
		}
		if s, err := f.Read(); s != nil || err != nil {
			t.Errorf("case %d: after it was put aside: %+v, %v", i, s, err)
		}
	}
	names, err := f.fs.Names(dir, 100)
	if slices.Sort(names); err != nil || !slices.Equal(names, []string{lockName, asideName + "1", asideName + "2"}) {
		t.Errorf("the folder holds %v, %v", names, err)
	}
	big := state(1)
	big.Parts["learnt"] = make([]byte, BytesMost)
	if _, err := f.Write(big); err == nil {
		t.Error("a state beyond the most is written")
	}
	if _, err := f.Write(state(50)); err != nil {
		t.Fatal(err)
	}
	if s, err := f.Read(); err != nil || !reflect.DeepEqual(s, state(50)) {
		t.Errorf("read %+v, %v", s, err)
	}
}

// No grant is forgotten that was made under a mark on the disk: what a crash at any moment leaves
// gives no more than the store held, unless the last grant was counted as covered by none. Marks
// that count before they are on the disk are found.
func TestMarksCoverGrants(t *testing.T) {
	run := func(t *rapid.T, planted bool) (forgot string) {
		m, l := NewMarks(10), Level{Rate: rapid.Float64Range(0.1, 20).Draw(t, "rate"), Depth: 40, Spread: 1, Units: 40}
		k, now, wall := Key{"p", "c"}, time.Hour, time.UnixMilli(1e12)
		var disk, writing []Record
		covered := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pause := time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
			now, wall = now+pause, wall.Add(pause)
			l.Units = min(l.Depth, l.Units+l.Rate*pause.Seconds())
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				l.Units -= float64(rapid.IntRange(1, 6).Draw(t, "units"))
				before := m.Uncovered
				m.Grant(k, l, now)
				covered = m.Uncovered == before
			case 2:
				if b := m.Batch(now, wall); b != nil {
					writing = b
					if planted {
						m.Done(true)
					}
				}
			case 3:
				if writing != nil {
					if ok := rapid.Bool().Draw(t, "written"); ok {
						disk = writing
						m.Done(true)
					} else {
						m.Done(false)
					}
					writing = nil
				}
			}
			if covered && len(disk) == 0 {
				return "a grant is covered by nothing on the disk"
			}
			if covered {
				since := wall.Sub(time.UnixMilli(disk[0].At)).Seconds()
				if left := min(l.Depth, disk[0].Level+l.Rate*since); left > l.Units+0.1 { // marks are told in ms
					return fmt.Sprintf("recovery gives %g, the store holds %g", left, l.Units)
				}
			}
		}
		return ""
	}
	rapid.Check(t, func(t *rapid.T) {
		if forgot := run(t, false); forgot != "" {
			t.Fatal(forgot)
		}
	})
	found := false
	rapid.Check(t, func(t *rapid.T) { found = found || run(t, true) != "" })
	if !found {
		t.Error("marks that count before they are on the disk are not found")
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
	k := NewKeeper(&Folder{fs: r, dir: "d", node: "n1"}, nil, 100, func(err error, _ int, _ time.Duration) { done <- err })
	rec := Record{Plan: "p", Customer: "c", Level: 1, Full: 1 << 60}
	taken := 0
	for taken < 100 && k.Put([]Record{rec}, nil) {
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
	if !k.Put([]Record{rec}, nil) {
		t.Error("it does not go on")
	}
	if err := k.Close(time.Minute); err != nil {
		t.Error(err)
	}
	if s, err := (&Folder{fs: r, dir: "d", node: "n1"}).Read(); err != nil || len(s.Records) != 1 || s.Generation != uint64(taken+1) {
		t.Errorf("read %+v, %v", s, err)
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := encode(state(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:headBytes])
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := decode(b, "n1"); err == nil && s.Node != "n1" {
			t.Fatalf("read another's: %+v", s)
		}
	})
}

// The cost of a state of some customers on this machine's disk.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n, " customers"), func(b *testing.B) {
			f, err := Open(b.TempDir(), "n1")
			if err != nil {
				b.Fatal(err)
			}
			defer f.Close()
			s := state(1)
			s.Records = nil
			for i := range n {
				s.Records = append(s.Records, Record{Plan: "business", Customer: fmt.Sprintf("%016x", i), Spread: 30, Level: 12.5, At: 1796000000000, Full: 1796000009000})
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
