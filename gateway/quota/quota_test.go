package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
)

// fleet is a set of entries that report their demand to each other with a
// delay.
type fleet struct {
	now      time.Time
	limiters []*Limiter
	// reported holds the demand that each entry reported in each round, newest
	// last.
	reported [][]map[string]float64
}

// propagationRounds is the number of rounds until a state update reaches the
// peers.
const propagationRounds = 2

// round is the time between two state updates.
const round = 250 * time.Millisecond

func newFleet(entries int, t Tolerance, c *config.Configuration) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for range entries {
		f.limiters = append(f.limiters, f.newLimiter(t, c))
	}
	return f
}

func (f *fleet) newLimiter(t Tolerance, c *config.Configuration) *Limiter {
	l := NewLimiter(t)
	l.now = func() time.Time { return f.now }
	l.SetPeers(max(1, len(f.limiters)), 1, nil)
	l.SetConfiguration(c)
	return l
}

// exchange sets at every entry the demand that the others reported
// propagationRounds ago.
func (f *fleet) exchange() {
	var demands []map[string]float64
	for _, l := range f.limiters {
		demands = append(demands, l.Demand())
	}
	f.reported = append(f.reported, demands)
	old := f.reported[max(0, len(f.reported)-1-propagationRounds)]
	for i, l := range f.limiters {
		peers := make(map[string]map[string]float64)
		for j, d := range old {
			if j != i {
				peers[fmt.Sprint(j)] = d
			}
		}
		l.SetPeers(len(f.limiters), len(peers)+1, peers)
	}
}

func limitedConfiguration(perSecond, burst float64) *config.Configuration {
	return (&config.Configuration{Customers: []config.Customer{
		{Name: "a", PerSecond: perSecond, Burst: burst, CountTokens: true},
	}}).Compile()
}

// maxWindowSum returns the largest sum of any consecutive steps.
func maxWindowSum(taken []float64, steps int) float64 {
	worst, sum := 0.0, 0.0
	for i := range taken {
		sum += taken[i]
		if i >= steps {
			sum -= taken[i-steps]
		}
		worst = max(worst, sum)
	}
	return worst
}

// Guards against a customer that exceeds its limit and the tolerance in any
// window. The customer starts to request six times its limit, unevenly over six
// entries, and all entries crash and start again twice meanwhile.
func TestLimitHoldsOverAllEntriesAcrossRestarts(t *testing.T) {
	const perSecond, burst, request = 100_000, 100_000, 5_000.0
	tolerance := Tolerance{Fraction: 0.1, Units: 140_000}
	c := limitedConfiguration(perSecond, burst)
	f := newFleet(6, tolerance, c)
	weights := []float64{0.4, 0.2, 0.15, 0.1, 0.1, 0.05}
	owed := make([]float64, len(weights))
	const step = 25 * time.Millisecond
	var taken []float64
	for tick := range 1200 {
		f.now = f.now.Add(step)
		if tick%int(round/step) == 0 {
			f.exchange()
		}
		if tick == 400 || tick == 480 {
			for i := range f.limiters {
				f.limiters[i] = f.newLimiter(tolerance, c)
			}
			f.reported = nil
		}
		sum := 0.0
		for i, l := range f.limiters {
			if tick < 200 {
				break
			}
			for owed[i] += 6 * perSecond * step.Seconds() * weights[i]; owed[i] >= request; owed[i] -= request {
				if l.RecordDemand("a", request) && l.Take("a", request) == 0 {
					sum += request
				}
			}
		}
		taken = append(taken, sum)
	}
	const window = 8 * time.Second
	allowed := (perSecond*window.Seconds()+burst)*(1+tolerance.Fraction) + tolerance.Units
	worst := maxWindowSum(taken, int(window/step))
	qt.Assert(t, worst <= allowed, qt.IsTrue, qt.Commentf("%v taken in a span, %v allowed", worst, allowed))
	qt.Assert(t, worst >= 0.8*perSecond*window.Seconds(), qt.IsTrue, qt.Commentf("only %v taken in a span", worst))
}

func TestCustomerWithinItsLimitIsNotRefused(t *testing.T) {
	const perSecond = 100_000
	f := newFleet(6, Tolerance{Fraction: 0.1, Units: 140_000}, limitedConfiguration(perSecond, perSecond))
	weights := []float64{0.3, 0.2, 0.2, 0.1, 0.1, 0.1}
	owed := make([]float64, len(weights))
	refused, requests := 0, 0
	for tick := range 800 {
		f.now = f.now.Add(25 * time.Millisecond)
		if tick%10 == 0 {
			f.exchange()
		}
		for i, l := range f.limiters {
			if tick < 200 {
				break
			}
			for owed[i] += 0.7 * perSecond * 0.025 * weights[i]; owed[i] >= 4000; owed[i] -= 4000 {
				requests++
				if l.RecordDemand("a", 4000) && l.Take("a", 4000) > 0 {
					refused++
				}
			}
		}
	}
	qt.Assert(t, refused*100 <= requests, qt.IsTrue, qt.Commentf("%d of %d refused", refused, requests))
}

func TestEntryWithoutPeersUsesEqualShare(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(Tolerance{})
	l.now = func() time.Time { return now }
	l.SetPeers(5, 1, nil)
	l.SetConfiguration(limitedConfiguration(1000, 1000))
	now = now.Add(time.Minute)
	taken := 0
	for l.Take("a", 10) == 0 {
		taken += 10
	}
	qt.Assert(t, taken, qt.Equals, 200)
}

func TestRetriesStayWithinTheSharedBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRetryBudget(RetryOptions{Ratio: 0.2, Extra: 50, Window: 10 * time.Second})
	r.now = func() time.Time { return now }
	r.SetMemberCount(5)
	retries := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.Deposit("s")
		if r.TryWithdraw("s") {
			retries++
		}
	}
	qt.Assert(t, float64(retries) <= 0.2*1000+50.0/5, qt.IsTrue, qt.Commentf("%d retries", retries))
	qt.Assert(t, retries >= 100, qt.IsTrue, qt.Commentf("%d retries", retries))
}
