package golden

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
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
var namePatterns = map[string]*regexp.Regexp{
	"metrics":     regexp.MustCompile(`^node_[a-z_]+$`),
	"calls":       regexp.MustCompile(`^/[a-z]+(/[a-z]+)?/?$`),
	"environment": regexp.MustCompile(`^(NODE_[A-Z_]+|TMPDIR)$`),
	"headers":     regexp.MustCompile(`^X-[A-Za-z-]+$`),
}

// The names that operators, other processes and the platform go by are as recorded.
func TestExternalNamesMatchGolden(t *testing.T) {
	found := map[string]map[string]bool{}
	for kind := range namePatterns {
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
			return visitStringLiterals(path, func(text string) {
				for kind, pattern := range namePatterns {
					if pattern.MatchString(text) {
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

// literals calls visit for each string literal of a file, but for the paths of imports and the tags of fields.
func visitStringLiterals(path string, visit func(string)) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			n.Tag = nil
		case *ast.BasicLit:
			if n.Kind != token.STRING {
				break
			}
			if text, err := strconv.Unquote(n.Value); err == nil {
				visit(text)
			}
		}
		return true
	})
	return nil
}

// Packages whose text others go by: the words of the simulator's wire, and those of the lab's scenarios, figures,
// benches and reports.
var wordPackages = map[string]string{
	"simwire":     "internal/simwire",
	"scenario":    "internal/testbed/scenario",
	"judge":       "internal/testbed/judge",
	"report":      "internal/testbed/report",
	"virtual":     "internal/testbed/virtual",
	"maintenance": "internal/testbed/maintenanceday",
}

// word is a text without blanks within and with a letter or digit, such as a key, a value or a beginning. A verb of
// package fmt is none.
var (
	wordPattern = regexp.MustCompile(`^[ \n]?[!-~]*[A-Za-z0-9][!-~]*[ \n]?$`)
	verbPattern = regexp.MustCompile(`%[0-9]*[a-z]`)
)

// The words that stand in these packages are as recorded. Their texts of several words, such as messages, are free.
func TestExternalWordsMatchGolden(t *testing.T) {
	for name, dir := range wordPackages {
		files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
		require.NoError(t, err)
		words := map[string]bool{}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			require.NoError(t, visitStringLiterals(path, func(text string) {
				if wordPattern.MatchString(verbPattern.ReplaceAllString(text, "")) {
					words[strconv.Quote(text)] = true
				}
			}))
		}
		CheckText(t, "words-"+name, strings.Join(slices.Sorted(maps.Keys(words)), "\n")+"\n")
	}
}
