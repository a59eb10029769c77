package tomlfile

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// span is the byte range and first line of one key of a document.
type span struct {
	line       int
	start, end int
	// value is the kind of the value of a key/value pair.
	value unstable.Kind
}

// lineIndex finds where keys stand in a document.
type lineIndex struct {
	parser unstable.Parser
	// keys holds each dotted key; elements of arrays of tables are numbered.
	keys map[string]span
	// pairs holds each top-level key/value pair, in order.
	pairs []span
	// arrays counts the elements of each array of tables so far.
	arrays map[string]int
	table  string
}

// newLineIndex indexes data as far as it is TOML.
func newLineIndex(data []byte) *lineIndex {
	x := &lineIndex{keys: make(map[string]span), arrays: make(map[string]int)}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x
}

func (x *lineIndex) expression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		x.table = x.resolve(n.Key(), false)
	case unstable.ArrayTable:
		x.table = x.resolve(n.Key(), true)
	case unstable.KeyValue:
		x.pairs = append(x.pairs, x.spanOf(n.Raw))
		x.pair(x.table, n)
	}
}

// resolve returns the numbered key of a table header and notes its line.
func (x *lineIndex) resolve(keys unstable.Iterator, array bool) string {
	path := ""
	for keys.Next() {
		node := keys.Node()
		path = join(path, string(node.Data))
		if array && keys.IsLast() {
			x.note(path, x.spanOf(node.Raw))
			x.arrays[path]++
		}
		if count := x.arrays[path]; count > 0 {
			path = element(path, count-1)
		}
		x.note(path, x.spanOf(node.Raw))
	}
	return path
}

func (x *lineIndex) pair(prefix string, n *unstable.Node) {
	at := x.spanOf(n.Raw)
	at.value = n.Value().Kind
	path := prefix
	keys := n.Key()
	for keys.Next() {
		path = join(path, string(keys.Node().Data))
		x.note(path, at)
	}
	x.value(path, n.Value())
}

func (x *lineIndex) value(path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.InlineTable:
		children := n.Children()
		for children.Next() {
			x.pair(path, children.Node())
		}
	case unstable.Array:
		x.array(path, n)
	}
}

func (x *lineIndex) array(path string, n *unstable.Node) {
	children := n.Children()
	i := 0
	for children.Next() {
		child := children.Node()
		if child.Kind == unstable.Comment {
			continue
		}
		key := element(path, i)
		if child.Raw.Length > 0 {
			x.note(key, x.spanOf(child.Raw))
		}
		x.value(key, child)
		i++
	}
}

// note keeps the first place of a key.
func (x *lineIndex) note(key string, at span) {
	if _, seen := x.keys[key]; !seen {
		x.keys[key] = at
	}
}

func (x *lineIndex) spanOf(r unstable.Range) span {
	line := x.parser.Shape(r).Start.Line
	return span{line: line, start: int(r.Offset), end: int(r.Offset + r.Length)}
}

// line returns the line of a key, or that of the closest table around it; the
// first line when there is none.
func (x *lineIndex) line(key string) int {
	for key != "" {
		if at, ok := x.keys[key]; ok {
			return at.line
		}
		key = parent(key)
	}
	return 1
}

// pairAt returns the key/value pair that covers a line.
func (x *lineIndex) pairAt(line int, data []byte) (span, bool) {
	for _, p := range x.pairs {
		last := p.line + strings.Count(string(data[p.start:p.end]), "\n")
		if p.line <= line && line <= last {
			return p, true
		}
	}
	return span{}, false
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

func element(key string, i int) string { return fmt.Sprintf("%s[%d]", key, i) }

// parent returns the key without its last part or index.
func parent(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}

// isText says whether the value of a key is text, as far as is known.
func (x *lineIndex) isText(key string) bool {
	at, ok := x.keys[key]
	return !ok || at.value == unstable.String || at.value == unstable.Invalid
}

// Fit returns how many top-level keys of a document are fields of a struct, so
// that the kind of a file can be told by its content.
func Fit(data []byte, value any) int {
	index := newLineIndex(data)
	t := reflect.TypeOf(value)
	n := 0
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if _, ok := index.keys[name]; ok {
			n++
		}
	}
	return n
}
