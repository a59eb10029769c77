package quota

import (
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

const (
	// margin is the part of a limit that is handed out, for demand that moves
	// between entries faster than they tell each other.
	margin = 0.97
	// longestRetryAfter bounds what a refused client is told to wait.
	longestRetryAfter = 5 * time.Second
)

// Limiter keeps customers within their limits. It is safe for concurrent use.
type Limiter struct {
	now func() time.Time

	mu        sync.Mutex
	customers map[string]*customer
	members   int
	// peers is the demand of each peer by customer, in units a second.
	peers map[string]map[string]float64
}

type customer struct {
	limit  config.Customer
	bucket rate.Bucket
	demand rate.Meter
	// told is the demand that the peers were told last.
	told float64
}

// NewLimiter returns a Limiter that knows no customers.
func NewLimiter() *Limiter {
	return &Limiter{now: time.Now, customers: make(map[string]*customer), members: 1}
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
			cu = &customer{bucket: rate.Bucket{At: now}, demand: rate.Meter{At: now}}
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
	l.members, l.peers = max(1, members), peers
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
		cu.told = cu.demand.Rate(now)
		if cu.told > 0 {
			out[name] = cu.told
		}
	}
	return out
}

// Take counts a request against its customer's limit. It returns 0, or how
// long until there is room.
func (l *Limiter) Take(name string, units float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || cu.limit.PerSecond <= 0 {
		return 0
	}
	now := l.now()
	cu.demand.Add(now, units)
	return min(cu.bucket.Take(now, units), longestRetryAfter)
}

// Return gives back what a request took that was not run.
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
	part := margin * rate.Share(cu.told, others, len(l.peers), l.members)
	cu.bucket.Resize(now, cu.limit.PerSecond*part, cu.limit.Burst*part)
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
