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

// unused contains the settings that have no effect yet, as their comments state.
var unused = map[string]bool{"Site": true}

// Guards against settings that are accepted but ignored. Ten settings once were,
// including TLS.
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
			// peerTLS takes the whole TLS struct, so its fields are used without the prefix.
			assert.Check(t, direct || field.Name == "TLS" && used[sub.Name], "%s.%s is not used", field.Name, sub.Name)
		}
	}
}
