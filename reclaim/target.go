package reclaim

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	// nonUrgentPrefillFraction is the fraction of a target's prefill rate
	// that non-urgent resumes may use, so that the target can still serve
	// new urgent requests in time.
	nonUrgentPrefillFraction = 0.5
	// Defaults for targets that don't report the value. The rates are in
	// tokens per second.
	defaultPrefillRate = 8000.0
	defaultDecodeRate  = 40.0
	defaultBatch       = 16
	// defaultTurnover is the number of decoded tokens after which a slot
	// becomes free.
	defaultTurnover = 128.0
)

// targetLoad is a target and the work that the plan has assigned to it.
type targetLoad struct {
	*Target
	// prefillFreeIn is the time until the target can begin to prefill the
	// next resume.
	prefillFreeIn time.Duration
	// slotsLeft is the number of slots of the batch that are free and not
	// assigned by the plan; negative while streams wait.
	slotsLeft float64
}

// newTargetLoad returns a target without assigned work. This entry may use the
// given share of its free slots.
func newTargetLoad(t *Target, share float64) *targetLoad {
	l := &targetLoad{Target: t, slotsLeft: float64(t.FreeSlots)}
	if l.slotsLeft > 0 {
		l.slotsLeft *= share
	}
	l.prefillFreeIn = l.prefill(t.QueuedPromptTokens)
	return l
}

// serves reports whether a stream may be moved to the target.
func (l *targetLoad) serves(s *Stream) bool {
	return !l.Leaving && l.HostID != s.HostID && l.Model == s.Model && l.Version == s.Version
}

// prefill returns the time to prefill n tokens.
func (l *targetLoad) prefill(n int) time.Duration {
	return seconds(float64(max(n, 0)) / positiveOr(l.PrefillRate, defaultPrefillRate))
}

// slotWait returns the time until the batch has a slot for one more stream.
func (l *targetLoad) slotWait() time.Duration {
	if l.slotsLeft >= 1 {
		return 0
	}
	batch := positiveOr(float64(l.Batch), defaultBatch)
	perSecond := batch * positiveOr(l.DecodeRate, defaultDecodeRate) / defaultTurnover
	return seconds((1 - l.slotsLeft) / perSecond)
}

// firstTokenIn returns the time until a resume that prefills n tokens would
// return its first token.
func (l *targetLoad) firstTokenIn(n int) time.Duration {
	return max(l.prefillFreeIn, l.slotWait()) + l.prefill(n)
}

// assignResume assigns a resume that prefills n tokens to the target. It
// returns the time until the resume begins and how long it stalls from then on.
func (l *targetLoad) assignResume(n int, u template.Urgency) (begin, stall time.Duration) {
	begin = max(l.prefillFreeIn, l.slotWait())
	stall = l.prefill(n)
	used := stall
	if u != template.UrgencyUrgent {
		used = time.Duration(float64(stall) / nonUrgentPrefillFraction)
	}
	l.prefillFreeIn = begin + used
	l.slotsLeft--
	return begin, stall
}

// assignTransfer assigns a stream that arrives with its KV cache and therefore
// needs a slot but no prefill.
func (l *targetLoad) assignTransfer() { l.slotsLeft-- }

func positiveOr(v, otherwise float64) float64 {
	if v > 0 {
		return v
	}
	return otherwise
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
