package template

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Diff returns the changes from a to b, one line each: "+ key: value" for an
// added value, "- key: value" for a removed one and "~ key: old -> new" for a
// changed one. Elements of lists are identified by their names. The result is
// empty when a and b differ in nothing but their version.
func Diff(a, b *Template) string {
	before, after := flatten(a), flatten(b)
	keys := make(map[string]bool)
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	var out strings.Builder
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		out.WriteString(diffLine(key, before, after))
	}
	return out.String()
}

func diffLine(key string, before, after map[string]string) string {
	from, inBefore := before[key]
	to, inAfter := after[key]
	switch {
	case !inBefore:
		return fmt.Sprintf("+ %s: %s\n", key, to)
	case !inAfter:
		return fmt.Sprintf("- %s: %s\n", key, from)
	case from != to:
		return fmt.Sprintf("~ %s: %s -> %s\n", key, from, to)
	default:
		return ""
	}
}

// flatten returns the text of each value of t by its dotted key.
func flatten(t *Template) map[string]string {
	out := make(map[string]string)
	flattenStruct(out, "", reflect.ValueOf(t).Elem())
	return out
}

func flattenStruct(out map[string]string, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("toml")
		if name == "-" {
			continue
		}
		flattenValue(out, prefix+name, v.Field(i))
	}
}

func flattenValue(out map[string]string, key string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		flattenStruct(out, key+".", v)
	case reflect.Slice:
		flattenSlice(out, key, v)
	case reflect.Map:
		for _, k := range v.MapKeys() {
			flattenValue(out, key+"."+k.String(), v.MapIndex(k))
		}
	default:
		out[key] = scalar(v)
	}
}

func flattenSlice(out map[string]string, key string, v reflect.Value) {
	for i := range v.Len() {
		element := v.Index(i)
		if element.Kind() == reflect.Struct {
			flattenStruct(out, fmt.Sprintf("%s[%s].", key, label(element)), element)
			continue
		}
		out[fmt.Sprintf("%s[%s]", key, element)] = "listed"
	}
}

// label returns the text that identifies a list element: method and path of a
// route, or the Name field of any other element.
func label(v reflect.Value) string {
	if r, ok := v.Interface().(Route); ok {
		return r.Method + " " + r.Path
	}
	return v.FieldByName("Name").String()
}

func scalar(v reflect.Value) string {
	if d, ok := v.Interface().(Duration); ok {
		return d.Std().String()
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}
