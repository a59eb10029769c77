package app

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/rollout"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// partIDBase is the base of the IDs of prompt parts on the wire.
const partIDBase = 16

// Place implements balance.Peers.
func (p *ownerPeers) Place(ctx context.Context, id string, q balance.Query) (balance.Placement, error) {
	r, err := p.mesh.Place(ctx, id, placeRequest(q))
	if err != nil {
		return balance.Placement{}, err
	}
	if r.Endpoint == "" && r.WaitMS == 0 {
		return balance.Placement{}, balance.ErrNoReplica
	}
	return balance.Placement{
		Replica: r.Endpoint, Incarnation: r.Incarnation, CachedTokens: r.CachedTokens,
		FirstToken: time.Duration(r.FirstTokenMS) * time.Millisecond,
		Wait:       time.Duration(r.WaitMS) * time.Millisecond, Recorded: r.Recorded,
	}, nil
}

// EndPlacement implements balance.Peers.
func (p *ownerPeers) EndPlacement(ctx context.Context, e balance.End) error {
	return p.mesh.EndPlacement(ctx, e.Placer, peer.PlacedEnd{Endpoint: e.Replica})
}

func placeRequest(q balance.Query) peer.PlaceRequest {
	out := peer.PlaceRequest{
		Service: q.Service, Slots: q.Slots, PromptTokens: q.PromptTokens,
		LatencyObjectiveMS: q.LatencyObjective.Milliseconds(), Exclude: slices.Collect(maps.Keys(q.Exclude)),
		Group: q.Group, MaxWaitMS: q.MaxWait.Milliseconds(), Unplaced: q.Unplaced,
	}
	for _, part := range q.Parts {
		out.Parts = append(out.Parts, peer.PlacePart{ID: strconv.FormatUint(part.ID, partIDBase), Tokens: part.Tokens})
	}
	return out
}

// placeForPeer places a prompt for a peer, as the owner of its service. It uses the
// versions that need no permit.
func placeForPeer(b *balance.Balancer, g *rollout.Gate, p peer.PlaceRequest) peer.PlaceResult {
	q := balance.Query{
		Service: p.Service, Slots: p.Slots, PromptTokens: p.PromptTokens,
		LatencyObjective: time.Duration(p.LatencyObjectiveMS) * time.Millisecond, Exclude: make(map[string]bool),
		Group: p.Group, MaxWait: time.Duration(p.MaxWaitMS) * time.Millisecond, Unplaced: p.Unplaced,
	}
	for _, id := range p.Exclude {
		q.Exclude[id] = true
	}
	for _, part := range p.Parts {
		id, err := strconv.ParseUint(part.ID, partIDBase, 64)
		if err != nil {
			break // parts after an invalid one can't be cached either
		}
		q.Parts = append(q.Parts, balance.Part{ID: id, Tokens: part.Tokens})
	}
	q.Filter = g.Pass(time.Now(), rollout.Attempt{Service: p.Service, Again: true}).Filter()
	placed, err := b.PlaceForPeer(q)
	if err != nil {
		return peer.PlaceResult{} // no replica
	}
	return peer.PlaceResult{
		Endpoint: placed.Replica, Incarnation: placed.Incarnation, CachedTokens: placed.CachedTokens,
		FirstTokenMS: placed.FirstToken.Milliseconds(),
		WaitMS:       placed.Wait.Milliseconds(), Recorded: placed.Recorded,
	}
}
