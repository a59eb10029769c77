package balance

import (
	"context"
	"errors"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// groupWaitTTL is the time for which the wait that a placer stated is used.
	groupWaitTTL = 3 * time.Second
	// maxQueuedEnds bounds the reports of ends that wait to be sent. Those beyond it
	// are dropped, and the placers count the requests as ended after placementTTL.
	maxQueuedEnds = 256
	// waitMemory is the time constant with which a stated wait approaches the mean. An
	// entry asks a given group once in several seconds, and the prefill of the prompts
	// ahead takes some 0.1 s. 0.2 to 1.5 s gave the same in trials.
	waitMemory = 500 * time.Millisecond
	// waitSamples is the number of stated waits that their mean covers.
	waitSamples = 20.0
	// placersTTL is the time for which the placers of the groups are used before the
	// reachable members are read again.
	placersTTL = 250 * time.Millisecond
)

// End is the end of a request, for the entry that placed it.
type End struct{ Placer, Replica string }

// groupWait is the wait in a group as its placer stated it.
type groupWait struct {
	wait time.Duration
	at   time.Time
}

// placers holds what an entry knows of the placers of groups. It is safe for
// concurrent use.
type placers struct {
	mu    sync.Mutex
	waits map[string]groupWait
	// mean is the decaying mean of the stated waits of a service, in seconds.
	mean map[string]float64
	// owners holds the placers by service and group.
	owners map[string]groupOwners
	ends   chan End
	// membersUntil is the time at which the members are read again.
	membersUntil time.Time
}

type groupOwners struct {
	groups []group
	ids    []string
	until  time.Time
}

func newPlacers() *placers {
	return &placers{waits: make(map[string]groupWait), mean: make(map[string]float64), owners: make(map[string]groupOwners), ends: make(chan End, maxQueuedEnds)}
}

// updateMembers sets the place of this entry among the members.
func (g *GlobalBalancer) updateMembers() {
	g.placers.mu.Lock()
	now := time.Now()
	due := now.After(g.placers.membersUntil)
	if due {
		g.placers.membersUntil = now.Add(placersTTL)
	}
	g.placers.mu.Unlock()
	if !due {
		return
	}
	rank, members := 0, g.peers.Members()
	for _, id := range members {
		if id < g.self {
			rank++
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rank, g.Balancer.members = rank, len(members)
}

// placerOf returns the member that places in a group.
func (g *GlobalBalancer) placerOf(p *pools, service, name string) string {
	g.placers.mu.Lock()
	defer g.placers.mu.Unlock()
	now := time.Now()
	o := g.placers.owners[service]
	if now.After(o.until) || !slices.Equal(o.groups, p.groups) {
		o = groupOwners{groups: p.groups, ids: assignPlacers(service, p.groups, g.peers.Members()), until: now.Add(placersTTL)}
		g.placers.owners[service] = o
	}
	for i := range o.groups {
		if o.groups[i].String() == name {
			return o.ids[i]
		}
	}
	return g.self
}

// assignPlacers assigns a member to each group by rendezvous hashing. A member gets
// a second group only if all have one, because the calls of one group take most of
// the traffic that an entry may have.
func assignPlacers(service string, groups []group, members []string) []string {
	used, out := make(map[string]bool), make([]string, 0, len(groups))
	for _, g := range groups {
		if len(used) >= len(members) {
			clear(used)
		}
		best, highest := "", uint64(0)
		for _, id := range members {
			if h := xxhash.Sum64String("place/" + service + "/" + g.String() + "/" + id); !used[id] && (best == "" || h > highest) {
				best, highest = id, h
			}
		}
		used[best] = true
		out = append(out, best)
	}
	return out
}

// drawGroup returns the index of a group in proportion to the weights, given a random
// number of [0, 1). It is one of the failure domain if that has any.
func (p *pools) drawGroup(random float64, domain string) int {
	from, to := 0, len(p.groups)
	if first := slices.IndexFunc(p.groups, func(g group) bool { return g.domain == domain }); first >= 0 {
		from = first
		to = from + p.groups[first].count
	}
	base := 0.0
	if from > 0 {
		base = p.groupSums[from-1]
	}
	i := sort.SearchFloat64s(p.groupSums[from:to], base+random*(p.groupSums[to-1]-base))
	return min(from+i, to-1)
}

func (p *placers) record(service, group string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits[service+"/"+group] = groupWait{wait, time.Now()}
	mean, known := p.mean[service]
	if !known {
		mean = wait.Seconds()
	}
	p.mean[service] = mean + (wait.Seconds()-mean)/waitSamples
}

// waitOf returns the expected wait in a group: the one that was stated last, which
// approaches the mean of all groups with its age.
func (p *placers) waitOf(service, group string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean := p.mean[service]
	w, known := p.waits[service+"/"+group]
	age := time.Since(w.at)
	if known && age > groupWaitTTL {
		delete(p.waits, service+"/"+group)
	}
	if !known || age > groupWaitTTL {
		return time.Duration(mean * float64(time.Second))
	}
	wait := mean + (w.wait.Seconds()-mean)*math.Exp(-age.Seconds()/waitMemory.Seconds())
	return time.Duration(wait * float64(time.Second))
}

// reportEnd reports the end of a placed request to its placer, without blocking.
func (g *GlobalBalancer) reportEnd(e End) {
	if e.Placer == g.self {
		g.EndPlacement(e.Replica)
		return
	}
	select {
	case g.placers.ends <- e:
	default:
	}
}

// RunEnds sends the reports of ends until ctx ends.
func (g *GlobalBalancer) RunEnds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-g.placers.ends:
			if !g.owners.Available(e.Placer) {
				continue
			}
			callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
			err := g.peers.EndPlacement(callCtx, e)
			cancel()
			if err != nil && ctx.Err() == nil && !errors.Is(err, ErrNoReplica) {
				g.owners.MarkUnreachable(e.Placer, err)
			}
		}
	}
}
