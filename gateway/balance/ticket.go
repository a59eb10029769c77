package balance

import (
	"math"
	"time"
)

const (
	// learning is the weight of one measurement in a learned rate.
	learning = 0.05
	// paceLearning is the weight of one measurement in a replica's pace.
	paceLearning = 0.1
	// slowest and fastest bound the pace of a replica.
	slowest, fastest = 8.0, 0.5
)

// rate is how fast the engines of a service read prompts.
type rate struct {
	perSecond float64
	// base is the time to the first token of an empty prompt, in seconds.
	base float64
}

func (b *Balancer) rateLocked(service string) *rate {
	r := b.rates[service]
	if r == nil {
		r = &rate{perSecond: firstRate, base: baseDelay.Seconds()}
		b.rates[service] = r
	}
	return r
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
	b       *Balancer
	q       Query
	choice  Choice
	sent    time.Time
	tokens  int
	started bool
	ended   bool
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
	st.own.InFlight++
	st.own.Tokens += t.tokens
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
	predicted := t.choice.FirstToken.Seconds()
	if t.q.Slots == 0 || predicted <= 0 {
		return
	}
	t.b.learnLocked(t.q.Service, took, predicted/st.pace)
	ratio := min(max(took/predicted*st.pace, fastest), slowest)
	st.pace = min(max(st.pace*math.Exp(paceLearning*math.Log(ratio/st.pace)), 1), slowest)
}

// learnLocked moves the rate of a service towards what was measured.
func (b *Balancer) learnLocked(service string, took, predicted float64) {
	r := b.rateLocked(service)
	correction := min(max(predicted/took, 0.5), 2)
	r.perSecond *= math.Exp(learning * math.Log(correction))
	r.perSecond = min(max(r.perSecond, firstRate/20), firstRate*20)
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
	if !t.started {
		st.own.Tokens -= t.tokens
	}
	if o != Neutral {
		st.failures.add(time.Now(), o)
	}
}
