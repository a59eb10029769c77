package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/keeper"
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

// ErrKeptElsewhere says that the entry asked doesn't keep the limit, by the
// members that it knows.
var ErrKeptElsewhere = errors.New("limit is kept elsewhere")

// Peers reaches the other entries.
type Peers interface {
	// Members returns the IDs of the members that are heard now, this one
	// included.
	Members() []string
	// Take asks a peer for units of a limit that it keeps and has room for
	// within a time, or fails with ErrKeptElsewhere.
	Take(ctx context.Context, peer, customer string, units float64, within time.Duration) (rate.Grant, error)
}

// Shared is a Limiter whose limits are kept by one entry each. It is safe for
// concurrent use.
type Shared struct {
	*Limiter
	self    string
	peers   Peers
	keepers *keeper.Keepers

	mu sync.Mutex
	// fellBack is when the own part of a customer's limit was last used.
	fellBack map[string]time.Time
}

// NewShared returns the limits over all entries, for the entry named self.
func NewShared(l *Limiter, self string, peers Peers, log *logrus.Entry) *Shared {
	s := &Shared{Limiter: l, self: self, peers: peers, fellBack: make(map[string]time.Time)}
	s.keepers = keeper.New(func() time.Time { return l.now() }, peers.Members, log.WithField("decides", "limits"))
	l.SetKeeper(func(customer string) bool { return s.keepers.Of(customer) == self })
	return s
}

// Taken says what became of taking units of a limit.
type Taken struct {
	rate.Grant
	// Keeper is the member that decided for all; empty where there is no limit
	// or this entry's own part decided.
	Keeper string
	// Part says that this entry's own part decided.
	Part bool
}

// TakeShared takes units of a customer's limit that there is room for within a
// time. The request must wait for it.
func (s *Shared) TakeShared(ctx context.Context, customer string, units float64, within time.Duration) Taken {
	if !s.Limited(customer, units) {
		return Taken{Grant: rate.Grant{Taken: true}}
	}
	id := s.keepers.Of(customer)
	if id == s.self {
		if g, kept := s.TakeWhole(customer, units, within); kept {
			return Taken{Grant: g, Keeper: id}
		}
	} else if s.keepers.Askable(id) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		g, err := s.peers.Take(ctx, id, customer, units, within)
		switch {
		case err == nil:
			return Taken{Grant: g, Keeper: id}
		case errors.Is(err, ErrKeptElsewhere):
			// Both will know the same members in a moment.
		default:
			s.keepers.FellSilent(id, err)
		}
	}
	s.fallBack(customer)
	wait := s.Take(customer, units)
	return Taken{Grant: rate.Grant{Taken: wait <= 0, Wait: wait}, Part: true}
}

// fallBack lowers this entry's part when it begins to be used: the keeper has
// handed out the burst until now.
func (s *Shared) fallBack(customer string) {
	now := s.now()
	s.mu.Lock()
	last := s.fellBack[customer]
	s.fellBack[customer] = now
	s.mu.Unlock()
	if now.Sub(last) > fallBackGap {
		s.lowerPart(customer)
	}
}
