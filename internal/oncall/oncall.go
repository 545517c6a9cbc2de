// Package oncall holds the errors of a package, in its tests, against what staff are owed: one line
// that says what failed, where, and after the last semicolon what they can do; and a row in
// docs/oncall.md.
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

// ErrCause is what examples have for an error that they wrap.
var ErrCause = errors.New("made up\nin two lines")

// Check walks all exported types of errors of the package whose test calls it. Each needs an example,
// which are pointers with each field set in one of them; what they wrap is ErrCause.
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
		assert.Contains(t, types, typeName, "%s is no type of this package", name)
		assert.Contains(t, rows, name, "no row in docs/oncall.md")
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
				assert.Contains(t, err.Error(), v.Field(i).String(), "%s does not tell its %s", name, f.Name)
			}
			if f.Type == reflect.TypeFor[error]() {
				assert.Contains(t, err.Error(), "made up", "%s does not tell its %s", name, f.Name)
				assert.ErrorIs(t, err, ErrCause, "%s hides its %s", name, f.Name)
			}
		}
	}
	for typeName, fields := range types {
		assert.True(t, covered[typeName], "%s has no example", typeName)
		for _, f := range fields {
			assert.True(t, !covered[typeName] || covered[typeName+"."+f], "%s of %s is set in no example", f, typeName)
		}
	}
}

// fit tells what in an error's text is not as it has to be.
func checkText(err error) error {
	text := err.Error()
	hintAt := strings.LastIndex(text, "; ")
	switch {
	case strings.ContainsAny(text, "\r\n"):
		return fmt.Errorf("a line break in %q", text)
	case hintAt < 0 || len(strings.Fields(text[hintAt+2:])) < 2:
		return fmt.Errorf("%q says nothing to do", text)
	case !strings.Contains(text[:hintAt], ": "):
		return fmt.Errorf("%q does not say where", text)
	}
	return nil
}

// declared gives the exported types of errors in a folder's sources, with their fields.
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

// documented gives the errors that have a row with a meaning and something to do.
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

// root is the module's folder: the first above a test's that has a go.mod.
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
