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
	// askTimeout bounds a call to the keeper of a limit. One way between two
	// failure domains takes a millisecond or two, and a host with a fifth of a
	// processor some more.
	askTimeout = 120 * time.Millisecond
	// fallBackGap is how long an entry's own part must not have been used for
	// its next use to be a new start.
	fallBackGap = 500 * time.Millisecond
)

// ErrNotOwner says that the entry asked doesn't keep the limit, by the
// members that it knows.
var ErrNotOwner = errors.New("limit is kept elsewhere")

// Peers reaches the other entries.
type Peers interface {
	// Members returns the IDs of the members that are heard now, this one
	// included.
	Members() []string
	// Reserve asks a peer for units of a limit that it keeps and has room for
	// within a time, or fails with ErrKeptElsewhere.
	Reserve(ctx context.Context, peer, customer string, units float64, within time.Duration) (rate.Reservation, error)
}

// GlobalLimiter is a Limiter whose limits are kept by one entry each. It is safe for
// concurrent use.
type GlobalLimiter struct {
	*Limiter
	self    string
	peers   Peers
	keepers *ownership.Owners

	mu sync.Mutex
	// fellBack is when the own part of a customer's limit was last used.
	fellBack map[string]time.Time
}

// NewGlobalLimiter returns the limits over all entries, for the entry named self.
func NewGlobalLimiter(l *Limiter, self string, peers Peers, log *logrus.Entry) *GlobalLimiter {
	s := &GlobalLimiter{Limiter: l, self: self, peers: peers, fellBack: make(map[string]time.Time)}
	s.keepers = ownership.New(func() time.Time { return l.now() }, peers.Members, log.WithField("decides", "limits"))
	l.SetOwnership(func(customer string) bool { return s.keepers.Owner(customer) == self })
	return s
}

// Decision says what became of taking units of a limit.
type Decision struct {
	rate.Reservation
	// Owner is the member that decided for all; empty where there is no limit
	// or this entry's own part decided.
	Owner string
	// Local says that this entry's own part decided.
	Local bool
}

// Reserve takes units of a customer's limit that there is room for within a
// time. The request must wait for it.
func (s *GlobalLimiter) Reserve(ctx context.Context, customer string, units float64, within time.Duration) Decision {
	if !s.Limited(customer, units) {
		return Decision{Reservation: rate.Reservation{OK: true}}
	}
	id := s.keepers.Owner(customer)
	if id == s.self {
		if g, kept := s.ReserveOwned(customer, units, within); kept {
			return Decision{Reservation: g, Owner: id}
		}
	} else if s.keepers.Available(id) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		g, err := s.peers.Reserve(ctx, id, customer, units, within)
		switch {
		case err == nil:
			return Decision{Reservation: g, Owner: id}
		case errors.Is(err, ErrNotOwner):
			// Both will know the same members in a moment.
		default:
			s.keepers.MarkUnreachable(id, err)
		}
	}
	s.fallBack(customer)
	wait := s.Take(customer, units)
	return Decision{Reservation: rate.Reservation{OK: wait <= 0, Delay: wait}, Local: true}
}

// fallBack lowers this entry's part when it begins to be used: the keeper has
// handed out the burst until now.
func (s *GlobalLimiter) fallBack(customer string) {
	now := s.now()
	s.mu.Lock()
	last := s.fellBack[customer]
	s.fellBack[customer] = now
	s.mu.Unlock()
	if now.Sub(last) > fallBackGap {
		s.lowerPart(customer)
	}
}
