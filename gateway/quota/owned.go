package quota

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// maxTakeoverFill is the fill level that a new owner assumes for a limit
// that another entry owned before, if the customer had no demand in the
// last seconds. With recent demand it assumes less.
const maxTakeoverFill = 0.8

// ReserveOwned reserves units of a limit that this entry owns, if they are
// available within maxDelay. The second result is false if this entry doesn't
// own the limit.
func (l *Limiter) ReserveOwned(name string, units float64, maxDelay time.Duration) (rate.Reservation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil {
		return rate.Reservation{}, false
	}
	if cu.limit.PerSecond <= 0 {
		return rate.Reservation{OK: true}, true
	}
	if !cu.owned {
		return rate.Reservation{}, false
	}
	if l.isReplicatedLocked() {
		cu.replica.ask(units, l.now())
		return cu.grantReplica(peer.LimitRequest{Units: units, Within: maxDelay, Urgency: peer.UnknownUrgency}, l.isOrdered(), l.now()), true
	}
	r := cu.global.ReserveWithin(l.now(), units, maxDelay)
	r.Delay = min(r.Delay, maxRetryAfter)
	return r, true
}

// resizeGlobalLocked resizes the bucket of the global limit. It leaves out the
// fraction that unreachable members hand out from their local shares.
func (l *Limiter) resizeGlobalLocked(name string, cu *customer, others float64, now time.Time, perSecond, burst float64) {
	owned := l.ownsLimit != nil && l.ownsLimit(name)
	if owned && !cu.owned {
		cu.global = rate.PartlyFilled(now, l.takeoverFillLocked(cu, others, perSecond, now))
		cu.initialFillMembers = 0
	}
	cu.owned = owned
	reached := min(1, float64(l.reached)/float64(l.members))
	cu.global.Resize(now, perSecond*reached, burst*reached)
	if owned && l.peersSet {
		cu.addInitialFill(initialFill*burst, others, perSecond, reached, now)
	}
}

// addInitialFill adds the part of the initial fill of members that were reached since
// the last call, if this process has just started. Of members that start together,
// each may hand out its share of it.
func (cu *customer) addInitialFill(fill, others, perSecond, reached float64, now time.Time) {
	if now.Sub(cu.since) > demandWarmup || reached <= cu.initialFillMembers {
		return
	}
	cu.global.AddTokens(now, fill*(reached-cu.initialFillMembers)*cu.headroom(others, perSecond, now))
	cu.initialFillMembers = reached
}

// headroom returns the fraction of a limit that recent demand leaves unused.
func (cu *customer) headroom(others, perSecond float64, now time.Time) float64 {
	if perSecond <= 0 {
		return 0
	}
	return max(0, 1-(cu.demand.Rate(now)+others)/perSecond)
}

// takeoverFillLocked returns the assumed fill level of a limit that another
// entry owned until now. The level is higher the lower the recent demand is. It
// is 0 for a process that reaches no peers, which may be partitioned from entries that
// still hand out the limit. It is also 0 for a process that has just started,
// which adds the initial fill as it reaches the members.
func (l *Limiter) takeoverFillLocked(cu *customer, others, perSecond float64, now time.Time) float64 {
	if l.reached <= 1 || now.Sub(cu.since) <= demandWarmup {
		return 0
	}
	return maxTakeoverFill * cu.headroom(others, perSecond, now)
}
