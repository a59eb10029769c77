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
	// minBase and maxBase bound the fitted time to the first token of an empty
	// prompt, in seconds.
	minBase, maxBase = 0.005, 0.5
	// slowdownWeight is the weight of one sample in a replica's slowdown.
	slowdownWeight = 0.1
	// maxSlowdown is the upper bound of a replica's slowdown and of its
	// samples. minSlowdownSample is the lower bound of the samples.
	maxSlowdown, minSlowdownSample = 8.0, 0.5
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
	determinant := r.n*r.xx - r.x*r.x
	if r.n < minSamples || determinant <= 0 {
		return
	}
	slope := (r.n*r.xy - r.x*r.y) / determinant
	slope = min(max(slope, 1.0/(20*defaultPrefillRate)), 20.0/defaultPrefillRate)
	r.perSecond = 1 / slope
	r.base = min(max((r.y-slope*r.x)/r.n, minBase), maxBase)
}

func (r *prefillRate) add(tokens, took float64) {
	r.n = r.n*sampleDecay + 1
	r.x = r.x*sampleDecay + tokens
	r.y = r.y*sampleDecay + took
	r.xx = r.xx*sampleDecay + tokens*tokens
	r.xy = r.xy*sampleDecay + tokens*took
}

func (b *Balancer) prefillRateLocked(service string) *prefillRate {
	r := b.prefillRates[service]
	if r == nil {
		r = newPrefillRate()
		b.prefillRates[service] = r
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
	// firstAfter is the time to the first token, once started is set.
	firstAfter time.Duration
}

// FirstToken returns the time to the first token, and false before it has arrived.
func (t *Ticket) FirstToken() (time.Duration, bool) { return t.firstAfter, t.started }

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
	cached := int(homeCachedFraction * float64(q.sharedTokens()))
	prefill := float64(max(0, q.PromptTokens-cached)) / b.prefillRateLocked(q.Service).perSecond
	b.busyLocked(q.Service).Add(time.Now(), prefill+running)
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
	st.ownLoad.InFlight++
	st.ownLoad.Tokens += t.uncachedTokens
	if q.Slots > 0 {
		seconds := float64(t.uncachedTokens) / b.prefillRateLocked(q.Service).perSecond
		b.busyLocked(q.Service).Add(t.sent, seconds)
		m := b.mixLocked(q.Service)
		m.all.Add(t.sent, seconds)
		if b.isLong(q, t.uncachedTokens) {
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
	t.started, t.firstAfter = true, time.Since(t.sent)
	took := t.firstAfter.Seconds()
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	st := t.b.stateLocked(t.choice.Replica)
	st.ownLoad.Tokens -= t.uncachedTokens
	t.b.durationsLocked(t.q.Service).waiting.add(took, float64(t.uncachedTokens))
	predicted := t.choice.FirstToken.Seconds()
	if t.q.Slots == 0 || predicted <= 0 {
		return
	}
	t.b.prefillRateLocked(t.q.Service).observe(float64(t.queuedTokens+t.uncachedTokens), took)
	ratio := min(max(took/predicted*st.slowdown, minSlowdownSample), maxSlowdown)
	st.slowdown = min(max(st.slowdown*math.Exp(slowdownWeight*math.Log(ratio/st.slowdown)), 1), maxSlowdown)
}

// End records how the request ended.
func (t *Ticket) End(o Outcome) {
	if t.ended {
		return
	}
	t.ended = true
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	st := t.b.stateLocked(t.choice.Replica)
	st.ownLoad.InFlight--
	took := time.Since(t.sent).Seconds()
	t.b.durationsLocked(t.q.Service).running.add(took, took)
	if !t.started {
		st.ownLoad.Tokens -= t.uncachedTokens
	}
	if t.q.Slots > 0 && t.started {
		// A running request occupies one slot's fraction of the engine.
		t.b.busyLocked(t.q.Service).Add(time.Now(), took/float64(t.q.Slots))
	}
	if o != Neutral {
		st.failures.add(time.Now(), o)
	}
}
