package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	meter "github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// The split answers loads where few prompts are so long that an engine reads
// them for most of the latency objective of the others. What other entries
// sent in the last moments is not known, so that avoiding busy replicas isn't
// enough: long prompts keep to a part of the replicas that all entries agree
// on, and the others keep away from that part unless the rest is full.

const (
	// longPart is the part of the tightest objective of a service beyond
	// which the time to read a prompt makes it long.
	longPart = 0.3
	// longShareScale scales the replicas for long prompts against their part
	// of the work. They wait for each other, which costs less than what they
	// cost the others.
	longShareScale = 1.2
	// mostLong is the largest part of the replicas that long prompts get.
	mostLong = 0.6
	// leastSplit is the least number of replicas that are divided.
	leastSplit = 3
	// strayLong is the cost of a long prompt on a replica that isn't meant for
	// them, as a part of its own time to be read: what others wait there.
	strayLong = 1.5
	// strayShort is the cost of another prompt on a replica for long ones, as
	// a part of the tightest objective: what it is likely to wait there.
	strayShort = 0.35
)

// mix measures how much of a service's work long prompts are.
type mix struct {
	long, all meter.EWMA
}

// PrefillLoad returns what this entry has engines read, by service.
func (b *Balancer) PrefillLoad() map[string]peer.PrefillLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := make(map[string]peer.PrefillLoad, len(b.mixes))
	for service, m := range b.mixes {
		out[service] = peer.PrefillLoad{All: thousandths(m.all.Rate(now)), Long: thousandths(m.long.Rate(now))}
	}
	return out
}

// thousandths rounds to three decimals, for digests and log lines.
func thousandths(v float64) float64 { return math.Round(v*1000) / 1000 }

// longShareLocked returns the part of a service's work that long prompts are,
// over all entries: one of many sees too few of them.
func (b *Balancer) longShareLocked(service string, now time.Time) float64 {
	m, others := b.mixLocked(service), b.reading[service]
	all := m.all.Rate(now) + others.All
	if all <= 0 {
		return 0
	}
	return (m.long.Rate(now) + others.Long) / all
}

// isLong says whether a prompt of so many tokens to be read is long.
func (b *Balancer) isLong(q Query, tokens int) bool {
	if q.LatencyObjective <= 0 {
		return false
	}
	return float64(tokens)/b.rateLocked(q.Service).perSecond > longPart*q.LatencyObjective.Seconds()
}

func (b *Balancer) mixLocked(service string) *mix {
	m := b.mixes[service]
	if m == nil {
		now := time.Now()
		m = &mix{long: meter.EWMA{At: now}, all: meter.EWMA{At: now}}
		b.mixes[service] = m
	}
	return m
}

// forLong returns the replicas that are meant for long prompts; nil where the
// service isn't divided.
func (b *Balancer) forLong(q Query, ready []*replica.Replica, now time.Time) map[string]bool {
	share := b.longShareLocked(q.Service, now)
	if q.Slots == 0 || q.LatencyObjective <= 0 || len(ready) < leastSplit || share <= 0 {
		return nil
	}
	n := int(math.Round(float64(len(ready)) * min(mostLong, longShareScale*share)))
	if n == 0 {
		return nil
	}
	order := slices.Clone(ready)
	slices.SortFunc(order, func(x, y *replica.Replica) int {
		return cmp.Compare(xxhash.Sum64String(x.ID), xxhash.Sum64String(y.ID))
	})
	out := make(map[string]bool, n)
	for _, r := range order[:n] {
		out[r.ID] = true
	}
	return out
}

// strayCost is the cost in seconds of a prompt on the wrong side of the split.
func (b *Balancer) strayCost(q Query, tokens int, id string, long map[string]bool) float64 {
	if long == nil {
		return 0
	}
	isLong := b.isLong(q, tokens)
	switch {
	case isLong && !long[id]:
		return strayLong * float64(tokens) / b.rateLocked(q.Service).perSecond
	case !isLong && long[id]:
		return strayShort * q.LatencyObjective.Seconds()
	default:
		return 0
	}
}
