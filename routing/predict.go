package routing

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// Defaults until an endpoint has reported.
const (
	// defaultPrefillRate and defaultDecodeRate are in tokens per second.
	defaultPrefillRate = 8000.0
	defaultDecodeRate  = 40.0
	// defaultMaxRunning is a batch size.
	defaultMaxRunning = 16
	// defaultAnswerTokens is the length of an answer.
	defaultAnswerTokens = 128.0
)

// estimate is what is predicted for a request on a replica.
type estimate struct {
	ttft time.Duration
	// occupancy is the part of the batch in use; above 1 streams wait.
	occupancy float64
	// prefill and decode are in tokens per second.
	prefill float64
	decode  float64
	batch   int
}

// predict estimates the time to the first token of a request with the given
// uncached prompt tokens. r.mu is held.
func (r *replica) predict(uncached int) estimate {
	e := estimate{
		prefill: positive(r.load.PrefillRate, defaultPrefillRate),
		decode:  positive(r.load.DecodeRate, defaultDecodeRate),
		batch:   r.load.MaxRunning,
	}
	if e.batch <= 0 {
		e.batch = defaultMaxRunning
	}
	streams := max(r.load.Running+r.load.Waiting+r.sinceReport.requests, r.inFlight)
	e.occupancy = float64(streams) / float64(e.batch)
	queued := max(r.load.QueuedPromptTokens+r.sinceReport.tokens, r.unstarted)
	wait := float64(queued+uncached) / e.prefill
	if over := streams + 1 - e.batch; over > 0 {
		wait += float64(over) * defaultAnswerTokens / (e.decode * float64(e.batch))
	}
	e.ttft = time.Duration(wait * float64(time.Second))
	return e
}

func positive(v, otherwise float64) float64 {
	if v > 0 {
		return v
	}
	return otherwise
}

// reserve counts a request in, unless the host is leaving.
func (r *replica) reserve(uncached int, now time.Time) (reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.host.leaving() {
		return reservation{}, false
	}
	r.inFlight++
	r.unstarted += uncached
	r.sinceReport.requests++
	r.sinceReport.tokens += uncached
	return reservation{uncached: uncached, report: r.report, at: now, progress: &progress{}}, true
}

// start ends the prefill of a reservation. r.mu is held.
func (r *replica) start(held reservation) {
	if held.started {
		return
	}
	held.started = true
	r.unstarted -= held.uncached
	if held.report == r.report {
		r.sinceReport.tokens -= held.uncached
	}
}

// release takes a reservation back. It returns false the second time.
func (r *replica) release(held reservation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held.done {
		return false
	}
	r.start(held)
	held.done = true
	r.inFlight--
	if held.report == r.report {
		r.sinceReport.requests--
	}
	return true
}

// setLoad takes over a load report. r.mu is held.
func (r *replica) setLoad(l endpoint.Load, now time.Time) {
	r.load = l
	r.loadAt = now
	r.reported = true
	r.report++
	r.sinceReport = work{}
}

func (r *replica) status(now time.Time) EndpointStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := EndpointStatus{
		Endpoint:      r.endpoint,
		HostID:        r.host.ID,
		Incarnation:   r.host.Incarnation,
		FailureDomain: r.host.FailureDomain,
		Class:         r.host.Class,
		Reclaimable:   r.host.Reclaimable,
		Leaving:       r.host.leaving(),
		InFlight:      r.inFlight,
		Running:       r.load.Running,
		Waiting:       r.load.Waiting,
		ReportAge:     -1,
		PredictedTTFT: r.predict(0).ttft,
		PricePerHour:  r.host.PricePerHour,
	}
	if s.Leaving {
		s.LeavingReason = r.host.reason
	}
	if r.reported {
		s.ReportAge = now.Sub(r.loadAt)
	}
	return s
}
