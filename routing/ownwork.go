package routing

import "time"

// reportLag is how far a load report may lag: work reserved within it before
// a report arrived is taken as missing from the report.
const reportLag = 200 * time.Millisecond

// ownWork counts an entry's own work on one endpoint. It is guarded by the
// replica's lock.
type ownWork struct {
	// inFlight counts requests, unstarted the uncached prompt tokens of those
	// without a first frame.
	inFlight  int
	unstarted int
	// recent is the work of the current bucket, earlier that of the buckets
	// from earliest on which the last report did not show.
	recent   work
	earlier  work
	bucket   uint32
	earliest uint32
	bucketAt time.Time
}

// work is an amount of reserved work.
type work struct {
	requests int
	tokens   int
}

// unseen returns the work that the last report did not show.
func (o *ownWork) unseen() work {
	return work{o.recent.requests + o.earlier.requests, o.recent.tokens + o.earlier.tokens}
}

// add counts a request in and returns its bucket.
func (o *ownWork) add(tokens int, now time.Time) uint32 {
	o.rotate(now)
	o.inFlight++
	o.unstarted += tokens
	o.recent.requests++
	o.recent.tokens += tokens
	return o.bucket
}

// report forgets the work that a report of now shows.
func (o *ownWork) report(now time.Time) {
	o.rotate(now)
	o.earlier = work{}
	o.earliest = o.bucket
}

func (o *ownWork) rotate(now time.Time) {
	if now.Sub(o.bucketAt) < reportLag {
		return
	}
	o.earlier = o.unseen()
	o.recent = work{}
	o.bucket++
	o.bucketAt = now
}

// holding returns where a reservation is counted, or nil when the last report
// shows it.
func (o *ownWork) holding(held reservation) *work {
	switch {
	case held.bucket == o.bucket:
		return &o.recent
	case held.bucket-o.earliest < o.bucket-o.earliest:
		return &o.earlier
	default:
		return nil
	}
}

// start takes off prompt tokens. It returns false when a report shows them.
func (o *ownWork) start(held reservation) bool {
	o.unstarted -= held.uncached
	w := o.holding(held)
	if w == nil {
		return false
	}
	w.tokens -= held.uncached
	return true
}

// release takes off a request. It returns false when a report shows it.
func (o *ownWork) release(held reservation) bool {
	o.inFlight--
	w := o.holding(held)
	if w == nil {
		return false
	}
	w.requests--
	return true
}
