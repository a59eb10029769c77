package balance

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
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
	// maxPeerOutcomes bounds the weight of the outcomes that other entries
	// reported of a replica, so that hundreds of reports are outweighed within
	// a few time constants once the replica answers again.
	maxPeerOutcomes = 8.0
	// minReportedOutcomes is the decayed number of outcomes below which they
	// are not reported.
	minReportedOutcomes = 0.05
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
	case Failed, Crashed:
		f.failed++
		f.consecutive++
		if o == Crashed {
			f.consecutive = max(f.consecutive, unresponsiveFailures)
		}
		if f.consecutive >= unresponsiveFailures {
			pause := min(unresponsivePause<<min(f.consecutive-unresponsiveFailures, 3), maxUnresponsivePause)
			f.ejectedUntil = now.Add(pause)
		}
	}
}

// decayed returns the numbers of recent requests that succeeded and failed.
func (f *failures) decayed(now time.Time) (succeeded, failed float64) {
	if f.at.IsZero() {
		return 0, 0
	}
	k := math.Exp(-now.Sub(f.at).Seconds() / failureDecay.Seconds())
	return f.succeeded * k, f.failed * k
}

// rate returns the fraction of this entry's recent requests that failed. The
// cost of a choice depends on it alone: with the outcomes of all entries, all of
// them would gather on the replicas that failed least in the last second.
func (f *failures) rate(now time.Time) float64 {
	succeeded, failed := f.decayed(now)
	return failureRate(succeeded, failed)
}

// failureRate returns the fraction of requests that failed. The additional 1 in
// the denominator keeps the rate low after few requests.
func failureRate(succeeded, failed float64) float64 { return failed / (succeeded + failed + 1) }

// outcomes are the recent outcomes of the requests that other entries sent to a
// replica, as of a time.
type outcomes struct {
	succeeded, failed float64
	at                time.Time
}

// plus adds the outcomes that an entry reported as of a time.
func (o outcomes) plus(reported peer.Outcomes, at time.Time) outcomes {
	return outcomes{succeeded: o.succeeded + reported.Answered, failed: o.failed + reported.Failed, at: at}
}

// decayed returns the numbers of outcomes now, with a bounded sum.
func (o outcomes) decayed(now time.Time) (succeeded, failed float64) {
	sum := o.succeeded + o.failed
	if sum <= 0 {
		return 0, 0
	}
	k := min(1, maxPeerOutcomes/sum) * math.Exp(-now.Sub(o.at).Seconds()/failureDecay.Seconds())
	return o.succeeded * k, o.failed * k
}

// outcomesLocked returns the numbers of recent requests of all entries that a
// replica answered and failed. The outcomes of other entries count only once
// they can't be those of an earlier incarnation.
func (b *Balancer) outcomesLocked(st *replicaState, r *replica.Replica, now time.Time) (succeeded, failed float64) {
	succeeded, failed = st.failures.decayed(now)
	if now.Sub(r.Seen) < failureDecay {
		return succeeded, failed
	}
	peersSucceeded, peersFailed := b.peerOutcomes[r.ID].decayed(now)
	return succeeded + peersSucceeded, failed + peersFailed
}

// failureRateLocked returns the fraction of recent requests of all entries to a
// replica that failed, which decides whether it is ejected.
func (b *Balancer) failureRateLocked(st *replicaState, r *replica.Replica, now time.Time) float64 {
	return failureRate(b.outcomesLocked(st, r, now))
}

// ejectedLocked returns the replicas to exclude from a choice.
func (b *Balancer) ejectedLocked(ready []*replica.Replica, now time.Time) map[string]bool {
	if len(ready) == 0 {
		return nil
	}
	n, mean := len(ready), 0.0
	for _, r := range ready {
		mean += b.failureRateLocked(b.stateLocked(r), r, now)
	}
	mean /= float64(n)
	maxEjected := int(float64(n) * maxEjectedFraction)
	var out map[string]bool
	for _, r := range ready {
		st := b.stateLocked(r)
		if len(out) >= maxEjected {
			continue
		}
		_, failed := b.outcomesLocked(st, r, now)
		failed = max(failed, st.failures.failed)
		if !now.Before(st.failures.ejectedUntil) && (failed < ejectMinFailures || b.failureRateLocked(st, r, now) < mean+ejectThreshold) {
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
			"failed_part": thousandths(b.failureRateLocked(st, r, now)), "service_mean": thousandths(mean),
			"failures_in_a_row": st.failures.consecutive,
		})
		if st.ejected {
			log.WithField("until_ms", max(0, st.failures.ejectedUntil.Sub(now).Milliseconds())).Warn("balance: replica ejected.")
		} else {
			log.Info("balance: replica readmitted.")
		}
	}
}
