package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/ownership"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

const (
	// reserveTimeout bounds a reservation call to the owner of a limit. One way
	// between two failure domains takes a millisecond or two, and a host with a
	// fifth of a processor adds some more.
	reserveTimeout = 120 * time.Millisecond
	// fallbackGap is the time without any use of the local share of a limit
	// after which the next use counts as a new fallback.
	fallbackGap = 500 * time.Millisecond
)

// ErrNotOwner means that the called entry doesn't own the limit according to
// its own membership.
var ErrNotOwner = errors.New("called entry does not own the limit")

// Peers connects an entry to the other entries.
type Peers interface {
	// Members returns the IDs of the members that are reachable now, including
	// this one.
	Members() []string
	// Reserve reserves units at the peer that owns a customer's limit, if they
	// are available within maxDelay. It fails with ErrNotOwner if the peer
	// doesn't own the limit.
	Reserve(ctx context.Context, peer, customer string, units float64, maxDelay time.Duration) (rate.Reservation, error)
}

// GlobalLimiter is a Limiter that reserves from the owner of each limit, and
// falls back to the local share while the owner is unavailable. It is safe for
// concurrent use.
type GlobalLimiter struct {
	*Limiter
	self   string
	peers  Peers
	owners *ownership.Owners
	log    *logrus.Entry
	// replicas is nil if limits are not replicated.
	replicas ReplicaPeers
	count    func(by string, granted bool)
	sleep    func(ctx context.Context, d time.Duration) bool
	denials  denials
	timeouts timeouts

	mu sync.Mutex
	// exchanging holds the partners with which an exchange is in progress.
	exchanging map[string]bool
	// lastFallback holds, by customer, the time at which the local share of the
	// limit was last used.
	lastFallback map[string]time.Time
}

// NewGlobalLimiter returns a GlobalLimiter for the entry with the ID self.
func NewGlobalLimiter(l *Limiter, self string, peers Peers, log *logrus.Entry) *GlobalLimiter {
	g := &GlobalLimiter{Limiter: l, self: self, peers: peers, lastFallback: make(map[string]time.Time), log: log, exchanging: make(map[string]bool)}
	g.owners = ownership.New(func() time.Time { return l.now() }, peers.Members, log.WithField("decides", "limits"))
	l.SetOwnership(func(customer string) bool { return g.owners.Owner(customer) == self })
	return g
}

// Decision is the result of a reservation for a customer.
type Decision struct {
	rate.Reservation
	// Owner is the member that decided for all entries. It is empty if the
	// customer has no limit or the local share decided.
	Owner string
	// Local is set if the local share decided.
	Local bool
}

// Request is a request for units of a customer's limit.
type Request struct {
	Units float64
	// MaxDelay is the longest wait for the units, unless limits are ordered. It is the
	// same for all requests.
	MaxDelay time.Duration
	// Urgency, Objective and Remaining are the urgency of the request's route, its
	// latency objective, and the time until the deadline when it arrived. They are used
	// where limits are ordered.
	Urgency              int
	Objective, Remaining time.Duration
}

// Reserve reserves units of a customer's limit, if they are available soon enough. The
// request must wait for the delay of the reservation before it runs.
func (g *GlobalLimiter) Reserve(ctx context.Context, customer string, r Request) Decision {
	units, maxDelay := r.Units, r.MaxDelay
	if !g.RecordDemand(customer, units) {
		return Decision{Reservation: rate.Reservation{OK: true}}
	}
	if g.replicated != nil && g.replicated() {
		if d, ok := g.reserveReplicated(ctx, customer, r); ok {
			return d
		}
		d := g.reserveLocally(customer, units)
		g.count(byOwnPart, d.OK)
		return d
	}
	owner := g.owners.Owner(customer)
	if owner == g.self {
		if r, owned := g.ReserveOwned(customer, units, maxDelay); owned {
			return Decision{Reservation: r, Owner: owner}
		}
	} else if g.owners.Available(owner) {
		ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		r, err := g.peers.Reserve(ctx, owner, customer, units, maxDelay)
		switch {
		case err == nil:
			return Decision{Reservation: r, Owner: owner}
		case errors.Is(err, ErrNotOwner):
			// Both entries will soon agree on the members and the owner.
		default:
			g.owners.MarkUnreachable(owner, err)
		}
	}
	return g.reserveLocally(customer, units)
}

func (g *GlobalLimiter) reserveLocally(customer string, units float64) Decision {
	g.recordFallback(customer)
	wait := g.Take(customer, units)
	return Decision{Reservation: rate.Reservation{OK: wait <= 0, Delay: wait}, Local: true}
}

// Owner returns the member that owns a customer's limit.
func (g *GlobalLimiter) Owner(customer string) string { return g.owners.Owner(customer) }

// recordFallback records a use of the local share. If the use begins a new
// fallback, it caps the fill level, because the owner has handed out the burst
// until then.
func (g *GlobalLimiter) recordFallback(customer string) {
	now := g.now()
	g.mu.Lock()
	last := g.lastFallback[customer]
	g.lastFallback[customer] = now
	g.mu.Unlock()
	if now.Sub(last) > fallbackGap {
		g.capLocalFill(customer)
	}
}
