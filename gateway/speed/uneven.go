package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// unevenRatio is the ratio of the fast to the slow replicas of a service from which
	// its speeds are uneven, and evenRatio that below which they no longer are. Errors
	// of the estimates are below a tenth. Replicas that are a third faster than others
	// gain less by it than parts of prompts lose that are spread anew.
	unevenRatio, evenRatio = 1.6, 1.35
	// evenTime is the time for which speeds must be even before they count as such.
	// While a domain's replicas are replaced, few of them are known.
	evenTime = 30 * time.Second
	// fastQuantile and slowQuantile select the replicas that are compared, so that a
	// few that fail or start don't count.
	fastQuantile, slowQuantile = 0.85, 0.15
	// minKnown is the number of replicas with minKnownWeight of samples that a
	// comparison needs.
	minKnown       = 6
	minKnownWeight = 4.0
)

// Uneven reports whether the persistent speeds of a service's replicas differ so much
// that requests are distributed by them. Engines are compared by their decode speed,
// which no queue affects.
func (e *Estimator) Uneven(now time.Time, service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.shared {
		return false
	}
	e.refreshLocked(now)
	return e.uneven[service]
}

// Slowed returns what this entry alone knows of an incarnation: that it is slower than
// predicted. It is at most 1.
func (e *Estimator) Slowed(service, replica string, incarnation int64) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.replicas[replica]
	if st == nil || st.incarnation != incarnation || st.service != service {
		return Estimate{1, 1, 1}
	}
	s := st.slowdown.speed()
	return Estimate{Prefill: s, Decode: s, Work: 1}
}

// ObserveSlowdown records how long this entry waited for the first token of an
// incarnation, and what it predicted with what it knew of the queue there.
func (e *Estimator) ObserveSlowdown(replica string, incarnation int64, predicted, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if st := e.stateLocked(replica, incarnation); st != nil && predicted > 0 && took > 0 && took <= maxSampleTime {
		st.slowdown.observe(took.Seconds() / predicted.Seconds())
	}
}

// compareLocked updates which services have uneven speeds.
func (e *Estimator) compareLocked(now time.Time) {
	speeds := make(map[string]map[Kind][]float64)
	for _, st := range e.replicas {
		for _, kind := range []Kind{Decode, Work} {
			if k := &st.kinds[kind]; k.known && k.weight >= minKnownWeight {
				if speeds[st.service] == nil {
					speeds[st.service] = make(map[Kind][]float64)
				}
				speeds[st.service][kind] = append(speeds[st.service][kind], k.persistent)
			}
		}
	}
	for service, byKind := range speeds {
		ratio, compared := 0.0, false
		for _, list := range byKind {
			if len(list) >= minKnown {
				slices.Sort(list)
				ratio, compared = max(ratio, quantile(list, fastQuantile)/quantile(list, slowQuantile)), true
			}
		}
		switch {
		case compared && ratio >= unevenRatio:
			e.setUnevenLocked(service, true, ratio)
			e.unevenAt[service] = now
		case compared && ratio > evenRatio:
			e.unevenAt[service] = now
		case compared && now.Sub(e.unevenAt[service]) > evenTime:
			e.setUnevenLocked(service, false, ratio)
		}
	}
}

func quantile(sorted []float64, q float64) float64 {
	return sorted[int(math.Round(q*float64(len(sorted)-1)))]
}

func (e *Estimator) setUnevenLocked(service string, uneven bool, ratio float64) {
	if e.uneven[service] == uneven {
		return
	}
	e.uneven[service] = uneven
	if e.opt.Log != nil && e.shared {
		e.opt.Log.WithField("service", service).WithField("uneven", uneven).WithField("ratio", hundredths(ratio)).Info("speed: requests are distributed by speed if speeds are uneven.")
	}
}
