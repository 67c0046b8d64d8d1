package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// decoder fills a struct from a tree of TOML values. Unlike the TOML library's
// decoder it doesn't stop at the first error but reports all of them.
type decoder struct {
	report func(key, want string)
}

// table fills the struct v from a TOML table; path is the dotted key of the
// table.
func (d *decoder) table(path string, values map[string]any, v reflect.Value) {
	fields := fieldsByKey(v)
	for _, key := range sortedKeys(values) {
		field, known := fields[key]
		full := join(path, key)
		if !known {
			d.report(full, "unknown key; expected one of "+strings.Join(sortedKeys(fields), ", "))
			continue
		}
		d.value(full, values[key], field)
	}
}

// value fills v from one TOML value.
func (d *decoder) value(path string, value any, v reflect.Value) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.textValue(path, value, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structValue(path, value, v)
	case reflect.Map:
		d.namedTables(path, value, v)
	case reflect.Slice:
		d.list(path, value, v)
	default:
		d.scalar(path, value, v)
	}
}

func (d *decoder) textValue(path string, value any, u encoding.TextUnmarshaler) {
	text, ok := value.(string)
	if !ok {
		d.report(path, "expected a duration in quotes, such as \"250ms\"")
		return
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.report(path, err.Error())
	}
}

func (d *decoder) structValue(path string, value any, v reflect.Value) {
	inner, ok := value.(map[string]any)
	if !ok {
		d.report(path, "expected a table")
		return
	}
	d.table(path, inner, v)
}

// namedTables fills a map from a table of named tables.
func (d *decoder) namedTables(path string, value any, v reflect.Value) {
	inner, ok := value.(map[string]any)
	if !ok {
		d.report(path, "expected a table of named tables")
		return
	}
	if v.IsNil() {
		v.Set(reflect.MakeMap(v.Type()))
	}
	for _, name := range sortedKeys(inner) {
		element := reflect.New(v.Type().Elem()).Elem()
		d.value(join(path, name), inner[name], element)
		v.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (d *decoder) list(path string, value any, v reflect.Value) {
	items, ok := value.([]any)
	if !ok {
		d.report(path, "expected a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(items), len(items))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	v.Set(out)
}

func (d *decoder) scalar(path string, value any, v reflect.Value) {
	switch x := value.(type) {
	case string:
		if v.Kind() == reflect.String {
			v.SetString(x)
			return
		}
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(x)
			return
		}
	case int64:
		if v.CanInt() && !v.OverflowInt(x) {
			v.SetInt(x)
			return
		}
		if v.CanFloat() {
			v.SetFloat(float64(x))
			return
		}
	case float64:
		if v.CanFloat() {
			v.SetFloat(x)
			return
		}
	}
	d.report(path, "expected "+kindName(v.Kind()))
}

// kindName returns the description of a kind of value for error messages.
func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// fieldsByKey returns the fields of a struct by their TOML key.
func fieldsByKey(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("toml")] = v.Field(i)
	}
	return fields
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
