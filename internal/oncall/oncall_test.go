package oncall

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each package of the node that declares error types has a test that calls Check, and each row of docs/oncall.md is for
// an existing type. The stand-in of the platform, internal/testbed, is not part of the node.
func TestEveryErrorTypeIsCheckedAndDocumented(t *testing.T) {
	rows, err := documentedErrors()
	require.NoError(t, err)
	for _, top := range []string{"cmd/edgenode", "control", "fleet", "internal"} {
		require.NoError(t, filepath.WalkDir(filepath.Join(moduleRoot(), top), func(dir string, d fs.DirEntry, err error) error {
			if err != nil || !d.IsDir() {
				return err
			}
			if d.Name() == "testbed" {
				return filepath.SkipDir
			}
			types, err := errorTypes(dir)
			for typeName := range types {
				delete(rows, d.Name()+"."+typeName)
			}
			assert.True(t, len(types) == 0 || callsCheck(t, dir), "%s: none of its tests calls oncall.Check", dir)
			return err
		}))
	}
	assert.Empty(t, rows, "docs/oncall.md has rows for error types that do not exist")
}

// callsCheck reports whether a test in dir calls Check.
func callsCheck(t *testing.T, dir string) bool {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	require.NoError(t, err)
	for _, path := range files {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		if strings.Contains(string(raw), "oncall.Check(t,") {
			return true
		}
	}
	return false
}

func TestCheckTextRejectsIncompleteErrors(t *testing.T) {
	for _, text := range []string{"state: full", "state: full; ", "state: full\n; remove some", "full; remove some"} {
		assert.Error(t, checkText(errors.New(text)), text)
	}
	assert.NoError(t, checkText(errors.New("state: full; remove some")))
}
