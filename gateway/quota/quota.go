package quota

import (
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

// Tolerance is how far the requests of a customer may exceed its limit in any
// span of a length, over all entries: by a part of the limit, and by a number
// of units. Entries know each other's demand with a delay, so that without
// using some of it they would refuse what is within the limit.
type Tolerance struct {
	Part  float64
	Units float64
}

const (
	// toleranceUsed is the part of the tolerance that is handed out; the rest
	// is for demand that moves between entries faster than they tell each
	// other, and for entries that start with a full bucket.
	toleranceUsed = 0.4
	// firstFill is how full the buckets of new processes are, all of them
	// together. Full ones would hand the burst out again at each restart of all
	// entries.
	firstFill = 0.2
	// fullest is how full a bucket is taken to be at most that another entry
	// kept, for a customer that asked for nothing in the last seconds.
	fullest = 0.8
	// leastPart and mostPart bound how much of its part an entry hands out
	// while it hears the member that keeps the limit and can't ask it. The
	// keeper hands out the whole limit to those that reach it, and the
	// tolerance has room for little beside it.
	leastPart, mostPart = 0.03, 0.3
	// partSlope is how much of the part goes with each part of the limit that
	// the customer asks for: one far below its limit can't exceed it.
	partSlope = 1.5
	// knownAfter is how long a process must have known a customer for its
	// demand to be known: two time constants of its measure.
	knownAfter = 10 * time.Second
	// assumedMembers is how many entries there are believed to be until they
	// are known, a moment after the start. The largest deployments have
	// hundreds; all of their entries may start at once.
	assumedMembers = 100
	// peerLag is how old the demand is that peers told, on average: half a
	// period at its origin, half on the way, half here.
	peerLag = 400 * time.Millisecond
	// toldKept is how many demands are kept, several times that lag.
	toldKept = 8
	// longestRetryAfter bounds what a refused client is told to wait.
	longestRetryAfter = 5 * time.Second
)

// Limiter keeps customers within their limits. It is safe for concurrent use.
type Limiter struct {
	now       func() time.Time
	tolerance Tolerance
	// keeper may be nil.
	keeper func(customer string) bool

	mu        sync.Mutex
	customers map[string]*customer
	members   int
	// known says that members was told.
	known bool
	// peers is the demand of each peer by customer, in units a second.
	peers map[string]map[string]float64
}

type customer struct {
	limit config.Customer
	// since is when this process first knew of the customer.
	since time.Time
	// bucket holds this entry's part of the limit.
	bucket rate.Bucket
	demand rate.EWMA
	// whole holds what all entries take together while this one keeps the
	// customer's limit for them; kept says whether it does.
	whole rate.Bucket
	kept  bool
	// given is the part of the members for which a process that has just
	// started was given its first units.
	given float64
	// told are the demands told to the peers of late, newest last.
	told []toldDemand
}

type toldDemand struct {
	at        time.Time
	perSecond float64
}

// toldAt returns the demand that was told last before a time. Limits are
// divided by demands of one moment at all entries, so that demand that grows
// everywhere doesn't lift the sum of the parts.
func (cu *customer) toldAt(at time.Time) float64 {
	for i := len(cu.told) - 1; i > 0; i-- {
		if !cu.told[i].at.After(at) {
			return cu.told[i].perSecond
		}
	}
	if len(cu.told) == 0 {
		return 0
	}
	return cu.told[0].perSecond
}

// NewLimiter returns a Limiter that knows no customers.
func NewLimiter(t Tolerance) *Limiter {
	return &Limiter{now: time.Now, tolerance: t, customers: make(map[string]*customer), members: assumedMembers}
}

// SetConfiguration takes over the customers' limits.
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
			cu = &customer{since: now, bucket: rate.Partly(now, firstFill), demand: rate.EWMA{At: now}}
			l.customers[limit.Name] = cu
		}
		cu.limit = limit
		l.resizeLocked(limit.Name, cu, now)
	}
}

// SetPeers takes in the number of members and the demand that each peer told,
// by peer and customer, and divides the limits anew.
func (l *Limiter) SetPeers(members int, peers map[string]map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members, l.peers, l.known = max(1, members), peers, true
	now := l.now()
	for name, cu := range l.customers {
		l.resizeLocked(name, cu, now)
	}
}

// Demand returns what customers asked for here, in units a second, for the
// peers.
func (l *Limiter) Demand() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := make(map[string]float64, len(l.customers))
	for name, cu := range l.customers {
		perSecond := cu.demand.Rate(now)
		cu.told = append(cu.told, toldDemand{now, perSecond})
		if len(cu.told) > toldKept {
			cu.told = cu.told[1:]
		}
		if perSecond > 0 {
			out[name] = perSecond
		}
	}
	return out
}

// Take takes units of this entry's part of a limit. It returns 0, or how long
// until there is room.
func (l *Limiter) Take(name string, units float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || cu.limit.PerSecond <= 0 {
		return 0
	}
	return min(cu.bucket.Take(l.now(), units), longestRetryAfter)
}

// Return gives back what a request took of this entry's part and was not run.
func (l *Limiter) Return(name string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || cu.limit.PerSecond <= 0 {
		return
	}
	cu.bucket.Correct(l.now(), units, 0)
}

func (l *Limiter) resizeLocked(name string, cu *customer, now time.Time) {
	if cu.limit.PerSecond <= 0 {
		return
	}
	others := 0.0
	for _, demand := range l.peers {
		others += demand[name]
	}
	part := rate.Share(cu.toldAt(now.Add(-peerLag)), others, len(l.peers), l.members)
	perSecond := cu.limit.PerSecond * (1 + toleranceUsed*l.tolerance.Part)
	burst := cu.limit.Burst
	if cu.limit.CountTokens {
		burst += toleranceUsed * l.tolerance.Units
	}
	if l.keeper != nil && len(l.peers) > 0 {
		part *= besideKeeper(cu.expected(others, now) / perSecond)
	}
	cu.bucket.Resize(now, perSecond*part, burst*part)
	l.resizeWholeLocked(name, cu, others, now, perSecond, burst)
}

// besideKeeper returns how much of its part an entry hands out beside the
// member that keeps the limit, for a customer that asks for a part of it.
func besideKeeper(asked float64) float64 {
	return min(max(1-partSlope*asked, leastPart), mostPart)
}

// expected returns what a customer asks for at all entries by now. What the
// others told is old: demand that has grown here has grown there as well.
func (cu *customer) expected(others float64, now time.Time) float64 {
	own, told := cu.demand.Rate(now), cu.toldAt(now.Add(-peerLag))
	growth := 1.0
	if told > 0 {
		growth = max(1, own/told)
	}
	return own + others*growth
}

// resizeWholeLocked sets the size of the bucket for all entries. What members
// that can't be reached take by their own parts is left out of it.
func (l *Limiter) resizeWholeLocked(name string, cu *customer, others float64, now time.Time, perSecond, burst float64) {
	kept := l.keeper != nil && l.keeper(name)
	if kept && !cu.kept {
		cu.whole = rate.Partly(now, l.fillLocked(cu, others, perSecond, now))
		cu.given = 0
	}
	cu.kept = kept
	reached := min(1, float64(len(l.peers)+1)/float64(l.members))
	cu.whole.Resize(now, perSecond*reached, burst*reached)
	if kept && l.known && now.Sub(cu.since) <= knownAfter && reached > cu.given {
		// Each of the members that start together may give out its part of it.
		cu.whole.Give(now, firstFill*burst*(reached-cu.given)*cu.headroom(others, perSecond, now))
		cu.given = reached
	}
}

// headroom returns the part of a limit that the customer didn't ask for of
// late.
func (cu *customer) headroom(others, perSecond float64, now time.Time) float64 {
	if perSecond <= 0 {
		return 0
	}
	return max(0, 1-(cu.demand.Rate(now)+others)/perSecond)
}

// fillLocked returns how full the bucket of a limit is taken to be that another
// entry kept until now: the less the customer asked for of late, the fuller.
// A process that hears nobody is cut off from those that go on with it. One
// that has just started is given little, as it comes to reach the members.
func (l *Limiter) fillLocked(cu *customer, others, perSecond float64, now time.Time) float64 {
	if len(l.peers) == 0 || now.Sub(cu.since) <= knownAfter {
		return 0
	}
	return fullest * cu.headroom(others, perSecond, now)
}

// SetOwnership sets who says for which customers this entry keeps the limit for
// all. Set it before the first call of another method.
func (l *Limiter) SetOwnership(f func(customer string) bool) { l.keeper = f }

// ReserveOwned takes units of a limit that this entry keeps for all and that there
// is room for within a time. The second result is false where it doesn't keep
// it.
func (l *Limiter) ReserveOwned(name string, units float64, within time.Duration) (rate.Reservation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil {
		return rate.Reservation{}, false
	}
	if cu.limit.PerSecond <= 0 {
		return rate.Reservation{OK: true}, true
	}
	if !cu.kept {
		return rate.Reservation{}, false
	}
	g := cu.whole.ReserveWithin(l.now(), units, within)
	g.Delay = min(g.Delay, longestRetryAfter)
	return g, true
}

// lowerPart leaves an entry's own part no fuller than that of a new process.
func (l *Limiter) lowerPart(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cu := l.customers[name]; cu != nil {
		cu.bucket.Lower(l.now(), firstFill)
	}
}

// Limited says whether a customer has a limit, and notes what it asked for.
func (l *Limiter) Limited(name string, units float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || cu.limit.PerSecond <= 0 {
		return false
	}
	cu.demand.Add(l.now(), units)
	return true
}

// Units returns what a request counts against a customer's limit.
func Units(c *config.Customer, stated bool, tokens int) float64 {
	switch {
	case !c.CountTokens:
		return 1
	case stated:
		return float64(tokens)
	default:
		return c.PlainTokens
	}
}
