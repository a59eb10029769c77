package relay

import "sync/atomic"

// Counts are events since the start.
type Counts struct {
	// Dropped frames were late, crossed or repeated.
	Dropped uint64
	// Reread streams were read again from an offset.
	Reread uint64
	// Broken streams were abandoned, Resumed attempts went on from a text.
	Broken, Resumed uint64
	// Moved streams left their host on notice, Migrated ones with KV cache.
	Moved, Migrated uint64
}

type counters struct {
	dropped, reread, broken, resumed, moved, migrated atomic.Uint64
	// prefilled and tokens are sums over whole answers.
	prefilled, tokens atomic.Uint64
}

// UrgentPart returns the part of the running streams that is urgent, in
// [0, 1].
func (r *Relay) UrgentPart() float64 { return r.streams.urgentPart() }

// PrefillPart returns the part of all prompt and answer tokens carried so far
// that had to be prefilled, in [0, 1].
func (r *Relay) PrefillPart() float64 {
	tokens := r.counts.tokens.Load()
	if tokens == 0 {
		return 0
	}
	return min(1, float64(r.counts.prefilled.Load())/float64(tokens))
}

func (c *counters) snapshot() Counts {
	return Counts{
		Dropped:  c.dropped.Load(),
		Reread:   c.reread.Load(),
		Broken:   c.broken.Load(),
		Resumed:  c.resumed.Load(),
		Moved:    c.moved.Load(),
		Migrated: c.migrated.Load(),
	}
}
