package quota

import (
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
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
	// demandWarmup is the time after a customer first appears in which its
	// measured demand is not yet representative: two time constants of the
	// average.
	demandWarmup = 10 * time.Second
	// assumedMembers is the number of entries that is assumed until the first
	// call of SetPeers, shortly after the start. The largest deployments have
	// hundreds of entries, which may all start at once.
	assumedMembers = 100
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

// SetOwnership sets the function that reports whether this entry owns a
// customer's limit. It must be called before any other method.
func (l *Limiter) SetOwnership(f func(customer string) bool) { l.ownsLimit = f }

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
