package upstream

import "errors"

// errFoldedLine is returned for a header with a line that begins with a blank or a tab.
// net/http joins it with the line before, so that a field with a blank before its name is
// lost. RFC 9112, section 5.2, lets a gateway reject such an answer.
var errFoldedLine = errors.New("header line begins with a blank")

// headScanner looks for folded lines in the head of an answer: its status line and header.
type headScanner struct {
	// lineBegins is set if the next byte begins a line.
	lineBegins bool
	folded     bool
	// ended is set after the empty line that ends the head, and while no head is expected.
	ended bool
}

// scan scans the next bytes of the connection. It ignores those after the head.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case s.ended:
			return
		case s.lineBegins && b == '\n':
			s.ended = true
		case s.lineBegins && (b == ' ' || b == '\t'):
			s.folded, s.lineBegins = true, false
		case s.lineBegins && b == '\r':
			// The line is empty if a line feed follows.
		default:
			s.lineBegins = b == '\n'
		}
	}
}
