// Package oneline formats an error for use within the one-line text of another error.
package oneline

import (
	"fmt"
	"io/fs"
	"net"
	"os"
	"strings"
)

// Of returns the text of err on one line. It leaves out the file or address of an outermost *fs.PathError,
// *os.LinkError or *net.OpError, because the error that wraps it names the place.
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
