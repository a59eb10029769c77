package routing

import "sync"

const (
	// DefaultIndexEntries bounds the prefix index; at 64 tokens a block it
	// covers 16 million cached tokens.
	DefaultIndexEntries = 1 << 18
	// indexShards keeps concurrent callers off each other's locks.
	indexShards = 64
	// maxHolders bounds the endpoints remembered for one block. An entry then
	// fills one cache line.
	maxHolders = 6
)

// prefixIndex remembers which endpoints hold which prompt blocks in their
// prefix cache. Its keys are the chained, customer-salted hashes of package
// prefix. Memory is capped: a full shard drops the entry that was not used
// for longest, by the CLOCK approximation. A slab with a map of slot numbers
// takes a third of the memory of a library cache with one node per entry.
type prefixIndex struct {
	shards [indexShards]indexShard
}

type indexShard struct {
	mu      sync.Mutex
	slots   map[uint64]uint32
	entries []indexEntry
	limit   int
	hand    int
}

// indexEntry is one block and the endpoints that hold it.
type indexEntry struct {
	hash    uint64
	holders [maxHolders]holder
	n       uint8
	used    bool
}

// holder is an endpoint by its number in the view, and its cache age when the
// block was last known to be there.
type holder struct {
	number uint32
	stamp  uint32
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

// find copies the holders of a block to out and returns their number.
func (x *prefixIndex) find(hash uint64, out *[maxHolders]holder) int {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot, ok := s.slots[hash]
	if !ok {
		return 0
	}
	e := &s.entries[slot]
	e.used = true
	*out = e.holders
	return int(e.n)
}

// add records that an endpoint holds a block. It returns false when that was
// known already.
func (x *prefixIndex) add(hash uint64, h holder) bool {
	s := x.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(hash)
	for i := range e.n {
		if e.holders[i].number == h.number {
			e.holders[i] = h
			return false
		}
	}
	if e.n < maxHolders {
		e.holders[e.n] = h
		e.n++
		return true
	}
	// The first holder was recorded longest ago.
	copy(e.holders[:], e.holders[1:])
	e.holders[maxHolders-1] = h
	return true
}

// remove records that an endpoint no longer holds a block. It returns false
// when it was not known to.
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
		if e.holders[i].number != number {
			continue
		}
		copy(e.holders[i:e.n], e.holders[i+1:e.n])
		e.n--
		if e.n == 0 {
			e.used = false
		}
		return true
	}
	return false
}

// len returns the number of blocks remembered.
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

// entry returns the entry of a hash, made if need be. s.mu is held.
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

// evict frees a slot. s.mu is held.
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
