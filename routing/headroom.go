package routing

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/platform"
)

// Headroom returns the streams that the endpoints of a model, over all its
// versions, have room for and their total. Free is negative while streams
// wait. The last result is false for an unknown model.
func (f *Fleet) Headroom(model string) (free, total int, known bool) {
	now := f.now()
	v := f.view.Load()
	for key, g := range v.groups {
		if key.kind != platform.KindEngine || key.name != model {
			continue
		}
		known = true
		for _, r := range g.replicas {
			r.mu.Lock()
			batch := r.rates().batch
			streams := r.streams(batch, now)
			r.mu.Unlock()
			total += int(batch)
			free += int(math.Round(batch - streams))
		}
	}
	return free, total, known
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
	s := f.newSelection(g, p, demand{before: f.mix.upTo(rank(req.Urgency))}, now)
	var near candidateList
	f.gather(v, g, &req, &near)
	for i := range near.n {
		s.offer(&req, near.items[i])
	}
	return s.fastest.est.ttft, !s.empty()
}
