package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// exempt may read Go's own clock: this package, what runs deployments for demonstrations and
// tests, and the row of quarantined requests, which has times of day.
var exempt = []string{"internal/clock/", "cmd/internal/lab/", "platform/standin/", "internal/port/porttest/", "internal/crashwatch/row.go"}

// TestEverythingTakesThisClock looks through the sources for readings of Go's own clock, by
// which a lease, a confirmation or a deadline outlives a suspension. There were 87 of them in 26
// files before this clock.
func TestEverythingTakesThisClock(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, folder := range []string{"internal", "cmd", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || isExempt(root, path) {
				return err
			}
			checkSource(t, path)
			return nil
		})
		assert.NilError(t, err)
	}
}

func isExempt(root, path string) bool {
	relative, err := filepath.Rel(root, path)
	for _, each := range exempt {
		if err == nil && strings.HasPrefix(filepath.ToSlash(relative), each) {
			return true
		}
	}
	return false
}

// checkSource reports each use of Go's own clock in a file.
func checkSource(t *testing.T, path string) {
	source, err := os.ReadFile(path)
	assert.NilError(t, err)
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, path, source, 0)
	assert.NilError(t, err)
	ast.Inspect(parsed, func(node ast.Node) bool {
		selector, isSelector := node.(*ast.SelectorExpr)
		if !isSelector {
			return true
		}
		from, isName := selector.X.(*ast.Ident)
		if !isName || from.Name != "time" {
			return true
		}
		switch selector.Sel.Name {
		case "Now", "Since", "Until":
			t.Errorf("%s: time.%s stands still while the machine is suspended", files.Position(node.Pos()), selector.Sel.Name)
		}
		return true
	})
}
