package balance

import (
	"math"
	"time"

	meter "github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

const (
	// remembered is what a measurement still counts after the next one; two
	// hundred count together.
	remembered = 0.995
	// leastMeasured is how many measurements a learned rate needs.
	leastMeasured = 20
	// assumedMeasurements is how many measurements of an empty prompt, and of one
	// of assumedTokens, what is expected of an engine counts at first. The prompt
	// is as long as those that the rate matters for.
	assumedMeasurements = 5
	assumedTokens       = 30_000
	// leastBase and mostBase bound the learned time of an empty prompt, in
	// seconds.
	leastBase, mostBase = 0.005, 0.5
	// paceLearning is the weight of one measurement in a replica's pace.
	paceLearning = 0.1
	// slowest and fastest bound the pace of a replica.
	slowest, fastest = 8.0, 0.5
)

// rate is how fast the engines of a service read prompts: a line through the
// times to the first token over the prompt tokens read until then, by least
// squares with fading weights.
type rate struct {
	perSecond float64
	// base is the time to the first token of an empty prompt, in seconds.
	base float64
	// Sums of the weights, of x, y, x*x and x*y; x in tokens, y in seconds.
	n, x, y, xx, xy float64
}

// newRate returns the rate expected of engines that nothing was measured of. It
// counts as much as a few measurements: without them, short prompts that waited
// for others make any slope.
func newRate() *rate {
	r := &rate{perSecond: firstRate, base: baseDelay.Seconds()}
	for range assumedMeasurements {
		for _, tokens := range []float64{0, assumedTokens} {
			r.add(tokens, r.base+tokens/r.perSecond)
		}
	}
	return r
}

// measured takes in a time to the first token.
func (r *rate) measured(tokens, took float64) {
	// One request that waited for something else must not turn the line.
	took = min(took, 3*(r.base+tokens/r.perSecond)+r.base)
	r.add(tokens, took)
	spread := r.n*r.xx - r.x*r.x
	if r.n < leastMeasured || spread <= 0 {
		return
	}
	slope := (r.n*r.xy - r.x*r.y) / spread
	slope = min(max(slope, 1.0/(20*firstRate)), 20.0/firstRate)
	r.perSecond = 1 / slope
	r.base = min(max((r.y-slope*r.x)/r.n, leastBase), mostBase)
}

func (r *rate) add(tokens, took float64) {
	r.n = r.n*remembered + 1
	r.x = r.x*remembered + tokens
	r.y = r.y*remembered + took
	r.xx = r.xx*remembered + tokens*tokens
	r.xy = r.xy*remembered + tokens*took
}

func (b *Balancer) rateLocked(service string) *rate {
	r := b.rates[service]
	if r == nil {
		r = newRate()
		b.rates[service] = r
	}
	return r
}

// BusyEngines returns how many engines of each service this entry keeps busy with
// reading prompts and with its running requests.
func (b *Balancer) BusyEngines() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	out := make(map[string]float64, len(b.work))
	for service, m := range b.work {
		out[service] = m.Rate(now)
	}
	return out
}

// Outcome is how a request ended at a replica, as far as it tells something
// of the replica.
type Outcome int

// Outcomes of a request.
const (
	// Fine requests were answered.
	Fine Outcome = iota
	// Failed requests were answered with a failure of the replica's own, or
	// not at all.
	Failed
	// Refused requests were not run.
	Refused
	// Neutral requests tell nothing, for example those that were cancelled.
	Neutral
)

// Ticket is one request in flight at a replica. Its methods are called from
// one goroutine.
type Ticket struct {
	b      *Balancer
	q      Query
	choice Choice
	sent   time.Time
	// tokens are those of the request that are not cached, ahead those that
	// were to be read before them.
	tokens, ahead int
	started       bool
	ended         bool
}

func (b *Balancer) workLocked(service string) *meter.EWMA {
	m := b.work[service]
	if m == nil {
		m = &meter.EWMA{At: time.Now()}
		b.work[service] = m
	}
	return m
}

// Begin counts a request as in flight at the replica chosen.
func (b *Balancer) Begin(q Query, c Choice) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &Ticket{b: b, q: q, choice: c, sent: time.Now()}
	if q.Slots > 0 {
		t.tokens = max(0, q.PromptTokens-c.CachedTokens)
	}
	st := b.stateLocked(c.Replica)
	t.ahead = st.own.Tokens + int(b.others[c.Replica.ID].tokens)
	st.own.InFlight++
	st.own.Tokens += t.tokens
	if q.Slots > 0 {
		seconds := float64(t.tokens) / b.rateLocked(q.Service).perSecond
		b.workLocked(q.Service).Add(t.sent, seconds)
		m := b.mixLocked(q.Service)
		m.all.Add(t.sent, seconds)
		if b.isLong(q, t.tokens) {
			m.long.Add(t.sent, seconds)
		}
	}
	b.noteLocked(q.Parts, c.Replica.ID, t.sent)
	return t
}

// Started records that the first token has arrived.
func (t *Ticket) Started() {
	if t.started {
		return
	}
	t.started = true
	took := time.Since(t.sent).Seconds()
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	st := t.b.stateLocked(t.choice.Replica)
	st.own.Tokens -= t.tokens
	t.b.livesLocked(t.q.Service).waiting.ended(took, float64(t.tokens))
	predicted := t.choice.FirstToken.Seconds()
	if t.q.Slots == 0 || predicted <= 0 {
		return
	}
	t.b.rateLocked(t.q.Service).measured(float64(t.ahead+t.tokens), took)
	ratio := min(max(took/predicted*st.pace, fastest), slowest)
	st.pace = min(max(st.pace*math.Exp(paceLearning*math.Log(ratio/st.pace)), 1), slowest)
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
	st.own.InFlight--
	took := time.Since(t.sent).Seconds()
	t.b.livesLocked(t.q.Service).running.ended(took, took)
	if !t.started {
		st.own.Tokens -= t.tokens
	}
	if t.q.Slots > 0 && t.started {
		// A running request takes its slot's part of the engine.
		t.b.workLocked(t.q.Service).Add(time.Now(), took/float64(t.q.Slots))
	}
	if o != Neutral {
		st.failures.add(time.Now(), o)
	}
}
