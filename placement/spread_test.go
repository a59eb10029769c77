package placement

import (
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// seed is the seed of the property tests, so that each run checks the same
// cases.
const seed = "1"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestSpread(t *testing.T) {
	offers := func(prices ...float64) []option {
		var out []option
		for i, p := range prices {
			out = append(out, option{domain: string(rune('a' + i)), price: p, count: 100})
		}
		return out
	}
	for _, test := range []struct {
		name                   string
		options                []option
		need, urgent, maxUnits int
		want                   map[string]int
		survives               bool
	}{
		{"nothing needed", offers(1, 2), 0, 0, 9, map[string]int{}, true},
		{"patient work uses the cheapest domain", offers(1, 2, 3), 5, 0, 9, map[string]int{"a": 5}, true},
		{"urgent work survives a failure domain", offers(1, 1, 1), 3, 2, 9, map[string]int{"a": 1, "b": 1, "c": 1}, true},
		{"an extra unit is cheaper than an expensive domain", offers(1, 1, 100), 3, 4, 9, map[string]int{"a": 4, "b": 4}, true},
		{"patient work fills the cheapest domain", offers(1, 2, 2), 8, 2, 9, map[string]int{"a": 6, "b": 2}, true},
		{"two domains need twice the urgent units", offers(1, 5), 1, 3, 9, map[string]int{"a": 3, "b": 3}, true},
		{"one domain can't survive", offers(1), 2, 2, 9, map[string]int{"a": 2}, false},
		{"maxUnits is too low to survive", offers(1, 2, 3), 2, 6, 6, map[string]int{"a": 2, "b": 2, "c": 2}, false},
		{"too few units are available", []option{{domain: "a", price: 1, count: 1}, {domain: "b", price: 1, count: 1}}, 5, 3, 9, map[string]int{"a": 1, "b": 1}, false},
		{"running hosts are cheaper than new ones", []option{
			{domain: "a", price: 1, count: 100}, {domain: "b", price: 0.8, count: 2, hosts: []string{"h1", "h2"}},
		}, 3, 0, 9, map[string]int{"a": 1, "b": 2}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, survives := spread(test.options, test.need, test.urgent, test.maxUnits)
			counts := make(map[string]int)
			for _, u := range got {
				counts[u.domain]++
			}
			qt.Assert(t, counts, qt.DeepEquals, test.want)
			qt.Assert(t, survives, qt.Equals, test.survives)
		})
	}
}

// TestSpreadIsOptimal compares the result of spread with an exhaustive search.
func TestSpreadIsOptimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var options []option
		for i := range rapid.IntRange(1, 5).Draw(t, "options") {
			options = append(options, option{
				domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
				price:  float64(rapid.IntRange(1, 9).Draw(t, "price")),
				count:  rapid.IntRange(0, 4).Draw(t, fmt.Sprint("count", i)),
			})
		}
		need, urgent, maxUnits := rapid.IntRange(0, 6).Draw(t, "need"), rapid.IntRange(0, 4).Draw(t, "urgent"), rapid.IntRange(0, 8).Draw(t, "most")
		got, survives := spread(options, need, urgent, maxUnits)
		want, possible := cheapest(options, need, urgent, maxUnits, nil)
		if survives != possible {
			t.Fatalf("survives %v, possible %v", survives, possible)
		}
		if len(got) > maxUnits {
			t.Fatalf("%d units, want at most %d", len(got), maxUnits)
		}
		if !survives {
			return
		}
		if !meetsConstraints(countByDomain(got), need, urgent, maxUnits) {
			t.Fatalf("%v does not meet the constraints", got)
		}
		if price := priceOf(options, got); price != want {
			t.Fatalf("price %v, cheapest %v", price, want)
		}
	})
}

func countByDomain(units []unit) map[string]int {
	out := make(map[string]int)
	for _, u := range units {
		out[u.domain]++
	}
	return out
}

// priceOf returns the lowest price of as many units in the same failure
// domains.
func priceOf(options []option, units []unit) float64 {
	price := 0.0
	for domain, n := range countByDomain(units) {
		var own []option
		for _, o := range options {
			if o.domain == domain {
				own = append(own, o)
			}
		}
		_, p, _ := takeCheapest(sorted(own), n, n)
		price += p
	}
	return price
}

func sorted(options []option) []option {
	for i := range options {
		for j := i; j > 0 && options[j].price < options[j-1].price; j-- {
			options[j], options[j-1] = options[j-1], options[j]
		}
	}
	return options
}

func meetsConstraints(domains map[string]int, need, urgent, maxUnits int) bool {
	total, largest := 0, 0
	for _, n := range domains {
		total += n
		largest = max(largest, n)
	}
	return total >= need && total <= maxUnits && total-largest >= urgent
}

// cheapest returns the lowest price of a valid choice by an exhaustive search
// over the number of units of each option, and whether there is one.
func cheapest(options []option, need, urgent, maxUnits int, counts []int) (float64, bool) {
	if len(counts) == len(options) {
		domains, price := make(map[string]int), 0.0
		for i, o := range options {
			domains[o.domain] += counts[i]
			price += float64(counts[i]) * o.price
		}
		return price, meetsConstraints(domains, need, urgent, maxUnits)
	}
	best, found := 0.0, false
	for n := range options[len(counts)].count + 1 {
		price, ok := cheapest(options, need, urgent, maxUnits, append(counts[:len(counts):len(counts)], n))
		if ok && (!found || price < best) {
			best, found = price, true
		}
	}
	return best, found
}
