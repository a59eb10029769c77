package routing

import "sync"

const (
	// DefaultIndexEntries is the default size of the prefix index in blocks; at
	// 64 tokens per block it covers 16 million cached tokens.
	DefaultIndexEntries = 1 << 18
	// indexShards is the number of separately locked shards, which reduces lock
	// contention.
	indexShards = 64
	// maxLocations is the maximum number of endpoints recorded for one block.
	// An entry with this many fills one cache line.
	maxLocations = 6
)

// prefixIndex records which endpoints have which prompt blocks in their prefix
// caches. Its keys are the chained, customer-salted hashes of package prefix.
// Memory is bounded: a full shard evicts the least recently used entry, by the
// CLOCK approximation. A slab with a map of slot numbers takes a third of the
// memory of a library cache with one node per entry. It is safe for concurrent
// use.
type prefixIndex struct {
	shards [indexShards]indexShard
}

// indexShard is one part of the index, with its own lock.
type indexShard struct {
	mu sync.Mutex
	// slots maps a block's hash to its position in entries.
	slots   map[uint64]uint32
	entries []indexEntry
	// limit is the maximum number of entries.
	limit int
	// hand is the position in entries at which evict continues.
	hand int
}

// indexEntry is one block and the endpoints that have it cached.
type indexEntry struct {
	hash uint64
	// locations holds n locations, in the order in which they were added.
	locations [maxLocations]blockLocation
	n         uint8
	// used is the reference bit of the CLOCK algorithm.
	used bool
}

// blockLocation identifies an endpoint that has a block cached.
type blockLocation struct {
	// number is the endpoint's number in the view.
	number uint32
	// stamp is the endpoint's cache age when the block was recorded.
	stamp uint32
}

func newPrefixIndex(entries int) *prefixIndex {
	if entries <= 0 {
		entries = DefaultIndexEntries
	}
	x := &prefixIndex{}
	for i := range x.shards {
		x.shards[i].slots = make(map[uint64]uint32)
		x.shards[i].limit = max(1, entries/indexShards)
	}
	return x
}

func (x *prefixIndex) shard(hash uint64) *indexShard {
	return &x.shards[mix(hash)%indexShards]
}

// find copies the locations of a block to out and returns how many there are.
func (x *prefixIndex) find(hash uint64, out *[maxLocations]blockLocation) int {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, ok := s.slots[hash]
	if !ok {
		return 0
	}
	e := &s.entries[slot]
	e.used = true
	*out = e.locations
	return int(e.n)
}

// add records that an endpoint has a block cached. It returns false if the
// endpoint was already recorded, and then updates the stamp.
func (x *prefixIndex) add(hash uint64, loc blockLocation) bool {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(hash)
	for i := range e.n {
		if e.locations[i].number == loc.number {
			e.locations[i] = loc
			return false
		}
	}
	if e.n < maxLocations {
		e.locations[e.n] = loc
		e.n++
		return true
	}
	// The first location was added longest ago.
	copy(e.locations[:], e.locations[1:])
	e.locations[maxLocations-1] = loc
	return true
}

// remove records that an endpoint has evicted a block. It returns false if the
// endpoint was not recorded.
func (x *prefixIndex) remove(hash uint64, number uint32) bool {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, ok := s.slots[hash]
	if !ok {
		return false
	}
	e := &s.entries[slot]
	for i := range e.n {
		if e.locations[i].number != number {
			continue
		}
		copy(e.locations[i:e.n], e.locations[i+1:e.n])
		e.n--
		if e.n == 0 {
			e.used = false
		}
		return true
	}
	return false
}

// len returns the number of blocks in the index.
func (x *prefixIndex) len() int {
	n := 0
	for i := range x.shards {
		s := &x.shards[i]
		s.mu.Lock()
		n += len(s.slots)
		s.mu.Unlock()
	}
	return n
}

// entry returns the entry of a hash, created if necessary. s.mu is held.
func (s *indexShard) entry(hash uint64) *indexEntry {
	if slot, ok := s.slots[hash]; ok {
		s.entries[slot].used = true
		return &s.entries[slot]
	}
	slot := len(s.entries)
	if slot < s.limit {
		s.entries = append(s.entries, indexEntry{})
	} else {
		slot = s.evict()
	}
	s.slots[hash] = uint32(slot)
	s.entries[slot] = indexEntry{hash: hash}
	return &s.entries[slot]
}

// evict removes an entry by the CLOCK algorithm and returns its slot. s.mu is
// held.
func (s *indexShard) evict() int {
	for {
		slot := s.hand
		s.hand = (s.hand + 1) % len(s.entries)
		if s.entries[slot].used {
			s.entries[slot].used = false
			continue
		}
		delete(s.slots, s.entries[slot].hash)
		return slot
	}
}
