package routing

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	// Parts of the deadline that a prediction may take, so that an error of
	// the prediction does not miss the deadline. Urgent answers have the
	// shortest deadlines, against which errors are largest.
	urgentMargin = 0.5
	otherMargin  = 0.8
	// noDeadline stands for the deadline of requests without one.
	noDeadline = 10 * time.Second
	// freeOccupancy is the occupancy up to which load is not balanced.
	freeOccupancy = 0.7
	// loadBound is the load of an endpoint as a multiple of the average above
	// which it gets no work by preference (consistent hashing with bounded
	// loads, Mirrokni, Thorup and Zadimoghaddam, 2018).
	loadBound = 1.25
	// Parts of each batch that are kept for urgent kinds.
	patientReserve = 0.125
	normalReserve  = 0.0625
	// minPrice stands for an unknown price, in money per second.
	minPrice = 1e-9
	// noReserve lets a request wait at an endpoint whose batch is full.
	noReserve = -1
	// affinityPrior is the part of a prompt expected to be cached, or to be
	// of use to later requests, on the first endpoint of the rendezvous
	// order; each further rank has half of the one before.
	affinityPrior = 0.5
)

// pricing is what a score depends on besides the candidate.
type pricing struct {
	weights template.Weights
	// money is what the request costs on average, without any cache.
	money    float64
	answer   float64
	deadline time.Duration
	// limit is the prediction that still meets the deadline.
	limit time.Duration
	// bound is the occupancy above which a candidate is overloaded.
	bound float64
	// reserve is the part of a batch that this request must leave free.
	reserve float64
}

// pricingFor prepares the scores of a request.
func (f *Fleet) pricingFor(g *group, req *Request) pricing {
	p := pricing{
		weights:  *f.weights.Load(),
		answer:   g.stats.answerTokens.get(defaultAnswerTokens),
		deadline: req.Deadline,
		bound:    max(freeOccupancy, loadBound*g.stats.occupancy.get(0)),
		reserve:  reserveFrom(req),
	}
	if p.weights.Cost == 0 && p.weights.Recomputed == 0 {
		p.weights = template.Weights{Cost: 1, Recomputed: 1}
	}
	if req.MaxTokens > 0 {
		p.answer = min(p.answer, float64(req.MaxTokens))
	}
	prefill := float64(req.PromptTokens) / g.stats.prefillRate.get(defaultPrefillRate)
	decode := p.answer / g.stats.decodeRate.get(defaultDecodeRate)
	p.money = max(g.meanPrice, minPrice) * (prefill + decode/defaultMaxRunning)
	if p.deadline <= 0 {
		p.deadline = noDeadline
	}
	margin := otherMargin
	if req.Urgency == template.UrgencyUrgent {
		margin = urgentMargin
	}
	p.limit = time.Duration(margin * float64(p.deadline))
	return p
}

// reserveFrom returns the part of a batch that is kept from a request.
// Resumed streams were admitted before and may use all.
func reserveFrom(req *Request) float64 {
	switch {
	case req.Resumed || req.Urgency == template.UrgencyUrgent:
		return noReserve
	case req.Urgency == template.UrgencyPatient:
		return patientReserve
	default:
		return normalReserve
	}
}

// fits says whether a request with the reserve may join a batch. Whole places
// are reserved, so that a small batch keeps none free.
func (e *estimate) fits(reserve float64) bool {
	if reserve == noReserve {
		return true
	}
	return e.occupancy*e.batch+1 <= e.batch-math.Floor(e.batch*reserve)
}

// score returns the expected cost of a candidate under the deployment's
// weights: money for its share of the endpoint, as a multiple of the average,
// and tokens computed again because their work was not reused or is lost with
// the host, as a multiple of the request's own. The part of the deadline that
// the wait takes raises it, so that equals share the load.
func (p *pricing) score(c *candidate, prompt int) float64 {
	econ := c.replica.host.econ.Load()
	uncached := float64(prompt) - c.cached()
	prefill := uncached / c.est.prefill
	decode := p.answer / c.est.decode
	money := max(econ.pricePerSecond, minPrice) * (prefill + decode/c.est.batch)

	missed := uncached
	if c.rank < affinityRanks {
		missed *= 1 - affinityPrior/float64(int(1)<<c.rank)
	}
	work := float64(prompt) + p.answer/2
	exposed := c.est.ttft.Seconds() + decode
	atRisk := econ.lossPerSecond * exposed * work
	again := (missed + atRisk) / max(work, 1)

	waiting := float64(c.est.ttft) / float64(p.deadline)
	return (p.weights.Cost*money/p.money + p.weights.Recomputed*again) * (1 + waiting)
}

// cached returns the prompt tokens expected in the candidate's cache.
func (c *candidate) cached() float64 {
	return float64(c.hit.blocks*blockTokens) * c.hit.confidence
}
