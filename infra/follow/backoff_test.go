package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRetryDelayStaysWithinItsBound guards against jitter that is added to the
// longest delay: a copy was then known to be complete only more than a second
// after the end of an outage.
func TestRetryDelayStaysWithinItsBound(t *testing.T) {
	b := newBackoff()
	var longest time.Duration
	for range 10_000 {
		longest = max(longest, b.NextBackOff())
	}
	qt.Assert(t, longest <= maxBackoff, qt.IsTrue, qt.Commentf("%v", longest))
	qt.Assert(t, longest > maxBackoff/2, qt.IsTrue, qt.Commentf("%v", longest))
}
