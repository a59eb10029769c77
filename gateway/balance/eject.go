package balance

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

const (
	// failureHorizon is the time constant of a replica's failure rate.
	failureHorizon = 3 * time.Second
	// ejectAbove is how far above the mean of its service a replica's failure
	// rate must lie for it to be left out.
	ejectAbove = 0.3
	// ejectMinimum is the weight of recent requests that a rate needs.
	ejectMinimum = 2.0
	// ejectedAtMost is the part of a service that may be left out.
	ejectedAtMost = 1.0 / 3
	// silentFailures is how many failures without any answer in between leave
	// a replica out, as one that crashed does.
	silentFailures = 2
	// silentPause is how long such a replica is left out at first; it doubles
	// up to longestSilence.
	silentPause    = 400 * time.Millisecond
	longestSilence = 3 * time.Second
)

// failures keeps how often a replica failed of late.
type failures struct {
	good, bad float64
	at        time.Time
	// row counts failures since the last answer; until is when a replica that
	// doesn't answer is tried again.
	row   int
	until time.Time
}

func (f *failures) decay(now time.Time) {
	if f.at.IsZero() {
		f.at = now
		return
	}
	k := math.Exp(-now.Sub(f.at).Seconds() / failureHorizon.Seconds())
	f.good, f.bad, f.at = f.good*k, f.bad*k, now
}

func (f *failures) add(now time.Time, o Outcome) {
	f.decay(now)
	switch o {
	case Fine:
		f.good++
		f.row = 0
		f.until = time.Time{}
	case Refused:
		// A replica that refuses is alive, only full.
		f.good++
		f.row = 0
	case Failed:
		f.bad++
		f.row++
		if f.row >= silentFailures {
			pause := min(silentPause<<min(f.row-silentFailures, 3), longestSilence)
			f.until = now.Add(pause)
		}
	}
}

// rate returns the part of recent requests that failed; few requests count
// little.
func (f *failures) rate(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	k := math.Exp(-now.Sub(f.at).Seconds() / failureHorizon.Seconds())
	return f.bad * k / (f.good*k + f.bad*k + 1)
}

// ejectedLocked returns the replicas to leave out now.
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
	most := int(float64(n) * ejectedAtMost)
	var out map[string]bool
	for _, r := range ready {
		st := b.states[r.ID]
		if st == nil || st.born != r.Incarnation || len(out) >= most {
			continue
		}
		f := &st.failures
		if !now.Before(f.until) && (f.bad < ejectMinimum || f.rate(now) < mean+ejectAbove) {
			continue
		}
		if out == nil {
			out = make(map[string]bool)
		}
		out[r.ID] = true
	}
	b.noteEjectedLocked(ready, out, mean, now)
	return out
}

// noteEjectedLocked logs which replicas are left out from now on, and which
// are used again.
func (b *Balancer) noteEjectedLocked(ready []*replica.Replica, out map[string]bool, mean float64, now time.Time) {
	for _, r := range ready {
		st := b.states[r.ID]
		if st == nil || st.ejected == out[r.ID] {
			continue
		}
		st.ejected = out[r.ID]
		log := b.opt.Log.WithFields(logrus.Fields{
			"replica": r.ID, "born": r.Incarnation, "service": r.Service,
			"failed_part": thousandths(st.failures.rate(now)), "service_mean": thousandths(mean),
			"failures_in_a_row": st.failures.row,
		})
		if st.ejected {
			log.WithField("until_ms", max(0, st.failures.until.Sub(now).Milliseconds())).Warn("balance: replica is left out.")
		} else {
			log.Info("balance: replica is used again.")
		}
	}
}
