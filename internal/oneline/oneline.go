// Package oneline gives the text of an error as a part of another's one line.
package oneline

import (
	"fmt"
	"io/fs"
	"net"
	"os"
	"strings"
)

// Of gives the text of a cause without line breaks, and without the place where it is one of the
// standard library's that tells it: who wraps it names the place.
func Of(err error) string {
	switch e := err.(type) { //nolint:errorlint // only the outermost error may lose its place; inner ones stay whole
	case *fs.PathError:
		err = fmt.Errorf("%s: %w", e.Op, e.Err)
	case *os.LinkError:
		err = fmt.Errorf("%s: %w", e.Op, e.Err)
	case *net.OpError:
		err = e.Err
	}
	return strings.Join(strings.FieldsFunc(fmt.Sprint(err), func(r rune) bool { return r == '\n' || r == '\r' }), ", ")
}
