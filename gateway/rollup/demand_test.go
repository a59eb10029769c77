package rollup

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

func demand(work float64, customers ...string) peer.Load {
	d := peer.ServiceDemand{Waiting: map[int]float64{2: work}, InFlight: 1}
	d.Classes = map[int]map[string]peer.ClassDemand{2: {}}
	for _, c := range customers {
		d.Classes[2][c] = peer.ClassDemand{Work: work, Requests: 1}
	}
	return peer.Load{Demand: map[string]peer.ServiceDemand{"a": d}}
}

// TestDemandIsSummed guards against demand that is lost or counted twice on its way
// over the aggregators.
func TestDemandIsSummed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 30
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, entries, 3)
		for i := range entries {
			f.setLoad(i, demand(0.5, "one"))
		}
		f.setLoad(7, demand(2, "one", "two"))
		time.Sleep(3 * time.Second)
		for i, r := range f.entries {
			load, _, ok := r.Others()
			qt.Assert(t, ok, qt.IsTrue)
			d, want := load.Demand["a"], 0.5*(entries-2)+2
			if i == 7 {
				want = 0.5 * (entries - 1)
			}
			qt.Check(t, math.Abs(d.Waiting[2]-want) < 0.01, qt.IsTrue, qt.Commentf("entry %d: %v", i, d.Waiting))
			qt.Check(t, math.Abs(d.Classes[2]["one"].Work-want) < 0.1, qt.IsTrue, qt.Commentf("entry %d: %v", i, d.Classes))
		}
	})
}

// TestImplausibleDemandCountsNothing guards against refusals because of one faulty
// entry.
func TestImplausibleDemandCountsNothing(t *testing.T) {
	for _, v := range []float64{-1, 1e9, math.Inf(1), math.NaN()} {
		sum := newLoad()
		add(sum, demand(v, "one"), 1)
		qt.Check(t, sum.Demand["a"].Waiting[2], qt.Equals, 0.0)
		qt.Check(t, sum.Demand["a"].Classes[2]["one"].Work, qt.Equals, 0.0)
	}
}

// TestDemandStaysWithinTheControlBudget guards against messages that grow with the
// number of customers.
func TestDemandStaysWithinTheControlBudget(t *testing.T) {
	sum := newLoad()
	for i := range 500 {
		add(sum, demand(0.123456+float64(i), fmt.Sprint("customer-", i)), 1)
	}
	text, err := json.Marshal(forEntry(sum).Demand)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(text) < 1400, qt.IsTrue, qt.Commentf("%d bytes", len(text)))
	t.Logf("%d bytes", len(text))
}
