package routing

import "github.com/coltsfootcleat/coltsfootcleat/infra"

// EndpointLoad is what is known of an endpoint's speed and room.
type EndpointLoad struct {
	Endpoint infra.Endpoint
	HostID   string
	Leaving  bool
	// PrefillRate and DecodeRate are in tokens per second; DecodeRate is that
	// of one stream.
	PrefillRate float64
	DecodeRate  float64
	// Batch is the number of streams that run at once; FreeSlots is negative
	// while streams wait.
	Batch     int
	FreeSlots int
	// QueuedPromptTokens still have to be prefilled.
	QueuedPromptTokens int
}

// Loads returns the load of every listed engine, those of leaving hosts
// included.
func (f *Fleet) Loads() []EndpointLoad {
	now := f.now()
	var out []EndpointLoad
	for _, r := range f.view.Load().all {
		if r.endpoint.Kind != infra.KindEngine {
			continue
		}
		r.mu.Lock()
		e := r.rates()
		streams := r.streams(e.batch, now)
		queued := r.queued(demand{before: 1})
		r.mu.Unlock()
		out = append(out, EndpointLoad{
			Endpoint: r.endpoint, HostID: r.host.ID, Leaving: r.host.leaving(),
			PrefillRate: e.prefill, DecodeRate: e.decode,
			Batch: int(e.batch), FreeSlots: int(e.batch - streams), QueuedPromptTokens: int(queued),
		})
	}
	return out
}

// CachedTokens returns how many tokens at the start of a prompt each endpoint
// is expected to hold, by endpoint ID. Endpoints that hold none are missing.
func (f *Fleet) CachedTokens(hashes []uint64) map[string]int {
	var hits hitList
	f.findHits(f.view.Load(), hashes, &hits)
	out := make(map[string]int, hits.n)
	for _, h := range hits.items[:hits.n] {
		c := candidate{hit: h}
		out[h.replica.endpoint.ID] = int(c.cached())
	}
	return out
}
