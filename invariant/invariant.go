// Package invariant asserts promises where they could break.
//
// A broken promise is always counted. In tests and experiments SetFatal makes
// it panic, so that the run stops at the first one.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Name is the fixed name of an invariant.
type Name string

// The invariants of the system.
const (
	OneSender           Name = "one_sender_per_attempt"
	GaplessOffsets      Name = "offsets_gapless"
	AnswerOwner         Name = "answer_owner"
	TemplateMonotonic   Name = "template_version_monotonic"
	NoWorkAfterDrain    Name = "no_new_work_after_drain"
	NotRunNeverSent     Name = "not_run_never_after_send"
	FenceMonotonic      Name = "fence_monotonic"
	LimitNotNegative    Name = "limit_not_negative"
	SingleLeaseHolder   Name = "single_lease_holder"
	RequestVersionFixed Name = "request_version_fixed"
)

var (
	fatal  atomic.Bool
	mu     sync.Mutex
	counts = make(map[Name]uint64)
)

// SetFatal makes a broken invariant panic, or only count.
func SetFatal(on bool) { fatal.Store(on) }

// Check counts a broken invariant when ok is false, and panics if SetFatal
// is on. It is safe for concurrent use.
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

// Counts returns how often each invariant was broken since the start.
func Counts() map[Name]uint64 {
	mu.Lock()
	defer mu.Unlock()
	out := make(map[Name]uint64, len(counts))
	for name, n := range counts {
		out[name] = n
	}
	return out
}
