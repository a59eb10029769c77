package balance

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// defaultPrefillRate is the assumed rate at which an engine processes
	// prompts, in tokens per second, until samples are available. Published
	// figures of current engines are between 20,000 and 100,000.
	defaultPrefillRate = 50_000
	// defaultBaseLatency is the assumed time to the first token of an empty
	// prompt on an idle engine until samples are available.
	defaultBaseLatency = 45 * time.Millisecond
	// delayPerRunning is the delay that each running request adds to the first
	// token of another one, because the decode step grows with the batch.
	delayPerRunning = 500 * time.Microsecond
	// meanSlotTime is the expected time that a request occupies its slot when
	// all slots are in use.
	meanSlotTime = 1500 * time.Millisecond
	// homeCachedFraction and secondHomeCachedFraction are the fractions of the
	// shared prompt parts that are expected to be cached on the first and the
	// second home replica of a prompt, if this entry has not sent the prompt
	// there itself.
	homeCachedFraction       = 0.9
	secondHomeCachedFraction = 0.5
	// trialCachedFraction is the fraction expected on replicas on trial, whose caches
	// are cold at first. Between none and the usual one, either error is below the
	// difference that makes a version slow.
	trialCachedFraction = 0.45
	// serviceJitter and engineJitter bound the random part of a cost, in
	// requests and in time. It is smaller than any cost difference that
	// matters, and keeps entries with the same information from choosing the
	// same replica.
	serviceJitter = 0.5
	engineJitter  = 4 * time.Millisecond
	// cacheAffinity is the weight of a cached token relative to the time that
	// it saves this request. Processing a token that is not cached also delays
	// the other requests on the replica and evicts prompt parts that they
	// share.
	cacheAffinity = 1.5
	// cacheTTL is the expected time that a prompt part stays in a replica's
	// cache after its last use there.
	cacheTTL = 20 * time.Second
	// maxCachedParts is the maximum number of prompt parts whose locations are
	// recorded.
	maxCachedParts = 1 << 14
	// failurePenalty is added to the cost of a replica on which all requests
	// fail, as a multiple of its predicted time.
	failurePenalty = 2
	// coldFactor multiplies the predicted time of a replica that is still slow
	// after its start.
	coldFactor = 1.5
	// crossDomainCost is the cost of a replica in another failure domain.
	crossDomainCost = 2 * time.Millisecond
)

// ErrNoReplica reports that no replica of the service accepts new requests.
var ErrNoReplica = errors.New("no replica takes work")

// BlockedError reports that replicas of the service accept new requests, but that
// none of them accepts this one now.
type BlockedError struct {
	// Expected is the time at which the first one is expected to.
	Expected time.Time
	// Limited and Paused are the numbers of replicas that have a limit, and that
	// asked this entry for a pause.
	Limited, Paused int
}

// Error implements error.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("no replica takes the request for %v: %d have a limit, %d pause", time.Until(e.Expected).Round(time.Millisecond), e.Limited, e.Paused)
}

// Balancer chooses replicas from the state of this entry and the last state
// updates of the others. It is safe for concurrent use.
type Balancer struct {
	set *replica.Set
	opt Options
	// random is guarded by mu.
	random *rand.Rand

	mu     sync.Mutex
	states map[string]*replicaState
	// prefillRates are the prefill rates of the engines, by service. groupedRates are
	// those that are learned and used while requests are distributed over groups.
	prefillRates, groupedRates map[string]*prefillRate
	// busy is the mean number of engines that this entry's requests occupy, by
	// service.
	busy map[string]*rate.EWMA
	// mixes holds the prefill load of this entry by service.
	mixes map[string]*prefillMix
	// durations holds how long requests and their prompt tokens were in
	// progress, by service.
	durations map[string]*serviceDurations
	// peerLoads is the load that other entries are expected to put on replicas,
	// by replica ID.
	peerLoads map[string]expectedLoad
	// peerOutcomes holds the recent outcomes of the requests of the other
	// entries, by replica ID.
	peerOutcomes map[string]outcomes
	// peerPrefill is the sum of the prefill loads of the other entries, by
	// service.
	peerPrefill map[string]peer.PrefillLoad
	// reservedUntil is the time when a replica will have processed the long
	// prompts that this entry placed on it, by replica ID.
	reservedUntil map[string]time.Time
	// placements holds the times at which this entry placed the prompts in progress
	// on a replica, by replica ID.
	placements map[string][]time.Time
	// unplaced holds samples of the requests that weren't placed, by replica ID.
	unplaced map[string]unplacedSample
	// pools holds the pools of each service, in a large deployment.
	pools map[string]*pools
	// rank is the place of this entry among the members of a large deployment.
	rank, members int
	// since is the time from which this entry records prompt parts.
	since time.Time
	// peersAt is the time as of which the loads of other entries are known.
	peersAt time.Time
	// partLocations holds the replicas that processed a prompt part, by part.
	partLocations *lru.Cache[uint64, []partLocation]
}

// replicaState holds what this entry has measured of one replica.
type replicaState struct {
	incarnation int64
	ownLoad     peer.EndpointLoad
	// unplaced is the number of this entry's requests in flight that no placer of a
	// group placed.
	unplaced int
	failures failures
	// ejected is set if the last choice excluded the replica.
	ejected bool
	// congestion is the ratio of the measured times to the first token to those that
	// were predicted with speeds relative to the mean, as a decaying average of at
	// least 1. It is 0 if there is none.
	congestion float64
}

// partLocation is a replica that processed a prompt part, and the time at which
// it did so.
type partLocation struct {
	replica string
	at      time.Time
}

// Options configure a Balancer.
type Options struct {
	// FailureDomain is the failure domain of this entry.
	FailureDomain string
	// Seed seeds the random part of the costs. It should differ between
	// entries.
	Seed uint64
	// Throttle holds the limits of replicas. It may be nil.
	Throttle *throttle.Throttle
	// Speeds estimates the speeds of replicas. If it is nil, the Balancer learns
	// alone which replicas are slow.
	Speeds Speeds
	// Grouped reports whether the deployment has so many entries that requests are
	// distributed over pools and groups of replicas. If it is nil, it hasn't.
	Grouped func() bool
	// Count counts the outcomes of placements in groups. It may be nil.
	Count func(outcome string)
	Log   *logrus.Entry
}

// IsLeaving reports whether a replica is draining or gone.
func (b *Balancer) IsLeaving(r *replica.Replica) bool { return b.set.IsLeaving(r) }

// MarkLeaving records that a replica has stated in an answer that it is leaving.
func (b *Balancer) MarkLeaving(r *replica.Replica) {
	b.set.MarkLeaving(r.ID, r.Incarnation, replica.SourceAnswer)
}

// LeavingSince returns the time at which this entry learnt of the first of a
// service's replicas that are leaving, or the zero time.
func (b *Balancer) LeavingSince(service string) time.Time { return b.set.LeavingSince(service) }

// New returns a Balancer over a set of replicas.
func New(set *replica.Set, o Options) *Balancer {
	parts, err := lru.New[uint64, []partLocation](maxCachedParts)
	if err != nil {
		panic(err) // only for a size below 1
	}
	if o.Speeds == nil {
		o.Speeds = NewSpeeds(set, o)
	}
	return &Balancer{
		since: time.Now(),
		set:   set, opt: o, random: rand.New(rand.NewPCG(o.Seed, 0)),
		states:        make(map[string]*replicaState),
		prefillRates:  make(map[string]*prefillRate),
		groupedRates:  make(map[string]*prefillRate),
		busy:          make(map[string]*rate.EWMA),
		mixes:         make(map[string]*prefillMix),
		durations:     make(map[string]*serviceDurations),
		peerLoads:     make(map[string]expectedLoad),
		reservedUntil: make(map[string]time.Time),
		placements:    make(map[string][]time.Time),
		unplaced:      make(map[string]unplacedSample),
		pools:         make(map[string]*pools),
		partLocations: parts,
	}
}

// OwnLoad returns the load that this entry puts on replicas, by replica ID.
func (b *Balancer) OwnLoad() map[string]peer.EndpointLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]peer.EndpointLoad)
	for id, st := range b.states {
		if st.ownLoad.InFlight > 0 {
			out[id] = st.ownLoad
		}
	}
	return out
}

// OwnOutcomes returns the recent outcomes of this entry's requests, by replica
// ID.
func (b *Balancer) OwnOutcomes() map[string]peer.Outcomes {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := make(map[string]peer.Outcomes)
	for id, st := range b.states {
		answered, failed := st.failures.decayed(now)
		if answered+failed >= minReportedOutcomes {
			out[id] = peer.Outcomes{Answered: answered, Failed: failed}
		}
	}
	return out
}

// OwnLoadByService returns the load that this entry puts on the replicas of
// each service.
func (b *Balancer) OwnLoadByService() map[string]peer.EndpointLoad {
	all := b.set.Current().All
	out := make(map[string]peer.EndpointLoad)
	for id, load := range b.OwnLoad() {
		if r := all[id]; r != nil {
			sum := out[r.Service]
			sum.InFlight += load.InFlight
			sum.Tokens += load.Tokens
			out[r.Service] = sum
		}
	}
	return out
}

// Choose returns the replica with the lowest cost for a request. It returns
// ErrNoReplica, or a BlockedError if limits of replicas are the reason.
func (b *Balancer) Choose(q Query) (Choice, error) {
	ready := q.candidates(b.set.Current().Ready[q.Service])
	a := b.admittable(q, ready)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	ejected := b.ejectedLocked(ready, now)
	if q.Trial {
		ejected = nil
	}
	if len(a.blocked) > 0 && !slices.ContainsFunc(a.replicas, func(r *replica.Replica) bool { return !ejected[r.ID] }) {
		ejected = nil // a replica that fails often is better than none
	}
	least := b.leastLoadLocked(a)
	speeds := b.speedsLocked(q, ready, now)
	long := b.longPromptReplicas(q, ready, speeds, now)
	best, second := Choice{}, Choice{}
	bestCost, secondCost := math.Inf(1), math.Inf(1)
	for _, r := range a.replicas {
		if ejected[r.ID] {
			continue
		}
		c, cost := b.costLocked(q, r, ready, speeds, now)
		cost += b.misplacementCost(q, q.PromptTokens-c.CachedTokens, r, long, speeds)
		if a.limited[r.ID] {
			cost += b.limitedCostLocked(q, c, least)
		}
		switch {
		case cost < bestCost:
			second, secondCost = best, bestCost
			best, bestCost = c, cost
		case cost < secondCost:
			second, secondCost = c, cost
		}
	}
	if best.Replica == nil {
		return Choice{Candidates: len(ready)}, a.err()
	}
	best.RunnerUp, best.Candidates, best.Alternatives = second.Replica, len(ready), len(a.replicas) > len(a.limited)
	return best, nil
}

// costLocked returns the prediction for a request on a replica, and the cost of
// this choice. The unit of the cost is seconds for model engines and requests
// per slot for plain services.
func (b *Balancer) costLocked(q Query, r *replica.Replica, ready []*replica.Replica, speeds serviceSpeeds, now time.Time) (Choice, float64) {
	st := b.stateLocked(r)
	peerLoad := b.peerLoads[r.ID]
	inFlight := float64(st.ownLoad.InFlight) + peerLoad.inFlight
	e := speeds.of(r)
	c := Choice{Replica: r, InFlight: int(math.Round(inFlight)), Speed: e.Prefill, relative: speeds.relative}
	slots := float64(max(1, q.Slots, r.Slots))
	if q.Slots == 0 {
		c.Speed = e.Work
		cost := (inFlight + 1 + serviceJitter*b.random.Float64()) / (slots * e.Work)
		if speeds.relative {
			// Most of the load is that of other entries, whose location is unknown.
			cost = inFlight/(slots*e.Work) + speeds.spread(b.random.ExpFloat64(), 1/slots, e.Work)
		}
		if r.FailureDomain != b.opt.FailureDomain {
			cost += crossDomainCost.Seconds()
		}
		return c, cost + st.failures.rate(now)
	}
	c.CachedTokens = b.cachedLocked(q, r, ready, speeds, now)
	c.QueuedTokens = st.ownLoad.Tokens + int(peerLoad.tokens)
	uncached := max(0, q.PromptTokens-c.CachedTokens)
	t := b.engineTimeLocked(q.Service, float64(c.QueuedTokens+uncached), inFlight, slots)
	even := t
	if speeds.relative {
		even = b.engineTimeLocked(q.Service, float64(st.ownLoad.Tokens+uncached)+peerLoad.tokens/e.Prefill,
			float64(st.ownLoad.InFlight)+peerLoad.inFlight/e.Decode, slots)
	}
	firstToken, cost := b.engineCostLocked(q, r, t, even, c.CachedTokens, speeds, now)
	c.FirstToken = firstToken
	c.atSpeed1 = time.Duration(float64(firstToken) * (t.prefill + t.decode) / t.at(e))
	c.Unscaled = time.Duration((t.prefill + t.decode) * float64(time.Second))
	if r.FailureDomain != b.opt.FailureDomain {
		cost += crossDomainCost.Seconds()
	}
	return c, cost
}

func (b *Balancer) stateLocked(r *replica.Replica) *replicaState {
	st := b.states[r.ID]
	if st == nil {
		st = &replicaState{incarnation: r.Incarnation}
		b.states[r.ID] = st
	}
	if st.incarnation != r.Incarnation {
		// After a restart, requests in flight to the old incarnation end
		// through their tickets; failures and congestion are reset.
		st.incarnation, st.failures, st.congestion = r.Incarnation, failures{}, 0
	}
	return st
}

// Prune drops the state of replicas that are no longer registered, and expired
// reservations of prefill time.
func (b *Balancer) Prune() {
	all := b.set.Current().All
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, st := range b.states {
		if all[id] == nil && st.ownLoad.InFlight == 0 {
			delete(b.states, id)
		}
	}
	for id := range b.placements {
		b.placedLocked(id, time.Now())
	}
	b.pruneUnplacedLocked(time.Now())
	for id, until := range b.reservedUntil {
		if time.Now().After(until) {
			delete(b.reservedUntil, id)
		}
	}
}
