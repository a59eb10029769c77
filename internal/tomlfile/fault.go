// Package tomlfile decodes TOML files strictly and reports every fault of a
// file at once, each with its line and key.
package tomlfile

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one fault of a file.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1. What is missing has the line of the table it is
	// missing from.
	Line int `json:"line"`
	// Key is the dotted key, for example "customers[0].share"; it is empty
	// where the text is not TOML.
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

// Faults are all faults of a file, in line order.
type Faults []Fault

// Error implements error; it has one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil when there are no faults, else the faults in line order.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	sort.SliceStable(fs, func(i, j int) bool { return fs[i].Line < fs[j].Line })
	return fs
}
