package placement

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// kind names what the cloud refuses: a class in a failure domain.
type kind struct {
	domain, class string
	reclaimable   bool
}

func kindOf(o infra.Offer) kind {
	return kind{domain: o.FailureDomain, class: o.Class, reclaimable: o.Reclaimable}
}

// refusals keeps refused offers closed for a time that grows with each
// refusal, with jitter.
type refusals struct {
	first, most time.Duration
	kinds       map[kind]*refusal
}

type refusal struct {
	wait  *backoff.ExponentialBackOff
	until time.Time
}

func newRefusals(cfg Config) *refusals {
	return &refusals{first: cfg.RefusalBackoff, most: cfg.RefusalBackoffMax, kinds: make(map[kind]*refusal)}
}

// open reports whether an offer may be tried.
func (r *refusals) open(o infra.Offer, now time.Time) bool {
	refused := r.kinds[kindOf(o)]
	return refused == nil || !now.Before(refused.until)
}

// refuse closes an offer and returns for how long.
func (r *refusals) refuse(o infra.Offer, now time.Time) time.Duration {
	k := kindOf(o)
	refused := r.kinds[k]
	if refused == nil {
		wait := backoff.NewExponentialBackOff()
		wait.InitialInterval, wait.MaxInterval, wait.Multiplier = r.first, r.most, 2
		refused = &refusal{wait: wait}
		r.kinds[k] = refused
	}
	d := refused.wait.NextBackOff()
	refused.until = now.Add(d)
	return d
}

// grant forgets the refusals of an offer.
func (r *refusals) grant(o infra.Offer) { delete(r.kinds, kindOf(o)) }
