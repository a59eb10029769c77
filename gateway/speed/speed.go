package speed

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// Estimate holds the speeds of a replica relative to the mean of its service. 2
// is twice as fast. Unknown is 1.
type Estimate struct{ Prefill, Decode, Work float64 }

// Kind is a kind of measured step.
type Kind int

// Kinds of measured steps.
const (
	// Prefill is the processing of a prompt until the first token.
	Prefill Kind = iota
	// Decode is the generation of tokens.
	Decode
	// Work is a request of a plain service.
	Work
)

// kinds is the number of kinds.
const kinds = peer.SpeedKinds

// refreshPeriod is the time between two computations of the persistent estimates.
const refreshPeriod = 250 * time.Millisecond

// Options configure an Estimator.
type Options struct {
	// Current returns the service and incarnation of a registered replica, and
	// false if there is none with the ID.
	Current func(replica string) (service string, incarnation int64, ok bool)
	// Log gets a line for each large change of a persistent estimate. It may be
	// nil.
	Log *logrus.Entry
}

// Estimator holds the estimates of all replicas. It is safe for concurrent use.
type Estimator struct {
	opt Options

	mu       sync.Mutex
	replicas map[string]*replicaState
	// levels holds the mean of the relative times of this entry's samples, by
	// service and kind.
	levels map[levelKey]*level
	// shared is set while there are other entries to learn from.
	shared      bool
	refreshedAt time.Time
	// uneven holds the services whose speeds are uneven.
	uneven map[string]bool
	// unevenAt holds when a service's speeds were last not even.
	unevenAt map[string]time.Time
}

type levelKey struct {
	service string
	kind    Kind
}

// replicaState holds what is known of one incarnation of a replica.
type replicaState struct {
	service     string
	incarnation int64
	kinds       [kinds]kindState
	slowdown    slowdown
}

// New returns an Estimator without samples.
func New(o Options) *Estimator {
	return &Estimator{opt: o, replicas: make(map[string]*replicaState), levels: make(map[levelKey]*level), uneven: make(map[string]bool), unevenAt: make(map[string]time.Time)}
}

// Observe records how long a step of an answered request took, and how long it
// was predicted to take at speed 1 with the queue ahead taken into account.
func (e *Estimator) Observe(now time.Time, service, replica string, incarnation int64, k Kind, predicted, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.stateLocked(replica, incarnation)
	if st == nil || st.service != service || k < 0 || k >= kinds || predicted <= 0 || took <= 0 || took > maxSampleTime {
		return
	}
	ratio := took.Seconds() / predicted.Seconds()
	if ratio < 1/maxSampleRatio || ratio > maxSampleRatio {
		return
	}
	weight := 1.0
	if k == Prefill {
		weight = predicted.Seconds() / (predicted.Seconds() + halfWeightTime.Seconds())
	}
	e.refreshLocked(now)
	e.levelLocked(service, k).observe(now, &st.kinds[k], ratio, weight, exponents[k])
}

// Of returns the current estimate of an incarnation.
func (e *Estimator) Of(now time.Time, service, replica string, incarnation int64) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.replicas[replica]
	if st == nil || st.incarnation != incarnation || st.service != service {
		return Estimate{1, 1, 1}
	}
	if !e.shared {
		s := st.slowdown.speed()
		return Estimate{Prefill: s, Decode: s, Work: 1}
	}
	e.refreshLocked(now)
	return Estimate{
		Prefill: st.kinds[Prefill].current(now), Decode: st.kinds[Decode].current(now),
		// The durations of plain requests vary so much that a few of them say nothing
		// about a transient slowness.
		Work: st.kinds[Work].lasting(),
	}
}

// Report returns this entry's samples for the rollup, by replica ID.
func (e *Estimator) Report(now time.Time) map[string]peer.SpeedSamples {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]peer.SpeedSamples)
	for id, st := range e.replicas {
		s := peer.SpeedSamples{Incarnation: st.incarnation}
		found := false
		for i := range st.kinds {
			if own := st.kinds[i].own.at(now); own.Weight >= minReportedWeight {
				s.Kinds[i], found = own, true
			}
		}
		if found {
			out[id] = s
		}
	}
	return out
}

// SetPeers sets the sum over the other entries, which is of the given age. A nil
// sum means that there are no other entries to learn from. Replicas that a sum
// omits retain their last one, with decay.
func (e *Estimator) SetPeers(now time.Time, sum map[string]peer.SpeedSamples, age time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shared = sum != nil
	e.refreshLocked(now)
	for id, s := range sum {
		st := e.stateLocked(id, s.Incarnation)
		if st == nil {
			continue
		}
		for i, k := range s.Kinds {
			if k.Valid() {
				factor := min(1, maxPeerWeight/k.Weight)
				st.kinds[i].peers = decaying{peer.SpeedSample{Weight: factor * k.Weight, Time: factor * k.Time}, now.Add(-max(0, age))}
			}
		}
	}
}

// Prune drops the state of replicas that are no longer registered.
func (e *Estimator) Prune() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, st := range e.replicas {
		if _, incarnation, ok := e.opt.Current(id); !ok || incarnation != st.incarnation {
			delete(e.replicas, id)
		}
	}
}

// stateLocked returns the state of a registered incarnation, or nil.
func (e *Estimator) stateLocked(replica string, incarnation int64) *replicaState {
	service, current, ok := e.opt.Current(replica)
	if !ok || current != incarnation {
		return nil
	}
	st := e.replicas[replica]
	if st == nil || st.incarnation != incarnation || st.service != service {
		st = &replicaState{service: service, incarnation: incarnation, slowdown: 1}
		e.replicas[replica] = st
	}
	return st
}

func (e *Estimator) levelLocked(service string, k Kind) *level {
	key := levelKey{service, k}
	l := e.levels[key]
	if l == nil {
		l = &level{}
		e.levels[key] = l
	}
	return l
}

// refreshLocked computes the persistent estimates from the sums of all entries.
func (e *Estimator) refreshLocked(now time.Time) {
	since := now.Sub(e.refreshedAt)
	if since < refreshPeriod {
		return
	}
	e.refreshedAt = now
	type mean struct{ sum, n float64 }
	means := make(map[levelKey]mean)
	for _, st := range e.replicas {
		for i := range st.kinds {
			k := &st.kinds[i]
			k.refresh(now, since, exponents[i])
			if k.known {
				key := levelKey{st.service, Kind(i)}
				means[key] = mean{means[key].sum + k.raw, means[key].n + 1}
			}
		}
	}
	for id, st := range e.replicas {
		for i := range st.kinds {
			k := &st.kinds[i]
			if !k.known {
				continue
			}
			m := means[levelKey{st.service, Kind(i)}]
			k.persistent = bounded(math.Exp(k.raw - m.sum/m.n))
			e.logChange(id, st, Kind(i))
		}
	}
	e.compareLocked(now)
}

// logChange logs a persistent estimate that differs from the last logged one by
// more than logFactor.
func (e *Estimator) logChange(id string, st *replicaState, kind Kind) {
	k := &st.kinds[kind]
	before := k.logged
	if before == 0 {
		before = 1
	}
	if e.opt.Log == nil || !e.shared || k.weight < minLoggedWeight || math.Abs(math.Log(k.persistent/before)) < logFactor {
		return
	}
	k.logged = k.persistent
	e.opt.Log.WithFields(logrus.Fields{
		"replica": id, "born": st.incarnation, "service": st.service, "kind": kind.String(),
		"speed": hundredths(k.persistent), "before": hundredths(before), "samples": hundredths(k.weight),
		"peers_age_ms": e.refreshedAt.Sub(k.peers.asOf).Milliseconds(),
	}).Info("speed: estimate changed.")
}

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"prefill", "decode", "work"}[k] }

func hundredths(v float64) float64 { return math.Round(v*100) / 100 }
