package balance

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// The load that another entry reported is out of date once the requests in it
// have ended. If it were used unchanged, many entries with the same old reports
// would all send to the replica that was idle then. The fraction of a load that
// is expected to have ended is therefore distributed over all replicas of the
// service: the total load is about the same, but its location is unknown.

// defaultDuration is the assumed duration of requests until some have ended. A
// longer one sends too many requests to the same replica, a shorter one only
// distributes them evenly.
const defaultDuration = 100 * time.Millisecond

// PeerLoad is the load that another entry put on replicas some time ago.
type PeerLoad struct {
	// Age is the mean age of the load over the interval in which it is used.
	Age time.Duration
	// Endpoints is the load by replica ID.
	Endpoints map[string]peer.EndpointLoad
	// Services is the load by service, for entries that don't report it by
	// replica.
	Services map[string]peer.EndpointLoad
	// Outcomes holds the recent outcomes of the entry's requests, by replica
	// ID.
	Outcomes map[string]peer.Outcomes
	// PrefillLoad is the prefill load of the entry, by service.
	PrefillLoad map[string]peer.PrefillLoad
}

// expectedLoad is the load that the other entries are expected to put on a
// replica now.
type expectedLoad struct {
	inFlight, tokens float64
}

func (l *expectedLoad) add(o expectedLoad, fraction float64) {
	l.inFlight += fraction * o.inFlight
	l.tokens += fraction * o.tokens
}

// durationMean averages how long requests stay in progress. Each duration is
// weighted by how likely an observation at a random moment finds it in
// progress.
type durationMean struct {
	sum, weight float64
}

// add records a duration in seconds.
func (m *durationMean) add(seconds, weight float64) {
	m.sum = m.sum*sampleDecay + seconds*weight
	m.weight = m.weight*sampleDecay + weight
}

// remaining returns the fraction of a load of the given age that is expected to
// be still in progress.
func (m *durationMean) remaining(age time.Duration) float64 {
	mean := defaultDuration.Seconds()
	if m.weight > 0 {
		mean = max(m.sum/m.weight, time.Millisecond.Seconds())
	}
	return math.Exp(-age.Seconds() / mean)
}

// serviceDurations are the durations of a service's requests in flight, and of
// prompt tokens that wait for their prefill.
type serviceDurations struct {
	running, waiting durationMean
}

func (b *Balancer) durationsLocked(service string) *serviceDurations {
	d := b.durations[service]
	if d == nil {
		d = &serviceDurations{}
		b.durations[service] = d
	}
	return d
}

// SetPeers replaces the load that the other entries put on replicas.
func (b *Balancer) SetPeers(loads []PeerLoad) {
	current := b.set.Current()
	b.mu.Lock()
	defer b.mu.Unlock()
	expected := make(map[string]expectedLoad)
	unlocated := make(map[string]expectedLoad)
	prefill := make(map[string]peer.PrefillLoad)
	reported := make(map[string]outcomes)
	now := time.Now()
	for _, l := range loads {
		for service, r := range l.PrefillLoad {
			sum := prefill[service]
			prefill[service] = peer.PrefillLoad{All: sum.All + r.All, Long: sum.Long + r.Long}
		}
		for service, load := range l.Services {
			sum := unlocated[service]
			sum.add(expectedLoad{float64(load.InFlight), float64(load.Tokens)}, 1)
			unlocated[service] = sum
		}
		for id, load := range l.Endpoints {
			r := current.All[id]
			if r == nil {
				continue
			}
			remaining, moved := b.splitStaleLocked(r, load, l.Age)
			sum := expected[id]
			sum.add(remaining, 1)
			expected[id] = sum
			rest := unlocated[r.Service]
			rest.add(moved, 1)
			unlocated[r.Service] = rest
		}
		for id, o := range l.Outcomes {
			reported[id] = reported[id].plus(o, now.Add(-l.Age))
		}
	}
	for service, rest := range unlocated {
		b.distributeLocked(expected, rest, current.Ready[service], now)
	}
	b.peerLoads, b.peerPrefill, b.peerOutcomes = expected, prefill, reported
	b.peersAt = now.Add(-newestAge(loads))
}

// distributeLocked distributes a load of unknown location over the replicas of a
// service: in proportion to their speeds, as the other entries do, if these are
// relative to the mean, else evenly.
func (b *Balancer) distributeLocked(expected map[string]expectedLoad, rest expectedLoad, ready []*replica.Replica, now time.Time) {
	weights, total, relative := make([]expectedLoad, len(ready)), expectedLoad{}, false
	for i, r := range ready {
		e := b.speedOf(r, now)
		relative = relative || e.Prefill > 1 || e.Decode > 1 || e.Work > 1
		weights[i] = expectedLoad{inFlight: e.Work * e.Decode, tokens: e.Prefill}
		total.add(weights[i], 1)
	}
	for i, r := range ready {
		sum := expected[r.ID]
		if relative {
			sum.inFlight += rest.inFlight * weights[i].inFlight / total.inFlight
			sum.tokens += rest.tokens * weights[i].tokens / total.tokens
		} else {
			sum.add(rest, 1/float64(len(ready)))
		}
		expected[r.ID] = sum
	}
}

// splitStaleLocked splits a load of the given age into the load that is
// expected to remain on the replica and the load that has moved to any replica
// of the service.
func (b *Balancer) splitStaleLocked(r *replica.Replica, l peer.EndpointLoad, age time.Duration) (remaining, moved expectedLoad) {
	durations := b.durationsLocked(r.Service)
	running, waiting := durations.running.remaining(age), durations.waiting.remaining(age)
	remaining = expectedLoad{running * float64(l.InFlight), waiting * float64(l.Tokens)}
	moved = expectedLoad{float64(l.InFlight) - remaining.inFlight, float64(l.Tokens) - remaining.tokens}
	return remaining, moved
}

// newestAge returns the age of the latest of the loads by replica or by service.
func newestAge(loads []PeerLoad) time.Duration {
	newest := time.Duration(math.MaxInt64)
	for _, l := range loads {
		if l.Endpoints != nil || l.Services != nil {
			newest = min(newest, l.Age)
		}
	}
	if newest == math.MaxInt64 {
		return 0
	}
	return newest
}
