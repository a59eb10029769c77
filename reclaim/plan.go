package reclaim

import (
	"slices"
	"strings"
	"time"
)

const (
	// usableFraction is the fraction of the notice that is planned for; the
	// rest is a reserve for work that takes longer than estimated.
	usableFraction = 0.9
	// finishFactor is how many times longer than expected an answer may be
	// and still finish in place.
	finishFactor = 1.25
	// transferSetup is the time needed to begin and end a KV transfer.
	transferSetup = 50 * time.Millisecond
	// minSavedTokens is the minimum number of tokens that a KV transfer must
	// save to be worth its risk.
	minSavedTokens = 64
)

// Values of Decision.Reason.
const (
	reasonFinishes = "finishes within the notice"
	reasonSaves    = "most tokens saved per second of transfer"
	reasonNoTime   = "transfer does not fit the notice"
	reasonCached   = "target holds the prefix"
	reasonSooner   = "urgent, resume is sooner"
	reasonNoMove   = "KV cache can't be moved"
	reasonNoTarget = "no endpoint serves the model"
)

// Plan returns a decision for each of the given streams on draining hosts, in
// the order of their start. remaining is the time until the first of the hosts
// is reclaimed.
//
// A stream that can finish within the notice stays. The others compete for the
// sending bandwidth of their host: KV caches are moved in the order of tokens
// saved per second of transfer, as long as the notice allows. The remaining
// streams are resumed elsewhere. Their resumes are distributed over targets and
// time, so that the streams of hosts that are reclaimed together neither
// displace urgent requests on the targets nor arrive there all at once.
func Plan(now time.Time, remaining time.Duration, streams []Stream, targets Targets) []Decision {
	p := newPlanner(now, remaining, targets)
	var moving []*candidate
	var decisions []Decision
	for i := range streams {
		s := &streams[i]
		if finishesWithin(s, p.usableNotice) {
			decisions = append(decisions, Decision{StreamID: s.ID, Action: ActionFinish, Start: now, Reason: reasonFinishes})
			continue
		}
		moving = append(moving, &candidate{Stream: s})
	}
	slices.SortFunc(moving, byUrgency)
	for _, c := range moving {
		p.assessTransfer(c)
	}
	p.scheduleTransfers(moving)
	for _, c := range moving {
		decisions = append(decisions, p.decide(c))
	}
	slices.SortStableFunc(decisions, func(a, b Decision) int { return a.Start.Compare(b.Start) })
	return decisions
}

// finishesWithin reports whether a stream is expected to finish in place within
// d.
func finishesWithin(s *Stream, d time.Duration) bool {
	if s.DecodeRate <= 0 {
		return false
	}
	return float64(s.RemainingTokens)*finishFactor <= s.DecodeRate*d.Seconds()
}

// candidate is a stream that must leave its host.
type candidate struct {
	*Stream
	// best is the target on which a resume would return its first token
	// soonest, and cached the number of prompt tokens cached there.
	best   *targetLoad
	cached int
	// transfer is the time to move the KV cache; 0 if it is not worthwhile.
	transfer time.Duration
	// transferPlanned is set if the transfer fits the notice. transferStart
	// is the time until it begins.
	transferStart   time.Duration
	transferPlanned bool
	// reason is the reason for a resume.
	reason string
}

// contextTokens returns the number of tokens whose KV cache is lost with the
// host.
func (c *candidate) contextTokens() int { return c.PromptTokens + c.GeneratedTokens }

// saved returns the number of tokens that a transfer saves compared with a
// resume.
func (c *candidate) saved() int { return c.contextTokens() - c.cached }

// byUrgency orders the most urgent first, then those with the fewest remaining
// tokens.
func byUrgency(a, b *candidate) int {
	if ra, rb := a.Urgency.Rank(), b.Urgency.Rank(); ra != rb {
		return ra - rb
	}
	if a.RemainingTokens != b.RemainingTokens {
		return a.RemainingTokens - b.RemainingTokens
	}
	return strings.Compare(a.ID, b.ID)
}
