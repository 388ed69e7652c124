package eventlog

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against events in the catalogue that no module records. The catalogue
// once contained 45 of them.
func TestEachCodeOfTheCatalogueIsRecorded(t *testing.T) {
	used := make(map[string]bool)
	assert.NilError(t, filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if e, ok := n.(ast.Expr); ok && isQualified(e, "eventlog") {
				used[lastName(e)] = true
			}
			// Package eventlog records its own events with the method record.
			if call, ok := n.(*ast.CallExpr); ok && file.Name.Name == "eventlog" && lastName(call.Fun) == "record" {
				used[lastName(call.Args[0])] = true
			}
			return true
		})
		return nil
	}))
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	checked := 0
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && lastName(spec.Type) == "Code" {
			checked++
			assert.Check(t, used[spec.Names[0].Name], "%s is never recorded", spec.Names[0].Name)
		}
		return true
	})
	assert.Equal(t, checked, len(catalogue))
}
