package tomlfile

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// span is the byte range and the first line of a key in a document.
type span struct {
	line       int
	start, end int
	// value is the kind of the value, if the key belongs to a key/value pair.
	value unstable.Kind
}

// lineIndex maps the keys of a document to their positions.
type lineIndex struct {
	parser unstable.Parser
	// keys maps each dotted key to its position. Elements of arrays have an
	// index, such as "customers[0]".
	keys map[string]span
	// pairs holds the key/value pairs of all tables in the order of the
	// document, except for those inside inline tables.
	pairs []span
	// arrays counts the elements found so far of each array of tables.
	arrays       map[string]int
	currentTable string
}

// newLineIndex indexes data up to the first syntax error.
func newLineIndex(data []byte) *lineIndex {
	x := &lineIndex{keys: make(map[string]span), arrays: make(map[string]int)}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		x.indexExpression(x.parser.Expression())
	}
	return x
}

func (x *lineIndex) indexExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		x.currentTable = x.indexHeader(n.Key(), false)
	case unstable.ArrayTable:
		x.currentTable = x.indexHeader(n.Key(), true)
	case unstable.KeyValue:
		x.pairs = append(x.pairs, x.spanOf(n.Raw))
		x.indexPair(x.currentTable, n)
	}
}

// indexHeader records the position of a table header and returns its dotted key
// with indices.
func (x *lineIndex) indexHeader(keys unstable.Iterator, array bool) string {
	path := ""
	for keys.Next() {
		node := keys.Node()
		path = joinKey(path, string(node.Data))
		if array && keys.IsLast() {
			x.addKey(path, x.spanOf(node.Raw))
			x.arrays[path]++
		}
		if count := x.arrays[path]; count > 0 {
			path = elementKey(path, count-1)
		}
		x.addKey(path, x.spanOf(node.Raw))
	}
	return path
}

func (x *lineIndex) indexPair(prefix string, n *unstable.Node) {
	at := x.spanOf(n.Raw)
	at.value = n.Value().Kind
	path := prefix
	keys := n.Key()
	for keys.Next() {
		path = joinKey(path, string(keys.Node().Data))
		x.addKey(path, at)
	}
	x.indexValue(path, n.Value())
}

func (x *lineIndex) indexValue(path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.InlineTable:
		children := n.Children()
		for children.Next() {
			x.indexPair(path, children.Node())
		}
	case unstable.Array:
		x.indexArray(path, n)
	}
}

func (x *lineIndex) indexArray(path string, n *unstable.Node) {
	children := n.Children()
	i := 0
	for children.Next() {
		child := children.Node()
		if child.Kind == unstable.Comment {
			continue
		}
		key := elementKey(path, i)
		if child.Raw.Length > 0 {
			x.addKey(key, x.spanOf(child.Raw))
		}
		x.indexValue(key, child)
		i++
	}
}

// addKey records the first position of a key.
func (x *lineIndex) addKey(key string, at span) {
	if _, seen := x.keys[key]; !seen {
		x.keys[key] = at
	}
}

func (x *lineIndex) spanOf(r unstable.Range) span {
	line := x.parser.Shape(r).Start.Line
	return span{line: line, start: int(r.Offset), end: int(r.Offset + r.Length)}
}

// lineOf returns the line of a key, or of the closest table that should contain
// it, or 1 if there is none.
func (x *lineIndex) lineOf(key string) int {
	for key != "" {
		if at, ok := x.keys[key]; ok {
			return at.line
		}
		key = parentKey(key)
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

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

func elementKey(key string, i int) string { return fmt.Sprintf("%s[%d]", key, i) }

// parentKey returns the key without its last element or index.
func parentKey(key string) string {
	i := strings.LastIndexAny(key, ".[")
	if i < 0 {
		return ""
	}
	return key[:i]
}

// isText reports whether the value of a key is a string. It also returns true
// if the index does not contain the key or the kind of its value.
func (x *lineIndex) isText(key string) bool {
	at, ok := x.keys[key]
	return !ok || at.value == unstable.String || at.value == unstable.Invalid
}

// CountMatchingKeys returns the number of top-level keys of a document that are
// fields of a struct, so that the caller can detect the kind of a file by its
// content.
func CountMatchingKeys(data []byte, value any) int {
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
