// Package tomlfile decodes TOML files strictly and reports all faults of a file
// at once, each with its line and key. The packages settings, template and
// standin read a file with Decode, check the value with Validate and their own
// rules, pass the problems to Document.Check and return Document.Err. A
// Document must not be used concurrently.
package tomlfile

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one fault of a file.
type Fault struct {
	File string `json:"file"`
	// Line is the line number, counted from 1. The fault of a missing key has
	// the line of the table that should contain the key.
	Line int `json:"line"`
	// Key is the dotted key, for example "customers[0].share". It is empty if
	// the text is not valid TOML.
	Key  string `json:"key,omitempty"`
	Text string `json:"text"`
}

// String returns "file:line: key: text".
func (f Fault) String() string {
	where := f.File
	if f.Line > 0 {
		where = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return where + ": " + f.Text
	}
	return where + ": " + f.Key + ": " + f.Text
}

// Faults lists all faults of a file, sorted by line.
type Faults []Fault

// Error implements error; it returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if there are no faults, else the faults sorted by line.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	sort.SliceStable(fs, func(i, j int) bool { return fs[i].Line < fs[j].Line })
	return fs
}
