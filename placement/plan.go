package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// plan is what one model should have.
type plan struct {
	model template.Model
	// versions are those that the template asks for, the model's own first.
	versions []string
	// answersUrgent says that an urgent kind uses the model.
	answersUrgent bool
	// need and urgent are replicas for all work, and for urgent work after
	// the loss of a failure domain.
	need, urgent int
	// floor is the lowest need that the cost ceiling may press the plan to.
	floor int
	// capped says that it did.
	capped bool
	units  []unit
	// survives is false when the loss of a failure domain would leave too few
	// replicas for urgent work.
	survives bool
	replicas []*replica
}

// plan returns the plans of all models of the template.
func (c *Controller) plan(t *template.Template) []*plan {
	now := time.Now()
	c.saving = c.cfg.savingUnder(t.Weights)
	demand := c.Demand()
	plans := make([]*plan, 0, len(t.Models))
	for _, m := range t.Models {
		p := &plan{model: m, versions: versions(t, m), answersUrgent: answersUrgent(t, m)}
		for _, r := range c.fleet.replicas {
			if r.endpoint.Name == m.Name && !r.leaving() {
				p.replicas = append(p.replicas, r)
			}
		}
		p.sort()
		c.size(p, demand, now)
		c.choose(p)
		plans = append(plans, p)
	}
	c.fitCeiling(plans)
	return plans
}

// sort puts the replicas first that it would cost most to give up.
func (p *plan) sort() {
	slices.SortStableFunc(p.replicas, func(a, b *replica) int {
		serves := func(r *replica) int {
			if r.serves(p.model.Name, p.versions[0]) {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(serves(b), serves(a)), cmp.Compare(b.load.Running, a.load.Running))
	})
}

// versions returns the versions of a model that a template asks for, the
// model's own first.
func versions(t *template.Template, m template.Model) []string {
	out := []string{m.Version}
	for _, customer := range t.Customers {
		if v, ok := customer.ModelVersions[m.Name]; ok && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}

func answersUrgent(t *template.Template, m template.Model) bool {
	return slices.ContainsFunc(t.Kinds, func(k template.Kind) bool {
		return k.Model == m.Name && k.Urgency == template.UrgencyUrgent
	})
}

// size sets how many replicas the demand needs. Needs fall only after they
// have been low for a while.
func (c *Controller) size(p *plan, demand []Demand, now time.Time) {
	var total, urgent Capacity
	for _, d := range demand {
		if d.Model != p.model.Name {
			continue
		}
		total.Streams += d.Streams
		total.PromptRate += d.PromptRate
		urgent.Streams += d.UrgentStreams
		urgent.PromptRate += d.UrgentPromptRate
	}
	capacity := c.capacity(p.replicas)
	p.urgent = c.replicasFor(urgent, capacity)
	if p.answersUrgent {
		p.urgent = max(p.urgent, 1)
	}
	p.need = max(c.replicasFor(total, capacity), p.model.MinReplicas)
	w := c.needs[p.model.Name]
	if w == nil {
		w = &window{began: now, length: c.cfg.ShrinkAfter, floor: len(p.replicas)}
		c.needs[p.model.Name] = w
	}
	p.need, p.urgent = w.highest(now, p.need, p.urgent, len(p.replicas))
	p.need = min(p.need, p.model.MaxReplicas)
	p.urgent = min(p.urgent, p.model.MaxReplicas)
	p.floor = max(p.urgent, min(p.model.MinReplicas, p.need))
}

// replicasFor returns how many replicas a load needs.
func (c *Controller) replicasFor(load, capacity Capacity) int {
	n := max(load.Streams/capacity.Streams, load.PromptRate/capacity.PromptRate) / c.cfg.Utilization
	return int(math.Ceil(n - 1e-9))
}

// capacity returns the mean capacity that engines reported.
func (c *Controller) capacity(replicas []*replica) Capacity {
	var sum Capacity
	n := 0.0
	for _, r := range replicas {
		if r.known && r.load.MaxRunning > 0 && r.load.PrefillRate > 0 {
			sum.Streams += float64(r.load.MaxRunning)
			sum.PromptRate += r.load.PrefillRate
			n++
		}
	}
	if n == 0 {
		return c.cfg.Capacity
	}
	return Capacity{Streams: sum.Streams / n, PromptRate: sum.PromptRate / n}
}

// choose picks the units of a plan among the running hosts, the requested
// ones and what the cloud offers now.
func (c *Controller) choose(p *plan) {
	var g grouping
	for _, r := range p.replicas {
		g.add(r.host.FailureDomain, r.host.ID, c.running(r.host))
	}
	for _, q := range c.requests {
		if q.Model == p.model.Name {
			g.add(q.FailureDomain, q.unit(), c.kept(q.offer))
		}
	}
	now := time.Now()
	for _, o := range c.offers {
		if c.refusals.open(o, now) {
			g.options = append(g.options, option{domain: o.FailureDomain, price: c.price(o), count: p.model.MaxReplicas, offer: o})
		}
	}
	p.units, p.survives = spread(g.options, p.need, p.urgent, p.model.MaxReplicas)
}

// price returns what a host of an offer costs per hour, with the expected
// cost of losing it.
func (c *Controller) price(o infra.Offer) float64 {
	return o.PricePerHour + o.LossPerHour*c.cfg.LossCost
}

// kept returns the price of a host that runs already. It is lower, so that a
// host is replaced only where that pays.
func (c *Controller) kept(o infra.Offer) float64 {
	return c.price(o) * (1 - c.saving)
}

// savingUnder returns the part of its price that a host's replacement must
// save under a deployment's weights.
func (c Config) savingUnder(w template.Weights) float64 {
	if w.Cost+w.Recomputed <= 0 {
		return c.Saving
	}
	return c.Saving + c.CacheSaving*w.Recomputed/(w.Cost+w.Recomputed)
}

// running returns the price of a running host, by its own price and the loss
// rate of its kind.
func (c *Controller) running(h infra.Host) float64 {
	o := infra.Offer{PricePerHour: h.PricePerHour}
	for _, other := range c.offers {
		if other.FailureDomain == h.FailureDomain && other.Class == h.Class && other.Reclaimable == h.Reclaimable {
			o.LossPerHour = other.LossPerHour
		}
	}
	return c.kept(o)
}

// fitCeiling takes replicas for patient work away until the plans cost no
// more than the ceiling. Those for urgent work stay.
func (c *Controller) fitCeiling(plans []*plan) {
	if c.cfg.CostPerHour <= 0 {
		return
	}
	for {
		cost := 0.0
		var widest *plan
		for _, p := range plans {
			cost += c.cost(p)
			if p.need > p.floor && (widest == nil || p.need-p.floor > widest.need-widest.floor) {
				widest = p
			}
		}
		if cost <= c.cfg.CostPerHour {
			return
		}
		if widest == nil {
			c.Log.WithFields(logrus.Fields{"cost_per_hour": cost, "ceiling": c.cfg.CostPerHour}).
				Warn("placement: urgent work alone is above the cost ceiling.")
			return
		}
		widest.need--
		widest.capped = true
		c.choose(widest)
	}
}

// cost returns the price of a plan's hosts per hour.
func (c *Controller) cost(p *plan) float64 {
	prices := make(map[string]float64)
	for _, r := range p.replicas {
		prices[r.host.ID] = r.host.PricePerHour
	}
	for _, q := range c.requests {
		prices[q.unit()] = q.offer.PricePerHour
	}
	total := 0.0
	for _, u := range p.units {
		if u.host == "" {
			total += u.offer.PricePerHour
			continue
		}
		total += prices[u.host]
	}
	return total
}

// window keeps the highest needs of the recent past.
type window struct {
	began   time.Time
	length  time.Duration
	samples []sample
	// floor is the least that ran since the window began. It is not what runs
	// now: while hosts are replaced the old and the new ones run side by side,
	// and a need that followed them would grow with each round.
	floor int
}

type sample struct {
	at           time.Time
	need, urgent int
}

// highest adds a sample and returns the highest ones of the window. Until the
// window is full, the need is at least the least that ran since it began.
func (w *window) highest(now time.Time, need, urgent, running int) (int, int) {
	w.samples = append(w.samples, sample{at: now, need: need, urgent: urgent})
	w.samples = slices.DeleteFunc(w.samples, func(s sample) bool { return now.Sub(s.at) > w.length })
	w.floor = min(w.floor, running)
	if now.Sub(w.began) < w.length {
		need = max(need, w.floor)
	}
	for _, s := range w.samples {
		need, urgent = max(need, s.need), max(urgent, s.urgent)
	}
	return need, urgent
}
