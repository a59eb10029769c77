package balance

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/ownership"
)

// placeTimeout bounds the call to the entry that places long prompts: a small
// part of the time that one takes to be read. One way between two failure
// domains takes a millisecond or two.
const placeTimeout = 60 * time.Millisecond

// Peers reaches the entry that places long prompts.
type Peers interface {
	// Members returns the IDs of the members that are heard now, this one
	// included.
	Members() []string
	// Place has a peer place a long prompt, as Balancer.Place does.
	Place(ctx context.Context, peer string, q Query) (Placement, error)
}

// GlobalBalancer is a Balancer that has the long prompts of each service placed by one
// entry for all. It is safe for concurrent use.
type GlobalBalancer struct {
	*Balancer
	self    string
	peers   Peers
	keepers *ownership.Owners
}

// NewGlobalBalancer returns the choice of replicas over all entries, for the entry named
// self.
func NewGlobalBalancer(b *Balancer, self string, peers Peers, log *logrus.Entry) *GlobalBalancer {
	return &GlobalBalancer{Balancer: b, self: self, peers: peers, keepers: ownership.New(time.Now, peers.Members, log.WithField("decides", "placement"))}
}

// ChooseGlobal returns the replica for a request, or ErrNone. Where the entry
// that places long prompts can't be asked, this one chooses.
func (s *GlobalBalancer) ChooseGlobal(ctx context.Context, q Query) (Choice, error) {
	local, err := s.Choose(q)
	if err != nil || !s.Long(q, local) {
		return local, err
	}
	id := s.keepers.Owner("place/" + q.Service)
	p, err := s.place(ctx, id, q)
	if err != nil {
		return local, nil // why is logged, and the choice is good enough
	}
	c, usable := s.Placed(q, p, local)
	if !usable {
		return local, nil
	}
	c.PlacedBy = id
	return c, nil
}

// errNotAsked says that the entry that places long prompts is left alone.
var errNotAsked = errors.New("entry was silent just now")

func (s *GlobalBalancer) place(ctx context.Context, id string, q Query) (Placement, error) {
	if id == s.self {
		return s.Place(q)
	}
	if !s.keepers.Available(id) {
		return Placement{}, errNotAsked
	}
	callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	p, err := s.peers.Place(callCtx, id, q)
	if err != nil && !errors.Is(err, ErrNone) && ctx.Err() == nil {
		s.keepers.MarkUnreachable(id, err)
	}
	return p, err
}
