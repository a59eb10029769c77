package balance

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

// One entry places the long prompts of a service for all entries. A long prompt
// occupies an engine for a third of a second or more, and an entry has no
// report yet of what other entries sent most recently. With local decisions,
// two entries would send long prompts to the same engine while another is idle.
// The placing entry has a record of all placements. It reserves the predicted
// prefill time of each, so it needs no report of the end.

// Placement is the replica for a centrally placed prompt, and the prediction
// for it.
type Placement struct {
	// Replica is the replica's ID, and Incarnation its incarnation.
	Replica     string
	Incarnation int64
	// CachedTokens is the number of prompt tokens that are expected to be in
	// the replica's cache.
	CachedTokens int
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Wait is the wait for the next prompt in the group that the placer placed in.
	Wait time.Duration
	// Recorded is set if the placer has recorded the request as in progress until
	// EndPlacement.
	Recorded bool
}

// NeedsCentralPlacement reports whether the owner of the service places the
// prompt, because it would be long on the replica of the choice.
func (b *Balancer) NeedsCentralPlacement(q Query, c Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return q.Slots > 0 && !q.Local && b.isLong(q, q.PromptTokens-c.CachedTokens)
}

// Place chooses a replica for a long prompt of any entry and reserves its
// prefill time there, or returns ErrNoReplica.
func (b *Balancer) Place(q Query) (Placement, error) {
	ready := q.candidates(b.set.Current().Ready[q.Service])
	a := b.admittable(q, ready)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	ejected := b.ejectedLocked(ready, now)
	least := b.leastReservationLocked(a, now)
	speeds := b.speedsLocked(q, ready, now)
	long := b.longPromptReplicas(q, ready, speeds, now)
	best, bestCost := Placement{}, math.Inf(1)
	for _, r := range a.replicas {
		if ejected[r.ID] {
			continue
		}
		p, cost := b.placementLocked(q, r, ready, speeds, now)
		cost += b.misplacementCost(q, q.PromptTokens-p.CachedTokens, r, long, speeds)
		if a.limited[r.ID] {
			cost += max(0, least-b.reservedLocked(r.ID, now))
		}
		if cost < bestCost {
			best, bestCost = p, cost
		}
	}
	if best.Replica == "" {
		return Placement{}, ErrNoReplica
	}
	reservedSpeed := 1.0
	if speeds.relative {
		reservedSpeed = speeds.byID[best.Replica].Prefill
	}
	b.reserveLocked(q, best, reservedSpeed, now)
	return best, nil
}

// placementLocked returns the prediction for a long prompt on a replica, and
// its cost in seconds.
func (b *Balancer) placementLocked(q Query, r *replica.Replica, ready []*replica.Replica, speeds serviceSpeeds, now time.Time) (Placement, float64) {
	fit := b.prefillRateLocked(q.Service)
	cached := b.cachedLocked(q, r, ready, speeds, now)
	// The reserved time already is that of this replica.
	wait := b.reservedLocked(r.ID, now) * speeds.of(r).Prefill
	if !speeds.relative {
		wait = b.reservedLocked(r.ID, now)
	}
	prefill := float64(max(0, q.PromptTokens-cached)) / fit.perSecond
	t := engineTime{prefill: wait + prefill + fit.base}
	firstToken, cost := b.engineCostLocked(q, r, t, t, cached, speeds, now)
	return Placement{Replica: r.ID, Incarnation: r.Incarnation, CachedTokens: cached, FirstToken: firstToken}, cost
}

// reservedLocked returns the prefill time that is reserved on a replica, in
// seconds.
func (b *Balancer) reservedLocked(id string, now time.Time) float64 {
	return max(0, b.reservedUntil[id].Sub(now).Seconds())
}

// leastReservationLocked returns the least prefill time that is reserved on a
// replica without a limit, in seconds.
func (b *Balancer) leastReservationLocked(a admittable, now time.Time) float64 {
	if len(a.limited) == len(a.replicas) {
		return 0
	}
	least := math.Inf(1)
	for _, r := range a.replicas {
		if !a.limited[r.ID] {
			least = min(least, b.reservedLocked(r.ID, now))
		}
	}
	return least
}

// reserveLocked reserves the prefill time of a prompt on its replica, which has the
// given speed.
func (b *Balancer) reserveLocked(q Query, p Placement, speed float64, now time.Time) {
	from := b.reservedUntil[p.Replica]
	if from.Before(now) {
		from = now
	}
	prefill := float64(max(0, q.PromptTokens-p.CachedTokens)) / b.prefillRateLocked(q.Service).perSecond / speed
	b.reservedUntil[p.Replica] = from.Add(time.Duration(prefill * float64(time.Second)))
	b.recordPartsLocked(q.Parts, p.Replica, now)
}

// ChoiceOf returns the choice for a prompt that another entry placed, or false
// if this entry can't use the placement. The replica of the local choice
// becomes the runner-up.
func (b *Balancer) ChoiceOf(q Query, p Placement, local Choice) (Choice, bool) {
	r := b.set.Current().All[p.Replica]
	if r == nil || r.Incarnation != p.Incarnation || b.set.IsLeaving(r) || q.Exclude[r.ID] || r.Service != q.Service {
		return Choice{}, false
	}
	if q.Filter != nil && !q.Filter(r) {
		return Choice{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.states[r.ID]; st != nil && st.ejected {
		return Choice{}, false
	}
	if b.opt.Throttle != nil && !b.opt.Throttle.BlockOf(r, q.Class).Until.IsZero() {
		return Choice{}, false
	}
	c := Choice{
		Alternatives: local.Alternatives, Replica: r, FirstToken: p.FirstToken, Unscaled: p.FirstToken, CachedTokens: p.CachedTokens,
		Candidates: local.Candidates, RunnerUp: local.Replica,
		Speed: b.speedOf(r, time.Now()).Prefill, relative: local.relative,
	}
	c.atSpeed1 = time.Duration(float64(p.FirstToken) * c.Speed)
	if st := b.states[r.ID]; st != nil {
		c.InFlight, c.QueuedTokens = st.ownLoad.InFlight, st.ownLoad.Tokens
	}
	return c, true
}
