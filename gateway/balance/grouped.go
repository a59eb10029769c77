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
	// sentLately is the time for which a part is expected to be cached where this entry
	// sent it. A replica gets about 22,000 own tokens a second in the hardest known load,
	// which fill a cache of 131,072 tokens in 6 s.
	sentLately = 2 * time.Second
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
	homes := b.groupHomesLocked(q, p, now)
	local := Choice{Candidates: len(ready), Alternatives: b.hasUnlimited(q, ready), relative: p.speeds.relative, ViewAge: b.viewAgeLocked(now)}
	b.mu.Unlock()
	var asked []string
	for len(asked) < maxPlacers {
		name, ok := g.pickGroup(p, q.Service, random[2*len(asked):], homes, asked)
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
	if in, ok := parseGroup(q.Group); ok {
		g.mu.Lock()
		q.Unplaced = g.unplacedOnLocked(p.members[in])
		g.mu.Unlock()
	}
	placed, err := g.place(ctx, owner, q, max(minGroupTimeout, q.LatencyObjective/groupTimeoutDivisor))
	if err != nil {
		g.count(outcomeFailed)
		return Choice{}, false // failed calls are logged
	}
	g.placers.record(q.Service, q.Group, placed.Wait)
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

// groupHome is a group in which shared parts of a prompt are expected to be cached, and
// the time that this is expected to save.
type groupHome struct {
	group int
	saved time.Duration
}

// groupHomesLocked returns the groups of the home replicas of a prompt, which all entries
// prefer and which stay the same while the weights of the groups change, and those to
// which this entry sent a prompt with the same last part lately. The latter matter for
// parts that are too popular for their homes.
func (b *Balancer) groupHomesLocked(q Query, p *pools, now time.Time) []groupHome {
	if len(q.Parts) == 0 || len(p.long.replicas) == 0 {
		return nil
	}
	var out []groupHome
	add := func(r *replica.Replica, fraction float64) {
		if r == nil {
			return
		}
		tokens := fraction * float64(q.sharedTokens())
		saved := tokens / b.prefillRateLocked(q.Service).perSecond * (1/p.speeds.of(r).Prefill + cacheAffinity)
		if g := p.groupOf(r); g >= 0 {
			out = append(out, groupHome{g, time.Duration(saved * float64(time.Second))})
		}
	}
	last := q.Parts[len(q.Parts)-1].ID
	first, second := homeReplicas(last, p.long.replicas, p.homes)
	add(first, homeCachedFraction)
	add(second, secondHomeCachedFraction)
	locations, _ := b.partLocations.Peek(last)
	for _, l := range locations {
		if now.Sub(l.at) < sentLately {
			add(b.set.Current().All[l.replica], homeCachedFraction)
		}
	}
	return out
}

// pickGroup returns the group with the least wait less the time that cached parts save
// there, or false if there is none but those already asked. It compares the homes of
// the prompt, one group drawn from all and one from this failure domain. Groups whose
// placer is backed off count as asked.
func (g *GlobalBalancer) pickGroup(p *pools, service string, random []float64, homes []groupHome, asked []string) (string, bool) {
	best, found, bestWait := "", false, time.Duration(0)
	consider := func(i int, saved time.Duration) {
		name := p.groups[i].String()
		if slices.Contains(asked, name) || !g.owners.Available(g.placerOf(p, service, name)) {
			return
		}
		wait := g.placers.waitOf(service, name) - saved
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
	for _, h := range homes {
		consider(h.group, h.saved)
	}
	consider(p.drawGroup(random[0], ""), 0)
	consider(p.drawGroup(random[1], g.opt.FailureDomain), 0)
	for i := 0; !found && i < len(p.groups); i++ {
		consider(i, 0)
	}
	return best, found
}
