package placement

import (
	"cmp"
	"slices"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// option is a number of equal places for replicas in one failure domain.
type option struct {
	domain string
	// price is what each place is judged by, per hour.
	price float64
	count int
	// hosts are the running hosts that the option consists of; an option
	// without any is what the cloud offers.
	hosts []string
	offer infra.Offer
}

// unit is one place chosen of an option.
type unit struct {
	domain string
	// host is the running host; empty for an offer.
	host  string
	offer infra.Offer
}

// spread chooses the cheapest places such that there are at least need of
// them, at most most, and at least urgent are left when any one failure
// domain is lost. The second result is false when no choice does that; then
// the choice is as many places as need and urgent ask for, spread as evenly
// as possible.
func spread(options []option, need, urgent, most int) ([]unit, bool) {
	ordered := slices.Clone(options)
	slices.SortStableFunc(ordered, func(a, b option) int { return cmp.Compare(a.price, b.price) })
	var best []int
	bestPrice := 0.0
	// With 2*urgent places the two cheapest failure domains are enough; more
	// would never be cheaper.
	for total := max(need, urgent); total <= min(max(need, 2*urgent), most); total++ {
		counts, price, ok := take(ordered, total, total-urgent)
		if ok && (best == nil || price < bestPrice) {
			best, bestPrice = counts, price
		}
	}
	if best != nil {
		return units(ordered, best), true
	}
	return units(ordered, evenly(ordered, min(max(need, urgent), most))), false
}

// take returns how many places of each option are the cheapest ones up to a
// total, with at most limit in each failure domain, and their price. Taking
// the cheapest first is optimal, for limits on failure domains form a
// partition matroid.
func take(ordered []option, total, limit int) ([]int, float64, bool) {
	used := make(map[string]int)
	counts := make([]int, len(ordered))
	price, left := 0.0, total
	for i, o := range ordered {
		n := max(0, min(o.count, limit-used[o.domain], left))
		used[o.domain] += n
		counts[i] = n
		price += float64(n) * o.price
		left -= n
	}
	return counts, price, left == 0
}

// evenly raises the limit on failure domains until there are enough places.
func evenly(ordered []option, total int) []int {
	for limit := 1; limit < total; limit++ {
		if counts, _, ok := take(ordered, total, limit); ok {
			return counts
		}
	}
	counts, _, _ := take(ordered, total, total)
	return counts
}

// units lists the chosen places; of running hosts, the first ones.
func units(options []option, counts []int) []unit {
	var out []unit
	for i, o := range options {
		for j := range counts[i] {
			u := unit{domain: o.domain, offer: o.offer}
			if o.hosts != nil {
				u.host = o.hosts[j]
			}
			out = append(out, u)
		}
	}
	return out
}

// grouping gathers hosts with the same failure domain and price into options.
type grouping struct{ options []option }

func (g *grouping) add(domain, host string, price float64) {
	for i := range g.options {
		o := &g.options[i]
		if o.domain == domain && o.price == price {
			o.hosts = append(o.hosts, host)
			o.count++
			return
		}
	}
	g.options = append(g.options, option{domain: domain, price: price, count: 1, hosts: []string{host}})
}
