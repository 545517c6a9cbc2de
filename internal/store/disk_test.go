package store

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"sloestile/internal/store/disk"
)

// op is one step of a file layer that records.
type op struct {
	kind     string // create, write, sync, rename, remove, syncdir
	name, to string
	file     int // the file's number, in the order of creation
	data     []byte
}

// recorder is a file layer in memory that remembers each step. Fail, where set, lets a step fail.
type recorder struct {
	disk.FS // what the store does without
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
	disk.File // what the store does without
	r         *recorder
	file      int
	left      io.Reader // of what it held when it was opened
}

func (f *recorded) Read(b []byte) (int, error) { return f.left.Read(b) }

func (f *recorded) Stat() (fs.FileInfo, error) { return plain{}, nil }

type plain struct{ fs.FileInfo }

func (plain) Mode() fs.FileMode { return 0 }

func (r *recorder) OpenFile(name string, flag int) (disk.File, error) {
	i, ok := r.names[name]
	if flag&os.O_CREATE == 0 {
		if !ok {
			return nil, fs.ErrNotExist
		}
		return &recorded{r: r, file: i, left: bytes.NewReader(r.files[i])}, nil
	}
	if !ok { // else it is emptied, and stays the same file
		i = len(r.files)
	}
	return &recorded{r: r, file: i}, r.do(op{kind: "create", name: name, file: i})
}

func (f *recorded) Write(b []byte) (int, error) {
	return len(b), f.r.do(op{kind: "write", file: f.file, data: slices.Clone(b)})
}

func (f *recorded) Sync() error { return f.r.do(op{kind: "sync", file: f.file}) }

func (f *recorded) Close() error { return nil }

func (r *recorder) Rename(from, to string) error { return r.do(op{kind: "rename", name: from, to: to}) }

func (r *recorder) Remove(name string) error { return r.do(op{kind: "remove", name: name}) }

func (r *recorder) SyncDir(string) error { return r.do(op{kind: "syncdir"}) }

func (r *recorder) ReadDirNames(string, int) ([]string, error) {
	var names []string
	for n := range r.names {
		names = append(names, filepath.Base(n))
	}
	return names, nil
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
