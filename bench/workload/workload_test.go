package workload_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
)

func mix() workload.Mix {
	return workload.Mix{
		Customers: []workload.Customer{{Name: "large", Share: 3}, {Name: "small", Share: 1}},
		Classes: []workload.Class{
			{Kind: "question", PerSecond: 20, Chat: &workload.Chat{Model: "lm", Documents: 2, DocumentTokens: 10, UniqueTokens: 5, MaxTokens: 8, Durable: true}},
			{Kind: "order", PerSecond: 10, Call: &workload.Call{Service: "s", AtMostOnce: true}},
		},
	}
}

func TestArrivalsAreDeterministicPerSeed(t *testing.T) {
	c := qt.New(t)
	first := workload.Arrivals(mix(), 7, 10*time.Second, 1)
	c.Assert(workload.Arrivals(mix(), 7, 10*time.Second, 1), qt.DeepEquals, first)
	c.Assert(workload.Arrivals(mix(), 8, 10*time.Second, 1), qt.Not(qt.DeepEquals), first)
}

func TestArrivalRatesMatchTheMix(t *testing.T) {
	c := qt.New(t)
	const seconds, load = 200, 2
	requests := workload.Arrivals(mix(), 1, seconds*time.Second, load)
	kinds, customers, keys := map[string]int{}, map[string]int{}, map[string]bool{}
	last := time.Duration(0)
	for _, r := range requests {
		c.Assert(r.At >= last, qt.IsTrue)
		last = r.At
		kinds[r.Class.Kind]++
		customers[r.Customer.Name]++
		keys[r.Key] = true
	}
	near := func(got int, want float64) {
		c.Helper()
		c.Assert(float64(got) > 0.9*want && float64(got) < 1.1*want, qt.IsTrue, qt.Commentf("%d, want about %g", got, want))
	}
	near(kinds["question"], 20*seconds*load)
	near(kinds["order"], 10*seconds*load)
	near(customers["large"], 0.75*float64(len(requests)))
	c.Assert(keys, qt.HasLen, len(requests))
}
