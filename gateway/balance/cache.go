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
	last := q.Parts[len(q.Parts)-1]
	if home(last.ID, ready) != r {
		return 0
	}
	for _, p := range q.Parts {
		sum += p.Tokens
	}
	return int(homeShare * float64(sum))
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

// home returns the replica that all entries agree on for a part, by the
// highest hash of both.
func home(part uint64, ready []*replica.Replica) *replica.Replica {
	var best *replica.Replica
	highest := uint64(0)
	for _, r := range ready {
		if h := pairHash(part, r.ID); best == nil || h > highest {
			best, highest = r, h
		}
	}
	return best
}

func pairHash(part uint64, id string) uint64 {
	buf := make([]byte, 8, 64)
	binary.LittleEndian.PutUint64(buf, part)
	return xxhash.Sum64(append(buf, id...))
}
