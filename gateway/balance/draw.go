package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
)

const (
	// drawnCandidates is the number of replicas that are drawn for a choice. With 3
	// instead of 2 the p99 of the time to the first token was 4 % lower.
	drawnCandidates = 3
	// rarePerSecond is the rate of requests of all entries with a prompt part below
	// which the part is rare, so that its requests can't overload one replica.
	rarePerSecond = 4.0
	// rareAfter is the time after the start of this entry from which parts can be rare.
	// An entry sends a part that could overload a replica several times until then.
	rareAfter = 5 * time.Second
	// maxDraws bounds the candidates that are drawn for one choice.
	maxDraws = 8
)

// chooseDrawn returns the best of the replicas on which a slot of this entry is free, or
// else of a few that are drawn from the pool of the request. The home replica of the
// last shared part is compared with them if this entry hasn't sent the part lately: each
// entry sends a popular part often, so that other parts can't overload their home.
func (b *Balancer) chooseDrawn(q Query) (Choice, error) {
	ready := b.set.Current().Ready[q.Service]
	if len(ready) == 0 {
		return Choice{}, ErrNoReplica
	}
	b.mu.Lock()
	c, ok := b.chooseDrawnLocked(q, ready, time.Now())
	b.mu.Unlock()
	if !ok {
		return b.Choose(q)
	}
	return c, nil
}

func (b *Balancer) chooseDrawnLocked(q Query, ready []*replica.Replica, now time.Time) (Choice, bool) {
	p := b.poolsLocked(q, ready, now)
	from := &p.short
	if b.isHeavyLocked(q) {
		from = &p.long
	}
	homes := sync.OnceValues(func() (first, second *replica.Replica) {
		return homeReplicas(q.Parts[len(q.Parts)-1].ID, from.replicas, p.homes)
	})
	var candidates []*replica.Replica
	if from == &p.short {
		candidates = b.freeSlotsLocked(q, p)
	}
	if len(candidates) == 0 {
		candidates = b.drawLocked(q, p, from)
	}
	if home := b.homeOfRarePartLocked(q, homes, now); home != nil && b.isUsableLocked(q, p, home) {
		candidates = append(candidates, home)
	}
	best, second, bestCost := Choice{}, Choice{}, math.Inf(1)
	for _, r := range candidates {
		if b.opt.Throttle != nil && b.opt.Throttle.Limited(r) {
			return Choice{}, false
		}
		c, cost := b.drawnCostLocked(q, r, homes, p, now)
		if cost < bestCost {
			best, second, bestCost = c, best, cost
		} else if second.Replica == nil {
			second = c
		}
	}
	best.RunnerUp, best.Candidates, best.Alternatives, best.ViewAge = second.Replica, len(ready), true, b.viewAgeLocked(now)
	return best, best.Replica != nil
}

// freeSlotsLocked returns the replicas on which a slot of this entry is free.
func (b *Balancer) freeSlotsLocked(q Query, p *pools) []*replica.Replica {
	var out []*replica.Replica
	for r, n := range p.slots {
		if b.stateLocked(r).ownLoad.InFlight < n && b.isUsableLocked(q, p, r) {
			out = append(out, r)
		}
	}
	return out
}

// drawLocked draws candidates from a pool.
func (b *Balancer) drawLocked(q Query, p *pools, from *pool) []*replica.Replica {
	var out []*replica.Replica
	for range maxDraws {
		if len(out) == min(drawnCandidates, len(from.replicas)) {
			break
		}
		r := from.draw(b.random.Float64())
		if !slices.Contains(out, r) && b.isUsableLocked(q, p, r) {
			out = append(out, r)
		}
	}
	return out
}

// drawnCostLocked returns the prediction for a request on a candidate, and its cost.
// Its unit is that of costLocked. Candidates are drawn in proportion to their shares,
// so that the costs compare them as if their speeds were equal, unless one is very
// slow. The load of other entries is the same for all candidates, because its location
// is unknown.
func (b *Balancer) drawnCostLocked(q Query, r *replica.Replica, homes func() (first, second *replica.Replica), p *pools, now time.Time) (Choice, float64) {
	st, e := b.stateLocked(r), p.speeds.of(r)
	inFlight := float64(st.ownLoad.InFlight)
	c := Choice{Replica: r, InFlight: int(math.Round(inFlight + b.peerLoads[r.ID].inFlight)), Speed: e.Prefill, relative: p.speeds.relative}
	penalty := failurePenalty * st.failures.rate(now)
	if q.Slots == 0 {
		c.Speed = e.Work
		cost := (inFlight + 1) / float64(max(1, r.Slots)) / min(1, e.Work/slowReplica)
		if r.FailureDomain != b.opt.FailureDomain {
			cost += crossDomainCost.Seconds()
		}
		return c, cost + st.failures.rate(now)
	}
	c.CachedTokens = b.cachedWithHomesLocked(q, r, now, homes)
	fit := b.prefillRateLocked(q.Service)
	c.QueuedTokens = st.ownLoad.Tokens
	t := engineTime{prefill: fit.base + float64(c.QueuedTokens+max(0, q.PromptTokens-c.CachedTokens))/fit.perSecond, decode: inFlight * delayPerRunning.Seconds()}
	first := t.at(e)
	cost := t.at(speed.Estimate{Prefill: min(1, e.Prefill/slowReplica), Decode: min(1, e.Decode/slowReplica)})
	if r.ColdRemaining > now.Sub(r.Seen) {
		first *= coldFactor
		cost *= coldFactor
	}
	c.FirstToken = time.Duration(first * float64(time.Second))
	c.atSpeed1 = time.Duration((t.prefill + t.decode) * float64(time.Second))
	cost += cost*penalty + cacheAffinity*float64(max(0, q.sharedTokens()-c.CachedTokens))/fit.perSecond
	if r.FailureDomain != b.opt.FailureDomain {
		cost += crossDomainCost.Seconds()
	}
	return c, cost + engineJitter.Seconds()*b.random.Float64()
}

// isUsableLocked reports whether a replica accepts the request.
func (b *Balancer) isUsableLocked(q Query, p *pools, r *replica.Replica) bool {
	if q.Exclude[r.ID] || p.ejected[r.ID] || q.Filter != nil && !q.Filter(r) {
		return false
	}
	return b.opt.Throttle == nil || b.opt.Throttle.BlockOf(r, q.Class).Until.IsZero()
}

// isRareLocked reports whether the last shared part of a prompt is used by less than
// about rarePerSecond requests of the deployment.
func (b *Balancer) isRareLocked(q Query, now time.Time) bool {
	if len(q.Parts) == 0 {
		return false
	}
	interval := time.Duration(float64(b.members) / rarePerSecond * float64(time.Second))
	if now.Sub(b.since) < rareAfter {
		return false
	}
	locations, _ := b.partLocations.Peek(q.Parts[len(q.Parts)-1].ID)
	return len(locations) == 0 || now.Sub(locations[0].at) > interval
}

func (b *Balancer) homeOfRarePartLocked(q Query, homes func() (first, second *replica.Replica), now time.Time) *replica.Replica {
	if !b.isRareLocked(q, now) {
		return nil
	}
	home, _ := homes()
	return home
}

// viewAgeLocked returns the age of the loads of the other entries.
func (b *Balancer) viewAgeLocked(now time.Time) time.Duration {
	if b.peersAt.IsZero() {
		return 0
	}
	return now.Sub(b.peersAt)
}
