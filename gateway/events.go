package gateway

import (
	"bytes"
)

// eventSplitter cuts a stream of server-sent events into whole events.
type eventSplitter struct {
	buf []byte
}

// feed takes in bytes of the stream.
func (s *eventSplitter) feed(b []byte) { s.buf = append(s.buf, b...) }

// next returns the next whole event with the blank line that ends it, or nil.
// The event is valid until the next call of feed.
func (s *eventSplitter) next() []byte {
	end := eventEnd(s.buf)
	if end < 0 {
		return nil
	}
	event := s.buf[:end]
	s.buf = s.buf[end:]
	return event
}

// rest returns the bytes behind the last whole event.
func (s *eventSplitter) rest() []byte { return s.buf }

// eventEnd returns the length of the first whole event of b, or -1.
func eventEnd(b []byte) int {
	lf, crlf := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + 2
	case crlf >= 0:
		return crlf + 4
	default:
		return -1
	}
}

// eventID returns the ID of an event, or "" where it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if ok && string(name) == "id" {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
