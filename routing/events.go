package routing

import (
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// evictionFractionWeight is the weight of one answer in the moving average of
// the fraction of evictions among events.
const evictionFractionWeight = 0.1

// cacheEventState is the state of an endpoint's stream of cache events. It is
// guarded by the replica's lock.
type cacheEventState struct {
	// next is the sequence number of the next expected event.
	next uint64
	// indexedBlocks estimates the number of the endpoint's blocks in the index.
	indexedBlocks int
	// evictionFraction is the moving average of the fraction of evictions
	// among events.
	evictionFraction float64
}

// EventsFrom returns the sequence number from which to request cache events
// from an endpoint.
func (f *Fleet) EventsFrom(endpointID string) uint64 {
	r := f.view.Load().byID[endpointID]
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events.next
}

// ApplyCacheEvents applies the answer to a request for the cache events from
// sequence number requestedFrom on. Answers may arrive late, twice or with
// gaps.
func (f *Fleet) ApplyCacheEvents(endpointID string, requestedFrom uint64, e endpoint.CacheEvents) {
	r := f.view.Load().byID[endpointID]
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Next < requestedFrom {
		// The engine restarted its numbering, so its cache is empty.
		r.age.drop()
		r.events = cacheEventState{next: e.First}
	}
	if e.First > r.events.next {
		f.discountGap(r, e.First-r.events.next)
		r.events.next = e.First
	}
	f.applyEvents(r, e)
}

// discountGap discounts an endpoint's index entries after n events were lost.
// It assumes the usual fraction of evictions among the lost events, each of
// which removed one of the indexed blocks. r.mu is held.
func (f *Fleet) discountGap(r *replica, n uint64) {
	if r.events.indexedBlocks == 0 {
		return
	}
	if f.opts.HardInvalidation {
		r.age.drop()
		r.events.indexedBlocks = 0
		return
	}
	lost := r.events.evictionFraction * float64(n)
	r.age.discount(1 - lost/float64(r.events.indexedBlocks))
}

// applyEvents applies events in order and skips those already applied. r.mu is
// held.
func (f *Fleet) applyEvents(r *replica, e endpoint.CacheEvents) {
	evicted, applied := 0, 0
	for i, ev := range e.Events {
		if e.First+uint64(i) < r.events.next {
			continue
		}
		applied++
		if ev.Evicted {
			evicted++
			f.recordEvicted(r, ev.Hash)
		} else {
			f.recordCached(r, ev.Hash)
		}
	}
	r.events.next = max(r.events.next, e.Next)
	if applied > 0 {
		fraction := float64(evicted) / float64(applied)
		r.events.evictionFraction += evictionFractionWeight * (fraction - r.events.evictionFraction)
	}
}

// recordCached adds a block of an endpoint to the index. r.mu is held.
func (f *Fleet) recordCached(r *replica, hash uint64) {
	if f.index.add(hash, blockLocation{r.number, r.age.value.Load()}) {
		r.events.indexedBlocks++
	}
}

// recordEvicted removes a block of an endpoint from the index. r.mu is held.
func (f *Fleet) recordEvicted(r *replica, hash uint64) {
	if f.index.remove(hash, r.number) {
		r.events.indexedBlocks = max(0, r.events.indexedBlocks-1)
	}
}
