// Package golden compares, in tests, data that is stored or sent with bytes recorded under testdata. It catches a
// rename or a change of layout that would break compatibility with other processes, versions or stored data.
package golden

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// write overwrites the recorded files. It is only for a format that is meant to change.
var write = flag.Bool("golden.write", false, "overwrite the recorded files under testdata")

// Check compares got with testdata/NAME.golden, which holds a hexadecimal dump.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	CheckText(t, name, hex.Dump(got))
}

// CheckText compares the text got with testdata/NAME.golden.
func CheckText(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *write {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got, "%s differs from the golden file", name)
}

// RoundTrip fills a value with Fill, encodes it and compares the bytes with the recorded ones. It then decodes them and
// requires that the decoded value encodes to the same bytes.
func RoundTrip[T any](t *testing.T, name string, encode func(*T) ([]byte, error), decode func([]byte) (*T, error)) {
	t.Helper()
	value := new(T)
	Fill(value)
	RoundTripOf(t, name, value, encode, decode)
}

// RoundTripOf does the same as RoundTrip with a value of the caller.
func RoundTripOf[T any](t *testing.T, name string, value *T, encode func(*T) ([]byte, error), decode func([]byte) (*T, error)) {
	t.Helper()
	raw, err := encode(value)
	require.NoError(t, err)
	Check(t, name, raw)
	decoded, err := decode(raw)
	require.NoError(t, err)
	reencoded, err := encode(decoded)
	require.NoError(t, err)
	require.True(t, bytes.Equal(raw, reencoded), "%s encodes differently after decoding", name)
}

// Fill sets every exported field of the struct that value points to, at any depth. Numbers and texts count up, so that
// fields differ; slices get two elements and maps one.
func Fill(value any) {
	next := 0
	fill(reflect.ValueOf(value).Elem(), &next)
}

// fill sets v and advances next, the counter from which values are made.
func fill(v reflect.Value, next *int) {
	if !v.CanSet() {
		return
	}
	*next++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*next % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", *next))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillElements(v, next)
	case reflect.Array:
		fillElements(v, next)
	case reflect.Map:
		fillMap(v, next)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
	}
}

func fillElements(v reflect.Value, next *int) {
	for i := range v.Len() {
		fill(v.Index(i), next)
	}
}

func fillMap(v reflect.Value, next *int) {
	key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	fill(key, next)
	fill(element, next)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, element)
}

// Values returns all values in value, at any depth and in order, one per line. Names of fields are left out, so that
// renames in the code do not change the text.
func Values(value any) string {
	var out strings.Builder
	writeValues(&out, reflect.ValueOf(value), "")
	return out.String()
}

func writeValues(out *strings.Builder, v reflect.Value, indent string) {
	switch v.Kind() {
	case reflect.Invalid:
		fmt.Fprintln(out, indent+"none")
	case reflect.Pointer, reflect.Interface:
		writeValues(out, v.Elem(), indent)
	case reflect.Struct:
		fmt.Fprintln(out, indent+"{")
		for i := range v.NumField() {
			writeValues(out, v.Field(i), indent+" ")
		}
		fmt.Fprintln(out, indent+"}")
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(out, "%s[%d]\n", indent, v.Len())
		for i := range v.Len() {
			writeValues(out, v.Index(i), indent+" ")
		}
	case reflect.Map:
		fmt.Fprintf(out, "%smap[%d]\n", indent, v.Len())
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, key := range keys {
			fmt.Fprintf(out, "%s %v:\n", indent, key)
			writeValues(out, v.MapIndex(key), indent+"  ")
		}
	default:
		fmt.Fprintf(out, "%s%v\n", indent, v)
	}
}
