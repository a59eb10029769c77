package routing

import (
	"time"
)

// Defaults until an endpoint has reported.
const (
	// defaultPrefillRate and defaultDecodeRate are in tokens per second.
	defaultPrefillRate = 8000.0
	defaultDecodeRate  = 40.0
	// defaultMaxRunning is a batch size.
	defaultMaxRunning = 16
	// defaultAnswerTokens is the length of an answer.
	defaultAnswerTokens = 128.0
)

const (
	// prefillChunk is the prompt tokens that an engine finishes before it
	// turns to a more urgent request.
	prefillChunk = 2048
	// staleAfter is the age from which a report says no more about an
	// endpoint than the group's average does.
	staleAfter = 10 * time.Second
	// lateWeight is the weight of one first frame in an endpoint's lateness.
	lateWeight = 1.0 / 8
	// lateHalfLife is the time in which lateness counts half, so that an
	// endpoint that was late gets another chance.
	lateHalfLife = 5 * time.Second
	maxLate      = 2 * time.Second
)

// estimate is what is predicted for a request on a replica.
type estimate struct {
	ttft time.Duration
	// occupancy is the part of the batch in use; above 1 streams wait.
	occupancy float64
	// prefill and decode are in tokens per second.
	prefill float64
	decode  float64
	batch   float64
}

// demand is what a prediction depends on besides the replica.
type demand struct {
	// uncached is in prompt tokens.
	uncached int
	// before is the part of queued work that goes before the request.
	before float64
}

// predict estimates the time to the first token of a request. r.mu is held.
func (r *replica) predict(d demand, now time.Time) estimate {
	e := r.rates()
	streams := r.streams(e.batch, now)
	e.occupancy = streams / e.batch
	wait := (r.queued(d) + float64(d.uncached)) / e.prefill
	wait += r.slotWait(d, e, streams)
	e.ttft = time.Duration(wait*float64(time.Second)) + r.lateness(now)
	return e
}

// rates returns an estimate that has the endpoint's speeds only.
func (r *replica) rates() estimate {
	e := estimate{
		prefill: r.load.PrefillRate,
		decode:  r.load.DecodeRate,
		batch:   float64(r.load.MaxRunning),
	}
	if e.prefill <= 0 {
		e.prefill = r.stats.prefillRate.get(defaultPrefillRate)
	}
	if e.decode <= 0 {
		e.decode = r.stats.decodeRate.get(defaultDecodeRate)
	}
	if e.batch <= 0 {
		e.batch = defaultMaxRunning
	}
	return e
}

// streams estimates the streams on the endpoint: those reported and the own
// ones since, or, once the report is stale, at least the group's average.
func (r *replica) streams(batch float64, now time.Time) float64 {
	n := float64(max(r.load.Running+r.load.Waiting+r.own.unseen().requests, r.own.inFlight))
	if !r.reported || now.Sub(r.loadAt) > staleAfter {
		n = max(n, r.stats.occupancy.get(0)*batch)
	}
	return n
}

// queued estimates the prompt tokens that are prefilled before a request's
// own. An engine serves the more urgent first, but finishes the chunk that it
// is at.
func (r *replica) queued(d demand) float64 {
	all := float64(max(r.load.QueuedPromptTokens+r.own.unseen().tokens, r.own.unstarted))
	return min(all, all*d.before+prefillChunk)
}

// slotWait estimates the wait for a place in the batch.
func (r *replica) slotWait(d demand, e estimate, streams float64) float64 {
	waiting := max(0, streams-e.batch)
	over := min(streams, e.batch) + waiting*d.before + 1 - e.batch
	if over <= 0 {
		return 0
	}
	perStream := r.stats.answerTokens.get(defaultAnswerTokens) / e.decode
	return over * perStream / e.batch
}

// lateness returns the correction for what the model of the engine leaves
// out, network included.
func (r *replica) lateness(now time.Time) time.Duration {
	if r.late == 0 {
		return 0
	}
	keep := 1 / (1 + float64(now.Sub(r.lateAt))/float64(lateHalfLife))
	return time.Duration(float64(r.late) * keep)
}

// learnLate corrects the lateness by a first frame. predicted includes the
// lateness of its time. r.mu is held.
func (r *replica) learnLate(predicted, observed time.Duration, now time.Time) {
	late := r.lateness(now) + time.Duration(lateWeight*float64(observed-predicted))
	r.late = min(max(late, 0), maxLate)
	r.lateAt = now
}
