package balance

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

const (
	// sampleDecay is the factor by which each new sample reduces the weight of
	// the older ones, so that averages cover about two hundred samples.
	sampleDecay = 0.995
	// minSamples is the total weight of samples that a fit of the prefill rate
	// needs.
	minSamples = 20
	// A fit starts with priorSamples samples of an empty prompt and as many of
	// a prompt of priorTokens, all at the default rate. priorTokens is the
	// length of prompts for which the rate matters.
	priorSamples = 5
	priorTokens  = 30_000
	// delayedWeight is the weight of a sample that is a little above the line, where
	// the wait of requests is unknown. A sample below has the weight 1.
	delayedWeight = 0.15
	// minBase and maxBase bound the fitted time to the first token of an empty
	// prompt, in seconds.
	minBase, maxBase = 0.005, 0.5
)

// prefillRate estimates how fast the engines of a service process prompts. It
// fits the time to the first token to a line over the prompt tokens processed
// until then, by least squares with decaying weights.
type prefillRate struct {
	perSecond float64
	// base is the time to the first token of an empty prompt, in seconds.
	base float64
	// Sums of the weights, of x, y, x*x and x*y; x in tokens, y in seconds.
	n, x, y, xx, xy float64
}

// newPrefillRate returns the default rate with the weight of a few samples.
// Without these, the first short prompts that waited behind others would give
// an arbitrary slope.
func newPrefillRate() *prefillRate {
	r := &prefillRate{perSecond: defaultPrefillRate, base: defaultBaseLatency.Seconds()}
	for range priorSamples {
		for _, tokens := range []float64{0, priorTokens} {
			r.add(tokens, r.base+tokens/r.perSecond)
		}
	}
	return r
}

// observe updates the rate with a time to the first token.
func (r *prefillRate) observe(tokens, took float64) {
	// This bounds the influence of a request that was delayed by something
	// other than prefill.
	took = min(took, 3*(r.base+tokens/r.perSecond)+r.base)
	r.add(tokens, took)
	r.fit()
}

// fit sets the line by the samples.
func (r *prefillRate) fit() {
	determinant := r.n*r.xx - r.x*r.x
	if r.n < minSamples || determinant <= 0 {
		return
	}
	slope := (r.n*r.xy - r.x*r.y) / determinant
	slope = min(max(slope, 1.0/(20*defaultPrefillRate)), 20.0/defaultPrefillRate)
	r.perSecond = 1 / slope
	r.base = min(max((r.y-slope*r.x)/r.n, minBase), maxBase)
}

// observeFastest updates the rate with a time to the first token that includes a wait
// of unknown length. Times above the line have little weight, so that the line is that
// of the requests with the shortest waits.
func (r *prefillRate) observeFastest(tokens, took float64) {
	weight := 1.0
	if expected := r.base + tokens/r.perSecond; took > expected {
		weight = delayedWeight * math.Pow(expected/took, 2)
	}
	r.addWeighted(tokens, took, weight)
	r.fit()
}

func (r *prefillRate) add(tokens, took float64) { r.addWeighted(tokens, took, 1) }

func (r *prefillRate) addWeighted(tokens, took, weight float64) {
	decay := 1 - (1-sampleDecay)*weight
	r.n = r.n*decay + weight
	r.x = r.x*decay + weight*tokens
	r.y = r.y*decay + weight*took
	r.xx = r.xx*decay + weight*tokens*tokens
	r.xy = r.xy*decay + weight*tokens*took
}

// prefillRateLocked returns the prefill rate of a service's engines. The one in groups is
// learned apart: that from before the switch contains the estimated queues of other
// entries, and differed between entries by a factor of three while replicas of different
// speeds were overloaded, so that entries disagreed on which prompts are long.
func (b *Balancer) prefillRateLocked(service string) *prefillRate {
	rates := b.prefillRates
	if b.isGrouped(service) {
		rates = b.groupedRates
	}
	r := rates[service]
	if r == nil {
		r = newPrefillRate()
		rates[service] = r
	}
	return r
}

// BusyEngines returns the mean number of engines of each service that this
// entry's requests occupy, during their prefill and while they run.
func (b *Balancer) BusyEngines() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := make(map[string]float64, len(b.busy))
	for service, m := range b.busy {
		out[service] = m.Rate(now)
	}
	return out
}

// Outcome classifies the end of a request by what it indicates about the health
// of the replica.
type Outcome int

// Outcomes of a request.
const (
	// Answered is the outcome of requests that were answered.
	Answered Outcome = iota
	// Failed is the outcome of requests that the replica failed or did not
	// answer.
	Failed
	// Crashed is the outcome of requests whose replica has crashed, which is
	// known for certain.
	Crashed
	// Refused is the outcome of requests that the replica declined to run.
	Refused
	// Neutral is the outcome of requests that don't indicate the replica's
	// health, such as cancelled ones.
	Neutral
)

// Ticket is one request in flight to a replica. Its methods are called from one
// goroutine.
type Ticket struct {
	b      *Balancer
	q      Query
	choice Choice
	sent   time.Time
	// uncachedTokens is the number of prompt tokens of the request that are not
	// cached, and queuedTokens the number of tokens that the replica processes
	// before them.
	uncachedTokens, queuedTokens int
	started                      bool
	ended                        bool
	// ownQueued is the part of queuedTokens that this entry sent, and unqueued the
	// predicted time to the first token at speed 1 with these alone ahead.
	ownQueued int
	unqueued  time.Duration
	// firstAt and eventAt are the times of the first token and of the last event, and
	// gaps holds the times between events. unmeasured is set if the answer is no
	// sample of the speed.
	firstAt, eventAt time.Time
	gaps             []time.Duration
	unmeasured       bool
}

// FirstToken returns the time to the first token, and false before it has arrived.
func (t *Ticket) FirstToken() (time.Duration, bool) { return t.firstAt.Sub(t.sent), t.started }

func (b *Balancer) busyLocked(service string) *rate.EWMA {
	m := b.busy[service]
	if m == nil {
		m = &rate.EWMA{At: time.Now()}
		b.busy[service] = m
	}
	return m
}

// RecordUnserved counts a request that the limits of replicas didn't admit as the
// demand for engines that it would have been.
func (b *Balancer) RecordUnserved(q Query) {
	if q.Slots == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	running := 0.0
	if d := b.durationsLocked(q.Service).running; d.weight > 0 {
		running = d.sum / d.weight / float64(q.Slots)
	}
	b.busyLocked(q.Service).Add(time.Now(), b.prefillTimeLocked(q)+running)
}

// PrefillTime returns the expected prefill time, in seconds, of a request for which no
// replica has been chosen yet. It is 0 for plain services.
func (b *Balancer) PrefillTime(q Query) float64 {
	if q.Slots == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.prefillTimeLocked(q)
}

func (b *Balancer) prefillTimeLocked(q Query) float64 {
	cached := int(homeCachedFraction * float64(q.sharedTokens()))
	return float64(max(0, q.PromptTokens-cached)) / b.prefillRateLocked(q.Service).perSecond
}

// Begin counts a request as in flight to the chosen replica.
func (b *Balancer) Begin(q Query, c Choice) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &Ticket{b: b, q: q, choice: c, sent: time.Now()}
	if q.Slots > 0 {
		t.uncachedTokens = max(0, q.PromptTokens-c.CachedTokens)
	}
	st := b.stateLocked(c.Replica)
	t.queuedTokens = st.ownLoad.Tokens + int(b.peerLoads[c.Replica.ID].tokens)
	t.ownQueued = st.ownLoad.Tokens
	st.ownLoad.InFlight++
	if c.Group == "" {
		st.unplaced++
	}
	st.ownLoad.Tokens += t.uncachedTokens
	if q.Slots > 0 {
		seconds := float64(t.uncachedTokens) / b.prefillRateLocked(q.Service).perSecond
		fit := b.prefillRateLocked(q.Service)
		t.unqueued = time.Duration((fit.base + float64(t.ownQueued+t.uncachedTokens)/fit.perSecond) * float64(time.Second))
		b.busyLocked(q.Service).Add(t.sent, seconds)
		m := b.mixLocked(q.Service)
		m.all.Add(t.sent, seconds)
		if grouped := b.isGrouped(q.Service); !grouped && b.isLong(q, t.uncachedTokens) || grouped && b.isHeavyLocked(q) {
			m.long.Add(t.sent, seconds)
		}
	}
	b.recordPartsLocked(q.Parts, c.Replica.ID, t.sent)
	return t
}

// FirstTokenReceived records that the first token has arrived.
func (t *Ticket) FirstTokenReceived() {
	if t.started {
		return
	}
	t.started = true
	t.firstAt = time.Now()
	took := t.firstAt.Sub(t.sent)
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	st := t.b.stateLocked(t.choice.Replica)
	st.ownLoad.Tokens -= t.uncachedTokens
	t.b.durationsLocked(t.q.Service).waiting.add(took.Seconds(), float64(t.uncachedTokens))
	if t.q.Slots == 0 || t.choice.FirstToken <= 0 {
		return
	}
	tokens, fit := float64(t.queuedTokens+t.uncachedTokens), t.b.prefillRateLocked(t.q.Service)
	if t.b.isGrouped(t.q.Service) {
		// Where others have queued tokens isn't known.
		fit.observeFastest(float64(t.uncachedTokens), took.Seconds()*t.choice.Speed)
		return
	}
	if t.choice.relative {
		// The rate is that of an engine of speed 1, whichever engines the prompts
		// are sent to.
		fit.observe(tokens, took.Seconds()*t.choice.Speed)
		st.observeCongestion(took.Seconds() / t.choice.FirstToken.Seconds())
		return
	}
	fit.observe(tokens, took.Seconds())
	r := t.choice.Replica
	t.b.opt.Speeds.ObserveSlowdown(r.ID, r.Incarnation, t.choice.atSpeed1, took)
}

// End records how the request ended.
func (t *Ticket) End(o Outcome) {
	if t.ended {
		return
	}
	t.ended = true
	defer t.choice.Release()
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	st := t.b.stateLocked(t.choice.Replica)
	st.ownLoad.InFlight--
	if t.choice.Group == "" {
		st.unplaced--
	}
	took := time.Since(t.sent).Seconds()
	t.b.durationsLocked(t.q.Service).running.add(took, took)
	if !t.started {
		st.ownLoad.Tokens -= t.uncachedTokens
	}
	if t.q.Slots > 0 && t.started {
		// A running request occupies one slot's fraction of the engine.
		running := took / float64(t.q.Slots)
		if t.choice.relative {
			running *= t.b.speedOf(t.choice.Replica, time.Now()).Decode
		}
		t.b.busyLocked(t.q.Service).Add(time.Now(), running)
	}
	if o == Answered {
		t.recordSpeedLocked(time.Now())
	}
	if o != Neutral {
		st.failures.add(time.Now(), o)
	}
	if p := t.b.pools[t.q.Service]; p != nil && (o == Failed || o == Crashed) {
		p.stale = true
	}
}
