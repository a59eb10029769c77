package standin

import (
	"context"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// maxEventsPerCall bounds the events that one call returns.
const maxEventsPerCall = 4096

// prefixCache holds the hashes of cached blocks, evicted in LRU order, and the
// most recent events. The engine's lock guards it.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
	ring   []timedEvent
	// first is the sequence number of the oldest event in ring.
	first     uint64
	maxEvents int
	// loseEvent reports whether to lose the next event; nil loses none.
	loseEvent func() bool
}

type timedEvent struct {
	endpoint.CacheEvent
	at   time.Time
	lost bool
}

func newPrefixCache(blocks, ring int) *prefixCache {
	c := &prefixCache{maxEvents: ring}
	evicted := func(hash uint64, _ struct{}) { c.record(endpoint.CacheEvent{Hash: hash, Evicted: true}) }
	lru, err := simplelru.NewLRU[uint64, struct{}](blocks, evicted)
	if err != nil {
		panic(err) // blocks is never below 1
	}
	c.blocks = lru
	return c
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		if !c.blocks.Contains(h) {
			return i
		}
	}
	return len(hashes)
}

// use marks the leading cached blocks as most recently used.
func (c *prefixCache) use(hashes []uint64) {
	// In reverse order, so that the last block of a prefix is evicted before
	// its first: a block is only useful if all blocks before it are cached.
	for i := c.match(hashes) - 1; i >= 0; i-- {
		c.blocks.Get(hashes[i])
	}
}

// add caches blocks in reverse order, for the same reason as use, and records
// an event for each new block.
func (c *prefixCache) add(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, cached := c.blocks.Get(hashes[i]); cached {
			continue
		}
		c.blocks.Add(hashes[i], struct{}{})
		c.record(endpoint.CacheEvent{Hash: hashes[i]})
	}
}

func (c *prefixCache) record(e endpoint.CacheEvent) {
	lost := c.loseEvent != nil && c.loseEvent()
	c.ring = append(c.ring, timedEvent{CacheEvent: e, at: time.Now(), lost: lost})
	if len(c.ring) >= 2*c.maxEvents {
		drop := len(c.ring) - c.maxEvents
		c.ring = append(c.ring[:0], c.ring[drop:]...)
		c.first += uint64(drop)
	}
}

// events returns the events from a sequence number on that are older than lag.
// It stops at a lost event, so that the gap is visible in First of the next
// call.
func (c *prefixCache) events(from uint64, lag time.Duration) endpoint.CacheEvents {
	oldest := c.first + uint64(max(0, len(c.ring)-c.maxEvents))
	from = max(from, oldest)
	latest := time.Now().Add(-lag)
	i := min(int(from-c.first), len(c.ring))
	for i < len(c.ring) && c.ring[i].lost && !c.ring[i].at.After(latest) {
		i++
	}
	out := endpoint.CacheEvents{First: c.first + uint64(i)}
	for i < len(c.ring) && len(out.Events) < maxEventsPerCall && !c.ring[i].lost && !c.ring[i].at.After(latest) {
		out.Events = append(out.Events, c.ring[i].CacheEvent)
		i++
	}
	out.Next = c.first + uint64(i)
	return out
}

// CacheEvents implements endpoint.Engine.
func (e *Engine) CacheEvents(ctx context.Context, from uint64) (endpoint.CacheEvents, error) {
	if err := e.beginCall(ctx); err != nil {
		return endpoint.CacheEvents{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.events(from, e.cfg.EventLag+e.faults.EventLag), nil
}
