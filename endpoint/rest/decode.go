package rest

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/protocol"
)

// decoder turns the chunks of one stream into frames. It retains the last IDs
// and names, which repeat in each chunk, to avoid allocations.
type decoder struct {
	requestID, attemptID, model, version string
}

// decode returns the frame of a chunk. Chunks of the usual form are parsed
// directly; encoding/json parses all others.
func (d *decoder) decode(data []byte) (endpoint.Frame, error) {
	if f, ok := d.decodeFast(data); ok {
		return f, nil
	}
	var c protocol.Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return endpoint.Frame{}, streamError(err)
	}
	if c.Error != nil {
		return endpoint.Frame{}, c.Error.Decode()
	}
	f, ok := protocol.FrameOf(&c)
	if !ok {
		return endpoint.Frame{}, streamError(errors.New("chunk has no frame"))
	}
	return f, nil
}

// decodeFast parses a chunk that has only known keys, no white space, no
// escapes and one choice. It returns false for all others.
func (d *decoder) decodeFast(data []byte) (endpoint.Frame, bool) {
	var f endpoint.Frame
	c := cursor{data: data}
	choice, extension := false, false
	for key := c.openObject(); key != nil; key = c.nextKey() {
		switch string(key) {
		case "id", "object":
			c.text()
		case "created":
			c.integer()
		case "model":
			intern(&d.model, &f.Model, c.text())
		case "choices":
			c.expect('[')
			c.choice(&f)
			c.expect(']')
			choice = true
		case "coltsfootcleat":
			d.extension(&c, &f)
			extension = true
		default:
			return f, false
		}
	}
	return f, choice && extension && !c.invalid && c.at == len(data)
}

// choice reads the only choice of a chunk.
func (c *cursor) choice(f *endpoint.Frame) {
	delta := false
	for key := c.openObject(); key != nil; key = c.nextKey() {
		switch string(key) {
		case "index":
			c.integer()
		case "delta":
			c.delta(f)
			delta = true
		case "finish_reason":
			if !c.null() {
				f.FinishReason = string(c.text())
			}
		default:
			c.invalid = true
		}
	}
	c.invalid = c.invalid || !delta
}

func (c *cursor) delta(f *endpoint.Frame) {
	for key := c.openObject(); key != nil; key = c.nextKey() {
		switch string(key) {
		case "role":
			c.text()
		case "content":
			f.Text = string(c.text())
		default:
			c.invalid = true
		}
	}
}

func (d *decoder) extension(c *cursor, f *endpoint.Frame) {
	for key := c.openObject(); key != nil; key = c.nextKey() {
		switch string(key) {
		case "request_id":
			intern(&d.requestID, &f.RequestID, c.text())
		case "attempt_id":
			intern(&d.attemptID, &f.AttemptID, c.text())
		case "version":
			intern(&d.version, &f.Version, c.text())
		case "offset":
			f.Offset = c.integer()
		case "tokens":
			f.Tokens = c.integer()
		case "total":
			f.Total = c.integer()
		case "cached_tokens":
			f.CachedTokens = c.integer()
		case "end":
			f.End = c.boolean()
		case "load":
			f.Load = c.load()
		default:
			c.invalid = true
		}
	}
}

func (c *cursor) load() *endpoint.Load {
	l := new(endpoint.Load)
	for key := c.openObject(); key != nil; key = c.nextKey() {
		switch string(key) {
		case "running":
			l.Running = c.integer()
		case "waiting":
			l.Waiting = c.integer()
		case "queued_prompt_tokens":
			l.QueuedPromptTokens = c.integer()
		case "prefill_rate":
			l.PrefillRate = c.float()
		case "decode_rate":
			l.DecodeRate = c.float()
		case "max_running":
			l.MaxRunning = c.integer()
		case "leaving":
			l.Leaving = c.boolean()
		default:
			c.invalid = true
		}
	}
	return l
}

// intern sets a name, and reuses the string of the last one if they are equal.
func intern(last, name *string, text []byte) {
	if *last != string(text) {
		*last = string(text)
	}
	*name = *last
}

// cursor reads JSON without white space and escapes. Any other input sets
// invalid; further reads are then safe, but their results are meaningless.
type cursor struct {
	data    []byte
	at      int
	invalid bool
}

// expect reads the byte b, and sets invalid if the next byte is another one.
func (c *cursor) expect(b byte) {
	if c.invalid || c.at >= len(c.data) || c.data[c.at] != b {
		c.invalid = true
		return
	}
	c.at++
}

// accept reads the byte b if it is the next one, and reports whether it was.
func (c *cursor) accept(b byte) bool {
	if c.invalid || c.at >= len(c.data) || c.data[c.at] != b {
		return false
	}
	c.at++
	return true
}

// openObject reads the start of an object and its first key, or returns nil if
// there is none.
func (c *cursor) openObject() []byte {
	c.expect('{')
	if c.accept('}') {
		return nil
	}
	return c.key()
}

// nextKey reads the next key of an object, or returns nil at the end of the
// object.
func (c *cursor) nextKey() []byte {
	if c.accept('}') {
		return nil
	}
	c.expect(',')
	return c.key()
}

func (c *cursor) key() []byte {
	key := c.text()
	c.expect(':')
	if c.invalid {
		return nil
	}
	return key
}

// text reads a string.
func (c *cursor) text() []byte {
	c.expect('"')
	if c.invalid {
		return nil
	}
	end := bytes.IndexByte(c.data[c.at:], '"')
	if end < 0 || !isUnescaped(c.data[c.at:c.at+end]) {
		c.invalid = true
		return nil
	}
	text := c.data[c.at : c.at+end]
	c.at += end + 1
	return text
}

// isUnescaped reports whether the bytes of a JSON string equal its value: the
// string has no escapes and no control characters, and is valid UTF-8.
func isUnescaped(text []byte) bool {
	ascii := true
	for _, b := range text {
		if b == '\\' || b < ' ' {
			return false
		}
		if b >= utf8.RuneSelf {
			ascii = false
		}
	}
	return ascii || utf8.Valid(text)
}

// number reads all bytes that may belong to a number; its callers parse them.
func (c *cursor) number() string {
	start := c.at
	for c.at < len(c.data) && isNumeric(c.data[c.at]) {
		c.at++
	}
	return string(c.data[start:c.at])
}

func isNumeric(b byte) bool {
	return '0' <= b && b <= '9' || b == '-' || b == '+' || b == '.' || b == 'e' || b == 'E'
}

// integer reads an integer as encoding/json would.
func (c *cursor) integer() int {
	text := c.number()
	n, err := strconv.Atoi(text)
	c.invalid = c.invalid || err != nil || !canonical(text)
	return n
}

// canonical reports whether an integer has the form that JSON requires: no
// plus sign and no leading zeros.
func canonical(text string) bool {
	digits := strings.TrimPrefix(text, "-")
	return digits[0] != '+' && (digits[0] != '0' || len(digits) == 1)
}

// float reads a number as encoding/json would.
func (c *cursor) float() float64 {
	text := c.number()
	x, err := strconv.ParseFloat(text, 64)
	c.invalid = c.invalid || err != nil || !json.Valid([]byte(text))
	return x
}

func (c *cursor) boolean() bool {
	if c.literal("true") {
		return true
	}
	c.invalid = c.invalid || !c.literal("false")
	return false
}

func (c *cursor) null() bool { return c.literal("null") }

func (c *cursor) literal(word string) bool {
	if c.invalid || len(c.data)-c.at < len(word) || string(c.data[c.at:c.at+len(word)]) != word {
		return false
	}
	c.at += len(word)
	return true
}
