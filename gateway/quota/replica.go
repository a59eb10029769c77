package quota

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// ownerRanks is the number of members that grant units of a replicated limit.
	ownerRanks = 2
	// exchangePeriod is the time between two exchanges of a limit's level by its
	// two owners, and urgentExchangePeriod that while the second one grants units
	// or doesn't know the level. Until an exchange, both may grant the same units.
	exchangePeriod       = 200 * time.Millisecond
	urgentExchangePeriod = 50 * time.Millisecond
	// idleExchangePeriod is exchangePeriod while no units are granted. It keeps the
	// contact, and is below contactTimeout.
	idleExchangePeriod = 450 * time.Millisecond
	// lostExchangePeriod is exchangePeriod while the other owner doesn't answer.
	lostExchangePeriod = 400 * time.Millisecond
	// contactTimeout is the time without an exchange after which an owner grants
	// only its part of the limit.
	contactTimeout = 700 * time.Millisecond
	// askedPeriod is the time constant of the average of what an owner is asked
	// for. It follows the entries that turn to the other owner within a second.
	askedPeriod = time.Second
	// lostFill caps the fill level with which the second owner goes on alone, and
	// fullLostFill that at a demand of fullDemand. The first may be alive and grant the
	// same units. Of a customer that exceeds its limit, what is left is reserved for
	// requests that know the first: with 0.6, 1.015 of what the tolerance allows was
	// granted under a partition.
	lostFill, fullLostFill = 0.6, 0.1
	// calmDemand is the demand, as a fraction of the limit, up to which an owner
	// that is alone grants all that it is asked for: both owners together stay
	// below the limit. From fullDemand on it grants at least minLostPart.
	calmDemand, fullDemand, minLostPart = 0.6, 1.2, 0.25
	// hiddenDemand corrects the fraction of the demand that an owner is asked for of a
	// customer that exceeds its limit: the entries refuse a part of the requests without a
	// call, so that the demand at the last contact was too low. Under a partition, both owners
	// together granted 1.6 of the limit. An owner that is asked for aloneFraction is alone.
	hiddenDemand, aloneFraction = 0.95, 0.95
	// surge is the growth of the demand from which on an owner that is alone can't
	// tell the part of the entries that ask it, and grants surgePart.
	surge, surgePart = 1.3, 0.5
	// assumedQuality is that of a level that an owner assumed, knownQuality that of
	// one that covers the demand of at least demandWarmup.
	assumedQuality, knownQuality = 1, 2
	// restartFill is initialFill after a restart of all entries. Three of them within
	// four seconds then use at most 0.984 of what the tolerance allows; 0.2 refused 3 to
	// 5 % of the requests of customers at half of their limits.
	restartFill = 0.3
	// startPart is the part of what accrues while all entries start that is not left
	// to their own parts, and maxStart the longest such time.
	startPart, maxStart = 0.5, 2 * time.Second
	// unsettledPart is the part of a limit that an owner grants until the members that
	// started together are known. Until then a few of them may be owners at once.
	unsettledPart = 0.5
	// assumeAfter is the time after which an owner that can't ask the other one for
	// the level assumes it.
	assumeAfter = 600 * time.Millisecond
	// maxDebt is the longest time, in seconds, for which a level from another owner can
	// keep this one from granting units.
	maxDebt = 10.0
	// maxIncluded bounds the processes whose granted units are remembered.
	maxIncluded = 16
)

// replica is the part of an owner in a replicated limit. The units are in the
// bucket customer.global.
type replica struct {
	// rank is that of this entry by hash: 1, 2, or 0 if it doesn't own the limit.
	// partner is the other owner, empty if there is none.
	rank    int
	partner string
	// rankedAt is the time since which this entry is an owner.
	rankedAt time.Time
	// quality is that of the level, 0 while it is unknown, and knownSince the time
	// from which on this process or its partners granted all units.
	quality    int
	knownSince time.Time
	// perSecond and burst are those of the bucket without the reduction of part.
	perSecond, burst float64
	// granted is the number of units that this process granted, and unsent the part
	// of it since the last exchange.
	granted, unsent float64
	// included holds, by process, the units that other owners granted and that the
	// bucket takes into account.
	included map[uint64]float64
	// asked averages the units that this entry is asked for over askedPeriod, and
	// askedSlowly over a longer time.
	asked, askedSlowly rate.EWMA
	// order decides about requests of a customer that exceeds its limit.
	order order
	// total is the number of units per second that both owners were asked for at
	// the last exchange.
	total float64
	// contactAt is the time of the last exchange, triedAt that of the last attempt.
	contactAt, triedAt time.Time
	// lost is set while there is no contact.
	lost bool
	// partnerProcess is the process of the partner in the last exchange.
	partnerProcess uint64
}

// Replicate makes limits replicated: the first two members by hash grant units. roleOf
// returns the rank of this entry for a customer's limit, 0 if it is no owner, and the
// other owner. It must be called before any other method.
func (l *Limiter) Replicate(r Replication, roleOf func(customer string) (int, string)) {
	l.process, l.replicated, l.settled, l.roleOf, l.ordered = r.Process, r.Active, r.Settled, roleOf, r.Ordered
}

func (l *Limiter) isReplicatedLocked() bool {
	return l.replicated != nil && l.peersSet && l.replicated()
}

// isOrdered reports whether limits are ordered. Deployments that are too small to
// replicate limits do so only until their members are settled.
func (l *Limiter) isOrdered() bool { return l.ordered && l.settled() }

// resizeReplicaLocked applies this entry's role and the size of a limit.
func (l *Limiter) resizeReplicaLocked(name string, cu *customer, others, perSecond, burst float64, now time.Time) {
	rp := &cu.replica
	rank, partner := l.roleOf(name)
	if rank > 0 && rp.rank == 0 {
		rp.quality, rp.rankedAt = 0, now
		cu.global = rate.PartlyFilled(now, 0)
		cu.initialFillMembers = 0
		rp.included = make(map[uint64]float64)
	}
	if partner != rp.partner {
		rp.contactAt, rp.triedAt, rp.lost = now, time.Time{}, false
	}
	rp.rank, rp.partner = rank, partner
	if rank == 0 {
		rp.quality, cu.owned = 0, false
		return
	}
	reached := min(1, float64(l.reached)/float64(l.members))
	rp.perSecond, rp.burst = perSecond*reached, burst*reached
	if !l.settled() {
		rp.perSecond *= unsettledPart
	}
	if rp.total == 0 {
		rp.total = cu.demand.Rate(now) + others
	}
	cu.sizeReplica(now)
	if rp.quality == assumedQuality {
		if l.reached*2 > l.members {
			// Nobody granted what accrued since all entries started, except for their
			// own parts of it.
			fill := restartFill*burst + startPart*perSecond*min(maxStart, now.Sub(cu.since)).Seconds()
			if l.firstStart {
				fill = initialFill * burst
			}
			cu.addInitialFill(fill, others, perSecond, reached, now)
		}
		if now.Sub(rp.knownSince) > demandWarmup {
			rp.quality = knownQuality
		}
	}
	cu.owned = rank == 1 && rp.quality > 0
}

// sizeReplica applies the part of the limit that this entry grants now.
func (cu *customer) sizeReplica(now time.Time) {
	rp := &cu.replica
	if !rp.lost && rp.partner != "" && now.Sub(rp.contactAt) > contactTimeout {
		cu.loseContact(now)
	}
	cu.global.Resize(now, rp.perSecond*rp.part(now), rp.burst)
}

func (cu *customer) loseContact(now time.Time) {
	rp := &cu.replica
	rp.lost = true
	if rp.rank > 1 {
		cu.global.CapFill(now, lostFill-(lostFill-fullLostFill)*rp.excess())
	}
}

// excess returns where the demand is between calmDemand, 0, and fullDemand, 1.
func (rp *replica) excess() float64 {
	if rp.perSecond <= 0 {
		return 0
	}
	return min(1, max(0, (rp.total/rp.perSecond-calmDemand)/(fullDemand-calmDemand)))
}

// part returns the fraction of the limit that this entry grants. Without contact to
// the other owner, which may be dead or grant units to other entries, it is that of
// the demand that this entry is asked for.
func (rp *replica) part(now time.Time) float64 {
	if !rp.lost || rp.total <= 0 || rp.perSecond <= 0 {
		return 1
	}
	least := 1 - (1-minLostPart)*rp.excess()
	asked := rp.asked.Rate(now)
	if asked > surge*rp.total && asked > calmDemand*rp.perSecond {
		return surgePart
	}
	part := asked / rp.total
	if part < aloneFraction {
		part *= 1 - (1-hiddenDemand)*rp.excess()
	}
	return min(1, max(least, part))
}

// assumeLocked assumes a level that no other owner knows. Too few reachable members
// may be cut off from those that know it.
func (l *Limiter) assumeLocked(cu *customer, now time.Time) {
	rp := &cu.replica
	if l.reached*2 <= l.members {
		return
	}
	others := 0.0
	for _, demand := range l.peers {
		others += demand[cu.limit.Name]
	}
	rp.quality, rp.knownSince = assumedQuality, now
	cu.global.SetLevel(now, rp.burst*l.takeoverFillLocked(cu, others, rp.perSecond, now))
	l.resizeLocked(cu.limit.Name, cu, now)
}

// ReserveReplica reserves units of a limit that this entry owns as the first or the
// second member by hash. The second result is false if it doesn't, or doesn't know
// what is left of the limit.
func (l *Limiter) ReserveReplica(name string, r peer.LimitRequest) (rate.Reservation, bool) {
	if l.replicated != nil && !l.replicated() && l.knowsPeers() {
		return l.ReserveOwned(name, r.Units, r.Within) // peers still count more members
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || !l.isReplicatedLocked() {
		return rate.Reservation{}, false
	}
	if cu.limit.PerSecond <= 0 {
		return rate.Reservation{OK: true}, true
	}
	rp, now := &cu.replica, l.now()
	rp.ask(r.Units, now)
	if rp.rank == 0 || rp.quality == 0 {
		return rate.Reservation{}, false
	}
	return cu.grantReplica(r, l.isOrdered(), now), true
}

func (l *Limiter) knowsPeers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peersSet
}

func newReplica() replica { return replica{asked: rate.EWMA{TimeConstant: askedPeriod}} }

func (rp *replica) ask(units float64, now time.Time) {
	rp.asked.Add(now, units)
	rp.askedSlowly.Add(now, units)
}

func (cu *customer) grantReplica(r peer.LimitRequest, ordered bool, now time.Time) rate.Reservation {
	cu.sizeReplica(now)
	rp := &cu.replica
	var out rate.Reservation
	if ordered {
		d := rp.order.decide(now, bucketState{
			level: cu.global.Level(now), perSecond: rp.perSecond * rp.part(now), burst: rp.burst,
			exceeded: rp.askedSlowly.Rate(now) > cu.limit.PerSecond,
		}, r)
		if out = (rate.Reservation{OK: d.ok, Delay: d.wait}); d.ok {
			cu.global.Settle(now, 0, r.Units)
		}
	} else {
		out = cu.global.ReserveWithin(now, r.Units, r.Within)
		out.Delay = min(out.Delay, maxRetryAfter)
	}
	if out.OK {
		rp.granted += r.Units
		rp.unsent += r.Units
	}
	return out
}
