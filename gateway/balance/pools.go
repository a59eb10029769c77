package balance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
)

// In a deployment of many entries, an entry sees a negligible part of the load of
// a replica. The replicas of a service of engines are therefore divided into two
// pools. Short prompts, which are too many for a call each, go to the pool of the
// fastest replicas, where no long prompt delays them. Each entry has a few of the
// slots there for itself, which it uses before others. Long prompts go to the other
// pool. It is divided into groups, and one entry for each group places the long
// prompts of all entries, from a record of those that are in progress there. A
// service without long prompts is one pool.

const (
	// poolsTTL is the time for which pools are used. Speeds and loads change
	// slower than that.
	poolsTTL = 250 * time.Millisecond
	// ejectedTTL is the time for which the set of ejected replicas is used if this
	// entry sees no failure.
	ejectedTTL = 100 * time.Millisecond
	// heavyPromptFraction is the fraction of a service's minimum latency objective
	// above which the prefill time of the complete prompt makes it long. It counts
	// cached parts as well, so that all entries decide the same.
	heavyPromptFraction = 0.2
	// maxLongCapacity is the largest fraction of a service's capacity that the pool
	// for long prompts gets. Above it, short prompts wait for each other more than
	// long ones gain.
	maxLongCapacity = 0.7
	// groupReplicas is the intended number of replicas of a range of which a group are
	// those for long prompts. Larger groups balance better, but their placers get more
	// calls: 15 a second in the hardest known load, of about 340 bytes with the report
	// of the end.
	groupReplicas = 6
	// smoothTime is the time constant of the speeds by which replicas are divided into
	// pools. It is long against spells.
	smoothTime = 4 * time.Second
	// stickyStep is the distance, in steps of speed, from which a replica changes its
	// place in the order by speed.
	stickyStep = 0.8
	// maxSlots bounds the slots of a replica that are divided, because a peer may state
	// any number.
	maxSlots = 1024
	// minOwnSlots is the least number of slots that an entry uses.
	minOwnSlots = 3
)

// pool is a set of replicas from which candidates are drawn by weight.
type pool struct {
	replicas []*replica.Replica
	// sums holds the sum of the weights up to each replica.
	sums []float64
}

func (p *pool) add(r *replica.Replica, weight float64) {
	p.replicas = append(p.replicas, r)
	p.sums = append(p.sums, p.weight()+weight)
}

func (p *pool) weight() float64 {
	if len(p.sums) == 0 {
		return 0
	}
	return p.sums[len(p.sums)-1]
}

// draw returns a replica, given a random number of [0, 1).
func (p *pool) draw(random float64) *replica.Replica {
	i := sort.SearchFloat64s(p.sums, random*p.weight())
	return p.replicas[min(i, len(p.replicas)-1)]
}

// group is a range of the replicas for long prompts of a failure domain, in the order
// of the hashes of their IDs. A replica that comes or goes moves few others to another
// group.
type group struct {
	domain       string
	index, count int
}

func (g group) String() string { return fmt.Sprintf("%d/%d/%s", g.index, g.count, g.domain) }

// parseGroup returns the group of a name.
func parseGroup(name string) (group, bool) {
	parts := strings.SplitN(name, "/", 3)
	if len(parts) != 3 {
		return group{}, false
	}
	index, err1 := strconv.Atoi(parts[0])
	count, err2 := strconv.Atoi(parts[1])
	return group{parts[2], index, count}, err1 == nil && err2 == nil && index >= 0 && index < count
}

// pools are the pools of one service.
type pools struct {
	ready       []*replica.Replica
	at, until   time.Time
	speeds      serviceSpeeds
	short, long pool
	// groups are those of the pool for long prompts, with their sums of weights and
	// their replicas.
	groups    []group
	groupSums []float64
	members   map[group][]*replica.Replica
	// lasting holds the smoothed logarithms of speeds, by replica ID, and steps the
	// steps to which they are rounded, which are sticky.
	lasting, steps map[string]float64
	// homes holds the speeds that the homes of prompt parts follow: the steps, so that
	// homes don't move in a spell.
	homes serviceSpeeds
	// slots holds how many slots of each replica for short prompts are this entry's.
	slots map[*replica.Replica]int
	// ejected is the set of ejected replicas as of ejectedAt. It is computed again
	// if stale is set.
	ejected   map[string]bool
	ejectedAt time.Time
	stale     bool
}

// isGrouped reports whether requests of a service are distributed over pools and
// groups: the deployment is large, and the speeds of the replicas are uneven. With
// even speeds, the prompts that pools and groups spread anew cost more than they gain.
func (b *Balancer) isGrouped(service string) bool {
	return b.opt.Grouped != nil && b.opt.Grouped() && b.opt.Speeds.Uneven(time.Now(), service)
}

// isHeavyLocked reports whether a prompt is long in a large deployment.
func (b *Balancer) isHeavyLocked(q Query) bool {
	if q.Slots == 0 || q.LatencyObjective <= 0 {
		return false
	}
	prefill := float64(q.PromptTokens) / b.prefillRateLocked(q.Service).perSecond
	return prefill > heavyPromptFraction*q.LatencyObjective.Seconds()
}

// poolsLocked returns the pools of a query's service.
func (b *Balancer) poolsLocked(q Query, ready []*replica.Replica, now time.Time) *pools {
	p := b.pools[q.Service]
	same := p != nil && len(p.ready) == len(ready) && (len(ready) == 0 || &p.ready[0] == &ready[0])
	if !same || now.After(p.until) {
		p = b.newPoolsLocked(q, ready, now)
		b.pools[q.Service] = p
	}
	if p.stale || now.Sub(p.ejectedAt) > ejectedTTL {
		p.ejected, p.ejectedAt, p.stale = b.ejectedLocked(ready, now), now, false
	}
	return p
}

func (b *Balancer) newPoolsLocked(q Query, ready []*replica.Replica, now time.Time) *pools {
	p := &pools{ready: ready, until: now.Add(poolsTTL), speeds: b.speedsLocked(q, ready, now), stale: true}
	p.smooth(q, b.pools[q.Service], now)
	long := b.longPoolLocked(q, p, ready, now)
	for _, r := range ready {
		weight := p.speeds.speedOf(q, r)
		if q.Slots > 0 {
			// Without a prompt to distribute by, a preference for fast replicas fills
			// their few slots.
			weight = p.speeds.share(weight)
		}
		if long == nil || !long[r.ID] {
			p.short.add(r, weight)
		}
		if long == nil || long[r.ID] {
			p.long.add(r, weight)
		}
	}
	p.addGroups()
	p.addSlots(q, b.rank, b.members)
	return p
}

// smooth sets the lasting speeds, given the pools before these. Entries must agree on
// the pools, so that spells and the noise of estimates must not show in them.
func (p *pools) smooth(q Query, before *pools, now time.Time) {
	p.at, p.lasting, p.steps = now, make(map[string]float64, len(p.ready)), make(map[string]float64, len(p.ready))
	p.homes = serviceSpeeds{byID: make(map[string]speed.Estimate, len(p.ready)), relative: p.speeds.relative, homes: &homes{}}
	weight := 1.0
	if before != nil {
		weight = 1 - math.Exp(-now.Sub(before.at).Seconds()/smoothTime.Seconds())
	}
	for _, r := range p.ready {
		v, step := math.Log(p.speeds.speedOf(q, r)), 0.0
		if before != nil {
			last, known := before.lasting[r.ID]
			if !known {
				last = 0
			}
			v, step = last+weight*(v-last), before.steps[r.ID]
		}
		if exact := v / math.Log(speedStepFactor); math.Abs(exact-step) > stickyStep {
			step = math.Round(exact)
		}
		p.lasting[r.ID], p.steps[r.ID] = v, step
		p.homes.byID[r.ID] = speed.Estimate{Prefill: math.Pow(speedStepFactor, step)}
	}
}

// addGroups divides the ready replicas of each failure domain into ranges of the order
// of the hashes of their IDs. The replicas for long prompts of a range are a group.
// Entries that disagree on a few of these thus agree on the groups of the others.
func (p *pools) addGroups() {
	byDomain := make(map[string][]*replica.Replica)
	for _, r := range p.ready {
		byDomain[r.FailureDomain] = append(byDomain[r.FailureDomain], r)
	}
	long := make(map[*replica.Replica]bool, len(p.long.replicas))
	for _, r := range p.long.replicas {
		long[r] = true
	}
	p.members = make(map[group][]*replica.Replica)
	sum := 0.0
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		replicas := byDomain[domain]
		slices.SortFunc(replicas, func(x, y *replica.Replica) int {
			return cmp.Compare(xxhash.Sum64String(x.ID), xxhash.Sum64String(y.ID))
		})
		count := max(1, int(math.Round(float64(len(replicas))/groupReplicas)))
		for i := range count {
			g := group{domain, i, count}
			for _, r := range replicas[i*len(replicas)/count : (i+1)*len(replicas)/count] {
				if long[r] {
					p.members[g] = append(p.members[g], r)
					sum += math.Exp(p.lasting[r.ID])
				}
			}
			p.groups, p.groupSums = append(p.groups, g), append(p.groupSums, sum)
		}
	}
}

// replicasOf returns the replicas of a group. If a group isn't one of those that this
// entry knows, because another entry knows other replicas, it is the part of the
// domain's replicas that is in the same place.
func (p *pools) replicasOf(g group) []*replica.Replica {
	if slices.Contains(p.groups, g) {
		return p.members[g]
	}
	for known, replicas := range p.members {
		if known.domain == g.domain && known.index == g.index*known.count/g.count {
			return replicas
		}
	}
	return nil
}

// addSlots assigns the slots of the replicas for short prompts to the entries in turn,
// in the order of the hashes of the replicas' IDs. An entry has at least minOwnSlots.
func (p *pools) addSlots(q Query, rank, members int) {
	p.slots = make(map[*replica.Replica]int)
	if q.Slots <= 0 || members == 0 || len(p.short.replicas) == 0 {
		return
	}
	order := slices.Clone(p.short.replicas)
	slices.SortFunc(order, func(x, y *replica.Replica) int {
		return cmp.Compare(xxhash.Sum64String(x.ID), xxhash.Sum64String(y.ID))
	})
	total := min(q.Slots, maxSlots) * len(order)
	for n, slot := 0, rank; slot < total || n < minOwnSlots; n, slot = n+1, slot+members {
		p.slots[order[slot%len(order)]]++
	}
}

// longPoolLocked returns the IDs of the pool for long prompts, the slowest replicas
// first, or nil if the service isn't divided.
func (b *Balancer) longPoolLocked(q Query, p *pools, ready []*replica.Replica, now time.Time) map[string]bool {
	fraction := b.longLoadFractionLocked(q.Service, now)
	if q.Slots == 0 || q.LatencyObjective <= 0 || len(ready) < minSplitReplicas || fraction <= 0 {
		return nil
	}
	order, capacity := slices.Clone(ready), 0.0
	for _, r := range ready {
		capacity += math.Exp(p.lasting[r.ID])
	}
	slices.SortFunc(order, func(x, y *replica.Replica) int {
		return cmp.Or(
			cmp.Compare(p.steps[x.ID], p.steps[y.ID]),
			cmp.Compare(xxhash.Sum64String(x.ID), xxhash.Sum64String(y.ID)))
	})
	left := capacity * min(maxLongCapacity, longReplicasScale*fraction)
	out := make(map[string]bool)
	// At least one replica remains for short prompts.
	for _, r := range order[:len(order)-1] {
		// The last replica belongs to the side that needs more of it.
		speed := math.Exp(p.lasting[r.ID])
		if left < speed/2 {
			break
		}
		left -= speed
		out[r.ID] = true
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// speedOf returns the speed by which requests of a query's kind are distributed.
func (s serviceSpeeds) speedOf(q Query, r *replica.Replica) float64 {
	if q.Slots == 0 {
		return s.of(r).Work
	}
	e := s.of(r)
	return math.Sqrt(e.Prefill * e.Decode)
}
