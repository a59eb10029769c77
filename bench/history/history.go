// Package history collects what the clients of a run received, and checks it
// against what the stand-ins recorded. Package caller makes the records; the
// benchmarks and the randomised tests check them after a run.
package history

import (
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
)

// Outcome is the result of a request as its client observed it.
type Outcome string

// Outcomes of a request.
const (
	// Complete answers were received to their end and are correct.
	Complete Outcome = "whole"
	// NotRun requests were refused with the guarantee that they have not
	// run.
	NotRun Outcome = "not_run"
	// MayHaveRun requests ended without proof that they have not run.
	MayHaveRun Outcome = "may_have_run"
	// Lost answers were accepted but not received completely.
	Lost Outcome = "lost"
	// Misdelivered answers contain text that is not of the client's own
	// answer.
	Misdelivered Outcome = "crossed"
	// Invalid replies violate the interface.
	Invalid Outcome = "wrong"
)

// Record is the history of one request.
type Record struct {
	Request workload.Request
	Outcome Outcome
	// Accepted is set once the client received the reply that accepts the
	// request.
	Accepted bool
	// Interrupted is set if the answer ended with an error or a broken
	// connection, so that the client can detect that it is incomplete.
	Interrupted bool
	// Attempts is the number of attempts that the client made.
	Attempts int
	// FirstToken is the time from the start of the request to the first
	// token, and Gaps are the times between tokens. The reply to a service
	// call counts as its first token.
	FirstToken time.Duration
	Gaps       []time.Duration
	Tokens     int
	// Ended is the time from the start of the run to the end of the
	// request.
	Ended time.Duration
	// Detail describes the last error.
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
