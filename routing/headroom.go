package routing

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// Headroom is the room that the endpoints of a model have for streams.
type Headroom struct {
	// Free and Total count streams. Free is negative while streams wait.
	Free  int
	Total int
	// Unseen counts own streams that Free allows for although the endpoints'
	// reports don't show them yet.
	Unseen int
}

// Headroom returns the headroom of a model over all its versions, and false
// for an unknown model.
func (f *Fleet) Headroom(model string) (Headroom, bool) {
	now := f.now()
	var h Headroom
	known := false
	for key, g := range f.view.Load().groups {
		if key.kind != infra.KindEngine || key.name != model {
			continue
		}
		known = true
		for _, r := range g.replicas {
			r.mu.Lock()
			batch := r.rates().batch
			streams := r.streams(batch, now)
			h.Unseen += r.own.unseen().requests
			r.mu.Unlock()
			h.Total += int(batch)
			h.Free += int(math.Round(batch - streams))
		}
	}
	return h, known
}

// Predict returns the time to the first token that Choose would predict now,
// and false when no endpoint serves the model. Nothing is reserved.
func (f *Fleet) Predict(req Request) (time.Duration, bool) {
	v := f.view.Load()
	g := v.groups[engineKey(req.Model, req.Version)]
	if g == nil {
		return 0, false
	}
	now := f.now()
	p := f.pricingFor(g, &req)
	p.reserve = noReserve
	s := newSelection(g, p, demand{before: f.mix.upTo(req.Urgency.Rank())}, now)
	var near candidateList
	f.gather(v, g, &req, &near)
	for i := range near.n {
		s.offer(&req, near.items[i])
	}
	return s.fastest.est.ttft, !s.empty()
}
