package routing

import (
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// eventRateWeight is the weight of one batch in the running part of
// evictions among events.
const eventRateWeight = 0.1

// eventLog is what is known of an endpoint's cache events. It is guarded by
// the replica's lock.
type eventLog struct {
	// next is the sequence number expected next.
	next uint64
	// held estimates how many blocks the index believes to be cached.
	held int
	// evictions is the running part of evictions among events.
	evictions float64
}

// EventsFrom returns the sequence number from which to ask an endpoint for
// cache events.
func (f *Fleet) EventsFrom(endpointID string) uint64 {
	r := f.view.Load().byID[endpointID]
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events.next
}

// ApplyCacheEvents takes over the answer to a request for cache events from
// sequence number asked on. Answers may come late, twice or with gaps.
func (f *Fleet) ApplyCacheEvents(endpointID string, asked uint64, e endpoint.CacheEvents) {
	r := f.view.Load().byID[endpointID]
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Next < asked {
		// The engine counts anew, so its cache is empty.
		r.age.drop()
		r.events = eventLog{next: e.First}
	}
	if e.First > r.events.next {
		f.gap(r, e.First-r.events.next)
		r.events.next = e.First
	}
	f.apply(r, e)
}

// gap discounts an endpoint's entries after n events were lost. Of the lost
// events some were evictions; each took one of the blocks held. r.mu is held.
func (f *Fleet) gap(r *replica, n uint64) {
	if r.events.held == 0 {
		return
	}
	if f.opts.HardInvalidation {
		r.age.drop()
		r.events.held = 0
		return
	}
	lost := r.events.evictions * float64(n)
	r.age.discount(1 - lost/float64(r.events.held))
}

// apply records events in order; those seen before are skipped. r.mu is held.
func (f *Fleet) apply(r *replica, e endpoint.CacheEvents) {
	evicted, applied := 0, 0
	for i, ev := range e.Events {
		if e.First+uint64(i) < r.events.next {
			continue
		}
		applied++
		if ev.Evicted {
			evicted++
			f.forget(r, ev.Hash)
		} else {
			f.remember(r, ev.Hash)
		}
	}
	r.events.next = max(r.events.next, e.Next)
	if applied > 0 {
		part := float64(evicted) / float64(applied)
		r.events.evictions += eventRateWeight * (part - r.events.evictions)
	}
}

// remember records a block as cached. r.mu is held.
func (f *Fleet) remember(r *replica, hash uint64) {
	if f.index.add(hash, holder{r.number, r.age.value.Load()}) {
		r.events.held++
	}
}

// forget records a block as evicted. r.mu is held.
func (f *Fleet) forget(r *replica, hash uint64) {
	if f.index.remove(hash, r.number) {
		r.events.held = max(0, r.events.held-1)
	}
}
