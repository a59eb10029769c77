package peer

import "context"

// PlaceRequest requests that a peer chooses the endpoint of a centrally placed
// prompt.
type PlaceRequest struct {
	Service string `json:"s"`
	// Slots is how many requests an endpoint of the service runs concurrently.
	Slots int `json:"n"`
	// Parts are the prompt parts that the prompt shares with other prompts.
	// Their IDs are text, because JSON numbers don't preserve 64 bits.
	Parts        []PlacePart `json:"p,omitempty"`
	PromptTokens int         `json:"t"`
	// LatencyObjectiveMS is the minimum latency objective of the service's
	// requests.
	LatencyObjectiveMS int64 `json:"o"`
	// Exclude are the endpoints of earlier attempts of the request.
	Exclude []string `json:"x,omitempty"`
	// Group is the group of endpoints to choose from, and MaxWaitMS the wait above
	// which the peer chooses none. A peer of an earlier release ignores both.
	Group     string `json:"g,omitempty"`
	MaxWaitMS int64  `json:"w,omitempty"`
	// Unplaced is the number of the caller's requests in progress on endpoints of the
	// group that no peer placed, by endpoint ID. A peer of an earlier release ignores it.
	Unplaced map[string]int `json:"u,omitempty"`
}

// PlacePart is a prompt part and its length.
type PlacePart struct {
	ID     string `json:"i"`
	Tokens int    `json:"t"`
}

// PlaceResult is the placement of a centrally placed prompt.
type PlaceResult struct {
	// Endpoint is the ID of the endpoint, empty if there is none.
	Endpoint     string `json:"e,omitempty"`
	Incarnation  int64  `json:"b,omitempty"`
	CachedTokens int    `json:"c,omitempty"`
	FirstTokenMS int64  `json:"f,omitempty"`
	// WaitMS is the wait in the group. Recorded is set if the peer has recorded the
	// request as in progress until PlacedEnd.
	WaitMS   int64 `json:"w,omitempty"`
	Recorded bool  `json:"r,omitempty"`
}

// PlacedEnd tells the peer that placed a request that the request has ended.
type PlacedEnd struct {
	Endpoint string `json:"e"`
}

// Place calls a peer, which chooses the endpoint of a centrally placed prompt.
func (m *Mesh) Place(ctx context.Context, peer string, p PlaceRequest) (PlaceResult, error) {
	var result PlaceResult
	err := m.callCached(ctx, peer, methodPlace, p, &result)
	return result, err
}

// EndPlacement tells a peer that a request which it placed and recorded has ended.
func (m *Mesh) EndPlacement(ctx context.Context, peer string, e PlacedEnd) error {
	return m.withCached(ctx, peer, func(l *link) error { return l.conn.Notify(ctx, methodPlacedEnd, e) })
}
