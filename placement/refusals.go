package placement

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// offerKind identifies the offers that a refusal applies to: a class of
// reclaimable or other hosts in a failure domain.
type offerKind struct {
	domain, class string
	reclaimable   bool
}

func kindOf(o infra.Offer) offerKind {
	return offerKind{domain: o.FailureDomain, class: o.Class, reclaimable: o.Reclaimable}
}

// refusals records refused offers and excludes them from plans with exponential
// backoff and jitter.
type refusals struct {
	initialWait, maxWait time.Duration
	byKind               map[offerKind]*refusal
}

// refusal is the backoff state of a refused kind of offer.
type refusal struct {
	delays *backoff.ExponentialBackOff
	until  time.Time
}

func newRefusals(cfg Config) *refusals {
	return &refusals{initialWait: cfg.RefusalBackoff, maxWait: cfg.RefusalBackoffMax, byKind: make(map[offerKind]*refusal)}
}

// allowed reports whether a host of an offer may be requested now.
func (r *refusals) allowed(o infra.Offer, now time.Time) bool {
	refused := r.byKind[kindOf(o)]
	return refused == nil || !now.Before(refused.until)
}

// add records a refusal and returns how long the offer is excluded.
func (r *refusals) add(o infra.Offer, now time.Time) time.Duration {
	k := kindOf(o)
	refused := r.byKind[k]
	if refused == nil {
		delays := backoff.NewExponentialBackOff()
		delays.InitialInterval, delays.MaxInterval, delays.Multiplier = r.initialWait, r.maxWait, 2
		refused = &refusal{delays: delays}
		r.byKind[k] = refused
	}
	d := refused.delays.NextBackOff()
	refused.until = now.Add(d)
	return d
}

// reset removes the refusals of an offer after a request was granted.
func (r *refusals) reset(o infra.Offer) { delete(r.byKind, kindOf(o)) }
