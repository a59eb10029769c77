package routing

import (
	"time"
)

// Defaults used until an endpoint of the group has reported.
const (
	// defaultPrefillRate and defaultDecodeRate are in tokens per second.
	defaultPrefillRate = 8000.0
	defaultDecodeRate  = 40.0
	// defaultMaxRunning is the batch size in streams.
	defaultMaxRunning = 16
	// defaultAnswerTokens is the length of an answer in tokens.
	defaultAnswerTokens = 128.0
)

const (
	// prefillChunk is the number of prompt tokens that an engine processes at
	// a time. A more urgent request waits for the current chunk.
	prefillChunk = 2048
	// staleAfter is the age above which a report is no better an estimate of an
	// endpoint's occupancy than the group's average.
	staleAfter = 10 * time.Second
	// latenessWeight is the weight of one first frame in an endpoint's
	// lateness.
	latenessWeight = 1.0 / 8
	// latenessHalfLife is the time after which a lateness is halved, so that an
	// endpoint that was late is chosen again.
	latenessHalfLife = 5 * time.Second
	maxLateness      = 2 * time.Second
)

// estimate is the prediction for a request on a replica.
type estimate struct {
	ttft time.Duration
	// occupancy is the fraction of the batch in use; above 1, streams wait.
	occupancy float64
	// prefillRate and decodeRate are in tokens per second; decodeRate is that
	// of one stream.
	prefillRate float64
	decodeRate  float64
	// batchSize is the maximum number of running streams.
	batchSize float64
}

// predictionInput holds the inputs of a prediction that depend on the request.
type predictionInput struct {
	// uncachedTokens is the number of prompt tokens that must be prefilled.
	uncachedTokens int
	// precedingFraction is the fraction of the queued work that is served
	// before the request.
	precedingFraction float64
}

// predict estimates the time to the first token of a request. r.mu is held.
func (r *replica) predict(in predictionInput, now time.Time) estimate {
	e := r.rates()
	streams := r.streams(e.batchSize, now)
	e.occupancy = streams / e.batchSize
	wait := (r.queuedTokens(in) + float64(in.uncachedTokens)) / e.prefillRate
	wait += r.slotWait(in, e, streams)
	e.ttft = time.Duration(wait*float64(time.Second)) + r.lateness(now)
	return e
}

// rates returns an estimate with only prefillRate, decodeRate and batchSize
// set. r.mu is held.
func (r *replica) rates() estimate {
	e := estimate{
		prefillRate: r.load.PrefillRate,
		decodeRate:  r.load.DecodeRate,
		batchSize:   float64(r.load.MaxRunning),
	}
	if e.prefillRate <= 0 {
		e.prefillRate = r.stats.prefillRate.get(defaultPrefillRate)
	}
	if e.decodeRate <= 0 {
		e.decodeRate = r.stats.decodeRate.get(defaultDecodeRate)
	}
	if e.batchSize <= 0 {
		e.batchSize = defaultMaxRunning
	}
	return e
}

// streams estimates the number of streams on the endpoint: those reported plus
// this entry's own since, and with a stale report at least the group's average.
// r.mu is held.
func (r *replica) streams(batch float64, now time.Time) float64 {
	n := float64(max(r.load.Running+r.load.Waiting+r.own.unreported().requests, r.own.inFlight))
	if !r.hasReport || now.Sub(r.loadAt) > staleAfter {
		n = max(n, r.stats.occupancy.get(0)*batch)
	}
	return n
}

// queuedTokens estimates the number of prompt tokens that are prefilled before
// those of a request. An engine prefills more urgent requests first, but
// finishes the current chunk. r.mu is held.
func (r *replica) queuedTokens(in predictionInput) float64 {
	all := float64(max(r.load.QueuedPromptTokens+r.own.unreported().tokens, r.own.unstartedTokens))
	return min(all, all*in.precedingFraction+prefillChunk)
}

// slotWait estimates the wait for a free slot of the batch, in seconds.
func (r *replica) slotWait(in predictionInput, e estimate, streams float64) float64 {
	waiting := max(0, streams-e.batchSize)
	excess := min(streams, e.batchSize) + waiting*in.precedingFraction + 1 - e.batchSize
	if excess <= 0 {
		return 0
	}
	perStream := r.stats.answerTokens.get(defaultAnswerTokens) / e.decodeRate
	return excess * perStream / e.batchSize
}

// lateness returns the delay to add to a prediction for everything that the
// model of the engine does not cover, such as the network. r.mu is held.
func (r *replica) lateness(now time.Time) time.Duration {
	if r.lastLateness == 0 {
		return 0
	}
	decay := 1 / (1 + float64(now.Sub(r.latenessAt))/float64(latenessHalfLife))
	return time.Duration(float64(r.lastLateness) * decay)
}

// recordLateness updates the lateness when a first frame arrives. predicted
// includes the lateness at the time of the prediction. r.mu is held.
func (r *replica) recordLateness(predicted, observed time.Duration, now time.Time) {
	late := r.lateness(now) + time.Duration(latenessWeight*float64(observed-predicted))
	r.lastLateness = min(max(late, 0), maxLateness)
	r.latenessAt = now
}
