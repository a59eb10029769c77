package balance

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

// maxPartLocations is the maximum number of replicas recorded for one prompt
// part.
const maxPartLocations = 4

// cachedLocked returns how many prompt tokens are expected to be in a replica's
// cache. A part counts only if all parts before it are cached, because the
// cache matches prefixes.
func (b *Balancer) cachedLocked(q Query, r *replica.Replica, ready []*replica.Replica, speeds serviceSpeeds, now time.Time) int {
	return b.cachedWithHomesLocked(q, r, now, func() (first, second *replica.Replica) {
		return speeds.homes.of(q.Parts[len(q.Parts)-1].ID, ready, speeds)
	})
}

// homes holds the home replicas of one prompt part, which are the same for all candidates
// of a choice. Finding them for each candidate anew takes time that grows with the square
// of the number of replicas.
type homes struct {
	part          uint64
	ready         []*replica.Replica
	first, second *replica.Replica
}

func (h *homes) of(part uint64, ready []*replica.Replica, speeds serviceSpeeds) (first, second *replica.Replica) {
	if h == nil || len(ready) == 0 {
		return homeReplicas(part, ready, speeds)
	}
	if len(h.ready) != len(ready) || &h.ready[0] != &ready[0] || h.part != part {
		h.part, h.ready = part, ready
		h.first, h.second = homeReplicas(part, ready, speeds)
	}
	return h.first, h.second
}

// cachedWithHomesLocked is cachedLocked with the home replicas of the last part.
func (b *Balancer) cachedWithHomesLocked(q Query, r *replica.Replica, now time.Time, homes func() (first, second *replica.Replica)) int {
	sum := 0
	for _, p := range q.Parts {
		if !b.isCachedLocked(p.ID, r.ID, now) {
			break
		}
		sum += p.Tokens
	}
	if sum > 0 || len(q.Parts) == 0 {
		return sum
	}
	if q.Trial {
		return int(trialCachedFraction * float64(q.sharedTokens()))
	}
	fraction := 0.0
	switch first, second := homes(); r {
	case first:
		fraction = homeCachedFraction
	case second:
		fraction = secondHomeCachedFraction
	}
	return int(fraction * float64(q.sharedTokens()))
}

func (b *Balancer) isCachedLocked(part uint64, id string, now time.Time) bool {
	locations, ok := b.partLocations.Peek(part)
	if !ok {
		return false
	}
	for _, l := range locations {
		if l.replica == id {
			return now.Sub(l.at) < cacheTTL
		}
	}
	return false
}

// recordPartsLocked records that a replica processes the shared parts of a
// prompt.
func (b *Balancer) recordPartsLocked(parts []Part, id string, now time.Time) {
	for _, p := range parts {
		old, _ := b.partLocations.Get(p.ID)
		next := append(make([]partLocation, 0, maxPartLocations), partLocation{id, now})
		for _, l := range old {
			if l.replica != id && len(next) < maxPartLocations {
				next = append(next, l)
			}
		}
		b.partLocations.Add(p.ID, next)
	}
}

// homeReplicas returns the two home replicas of a prompt part by rendezvous
// hashing, so that all entries get the same ones. The second takes the requests
// for which the first has no capacity. If speeds are relative to the mean, replicas
// are the home of parts in proportion to their share of the requests.
func homeReplicas(part uint64, ready []*replica.Replica, speeds serviceSpeeds) (first, second *replica.Replica) {
	highest, next := 0.0, 0.0
	for _, r := range ready {
		h := float64(pairHash(part, r.ID)) / (1 << 64)
		if speeds.relative {
			h = -speeds.homeWeight(r) / math.Log(max(h, math.SmallestNonzeroFloat64))
		}
		switch {
		case first == nil || h > highest:
			second, next = first, highest
			first, highest = r, h
		case second == nil || h > next:
			second, next = r, h
		}
	}
	return first, second
}

// pairHash returns the rendezvous weight of a replica for a prompt part.
func pairHash(part uint64, id string) uint64 {
	buf := make([]byte, 8, 64)
	binary.LittleEndian.PutUint64(buf, part)
	return xxhash.Sum64(append(buf, id...))
}
