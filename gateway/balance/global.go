package balance

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/ownership"
)

// placeTimeout bounds the call to the owner of a service's long prompts. It is
// short against the prefill time of such a prompt; one way between two failure
// domains takes a millisecond or two.
const placeTimeout = 60 * time.Millisecond

// Peers calls the entry that places long prompts.
type Peers interface {
	// Members returns the IDs of the reachable members, this one included.
	Members() []string
	// Place calls Balancer.Place on a peer.
	Place(ctx context.Context, peer string, q Query) (Placement, error)
	// EndPlacement calls Balancer.EndPlacement on the placer.
	EndPlacement(ctx context.Context, e End) error
}

// GlobalBalancer is a Balancer for which the owner of each service places the
// service's long prompts, for all entries. It is safe for concurrent use.
type GlobalBalancer struct {
	*Balancer
	self   string
	peers  Peers
	owners *ownership.Owners
	// placers is used in a large deployment.
	placers *placers
}

// NewGlobalBalancer returns a GlobalBalancer for the entry named self.
func NewGlobalBalancer(b *Balancer, self string, peers Peers, log *logrus.Entry) *GlobalBalancer {
	return &GlobalBalancer{Balancer: b, self: self, peers: peers, placers: newPlacers(), owners: ownership.New(time.Now, peers.Members, log.WithField("decides", "placement"))}
}

// ChooseGlobal returns the replica for a request, or ErrNoReplica. If the owner
// of the service is unavailable, the local choice is used.
func (g *GlobalBalancer) ChooseGlobal(ctx context.Context, q Query) (Choice, error) {
	if g.isGrouped(q.Service) && !q.Local {
		return g.chooseGrouped(ctx, q)
	}
	local, err := g.Choose(q)
	if err != nil || !g.NeedsCentralPlacement(q, local) {
		return local, err
	}
	owner := g.owners.Owner("place/" + q.Service)
	p, err := g.place(ctx, owner, q, placeTimeout)
	if err != nil {
		return local, nil // failed calls are logged; the local choice is good enough
	}
	c, usable := g.ChoiceOf(q, p, local)
	if !usable {
		return local, nil
	}
	c.PlacedBy = owner
	return c, nil
}

// errUnavailable reports that the owner is backed off after a failed call.
var errUnavailable = errors.New("owner is backed off after a failed call")

// PlaceForPeer places a prompt in the group that the query names, or else as the
// owner of the service.
func (b *Balancer) PlaceForPeer(q Query) (Placement, error) {
	if q.Group != "" {
		return b.PlaceInGroup(q)
	}
	return b.Place(q)
}

func (g *GlobalBalancer) place(ctx context.Context, owner string, q Query, timeout time.Duration) (Placement, error) {
	if owner == g.self {
		return g.PlaceForPeer(q)
	}
	if !g.owners.Available(owner) {
		return Placement{}, errUnavailable
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p, err := g.peers.Place(callCtx, owner, g.excludeBlocked(q))
	if err != nil && !errors.Is(err, ErrNoReplica) && ctx.Err() == nil {
		g.owners.MarkUnreachable(owner, err)
	}
	return p, err
}
