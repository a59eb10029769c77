package gateway

import (
	"errors"
	"time"
)

const (
	// drainAcceptPeriod is the time after a stop signal in which requests on
	// open client connections are still accepted. Streams take seconds, and the
	// process is killed eight seconds after the signal.
	drainAcceptPeriod = 2500 * time.Millisecond
	// drainSendPeriod is the time after a stop signal in which accepted requests
	// that have not run are sent to replicas.
	drainSendPeriod = 3 * time.Second
	// drainReserve is the end of a drain in which the requests that have not
	// finished are answered.
	drainReserve = 300 * time.Millisecond
	// retryAfterDrain is the Retry-After of a draining entry: other entries can
	// serve the request at once.
	retryAfterDrain = 20 * time.Millisecond
)

// Drain starts the drain of the entry, which must be over at end. From now on,
// answers have the header "Connection: close". Requests on open connections are
// still accepted for drainAcceptPeriod, and sent to a replica for drainSendPeriod
// unless they may have run already. Later ones are refused, because they might
// not finish before the process is killed. What has not finished drainReserve
// before the end is ended with an answer. Only the first call has an effect.
func (h *Handler) Drain(end time.Time) {
	d := &drainTimes{start: time.Now(), last: end.Add(-drainReserve)}
	if h.drain.CompareAndSwap(nil, d) {
		time.AfterFunc(time.Until(d.last), h.endRequests)
	}
}

// drainTimes are the times of a drain.
type drainTimes struct {
	start time.Time
	// last is the time at which requests that have not finished are ended.
	last time.Time
}

// errDrainEnds is the cause that ends requests at the end of a drain.
var errDrainEnds = errors.New("entry stops")

// drainingFor returns the time since the drain began, and false before it.
func (h *Handler) drainingFor() (time.Duration, bool) {
	d := h.drain.Load()
	if d == nil {
		return 0, false
	}
	return time.Since(d.start), true
}

// untilLast returns the time until requests are ended by a drain, or d if that is
// sooner or no drain has begun.
func (h *Handler) untilLast(d time.Duration) time.Duration {
	if drain := h.drain.Load(); drain != nil {
		return min(d, time.Until(drain.last))
	}
	return d
}
