package scenario

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// keysOf lists the keys of a file that are read into a type, each with those above it.
func keysOf(of reflect.Type, above string) (keys []string) {
	for of.Kind() == reflect.Slice || of.Kind() == reflect.Pointer {
		of = of.Elem()
	}
	if of.Kind() != reflect.Struct || of == reflect.TypeFor[Range]() {
		return []string{above}
	}
	for i := range of.NumField() {
		f := of.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if name == "" {
			name = strings.ToLower(f.Name) // as the file's reader takes it, in any case
		}
		if above != "" {
			name = above + "." + name
		}
		keys = append(keys, keysOf(f.Type, name)...)
	}
	return keys
}

// A scenario file has the recorded keys, and a recording of arrivals the recorded columns.
func TestKeysAreAsRecorded(t *testing.T) {
	keys := keysOf(reflect.TypeFor[File](), "")
	slices.Sort(keys)
	golden.CheckText(t, "keys", strings.Join(keys, "\n")+"\n")
	golden.CheckText(t, "columns", strings.Join(columns, "\n")+"\n")
}

// The digests of drawn days, which reports name, are as recorded: of a day without faults, of days with links, servers
// and nodes that fail, and of one whose disks do.
func TestDigestsAreAsRecorded(t *testing.T) {
	text := ""
	for _, x := range []struct {
		file string
		set  []string
	}{
		{"calm", nil},
		{"links-stall", nil},
		{"subset", nil},
		{"calm", []string{"fault = [{kind = \"disk\", how = \"full\", at_s = 2, for_s = 1, share = 0.5}, {kind = \"power\", same = 1, at_s = 4}]"}},
	} {
		f, err := Read(dir+x.file+".toml", x.set...)
		require.NoError(t, err)
		d, err := f.Draw(1)
		require.NoError(t, err)
		text += fmt.Sprintln(x.file, len(x.set), d.Digest())
	}
	golden.CheckText(t, "digests", text)
}
