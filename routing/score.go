package routing

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	// Fractions of the deadline that a prediction may use, so that a
	// prediction error does not cause a missed deadline. Urgent requests have
	// the shortest deadlines, relative to which the errors are largest.
	urgentMargin = 0.5
	otherMargin  = 0.8
	// noDeadline is the deadline assumed for requests without one.
	noDeadline = 10 * time.Second
	// freeOccupancy is the occupancy up to which the load bound does not apply.
	freeOccupancy = 0.7
	// loadBound is the occupancy, as a multiple of the group's average, above
	// which an endpoint is not chosen by cost (consistent hashing with bounded
	// loads, Mirrokni, Thorup and Zadimoghaddam, 2018).
	loadBound = 1.25
	// Fractions of each batch that patient and normal requests must leave free
	// for more urgent ones.
	patientReserve = 0.125
	normalReserve  = 0.0625
	// minPrice is the price per second assumed when the price is unknown.
	minPrice = 1e-9
	// noReserve is the reserved fraction of requests that may also wait at an
	// endpoint whose batch is full.
	noReserve = -1
	// affinityPrior is the fraction of a prompt that is expected to be cached,
	// or to be reused by later requests, on the first endpoint of the
	// rendezvous order. It halves with each further rank.
	affinityPrior = 0.5
)

// pricing holds the inputs of a score that are the same for all candidates of a
// request.
type pricing struct {
	weights template.Weights
	// meanCost is the mean cost of the request without any cached tokens.
	meanCost     float64
	answerTokens float64
	deadline     time.Duration
	// ttftLimit is the highest prediction that counts as within the deadline.
	ttftLimit time.Duration
	// occupancyBound is the occupancy above which a candidate is overloaded.
	occupancyBound float64
	// reservedFraction is the fraction of a batch that this request must leave
	// free, or noReserve.
	reservedFraction float64
}

// pricingFor returns the pricing of a request in a group.
func (f *Fleet) pricingFor(g *group, req *Request) pricing {
	p := pricing{
		weights:          *f.weights.Load(),
		answerTokens:     g.stats.answerTokens.get(defaultAnswerTokens),
		deadline:         req.Deadline,
		occupancyBound:   max(freeOccupancy, loadBound*g.stats.occupancy.get(0)),
		reservedFraction: reservedFractionFor(req),
	}
	if p.weights.Cost == 0 && p.weights.Recomputed == 0 {
		p.weights = template.Weights{Cost: 1, Recomputed: 1}
	}
	if req.MaxTokens > 0 {
		p.answerTokens = min(p.answerTokens, float64(req.MaxTokens))
	}
	prefill := float64(req.PromptTokens) / g.stats.prefillRate.get(defaultPrefillRate)
	decode := p.answerTokens / g.stats.decodeRate.get(defaultDecodeRate)
	p.meanCost = max(g.meanPrice, minPrice) * (prefill + decode/defaultMaxRunning)
	if p.deadline <= 0 {
		p.deadline = noDeadline
	}
	margin := otherMargin
	if req.Urgency == template.UrgencyUrgent {
		margin = urgentMargin
	}
	p.ttftLimit = time.Duration(margin * float64(p.deadline))
	return p
}

// reservedFractionFor returns the fraction of a batch that a request must leave
// free. Resumed streams are already admitted and may use the whole batch.
func reservedFractionFor(req *Request) float64 {
	switch {
	case req.Resumed || req.Urgency == template.UrgencyUrgent:
		return noReserve
	case req.Urgency == template.UrgencyPatient:
		return patientReserve
	default:
		return normalReserve
	}
}

// fits reports whether a request may join the batch of an endpoint. The reserve
// is rounded down to whole slots, so that a small batch has no reserve.
func (e *estimate) fits(reserve float64) bool {
	if reserve == noReserve {
		return true
	}
	return e.occupancy*e.batchSize+1 <= e.batchSize-math.Floor(e.batchSize*reserve)
}

// score returns the expected cost of a candidate; lower is better. It is the
// weighted sum of two terms. The first is the price of the request's share of
// the endpoint, relative to the mean cost. The second is the number of tokens
// that are recomputed because the cache does not hold them or because the host
// is lost, relative to the tokens of the request. The sum is multiplied by a
// factor that grows with the predicted wait as a fraction of the deadline, so
// that equal candidates share the load.
func (p *pricing) score(c *candidate, prompt int) float64 {
	econ := c.replica.host.economics.Load()
	uncached := float64(prompt) - c.cachedTokens()
	prefill := uncached / c.est.prefillRate
	decode := p.answerTokens / c.est.decodeRate
	cost := max(econ.pricePerSecond, minPrice) * (prefill + decode/c.est.batchSize)

	missed := uncached
	if c.rank < affinityRanks {
		missed *= 1 - affinityPrior/float64(int(1)<<c.rank)
	}
	work := float64(prompt) + p.answerTokens/2
	exposedSeconds := c.est.ttft.Seconds() + decode
	atRisk := econ.lossPerSecond * exposedSeconds * work
	recomputed := (missed + atRisk) / max(work, 1)

	waiting := float64(c.est.ttft) / float64(p.deadline)
	return (p.weights.Cost*cost/p.meanCost + p.weights.Recomputed*recomputed) * (1 + waiting)
}

// cachedTokens returns the number of prompt tokens expected in the candidate's
// cache.
func (c *candidate) cachedTokens() float64 {
	return float64(c.hit.blocks*blockTokens) * c.hit.confidence
}
