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
