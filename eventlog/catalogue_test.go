package eventlog

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	page, err := os.ReadFile("../docs/" + name)
	assert.NilError(t, err)
	return string(page)
}

var catalogueRow = regexp.MustCompile(`(?m)^\| (\d+) \| (.+?) \| (.+?) \| (.+?) \|$`)

// Guards against docs/EVENTS.md and the catalogue differing in either direction.
func TestEventsPage(t *testing.T) {
	var page, code []string
	for _, row := range catalogueRow.FindAllStringSubmatch(readPage(t, "EVENTS.md"), -1) {
		page = append(page, strings.Join(row[1:], " | "))
	}
	for _, d := range Definitions() {
		code = append(code, fmt.Sprintf("%d | %s | %s | %s", d.Code, d.Name, d.Level, d.Meaning))
	}
	assert.DeepEqual(t, page, code)
}

// Guards against an alarm without instructions in docs/OPERATIONS.md, and against
// instructions for an alarm that no longer exists.
func TestOperationsPage(t *testing.T) {
	var page, code []string
	for _, row := range regexp.MustCompile(`(?m)^### (\d+ [a-z-]+)$`).FindAllStringSubmatch(readPage(t, "OPERATIONS.md"), -1) {
		page = append(page, row[1])
	}
	for _, d := range Definitions() {
		if d.Level == LevelAlarm {
			code = append(code, fmt.Sprintf("%d %s", d.Code, d.Name))
		}
	}
	assert.DeepEqual(t, page, code)
}

// Guards against codes that are out of order or out of range, and against
// duplicate names.
func TestCatalogueIsConsistent(t *testing.T) {
	names := map[string]Code{}
	last := Code(999)
	for _, d := range Definitions() {
		assert.Assert(t, d.Code > last && d.Code <= 9999, "code %d follows %d", d.Code, last)
		assert.Assert(t, regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`).MatchString(d.Name), "name %q", d.Name)
		assert.Assert(t, names[d.Name] == 0, "%s is the name of %d and %d", d.Name, names[d.Name], d.Code)
		assert.Assert(t, strings.HasSuffix(d.Meaning, ".") && !strings.Contains(d.Meaning, "|"), "meaning of %d", d.Code)
		last, names[d.Name] = d.Code, d.Code
	}
}

// Guards against a code that a module defines or records although it is not in
// the catalogue.
func TestEachCodeOfTheSourceIsRegistered(t *testing.T) {
	found := 0
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, code := range literalCodes(file) {
			found++
			_, ok := Lookup(code)
			assert.Check(t, ok, "%s: code %d is not in the catalogue", path, code)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, found >= len(catalogue), "found %d codes in the source", found)
}

// literalCodes returns the values of constants of type Code, and the literals
// passed to Record and Code.
func literalCodes(file *ast.File) (codes []Code) {
	add := func(e ast.Expr) {
		if literal, ok := e.(*ast.BasicLit); ok && literal.Kind == token.INT {
			n, _ := strconv.ParseUint(literal.Value, 0, 16)
			codes = append(codes, Code(n))
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ValueSpec:
			if lastName(n.Type) == "Code" && (file.Name.Name == "eventlog" || isQualified(n.Type, "eventlog")) {
				for _, value := range n.Values {
					add(value)
				}
			}
		case *ast.CallExpr:
			if (lastName(n.Fun) == "Record" || isQualified(n.Fun, "eventlog") && lastName(n.Fun) == "Code") && len(n.Args) > 0 {
				add(n.Args[0])
			}
		}
		return true
	})
	return codes
}

func lastName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	}
	return ""
}

func isQualified(e ast.Expr, pkg string) bool {
	s, ok := e.(*ast.SelectorExpr)
	return ok && lastName(s.X) == pkg
}
