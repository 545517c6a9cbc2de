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

// namePatterns match the names in the node's string literals that others depend on: metrics, paths of the console,
// environment variables and request headers.
var namePatterns = map[string]*regexp.Regexp{
	"metrics":     regexp.MustCompile(`^node_[a-z_]+$`),
	"calls":       regexp.MustCompile(`^/[a-z]+(/[a-z]+)?/?$`),
	"environment": regexp.MustCompile(`^(NODE_[A-Z_]+|TMPDIR)$`),
	"headers":     regexp.MustCompile(`^X-[A-Za-z-]+$`),
}

// The names that operators, other processes and the platform depend on are as recorded.
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

// visitStringLiterals calls visit for each string literal of a file, except import paths and struct tags.
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

// wordPackages are the packages whose words appear in external formats, by golden file: the simulator's protocol, and
// the lab's scenarios, figures, benchmarks and reports.
var wordPackages = map[string]string{
	"simwire":     "internal/simwire",
	"scenario":    "internal/testbed/scenario",
	"judge":       "internal/testbed/judge",
	"report":      "internal/testbed/report",
	"virtual":     "internal/testbed/virtual",
	"maintenance": "internal/testbed/maintenanceday",
}

// wordPattern matches a text with a letter or digit and without inner blanks, such as a key, a value or a prefix.
// verbPattern matches formatting verbs of package fmt, which don't count as letters.
var (
	wordPattern = regexp.MustCompile(`^[ \n]?[!-~]*[A-Za-z0-9][!-~]*[ \n]?$`)
	verbPattern = regexp.MustCompile(`%[0-9]*[a-z]`)
)

// The single words in string literals of these packages are as recorded. Texts of several words, such as messages, may
// change.
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
