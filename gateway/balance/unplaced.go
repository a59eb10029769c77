package balance

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

// The placers of groups don't see requests that entries sent without them, such as all of
// those before speeds were known to be uneven. Each entry therefore states with each call
// how many of these it has in progress on the replicas of the group, if there are any. The
// placer takes the entries that called it lately as a sample of all.

const (
	// unplacedMemory is the time constant of the sample. The hardest known load has some
	// 10 calls a second for each group.
	unplacedMemory = time.Second
	// unplacedPrior is the number of calls without any such request that the sample is
	// assumed to contain at first, because the first calls alone say little.
	unplacedPrior = 3.0
	// maxUnplaced bounds the requests on a replica that one call states.
	maxUnplaced = 64
)

// unplacedSample holds, for a replica, the decaying number of calls to its placer, and
// that of the requests that these stated.
type unplacedSample struct {
	calls, requests float64
	at              time.Time
}

func (s unplacedSample) decayed(now time.Time) unplacedSample {
	factor := math.Exp(-now.Sub(s.at).Seconds() / unplacedMemory.Seconds())
	return unplacedSample{calls: s.calls * factor, requests: s.requests * factor, at: now}
}

// unplacedOnLocked returns this entry's requests in progress on replicas that no placer of
// a group placed, by replica ID, or nil if there are none.
func (b *Balancer) unplacedOnLocked(replicas []*replica.Replica) map[string]int {
	var out map[string]int
	for _, r := range replicas {
		if n := b.stateLocked(r).unplaced; n > 0 {
			if out == nil {
				out = make(map[string]int)
			}
			out[r.ID] = n
		}
	}
	return out
}

// sampleUnplacedLocked records what a call stated of the replicas of its group.
func (b *Balancer) sampleUnplacedLocked(q Query, replicas []*replica.Replica, now time.Time) {
	for _, r := range replicas {
		s, n := b.unplaced[r.ID], min(max(0, q.Unplaced[r.ID]), maxUnplaced)
		if n == 0 && s.requests == 0 {
			continue
		}
		s = s.decayed(now)
		s.calls, s.requests = s.calls+1, s.requests+float64(n)
		b.unplaced[r.ID] = s
	}
}

// unplacedLocked returns the estimated number of requests of all entries on a replica that
// no placer of a group placed.
func (b *Balancer) unplacedLocked(id string, now time.Time) float64 {
	s, found := b.unplaced[id]
	if !found {
		return 0
	}
	s = s.decayed(now)
	return float64(max(1, b.members)) * s.requests / (s.calls + unplacedPrior)
}

// pruneUnplacedLocked drops samples that say nothing any more.
func (b *Balancer) pruneUnplacedLocked(now time.Time) {
	for id, s := range b.unplaced {
		if now.Sub(s.at) > placementTTL {
			delete(b.unplaced, id)
		}
	}
}
