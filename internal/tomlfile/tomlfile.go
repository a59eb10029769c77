package tomlfile

import (
	"bytes"
	"encoding"
	"errors"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxFaults bounds the number of decoding attempts, and so the faults reported
// for values of a wrong type.
const maxFaults = 100

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// Document is a decoded file with the line of each key and the faults found so
// far.
type Document struct {
	file   string
	data   []byte
	index  *lineIndex
	faults Faults
	// incomplete is set if part of the text could not be decoded. A key that
	// seems to be missing may then be in that part.
	incomplete bool
}

// Decode reads data strictly into the struct that into points to. Fields that
// the file does not name keep their values. The Document collects the faults.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{file: file, data: data, index: newLineIndex(data)}
	rest := append([]byte(nil), data...)
	for range maxFaults {
		dec := toml.NewDecoder(bytes.NewReader(rest)).DisallowUnknownFields()
		next, retry := d.recordDecodeError(dec.Decode(into), rest)
		if !retry {
			break
		}
		rest = next
	}
	d.checkText("", reflect.ValueOf(into).Elem())
	return d
}

// checkText adds a fault for each number whose field is of a type that is
// decoded from text, such as a duration. The decoder accepts such a number
// unchanged, and a duration would then have no unit.
func (d *Document) checkText(key string, v reflect.Value) {
	if v.CanAddr() && v.Addr().Type().Implements(textType) {
		if !d.index.isText(key) && !d.hasFault(key) {
			d.Report(key, "must be text in quotes")
		}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
			d.checkText(joinKey(key, name), v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			d.checkText(elementKey(key, i), v.Index(i))
		}
	}
}

// recordDecodeError records the faults of one decoding attempt. The decoder
// stops at the first value that it cannot decode. In that case
// recordDecodeError returns the data without that key/value pair, for another
// attempt.
func (d *Document) recordDecodeError(err error, data []byte) (rest []byte, retry bool) {
	var (
		missing *toml.StrictMissingError
		fault   *toml.DecodeError
	)
	switch {
	case err == nil:
		return nil, false
	case errors.As(err, &missing):
		for i := range missing.Errors {
			d.addUnknownKey(&missing.Errors[i])
		}
		return nil, false
	case errors.As(err, &fault):
		line, _ := fault.Position()
		key := strings.Join(fault.Key(), ".")
		d.addFault(line, d.keyAt(line, key), strings.TrimPrefix(fault.Error(), "toml: "))
		pair, ok := d.index.pairAt(line, data)
		d.incomplete = d.incomplete || !ok
		if !ok {
			return nil, false
		}
		return blankOut(data, pair), true
	default:
		d.addFault(1, "", err.Error())
		d.incomplete = true
		return nil, false
	}
}

func (d *Document) addUnknownKey(fault *toml.DecodeError) {
	line, _ := fault.Position()
	d.addFault(line, d.keyAt(line, strings.Join(fault.Key(), ".")), "unknown key")
}

// keyAt returns the key with indices that is on a line and equals key without
// its indices, or key if there is none.
func (d *Document) keyAt(line int, key string) string {
	for indexed, at := range d.index.keys {
		if at.line == line && withoutIndices(indexed) == key {
			return indexed
		}
	}
	return key
}

// Report adds a fault for a key. The fault of a key that is missing in the file
// has the line of the table that should contain the key.
func (d *Document) Report(key, text string) {
	d.addFault(d.index.lineOf(key), key, text)
}

// Check reports the problems of the decoded value. It omits a problem of a key
// that already has a fault, or contains a key with one, because the problem may
// follow from the fault. It reports nothing if the text could not be decoded to
// its end, because keys that were not read would be reported as missing.
func (d *Document) Check(problems []Problem) {
	if d.incomplete {
		return
	}
	for _, p := range problems {
		if !d.hasFault(p.Key) {
			d.Report(p.Key, p.Text)
		}
	}
}

// hasFault reports whether a fault was found for a key or for a key below it.
func (d *Document) hasFault(key string) bool {
	for _, f := range d.faults {
		if f.Key == key || strings.HasPrefix(f.Key, key+".") || strings.HasPrefix(f.Key, key+"[") {
			return true
		}
	}
	return false
}

// Err returns all faults as Faults, or nil if there are none.
func (d *Document) Err() error { return d.faults.Err() }

func (d *Document) addFault(line int, key, text string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: key, Text: text})
}

// blankOut returns data with a key/value pair replaced by spaces, so that the
// positions of all other text stay the same.
func blankOut(data []byte, pair span) []byte {
	out := append([]byte(nil), data...)
	for i := pair.start; i < pair.end; i++ {
		if out[i] != '\n' {
			out[i] = ' '
		}
	}
	return out
}

func withoutIndices(key string) string {
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
