// Package golden holds in tests what is stored or sent against bytes that are recorded under testdata, so that
// a rename or a change of layout does not reach another process, version or disk unseen.
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

// write makes the recorded bytes anew; only for a form that is meant to change.
var write = flag.Bool("golden.write", false, "write the recorded bytes under testdata anew")

// Check compares got with testdata/NAME.golden, which holds a dump in hexadecimal.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	CheckText(t, name, hex.Dump(got))
}

// CheckText compares a text with testdata/NAME.golden.
func CheckText(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *write {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got, "%s differs from what is recorded", name)
}

// RoundTrip fills a value, encodes it, compares the bytes with those recorded, decodes them, and encodes the
// decoded value to the same bytes.
func RoundTrip[T any](t *testing.T, name string, encode func(*T) ([]byte, error), decode func([]byte) (*T, error)) {
	t.Helper()
	value := new(T)
	Fill(value)
	RoundTripOf(t, name, value, encode, decode)
}

// RoundTripOf is RoundTrip for a value that the caller made.
func RoundTripOf[T any](t *testing.T, name string, value *T, encode func(*T) ([]byte, error), decode func([]byte) (*T, error)) {
	t.Helper()
	raw, err := encode(value)
	require.NoError(t, err)
	Check(t, name, raw)
	decoded, err := decode(raw)
	require.NoError(t, err)
	reencoded, err := encode(decoded)
	require.NoError(t, err)
	require.True(t, bytes.Equal(raw, reencoded), "%s is written back differently", name)
}

// Fill sets each field that a value holds, at any depth, to a value of its own: numbers count up, slices get two
// elements and maps one. Fields that are not exported stay as they are.
func Fill(value any) {
	next := 0
	fill(reflect.ValueOf(value).Elem(), &next)
}

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

// Values lists all that a value holds, at any depth and in order, without the names of fields.
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
