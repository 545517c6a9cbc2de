// Package oncall checks, in the tests of a package, that its errors are usable by on-call staff: the text is one line
// that says where and what failed and, after the last semicolon, what to do, and docs/oncall.md has a row for the error
// type.
package oncall

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// ErrCause is the error that the examples passed to Check wrap. Its text has a line break, which they must remove.
var ErrCause = errors.New("made up\nin two lines")

// Check checks all exported error types of the package whose test calls it. Examples are pointers; each type needs at
// least one, each of its fields must be set in one of them, and a wrapped error must be ErrCause. The text of an
// example must contain each string field and the wrapped error.
func Check(t *testing.T, examples ...error) {
	types, err := errorTypes(".")
	require.NoError(t, err)
	rows, err := documentedErrors()
	require.NoError(t, err)
	covered := map[string]bool{}
	for _, err := range examples {
		v := reflect.ValueOf(err).Elem()
		name := v.Type().String()
		_, typeName, _ := strings.Cut(name, ".")
		assert.Contains(t, types, typeName, "%s is not an exported error type of this package", name)
		assert.Contains(t, rows, name, "docs/oncall.md has no row for it")
		assert.NoError(t, checkText(err))
		covered[typeName] = true
		for i := range v.NumField() {
			f := v.Type().Field(i)
			key := typeName + "." + f.Name
			covered[key] = covered[key] || !v.Field(i).IsZero()
			if v.Field(i).IsZero() {
				continue
			}
			if f.Type.Kind() == reflect.String {
				assert.Contains(t, err.Error(), v.Field(i).String(), "the text of %s does not contain its %s", name, f.Name)
			}
			if f.Type == reflect.TypeFor[error]() {
				assert.Contains(t, err.Error(), "made up", "the text of %s does not contain its %s", name, f.Name)
				assert.ErrorIs(t, err, ErrCause, "%s does not unwrap to its %s", name, f.Name)
			}
		}
	}
	for typeName, fields := range types {
		assert.True(t, covered[typeName], "%s has no example", typeName)
		for _, f := range fields {
			assert.True(t, !covered[typeName] || covered[typeName+"."+f], "no example sets %s of %s", f, typeName)
		}
	}
}

// checkText returns an error if the text of err has a line break, lacks the place or lacks the hint.
func checkText(err error) error {
	text := err.Error()
	hintAt := strings.LastIndex(text, "; ")
	switch {
	case strings.ContainsAny(text, "\r\n"):
		return fmt.Errorf("a line break in %q", text)
	case hintAt < 0 || len(strings.Fields(text[hintAt+2:])) < 2:
		return fmt.Errorf("%q has no hint of two words or more after a semicolon", text)
	case !strings.Contains(text[:hintAt], ": "):
		return fmt.Errorf("%q has no place before a colon", text)
	}
	return nil
}

// errorTypes returns the exported error types declared in a folder's sources, each with the names of its fields.
func errorTypes(dir string) (map[string][]string, error) {
	types := map[string][]string{}
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, err
	}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		addErrorTypes(f, types)
	}
	return types, nil
}

// addErrorTypes adds the exported error types that a file declares, each with the names of its fields.
func addErrorTypes(f *ast.File, types map[string][]string) {
	for _, d := range f.Decls {
		genDecl, ok := d.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, s := range genDecl.Specs {
			typeSpec, ok := s.(*ast.TypeSpec)
			if ok && typeSpec.Name.IsExported() && strings.HasSuffix(typeSpec.Name.Name, "Error") {
				types[typeSpec.Name.Name] = fieldNames(typeSpec)
			}
		}
	}
}

// fieldNames returns the names of a struct type's fields, and none for another type.
func fieldNames(t *ast.TypeSpec) []string {
	names := []string{}
	structType, ok := t.Type.(*ast.StructType)
	if !ok {
		return names
	}
	for _, field := range structType.Fields.List {
		for _, n := range field.Names {
			names = append(names, n.Name)
		}
	}
	return names
}

// documentedErrors returns the error types, as package.Type, with a complete row in docs/oncall.md: a meaning and an
// action.
func documentedErrors() (rows map[string]bool, err error) {
	raw, err := os.ReadFile(filepath.Join(moduleRoot(), "docs", "oncall.md"))
	rows = map[string]bool{}
	for line := range strings.Lines(string(raw)) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 5 || len(strings.Fields(cells[2])) < 2 || cells[3] == "  " {
			continue
		}
		if name := strings.Trim(cells[1], " `"); strings.HasSuffix(name, "Error") {
			rows[name] = true
		}
	}
	return rows, err
}

// moduleRoot returns the path of the module's folder: the nearest parent of the test's folder with a go.mod.
func moduleRoot() string {
	dir := "."
	for range 10 {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			break
		}
		dir = filepath.Join(dir, "..")
	}
	return dir
}
