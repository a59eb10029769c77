package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
)

const (
	// burstHeadroom is the spare capacity that is added to a load, as a
	// multiple of its square root: the fewer engines there are, the larger a
	// burst is relative to the load.
	burstHeadroom = 1.4
	// maxUtilization is the maximum mean fraction of time that an engine is
	// busy. Above it, the wait behind long prompts exceeds latency objectives.
	maxUtilization = 0.82
	// onDemandFraction is the fraction of the need that runs on demand, so that
	// after a reclaim answers are late rather than missing.
	onDemandFraction = 0.40
	// minOnDemand is the least number of on-demand replicas of a service.
	minOnDemand = 3
	// needDecay is the time constant with which a peak of the need decays.
	needDecay = 12 * time.Second
	// growthWindow is the interval over which the growth of the load is
	// measured. It is long enough to even out clusters of requests.
	growthWindow = 3 * time.Second
	// warmUpTime is the time after the first load in which counts are not
	// lowered, because the size of the load is not known yet.
	warmUpTime = 5 * time.Second
	// startupTime is the time in which a new planner gives no orders, because
	// replicas that start together with it appear one after the other.
	startupTime = 3 * time.Second
	// idleReserve is the minimum number of reclaimable replicas while the size
	// of the load is not known yet, as a fraction of the on-demand replicas.
	// They are most likely to be available then.
	idleReserve = 0.75
	// riskDecay is the time constant with which the count of a domain's
	// reclaims decays.
	riskDecay = 90 * time.Second
	// releasePause is the minimum time between two releases of one kind in a
	// domain. onDemandReleasePause is the minimum time between two releases of
	// on-demand replicas in any domains.
	releasePause         = 3 * time.Second
	onDemandReleasePause = time.Second
	// A release is at most a domain's count divided by stepDownDivisor, and at
	// most the surplus of all domains divided by surplusDivisor, but at least
	// one replica. With releases of one replica at a time, a large surplus
	// would have to be paid for all day.
	stepDownDivisor = 4
	surplusDivisor  = 3
	// scarcityTime is the time after a refusal or a reclaim in which
	// reclaimable replicas are assumed to be unavailable.
	scarcityTime = 3 * time.Second
	// releaseTime is the maximum time that a released replica takes to drain.
	releaseTime = 8 * time.Second
	// bootSlack is the time beyond its boot time that a replica may take to
	// appear before it counts as missing.
	bootSlack = 3 * time.Second
	// refusedRetryPause is the time after a refusal before more replicas are
	// ordered in the same pool.
	refusedRetryPause = 2 * time.Second
)

// Supply counts the replicas of a service in a failure domain: by kind those
// that accept work, and those that are draining.
type Supply struct {
	OnDemand, Reclaimable int
	// Draining is the number of reclaimable replicas that finish their work
	// because they are being reclaimed or were released.
	Draining int
}

// Input holds the data that a plan is computed from.
type Input struct {
	Now time.Time
	// Busy is the mean number of engines that the current load occupies.
	Busy float64
	// Supply is the supply by failure domain.
	Supply map[string]Supply
	Bounds config.Scaling
}

// Order sets the number of replicas of one kind in a failure domain.
type Order struct {
	Domain      string
	Reclaimable bool
	Count       int
}

// pool identifies the replicas of one kind in a failure domain.
type pool struct {
	domain      string
	reclaimable bool
}

// poolOrder is the current order for a pool, and when it was given.
type poolOrder struct {
	count     int
	givenAt   time.Time
	refusedAt time.Time
	// loweredAt is the time at which the count was last lowered, and released
	// the number of replicas released until then that may still be draining.
	loweredAt time.Time
	released  int
}

// Planner plans the replicas of one service. It is used by one goroutine.
type Planner struct {
	// startedAt is the time of the first plan.
	startedAt time.Time
	// firstLoadAt is the time of the first plan with a load.
	firstLoadAt time.Time
	// risks is the decaying count of reclaims, by domain.
	risks map[string]float64
	// riskCounted is set for the domains whose current reclaim is already
	// counted in risks.
	riskCounted map[string]bool
	// need is the number of replicas that the load needs, as of observedAt, or
	// a decaying peak of that number.
	need       float64
	observedAt time.Time
	// recentLoad holds the loads of the last growthWindow, oldest first.
	recentLoad []loadSample
	orders     map[pool]*poolOrder
	// onDemandLoweredAt is the time of the last release of on-demand replicas.
	onDemandLoweredAt time.Time
	// scarceUntil is the time until which reclaimable replicas are assumed to
	// be unavailable.
	scarceUntil time.Time
}

// loadSample is the number of busy engines at a time.
type loadSample struct {
	at   time.Time
	busy float64
}

// NewPlanner returns a Planner without orders.
func NewPlanner() *Planner {
	return &Planner{orders: make(map[pool]*poolOrder), risks: make(map[string]float64), riskCounted: make(map[string]bool)}
}

// Need returns the number of replicas that the last plan provided for.
func (p *Planner) Need() float64 { return p.need }

// Plan returns the orders to give now.
func (p *Planner) Plan(in Input) []Order {
	p.observe(in)
	if in.Now.Sub(p.startedAt) < startupTime {
		return nil
	}
	domains := byPrice(in.Bounds, in.Supply)
	onDemand, reclaimable := p.targetCounts(in, len(domains))
	want := make(map[pool]int)
	distribute(want, domains, false, onDemand, in.Bounds.Max)
	distribute(want, p.byRisk(domains), true, reclaimable, in.Bounds.Max)
	for _, d := range domains {
		if p.firstLoadAt.IsZero() {
			// Replicas that exist at the start remain until there is a load.
			want[pool{d, false}] = max(want[pool{d, false}], in.Supply[d].OnDemand)
		}
		short := in.Bounds.Min - want[pool{d, false}] - want[pool{d, true}]
		if short > 0 {
			want[pool{d, false}] += short
		}
	}
	return p.newOrders(in, domains, want)
}

// observe updates the need and the reclaim risks.
func (p *Planner) observe(in Input) {
	since := in.Now.Sub(p.observedAt).Seconds()
	if p.observedAt.IsZero() {
		since, p.startedAt = 0, in.Now
	}
	p.observedAt = in.Now
	projected := (in.Busy + p.projectedGrowth(in)) / maxUtilization
	p.need = max(replicasNeeded(in.Busy), projected, p.need*math.Exp(-since/needDecay.Seconds()))
	if p.firstLoadAt.IsZero() && in.Busy > 0 {
		p.firstLoadAt = in.Now
	}
	for domain := range in.Supply {
		p.risks[domain] *= math.Exp(-since / riskDecay.Seconds())
		reclaiming := p.reclaiming(in, domain)
		if reclaiming {
			p.scarceUntil = in.Now.Add(scarcityTime)
			if !p.riskCounted[domain] {
				p.risks[domain]++
			}
		}
		p.riskCounted[domain] = reclaiming
	}
}

// projectedGrowth returns how many more engines a load that keeps growing will
// occupy when replicas ordered now are ready.
func (p *Planner) projectedGrowth(in Input) float64 {
	p.recentLoad = append(p.recentLoad, loadSample{in.Now, in.Busy})
	for in.Now.Sub(p.recentLoad[0].at) > growthWindow {
		p.recentLoad = p.recentLoad[1:]
	}
	span := in.Now.Sub(p.recentLoad[0].at).Seconds()
	if span <= 0 || p.warmingUp(in.Now) {
		// The apparent growth of a load that has just begun is an artifact of
		// its measurement.
		return 0
	}
	// The measured growth is the mean over the interval, so it applies to the
	// time half the interval ago.
	horizon := in.Bounds.Boot.Seconds() + span/2
	return max(0, (in.Busy-p.recentLoad[0].busy)/span*horizon)
}

// reclaiming reports whether a domain's reclaimable replicas are being
// reclaimed, which is the case if more of them are draining than were released
// recently.
func (p *Planner) reclaiming(in Input, domain string) bool {
	draining := in.Supply[domain].Draining
	if order := p.orders[pool{domain, true}]; order != nil && in.Now.Sub(order.loweredAt) <= releaseTime {
		return draining > order.released
	}
	return draining > 0
}

// replicasNeeded returns the number of replicas that a load needs, by the mean
// number of engines that it occupies.
func replicasNeeded(busy float64) float64 {
	return max(busy/maxUtilization, busy+burstHeadroom*math.Sqrt(max(0, busy)))
}

// byRisk returns the domains sorted by the number of recent reclaims, lowest
// first.
func (p *Planner) byRisk(domains []string) []string {
	out := slices.Clone(domains)
	slices.SortStableFunc(out, func(x, y string) int {
		return cmp.Compare(math.Round(p.risks[x]), math.Round(p.risks[y]))
	})
	return out
}

// warmingUp reports whether the size of the load is not known yet, so that
// counts must not be lowered.
func (p *Planner) warmingUp(now time.Time) bool {
	return p.firstLoadAt.IsZero() || now.Sub(p.firstLoadAt) < warmUpTime
}

// targetCounts returns the wanted number of replicas of each kind, over all
// domains.
func (p *Planner) targetCounts(in Input, domains int) (onDemand, reclaimable int) {
	need := int(math.Ceil(p.need))
	if in.Bounds.SpotPrice <= 0 || in.Bounds.SpotPrice >= 1 {
		return max(need+1, minOnDemand), 0
	}
	onDemand = max(int(math.Ceil(onDemandFraction*p.need)), minOnDemand)
	rest := max(0, need-onDemand)
	if p.warmingUp(in.Now) {
		found := 0
		for _, s := range in.Supply {
			found += s.OnDemand
		}
		rest = max(rest, int(idleReserve*float64(found)))
	}
	// The rest must remain if all reclaimable replicas of one domain are lost
	// at once.
	reclaimable = int(math.Ceil(float64(rest) * float64(domains) / float64(max(1, domains-1))))
	if reclaimable == 0 {
		reclaimable = 1
	}
	if in.Now.Before(p.scarceUntil) {
		have, largest := 0, 0
		for _, s := range in.Supply {
			have += s.Reclaimable
			largest = max(largest, s.Reclaimable)
		}
		// On-demand replicas also cover the domain with the most reclaimable
		// ones, which it may lose before replacements could start.
		onDemand = max(onDemand, need-have+largest)
	}
	return onDemand, reclaimable
}

// distribute distributes a count over the domains round robin, in the given
// order. Both kinds together stay within maxPerDomain replicas in each domain;
// there is no bound if it is 0.
func distribute(want map[pool]int, domains []string, reclaimable bool, count, maxPerDomain int) {
	for placed := true; count > 0 && placed; {
		placed = false
		for _, d := range domains {
			other := want[pool{d, !reclaimable}]
			if key := (pool{d, reclaimable}); count > 0 && (maxPerDomain <= 0 || want[key]+other < maxPerDomain) {
				want[key]++
				count--
				placed = true
			}
		}
	}
}

// byPrice returns the failure domains of a supply, cheapest first.
func byPrice(b config.Scaling, supply map[string]Supply) []string {
	domains := slices.Collect(maps.Keys(supply))
	slices.SortFunc(domains, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.DomainPrices[x], b.DomainPrices[y]), cmp.Compare(x, y))
	})
	return domains
}

// newOrders returns the orders that differ from the current ones. A count is
// raised to the wanted one at once, and lowered by one release at a time.
func (p *Planner) newOrders(in Input, domains []string, want map[pool]int) []Order {
	var out []Order
	for _, reclaimable := range []bool{true, false} {
		for _, d := range domains {
			key := pool{d, reclaimable}
			order := p.currentOrder(key, in)
			count := want[key]
			if other := p.currentOrder(pool{d, !reclaimable}, in).count; in.Bounds.Max > 0 {
				// The bound applies to both kinds together, also while one kind
				// replaces the other.
				count = max(min(count, in.Bounds.Max-other), min(count, order.count))
			}
			switch {
			case count > order.count && in.Now.Sub(order.refusedAt) < refusedRetryPause:
				continue
			case count < order.count && (p.warmingUp(in.Now) || in.Now.Sub(order.givenAt) < releasePause || !p.hasSurplus(in)):
				continue
			case count < order.count && !reclaimable && in.Now.Sub(p.onDemandLoweredAt) < onDemandReleasePause:
				continue
			case count < order.count:
				count = max(count, order.count-p.stepDownSize(in, order.count))
				if in.Now.Sub(order.loweredAt) > releaseTime {
					order.released = 0
				}
				order.released += order.count - count
				order.loweredAt = in.Now
				if !reclaimable {
					p.onDemandLoweredAt = in.Now
				}
			case count == order.count:
				continue
			}
			out = append(out, Order{Domain: d, Reclaimable: reclaimable, Count: count})
			order.count, order.givenAt = count, in.Now
		}
	}
	return out
}

// currentOrder returns the current order of a pool. Before the first order its
// count is the number of replicas found. It is reset to that number when
// replicas are missing that are overdue or being reclaimed.
func (p *Planner) currentOrder(key pool, in Input) *poolOrder {
	order := p.orders[key]
	if order == nil {
		order = &poolOrder{}
		p.orders[key] = order
	}
	supply := in.Supply[key.domain]
	found := supply.OnDemand
	if key.reclaimable {
		found = supply.Reclaimable
	}
	overdue := in.Now.Sub(order.givenAt) > in.Bounds.Boot+bootSlack
	reclaimed := key.reclaimable && p.reclaiming(in, key.domain)
	if order.givenAt.IsZero() || found < order.count && (overdue || reclaimed) {
		order.count = found
	}
	return order
}

// hasSurplus reports whether more replicas serve now than are needed, so that
// some may be released.
func (p *Planner) hasSurplus(in Input) bool { return p.surplus(in) > 0 }

// surplus returns how many more replicas serve now than are needed. Replicas
// that were ordered and are still starting don't count.
func (p *Planner) surplus(in Input) int {
	have := 0
	for _, s := range in.Supply {
		have += s.OnDemand + s.Reclaimable
	}
	return have - int(math.Ceil(p.need))
}

// stepDownSize returns the number of replicas that one release removes from a
// pool with the given count.
func (p *Planner) stepDownSize(in Input, count int) int {
	return max(1, min(count/stepDownDivisor, p.surplus(in)/surplusDivisor))
}

// OrderRefused records that an order was not carried out. It sets the count of
// the pool to have, the number of replicas that the pool has.
func (p *Planner) OrderRefused(o Order, have int, now time.Time) {
	order := p.orders[pool{o.Domain, o.Reclaimable}]
	order.count, order.refusedAt = have, now
	if o.Reclaimable {
		p.scarceUntil = now.Add(scarcityTime)
	}
}
