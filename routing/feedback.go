package routing

import (
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/platform"
)

// Started reports the first frame of a choice: its prefill is over.
func (f *Fleet) Started(c Choice, first endpoint.Frame) {
	if c.replica == nil {
		return
	}
	c.replica.mu.Lock()
	c.replica.start(c.reservation)
	c.replica.mu.Unlock()
	if first.Load != nil {
		f.Progress(c, *first.Load)
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
	if c.replica == nil {
		return
	}
	c.replica.release(c.reservation)
}

// ReportLoad takes over a load report, such as the answer to a probe.
func (f *Fleet) ReportLoad(endpointID string, l endpoint.Load) {
	if r := f.view.Load().byID[endpointID]; r != nil {
		f.reportLoad(r, l)
	}
}

func (f *Fleet) reportLoad(r *replica, l endpoint.Load) {
	r.mu.Lock()
	r.setLoad(l, f.now())
	r.mu.Unlock()
	if l.Leaving && !r.host.leaving() {
		f.foundLeaving(r.host, "endpoint report")
	}
}

// foundLeaving marks a host and tells the owner of the Fleet.
func (f *Fleet) foundLeaving(h *hostState, reason string) {
	if f.MarkLeaving(h.ID, h.Incarnation, reason) && f.opts.OnLeaving != nil {
		f.opts.OnLeaving(h.ID, h.Incarnation, reason)
	}
}

// ApplyCacheEvents takes over the answer to a request for cache events from
// sequence number asked on.
func (f *Fleet) ApplyCacheEvents(endpointID string, asked uint64, e endpoint.CacheEvents) {
}

// NextProbe returns the endpoint to probe now, or false when none is due.
// The caller asks it for its load and its cache events.
func (f *Fleet) NextProbe() (platform.Endpoint, bool) {
	v := f.view.Load()
	if len(v.all) == 0 {
		return platform.Endpoint{}, false
	}
	return v.all[f.sampler.below(len(v.all))].endpoint, true
}
