package template

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Diff returns the changes from a to b, one line each: "+ key: value" for what
// is new, "- key: value" for what is gone and "~ key: old -> new" for what
// changed. Elements of lists go by their names. It is empty when a and b are
// equal but for their version.
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
		out.WriteString(change(key, before, after))
	}
	return out.String()
}

func change(key string, before, after map[string]string) string {
	from, was := before[key]
	to, is := after[key]
	switch {
	case !was:
		return fmt.Sprintf("+ %s: %s\n", key, to)
	case !is:
		return fmt.Sprintf("- %s: %s\n", key, from)
	case from != to:
		return fmt.Sprintf("~ %s: %s -> %s\n", key, from, to)
	default:
		return ""
	}
}

// flatten returns the text of each value of t under its dotted key.
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

// label names an element of a list: by its name, or a route by method and path.
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
