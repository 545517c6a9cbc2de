package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeModule writes a Go module without dependencies, with files by path, and returns its folder.
func writeModule(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	files["go.mod"] = "module example\n\ngo 1.26\n"
	for name, text := range files {
		path := filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	return dir
}

// testFile returns the source of a test file of package pkg. bodies alternate between a function's signature and its
// body.
func testFile(pkg string, bodies ...string) string {
	text := "package " + pkg + "\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\n"
	for i := 0; i < len(bodies); i += 2 {
		text += "func " + bodies[i] + " {\n" + bodies[i+1] + "\n}\n"
	}
	return text
}

const (
	failingBody  = `t.Error("test failure")`
	listTestA    = "example/a.TestA: the cause, in a word (issue 29)\n"
	testAOutcome = "known red: example/a.TestA: "
)

// Failures of listed tests are printed and ignored; every other failure fails the run.
func TestOnlyListedFailuresAreIgnored(t *testing.T) {
	ok := testFile("b", "TestB(t *testing.T)", "")
	for _, x := range []struct {
		name, list string // list is the file's text; "-" means no file
		a, b       string // test files of packages a and b
		wantOutput []string
		wantError  string // part of the error's text; "" means no error
	}{
		{"all pass, no file", "-", testFile("a", "TestA(t *testing.T)", ""), ok, []string{"ok  \texample/a\t", "ok  \texample/b\t"}, ""},
		{"failure, no file", "-", testFile("a", "TestA(t *testing.T)", failingBody), ok, []string{"test failure", "FAIL\texample/a\t"}, "example/a.TestA fails"},
		{"listed test fails", listTestA, testFile("a", "TestA(t *testing.T)", failingBody, "TestC(t *testing.T)", ""), ok,
			[]string{"test failure", "FAIL\texample/a\t", "ok  \texample/a\t", "ok  \texample/b\t", testAOutcome + "fail: the cause, in a word\n"}, ""},
		{"subtest of listed test fails", listTestA, testFile("a", "TestA(t *testing.T)", `t.Run("x", func(t *testing.T) {`+failingBody+`})`), ok, []string{testAOutcome + "fail"}, ""},
		{"listed test passes", listTestA, testFile("a", "TestA(t *testing.T)", ""), ok, []string{testAOutcome + "pass"}, ""},
		{"listed test is skipped", listTestA, testFile("a", "TestA(t *testing.T)", "t.Skip()"), ok, []string{testAOutcome + "skip"}, ""},
		{"unlisted test fails", listTestA, testFile("a", "TestA(t *testing.T)", failingBody, "TestAA(t *testing.T)", failingBody), ok, []string{testAOutcome + "fail"}, "example/a.TestAA fails"},
		{"test of the same name in another package fails", listTestA, testFile("a", "TestA(t *testing.T)", failingBody), testFile("b", "TestA(t *testing.T)", failingBody), nil, "example/b.TestA fails"},
		{"listed test panics before an unlisted one fails", listTestA,
			testFile("a", "TestA(t *testing.T)", "panic(1)", "TestC(t *testing.T)", failingBody), ok, []string{testAOutcome + "fail"}, "example/a without its listed tests"},
		{"package with listed failure exits with 1 for another reason", listTestA, testFile("a", "TestA(t *testing.T)", failingBody, "TestMain(m *testing.M)", "m.Run()\nos.Exit(1)"), ok, nil, "example/a without its listed tests"},
		{"package exits with 1 though its tests pass", listTestA, testFile("a", "TestA(t *testing.T)", "", "TestMain(m *testing.M)", "m.Run()\nos.Exit(1)"), ok, nil, "example/a fails"},
		{"another package does not build", listTestA, testFile("a", "TestA(t *testing.T)", failingBody), testFile("b", "TestB(t *testing.T)", "x"), []string{"undefined: x"}, "does not build"},
		{"listed test does not exist", listTestA, testFile("a", "TestB(t *testing.T)", ""), ok, []string{testAOutcome + "not found"}, "no such test"},
		{"listed package does not exist", "example/c.TestA: x (issue 1)\n", testFile("a", "TestA(t *testing.T)", ""), ok, nil, "no such test"},
	} {
		t.Run(x.name, func(t *testing.T) {
			files := map[string]string{"a/a_test.go": x.a, "b/b_test.go": x.b}
			if x.list != "-" {
				files[listFile] = x.list
			}
			dir := writeModule(t, files)
			for range 2 { // the second run gets its results from go's cache
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
				assert.NotContains(t, out.String(), "=== RUN", "output of passing tests")
			}
		})
	}
}

// A list of more than three lines, or with a malformed line, is rejected before any test runs.
func TestInvalidListsAreRejected(t *testing.T) {
	listOf := func(n int) string {
		l := ""
		for i := range n {
			l += "example/a.Test" + string(rune('A'+i)) + ": x (issue 1)\n"
		}
		return l
	}
	for _, x := range []struct{ name, list, wantError string }{
		{"four tests", listOf(4), "4 tests listed, 3 are allowed"},
		{"listed twice", listOf(1) + listOf(1), "line 2: example/a.TestA is listed twice"},
		{"no cause", "example/a.TestA (issue 1)\n", "line 1: not"},
		{"no issue", "example/a.TestA: x\n", "line 1: not"},
		{"no package", "TestA: x (issue 1)\n", "line 1: not"},
		{"no test", "example/a: x (issue 1)\n", "line 1: not"},
		{"subtest", "example/a.TestA/b: x (issue 1)\n", "line 1: not"},
		{"pattern", "example/a.Test.*: x (issue 1)\n", "line 1: not"},
		{"empty line", listOf(1) + "\n" + listOf(1), "line 2: not"},
		{"empty file", "", "line 1: not"},
	} {
		err := run(writeModule(t, map[string]string{listFile: x.list}), []string{"go", "test", "./..."}, os.Stderr)
		require.ErrorContains(t, err, x.wantError, x.name)
	}
	list, err := readList(writeModule(t, map[string]string{listFile: listOf(3)}) + "/" + listFile)
	require.NoError(t, err)
	assert.Len(t, list, 3)
	require.ErrorContains(t, run(t.TempDir(), []string{"true"}, os.Stderr), "not a go test command")
}
