package docs

import (
	"encoding/json"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
)

var update = flag.Bool("update", false, "write the generated pages instead of comparing them")

// settingsFiles lists the settings files in the order of the page, with their defaults.
var settingsFiles = []struct {
	program, structName string
	defaults            any
}{
	{"gp-gateway", "Gateway", settings.DefaultGateway()},
	{"gp-coordinator", "Coordinator", settings.DefaultCoordinator()},
	{"gp-entry", "Entry", settings.DefaultEntry()},
	{"gp-control", "Control", settings.DefaultControl()},
}

// Guards against a settings reference that differs from the code. After a change:
// go test ./internal/docs -run Settings -update
func TestSettingsPageIsGenerated(t *testing.T) {
	structs := settingsStructs(t)
	var content strings.Builder
	content.WriteString("# Settings\n\nGenerated from pkg/settings by `go test ./internal/docs -run Settings -update`.\n\n" +
		"Settings files are JSON with comments. Unknown keys are refused, and all faults are\n" +
		"reported at once; `PROGRAM validate -settings FILE` checks a file, `PROGRAM defaults`\n" +
		"prints the defaults. Without a default a field must be set or may stay empty, as its\n" +
		"meaning says.\n")
	written := map[string]bool{}
	for _, file := range settingsFiles {
		raw, err := json.Marshal(file.defaults)
		qt.Assert(t, err, qt.IsNil)
		var defaults map[string]json.RawMessage
		qt.Assert(t, json.Unmarshal(raw, &defaults), qt.IsNil)
		writeStruct(&content, file.program, structs[file.structName], defaults, structs, written)
	}
	page := filepath.Join("..", "..", "docs", "settings.md")
	if *update {
		qt.Assert(t, os.WriteFile(page, []byte(content.String()), 0o644), qt.IsNil)
		return
	}
	current, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(current) == content.String(), qt.IsTrue, qt.Commentf("docs/settings.md is out of date: go test ./internal/docs -run Settings -update"))
	// An empty last cell is a field without a meaning.
	qt.Assert(t, strings.Contains(content.String(), "|  |\n"), qt.IsFalse, qt.Commentf("a field of pkg/settings has no comment"))
}

// settingsStructs returns the struct types of pkg/settings by name.
func settingsStructs(t *testing.T) map[string]*ast.StructType {
	files, err := filepath.Glob(filepath.Join("..", "..", "pkg", "settings", "*.go"))
	qt.Assert(t, err, qt.IsNil)
	structs := map[string]*ast.StructType{}
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		qt.Assert(t, err, qt.IsNil)
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				if s, ok := spec.Type.(*ast.StructType); ok {
					structs[spec.Name.Name] = s
				}
			}
			return true
		})
	}
	return structs
}

// writeStruct writes the table of a struct, followed by the tables of the structs
// that its fields contain. A nested struct that is in written is skipped.
func writeStruct(
	b *strings.Builder, title string, s *ast.StructType, defaults map[string]json.RawMessage, structs map[string]*ast.StructType,
	written map[string]bool,
) {
	fmt.Fprintf(b, "\n## %s\n\n| field | type | default | meaning |\n|---|---|---|---|\n", title)
	var nested []string
	meaning := ""
	for _, field := range s.Fields.List {
		if field.Tag == nil || len(field.Names) == 0 {
			continue
		}
		name, _, _ := strings.Cut(reflect.StructTag(strings.Trim(field.Tag.Value, "`")).Get("json"), ",")
		comment := strings.Join(strings.Fields(field.Doc.Text()), " ")
		// One comment can describe several fields: a field without a comment takes the
		// meaning of the preceding field if that names it.
		if comment != "" || !strings.Contains(meaning, field.Names[0].Name) {
			meaning = comment
		}
		fieldType := typeName(field.Type)
		defaultValue := strings.Trim(string(defaults[name]), `"`)
		if defaultValue == "null" || defaultValue == "0" || defaultValue == "false" || strings.HasPrefix(defaultValue, "{") {
			defaultValue = ""
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", name, fieldType, defaultValue, strings.ReplaceAll(meaning, "|", "\\|"))
		elementType := strings.TrimPrefix(strings.TrimPrefix(fieldType, "list of "), "map to ")
		if structs[elementType] != nil && !slices.Contains(nested, elementType) {
			nested = append(nested, elementType)
		}
	}
	for _, structName := range nested {
		if !written[structName] {
			written[structName] = true
			writeStruct(b, structName, structs[structName], nil, structs, written)
		}
	}
}

// typeName returns the type of a field as the page shows it.
func typeName(e ast.Expr) string {
	switch t := e.(type) {
	case *ast.Ident:
		return t.Name
	case *ast.ArrayType:
		return "list of " + typeName(t.Elt)
	case *ast.MapType:
		return "map to " + typeName(t.Value)
	case *ast.StarExpr:
		return typeName(t.X)
	case *ast.SelectorExpr:
		return t.Sel.Name
	}
	return "value"
}
