package relay

import "sync/atomic"

// Counts are the numbers of events since the start.
type Counts struct {
	// Dropped counts frames that were late, misdelivered or repeated.
	Dropped uint64
	// Reread counts the times that a stream was read again from an offset.
	Reread uint64
	// Broken counts abandoned streams. Resumed counts the attempts that
	// continued an answer from its text or a KV cache.
	Broken, Resumed uint64
	// Moved counts the streams that were moved off their host after a
	// disruption notice. Migrated counts those of them whose KV cache was
	// moved too.
	Moved, Migrated uint64
}

type counters struct {
	dropped, reread, broken, resumed, moved, migrated atomic.Uint64
	// prefilled and tokens are sums over complete answers.
	prefilled, tokens atomic.Uint64
}

// UrgentFraction returns the fraction of the running streams that is urgent,
// in [0, 1].
func (r *Relay) UrgentFraction() float64 { return r.streams.urgentFraction() }

// PrefillFraction returns the fraction of all prompt and answer tokens of
// complete answers that had to be prefilled, in [0, 1].
func (r *Relay) PrefillFraction() float64 {
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
