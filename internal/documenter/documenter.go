// Package documenter renders the reference tables of docs/ from the code. A test
// checks that the pages contain them.
package documenter

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
)

// Codes renders the table of result codes.
func Codes() string {
	var b strings.Builder
	b.WriteString("| Code | Name | HTTP | Retry helps | Meaning | What to do |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, row := range refuser.Table() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n",
			int(row.Code), row.Code, row.Status, yesNo(row.Retry), row.Title, row.Advice)
	}
	return b.String()
}

// Events renders the table of log events.
func Events() string {
	var b strings.Builder
	b.WriteString("| Event | Message | Meaning | What to do |\n")
	b.WriteString("|---|---|---|---|\n")
	for _, row := range recorder.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", int(row.Event), row.Event, row.Meaning, row.Advice)
	}
	return b.String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Fields renders one row for each field of the struct type root in a source file:
// its name from the struct tag, its default, and its doc comment.
func Fields(path, root, tag string, defaults any) (string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return "", trace.Wrap(err, "parsing %s", path)
	}
	structs := make(map[string]*ast.StructType)
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.TypeSpec); ok {
			if s, ok := spec.Type.(*ast.StructType); ok {
				structs[spec.Name.Name] = s
			}
		}
		return true
	})
	t := table{structs: structs, tag: tag}
	t.addRows("", root, reflect.ValueOf(defaults))
	return "| Field | Default | Meaning |\n|---|---|---|\n" + t.b.String(), nil
}

// table collects the rows of a struct and its nested structs.
type table struct {
	structs map[string]*ast.StructType
	tag     string
	b       strings.Builder
}

// addRows adds one row for each field of a struct.
func (t *table) addRows(prefix, name string, value reflect.Value) {
	for i, field := range t.structs[name].Fields.List {
		label := prefix + value.Type().Field(i).Tag.Get(t.tag)
		typeName, ok := field.Type.(*ast.Ident)
		if ok && t.structs[typeName.Name] != nil && t.hasTaggedFields(value.Field(i)) {
			t.addRows(label+".", typeName.Name, value.Field(i))
			continue
		}
		fmt.Fprintf(&t.b, "| %s | %s | %s |\n", label, formatDefault(value.Field(i)), docText(field))
	}
}

// hasTaggedFields reports whether the fields of a struct have the tag, so that each
// gets a row of its own.
func (t *table) hasTaggedFields(v reflect.Value) bool {
	return v.Type().Field(0).Tag.Get(t.tag) != ""
}

// formatDefault formats a default value.
func formatDefault(v reflect.Value) string {
	if v.IsZero() {
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

// docText returns a field's doc comment on one line, without the leading field
// name.
func docText(field *ast.Field) string {
	doc := strings.Join(strings.Fields(field.Doc.Text()), " ")
	return strings.TrimPrefix(doc, field.Names[0].Name+" ")
}
