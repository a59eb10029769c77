package routing

import "time"

// reportLag is the assumed maximum lag of a load report. Work that was reserved
// up to this long before a report arrived counts as missing from the report.
const reportLag = 200 * time.Millisecond

// ownWork counts the entry's own requests on one endpoint and estimates which
// of them the last load report doesn't include. It groups reservations into
// buckets of at least reportLag. It is guarded by the replica's lock.
type ownWork struct {
	// inFlight counts requests. unstartedTokens counts the uncached prompt
	// tokens of those without a first frame.
	inFlight        int
	unstartedTokens int
	// recent is the work of the current bucket. earlier is the work of the
	// buckets from earliestBucket up to the one before it. The last report did
	// not include either.
	recent  work
	earlier work
	// bucket is the number of the current bucket, bucketAt its start.
	bucket         uint32
	earliestBucket uint32
	bucketAt       time.Time
}

// work is a number of requests and of their uncached prompt tokens.
type work struct {
	requests int
	tokens   int
}

// unreported returns the work that the last report did not include.
func (o *ownWork) unreported() work {
	return work{o.recent.requests + o.earlier.requests, o.recent.tokens + o.earlier.tokens}
}

// add counts a new request and returns its bucket.
func (o *ownWork) add(tokens int, now time.Time) uint32 {
	o.rotate(now)
	o.inFlight++
	o.unstartedTokens += tokens
	o.recent.requests++
	o.recent.tokens += tokens
	return o.bucket
}

// applyReport removes the work that a report received now includes.
func (o *ownWork) applyReport(now time.Time) {
	o.rotate(now)
	o.earlier = work{}
	o.earliestBucket = o.bucket
}

// rotate starts a new bucket if the current one is older than reportLag.
func (o *ownWork) rotate(now time.Time) {
	if now.Sub(o.bucketAt) < reportLag {
		return
	}
	o.earlier = o.unreported()
	o.recent = work{}
	o.bucket++
	o.bucketAt = now
}

// workOf returns the work in which a reservation is counted, or nil if the last
// report included it.
func (o *ownWork) workOf(res reservation) *work {
	switch {
	case res.bucket == o.bucket:
		return &o.recent
	case res.bucket-o.earliestBucket < o.bucket-o.earliestBucket:
		return &o.earlier
	default:
		return nil
	}
}

// start subtracts the prompt tokens of a reservation whose prefill is complete.
// It returns false if the last report included them.
func (o *ownWork) start(res reservation) bool {
	o.unstartedTokens -= res.uncachedTokens
	w := o.workOf(res)
	if w == nil {
		return false
	}
	w.tokens -= res.uncachedTokens
	return true
}

// release subtracts a finished request. It returns false if the last report
// included it.
func (o *ownWork) release(res reservation) bool {
	o.inFlight--
	w := o.workOf(res)
	if w == nil {
		return false
	}
	w.requests--
	return true
}
