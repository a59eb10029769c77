package balance

import (
	"context"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

const (
	// maxPlacers is the number of placers that are asked for one request.
	maxPlacers = 2
	// groupTimeoutDivisor bounds the call to a placer as a fraction of the minimum
	// latency objective: two calls take a twelfth, and all decisions together may take
	// an eighth. Calls take 1 to 2 ms, and more on small hosts.
	groupTimeoutDivisor = 24
	minGroupTimeout     = 10 * time.Millisecond
)

// chooseGrouped returns the replica for a request in a large deployment. If no
// placer can be used, this entry chooses locally.
func (g *GlobalBalancer) chooseGrouped(ctx context.Context, q Query) (Choice, error) {
	b := g.Balancer
	g.updateMembers()
	ready := b.set.Current().Ready[q.Service]
	if len(ready) == 0 {
		return Choice{}, ErrNoReplica
	}
	b.mu.Lock()
	if !b.isHeavyLocked(q) {
		b.mu.Unlock()
		return b.chooseDrawn(q)
	}
	now := time.Now()
	p := b.poolsLocked(q, ready, now)
	random := []float64{b.random.Float64(), b.random.Float64(), b.random.Float64(), b.random.Float64()}
	var saved time.Duration
	var home *replica.Replica
	if b.isRareLocked(q, rareInGroupPerSecond, now) {
		// All entries prefer the same group for a rare part: that of its home replica,
		// which stays the same while the weights of the groups change.
		home, _ = homeReplicas(q.Parts[len(q.Parts)-1].ID, p.long.replicas, p.speeds)
		saved = time.Duration(float64(q.sharedTokens()) / b.prefillRateLocked(q.Service).perSecond * float64(time.Second))
	}
	local := Choice{Candidates: len(ready), Alternatives: b.hasUnlimited(q, ready), relative: p.speeds.relative, ViewAge: b.viewAgeLocked(now)}
	b.mu.Unlock()
	var asked []string
	for len(asked) < maxPlacers {
		name, ok := g.pickGroup(p, q.Service, random[2*len(asked):], home, saved, asked)
		saved, home = 0, nil
		if !ok || ctx.Err() != nil {
			break
		}
		q.Group, q.MaxWait = name, 0
		if len(asked) == 0 {
			q.MaxWait = time.Duration(maxWaitFraction * float64(q.LatencyObjective))
		}
		asked = append(asked, name)
		if c, ok := g.placeInGroup(ctx, q, p, local); ok {
			return c, nil
		}
	}
	g.count(outcomeLocal)
	return b.chooseDrawn(q)
}

// hasUnlimited reports whether a replica without a limit accepts the request.
func (b *Balancer) hasUnlimited(q Query, ready []*replica.Replica) bool {
	return b.opt.Throttle == nil || slices.ContainsFunc(ready, func(r *replica.Replica) bool {
		return !q.Exclude[r.ID] && !b.opt.Throttle.Limited(r) && b.opt.Throttle.BlockOf(r, q.Class).Until.IsZero()
	})
}

// groupOf returns the index of a replica's group, or -1.
func (p *pools) groupOf(r *replica.Replica) int {
	return slices.IndexFunc(p.groups, func(g group) bool { return slices.Contains(p.members[g], r) })
}

// Outcomes of placements in groups.
const (
	outcomePlaced   = "placed"
	outcomeDeclined = "declined"
	outcomeFailed   = "failed"
	outcomeUnusable = "unusable"
	// outcomeLocal is counted for requests that this entry places by itself.
	outcomeLocal = "local"
)

func (b *Balancer) count(outcome string) {
	if b.opt.Count != nil {
		b.opt.Count(outcome)
	}
}

// placeInGroup asks the placer of q.Group for a replica.
func (g *GlobalBalancer) placeInGroup(ctx context.Context, q Query, p *pools, local Choice) (Choice, bool) {
	owner := g.placerOf(p, q.Service, q.Group)
	placed, err := g.place(ctx, owner, q, max(minGroupTimeout, q.LatencyObjective/groupTimeoutDivisor))
	if err != nil {
		g.count(outcomeFailed)
		return Choice{}, false // failed calls are logged
	}
	g.placers.record(q.Service+"/"+q.Group, placed.Wait)
	if placed.Replica == "" {
		g.count(outcomeDeclined)
		return Choice{}, false
	}
	ended := func() {
		if placed.Recorded {
			g.reportEnd(End{owner, placed.Replica})
		}
	}
	c, usable := g.ChoiceOf(q, placed, local)
	if !usable {
		ended()
		g.count(outcomeUnusable)
		return Choice{}, false
	}
	g.count(outcomePlaced)
	c.PlacedBy, c.Group, c.GroupWait, c.ViewAge, c.ended = owner, q.Group, placed.Wait, local.ViewAge, ended
	return c, true
}

// Release reports to the placer that the request has ended or wasn't sent.
func (c Choice) Release() {
	if c.ended != nil {
		c.ended()
	}
}

// pickGroup returns the one of two groups that states the shorter wait, one drawn from
// all and one from this failure domain, or false if
// there is none but those already asked. Groups whose placer is backed off count as
// asked. In the first group, the request saves some time.
func (g *GlobalBalancer) pickGroup(p *pools, service string, random []float64, home *replica.Replica, saved time.Duration, asked []string) (string, bool) {
	best, found, bestWait := "", false, time.Duration(0)
	consider := func(i int, saved time.Duration) {
		name := p.groups[i].String()
		if slices.Contains(asked, name) || !g.owners.Available(g.placerOf(p, service, name)) {
			return
		}
		wait := g.placers.waitOf(service+"/"+name) - saved
		if p.groups[i].domain != g.opt.FailureDomain {
			wait += crossDomainCost
		}
		if !found || wait < bestWait {
			best, found, bestWait = name, true, wait
		}
	}
	if len(p.groups) == 0 {
		return "", false
	}
	first := p.groupOf(home)
	if first < 0 {
		first = p.drawGroup(random[0], "")
	}
	consider(first, saved)
	consider(p.drawGroup(random[1], g.opt.FailureDomain), 0)
	for i := 0; !found && i < len(p.groups); i++ {
		consider(i, 0)
	}
	return best, found
}
