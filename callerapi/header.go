package callerapi

import (
	"strings"

	"github.com/gin-gonic/gin"
)

const (
	// maxKeyBytes limits an idempotency key, which becomes part of a row key
	// in the table.
	maxKeyBytes = 256
	// maxNameBytes limits the names of kinds, models and services.
	maxNameBytes = 64
)

// singleHeader returns the value of a header that may occur at most once and
// must consist of printable ASCII characters. It returns "" if the header is
// absent.
func singleHeader(c *gin.Context, name string, maxBytes int) (string, error) {
	values := c.Request.Header.Values(name)
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", invalid("header %s stands %d times", name, len(values))
	case len(values[0]) > maxBytes:
		return "", invalid("header %s is longer than %d bytes", name, maxBytes)
	case strings.ContainsFunc(values[0], notPrintable):
		return "", invalid("header %s has characters that are not printable ASCII", name)
	}
	return values[0], nil
}

func notPrintable(r rune) bool { return r < ' ' || r > '~' }

// truncate limits the length of client input that an error message quotes.
func truncate(text string) string {
	if len(text) > maxNameBytes {
		return text[:maxNameBytes]
	}
	return text
}
