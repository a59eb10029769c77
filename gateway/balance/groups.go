package balance

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

const (
	// placementTTL is the time after which a placement counts as ended without a
	// report of its end. The entry that sends the prompt may have been killed.
	placementTTL = 10 * time.Second
	// runningCost is the cost of each placed prompt in progress on a replica: it
	// occupies a slot and makes decode steps longer. 6 to 20 ms gave about the same in
	// trials; without it, fast replicas run out of slots.
	runningCost = 12 * time.Millisecond
	// fullCost is the cost of each prompt above the slots of a replica.
	fullCost = time.Second
	// shortSlots is the number of slots that are left to short prompts, which
	// placers don't see, where the service isn't divided into pools.
	shortSlots = 2
	// groupAffinity is cacheAffinity in groups, whose placers see the load that it is
	// weighed against. With 2.5 instead of 1.5, 1 to 3 % more of the shared tokens of
	// long prompts are found cached, and as many requests are in time.
	groupAffinity = 2.5
	// maxWaitFraction is the fraction of the minimum latency objective above which
	// a placer with a longer wait ahead declines a prompt, so that another group
	// is asked.
	maxWaitFraction = 0.5
)

// PlaceInGroup chooses a replica of q.Group for a long prompt of any entry and
// records it as in progress until EndPlacement. The Placement has no replica if the
// wait is above q.MaxWait, which is 0 if there is no maximum. PlaceInGroup returns
// ErrNoReplica if the group has no usable replica.
func (b *Balancer) PlaceInGroup(q Query) (Placement, error) {
	g, ok := parseGroup(q.Group)
	if !ok {
		return Placement{}, ErrNoReplica
	}
	ready := b.set.Current().Ready[q.Service]
	if len(ready) == 0 {
		return Placement{}, ErrNoReplica
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	p := b.poolsLocked(q, ready, now)
	b.sampleUnplacedLocked(q, p.replicasOf(g), now)
	best, bestCost := Placement{}, math.Inf(1)
	// The waits on the replica of the choice, and the least one of the others.
	bestWait, otherWait := math.Inf(1), math.Inf(1)
	for _, r := range b.usableLocked(q, p, p.replicasOf(g)) {
		place, wait := b.groupPlacementLocked(q, r, p, now)
		cost := b.groupCostLocked(q, r, place, wait, p, now)
		if cost < bestCost {
			otherWait = min(otherWait, bestWait)
			best, bestCost, bestWait = place, cost, wait
		} else {
			otherWait = min(otherWait, wait)
		}
	}
	if best.Replica == "" {
		return Placement{}, ErrNoReplica
	}
	if wait := time.Duration(min(bestWait, otherWait) * float64(time.Second)); q.MaxWait > 0 && wait > q.MaxWait {
		return Placement{Wait: wait}, nil
	}
	before := b.reservedLocked(best.Replica, now)
	b.placements[best.Replica] = append(b.placements[best.Replica], now)
	b.reserveLocked(q, best, p.speeds.of(b.set.Current().All[best.Replica]).Prefill, now)
	after := bestWait + b.reservedLocked(best.Replica, now) - before + runningCost.Seconds()
	best.Recorded = true
	best.Wait = time.Duration(min(after, otherWait) * float64(time.Second))
	return best, nil
}

// usableLocked returns the replicas that accept the request: those without a limit, or
// if there are none those with one. A replica with a limit runs few requests, so by its
// load alone it would get most of them.
func (b *Balancer) usableLocked(q Query, p *pools, replicas []*replica.Replica) []*replica.Replica {
	var out, limited []*replica.Replica
	for _, r := range replicas {
		switch {
		case !b.isUsableLocked(q, p, r):
		case b.opt.Throttle != nil && b.opt.Throttle.Limited(r):
			limited = append(limited, r)
		default:
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return limited
	}
	return out
}

// groupPlacementLocked returns the prediction for a prompt on a replica, and the
// wait before its prefill in seconds, with what requests in progress cost it.
func (b *Balancer) groupPlacementLocked(q Query, r *replica.Replica, p *pools, now time.Time) (Placement, float64) {
	fit, e := b.prefillRateLocked(q.Service), p.speeds.of(r)
	cached := b.cachedLocked(q, r, p.long.replicas, p.homes, now)
	running := float64(len(b.placedLocked(r.ID, now))) + b.unplacedLocked(r.ID, now)
	wait := b.reservedLocked(r.ID, now)
	first := wait + (fit.base+float64(max(0, q.PromptTokens-cached))/fit.perSecond)/e.Prefill
	wait += runningCost.Seconds() * running / e.Decode
	free := max(1, q.Slots, r.Slots)
	if len(p.long.replicas) == len(p.ready) {
		free = max(1, free-shortSlots)
	}
	if excess := running + 1 - float64(free); excess > 0 {
		wait += fullCost.Seconds() * excess / e.Decode
	}
	return Placement{Replica: r.ID, Incarnation: r.Incarnation, CachedTokens: cached, FirstToken: time.Duration(first * float64(time.Second))}, wait
}

// groupCostLocked returns the cost of a placement in seconds.
func (b *Balancer) groupCostLocked(q Query, r *replica.Replica, place Placement, wait float64, p *pools, now time.Time) float64 {
	fit := b.prefillRateLocked(q.Service)
	prefill := float64(max(0, q.PromptTokens-place.CachedTokens)) / fit.perSecond / p.speeds.of(r).Prefill
	cost := wait + prefill + fit.base/p.speeds.of(r).Prefill
	if r.ColdRemaining > now.Sub(r.Seen) {
		cost *= coldFactor
	}
	cost *= 1 + failurePenalty*b.stateLocked(r).failures.rate(now)
	return cost + groupAffinity*float64(max(0, q.sharedTokens()-place.CachedTokens))/fit.perSecond
}

// placedLocked returns the times of the placements in progress on a replica.
func (b *Balancer) placedLocked(id string, now time.Time) []time.Time {
	placed := b.placements[id]
	i := 0
	for i < len(placed) && now.Sub(placed[i]) > placementTTL {
		i++
	}
	if i > 0 {
		placed = slices.Clone(placed[i:])
		b.placements[id] = placed
	}
	if len(placed) == 0 {
		delete(b.placements, id)
	}
	return placed
}

// EndPlacement records that a request which this entry placed has ended.
func (b *Balancer) EndPlacement(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if placed := b.placedLocked(id, time.Now()); len(placed) > 0 {
		b.placements[id] = placed[1:]
	}
}
