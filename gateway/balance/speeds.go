package balance

import (
	"math"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
)

const (
	// slowReplica is the speed below which any prompt avoids a replica. Between it
	// and faster ones, short prompts are distributed by speed and not all sent to
	// the fastest, because an entry doesn't see what the others send there.
	slowReplica = 0.6
	// speedPreference is the exponent of the speed by which the requests of an idle
	// service are distributed. It falls to 1, where all replicas have the same
	// utilization, as the utilization of the service rises to 1. Without queues the
	// fast replicas serve a request sooner; near saturation their capacity must not
	// be exceeded.
	speedPreference = 2.0
	// congestionWeight is the weight of one sample in a replica's congestion.
	// maxCongestion is the upper bound of a congestion and of its samples, and
	// minCongestionSample the lower bound of the samples.
	congestionWeight                   = 0.1
	maxCongestion, minCongestionSample = 8.0, 0.5
	// homeExponent is the exponent of the speed by which replicas are homes of prompt
	// parts. With 1, the slow replicas of the fleet test ran out of slots.
	homeExponent = 2.0
	// eventStep and serviceStep are the assumed durations of an event of a stream
	// and of a request of a plain service at speed 1. Package speed removes their
	// error, which all replicas have in common.
	eventStep   = 30 * time.Millisecond
	serviceStep = 100 * time.Millisecond
	// gapQuantile is the quantile of the times between the events of a stream from which
	// the decode speed is estimated. The longer times contain the prefill of other prompts,
	// and some of the shortest are of events that were delivered together.
	gapQuantile = 0.25
	// maxGaps bounds the recorded times between events.
	maxGaps = 64
	// minGaps is the number of times between events from which a stream is a sample
	// of the decode speed.
	minGaps = 8
)

// Speeds estimates how fast replicas are, relative to the mean of their service.
type Speeds interface {
	Of(now time.Time, service, replica string, incarnation int64) speed.Estimate
	Observe(now time.Time, service, replica string, incarnation int64, k speed.Kind, predicted, took time.Duration)
	// Uneven reports whether requests of a service are distributed by speed. Else only
	// Slowed is used, which is at most 1.
	Uneven(now time.Time, service string) bool
	Slowed(service, replica string, incarnation int64) speed.Estimate
	ObserveSlowdown(replica string, incarnation int64, predicted, took time.Duration)
}

// currentOf returns the function by which an estimator recognizes replicas.
func currentOf(set *replica.Set) func(string) (string, int64, bool) {
	return func(id string) (string, int64, bool) {
		r := set.Current().All[id]
		if r == nil {
			return "", 0, false
		}
		return r.Service, r.Incarnation, true
	}
}

// NewSpeeds returns an estimator of the speeds of a set of replicas.
func NewSpeeds(set *replica.Set, o Options) *speed.Estimator {
	return speed.New(speed.Options{Current: currentOf(set), Log: o.Log})
}

// serviceSpeeds holds the estimates of a service's ready replicas.
type serviceSpeeds struct {
	byID map[string]speed.Estimate
	// relative is set if estimates are relative to the mean of the service. Entries
	// that learn alone know only that replicas are slower than predicted.
	relative bool
	// utilization is the fraction of the service's capacity that is in use.
	utilization float64
	// homes caches the home replicas for the choice that the estimates are for.
	homes *homes
}

func (s serviceSpeeds) of(r *replica.Replica) speed.Estimate {
	if e, found := s.byID[r.ID]; found {
		return e
	}
	return speed.Estimate{Prefill: 1, Decode: 1, Work: 1}
}

// speedsLocked returns the estimates of the ready replicas of a service.
func (b *Balancer) speedsLocked(q Query, ready []*replica.Replica, now time.Time) serviceSpeeds {
	s := serviceSpeeds{byID: make(map[string]speed.Estimate, len(ready)), homes: &homes{}}
	capacity, inFlight := 0.0, 0.0
	for _, r := range ready {
		e := b.speedOf(r, now)
		s.byID[r.ID] = e
		s.relative = s.relative || e.Prefill > 1 || e.Decode > 1 || e.Work > 1
		if q.Slots == 0 {
			capacity += e.Work * float64(max(1, r.Slots))
			inFlight += b.peerLoads[r.ID].inFlight + float64(b.stateLocked(r).ownLoad.InFlight)
		} else {
			capacity += e.Prefill
		}
	}
	if q.Slots > 0 {
		inFlight = b.mixLocked(q.Service).all.Rate(now) + b.peerPrefill[q.Service].All
	}
	if capacity > 0 {
		s.utilization = min(1, inFlight/capacity)
	}
	return s
}

func (b *Balancer) speedOf(r *replica.Replica, now time.Time) speed.Estimate {
	if !b.opt.Speeds.Uneven(now, r.Service) {
		return b.opt.Speeds.Slowed(r.Service, r.ID, r.Incarnation)
	}
	return b.opt.Speeds.Of(now, r.Service, r.ID, r.Incarnation)
}

// Capacity returns the capacity of the ready replicas of a service in replicas of
// speed 1.
func (b *Balancer) Capacity(service string, k speed.Kind) float64 {
	now, sum := time.Now(), 0.0
	for _, r := range b.set.Current().Ready[service] {
		e := b.speedOf(r, now)
		sum += [...]float64{e.Prefill, e.Decode, e.Work}[k]
	}
	return sum
}

// share returns the weight with which requests are distributed to a replica of the
// given speed.
func (s serviceSpeeds) share(v float64) float64 {
	return math.Pow(v, speedPreference-s.utilization)
}

// homeWeight returns the weight of a replica as the home of prompt parts. It is
// rounded, so that entries agree on homes and these rarely move.
func (s serviceSpeeds) homeWeight(r *replica.Replica) float64 {
	return math.Pow(math.Pow(speedStepFactor, speedStep(s.of(r))), homeExponent)
}

// spread returns a random cost for requests whose costs are otherwise the same. With
// it they are distributed in proportion to the shares. The mean is that of a replica
// with a share of 1.
func (s serviceSpeeds) spread(random, mean, v float64) float64 { return random * mean / s.share(v) }

// recordSpeedLocked records the samples of an answered request.
func (t *Ticket) recordSpeedLocked(now time.Time) {
	r := t.choice.Replica
	observe := func(k speed.Kind, predicted, took time.Duration) {
		t.b.opt.Speeds.Observe(now, r.Service, r.ID, r.Incarnation, k, predicted, took)
	}
	if t.unmeasured || !t.started {
		return
	}
	first := t.firstAt.Sub(t.sent)
	if t.q.Slots == 0 {
		slots := float64(max(1, r.Slots))
		excess := max(0, float64(t.choice.InFlight)+1-slots)
		observe(speed.Work, time.Duration(float64(serviceStep)*(1+excess/slots)), first)
		return
	}
	// A part that is expected to be cached and isn't makes the replica look slow. It
	// must not be most of the work.
	if t.choice.CachedTokens <= t.uncachedTokens+t.ownQueued {
		observe(speed.Prefill, t.unqueued, first)
	}
	if len(t.gaps) >= minGaps {
		slices.Sort(t.gaps)
		observe(speed.Decode, eventStep, t.gaps[int(gapQuantile*float64(len(t.gaps)))])
	}
}

// EventsReceived records that events of the answer have arrived together. The times
// between them are samples of the decode speed.
func (t *Ticket) EventsReceived(n int) {
	now := time.Now()
	if !t.eventAt.IsZero() && n > 0 && len(t.gaps) < maxGaps {
		t.gaps = append(t.gaps, now.Sub(t.eventAt)/time.Duration(n))
	}
	t.eventAt = now
}

// Unmeasured marks an answer whose duration says nothing about the speed of the
// replica, such as a rejection of the request.
func (t *Ticket) Unmeasured() { t.unmeasured = true }

// observeCongestion updates the congestion with the ratio of a measured time to the
// predicted one, which contains the congestion.
func (st *replicaState) observeCongestion(ratio float64) {
	before := max(1, st.congestion)
	ratio = min(max(ratio*before, minCongestionSample), maxCongestion)
	st.congestion = min(max(before*math.Exp(congestionWeight*math.Log(ratio/before)), 1), maxCongestion)
}
