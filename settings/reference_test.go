package settings

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "regenerate docs/SETTINGS.md")

const referencePage = "../docs/SETTINGS.md"

const referenceHead = `# Settings

A folder of TOML files, merged in the order of their names: a later file refines an earlier one. Durations are text such
as "250ms". Keys under [host] and [platform] are the process's own; all others are policy, applied to every entry host
by ` + "`fireflygate apply`" + `. This page is written from the structs of package settings by
` + "`go test ./settings -run TestReference -update`" + `, and a test compares the two.

| key | type | default | meaning |
| --- | --- | --- | --- |
`

// TestReference checks that docs/SETTINGS.md matches the structs and their field
// comments.
func TestReference(t *testing.T) {
	docs := fieldDocs(t)
	var b strings.Builder
	b.WriteString(referenceHead)
	reference(&b, "", reflect.ValueOf(Default()), docs)
	if *update {
		if err := os.WriteFile(referencePage, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != b.String() {
		t.Errorf("docs/SETTINGS.md differs from the structs; run go test ./settings -run TestReference -update")
	}
}

// reference writes a table row for each key of a struct, recursively.
func reference(b *strings.Builder, path string, v reflect.Value, docs map[string]string) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := join(path, f.Tag.Get("toml"))
		value := v.Field(i)
		switch {
		case value.Kind() == reflect.Struct:
			reference(b, key, value, docs)
		case value.Kind() == reflect.Map:
			reference(b, key+".NAME", reflect.New(value.Type().Elem()).Elem(), docs)
		default:
			doc := docs[v.Type().Name()+"."+f.Name]
			fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", key, typeText(value), defaultText(value), doc)
		}
	}
}

func typeText(v reflect.Value) string {
	switch {
	case v.Type() == reflect.TypeFor[Duration]():
		return "duration"
	case v.Kind() == reflect.Slice:
		return "list of strings"
	case v.Kind() == reflect.Float64:
		return "number"
	case v.Kind() == reflect.String:
		return "string"
	case v.Kind() == reflect.Bool:
		return "true or false"
	default:
		return "whole number"
	}
}

func defaultText(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	if d, ok := v.Interface().(Duration); ok {
		return "`\"" + d.D().String() + "\"`"
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

// fieldDocs returns the doc comment of each field on one line. A field without a
// comment has that of the field before it, as in "Region and Zone".
func fieldDocs(t *testing.T) map[string]string {
	t.Helper()
	files, err := parser.ParseDir(token.NewFileSet(), ".", nil, parser.ParseComments) //nolint:staticcheck // one package, no build tags
	if err != nil {
		t.Fatal(err)
	}
	docs := map[string]string{}
	ast.Inspect(files["settings"], func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		s, ok := spec.Type.(*ast.StructType)
		if !ok {
			return false
		}
		above := ""
		for _, f := range s.Fields.List {
			if f.Doc != nil {
				above = strings.Join(strings.Fields(f.Doc.Text()), " ")
			}
			for _, name := range f.Names {
				docs[spec.Name.Name+"."+name.Name] = above
			}
		}
		return false
	})
	return docs
}
