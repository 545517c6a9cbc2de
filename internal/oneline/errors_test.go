package oneline_test

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"martennotch/fleet/provision"
	"martennotch/fleet/rules"
	"martennotch/fleet/turns"
	"martennotch/fleet/zone"
	"martennotch/internal/node"
	"martennotch/internal/peer"
	"martennotch/internal/store"
)

var cause = errors.New("made up\nin two lines")

// examples has one of each type of error that a package of the node raises, with all fields set.
var examples = []error{
	&node.BusyError{Call: "zones", Within: time.Second},
	&node.CallError{Method: "PUT", Path: "/drain", Allowed: []string{"POST"}},
	&node.ConfigError{File: "config.json", Key: "seed", Err: cause},
	&node.EndingError{Node: "n-1"},
	&node.EnvironmentError{Variable: "NODE_CONSOLE", Err: cause},
	&node.FleetFileError{File: "fleet.toml", Line: 3, Key: "peers.port", Err: cause},
	&node.ListenError{For: "clients", Where: "127.0.0.1:80", Err: cause},
	&node.ModuleError{Panic: cause},
	&node.ServeError{Address: "127.0.0.1:80", Err: cause},
	&node.ZoneError{Zone: "hall-x", Known: []string{"hall-a"}},
	&peer.BindError{Address: "127.0.0.1:7946", Err: cause},
	&peer.ConfigError{Key: "bind", Err: cause},
	&peer.FullError{Member: "n-1", Address: "127.0.0.1:7946", Most: 1024},
	&peer.JoinError{Seeds: 3, Err: cause},
	&peer.LeaveError{Name: "n-1", Err: cause},
	&peer.MemberError{Index: 3},
	&peer.StartError{Name: "n-1", Address: "127.0.0.1:7946", Err: cause},
	&provision.CalendarError{Site: "ridge", Key: "windows.0", Reason: "no end"},
	&provision.LoanError{Customer: 7, Reason: "nothing left"},
	&provision.VoidError{Reason: "another start"},
	&rules.AllClosedError{Zones: []string{"hall-a"}},
	&rules.DocumentError{Line: 3, Key: "price", Reason: "no number"},
	&rules.LooserError{Key: "bound", Have: 3, Most: 2},
	&rules.NoVersionError{Number: 3, Text: true},
	&rules.OrderError{Number: 3, Other: 2},
	&rules.PhaseError{Step: "activation", Number: 3, Prepared: 2},
	&rules.SpoiltError{What: "registry: a command", Reason: cause},
	&rules.StaleVersionError{Have: 3, Want: 2},
	&rules.TooLargeError{What: "rule set: its bytes", Have: 3, Most: 2},
	&rules.UnknownError{Kind: "plan", Name: "gold"},
	&store.AsideError{File: "d/state", Why: cause, Err: cause},
	&store.FolderError{Dir: "d", Err: cause},
	&store.OwnerError{File: "d/state", Have: "n-2", Want: "n-1"},
	&store.ReadError{File: "d/state", Err: cause},
	&store.SizeError{File: "d/state", What: "customers", Have: 3, Most: 2},
	&store.SpoiltError{File: "d/state", Err: cause},
	&store.StillError{Dir: "d", Within: time.Second},
	&store.UsedError{Dir: "d"},
	&store.VersionError{File: "d/state", Have: 2, Want: 1},
	&store.WriteError{File: "d/state", Err: cause},
	&turns.PlanError{Key: "hosts.0", Host: "h-1", Why: "no time", Do: "give it one"},
	&turns.SpoiltError{What: "a command", Why: "no number", Do: "look for another version"},
	&zone.OrderError{Order: "go"},
}

// Each error of a type of its own says in one line what failed, where and what an operator can do,
// gives its cause, and has a row in docs/oncall.md. Types are found in the sources: one without an
// example fails too.
func TestErrorsSayWhatToDo(t *testing.T) {
	types := declared(t, "../../control", "../../fleet", "..")
	rows := documented(t, "../../docs/oncall.md")
	for _, err := range examples {
		v := reflect.ValueOf(err).Elem()
		name := v.Type().String()
		t.Run(name, func(t *testing.T) {
			assert.Contains(t, types, name, "it is no type of these packages any more")
			delete(types, name)
			assert.Contains(t, rows, name, "no row in docs/oncall.md")
			delete(rows, name)
			assert.NoError(t, fit(err))
			for i := range v.NumField() {
				assert.False(t, v.Field(i).IsZero(), "%s is not set in the example", v.Type().Field(i).Name)
				switch f := v.Field(i).Interface().(type) {
				case string:
					assert.Contains(t, err.Error(), f, "it does not say where")
				case error:
					assert.Contains(t, err.Error(), "made up", "it does not say why")
					if v.Type().Field(i).Type == reflect.TypeFor[error]() {
						assert.ErrorIs(t, err, cause)
					}
				}
			}
		})
	}
	for name, file := range types {
		t.Errorf("%s: %s has no example in this test", file, name)
	}
	for name := range rows {
		t.Errorf("docs/oncall.md has a row for %s, which there is not", name)
	}
	assert.Error(t, fit(errors.New("state: full")), "an error that says nothing to do is taken")
	assert.Error(t, fit(errors.New("state: full; ")), "an error that says nothing to do is taken")
	assert.Error(t, fit(errors.New("state: full\n; remove something")), "two lines are taken")
}

// fit tells what in an error's text is not as it has to be.
func fit(err error) error {
	text := err.Error()
	at := strings.LastIndex(text, "; ")
	switch {
	case strings.ContainsAny(text, "\r\n"):
		return fmt.Errorf("a line break in %q", text)
	case at < 0 || len(strings.Fields(text[at+2:])) < 2:
		return fmt.Errorf("%q says nothing to do", text)
	case !strings.Contains(text[:at], ": "):
		return fmt.Errorf("%q does not say where", text)
	}
	return nil
}

// declared gives the exported types of errors by package and name, and their files. The stand-in
// platform is not looked at: it is no part of the node.
func declared(t *testing.T, roots ...string) map[string]string {
	types := map[string]string{}
	for _, root := range roots {
		require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir() && d.Name() == "lab":
				return filepath.SkipDir
			case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(f, func(n ast.Node) bool {
				if s, ok := n.(*ast.TypeSpec); ok && s.Name.IsExported() && strings.HasSuffix(s.Name.Name, "Error") {
					types[f.Name.Name+"."+s.Name.Name] = path
				}
				_, body := n.(*ast.BlockStmt)
				return !body
			})
			return nil
		}))
	}
	return types
}

// documented gives the errors that have a row with a meaning and something to do.
func documented(t *testing.T, path string) map[string]bool {
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	rows := map[string]bool{}
	for line := range strings.Lines(string(raw)) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) < 2 {
			continue
		}
		if name := strings.Trim(cells[1], " `"); strings.HasSuffix(name, "Error") {
			assert.Truef(t, len(cells) == 5 && len(strings.Fields(cells[2])) > 1 && len(strings.Fields(cells[3])) > 1, "docs/oncall.md: %s", line)
			rows[name] = true
		}
	}
	return rows
}
