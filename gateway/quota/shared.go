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
	// fallbackGap is how long an entry must not have used its local share of a
	// limit for its next use to begin a new fallback.
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
	// Reserve calls a peer that owns a customer's limit to reserve units that
	// are available within a time. It fails with ErrNotOwner if the peer
	// doesn't own the limit.
	Reserve(ctx context.Context, peer, customer string, units float64, within time.Duration) (rate.Reservation, error)
}

// GlobalLimiter is a Limiter that reserves from the owner of each limit, and
// falls back to the local share while the owner is unavailable. It is safe for
// concurrent use.
type GlobalLimiter struct {
	*Limiter
	self   string
	peers  Peers
	owners *ownership.Owners

	mu sync.Mutex
	// lastFallback is when the local share of a customer's limit was last used.
	lastFallback map[string]time.Time
}

// NewGlobalLimiter returns a GlobalLimiter for the entry with the ID self.
func NewGlobalLimiter(l *Limiter, self string, peers Peers, log *logrus.Entry) *GlobalLimiter {
	s := &GlobalLimiter{Limiter: l, self: self, peers: peers, lastFallback: make(map[string]time.Time)}
	s.owners = ownership.New(func() time.Time { return l.now() }, peers.Members, log.WithField("decides", "limits"))
	l.SetOwnership(func(customer string) bool { return s.owners.Owner(customer) == self })
	return s
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

// Reserve reserves units of a customer's limit that are available within a
// time. The request must wait for the delay of the reservation before it runs.
func (s *GlobalLimiter) Reserve(ctx context.Context, customer string, units float64, within time.Duration) Decision {
	if !s.RecordDemand(customer, units) {
		return Decision{Reservation: rate.Reservation{OK: true}}
	}
	id := s.owners.Owner(customer)
	if id == s.self {
		if r, owned := s.ReserveOwned(customer, units, within); owned {
			return Decision{Reservation: r, Owner: id}
		}
	} else if s.owners.Available(id) {
		ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		r, err := s.peers.Reserve(ctx, id, customer, units, within)
		switch {
		case err == nil:
			return Decision{Reservation: r, Owner: id}
		case errors.Is(err, ErrNotOwner):
			// The memberships of both entries converge in a moment.
		default:
			s.owners.MarkUnreachable(id, err)
		}
	}
	s.fallBack(customer)
	wait := s.Take(customer, units)
	return Decision{Reservation: rate.Reservation{OK: wait <= 0, Delay: wait}, Local: true}
}

// fallBack lowers this entry's local share when it begins to be used: until
// then the owner has handed out the burst.
func (s *GlobalLimiter) fallBack(customer string) {
	now := s.now()
	s.mu.Lock()
	last := s.lastFallback[customer]
	s.lastFallback[customer] = now
	s.mu.Unlock()
	if now.Sub(last) > fallbackGap {
		s.lowerShare(customer)
	}
}
