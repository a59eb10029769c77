package routing

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

const (
	// probesPerRequest is the number of probes for each request of the entry.
	probesPerRequest = 0.25
	// idleProbes is the number of probes per second without any request.
	idleProbes = 2.0
	// maxProbeCredit is the maximum number of probes that accumulate.
	maxProbeCredit = 32.0
	// probeSample is the number of random endpoints from which the one with
	// the oldest report is probed.
	probeSample = 4
)

// prober limits the rate of probes. It is guarded by Fleet.probeMu.
type prober struct {
	credit   float64
	lastCall time.Time
	// lastRequests is the value of Fleet.requests at the last call.
	lastRequests uint64
}

// NextProbe returns the endpoint to probe now, or false when none is due. The
// caller requests the endpoint's load and cache events and passes them to
// ReportLoad and ApplyCacheEvents, or an error to ReportFailure.
//
// The rate of probes is proportional to the entry's own request rate and not to
// the number of endpoints, as in Prequal ("Load is not what you should
// balance", NSDI 2024): a choice needs fresh reports only of the endpoints that
// it samples. Most reports arrive with answers, so that one probe for every
// four requests is enough.
func (f *Fleet) NextProbe() (infra.Endpoint, bool) {
	now := f.now()
	if !f.takeProbeCredit(now) {
		return infra.Endpoint{}, false
	}
	v := f.view.Load()
	if len(v.probeTargets) == 0 {
		return infra.Endpoint{}, false
	}
	if r := f.dueEjected(now); r != nil {
		return r.endpoint, true
	}
	var oldest *replica
	var at time.Time
	for range probeSample {
		r := v.probeTargets[f.sampler.below(len(v.probeTargets))]
		r.mu.Lock()
		loadAt := r.loadAt
		r.mu.Unlock()
		if oldest == nil || loadAt.Before(at) {
			oldest, at = r, loadAt
		}
	}
	return oldest.endpoint, true
}

// takeProbeCredit adds the credit accrued since the last call and reports
// whether a probe may be sent, for which it takes one credit.
func (f *Fleet) takeProbeCredit(now time.Time) bool {
	f.probeMu.Lock()
	defer f.probeMu.Unlock()
	p := &f.prober
	if p.lastCall.IsZero() {
		p.credit = 1
	} else {
		p.credit += now.Sub(p.lastCall).Seconds() * idleProbes
	}
	p.lastCall = now
	requests := f.requests.Load()
	p.credit += float64(requests-p.lastRequests) * probesPerRequest
	p.lastRequests = requests
	p.credit = min(p.credit, maxProbeCredit)
	if p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

// dueEjected returns an endpoint whose ejection has ended, or nil. It returns
// an endpoint once for each ejection.
func (f *Fleet) dueEjected(now time.Time) *replica {
	f.probeMu.Lock()
	defer f.probeMu.Unlock()
	var due *replica
	remaining := f.ejected[:0]
	for _, r := range f.ejected {
		switch {
		case r.host.leaving():
		case due == nil && r.ejectionOver(now):
			due = r
		default:
			remaining = append(remaining, r)
		}
	}
	clear(f.ejected[len(remaining):])
	f.ejected = remaining
	return due
}

func (r *replica) ejectionOver(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.health.ejected(now)
}
