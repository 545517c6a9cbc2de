package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"slices"
	"strings"
)

// maxListed is the maximum number of tests on the list.
const maxListed = 3

// entry is one line of the list: a test of a package, and the cause of its failure.
type entry struct{ pkg, test, cause string }

var linePattern = regexp.MustCompile(`^([^\s:]+)\.(Test\w*): (\S.*) \(issue \d+\)$`)

// readList reads and validates the list at path. A missing file is an empty list.
func readList(path string) ([]entry, error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []entry
	for i, l := range strings.Split(strings.TrimSuffix(string(raw), "\n"), "\n") {
		m := linePattern.FindStringSubmatch(l)
		if m == nil {
			return nil, fmt.Errorf("%s: line %d: not in the form PACKAGE.TestName: cause (issue N)", path, i+1)
		}
		e := entry{m[1], m[2], m[3]}
		if slices.ContainsFunc(list, func(o entry) bool { return o.pkg == e.pkg && o.test == e.test }) {
			return nil, fmt.Errorf("%s: line %d: %s.%s is listed twice", path, i+1, e.pkg, e.test)
		}
		list = append(list, e)
	}
	if len(list) > maxListed {
		return nil, fmt.Errorf("%s: %d tests listed, %d are allowed", path, len(list), maxListed)
	}
	return list, nil
}
