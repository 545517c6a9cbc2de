package golden

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// What the node's program names in text that others go by: metrics, the console's calls, variables of the
// environment and headers of requests.
var names = map[string]*regexp.Regexp{
	"metrics":     regexp.MustCompile(`^node_[a-z_]+$`),
	"calls":       regexp.MustCompile(`^/[a-z]+(/[a-z]+)?/?$`),
	"environment": regexp.MustCompile(`^(NODE_[A-Z_]+|TMPDIR)$`),
	"headers":     regexp.MustCompile(`^X-[A-Za-z-]+$`),
}

// The names that operators, other processes and the platform go by are as recorded.
func TestNamesAreAsRecorded(t *testing.T) {
	found := map[string]map[string]bool{}
	for kind := range names {
		found[kind] = map[string]bool{}
	}
	for _, top := range []string{"control", "fleet", "internal", "cmd/edgenode"} {
		require.NoError(t, filepath.WalkDir(filepath.Join("..", "..", top), func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() && (d.Name() == "testbed" || d.Name() == "golden") {
				return filepath.SkipDir
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			return literals(path, func(text string) {
				for kind, form := range names {
					if form.MatchString(text) {
						found[kind][text] = true
					}
				}
			})
		}))
	}
	for kind, set := range found {
		var all []string
		for name := range set {
			all = append(all, name)
		}
		slices.Sort(all)
		CheckText(t, "names-"+kind, strings.Join(all, "\n")+"\n")
	}
}

// literals calls visit for each string literal of a file.
func literals(path string, visit func(string)) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if text, err := strconv.Unquote(lit.Value); err == nil {
				visit(text)
			}
		}
		return true
	})
	return nil
}
