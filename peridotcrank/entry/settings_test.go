package entry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotcrank.dev/settings"
)

// unused names settings without an effect yet; their comments say so.
var unused = map[string]bool{"Site": true}

// Guards against settings that are accepted and ignored: ten were when this test
// was written, TLS among them.
func TestEachSettingIsUsed(t *testing.T) {
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	used := make(map[string]bool)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		source, err := os.ReadFile(name)
		assert.NilError(t, err)
		file, err := parser.ParseFile(token.NewFileSet(), name, source, parser.SkipObjectResolution)
		assert.NilError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				if parent, ok := s.X.(*ast.SelectorExpr); ok {
					used[parent.Sel.Name+"."+s.Sel.Name] = true
				}
				used[s.Sel.Name] = true
			}
			return true
		})
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[settings.Settings]()) {
		if unused[field.Name] {
			continue
		}
		if field.Type.Kind() != reflect.Struct {
			assert.Check(t, used[field.Name], "%s is not used", field.Name)
			continue
		}
		for _, sub := range reflect.VisibleFields(field.Type) {
			direct := used[field.Name+"."+sub.Name]
			// peerTLS gets the whole of TLS.
			assert.Check(t, direct || field.Name == "TLS" && used[sub.Name], "%s.%s is not used", field.Name, sub.Name)
		}
	}
}
