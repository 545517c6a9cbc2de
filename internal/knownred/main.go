// Command knownred runs a go test command and ignores the failures of tests that are known to fail. They are listed in
// KNOWN-RED.txt in the working directory, one per line in the form PACKAGE.TestName: cause (issue N), where PACKAGE is
// an import path. The command prints each listed test with its outcome. It fails on any other failure, on a list of
// more than three lines, on a malformed line, and on a listed test that does not exist.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(".", os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run runs command, which begins with "go test", in dir and writes the output of the tests to out.
func run(dir string, command []string, out io.Writer) error {
	if len(command) < 2 || command[0] != "go" || command[1] != "test" {
		return fmt.Errorf("%q: not a go test command", strings.Join(command, " "))
	}
	list, err := readList(dir + "/" + listFile)
	if err != nil {
		return err
	}
	r := &testRun{list: list, out: out, output: map[test]string{}, outcomes: map[test]string{}}
	testErr := r.runTests(dir, command[2:])
	for _, e := range list {
		outcome := r.outcomes[test{e.pkg, e.test}]
		if outcome == "" {
			r.otherFailures = append(r.otherFailures, fmt.Sprintf("%s lists %s.%s: no such test", listFile, e.pkg, e.test))
			outcome = "not found"
		}
		fmt.Fprintf(out, "known red: %s.%s: %s: %s\n", e.pkg, e.test, outcome, e.cause)
	}
	switch {
	case len(r.otherFailures) > 0:
		return errors.New(strings.Join(r.otherFailures, "; "))
	case testErr != nil && len(r.failedPackages) == 0: // go test failed without an event that reports why
		return testErr
	}
	return r.rerunWithoutListed(dir)
}

type test struct{ pkg, name string }

// testRun collects the events of a go test run.
type testRun struct {
	list           []entry
	out            io.Writer
	output         map[test]string // output so far of each test that has not ended
	outcomes       map[test]string // action that ended each test: pass, skip or fail
	failedPackages []string        // packages in which a listed test failed
	otherFailures  []string        // messages about all other failures
}

// event is an event in the output of go test -json; see go doc test2json.
type event struct{ Action, Package, ImportPath, Test, Output string }

// runTests runs go test -json with args and prints what go test prints without -json.
func (r *testRun) runTests(dir string, args []string) error {
	c := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	c.Dir, c.Stderr = dir, os.Stderr
	pipe, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	for in := bufio.NewReader(pipe); ; {
		l, err := in.ReadString('\n')
		if l != "" {
			r.handleEvent(l)
		}
		if err != nil {
			return c.Wait()
		}
	}
}

// handleEvent handles one line of the output of go test -json.
func (r *testRun) handleEvent(line string) {
	var e event
	if json.Unmarshal([]byte(line), &e) != nil {
		fmt.Fprint(r.out, line)
		r.otherFailures = append(r.otherFailures, fmt.Sprintf("go test printed %q", strings.TrimSpace(line)))
		return
	}
	t := test{e.Package, e.Test}
	switch e.Action {
	case "build-output":
		fmt.Fprint(r.out, e.Output)
	case "build-fail":
		r.otherFailures = append(r.otherFailures, e.ImportPath+" does not build")
	case "output":
		if e.Test != "" && !strings.HasPrefix(e.Output, "=== ") { // skips RUN, PAUSE and CONT lines
			r.output[t] += e.Output
		} else if e.Test == "" && e.Output != "PASS\n" {
			fmt.Fprint(r.out, e.Output)
		}
	case "pass", "skip", "fail":
		if e.Action == "fail" {
			fmt.Fprint(r.out, r.output[t])
			r.addFailure(t)
		}
		delete(r.output, t)
		r.outcomes[t] = e.Action
	}
}

// addFailure records the failure of a test, or of a package if t has no name. A package fails whenever one of its tests
// does, so its own failure counts only if none of its listed tests failed.
func (r *testRun) addFailure(t test) {
	top, _, _ := strings.Cut(t.name, "/")
	switch {
	case slices.ContainsFunc(r.list, func(e entry) bool { return e.pkg == t.pkg && e.test == top }):
		if !slices.Contains(r.failedPackages, t.pkg) {
			r.failedPackages = append(r.failedPackages, t.pkg)
		}
	case t.name != "":
		r.otherFailures = append(r.otherFailures, t.pkg+"."+t.name+" fails")
	case !slices.Contains(r.failedPackages, t.pkg):
		r.otherFailures = append(r.otherFailures, t.pkg+" fails")
	}
}

// rerunWithoutListed runs the packages in which a listed test failed again, without the listed tests. The listed test
// may have ended the process before other tests ran, and no event reports whether the package fails for another reason
// too.
func (r *testRun) rerunWithoutListed(dir string) error {
	for _, p := range r.failedPackages {
		var names []string
		for _, e := range r.list {
			if e.pkg == p {
				names = append(names, e.test)
			}
		}
		c := exec.Command("go", "test", "-skip", "^("+strings.Join(names, "|")+")$", p)
		c.Dir, c.Stdout, c.Stderr = dir, r.out, os.Stderr
		if err := c.Run(); err != nil {
			return fmt.Errorf("%s without its listed tests: %w", p, err)
		}
	}
	return nil
}
