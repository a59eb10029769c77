// Package history records what callers saw and holds it against what the
// stand-ins did.
package history

import (
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of a request.
const (
	// Whole answers are complete and right.
	Whole Outcome = "whole"
	// NotRun requests were refused with the promise that nothing ran.
	NotRun Outcome = "not_run"
	// Unknown requests may have run; the caller was told so.
	Unknown Outcome = "may_have_run"
	// Lost answers were accepted but never came whole.
	Lost Outcome = "lost"
	// Crossed answers hold something that is not the caller's.
	Crossed Outcome = "crossed"
	// Wrong replies break the interface.
	Wrong Outcome = "wrong"
)

// Record is the history of one request.
type Record struct {
	Request workload.Request
	Outcome Outcome
	// Accepted is set once the caller was told that the request is accepted.
	Accepted bool
	// Cut is set when the last connection broke, so that the caller knows
	// that the answer is not whole.
	Cut bool
	// Attempts counts what the caller sent.
	Attempts int
	// FirstToken is counted from the arrival, and Gaps are the times between
	// tokens. A service call has its reply as its first token.
	FirstToken time.Duration
	Gaps       []time.Duration
	Tokens     int
	// Ended is counted from the start of the run.
	Ended time.Duration
	// Detail says what was wrong.
	Detail string
}

// History collects records. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	records []Record
}

// Add adds a record.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, r)
}

// Records returns all records. They must not be changed.
func (h *History) Records() []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records[:len(h.records):len(h.records)]
}
