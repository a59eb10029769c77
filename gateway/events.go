package gateway

import (
	"bytes"
	"errors"
	"strconv"
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

// Errors of bytes that are no event, or not the next event of a stream.
var (
	errNoEvent    = errors.New("bytes are no event")
	errOutOfOrder = errors.New("event is not the next one of the stream")
)

// checkEvent reports whether an event may follow the event with the ID last, which
// is empty at the start of a stream. resumes is set for the first event of a replica
// that resumes the stream.
func checkEvent(event []byte, last string, resumes bool) error {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && !bytes.Contains(line, []byte(":")) && !fieldNames[string(line)] {
			return errNoEvent
		}
	}
	id := eventID(event)
	if id == "" {
		if resumes && !isComment(event) {
			return errOutOfOrder
		}
		return nil
	}
	number, err := strconv.ParseUint(id, 10, 64)
	previous, previousErr := strconv.ParseUint(last, 10, 64)
	if err == nil && previousErr == nil && number <= previous || resumes && id == last {
		return errOutOfOrder
	}
	return nil
}

// fieldNames are the fields of an event, which may stand on a line alone.
var fieldNames = map[string]bool{"data": true, "event": true, "id": true, "retry": true}

// isComment reports whether an event has no fields.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
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
