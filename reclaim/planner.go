package reclaim

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// planner holds the inputs of one plan and the work assigned so far.
type planner struct {
	now time.Time
	// usableNotice is the part of the remaining time that is planned for.
	usableNotice time.Duration
	bandwidth    float64
	// cached is Targets.Cached.
	cached  func(streamID, endpointID string) int
	targets []*targetLoad
}

func newPlanner(now time.Time, remaining time.Duration, t Targets) *planner {
	share := t.Share
	if share <= 0 || share > 1 {
		share = 1
	}
	p := &planner{
		now:          now,
		usableNotice: max(0, time.Duration(usableFraction*float64(remaining))),
		bandwidth:    t.Bandwidth * share,
		cached:       t.Cached,
	}
	for i := range t.Endpoints {
		p.targets = append(p.targets, newTargetLoad(&t.Endpoints[i], share))
	}
	return p
}

// cachedAt returns how many prompt tokens of a stream a target has cached.
// Generated tokens are not in any other cache.
func (p *planner) cachedAt(s *Stream, l *targetLoad) int {
	if p.cached == nil {
		return 0
	}
	return min(max(p.cached(s.ID, l.EndpointID), 0), s.PromptTokens)
}

// fastest returns the target on which a resume would return its first token
// soonest, or nil, and the number of prompt tokens cached there.
func (p *planner) fastest(s *Stream) (*targetLoad, int) {
	var best *targetLoad
	var bestReady time.Duration
	bestCached := 0
	for _, l := range p.targets {
		if !l.serves(s) {
			continue
		}
		cached := p.cachedAt(s, l)
		ready := l.firstTokenIn(s.PromptTokens + s.GeneratedTokens - cached)
		if best == nil || ready < bestReady {
			best, bestReady, bestCached = l, ready, cached
		}
	}
	return best, bestCached
}

// importTarget returns the target with the most free slots among those that can
// import the stream's KV cache, or nil.
func (p *planner) importTarget(s *Stream) *targetLoad {
	var best *targetLoad
	for _, l := range p.targets {
		if !l.Import || !l.serves(s) {
			continue
		}
		if best == nil || l.slotsLeft > best.slotsLeft {
			best = l
		}
	}
	return best
}

// assessTransfer decides whether moving a stream's KV cache is worthwhile.
func (p *planner) assessTransfer(c *candidate) {
	c.best, c.cached = p.fastest(c.Stream)
	if c.KVBytes <= 0 || p.bandwidth <= 0 || p.importTarget(c.Stream) == nil {
		c.reason = reasonNoMove
		return
	}
	transfer := seconds(float64(c.KVBytes)/p.bandwidth) + transferSetup
	switch {
	case c.saved() < minSavedTokens:
		c.reason = reasonCached
	case c.Urgency == template.UrgencyUrgent && c.best.firstTokenIn(c.saved()) < transfer:
		c.reason = reasonSooner
	default:
		c.transfer = transfer
		c.reason = reasonNoTime
	}
}

// scheduleTransfers assigns each host's sending time to the streams that save
// the most tokens per second of transfer. Transfers run one after another:
// several at once would share the bandwidth and all end late.
func (p *planner) scheduleTransfers(moving []*candidate) {
	var order []*candidate
	for _, c := range moving {
		if c.transfer > 0 {
			order = append(order, c)
		}
	}
	slices.SortFunc(order, bySavedPerSecond)
	sendTime := make(map[string]time.Duration)
	for _, c := range order {
		if sendTime[c.HostID]+c.transfer > p.usableNotice {
			continue
		}
		c.transferStart = sendTime[c.HostID]
		c.transferPlanned = true
		sendTime[c.HostID] += c.transfer
	}
}

// bySavedPerSecond orders by tokens saved per second of transfer, the most
// first.
func bySavedPerSecond(a, b *candidate) int {
	rateA := float64(a.saved()) / a.transfer.Seconds()
	rateB := float64(b.saved()) / b.transfer.Seconds()
	if order := cmp.Compare(rateB, rateA); order != 0 {
		return order
	}
	return strings.Compare(a.ID, b.ID)
}

// decide returns the decision for a candidate and assigns the work to its
// target.
func (p *planner) decide(c *candidate) Decision {
	if c.transferPlanned {
		to := p.importTarget(c.Stream)
		stall := c.transfer + to.slotWait()
		to.assignTransfer()
		return Decision{
			StreamID: c.ID, Action: ActionMoveKV, Target: to.EndpointID, Start: p.now.Add(c.transferStart),
			Transfer: c.transfer, Stall: stall, Reason: reasonSaves,
		}
	}
	to, cached := p.fastest(c.Stream)
	if to == nil {
		return Decision{
			StreamID: c.ID, Action: ActionResume, Start: p.now.Add(p.usableNotice),
			Recomputed: c.contextTokens(), Reason: reasonNoTarget,
		}
	}
	recomputed := c.contextTokens() - cached
	begin, stall := to.assignResume(recomputed, c.Urgency)
	return Decision{
		StreamID: c.ID, Action: ActionResume, Target: to.EndpointID, Start: p.now.Add(begin),
		Stall: stall, Recomputed: recomputed, Reason: c.reason,
	}
}
