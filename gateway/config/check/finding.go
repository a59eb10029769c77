package check

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
)

// Severity is the severity of a finding.
type Severity string

// Severities.
const (
	// Warning marks what is served, but probably not as intended.
	Warning Severity = "warning"
	// Error marks what must not be sent.
	Error Severity = "error"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Subject names the part of the configuration, for example "route r-1".
	Subject string `json:"subject"`
	Text    string `json:"text"`
	// Line and Column count from 1; they are 0 if the finding has no position.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// findings collects the findings of one check.
type findings []Finding

func (f *findings) errorf(subject, format string, args ...any) {
	*f = append(*f, Finding{Severity: Error, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

func (f *findings) warnf(subject, format string, args ...any) {
	*f = append(*f, Finding{Severity: Warning, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

// Count returns the number of findings with a severity.
func Count(all []Finding, s Severity) int {
	n := 0
	for _, f := range all {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// hashBytes keeps hashes short enough to compare by eye. Collisions between the
// keys of one deployment are improbable, and 32 bits don't identify a key.
const hashBytes = 4

// KeyHash returns the short hash under which an API key is reported.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:hashBytes])
}

// Configuration returns the findings of a compiled configuration.
func Configuration(c *config.Configuration) []Finding {
	var f findings
	f.routes(c)
	f.services(c)
	f.customers(c)
	if c.Limits.BodyBytes < 0 {
		f.errorf("limits", "body size %d is negative", c.Limits.BodyBytes)
	}
	return f
}

// serviceNames returns the names of the services in a fixed order.
func serviceNames(c *config.Configuration) []string {
	var names []string
	for name := range c.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
