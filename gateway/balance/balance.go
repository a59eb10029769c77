package balance

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	meter "github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// firstRate is the rate at which an engine reads prompts until it was
	// measured, in tokens a second. Published figures of current engines lie
	// between 20,000 and 100,000.
	firstRate = 50_000
	// baseDelay is the time to the first token of an empty prompt on an idle
	// engine until it was measured.
	baseDelay = 45 * time.Millisecond
	// stepPerRunning is how much each running request delays the first token
	// of another, as the decode step grows with the batch.
	stepPerRunning = 500 * time.Microsecond
	// meanRun is how long a request is expected to hold its slot where all
	// slots are taken.
	meanRun = 1500 * time.Millisecond
	// homeShare and secondHomeShare are the parts of a shared prompt part that
	// are expected to be cached at the replicas that all entries send it to,
	// where this entry has not seen it there itself.
	homeShare       = 0.9
	secondHomeShare = 0.5
	// serviceJitter and engineJitter bound the random part of a cost, in
	// requests and in time. It is below what a choice should turn on, and keeps
	// entries that know the same from choosing the same replica.
	serviceJitter = 0.5
	engineJitter  = 4 * time.Millisecond
	// affinity is how much more a cached token counts than the time that it
	// saves this request: reading it anew delays the others there as well, and
	// takes memory from what they share.
	affinity = 1.5
	// cacheMemory is how long a part is expected to stay in a replica's cache
	// after its last use there.
	cacheMemory = 20 * time.Second
	// cachedParts bounds the parts remembered.
	cachedParts = 1 << 14
	// failureCost is how many times its predicted time a replica costs more
	// where all its requests fail.
	failureCost = 2
	// coldFactor multiplies the prediction of a replica that is still slow
	// after its start.
	coldFactor = 1.5
	// otherDomain is the cost of a replica in another failure domain.
	otherDomain = 2 * time.Millisecond
)

// ErrNone says that a service has no replica that takes work.
var ErrNone = errors.New("no replica takes work")

// Part is one part of a prompt, in order.
type Part struct {
	ID     uint64
	Tokens int
}

// Query describes a request.
type Query struct {
	Service string
	// Slots is set for model engines: how many requests one replica runs.
	Slots int
	// Parts are the parts of the prompt that it shares with others.
	Parts []Part
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// LatencyObjective is the tightest latency objective of the service's requests.
	LatencyObjective time.Duration
	// Exclude are replicas by ID that had the request before.
	Exclude map[string]bool
}

// shared returns how many tokens of the prompt are in shared parts.
func (q Query) shared() int {
	sum := 0
	for _, p := range q.Parts {
		sum += p.Tokens
	}
	return sum
}

// Choice is a replica with what was expected of it.
type Choice struct {
	Replica *replica.Replica
	// FirstToken is the predicted time to the first token, 0 for services.
	FirstToken time.Duration
	// CachedTokens of the prompt are expected to be in its cache.
	CachedTokens int
	// Ahead are prompt tokens that were believed to be read before it.
	Ahead int
	// InFlight is how many requests it was believed to have.
	InFlight int
	// RunnerUp is the second best replica, nil where there is none.
	RunnerUp *replica.Replica
	// Candidates is how many replicas were looked at.
	Candidates int
	// PlacedBy is the entry that placed a long prompt; empty where this entry
	// chose by itself.
	PlacedBy string
}

// Balancer chooses replicas. It is safe for concurrent use.
type Balancer struct {
	set *replica.Set
	opt Options
	// random is guarded by mu.
	random *rand.Rand

	mu     sync.Mutex
	states map[string]*state
	// rate and base are learned by service.
	rates map[string]*rate
	// work is how busy this entry keeps the engines of a service.
	work  map[string]*meter.EWMA
	mixes map[string]*mix
	lives map[string]*lives
	// others is by replica ID.
	others map[string]othersLoad
	// reading is what the other entries have engines read, by service.
	reading map[string]peer.PrefillLoad
	// reserved is until when a replica reads the long prompts that were placed
	// on it here, by replica ID.
	reserved map[string]time.Time
	parts    *lru.Cache[uint64, []sighting]
}

// state is what this entry knows of one replica.
type state struct {
	born     int64
	own      peer.EndpointLoad
	failures failures
	// ejected says whether it was left out of the last choice.
	ejected bool
	// pace compares the replica's times to the first token with those
	// predicted for it.
	pace float64
}

// sighting is a replica that read a prompt part.
type sighting struct {
	replica string
	at      time.Time
}

// Options set up a Balancer.
type Options struct {
	// FailureDomain is that of the entry.
	FailureDomain string
	// Seed should differ between entries.
	Seed uint64
	Log  *logrus.Entry
}

// New returns a Balancer over a set of replicas.
func New(set *replica.Set, o Options) *Balancer {
	parts, err := lru.New[uint64, []sighting](cachedParts)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Balancer{
		set: set, opt: o, random: rand.New(rand.NewPCG(o.Seed, 0)),
		states:   make(map[string]*state),
		rates:    make(map[string]*rate),
		work:     make(map[string]*meter.EWMA),
		mixes:    make(map[string]*mix),
		lives:    make(map[string]*lives),
		others:   make(map[string]othersLoad),
		reserved: make(map[string]time.Time),
		parts:    parts,
	}
}

// Own returns the load that this entry puts on replicas, by ID.
func (b *Balancer) Own() map[string]peer.EndpointLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]peer.EndpointLoad)
	for id, st := range b.states {
		if st.own.InFlight > 0 {
			out[id] = st.own
		}
	}
	return out
}

// OwnByService returns the load that this entry puts on the replicas of each
// service.
func (b *Balancer) OwnByService() map[string]peer.EndpointLoad {
	all := b.set.Current().All
	out := make(map[string]peer.EndpointLoad)
	for id, load := range b.Own() {
		if r := all[id]; r != nil {
			sum := out[r.Service]
			sum.InFlight += load.InFlight
			sum.Tokens += load.Tokens
			out[r.Service] = sum
		}
	}
	return out
}

// Choose returns the replica for a request, or ErrNone.
func (b *Balancer) Choose(q Query) (Choice, error) {
	ready := b.set.Current().Ready[q.Service]
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := b.ejectedLocked(ready, now)
	long := b.forLong(q, ready, now)
	best, second := Choice{}, Choice{}
	bestCost, secondCost := math.Inf(1), math.Inf(1)
	for _, r := range ready {
		if q.Exclude[r.ID] || out[r.ID] {
			continue
		}
		c, cost := b.costLocked(q, r, ready, now)
		cost += b.strayCost(q, q.PromptTokens-c.CachedTokens, r.ID, long)
		c.Candidates = len(ready)
		switch {
		case cost < bestCost:
			second, secondCost = best, bestCost
			best, bestCost = c, cost
		case cost < secondCost:
			second, secondCost = c, cost
		}
	}
	if best.Replica == nil {
		return Choice{Candidates: len(ready)}, ErrNone
	}
	best.RunnerUp = second.Replica
	return best, nil
}

// costLocked returns what a replica is expected to do with a request, and its
// cost in seconds.
func (b *Balancer) costLocked(q Query, r *replica.Replica, ready []*replica.Replica, now time.Time) (Choice, float64) {
	st := b.stateLocked(r)
	others := b.others[r.ID]
	inFlight := float64(st.own.InFlight) + others.inFlight
	c := Choice{Replica: r, InFlight: int(math.Round(inFlight))}
	slots := float64(max(1, q.Slots, r.Slots))
	if q.Slots == 0 {
		cost := (inFlight + 1 + serviceJitter*b.random.Float64()) / slots
		if r.FailureDomain != b.opt.FailureDomain {
			cost += otherDomain.Seconds()
		}
		return c, cost + st.failures.rate(now)
	}
	c.CachedTokens = b.cachedLocked(q, r, ready, now)
	speed := b.rateLocked(q.Service)
	c.Ahead = st.own.Tokens + int(others.tokens)
	tokens := c.Ahead + max(0, q.PromptTokens-c.CachedTokens)
	predicted := speed.base + float64(tokens)/speed.perSecond + inFlight*stepPerRunning.Seconds()
	if full := inFlight + 1 - slots; full > 0 {
		predicted += full / slots * meanRun.Seconds()
	}
	firstToken, cost := b.engineCostLocked(q, r, predicted, c.CachedTokens, now)
	c.FirstToken = firstToken
	if r.FailureDomain != b.opt.FailureDomain {
		cost += otherDomain.Seconds()
	}
	return c, cost
}

// engineCostLocked returns the time to the first token that is predicted for an
// engine, given that of one of normal pace in seconds, and its cost in seconds.
func (b *Balancer) engineCostLocked(q Query, r *replica.Replica, predicted float64, cached int, now time.Time) (time.Duration, float64) {
	st := b.stateLocked(r)
	predicted *= st.pace
	if r.Cold > now.Sub(r.Seen) {
		predicted *= coldFactor
	}
	cost := predicted*(1+failureCost*st.failures.rate(now)) + engineJitter.Seconds()*b.random.Float64()
	cost += affinity * float64(max(0, q.shared()-cached)) / b.rateLocked(q.Service).perSecond
	return time.Duration(predicted * float64(time.Second)), cost
}

func (b *Balancer) stateLocked(r *replica.Replica) *state {
	st := b.states[r.ID]
	if st == nil {
		st = &state{born: r.Incarnation, pace: 1}
		b.states[r.ID] = st
	}
	if st.born != r.Incarnation {
		// Another incarnation: what is in flight ends by itself, and the rest
		// is not known.
		st.born, st.failures, st.pace = r.Incarnation, failures{}, 1
	}
	return st
}

// Forget drops what is known of replicas that are gone.
func (b *Balancer) Forget() {
	all := b.set.Current().All
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, st := range b.states {
		if all[id] == nil && st.own.InFlight == 0 {
			delete(b.states, id)
		}
	}
	for id, until := range b.reserved {
		if time.Now().After(until) {
			delete(b.reserved, id)
		}
	}
}
