package routing

import "github.com/coltsfootcleat/coltsfootcleat/infra"

// EndpointLoad is an estimate of an endpoint's speed and free capacity.
type EndpointLoad struct {
	Endpoint infra.Endpoint
	HostID   string
	Leaving  bool
	// PrefillRate and DecodeRate are in tokens per second; DecodeRate is that
	// of one stream.
	PrefillRate float64
	DecodeRate  float64
	// Batch is the maximum number of running streams. FreeSlots is negative
	// while streams wait.
	Batch     int
	FreeSlots int
	// QueuedPromptTokens is the number of prompt tokens not yet prefilled.
	QueuedPromptTokens int
}

// Loads returns the load of every listed engine, including those of draining
// hosts.
func (f *Fleet) Loads() []EndpointLoad {
	now := f.now()
	var out []EndpointLoad
	for _, r := range f.view.Load().all {
		if r.endpoint.Kind != infra.KindEngine {
			continue
		}
		r.mu.Lock()
		e := r.rates()
		streams := r.streams(e.batchSize, now)
		queued := r.queuedTokens(predictionInput{precedingFraction: 1})
		r.mu.Unlock()
		out = append(out, EndpointLoad{
			Endpoint: r.endpoint, HostID: r.host.ID, Leaving: r.host.leaving(),
			PrefillRate: e.prefillRate, DecodeRate: e.decodeRate,
			Batch: int(e.batchSize), FreeSlots: int(e.batchSize - streams), QueuedPromptTokens: int(queued),
		})
	}
	return out
}

// CachedTokens returns the number of tokens at the start of a prompt that each
// endpoint is expected to have cached, by endpoint ID. Endpoints without cached
// tokens are omitted.
func (f *Fleet) CachedTokens(hashes []uint64) map[string]int {
	var hits hitList
	f.findHits(f.view.Load(), hashes, &hits)
	out := make(map[string]int, hits.n)
	for _, h := range hits.items[:hits.n] {
		c := candidate{hit: h}
		out[h.replica.endpoint.ID] = int(c.cachedTokens())
	}
	return out
}
