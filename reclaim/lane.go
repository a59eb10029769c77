package reclaim

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	// resumeShare is the part of a target's prefill rate that resumed work
	// that is not urgent may take, so that new urgent questions find room.
	resumeShare = 0.5
	// Rates in tokens per second for targets that report none.
	defaultPrefillRate = 8000.0
	defaultDecodeRate  = 40.0
	defaultBatch       = 16
	// defaultTurnover is the tokens after which a slot becomes free.
	defaultTurnover = 128.0
)

// lane is a target with the work that the plan has given it.
type lane struct {
	*Target
	// busy is when its prefill is free for the next resume, from now.
	busy time.Duration
	// slots is the room left in the batch.
	slots float64
}

func newLane(t *Target, part float64) *lane {
	l := &lane{Target: t, slots: float64(t.FreeSlots)}
	if l.slots > 0 {
		l.slots *= part
	}
	l.busy = l.prefill(t.QueuedPromptTokens)
	return l
}

func (l *lane) serves(s *Stream) bool {
	return !l.Leaving && l.HostID != s.HostID && l.Model == s.Model && l.Version == s.Version
}

// prefill returns the time to prefill n tokens.
func (l *lane) prefill(n int) time.Duration {
	return seconds(float64(max(n, 0)) / positive(l.PrefillRate, defaultPrefillRate))
}

// slotWait returns how long until the batch has room for one more.
func (l *lane) slotWait() time.Duration {
	if l.slots >= 1 {
		return 0
	}
	batch := positive(float64(l.Batch), defaultBatch)
	perSecond := batch * positive(l.DecodeRate, defaultDecodeRate) / defaultTurnover
	return seconds((1 - l.slots) / perSecond)
}

// ready returns when a resume that prefills n tokens would give its first.
func (l *lane) ready(n int) time.Duration {
	return max(l.busy, l.slotWait()) + l.prefill(n)
}

// resume takes a resume in and returns when it begins and how long it stalls.
func (l *lane) resume(n int, u template.Urgency) (begin, stall time.Duration) {
	begin = max(l.busy, l.slotWait())
	stall = l.prefill(n)
	used := stall
	if u != template.UrgencyUrgent {
		used = time.Duration(float64(stall) / resumeShare)
	}
	l.busy = begin + used
	l.slots--
	return begin, stall
}

// receive takes a stream with its KV cache in.
func (l *lane) receive() { l.slots-- }

func positive(v, otherwise float64) float64 {
	if v > 0 {
		return v
	}
	return otherwise
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
