package balance

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

// Long prompts are placed by one entry for all. It answers loads of many
// entries in which a long prompt takes an engine for a third of a second or
// more: what other entries sent in the last moments is not known elsewhere,
// so that two of them meet at one engine while another is idle. The entry
// that places them knows all of them, and needs nobody to tell it when one has
// been read: it goes by the time that reading takes.

// Placement is where a long prompt goes.
type Placement struct {
	// Replica is its ID, Born its incarnation.
	Replica     string
	Incarnation int64
	// CachedTokens of the prompt are expected to be in its cache.
	CachedTokens int
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
}

// Long says whether a prompt is to be placed by one entry for all, if it is
// sent to the replica chosen.
func (b *Balancer) Long(q Query, c Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return q.Slots > 0 && b.isLong(q, q.PromptTokens-c.CachedTokens)
}

// Place places a long prompt for any entry, or returns ErrNone. It is taken to
// be sent there.
func (b *Balancer) Place(q Query) (Placement, error) {
	ready := b.set.Current().Ready[q.Service]
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := b.ejectedLocked(ready, now)
	long := b.forLong(q, ready, now)
	best, bestCost := Placement{}, math.Inf(1)
	for _, r := range ready {
		if q.Exclude[r.ID] || out[r.ID] {
			continue
		}
		p, cost := b.placementLocked(q, r, ready, now)
		cost += b.strayCost(q, q.PromptTokens-p.CachedTokens, r.ID, long)
		if cost < bestCost {
			best, bestCost = p, cost
		}
	}
	if best.Replica == "" {
		return Placement{}, ErrNone
	}
	b.reserveLocked(q, best, now)
	return best, nil
}

// placementLocked returns what a replica is expected to do with a long prompt,
// and its cost in seconds.
func (b *Balancer) placementLocked(q Query, r *replica.Replica, ready []*replica.Replica, now time.Time) (Placement, float64) {
	speed := b.rateLocked(q.Service)
	cached := b.cachedLocked(q, r, ready, now)
	wait := max(0, b.reserved[r.ID].Sub(now).Seconds())
	read := float64(max(0, q.PromptTokens-cached)) / speed.perSecond
	firstToken, cost := b.engineCostLocked(q, r, wait+read+speed.base, cached, now)
	return Placement{Replica: r.ID, Incarnation: r.Incarnation, CachedTokens: cached, FirstToken: firstToken}, cost
}

// reserveLocked takes the time that reading the prompt takes.
func (b *Balancer) reserveLocked(q Query, p Placement, now time.Time) {
	from := b.reserved[p.Replica]
	if from.Before(now) {
		from = now
	}
	read := float64(max(0, q.PromptTokens-p.CachedTokens)) / b.rateLocked(q.Service).perSecond
	b.reserved[p.Replica] = from.Add(time.Duration(read * float64(time.Second)))
	b.noteLocked(q.Parts, p.Replica, now)
}

// Placed returns the choice of a replica that another entry placed a prompt on,
// or false where this entry can't use it. The local choice is the runner-up.
func (b *Balancer) Placed(q Query, p Placement, local Choice) (Choice, bool) {
	r := b.set.Current().All[p.Replica]
	if r == nil || r.Incarnation != p.Incarnation || r.Draining || q.Exclude[r.ID] || r.Service != q.Service {
		return Choice{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.states[r.ID]; st != nil && st.ejected {
		return Choice{}, false
	}
	c := Choice{
		Replica: r, FirstToken: p.FirstToken, CachedTokens: p.CachedTokens,
		Candidates: local.Candidates, RunnerUp: local.Replica,
	}
	if st := b.states[r.ID]; st != nil {
		c.InFlight, c.Ahead = st.own.InFlight, st.own.Tokens
	}
	return c, true
}
