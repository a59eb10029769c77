package upstream

import "errors"

// errFoldedLine is returned for a header with a line that begins with a blank or a tab.
// net/http joins it with the line before, so that a field with a blank before its name is
// lost. RFC 9112, section 5.2, lets a gateway reject such an answer.
var errFoldedLine = errors.New("header line begins with a blank")

// headScanner looks for folded lines in the status line and header of an answer, whose
// bytes it is given in order.
type headScanner struct {
	// lineBegins is set if the next byte begins a line.
	lineBegins bool
	folded     bool
	// ended is set after the empty line, and before the first head.
	ended bool
}

// scan looks at the next bytes. Those after the empty line are ignored.
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
			// It is part of the end of an empty line.
		default:
			s.lineBegins = b == '\n'
		}
	}
}
