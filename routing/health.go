package routing

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which an
	// endpoint is ejected.
	ejectAfterFailures = 3
	// Bounds of the duration of an ejection.
	minEjection = time.Second
	maxEjection = time.Minute
)

// health tracks the failures of an endpoint and its ejection. It is guarded by
// the replica's lock.
type health struct {
	consecutiveFailures int
	ejectedUntil        time.Time
	ejectionBackOff     *backoff.ExponentialBackOff
}

// ejected reports whether the endpoint is ejected and therefore gets no new
// work. When an ejection ends, the endpoint gets work again, and the next
// failure ejects it for longer.
func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// recordFailure counts a failure and returns the duration of the ejection that
// it causes, or 0 if it causes none.
func (h *health) recordFailure(now time.Time) time.Duration {
	if h.ejected(now) {
		return 0
	}
	h.consecutiveFailures++
	if h.consecutiveFailures < ejectAfterFailures {
		return 0
	}
	if h.ejectionBackOff == nil {
		h.ejectionBackOff = backoff.NewExponentialBackOff()
		h.ejectionBackOff.InitialInterval = minEjection
		h.ejectionBackOff.MaxInterval = maxEjection
	}
	pause := h.ejectionBackOff.NextBackOff()
	h.ejectedUntil = now.Add(pause)
	return pause
}

// recordSuccess ends an ejection and resets the failure count.
func (h *health) recordSuccess() { *h = health{} }

// isEndpointFailure reports whether an error indicates a fault of the endpoint.
// A cancellation by the client and the rejection of an invalid request do not.
func isEndpointFailure(err error) bool {
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

// ReportFailure records that a probe of an endpoint failed.
func (f *Fleet) ReportFailure(endpointID string, err error) {
	if r := f.view.Load().byID[endpointID]; r != nil && isEndpointFailure(err) {
		f.handleFailure(r, err)
	}
}

// handleFailure records a failure of an endpoint. If the failure ejects it, the
// endpoint is queued for a probe after the ejection.
func (f *Fleet) handleFailure(r *replica, err error) {
	r.mu.Lock()
	pause := r.health.recordFailure(f.now())
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
