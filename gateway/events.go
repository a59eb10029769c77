package gateway

import (
	"bytes"
)

// eventSplitter splits a stream of server-sent events into complete events.
type eventSplitter struct {
	buf []byte
	// scanned is the length of the start of buf that contains no end of an
	// event.
	scanned int
}

// feed appends bytes of the stream.
func (s *eventSplitter) feed(b []byte) { s.buf = append(s.buf, b...) }

// next returns the next complete event, including the blank line that ends it,
// or nil if there is none. The event is valid until the next call of feed.
func (s *eventSplitter) next() []byte {
	end := eventEnd(s.buf[s.scanned:])
	if end < 0 {
		s.scanned = max(0, len(s.buf)-maxEndBytes+1)
		return nil
	}
	end += s.scanned
	event := s.buf[:end]
	s.buf, s.scanned = s.buf[end:], 0
	return event
}

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte { return s.buf }

// maxEndBytes is the length of the longest end of an event.
const maxEndBytes = 4

// eventEnd returns the length of the first complete event in b, or -1.
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

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		name, value, ok := bytes.Cut(line, []byte(":"))
		if ok && string(name) == "id" {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
