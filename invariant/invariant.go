// Package invariant checks the guarantees of the system at run time.
//
// Any package calls Check at the point where an invariant could be violated.
// Each violation is counted. In tests and experiments SetFatal makes the first
// one panic, so that the run stops there. All functions are safe for concurrent
// use.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Name is the name of an invariant. It is part of metrics and reports and must
// not change.
type Name string

// The invariants of the system.
const (
	// OneSender: each attempt is sent at most once.
	OneSender Name = "one_sender_per_attempt"
	// GaplessOffsets: each frame begins where the answer so far ends.
	GaplessOffsets Name = "offsets_gapless"
	// AnswerOwner: an answer is used only for the request and the customer
	// that it belongs to.
	AnswerOwner Name = "answer_owner"
	// TemplateMonotonic: the version of the template in force only grows.
	TemplateMonotonic Name = "template_version_monotonic"
	// NoWorkAfterDrain: no request is assigned to a host after the host was
	// marked as draining.
	NoWorkAfterDrain Name = "no_new_work_after_drain"
	// NotRunNeverSent: an attempt that is abandoned as not run was never
	// sent.
	NotRunNeverSent Name = "not_run_never_after_send"
	// FenceMonotonic: the fencing token of a lease never decreases.
	FenceMonotonic Name = "fence_monotonic"
	// LimitNotNegative: the balance of a limit's bucket is never negative.
	LimitNotNegative Name = "limit_not_negative"
	// SingleLeaseHolder: a lease has at most one holder at a time.
	SingleLeaseHolder Name = "single_lease_holder"
	// RequestVersionFixed: the template version of a request never changes.
	RequestVersionFixed Name = "request_version_fixed"
)

var (
	fatal  atomic.Bool
	mu     sync.Mutex
	counts = make(map[Name]uint64)
)

// SetFatal sets whether a violated invariant panics in addition to being
// counted.
func SetFatal(on bool) { fatal.Store(on) }

// Check counts a violation of the invariant if ok is false, and panics if
// SetFatal is on. The message is formatted as by fmt.Sprintf.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	mu.Lock()
	counts[name]++
	mu.Unlock()
	if fatal.Load() {
		panic(fmt.Sprintf("invariant %s broken: %s", name, fmt.Sprintf(format, args...)))
	}
}

// Counts returns how often each invariant was violated since the start.
func Counts() map[Name]uint64 {
	mu.Lock()
	defer mu.Unlock()
	out := make(map[Name]uint64, len(counts))
	for name, n := range counts {
		out[name] = n
	}
	return out
}
