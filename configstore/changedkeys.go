package configstore

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// ChangedKeys returns the dotted keys in which two TOML texts differ, sorted.
// Text that isn't valid TOML counts as empty.
func ChangedKeys(a, b string) []string {
	left, right := flatten(a), flatten(b)
	var keys []string
	for key, value := range left {
		if other, ok := right[key]; !ok || !reflect.DeepEqual(value, other) {
			keys = append(keys, key)
		}
	}
	for key := range right {
		if _, ok := left[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// flatten returns the values of a TOML text by dotted key.
func flatten(text string) map[string]any {
	var tree map[string]any
	if err := toml.Unmarshal([]byte(text), &tree); err != nil {
		return nil
	}
	flat := map[string]any{}
	var walk func(prefix string, table map[string]any)
	walk = func(prefix string, table map[string]any) {
		for key, value := range table {
			if inner, ok := value.(map[string]any); ok {
				walk(prefix+key+".", inner)
				continue
			}
			flat[prefix+key] = fmt.Sprint(value)
		}
	}
	walk("", tree)
	return flat
}
