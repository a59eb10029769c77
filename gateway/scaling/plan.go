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
	// burstReserve is how many times the square root of the load is kept free:
	// the fewer engines there are, the larger a part of the load a burst is.
	burstReserve = 1.4
	// mostUse is the part of its time that an engine may be busy on average.
	// Beyond it the wait behind long prompts grows past latency objectives.
	mostUse = 0.82
	// firmPart is the part of the need that runs on demand, to hold through a
	// reclaim with late answers rather than none.
	firmPart = 0.40
	// leastFirm is the least number of on-demand replicas of a service.
	leastFirm = 3
	// holdTime is the time constant with which a peak of the need fades.
	holdTime = 12 * time.Second
	// trendSpan is over how long the growth of the load is measured: long enough
	// for clumps of requests to even out.
	trendSpan = 3 * time.Second
	// warmUp is how long after the first load counts are not lowered: how much
	// there will be is not known before.
	warmUp = 5 * time.Second
	// lookAround is how long a new planner only looks: replicas that start
	// with it appear one after the other.
	lookAround = 3 * time.Second
	// idleReserve is the part of the on-demand replicas found at the start for
	// which reclaimable ones are ordered before there is a load, when they are
	// most likely to be had.
	idleReserve = 0.75
	// riskTime is the time constant with which a domain's reclaims are
	// forgotten.
	riskTime = 90 * time.Second
	// releasePause is the shortest time between two steps down of one kind in a
	// domain, and firmPause that between two of on-demand replicas anywhere.
	releasePause = 3 * time.Second
	firmPause    = time.Second
	// stepPart is the part of a domain's replicas that a step down may give
	// back, and surplusPart that of what is too much in all domains: one by one
	// a large surplus would be paid for as long as the day lasts.
	stepPart    = 4
	surplusPart = 3
	// scarceFor is how long after a refusal or a reclaim reclaimable replicas
	// are not counted on.
	scarceFor = 3 * time.Second
	// leavingFor is how long a replica that was given back may take to leave.
	leavingFor = 8 * time.Second
	// overdueSlack is how much longer than its start a replica may take to
	// appear until it counts as missing.
	overdueSlack = 3 * time.Second
	// tryAgain is the time between two orders for what was refused.
	tryAgain = 2 * time.Second
)

// Supply is what a failure domain has of a service, without what is leaving.
type Supply struct {
	OnDemand, Reclaimable int
	// Leaving is how many reclaimable replicas are leaving, because they are
	// taken away or were given back.
	Leaving int
}

// Input is what a plan is made from.
type Input struct {
	Now time.Time
	// Busy is how many engines the present load keeps busy.
	Busy float64
	// Supply is by failure domain.
	Supply map[string]Supply
	Bounds config.Scaling
}

// Order asks for a number of replicas of one kind in a domain.
type Order struct {
	Domain      string
	Reclaimable bool
	Count       int
}

type slot struct {
	domain      string
	reclaimable bool
}

// standing is an order that was given, and when.
type standing struct {
	count   int
	at      time.Time
	refused time.Time
	// lowered is when the count was last lowered, given how many were given back
	// until then whose leaving may not be over.
	lowered time.Time
	given   int
}

// Planner plans the replicas of one service. It is used by one goroutine.
type Planner struct {
	// begun is when the first plan was asked for.
	begun time.Time
	// loaded is when there was a load for the first time.
	loaded time.Time
	// risks counts the reclaims of a domain, fading.
	risks map[string]float64
	// hit says that a domain's present reclaim was counted.
	hit  map[string]bool
	need float64
	at   time.Time
	// trail is the load of the last trendSpan, oldest first.
	trail  []seenLoad
	orders map[slot]*standing
	// lowered is when on-demand replicas were last given back.
	lowered time.Time
	// scarce is until when reclaimable replicas can't be counted on.
	scarce time.Time
}

// seenLoad is how many engines were busy at a time.
type seenLoad struct {
	at   time.Time
	busy float64
}

// NewPlanner returns a Planner that knows nothing yet.
func NewPlanner() *Planner {
	return &Planner{orders: make(map[slot]*standing), risks: make(map[string]float64), hit: make(map[string]bool)}
}

// Need returns how many replicas the last plan was for.
func (p *Planner) Need() float64 { return p.need }

// Plan returns the orders to give now.
func (p *Planner) Plan(in Input) []Order {
	p.observe(in)
	if in.Now.Sub(p.begun) < lookAround {
		return nil
	}
	domains := byPrice(in.Bounds, in.Supply)
	onDemand, reclaimable := p.counts(in, len(domains))
	want := make(map[slot]int)
	spread(want, domains, false, onDemand, in.Bounds.Max)
	spread(want, p.byRisk(domains), true, reclaimable, in.Bounds.Max)
	for _, d := range domains {
		if p.loaded.IsZero() {
			// What was found is kept, whatever there is no load for yet.
			want[slot{d, false}] = max(want[slot{d, false}], in.Supply[d].OnDemand)
		}
		short := in.Bounds.Min - want[slot{d, false}] - want[slot{d, true}]
		if short > 0 {
			want[slot{d, false}] += short
		}
	}
	return p.changes(in, domains, want)
}

// observe takes in the load and the reclaims.
func (p *Planner) observe(in Input) {
	since := in.Now.Sub(p.at).Seconds()
	if p.at.IsZero() {
		since, p.begun = 0, in.Now
	}
	p.at = in.Now
	soon := (in.Busy + p.growth(in)) / mostUse
	p.need = max(needOf(in.Busy), soon, p.need*math.Exp(-since/holdTime.Seconds()))
	if p.loaded.IsZero() && in.Busy > 0 {
		p.loaded = in.Now
	}
	for domain := range in.Supply {
		p.risks[domain] *= math.Exp(-since / riskTime.Seconds())
		reclaimed := p.reclaimed(in, domain)
		if reclaimed {
			p.scarce = in.Now.Add(scarceFor)
			if !p.hit[domain] {
				p.risks[domain]++
			}
		}
		p.hit[domain] = reclaimed
	}
}

// growth returns how many more engines a load that goes on growing keeps busy
// by the time that replicas ordered now serve.
func (p *Planner) growth(in Input) float64 {
	p.trail = append(p.trail, seenLoad{in.Now, in.Busy})
	for in.Now.Sub(p.trail[0].at) > trendSpan {
		p.trail = p.trail[1:]
	}
	span := in.Now.Sub(p.trail[0].at).Seconds()
	if span <= 0 || p.warming(in.Now) {
		// A load that has just begun grows by how it is measured.
		return 0
	}
	// The growth measured is that of half the span ago.
	ahead := in.Bounds.Boot.Seconds() + span/2
	return max(0, (in.Busy-p.trail[0].busy)/span*ahead)
}

// reclaimed says whether a domain's reclaimable replicas are being taken away:
// more are leaving than were given back of late.
func (p *Planner) reclaimed(in Input, domain string) bool {
	leaving := in.Supply[domain].Leaving
	if s := p.orders[slot{domain, true}]; s != nil && in.Now.Sub(s.lowered) <= leavingFor {
		return leaving > s.given
	}
	return leaving > 0
}

// needOf returns how many replicas a load needs that keeps so many busy.
func needOf(busy float64) float64 {
	return max(busy/mostUse, busy+burstReserve*math.Sqrt(max(0, busy)))
}

// byRisk orders domains by how often they lost their reclaimable replicas of
// late.
func (p *Planner) byRisk(domains []string) []string {
	out := slices.Clone(domains)
	slices.SortStableFunc(out, func(x, y string) int {
		return cmp.Compare(math.Round(p.risks[x]), math.Round(p.risks[y]))
	})
	return out
}

// warming says whether the load is not known well enough to lower counts.
func (p *Planner) warming(now time.Time) bool {
	return p.loaded.IsZero() || now.Sub(p.loaded) < warmUp
}

// counts returns how many replicas of each kind are wanted over all domains.
func (p *Planner) counts(in Input, domains int) (onDemand, reclaimable int) {
	need := int(math.Ceil(p.need))
	if in.Bounds.SpotPrice <= 0 || in.Bounds.SpotPrice >= 1 {
		return max(need+1, leastFirm), 0
	}
	onDemand = max(int(math.Ceil(firmPart*p.need)), leastFirm)
	rest := max(0, need-onDemand)
	if p.warming(in.Now) {
		found := 0
		for _, s := range in.Supply {
			found += s.OnDemand
		}
		rest = max(rest, int(idleReserve*float64(found)))
	}
	// One domain's part may be lost at once.
	reclaimable = int(math.Ceil(float64(rest) * float64(domains) / float64(max(1, domains-1))))
	if reclaimable == 0 {
		reclaimable = 1
	}
	if in.Now.Before(p.scarce) {
		have, most := 0, 0
		for _, s := range in.Supply {
			have += s.Reclaimable
			most = max(most, s.Reclaimable)
		}
		// The next domain may lose its part before others could start.
		onDemand = max(onDemand, need-have+most)
	}
	return onDemand, reclaimable
}

// spread divides a count over the domains, cheapest first.
func spread(want map[slot]int, domains []string, reclaimable bool, count, most int) {
	for placed := true; count > 0 && placed; {
		placed = false
		for _, d := range domains {
			other := want[slot{d, !reclaimable}]
			if at := (slot{d, reclaimable}); count > 0 && (most <= 0 || want[at]+other < most) {
				want[at]++
				count--
				placed = true
			}
		}
	}
}

func byPrice(b config.Scaling, supply map[string]Supply) []string {
	domains := slices.Collect(maps.Keys(supply))
	slices.SortFunc(domains, func(x, y string) int {
		return cmp.Or(cmp.Compare(b.DomainPrices[x], b.DomainPrices[y]), cmp.Compare(x, y))
	})
	return domains
}

// changes returns the orders that differ from those that stand, steps up in
// full and steps down by one at a time.
func (p *Planner) changes(in Input, domains []string, want map[slot]int) []Order {
	var out []Order
	for _, reclaimable := range []bool{true, false} {
		for _, d := range domains {
			at := slot{d, reclaimable}
			s := p.standing(at, in)
			count := want[at]
			if other := p.standing(slot{d, !reclaimable}, in).count; in.Bounds.Max > 0 {
				// Both kinds count together, also while one takes the other's place.
				count = max(min(count, in.Bounds.Max-other), min(count, s.count))
			}
			switch {
			case count > s.count && in.Now.Sub(s.refused) < tryAgain:
				continue
			case count < s.count && (p.warming(in.Now) || in.Now.Sub(s.at) < releasePause || !p.covered(in)):
				continue
			case count < s.count && !reclaimable && in.Now.Sub(p.lowered) < firmPause:
				continue
			case count < s.count:
				count = max(count, s.count-p.stepDown(in, s.count))
				if in.Now.Sub(s.lowered) > leavingFor {
					s.given = 0
				}
				s.given += s.count - count
				s.lowered = in.Now
				if !reclaimable {
					p.lowered = in.Now
				}
			case count == s.count:
				continue
			}
			out = append(out, Order{Domain: d, Reclaimable: reclaimable, Count: count})
			s.count, s.at = count, in.Now
		}
	}
	return out
}

// standing returns the order that stands for a slot. Before the first it is
// what was found, and so it is once what was ordered is overdue or was taken
// away.
func (p *Planner) standing(at slot, in Input) *standing {
	s := p.orders[at]
	if s == nil {
		s = &standing{}
		p.orders[at] = s
	}
	supply := in.Supply[at.domain]
	found := supply.OnDemand
	if at.reclaimable {
		found = supply.Reclaimable
	}
	overdue := in.Now.Sub(s.at) > in.Bounds.Boot+overdueSlack
	taken := at.reclaimable && p.reclaimed(in, at.domain)
	if s.at.IsZero() || found < s.count && (overdue || taken) {
		s.count = found
	}
	return s
}

// covered says whether what serves now is enough for a step down.
func (p *Planner) covered(in Input) bool { return p.surplus(in) > 0 }

// surplus returns how many more replicas serve now than are needed: those that
// were ordered and are still starting don't count.
func (p *Planner) surplus(in Input) int {
	have := 0
	for _, s := range in.Supply {
		have += s.OnDemand + s.Reclaimable
	}
	return have - int(math.Ceil(p.need))
}

// stepDown returns how many replicas a step down gives back of so many.
func (p *Planner) stepDown(in Input, count int) int {
	return max(1, min(count/stepPart, p.surplus(in)/surplusPart))
}

// Refused records that an order was not carried out. The domain's count is
// taken to be what it has.
func (p *Planner) Refused(o Order, have int, now time.Time) {
	s := p.orders[slot{o.Domain, o.Reclaimable}]
	s.count, s.refused = have, now
	if o.Reclaimable {
		p.scarce = now.Add(scarceFor)
	}
}
