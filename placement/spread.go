package placement

import (
	"cmp"
	"slices"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// option is a number of interchangeable units in one failure domain: running
// or requested hosts, or hosts that the cloud offers.
type option struct {
	domain string
	// price is the cost of each unit, which spread minimises: a price per hour
	// or a number of loads.
	price float64
	count int
	// hosts are the IDs of the running or requested hosts; nil for an offer.
	hosts []string
	offer infra.Offer
}

// unit is one host of a plan, chosen from an option.
type unit struct {
	domain string
	// host is the ID of the running or requested host; empty for an offer.
	host  string
	offer infra.Offer
}

// spread chooses the cheapest units such that there are at least need and at
// most maxUnits of them, and at least urgent remain after the loss of any one
// failure domain. If that is impossible, it returns false and as many units as
// need and urgent require, spread as evenly as possible over the failure
// domains.
func spread(options []option, need, urgent, maxUnits int) ([]unit, bool) {
	ordered := slices.Clone(options)
	slices.SortStableFunc(ordered, func(a, b option) int { return cmp.Compare(a.price, b.price) })
	var best []int
	bestPrice := 0.0
	// With 2*urgent units the two cheapest failure domains suffice to survive
	// the loss of either one; more units are never cheaper.
	for total := max(need, urgent); total <= min(max(need, 2*urgent), maxUnits); total++ {
		counts, price, ok := takeCheapest(ordered, total, total-urgent)
		if ok && (best == nil || price < bestPrice) {
			best, bestPrice = counts, price
		}
	}
	if best != nil {
		return selectUnits(ordered, best), true
	}
	return selectUnits(ordered, spreadEvenly(ordered, min(max(need, urgent), maxUnits))), false
}

// takeCheapest returns the number of units of each option in the cheapest
// choice of total units with at most limit in each failure domain, its price,
// and whether there are enough units. The greedy choice is optimal, because
// limits per failure domain form a partition matroid.
func takeCheapest(ordered []option, total, limit int) ([]int, float64, bool) {
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

// spreadEvenly chooses total units with the lowest limit per failure domain
// that allows it, or all units if there are too few.
func spreadEvenly(ordered []option, total int) []int {
	for limit := 1; limit < total; limit++ {
		if counts, _, ok := takeCheapest(ordered, total, limit); ok {
			return counts
		}
	}
	counts, _, _ := takeCheapest(ordered, total, total)
	return counts
}

// selectUnits returns the chosen units. Of an option with hosts it selects the
// first ones.
func selectUnits(options []option, counts []int) []unit {
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

// optionBuilder groups hosts with the same failure domain and price into
// options.
type optionBuilder struct{ options []option }

func (b *optionBuilder) add(domain, host string, price float64) {
	for i := range b.options {
		o := &b.options[i]
		if o.domain == domain && o.price == price {
			o.hosts = append(o.hosts, host)
			o.count++
			return
		}
	}
	b.options = append(b.options, option{domain: domain, price: price, count: 1, hosts: []string{host}})
}
