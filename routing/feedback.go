package routing

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// Started reports the first frame of a choice: its prefill is over, and the
// prompt's blocks are in the endpoint's cache.
func (f *Fleet) Started(c Choice, first endpoint.Frame) {
	r := c.replica
	if r == nil {
		return
	}
	now := f.now()
	r.mu.Lock()
	if r.start(c.reservation) {
		r.learnLate(c.PredictedTTFT, now.Sub(c.reservation.at), now)
		for _, hash := range c.reservation.hashes {
			f.remember(r, hash)
		}
	}
	r.health.ok()
	r.mu.Unlock()
	if first.Load != nil {
		f.reportLoad(r, *first.Load)
	}
}

// Progress reports the load that came with a later frame.
func (f *Fleet) Progress(c Choice, l endpoint.Load) {
	if c.replica != nil {
		f.reportLoad(c.replica, l)
	}
}

// Done releases a choice. A second call has no effect.
func (f *Fleet) Done(c Choice, o Outcome) {
	r := c.replica
	if r == nil {
		return
	}
	r.mu.Lock()
	released := r.release(c.reservation)
	if released && o.Err == nil {
		r.health.ok()
	}
	r.mu.Unlock()
	if !released {
		return
	}
	if o.Err == nil && o.GeneratedTokens > 0 {
		r.stats.answerTokens.observe(float64(o.GeneratedTokens))
	}
	if blames(o.Err) {
		f.failed(r, o.Err)
	}
}

// ReportLoad takes over a load report, such as the answer to a probe.
func (f *Fleet) ReportLoad(endpointID string, l endpoint.Load) {
	r := f.view.Load().byID[endpointID]
	if r == nil {
		return
	}
	r.mu.Lock()
	r.health.ok()
	r.mu.Unlock()
	f.reportLoad(r, l)
}

func (f *Fleet) reportLoad(r *replica, l endpoint.Load) {
	r.mu.Lock()
	r.setLoad(l, f.now())
	r.mu.Unlock()
	if l.Leaving && !r.host.leaving() {
		f.foundLeaving(r.host, ReasonEngine)
	}
}

// foundLeaving marks a host and tells the owner of the Fleet.
func (f *Fleet) foundLeaving(h *hostState, reason string) {
	if f.MarkLeaving(h.ID, h.Incarnation, reason) && f.opts.OnLeaving != nil {
		f.opts.OnLeaving(h.ID, h.Incarnation, reason)
	}
}

func (r *replica) status(now time.Time) EndpointStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	econ := r.host.econ.Load()
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
		PredictedTTFT: r.predict(demand{before: 1}, now).ttft,
		PricePerHour:  econ.pricePerSecond * time.Hour.Seconds(),
		LossPerHour:   econ.lossPerSecond * time.Hour.Seconds(),
	}
	if s.Leaving {
		s.LeavingReason = r.host.reason
	}
	if r.reported {
		s.ReportAge = now.Sub(r.loadAt)
	}
	return s
}
