package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// A few prompts may be so long that their prefill takes most of the latency
// objective of the other requests. Avoiding busy replicas isn't enough, because
// an entry has no report yet of what other entries sent most recently. The
// replicas of such a service are split: long prompts go to a subset that all
// entries agree on, and other prompts avoid that subset unless the rest is
// full.

const (
	// longPromptFraction is the fraction of a service's minimum latency
	// objective above which the prefill time of a prompt makes it long.
	longPromptFraction = 0.3
	// longReplicasScale is the ratio of the fraction of the replicas that long
	// prompts get to their fraction of the prefill load. Long prompts wait for
	// each other on those replicas, which costs less than the delay that they
	// would cause to other prompts.
	longReplicasScale = 1.2
	// maxLongFraction is the largest fraction of the replicas that long prompts
	// get.
	maxLongFraction = 0.6
	// minSplitReplicas is the number of ready replicas from which a service is
	// split.
	minSplitReplicas = 3
	// misplacedLongCost is the cost of a long prompt on a replica outside the
	// subset, relative to its prefill time: the delay that it causes to the
	// prompts there.
	misplacedLongCost = 1.5
	// misplacedShortCost is the cost of a short prompt on a replica of the
	// subset, relative to the minimum latency objective: its expected wait
	// there.
	misplacedShortCost = 0.35
	// speedStepFactor is the factor between two speeds in the order of the replicas
	// for long prompts. The estimates of two entries differ by a few percent.
	speedStepFactor = 1.4
)

// prefillMix measures the prefill load of a service's long prompts and of all
// its prompts.
type prefillMix struct {
	long, all rate.EWMA
}

// PrefillLoad returns the prefill load that this entry puts on engines, by
// service.
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

// thousandths rounds to three decimals, for state updates and log lines.
func thousandths(v float64) float64 { return math.Round(v*1000) / 1000 }

// longLoadFractionLocked returns the fraction of a service's prefill load that
// is due to long prompts. It sums over all entries, because each of many
// entries receives too few long prompts for an estimate of its own.
func (b *Balancer) longLoadFractionLocked(service string, now time.Time) float64 {
	m, peers := b.mixLocked(service), b.peerPrefill[service]
	all := m.all.Rate(now) + peers.All
	if all <= 0 {
		return 0
	}
	return (m.long.Rate(now) + peers.Long) / all
}

// isLong reports whether a prompt with that many uncached tokens is long.
func (b *Balancer) isLong(q Query, tokens int) bool {
	if q.LatencyObjective <= 0 {
		return false
	}
	return float64(tokens)/b.prefillRateLocked(q.Service).perSecond > longPromptFraction*q.LatencyObjective.Seconds()
}

func (b *Balancer) mixLocked(service string) *prefillMix {
	m := b.mixes[service]
	if m == nil {
		now := time.Now()
		m = &prefillMix{long: rate.EWMA{At: now}, all: rate.EWMA{At: now}}
		b.mixes[service] = m
	}
	return m
}

// longPromptReplicas returns the IDs of the replicas for long prompts, or nil
// if the service isn't split.
func (b *Balancer) longPromptReplicas(q Query, ready []*replica.Replica, speeds serviceSpeeds, now time.Time) map[string]bool {
	fraction := b.longLoadFractionLocked(q.Service, now)
	if q.Slots == 0 || q.LatencyObjective <= 0 || len(ready) < minSplitReplicas || fraction <= 0 {
		return nil
	}
	type ranked struct {
		r    *replica.Replica
		step float64
		hash uint64
	}
	order := make([]ranked, len(ready))
	for i, r := range ready {
		order[i] = ranked{r: r, hash: xxhash.Sum64String(r.ID)}
		if speeds.relative {
			order[i].step = speedStep(speeds.of(r))
		}
	}
	slices.SortFunc(order, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(y.step, x.step), cmp.Compare(x.hash, y.hash))
	})
	capacity := func(r *replica.Replica) float64 {
		if speeds.relative {
			return speeds.of(r).Prefill
		}
		return 1
	}
	left := 0.0
	for _, r := range ready {
		left += capacity(r)
	}
	left *= min(maxLongFraction, longReplicasScale*fraction)
	out := make(map[string]bool)
	for _, o := range order {
		// The last replica belongs to the side that needs more of it.
		if left < capacity(o.r)/2 {
			break
		}
		left -= capacity(o.r)
		out[o.r.ID] = true
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// speedStep rounds the speed of a replica, so that all entries get the same order.
func speedStep(e speed.Estimate) float64 {
	return math.Round(math.Log(e.Prefill) / math.Log(speedStepFactor))
}

// misplacementCost returns the cost in seconds of a prompt on the wrong side of
// the split.
func (b *Balancer) misplacementCost(q Query, tokens int, r *replica.Replica, long map[string]bool, speeds serviceSpeeds) float64 {
	if long == nil {
		return 0
	}
	isLong := b.isLong(q, tokens)
	switch {
	case isLong && !long[r.ID]:
		return misplacedLongCost * float64(tokens) / b.prefillRateLocked(q.Service).perSecond
	case !isLong && long[r.ID]:
		if speeds.relative {
			// The subset holds the fast replicas. Without them the others ran out of
			// slots, and on them the wait is short.
			return 0
		}
		return misplacedShortCost * q.LatencyObjective.Seconds()
	default:
		return 0
	}
}
