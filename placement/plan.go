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

// plan is the set of hosts and versions that one model should have.
type plan struct {
	model template.Model
	// versions are those that the template requires, the default version
	// first.
	versions []string
	// servesUrgent reports whether an urgent request kind uses the model.
	servesUrgent bool
	// need is the number of replicas for all work. urgentNeed is the number
	// for urgent work; as many must remain after the loss of any failure
	// domain.
	need, urgentNeed int
	// minNeed is the lowest value to which the cost ceiling may reduce need.
	minNeed int
	// capped reports whether the cost ceiling has reduced need.
	capped bool
	units  []unit
	// survivesDomainLoss reports whether enough replicas for urgent work
	// remain after the loss of any failure domain.
	survivesDomainLoss bool
	replicas           []*replica
}

// plan returns the plans for all models of the template.
func (c *Controller) plan(t *template.Template) []*plan {
	now := time.Now()
	c.minSaving = c.cfg.minSavingFor(t.Weights)
	demand := c.Demand()
	plans := make([]*plan, 0, len(t.Models))
	for _, m := range t.Models {
		p := &plan{model: m, versions: requiredVersions(t, m), servesUrgent: servesUrgent(t, m)}
		for _, r := range c.fleet.replicas {
			if r.endpoint.Name == m.Name && !r.leaving() {
				p.replicas = append(p.replicas, r)
			}
		}
		p.sortReplicas()
		c.computeNeed(p, demand, now)
		c.chooseUnits(p)
		plans = append(plans, p)
	}
	c.applyCostCeiling(plans)
	return plans
}

// sortReplicas sorts the replicas by descending cost of losing them: those that
// serve the default version first, then by the number of running streams.
func (p *plan) sortReplicas() {
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

// requiredVersions returns the versions of a model that a template requires,
// the default version first. The others are overrides of customers.
func requiredVersions(t *template.Template, m template.Model) []string {
	out := []string{m.Version}
	for _, customer := range t.Customers {
		if v, ok := customer.ModelVersions[m.Name]; ok && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}

func servesUrgent(t *template.Template, m template.Model) bool {
	return slices.ContainsFunc(t.Kinds, func(k template.Kind) bool {
		return k.Model == m.Name && k.Urgency == template.UrgencyUrgent
	})
}

// computeNeed sets the numbers of replicas that the demand requires. They
// decrease only after demand has been low for ShrinkAfter.
func (c *Controller) computeNeed(p *plan, demand []Demand, now time.Time) {
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
	p.urgentNeed = c.replicasFor(urgent, capacity)
	if p.servesUrgent {
		p.urgentNeed = max(p.urgentNeed, 1)
	}
	p.need = max(c.replicasFor(total, capacity), p.model.MinReplicas)
	w := c.needWindows[p.model.Name]
	if w == nil {
		w = &needWindow{start: now, length: c.cfg.ShrinkAfter, minRunning: len(p.replicas)}
		c.needWindows[p.model.Name] = w
	}
	p.need, p.urgentNeed = w.update(now, p.need, p.urgentNeed, len(p.replicas))
	p.need = min(p.need, p.model.MaxReplicas)
	p.urgentNeed = min(p.urgentNeed, p.model.MaxReplicas)
	p.minNeed = max(p.urgentNeed, min(p.model.MinReplicas, p.need))
}

// replicasFor returns the number of replicas that a load requires.
func (c *Controller) replicasFor(load, capacity Capacity) int {
	n := max(load.Streams/capacity.Streams, load.PromptRate/capacity.PromptRate) / c.cfg.Utilization
	return int(math.Ceil(n - 1e-9))
}

// capacity returns the mean capacity that the engines reported, or the
// configured one if none has reported.
func (c *Controller) capacity(replicas []*replica) Capacity {
	var sum Capacity
	n := 0.0
	for _, r := range replicas {
		if r.reported && r.load.MaxRunning > 0 && r.load.PrefillRate > 0 {
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

// chooseUnits chooses the units of a plan from the running hosts, the requested
// hosts and the available offers.
func (c *Controller) chooseUnits(p *plan) {
	var b optionBuilder
	for _, r := range p.replicas {
		b.add(r.host.FailureDomain, r.host.ID, c.hostPrice(r.host))
	}
	for _, request := range c.requests {
		if request.Model == p.model.Name {
			b.add(request.FailureDomain, request.unitID(), c.retainedPrice(request.offer))
		}
	}
	now := time.Now()
	for _, o := range c.offers {
		if c.refusals.allowed(o, now) {
			b.options = append(b.options, option{domain: o.FailureDomain, price: c.price(o), count: p.model.MaxReplicas, offer: o})
		}
	}
	p.units, p.survivesDomainLoss = spread(b.options, p.need, p.urgentNeed, p.model.MaxReplicas)
}

// price returns the price per hour of a host of an offer, including the
// expected cost of losing the host.
func (c *Controller) price(o infra.Offer) float64 {
	return o.PricePerHour + o.LossPerHour*c.cfg.LossCost
}

// retainedPrice returns the price that chooseUnits assigns to a host that runs
// or has been requested. It is reduced by the minimum saving, so that a host is
// replaced only if the replacement saves that much.
func (c *Controller) retainedPrice(o infra.Offer) float64 {
	return c.price(o) * (1 - c.minSaving)
}

// minSavingFor returns the fraction of a running host's price that a
// replacement must save under a template's weights.
func (c Config) minSavingFor(w template.Weights) float64 {
	if w.Cost+w.Recomputed <= 0 {
		return c.Saving
	}
	return c.Saving + c.CacheSaving*w.Recomputed/(w.Cost+w.Recomputed)
}

// hostPrice returns the retained price of a running host. It combines the
// host's own price with the loss rate of the matching offer.
func (c *Controller) hostPrice(h infra.Host) float64 {
	o := infra.Offer{PricePerHour: h.PricePerHour}
	for _, other := range c.offers {
		if other.FailureDomain == h.FailureDomain && other.Class == h.Class && other.Reclaimable == h.Reclaimable {
			o.LossPerHour = other.LossPerHour
		}
	}
	return c.retainedPrice(o)
}

// applyCostCeiling removes replicas for work that is not urgent until the plans
// cost no more than the ceiling. It removes each from the plan whose need
// exceeds its minimum the most. Replicas for urgent work remain.
func (c *Controller) applyCostCeiling(plans []*plan) {
	if c.cfg.CostPerHour <= 0 {
		return
	}
	for {
		cost := 0.0
		var mostReducible *plan
		for _, p := range plans {
			cost += c.hostCost(p)
			if p.need > p.minNeed && (mostReducible == nil || p.need-p.minNeed > mostReducible.need-mostReducible.minNeed) {
				mostReducible = p
			}
		}
		if cost <= c.cfg.CostPerHour {
			return
		}
		if mostReducible == nil {
			c.Log.WithFields(logrus.Fields{"cost_per_hour": cost, "ceiling": c.cfg.CostPerHour}).
				Warn("placement: replicas for urgent work exceed the cost ceiling.")
			return
		}
		mostReducible.need--
		mostReducible.capped = true
		c.chooseUnits(mostReducible)
	}
}

// hostCost returns the total price per hour of a plan's hosts.
func (c *Controller) hostCost(p *plan) float64 {
	prices := make(map[string]float64)
	for _, r := range p.replicas {
		prices[r.host.ID] = r.host.PricePerHour
	}
	for _, request := range c.requests {
		prices[request.unitID()] = request.offer.PricePerHour
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

// needWindow computes the highest needs within a sliding time window.
type needWindow struct {
	start   time.Time
	length  time.Duration
	samples []sample
	// minRunning is the lowest number of replicas that ran since start. It is
	// used instead of the current number, because the old and the new hosts run
	// side by side while hosts are replaced, and a need derived from their
	// number would grow with each round.
	minRunning int
}

type sample struct {
	at           time.Time
	need, urgent int
}

// update adds a sample and returns the highest need and urgent need within the
// window. Until a full window has passed since start, the need is at least
// minRunning.
func (w *needWindow) update(now time.Time, need, urgent, running int) (int, int) {
	w.samples = append(w.samples, sample{at: now, need: need, urgent: urgent})
	w.samples = slices.DeleteFunc(w.samples, func(s sample) bool { return now.Sub(s.at) > w.length })
	w.minRunning = min(w.minRunning, running)
	if now.Sub(w.start) < w.length {
		need = max(need, w.minRunning)
	}
	for _, s := range w.samples {
		need, urgent = max(need, s.need), max(urgent, s.urgent)
	}
	return need, urgent
}
