package app

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// partBase is the base in which IDs of prompt parts go over the wire.
const partBase = 16

// Place implements balance.Peers.
func (p *keeperPeers) Place(ctx context.Context, id string, q balance.Query) (balance.Placement, error) {
	r, err := p.mesh.Place(ctx, id, placeRequest(q))
	if err != nil {
		return balance.Placement{}, err
	}
	if r.Endpoint == "" {
		return balance.Placement{}, balance.ErrNoReplica
	}
	return balance.Placement{
		Replica: r.Endpoint, Incarnation: r.Incarnation, CachedTokens: r.CachedTokens,
		FirstToken: time.Duration(r.FirstTokenMS) * time.Millisecond,
	}, nil
}

func placeRequest(q balance.Query) peer.PlaceRequest {
	out := peer.PlaceRequest{
		Service: q.Service, Slots: q.Slots, PromptTokens: q.PromptTokens,
		LatencyObjectiveMS: q.LatencyObjective.Milliseconds(), Exclude: slices.Collect(maps.Keys(q.Exclude)),
	}
	for _, part := range q.Parts {
		out.Parts = append(out.Parts, peer.PlacePart{ID: strconv.FormatUint(part.ID, partBase), Tokens: part.Tokens})
	}
	return out
}

// placeFor places a long prompt for a peer.
func placeFor(b *balance.Balancer, p peer.PlaceRequest) peer.PlaceResult {
	q := balance.Query{
		Service: p.Service, Slots: p.Slots, PromptTokens: p.PromptTokens,
		LatencyObjective: time.Duration(p.LatencyObjectiveMS) * time.Millisecond, Exclude: make(map[string]bool),
	}
	for _, id := range p.Exclude {
		q.Exclude[id] = true
	}
	for _, part := range p.Parts {
		id, err := strconv.ParseUint(part.ID, partBase, 64)
		if err != nil {
			break // what is behind a part that can't be named isn't cached either
		}
		q.Parts = append(q.Parts, balance.Part{ID: id, Tokens: part.Tokens})
	}
	placed, err := b.Place(q)
	if err != nil {
		return peer.PlaceResult{} // no replica
	}
	return peer.PlaceResult{
		Endpoint: placed.Replica, Incarnation: placed.Incarnation, CachedTokens: placed.CachedTokens,
		FirstTokenMS: placed.FirstToken.Milliseconds(),
	}
}
