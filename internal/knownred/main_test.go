package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// planted writes a module of its own, which needs no other.
func writeModule(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	files["go.mod"] = "module planted\n\ngo 1.26\n"
	for name, text := range files {
		path := filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	return dir
}

// tests is a test file of a package with functions of these names and bodies.
func testFile(pkg string, bodies ...string) string {
	text := "package " + pkg + "\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\n"
	for i := 0; i < len(bodies); i += 2 {
		text += "func " + bodies[i] + " {\n" + bodies[i+1] + "\n}\n"
	}
	return text
}

const (
	failingBody  = `t.Error("it is red")`
	listTestA    = "planted/a.TestA: the cause, in a word (issue 29)\n"
	testAOutcome = "known red: planted/a.TestA: "
)

// The failures of listed tests are passed over and printed, and nothing else is.
func TestOnlyListedFailuresAreIgnored(t *testing.T) {
	ok := testFile("b", "TestB(t *testing.T)", "")
	for _, x := range []struct {
		name, list string // "-" is no file
		a, b       string
		wantOutput []string
		wantError  string // of the error; "" is that it passes
	}{
		{"all green, no file", "-", testFile("a", "TestA(t *testing.T)", ""), ok, []string{"ok  \tplanted/a\t", "ok  \tplanted/b\t"}, ""},
		{"red, no file", "-", testFile("a", "TestA(t *testing.T)", failingBody), ok, []string{"it is red", "FAIL\tplanted/a\t"}, "planted/a.TestA fails"},
		{"red and listed", listTestA, testFile("a", "TestA(t *testing.T)", failingBody, "TestC(t *testing.T)", ""), ok,
			[]string{"it is red", "FAIL\tplanted/a\t", "ok  \tplanted/a\t", "ok  \tplanted/b\t", testAOutcome + "fail: the cause, in a word\n"}, ""},
		{"a part of it is red", listTestA, testFile("a", "TestA(t *testing.T)", `t.Run("x", func(t *testing.T) {`+failingBody+`})`), ok, []string{testAOutcome + "fail"}, ""},
		{"listed and green", listTestA, testFile("a", "TestA(t *testing.T)", ""), ok, []string{testAOutcome + "pass"}, ""},
		{"listed and skipped", listTestA, testFile("a", "TestA(t *testing.T)", "t.Skip()"), ok, []string{testAOutcome + "skip"}, ""},
		{"another is red", listTestA, testFile("a", "TestA(t *testing.T)", failingBody, "TestAA(t *testing.T)", failingBody), ok, []string{testAOutcome + "fail"}, "planted/a.TestAA fails"},
		{"one of its name elsewhere is red", listTestA, testFile("a", "TestA(t *testing.T)", failingBody), testFile("b", "TestA(t *testing.T)", failingBody), nil, "planted/b.TestA fails"},
		{"it ends the package before the red one after it", listTestA,
			testFile("a", "TestA(t *testing.T)", "panic(1)", "TestC(t *testing.T)", failingBody), ok, []string{testAOutcome + "fail"}, "planted/a without its listed tests"},
		{"the package fails by more", listTestA, testFile("a", "TestA(t *testing.T)", failingBody, "TestMain(m *testing.M)", "m.Run()\nos.Exit(1)"), ok, nil, "planted/a without its listed tests"},
		{"the package fails by itself", listTestA, testFile("a", "TestA(t *testing.T)", "", "TestMain(m *testing.M)", "m.Run()\nos.Exit(1)"), ok, nil, "planted/a fails"},
		{"another does not build", listTestA, testFile("a", "TestA(t *testing.T)", failingBody), testFile("b", "TestB(t *testing.T)", "x"), []string{"undefined: x"}, "does not build"},
		{"there is no such test", listTestA, testFile("a", "TestB(t *testing.T)", ""), ok, []string{testAOutcome + "not found"}, "no such test"},
		{"there is no such package", "planted/c.TestA: x (issue 1)\n", testFile("a", "TestA(t *testing.T)", ""), ok, nil, "no such test"},
	} {
		t.Run(x.name, func(t *testing.T) {
			files := map[string]string{"a/a_test.go": x.a, "b/b_test.go": x.b}
			if x.list != "-" {
				files[listFile] = x.list
			}
			dir := writeModule(t, files)
			for range 2 { // the second time from go's cache, with the same verdict
				var out strings.Builder
				err := run(dir, []string{"go", "test", "./..."}, &out)
				if x.wantError == "" {
					require.NoError(t, err, out.String())
				} else {
					require.ErrorContains(t, err, x.wantError, out.String())
				}
				for _, p := range x.wantOutput {
					assert.Contains(t, out.String(), p)
				}
				assert.NotContains(t, out.String(), "=== RUN", "of tests that pass")
			}
		})
	}
}

// A list of more than three lines, or with one that is not in its form, is refused before any test runs.
func TestInvalidListsAreRejected(t *testing.T) {
	listOf := func(n int) string {
		l := ""
		for i := range n {
			l += "planted/a.Test" + string(rune('A'+i)) + ": x (issue 1)\n"
		}
		return l
	}
	for _, x := range []struct{ name, list, wantError string }{
		{"four", listOf(4), "4 tests, 3 are allowed"},
		{"twice", listOf(1) + listOf(1), "line 2: planted/a.TestA is listed twice"},
		{"no cause", "planted/a.TestA (issue 1)\n", "line 1: not"},
		{"no issue", "planted/a.TestA: x\n", "line 1: not"},
		{"no package", "TestA: x (issue 1)\n", "line 1: not"},
		{"no test", "planted/a: x (issue 1)\n", "line 1: not"},
		{"a part of a test", "planted/a.TestA/b: x (issue 1)\n", "line 1: not"},
		{"a pattern", "planted/a.Test.*: x (issue 1)\n", "line 1: not"},
		{"an empty line", listOf(1) + "\n" + listOf(1), "line 2: not"},
		{"an empty file", "", "line 1: not"},
	} {
		err := run(writeModule(t, map[string]string{listFile: x.list}), []string{"go", "test", "./..."}, os.Stderr)
		require.ErrorContains(t, err, x.wantError, x.name)
	}
	list, err := readList(writeModule(t, map[string]string{listFile: listOf(3)}) + "/" + listFile)
	require.NoError(t, err)
	assert.Len(t, list, 3)
	require.ErrorContains(t, run(t.TempDir(), []string{"true"}, os.Stderr), "not a go test command")
}
