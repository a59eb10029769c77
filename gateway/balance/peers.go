package balance

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// What other entries told of a replica is outdated once the requests they had
// there have ended. Taken at face value, many entries that know the same old
// figures all send to the replica that was free then. The part that is
// expected to have ended is therefore spread over all replicas of its service:
// there is about as much of it now, nobody knows where.

// firstLife is how long requests are expected to take until some have ended.
// Too long gathers requests, too short only spreads them.
const firstLife = 100 * time.Millisecond

// PeerLoad is the load that another entry put on replicas some time ago.
type PeerLoad struct {
	// Age is that in the middle of the time for which the load is used.
	Age time.Duration
	// Endpoints is by replica ID.
	Endpoints map[string]peer.EndpointLoad
	// Services is by service, where it isn't known by replica.
	Services map[string]peer.EndpointLoad
	// PrefillLoad is what the entry has engines read, by service.
	PrefillLoad map[string]peer.PrefillLoad
}

// othersLoad is the load that the other entries are expected to put on a
// replica.
type othersLoad struct {
	inFlight, tokens float64
}

func (l *othersLoad) add(o othersLoad, part float64) {
	l.inFlight += part * o.inFlight
	l.tokens += part * o.tokens
}

// life measures how long what is seen in progress lasts: the mean of the
// durations, each weighted by how often a look at a random moment finds it.
type life struct {
	sum, weight float64
}

// ended takes in something that lasted for some seconds.
func (l *life) ended(seconds, weight float64) {
	l.sum = l.sum*remembered + seconds*weight
	l.weight = l.weight*remembered + weight
}

// left returns which part of what was in progress some time ago still is.
func (l *life) left(age time.Duration) float64 {
	mean := firstLife.Seconds()
	if l.weight > 0 {
		mean = max(l.sum/l.weight, time.Millisecond.Seconds())
	}
	return math.Exp(-age.Seconds() / mean)
}

// lives are those of one service: of requests in flight, and of prompt tokens
// that wait to be read.
type lives struct {
	running, waiting life
}

func (b *Balancer) livesLocked(service string) *lives {
	l := b.lives[service]
	if l == nil {
		l = &lives{}
		b.lives[service] = l
	}
	return l
}

// SetPeers replaces the load that the other entries put on replicas.
func (b *Balancer) SetPeers(loads []PeerLoad) {
	current := b.set.Current()
	b.mu.Lock()
	defer b.mu.Unlock()
	expected := make(map[string]othersLoad)
	unknown := make(map[string]othersLoad)
	reading := make(map[string]peer.PrefillLoad)
	for _, l := range loads {
		for service, r := range l.PrefillLoad {
			sum := reading[service]
			reading[service] = peer.PrefillLoad{All: sum.All + r.All, Long: sum.Long + r.Long}
		}
		for service, load := range l.Services {
			sum := unknown[service]
			sum.add(othersLoad{float64(load.InFlight), float64(load.Tokens)}, 1)
			unknown[service] = sum
		}
		for id, load := range l.Endpoints {
			r := current.All[id]
			if r == nil {
				continue
			}
			here, somewhere := b.divideLocked(r, load, l.Age)
			sum := expected[id]
			sum.add(here, 1)
			expected[id] = sum
			rest := unknown[r.Service]
			rest.add(somewhere, 1)
			unknown[r.Service] = rest
		}
	}
	for service, rest := range unknown {
		ready := current.Ready[service]
		for _, r := range ready {
			sum := expected[r.ID]
			sum.add(rest, 1/float64(len(ready)))
			expected[r.ID] = sum
		}
	}
	b.others, b.reading = expected, reading
}

// divideLocked divides an old load into what is still expected there and what
// has taken its place anywhere.
func (b *Balancer) divideLocked(r *replica.Replica, l peer.EndpointLoad, age time.Duration) (here, somewhere othersLoad) {
	of := b.livesLocked(r.Service)
	running, waiting := of.running.left(age), of.waiting.left(age)
	here = othersLoad{running * float64(l.InFlight), waiting * float64(l.Tokens)}
	somewhere = othersLoad{float64(l.InFlight) - here.inFlight, float64(l.Tokens) - here.tokens}
	return here, somewhere
}
