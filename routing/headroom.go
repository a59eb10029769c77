package routing

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// Headroom is the number of streams that the endpoints of a model can accept.
type Headroom struct {
	// Free and Total count streams. Free is negative while streams wait.
	Free  int
	Total int
	// Unseen counts this entry's own streams that are subtracted from Free but
	// not yet included in the endpoints' load reports.
	Unseen int
}

// Headroom returns the headroom of a model over all its versions, or false if
// no endpoint serves the model.
func (f *Fleet) Headroom(model string) (Headroom, bool) {
	now := f.now()
	var h Headroom
	found := false
	for key, g := range f.view.Load().groups {
		if key.kind != infra.KindEngine || key.name != model {
			continue
		}
		found = true
		for _, r := range g.replicas {
			r.mu.Lock()
			batch := r.rates().batchSize
			streams := r.streams(batch, now)
			h.Unseen += r.own.unreported().requests
			r.mu.Unlock()
			h.Total += int(batch)
			h.Free += int(math.Round(batch - streams))
		}
	}
	return h, found
}

// Predict returns the lowest predicted time to the first token among the
// candidates for a request, or false if there is no candidate. It reserves
// nothing.
func (f *Fleet) Predict(req Request) (time.Duration, bool) {
	v := f.view.Load()
	g := v.groups[engineKey(req.Model, req.Version)]
	if g == nil {
		return 0, false
	}
	now := f.now()
	p := f.pricingFor(g, &req)
	p.reservedFraction = noReserve
	s := newSelection(g, p, predictionInput{precedingFraction: f.urgencies.fractionUpTo(req.Urgency.Rank())}, now)
	var candidates candidateList
	f.gather(v, g, &req, &candidates)
	for i := range candidates.n {
		s.evaluate(&req, candidates.items[i])
	}
	return s.fastest.est.ttft, !s.empty()
}
