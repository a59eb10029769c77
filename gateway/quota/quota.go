package quota

import (
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// Tolerance bounds by how much the requests of a customer may exceed its limit
// over all entries, in any window of time: a fraction of the limit plus a
// number of units. Each entry sees the demand of the others with a delay and
// therefore uses part of the tolerance, to avoid refusing requests that are
// within the limit.
type Tolerance struct {
	Fraction float64
	Units    float64
}

const (
	// usedToleranceFraction is the fraction of the tolerance that is added to
	// the limit. The rest covers demand that moves between entries faster than
	// their reports propagate, and entries that start with a full bucket.
	usedToleranceFraction = 0.4
	// initialFill is the fraction of the burst with which the buckets of new
	// processes start, added up over all entries. Full buckets would hand out
	// the burst again at each restart of all entries.
	initialFill = 0.2
	// maxTakeoverFill is the fill level that a new owner assumes for a limit
	// that another entry owned before, if the customer had no demand in the
	// last seconds. With recent demand it assumes less.
	maxTakeoverFill = 0.8
	// minFallbackFraction and maxFallbackFraction bound the fraction of its
	// share that an entry hands out while peers are reachable but the owner
	// doesn't answer it. The owner hands out the global limit to the entries
	// that reach it, and the tolerance leaves little room for more.
	minFallbackFraction, maxFallbackFraction = 0.03, 0.3
	// fallbackSlope is the decrease of that fraction per unit of the customer's
	// demand, which is measured as a fraction of its limit. A customer far
	// below its limit can't exceed it, so entries may hand out more of their
	// shares.
	fallbackSlope = 1.5
	// demandWarmup is the time after a customer first appears in which its
	// measured demand is not yet representative: two time constants of the
	// average.
	demandWarmup = 10 * time.Second
	// assumedMembers is the number of entries that is assumed until the first
	// call of SetPeers, shortly after the start. The largest deployments have
	// hundreds of entries, which may all start at once.
	assumedMembers = 100
	// peerDemandLag is the mean age of the demand that peers reported. It adds
	// up from half a period until the peer reports, half a period of
	// propagation, and half a period until the report is used here.
	peerDemandLag = 400 * time.Millisecond
	// maxDemandReports bounds the own demand reports that an entry retains.
	// They cover several times peerDemandLag.
	maxDemandReports = 8
	// maxRetryAfter bounds the delay that is returned for a refused request.
	maxRetryAfter = 5 * time.Second
)

// Limiter enforces customers' limits at one entry: with its local share of each
// limit, and with the global limit where this entry is the owner. It is safe
// for concurrent use.
type Limiter struct {
	now       func() time.Time
	tolerance Tolerance
	// ownsLimit reports whether this entry owns a customer's limit. If it is
	// nil, this entry owns none.
	ownsLimit func(customer string) bool
	// replicated, settled, roleOf and process are set by Replicate. process identifies
	// this process among those that the entry has run.
	replicated func() bool
	settled    func() bool
	roleOf     func(customer string) (int, string)
	process    uint64
	// ordered is that of Replication.
	ordered bool

	mu        sync.Mutex
	customers map[string]*customer
	members   int
	// reached is the number of members, this entry included, that reach the owners
	// of limits as this entry sees it.
	reached int
	// peersSet is set by the first SetPeers.
	peersSet bool
	// firstStart is set if this process was started before the members were settled:
	// some of them may then have become owners one after the other.
	firstStart bool
	// peers holds the demand of each peer by customer, in units per second.
	peers map[string]map[string]float64
}

type customer struct {
	limit config.Customer
	// since is the time at which the customer first appeared in the
	// configuration of this process.
	since time.Time
	// local holds this entry's local share of the limit.
	local  rate.Bucket
	demand rate.EWMA
	// global holds the units of the global limit, for all entries, while this
	// entry owns the limit. owned is set while it does.
	global rate.Bucket
	owned  bool
	// replica is used instead of owned while limits are replicated.
	replica replica
	// initialFillMembers is the fraction of the members whose share of the
	// initial fill this process has added to global since it started.
	initialFillMembers float64
	// reports holds the demands last reported to the peers, newest last.
	reports []demandReport
}

// demandReport is the demand of a customer that this entry reported at a time.
type demandReport struct {
	at        time.Time
	perSecond float64
}

// reportedDemand returns the demand in the latest report at or before a time,
// or in the oldest report if all are later. All entries divide a limit by
// demands of the same time, so that demand that grows everywhere doesn't raise
// the sum of the shares.
func (cu *customer) reportedDemand(at time.Time) float64 {
	for i := len(cu.reports) - 1; i > 0; i-- {
		if !cu.reports[i].at.After(at) {
			return cu.reports[i].perSecond
		}
	}
	if len(cu.reports) == 0 {
		return 0
	}
	return cu.reports[0].perSecond
}

// NewLimiter returns a Limiter without customers.
func NewLimiter(t Tolerance) *Limiter {
	return &Limiter{now: time.Now, tolerance: t, customers: make(map[string]*customer), members: assumedMembers, reached: 1}
}

// SetConfiguration applies the customers' limits of a configuration.
func (l *Limiter) SetConfiguration(c *config.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for name := range l.customers {
		if c.Customer(name) == nil {
			delete(l.customers, name)
		}
	}
	for _, limit := range c.Customers {
		cu := l.customers[limit.Name]
		if cu == nil {
			cu = &customer{since: now, local: rate.PartlyFilled(now, initialFill), demand: rate.EWMA{At: now}, replica: newReplica()}
			l.customers[limit.Name] = cu
		}
		cu.limit = limit
		l.resizeLocked(limit.Name, cu, now)
	}
}

// SetPeers sets the number of members, the number of them that can reach each
// other, this entry included, and the demand that each peer reported, by peer and
// customer, and recomputes the shares of all limits.
func (l *Limiter) SetPeers(members, reached int, peers map[string]map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members, l.reached, l.peers, l.peersSet = max(1, members), max(1, reached), peers, true
	if l.settled != nil && !l.settled() {
		l.firstStart = true
	}
	now := l.now()
	for name, cu := range l.customers {
		l.resizeLocked(name, cu, now)
	}
}

// Demand returns the demand of customers at this entry, in units per second, to
// be reported to the peers, and records it as reported now.
func (l *Limiter) Demand() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := make(map[string]float64, len(l.customers))
	for name, cu := range l.customers {
		perSecond := cu.demand.Rate(now)
		cu.reports = append(cu.reports, demandReport{now, perSecond})
		if len(cu.reports) > maxDemandReports {
			cu.reports = cu.reports[1:]
		}
		if perSecond > 0 {
			out[name] = perSecond
		}
	}
	return out
}

// Take takes units from this entry's local share of a limit. It returns 0 if it
// took them, or the time until they are available.
func (l *Limiter) Take(name string, units float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || cu.limit.PerSecond <= 0 {
		return 0
	}
	return min(cu.local.Take(l.now(), units), maxRetryAfter)
}

// Return puts back the units that a request took from the local share, because
// the request was not run.
func (l *Limiter) Return(name string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || cu.limit.PerSecond <= 0 {
		return
	}
	cu.local.Settle(l.now(), units, 0)
}

// resizeLocked recomputes the local share and the global limit of a customer.
func (l *Limiter) resizeLocked(name string, cu *customer, now time.Time) {
	if cu.limit.PerSecond <= 0 {
		return
	}
	others := 0.0
	for _, demand := range l.peers {
		others += demand[name]
	}
	members := l.members
	if l.settled != nil && !l.settled() {
		members = max(members, assumedMembers)
	}
	share := rate.Share(cu.reportedDemand(now.Add(-peerDemandLag)), others, len(l.peers), members)
	perSecond := cu.limit.PerSecond * (1 + usedToleranceFraction*l.tolerance.Fraction)
	burst := cu.limit.Burst
	if cu.limit.CountTokens {
		burst += usedToleranceFraction * l.tolerance.Units
	}
	if l.ownsLimit != nil && len(l.peers) > 0 {
		share *= fallbackFraction(cu.expectedDemand(others, now) / perSecond)
	}
	cu.local.Resize(now, perSecond*share, burst*share)
	if l.isReplicatedLocked() {
		l.resizeReplicaLocked(name, cu, others, perSecond, burst, now)
		return
	}
	l.resizeGlobalLocked(name, cu, others, now, perSecond, burst)
}

// fallbackFraction returns the fraction of its share that an entry hands out
// while another member owns the limit. The parameter is the customer's demand
// as a fraction of the limit.
func fallbackFraction(demandFraction float64) float64 {
	return min(max(1-fallbackSlope*demandFraction, minFallbackFraction), maxFallbackFraction)
}

// expectedDemand estimates the current demand of a customer over all entries.
// The reports of the others are old, so they are scaled by the growth of this
// entry's own demand since they were made.
func (cu *customer) expectedDemand(others float64, now time.Time) float64 {
	own, reported := cu.demand.Rate(now), cu.reportedDemand(now.Add(-peerDemandLag))
	growth := 1.0
	if reported > 0 {
		growth = max(1, own/reported)
	}
	return own + others*growth
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

// SetOwnership sets the function that reports whether this entry owns a
// customer's limit. It must be called before any other method.
func (l *Limiter) SetOwnership(f func(customer string) bool) { l.ownsLimit = f }

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

// capLocalFill caps the fill level of the local share at that of a new process.
func (l *Limiter) capLocalFill(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cu := l.customers[name]; cu != nil {
		cu.local.CapFill(l.now(), initialFill)
	}
}

// RecordDemand adds units to the demand of a customer that has a limit. It
// reports whether the customer has one.
func (l *Limiter) RecordDemand(name string, units float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || cu.limit.PerSecond <= 0 {
		return false
	}
	cu.demand.Add(l.now(), units)
	return true
}

// Units returns the number of units that a request counts against a customer's
// limit. The number of tokens is used only if the request states it.
func Units(c *config.Customer, statesTokens bool, tokens int) float64 {
	switch {
	case !c.CountTokens:
		return 1
	case statesTokens:
		return float64(tokens)
	default:
		return c.DefaultTokens
	}
}
