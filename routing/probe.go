package routing

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

const (
	// probesPerRequest sizes the probes by the entry's own request rate.
	probesPerRequest = 0.25
	// idleProbes is the rate of probes per second without any request.
	idleProbes = 2.0
	// maxProbeCredit bounds the probes saved up.
	maxProbeCredit = 32.0
	// probeSample is the number of endpoints of which the one with the
	// oldest report is probed.
	probeSample = 4
)

// prober paces probes. It is guarded by Fleet.probeMu.
type prober struct {
	credit float64
	at     time.Time
	// requests is the count of choices at the last call.
	requests uint64
}

// NextProbe returns the endpoint to probe now, or false when none is due. The
// caller asks it for its load and cache events and tells ReportLoad and
// ApplyCacheEvents, or ReportFailure.
//
// Probes follow the entry's own request rate and not the number of endpoints,
// as published for Prequal ("Load is not what you should balance", NSDI
// 2024): what a choice needs is fresh reports from the endpoints that it
// samples. Load that comes with answers does most of it here, so that one
// probe for four requests is enough.
func (f *Fleet) NextProbe() (infra.Endpoint, bool) {
	now := f.now()
	if !f.takeProbe(now) {
		return infra.Endpoint{}, false
	}
	v := f.view.Load()
	if len(v.probed) == 0 {
		return infra.Endpoint{}, false
	}
	if r := f.dueEjected(now); r != nil {
		return r.endpoint, true
	}
	var oldest *replica
	var at time.Time
	for range probeSample {
		r := v.probed[f.sampler.below(len(v.probed))]
		r.mu.Lock()
		seen := r.loadAt
		r.mu.Unlock()
		if oldest == nil || seen.Before(at) {
			oldest, at = r, seen
		}
	}
	return oldest.endpoint, true
}

func (f *Fleet) takeProbe(now time.Time) bool {
	f.probeMu.Lock()
	defer f.probeMu.Unlock()
	p := &f.prober
	if p.at.IsZero() {
		p.credit = 1
	} else {
		p.credit += now.Sub(p.at).Seconds() * idleProbes
	}
	p.at = now
	requests := f.requests.Load()
	p.credit += float64(requests-p.requests) * probesPerRequest
	p.requests = requests
	p.credit = min(p.credit, maxProbeCredit)
	if p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

// dueEjected returns an endpoint whose ejection ran out, once for each
// ejection.
func (f *Fleet) dueEjected(now time.Time) *replica {
	f.probeMu.Lock()
	defer f.probeMu.Unlock()
	var due *replica
	kept := f.ejected[:0]
	for _, r := range f.ejected {
		switch {
		case r.host.leaving():
		case due == nil && r.ejectionOver(now):
			due = r
		default:
			kept = append(kept, r)
		}
	}
	clear(f.ejected[len(kept):])
	f.ejected = kept
	return due
}

func (r *replica) ejectionOver(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.health.ejected(now)
}
