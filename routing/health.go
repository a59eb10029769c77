package routing

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// ejectAfter is the number of failures in a row that eject an endpoint.
	ejectAfter = 3
	// Bounds of the time for which an endpoint is ejected.
	minEjection = time.Second
	maxEjection = time.Minute
)

// health is guarded by the replica's lock.
type health struct {
	// failures counts failures in a row.
	failures int
	until    time.Time
	pause    *backoff.ExponentialBackOff
}

// ejected says whether an endpoint takes no new work. Once the time is over
// it takes some; the next failure ejects it again, for longer.
func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }

// fail counts a failure and returns for how long the endpoint is ejected, 0
// for not.
func (h *health) fail(now time.Time) time.Duration {
	if h.ejected(now) {
		return 0
	}
	h.failures++
	if h.failures < ejectAfter {
		return 0
	}
	if h.pause == nil {
		h.pause = backoff.NewExponentialBackOff()
		h.pause.InitialInterval = minEjection
		h.pause.MaxInterval = maxEjection
	}
	pause := h.pause.NextBackOff()
	h.until = now.Add(pause)
	return pause
}

// ok ends an ejection, and forgets all failures.
func (h *health) ok() { *h = health{} }

// blames says whether an error speaks against the endpoint. A caller that
// went away and a request that was refused for itself do not.
func blames(err error) bool {
	if err == nil || errors.Is(err, context.Canceled) {
		return false
	}
	switch verdict.CodeOf(err) {
	case verdict.CodeUnavailable, verdict.CodeInternal, verdict.CodeDeadline:
		return true
	default:
		return false
	}
}

// ReportFailure tells that a probe of an endpoint failed.
func (f *Fleet) ReportFailure(endpointID string, err error) {
	if r := f.view.Load().byID[endpointID]; r != nil && blames(err) {
		f.failed(r, err)
	}
}

func (f *Fleet) failed(r *replica, err error) {
	r.mu.Lock()
	pause := r.health.fail(f.now())
	r.mu.Unlock()
	if pause == 0 {
		return
	}
	f.probeMu.Lock()
	f.ejected = append(f.ejected, r)
	f.probeMu.Unlock()
	f.log.WithError(err).WithField("endpoint", r.endpoint.ID).WithField("for", pause).
		Warn("routing: endpoint ejected.")
}
