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

// op is one recorded file system operation.
type op struct {
	kind     string // create, write, sync, rename, remove or syncdir
	name, to string
	file     int    // index of the file in recorder.files
	data     []byte // bytes of a write
}

// recorder is a file system in memory that records its operations.
type recorder struct {
	disk.FS     // nil; its other methods are not used
	ops         []op
	names       map[string]int         // indexes of files by name
	files       [][]byte               // contents in the order of creation
	fail        func(kind string) bool // reports whether an operation fails; nil means that none does
	skippedKind string                 // kind of operation that succeeds without effect; "" means none
}

func newRecorder() *recorder { return &recorder{names: map[string]int{}} }

// record records an operation and applies it, unless it has to fail or be skipped.
func (r *recorder) record(o op) error {
	if r.fail != nil && r.fail(o.kind) {
		return errors.New("disk error")
	}
	if o.kind == r.skippedKind {
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

// recordedFile is an open file of a recorder.
type recordedFile struct {
	disk.File // nil; its other methods are not used
	recorder  *recorder
	file      int
	reader    io.Reader // reads the content that the file had when it was opened
}

func (f *recordedFile) Read(b []byte) (int, error) { return f.reader.Read(b) }

func (f *recordedFile) Stat() (fs.FileInfo, error) { return regularFileInfo{}, nil }

// regularFileInfo is the information about a regular file, of which only the mode is used.
type regularFileInfo struct{ fs.FileInfo }

func (regularFileInfo) Mode() fs.FileMode { return 0 }

func (r *recorder) OpenFile(name string, flag int) (disk.File, error) {
	i, ok := r.names[name]
	if flag&os.O_CREATE == 0 {
		if !ok {
			return nil, fs.ErrNotExist
		}
		return &recordedFile{recorder: r, file: i, reader: bytes.NewReader(r.files[i])}, nil
	}
	if !ok { // otherwise the existing file is truncated
		i = len(r.files)
	}
	return &recordedFile{recorder: r, file: i}, r.record(op{kind: "create", name: name, file: i})
}

func (f *recordedFile) Write(b []byte) (int, error) {
	return len(b), f.recorder.record(op{kind: "write", file: f.file, data: slices.Clone(b)})
}

func (f *recordedFile) Sync() error { return f.recorder.record(op{kind: "sync", file: f.file}) }

func (f *recordedFile) Close() error { return nil }

func (r *recorder) Rename(from, to string) error {
	return r.record(op{kind: "rename", name: from, to: to})
}

func (r *recorder) Remove(name string) error { return r.record(op{kind: "remove", name: name}) }

func (r *recorder) SyncDir(string) error { return r.record(op{kind: "syncdir"}) }

func (r *recorder) ReadDirNames(string, int) ([]string, error) {
	var names []string
	for n := range r.names {
		names = append(names, filepath.Base(n))
	}
	return names, nil
}

// forEachCrashState calls visit with each content of the disk that is possible after the given operations and a crash.
// Of the changes of names since the last sync of the directory, any subset may have been applied, in order. Each file
// has its synced bytes, and the bytes after them are complete, missing, half written (torn) or zeros; all files are
// alike in this.
func forEachCrashState(ops []op, visit func(*recorder)) {
	type fileSize struct{ all, synced int }
	var files [][]byte
	var sizes []fileSize
	names, pending := map[string]int{}, []op(nil)
	for _, o := range ops {
		switch o.kind {
		case "create":
			if o.file == len(files) {
				files, sizes = append(files, nil), append(sizes, fileSize{})
			}
			files[o.file], sizes[o.file] = nil, fileSize{}
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
				applyNameChange(names, p)
			}
			pending = nil
		}
	}
	for subset := range 1 << len(pending) {
		namesLeft := maps.Clone(names)
		for i, p := range pending {
			if subset&(1<<i) != 0 {
				applyNameChange(namesLeft, p)
			}
		}
		for _, tail := range []string{"all", "nothing", "torn", "zeros"} {
			r := &recorder{names: maps.Clone(namesLeft)}
			for i, f := range files {
				r.files = append(r.files, contentAfterCrash(f, sizes[i].synced, tail))
			}
			visit(r)
		}
	}
}

// applyNameChange applies a create, rename or remove operation to the names.
func applyNameChange(names map[string]int, o op) {
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

// contentAfterCrash returns the content of file f after a crash: its first synced bytes, and the rest as tail says.
func contentAfterCrash(f []byte, synced int, tail string) []byte {
	rest := slices.Clone(f[synced:])
	switch tail {
	case "nothing":
		rest = nil
	case "torn":
		rest = rest[:len(rest)/2]
	case "zeros":
		clear(rest)
	}
	return append(slices.Clone(f[:synced]), rest...)
}
