package tomlfile

import (
	"bytes"
	"encoding"
	"errors"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxFaults bounds the faults reported for values of a wrong type.
const maxFaults = 100

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// Document is a decoded file that knows the line of each key.
type Document struct {
	file   string
	data   []byte
	index  *lineIndex
	faults Faults
	// broken is set when the text is not TOML, so that a key that is missing
	// may merely not have been read.
	broken bool
}

// Decode reads data strictly into the struct that into points to. Fields that
// the file does not name keep their values. Faults are kept by the Document.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{file: file, data: data, index: newLineIndex(data)}
	rest := append([]byte(nil), data...)
	for range maxFaults {
		dec := toml.NewDecoder(bytes.NewReader(rest)).DisallowUnknownFields()
		next, again := d.decoded(dec.Decode(into), rest)
		if !again {
			break
		}
		rest = next
	}
	d.checkText("", reflect.ValueOf(into).Elem())
	return d
}

// checkText reports numbers where a type reads its value from text. The decoder
// takes the number as it is, and a duration would lose its unit.
func (d *Document) checkText(key string, v reflect.Value) {
	if v.CanAddr() && v.Addr().Type().Implements(textType) {
		if !d.index.isText(key) && !d.faulty(key) {
			d.Report(key, "must be text in quotes")
		}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
			d.checkText(join(key, name), v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			d.checkText(element(key, i), v.Index(i))
		}
	}
}

// decoded keeps the faults of one decoding. The decoder stops at the first
// value it can't take: that pair is blanked, and the rest decoded once more.
func (d *Document) decoded(err error, data []byte) (rest []byte, again bool) {
	var (
		missing *toml.StrictMissingError
		fault   *toml.DecodeError
	)
	switch {
	case err == nil:
		return nil, false
	case errors.As(err, &missing):
		for i := range missing.Errors {
			d.unknown(&missing.Errors[i])
		}
		return nil, false
	case errors.As(err, &fault):
		line, _ := fault.Position()
		key := strings.Join(fault.Key(), ".")
		d.add(line, d.keyAt(line, key), strings.TrimPrefix(fault.Error(), "toml: "))
		pair, ok := d.index.pairAt(line, data)
		d.broken = d.broken || !ok
		if !ok {
			return nil, false
		}
		return blank(data, pair), true
	default:
		d.add(1, "", err.Error())
		d.broken = true
		return nil, false
	}
}

func (d *Document) unknown(fault *toml.DecodeError) {
	line, _ := fault.Position()
	d.add(line, d.keyAt(line, strings.Join(fault.Key(), ".")), "unknown key")
}

// keyAt returns the numbered key that stands on a line and, without its
// numbers, equals key.
func (d *Document) keyAt(line int, key string) string {
	for numbered, at := range d.index.keys {
		if at.line == line && withoutNumbers(numbered) == key {
			return numbered
		}
	}
	return key
}

// Report adds a fault at a key. A key that the file lacks has the line of the
// table around it.
func (d *Document) Report(key, text string) {
	d.add(d.index.line(key), key, text)
}

// Check reports the problems of the decoded value. What stands behind a fault
// that was found before is left out, and all of it where the text could not be
// read to its end: a key would be called missing that was not read.
func (d *Document) Check(problems []Problem) {
	if d.broken {
		return
	}
	for _, p := range problems {
		if !d.faulty(p.Key) {
			d.Report(p.Key, p.Text)
		}
	}
}

// faulty says whether a fault was found at a key or inside it.
func (d *Document) faulty(key string) bool {
	for _, f := range d.faults {
		if f.Key == key || strings.HasPrefix(f.Key, key+".") || strings.HasPrefix(f.Key, key+"[") {
			return true
		}
	}
	return false
}

// Err returns all faults as Faults, or nil.
func (d *Document) Err() error { return d.faults.Err() }

func (d *Document) add(line int, key, text string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: key, Text: text})
}

// blank returns data with a pair replaced by spaces. Lines keep their places.
func blank(data []byte, pair span) []byte {
	out := append([]byte(nil), data...)
	for i := pair.start; i < pair.end; i++ {
		if out[i] != '\n' {
			out[i] = ' '
		}
	}
	return out
}

func withoutNumbers(key string) string {
	var b strings.Builder
	depth := 0
	for _, r := range key {
		switch {
		case r == '[':
			depth++
		case r == ']':
			depth--
		case depth == 0:
			b.WriteRune(r)
		}
	}
	return b.String()
}
