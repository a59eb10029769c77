package balance

import (
	"maps"
	"math"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
)

// A replica with a limit runs few requests, so by its load alone each request
// would be sent there, and most of them would be denied a permit. It is therefore
// treated as loaded like the least loaded of the others, so that it gets the
// requests whose prompt it has cached first.

// admittable holds the replicas that a request can be sent to.
type admittable struct {
	replicas []*replica.Replica
	// limited holds the IDs of those that have a limit.
	limited map[string]bool
	// blocked holds why the other replicas that accept new work don't accept the
	// request now.
	blocked []throttle.Block
}

// err returns the error if none of the replicas can be used.
func (a admittable) err() error {
	if len(a.blocked) == 0 {
		return ErrNoReplica
	}
	err := &BlockedError{Expected: a.blocked[0].Expected}
	for _, b := range a.blocked {
		if b.Expected.Before(err.Expected) {
			err.Expected = b.Expected
		}
		if b.Paused {
			err.Paused++
		} else {
			err.Limited++
		}
	}
	return err
}

// admittable returns the replicas that a request can be sent to, by its earlier
// attempts and by the limits of replicas.
func (b *Balancer) admittable(q Query, ready []*replica.Replica) admittable {
	var a admittable
	for _, r := range ready {
		if q.Exclude[r.ID] {
			continue
		}
		if b.opt.Throttle != nil {
			if block := b.opt.Throttle.BlockOf(r, q.Class); !block.Until.IsZero() {
				a.blocked = append(a.blocked, block)
				continue
			}
			if b.opt.Throttle.Limited(r) {
				if a.limited == nil {
					a.limited = make(map[string]bool)
				}
				a.limited[r.ID] = true
			}
		}
		a.replicas = append(a.replicas, r)
	}
	return a
}

// excludeBlocked returns the query with the replicas excluded that don't accept
// the request from this entry now, which other entries don't know.
func (b *Balancer) excludeBlocked(q Query) Query {
	if b.opt.Throttle == nil {
		return q
	}
	exclude := maps.Clone(q.Exclude)
	for _, r := range b.set.Current().Ready[q.Service] {
		if !b.opt.Throttle.BlockOf(r, q.Class).Until.IsZero() {
			if exclude == nil {
				exclude = make(map[string]bool)
			}
			exclude[r.ID] = true
		}
	}
	q.Exclude = exclude
	return q
}

// leastLoadLocked returns the least load of a replica without a limit.
func (b *Balancer) leastLoadLocked(a admittable) expectedLoad {
	least := expectedLoad{math.Inf(1), math.Inf(1)}
	if len(a.limited) == 0 || len(a.limited) == len(a.replicas) {
		return expectedLoad{}
	}
	for _, r := range a.replicas {
		if a.limited[r.ID] {
			continue
		}
		own, peers := b.stateLocked(r).ownLoad, b.peerLoads[r.ID]
		least.inFlight = min(least.inFlight, float64(own.InFlight)+peers.inFlight)
		least.tokens = min(least.tokens, float64(own.Tokens)+peers.tokens)
	}
	return least
}

// limitedCostLocked returns what the least load of the others would add to the
// cost of a choice.
func (b *Balancer) limitedCostLocked(q Query, c Choice, least expectedLoad) float64 {
	inFlight := max(0, least.inFlight-float64(c.InFlight))
	if q.Slots == 0 {
		return inFlight / float64(max(1, c.Replica.Slots))
	}
	tokens := max(0, least.tokens-float64(c.QueuedTokens))
	return tokens/b.prefillRateLocked(q.Service).perSecond + inFlight*delayPerRunning.Seconds()
}
