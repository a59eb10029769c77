package reclaim

import (
	"slices"
	"strings"
	"time"
)

const (
	// usablePart is the part of the notice that is planned for; the rest is
	// for what takes longer than estimated.
	usablePart = 0.9
	// finishFactor is by how much an answer may be longer than expected and
	// still finish in place.
	finishFactor = 1.25
	// transferSetup is the time to begin and end a KV transfer.
	transferSetup = 50 * time.Millisecond
	// minSavedTokens is what a KV transfer must save to be worth its risk.
	minSavedTokens = 64
)

// Reasons of decisions.
const (
	reasonFinishes = "finishes within the notice"
	reasonSaves    = "most tokens saved per second of transfer"
	reasonNoTime   = "transfer does not fit the notice"
	reasonCached   = "target holds the prefix"
	reasonSooner   = "urgent, resume is sooner"
	reasonNoMove   = "KV cache can't be moved"
	reasonNoTarget = "no endpoint serves the model"
)

// Plan decides for each stream on leaving hosts of which the first is taken
// after remaining. Decisions come in the order in which to begin.
//
// What can finish within the notice stays. The others compete for the sending
// bandwidth of their host: KV caches move in the order of tokens saved per
// second of transfer as long as the notice allows. The rest resumes
// elsewhere, spread over targets and time, so that a wave neither keeps
// targets from urgent questions nor comes to them all at once.
func Plan(now time.Time, remaining time.Duration, streams []Stream, targets Targets) []Decision {
	p := newPlanner(now, remaining, targets)
	var moving []*candidate
	var decisions []Decision
	for i := range streams {
		s := &streams[i]
		if finishes(s, p.usable) {
			decisions = append(decisions, Decision{StreamID: s.ID, Action: ActionFinish, Start: now, Reason: reasonFinishes})
			continue
		}
		moving = append(moving, &candidate{Stream: s})
	}
	slices.SortFunc(moving, byUrgency)
	for _, c := range moving {
		p.consider(c)
	}
	p.scheduleTransfers(moving)
	for _, c := range moving {
		decisions = append(decisions, p.decide(c))
	}
	slices.SortStableFunc(decisions, func(a, b Decision) int { return a.Start.Compare(b.Start) })
	return decisions
}

// finishes says whether a stream ends in place within d.
func finishes(s *Stream, d time.Duration) bool {
	if s.DecodeRate <= 0 {
		return false
	}
	return float64(s.RemainingTokens)*finishFactor <= s.DecodeRate*d.Seconds()
}

// candidate is a stream that has to leave its host.
type candidate struct {
	*Stream
	// best is the target on which a resume computes least again.
	best   *lane
	cached int
	// transfer is the time to move the KV cache, 0 where it is not moved.
	transfer time.Duration
	// begin is when its turn to send comes, from now.
	begin  time.Duration
	moved  bool
	reason string
}

// held returns the tokens that are lost with the host.
func (c *candidate) held() int { return c.PromptTokens + c.GeneratedTokens }

// saved returns the tokens that a transfer saves against a resume.
func (c *candidate) saved() int { return c.held() - c.cached }

// byUrgency puts the most urgent first, then what is nearest to its end.
func byUrgency(a, b *candidate) int {
	if ra, rb := a.Urgency.Rank(), b.Urgency.Rank(); ra != rb {
		return ra - rb
	}
	if a.RemainingTokens != b.RemainingTokens {
		return a.RemainingTokens - b.RemainingTokens
	}
	return strings.Compare(a.ID, b.ID)
}
