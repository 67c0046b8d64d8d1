package settings_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/fireflygate/fireflygate/settings"
)

// TestCloneSharesNothing checks that a clone of settings with every field set is
// equal and shares no map or slice with the original. Fields are found by
// reflection, so that new ones are covered.
func TestCloneSharesNothing(t *testing.T) {
	var s settings.Settings
	fill(t, reflect.ValueOf(&s).Elem())
	c := s.Clone()
	if !reflect.DeepEqual(s, c) {
		t.Errorf("clone differs: %+v, want %+v", c, s)
	}
	originals := map[uintptr]string{}
	references(reflect.ValueOf(s), "settings", func(at uintptr, path string) { originals[at] = path })
	if len(originals) == 0 {
		t.Fatal("no maps or slices found in the settings")
	}
	references(reflect.ValueOf(c), "clone", func(at uintptr, path string) {
		if original, shared := originals[at]; shared {
			t.Errorf("%s is shared with %s", path, original)
		}
	})
}

// TestCloneKeepsNil checks that nil maps and slices stay nil.
func TestCloneKeepsNil(t *testing.T) {
	if c := (settings.Settings{}).Clone(); !reflect.DeepEqual(c, settings.Settings{}) {
		t.Errorf("clone of zero settings: %+v", c)
	}
}

// fill sets every map, slice and string in a value, recursively.
func fill(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	case reflect.Map:
		value := reflect.New(v.Type().Elem()).Elem()
		fill(t, value)
		m := reflect.MakeMap(v.Type())
		m.SetMapIndex(reflect.ValueOf("name"), value)
		v.Set(m)
	case reflect.Slice:
		s := reflect.MakeSlice(v.Type(), 1, 1)
		fill(t, s.Index(0))
		v.Set(s)
	case reflect.String:
		v.SetString("text")
	case reflect.Pointer, reflect.Interface, reflect.Chan, reflect.Func:
		t.Fatalf("settings contain a %v, which Clone doesn't copy", v.Type())
	default:
	}
}

// references calls f with the address of every map and slice in a value,
// recursively.
func references(v reflect.Value, path string, f func(at uintptr, path string)) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			references(v.Field(i), path+"."+v.Type().Field(i).Name, f)
		}
	case reflect.Map:
		f(v.Pointer(), path)
		for _, key := range v.MapKeys() {
			references(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key), f)
		}
	case reflect.Slice:
		f(v.Pointer(), path)
		for i := range v.Len() {
			references(v.Index(i), fmt.Sprintf("%s[%d]", path, i), f)
		}
	default:
	}
}
