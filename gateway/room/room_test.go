package room

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// demandOf returns the demand of customers at an urgency, in work per second.
func demandOf(works map[string]float64) map[string]peer.ClassDemand {
	out := make(map[string]peer.ClassDemand)
	for name, w := range works {
		out[name] = peer.ClassDemand{Work: w, Requests: 100 * w}
	}
	return out
}

// TestAllocation guards against faults of the allocation, one by row.
func TestAllocation(t *testing.T) {
	second := map[int]time.Duration{0: time.Second, 2: time.Second}
	for name, c := range map[string]struct {
		waiting map[int]float64
		demand  map[int]map[string]peer.ClassDemand
		want    map[int]map[string]float64
	}{
		"no work waits: all is admitted, whatever the estimate": {
			waiting: map[int]float64{0: 0.1},
			demand:  map[int]map[string]peer.ClassDemand{0: demandOf(map[string]float64{"a": 100})},
			want:    map[int]map[string]float64{0: {"a": 1}},
		},
		"the largest customer is cut first": {
			waiting: map[int]float64{0: 3.1},
			demand:  map[int]map[string]peer.ClassDemand{0: demandOf(map[string]float64{"a": 10, "b": 2, "c": 2})},
			want:    map[int]map[string]float64{0: {"a": 0.6, "b": 1, "c": 1}},
		},
		"the urgent ones first, above the floor of the others": {
			waiting: map[int]float64{0: 0, 2: 3.1},
			demand:  map[int]map[string]peer.ClassDemand{0: demandOf(map[string]float64{"a": 8}), 2: demandOf(map[string]float64{"a": 8})},
			want:    map[int]map[string]float64{0: {"a": 1}, 2: {"a": 0.25}},
		},
		"negative and missing figures": {
			waiting: map[int]float64{0: -5, 7: 0},
			demand:  map[int]map[string]peer.ClassDemand{0: demandOf(map[string]float64{"a": -3})},
			want:    map[int]map[string]float64{0: {"a": 1}},
		},
	} {
		a := allocate(snapshot{
			capacity: Capacity{Replicas: 10, Slots: 160}, perReplica: 1, objectives: second,
			demand: peer.ServiceDemand{Waiting: c.waiting, Classes: c.demand},
		})
		for urgency, customers := range c.want {
			for customer, want := range customers {
				got := a.fraction(urgency, customer)
				qt.Check(t, math.Abs(got-want) < 0.02, qt.IsTrue, qt.Commentf("%s: %s at %d: %.3f, want %.3f", name, customer, urgency, got, want))
			}
		}
		qt.Check(t, a.fraction(0, "unknown"), qt.Equals, 1.0)
	}
}

// TestUnusualTimeoutsAreNoReturns guards against a client with a long timeout, which
// makes the requests of other customers look like returning ones.
func TestUnusualTimeoutsAreNoReturns(t *testing.T) {
	c := New(Options{Log: nolog.Or(nil), Capacity: func(string) Capacity { return Capacity{Replicas: 3, Slots: 48} }})
	r := Request{Service: "s", Route: "r", Work: 0.05, Remaining: 12 * time.Second}
	r.Customer = "long"
	r.Remaining = time.Hour
	qt.Check(t, c.Decide(playStart, r).Returning, qt.IsFalse)
	r.Customer, r.Remaining = "other", 12*time.Second
	qt.Check(t, c.Decide(playStart, r).Returning, qt.IsFalse)
	r.Remaining = 11 * time.Second
	qt.Check(t, c.Decide(playStart, r).Returning, qt.IsTrue)
	r.Customer, r.Remaining = "long", 12*time.Second
	qt.Check(t, c.Decide(playStart, r).Returning, qt.IsTrue)
	c.Decide(playStart.Add(givenWindow+time.Second), r)
	qt.Check(t, c.Decide(playStart.Add(2*givenWindow+3*time.Second), r).Returning, qt.IsFalse)
}

// TestServiceWithoutReplicasIsNotJudged guards against a refusal for want of room where
// there is no replica at all, which has another Retry-After.
func TestServiceWithoutReplicasIsNotJudged(t *testing.T) {
	a := allocate(snapshot{perReplica: 1, demand: peer.ServiceDemand{
		Waiting: map[int]float64{0: 9}, Classes: map[int]map[string]peer.ClassDemand{0: demandOf(map[string]float64{"a": 9})},
	}})
	qt.Check(t, a.fraction(0, "a"), qt.Equals, 1.0)
}
