package routing

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// Started records that the first frame of an answer has arrived. The prefill is
// therefore complete, and the prompt's blocks are in the endpoint's cache.
func (f *Fleet) Started(c Choice, first endpoint.Frame) {
	r := c.replica
	if r == nil {
		return
	}
	now := f.now()
	r.mu.Lock()
	if r.start(c.reservation) {
		r.recordLateness(c.PredictedTTFT, now.Sub(c.reservation.at), now)
		for _, hash := range c.reservation.hashes {
			f.recordCached(r, hash)
		}
	}
	r.health.recordSuccess()
	r.mu.Unlock()
	if first.Load != nil {
		f.reportLoad(r, *first.Load)
	}
}

// Progress applies the load report that arrived with a later frame.
func (f *Fleet) Progress(c Choice, l endpoint.Load) {
	if c.replica != nil {
		f.reportLoad(c.replica, l)
	}
}

// Done releases a choice and records its outcome. Further calls have no effect.
func (f *Fleet) Done(c Choice, o Outcome) {
	r := c.replica
	if r == nil {
		return
	}
	r.mu.Lock()
	released := r.release(c.reservation)
	if released && o.Err == nil {
		r.health.recordSuccess()
	}
	r.mu.Unlock()
	if !released {
		return
	}
	if o.Err == nil && o.GeneratedTokens > 0 {
		r.stats.answerTokens.observe(float64(o.GeneratedTokens))
	}
	if isEndpointFailure(o.Err) {
		f.handleFailure(r, o.Err)
	}
}

// ReportLoad applies a load report, such as the answer to a probe.
func (f *Fleet) ReportLoad(endpointID string, l endpoint.Load) {
	r := f.view.Load().byID[endpointID]
	if r == nil {
		return
	}
	r.mu.Lock()
	r.health.recordSuccess()
	r.mu.Unlock()
	f.reportLoad(r, l)
}

func (f *Fleet) reportLoad(r *replica, l endpoint.Load) {
	r.mu.Lock()
	r.setLoad(l, f.now())
	r.mu.Unlock()
	if l.Leaving && !r.host.leaving() {
		f.markAndNotifyLeaving(r.host, ReasonEngine)
	}
}

// markAndNotifyLeaving marks a host as draining and calls OnLeaving if the mark
// is new.
func (f *Fleet) markAndNotifyLeaving(h *hostState, reason string) {
	if f.MarkLeaving(h.ID, h.Incarnation, reason) && f.opts.OnLeaving != nil {
		f.opts.OnLeaving(h.ID, h.Incarnation, reason)
	}
}

// status returns the status of an endpoint for the status API.
func (r *replica) status(now time.Time) EndpointStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	econ := r.host.economics.Load()
	s := EndpointStatus{
		Endpoint:      r.endpoint,
		HostID:        r.host.ID,
		Incarnation:   r.host.Incarnation,
		FailureDomain: r.host.FailureDomain,
		Class:         r.host.Class,
		Reclaimable:   r.host.Reclaimable,
		Leaving:       r.host.leaving(),
		Ejected:       r.health.ejected(now),
		InFlight:      r.own.inFlight,
		Running:       r.load.Running,
		Waiting:       r.load.Waiting,
		ReportAge:     -1,
		PredictedTTFT: r.predict(predictionInput{precedingFraction: 1}, now).ttft,
		PricePerHour:  econ.pricePerSecond * time.Hour.Seconds(),
		LossPerHour:   econ.lossPerSecond * time.Hour.Seconds(),
	}
	if s.Leaving {
		s.LeavingReason = r.host.leavingReason
	}
	if r.hasReport {
		s.ReportAge = now.Sub(r.loadAt)
	}
	return s
}
