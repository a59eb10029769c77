package callerapi

import (
	"strings"

	"github.com/gin-gonic/gin"
)

const (
	// maxKeyBytes bounds an idempotency key, which becomes part of a row's
	// key.
	maxKeyBytes = 256
	// maxNameBytes bounds names of kinds, models and services.
	maxNameBytes = 64
)

// singleHeader returns the value of a header that may stand once, of printable
// ASCII characters.
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

// clip bounds what an error repeats of the caller's input.
func clip(text string) string {
	if len(text) > maxNameBytes {
		return text[:maxNameBytes]
	}
	return text
}
