package reclaim

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// planner holds what one plan has given away so far.
type planner struct {
	now       time.Time
	usable    time.Duration
	bandwidth float64
	cached    func(streamID, endpointID string) int
	lanes     []*lane
}

func newPlanner(now time.Time, remaining time.Duration, t Targets) *planner {
	part := t.Part
	if part <= 0 || part > 1 {
		part = 1
	}
	p := &planner{
		now:       now,
		usable:    max(0, time.Duration(usablePart*float64(remaining))),
		bandwidth: t.Bandwidth * part,
		cached:    t.Cached,
	}
	for i := range t.Endpoints {
		p.lanes = append(p.lanes, newLane(&t.Endpoints[i], part))
	}
	return p
}

// cachedAt returns the tokens of a stream that a target holds. What was
// generated is not in any other cache.
func (p *planner) cachedAt(s *Stream, l *lane) int {
	if p.cached == nil {
		return 0
	}
	return min(max(p.cached(s.ID, l.EndpointID), 0), s.PromptTokens)
}

// fastest returns the target on which a resume is ready first, with the
// tokens cached there.
func (p *planner) fastest(s *Stream) (*lane, int) {
	var best *lane
	var bestReady time.Duration
	bestCached := 0
	for _, l := range p.lanes {
		if !l.serves(s) {
			continue
		}
		cached := p.cachedAt(s, l)
		ready := l.ready(s.PromptTokens + s.GeneratedTokens - cached)
		if best == nil || ready < bestReady {
			best, bestReady, bestCached = l, ready, cached
		}
	}
	return best, bestCached
}

// receiver returns the importing target with the most room.
func (p *planner) receiver(s *Stream) *lane {
	var best *lane
	for _, l := range p.lanes {
		if !l.Import || !l.serves(s) {
			continue
		}
		if best == nil || l.slots > best.slots {
			best = l
		}
	}
	return best
}

// consider finds out whether a stream's KV cache is worth moving.
func (p *planner) consider(c *candidate) {
	c.best, c.cached = p.fastest(c.Stream)
	if c.KVBytes <= 0 || p.bandwidth <= 0 || p.receiver(c.Stream) == nil {
		c.reason = reasonNoMove
		return
	}
	transfer := seconds(float64(c.KVBytes)/p.bandwidth) + transferSetup
	switch {
	case c.saved() < minSavedTokens:
		c.reason = reasonCached
	case c.Urgency == template.UrgencyUrgent && c.best.ready(c.saved()) < transfer:
		c.reason = reasonSooner
	default:
		c.transfer = transfer
		c.reason = reasonNoTime
	}
}

// scheduleTransfers gives each host's sending time to the streams that save
// most tokens per second of transfer. Several transfers at once would share
// the bandwidth and all end late, so that they go one after another.
func (p *planner) scheduleTransfers(moving []*candidate) {
	var order []*candidate
	for _, c := range moving {
		if c.transfer > 0 {
			order = append(order, c)
		}
	}
	slices.SortFunc(order, bySavedPerSecond)
	sent := make(map[string]time.Duration)
	for _, c := range order {
		if sent[c.HostID]+c.transfer > p.usable {
			continue
		}
		c.begin = sent[c.HostID]
		c.moved = true
		sent[c.HostID] += c.transfer
	}
}

func bySavedPerSecond(a, b *candidate) int {
	gainA := float64(a.saved()) / a.transfer.Seconds()
	gainB := float64(b.saved()) / b.transfer.Seconds()
	if order := cmp.Compare(gainB, gainA); order != 0 {
		return order
	}
	return strings.Compare(a.ID, b.ID)
}

// decide turns a candidate into a decision.
func (p *planner) decide(c *candidate) Decision {
	if c.moved {
		to := p.receiver(c.Stream)
		stall := c.transfer + to.slotWait()
		to.receive()
		return Decision{
			StreamID: c.ID, Action: ActionMoveKV, Target: to.EndpointID, Start: p.now.Add(c.begin),
			Transfer: c.transfer, Stall: stall, Reason: reasonSaves,
		}
	}
	to, cached := p.fastest(c.Stream)
	if to == nil {
		return Decision{
			StreamID: c.ID, Action: ActionResume, Start: p.now.Add(p.usable),
			Recomputed: c.held(), Reason: reasonNoTarget,
		}
	}
	again := c.held() - cached
	begin, stall := to.resume(again, c.Urgency)
	return Decision{
		StreamID: c.ID, Action: ActionResume, Target: to.EndpointID, Start: p.now.Add(begin),
		Stall: stall, Recomputed: again, Reason: c.reason,
	}
}
