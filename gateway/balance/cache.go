package balance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

// sightingsKept bounds the replicas remembered for one part.
const sightingsKept = 4

// cachedLocked returns how many tokens of a prompt are expected to be in a
// replica's cache: parts count only if all parts before them do.
func (b *Balancer) cachedLocked(q Query, r *replica.Replica, ready []*replica.Replica, now time.Time) int {
	sum := 0
	for _, p := range q.Parts {
		if !b.sawLocked(p.ID, r.ID, now) {
			break
		}
		sum += p.Tokens
	}
	if sum > 0 || len(q.Parts) == 0 {
		return sum
	}
	share := 0.0
	switch first, second := homes(q.Parts[len(q.Parts)-1].ID, ready); r {
	case first:
		share = homeShare
	case second:
		share = secondHomeShare
	}
	return int(share * float64(q.shared()))
}

func (b *Balancer) sawLocked(part uint64, id string, now time.Time) bool {
	seen, ok := b.parts.Peek(part)
	if !ok {
		return false
	}
	for _, s := range seen {
		if s.replica == id {
			return now.Sub(s.at) < cacheMemory
		}
	}
	return false
}

// noteLocked remembers that a replica read the parts of a prompt.
func (b *Balancer) noteLocked(parts []Part, id string, now time.Time) {
	for _, p := range parts {
		old, _ := b.parts.Get(p.ID)
		next := append(make([]sighting, 0, sightingsKept), sighting{id, now})
		for _, s := range old {
			if s.replica != id && len(next) < sightingsKept {
				next = append(next, s)
			}
		}
		b.parts.Add(p.ID, next)
	}
}

// homes returns the two replicas that all entries agree on for a part, by the
// highest hashes of both. The second takes what the first has no room for.
func homes(part uint64, ready []*replica.Replica) (first, second *replica.Replica) {
	highest, next := uint64(0), uint64(0)
	for _, r := range ready {
		h := pairHash(part, r.ID)
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

func pairHash(part uint64, id string) uint64 {
	buf := make([]byte, 8, 64)
	binary.LittleEndian.PutUint64(buf, part)
	return xxhash.Sum64(append(buf, id...))
}
