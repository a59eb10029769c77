package balance

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

const (
	// failureDecay is the time constant of a replica's failure rate.
	failureDecay = 3 * time.Second
	// ejectThreshold is the excess of a replica's failure rate over the mean of
	// its service from which the replica is ejected.
	ejectThreshold = 0.3
	// ejectMinFailures is the decayed number of failures below which a replica
	// is not ejected for its failure rate.
	ejectMinFailures = 2.0
	// maxEjectedFraction is the fraction of a service's replicas that may be
	// ejected.
	maxEjectedFraction = 1.0 / 3
	// unresponsiveFailures is the number of consecutive failures after which a
	// replica is ejected at once, because it may have crashed.
	unresponsiveFailures = 2
	// unresponsivePause is the time for which such a replica is ejected at
	// first. It doubles with each further failure up to maxUnresponsivePause.
	unresponsivePause    = 400 * time.Millisecond
	maxUnresponsivePause = 3 * time.Second
)

// failures counts the recent outcomes of requests to a replica, with
// exponential decay.
type failures struct {
	succeeded, failed float64
	at                time.Time
	// consecutive counts failures since the last answer. ejectedUntil is the
	// time until which an unresponsive replica gets no requests.
	consecutive  int
	ejectedUntil time.Time
}

func (f *failures) decay(now time.Time) {
	if f.at.IsZero() {
		f.at = now
		return
	}
	k := math.Exp(-now.Sub(f.at).Seconds() / failureDecay.Seconds())
	f.succeeded, f.failed, f.at = f.succeeded*k, f.failed*k, now
}

func (f *failures) add(now time.Time, o Outcome) {
	f.decay(now)
	switch o {
	case Answered:
		f.succeeded++
		f.consecutive = 0
		f.ejectedUntil = time.Time{}
	case Refused:
		// A replica that refuses a request is reachable, but at capacity.
		f.succeeded++
		f.consecutive = 0
	case Failed:
		f.failed++
		f.consecutive++
		if f.consecutive >= unresponsiveFailures {
			pause := min(unresponsivePause<<min(f.consecutive-unresponsiveFailures, 3), maxUnresponsivePause)
			f.ejectedUntil = now.Add(pause)
		}
	}
}

// rate returns the fraction of recent requests that failed. The additional 1 in
// the denominator keeps the rate low after few requests.
func (f *failures) rate(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	k := math.Exp(-now.Sub(f.at).Seconds() / failureDecay.Seconds())
	return f.failed * k / (f.succeeded*k + f.failed*k + 1)
}

// ejectedLocked returns the replicas to exclude from a choice.
func (b *Balancer) ejectedLocked(ready []*replica.Replica, now time.Time) map[string]bool {
	mean, n := 0.0, 0
	for _, r := range ready {
		if st := b.states[r.ID]; st != nil {
			mean += st.failures.rate(now)
		}
		n++
	}
	if n == 0 {
		return nil
	}
	mean /= float64(n)
	maxEjected := int(float64(n) * maxEjectedFraction)
	var out map[string]bool
	for _, r := range ready {
		st := b.states[r.ID]
		if st == nil || st.incarnation != r.Incarnation || len(out) >= maxEjected {
			continue
		}
		f := &st.failures
		if !now.Before(f.ejectedUntil) && (f.failed < ejectMinFailures || f.rate(now) < mean+ejectThreshold) {
			continue
		}
		if out == nil {
			out = make(map[string]bool)
		}
		out[r.ID] = true
	}
	b.logEjectionsLocked(ready, out, mean, now)
	return out
}

// logEjectionsLocked logs the replicas that are newly ejected and those that
// are readmitted.
func (b *Balancer) logEjectionsLocked(ready []*replica.Replica, ejected map[string]bool, mean float64, now time.Time) {
	for _, r := range ready {
		st := b.states[r.ID]
		if st == nil || st.ejected == ejected[r.ID] {
			continue
		}
		st.ejected = ejected[r.ID]
		log := b.opt.Log.WithFields(logrus.Fields{
			"replica": r.ID, "born": r.Incarnation, "service": r.Service,
			"failed_part": thousandths(st.failures.rate(now)), "service_mean": thousandths(mean),
			"failures_in_a_row": st.failures.consecutive,
		})
		if st.ejected {
			log.WithField("until_ms", max(0, st.failures.ejectedUntil.Sub(now).Milliseconds())).Warn("balance: replica ejected.")
		} else {
			log.Info("balance: replica readmitted.")
		}
	}
}
