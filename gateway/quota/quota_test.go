package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
)

// fleet is several entries that tell each other their demand with a delay.
type fleet struct {
	now      time.Time
	limiters []*Limiter
	// told is what each entry told in the last rounds, newest last.
	told [][]map[string]float64
}

// delay is how many rounds a digest takes to its peers.
const delay = 2

// round is the time between two digests.
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
	l.SetPeers(max(1, len(f.limiters)), nil)
	l.SetConfiguration(c)
	return l
}

// exchange has every entry take in what the others told delay rounds ago.
func (f *fleet) exchange() {
	var demands []map[string]float64
	for _, l := range f.limiters {
		demands = append(demands, l.Demand())
	}
	f.told = append(f.told, demands)
	old := f.told[max(0, len(f.told)-1-delay)]
	for i, l := range f.limiters {
		peers := make(map[string]map[string]float64)
		for j, d := range old {
			if j != i {
				peers[fmt.Sprint(j)] = d
			}
		}
		l.SetPeers(len(f.limiters), peers)
	}
}

func limited(perSecond, burst float64) *config.Configuration {
	return (&config.Configuration{Customers: []config.Customer{
		{Name: "a", PerSecond: perSecond, Burst: burst, CountTokens: true},
	}}).Compile()
}

// worstSpan returns the largest sum of so many values in a row.
func worstSpan(taken []float64, spans int) float64 {
	worst, got := 0.0, 0.0
	for i := range taken {
		got += taken[i]
		if i >= spans {
			got -= taken[i-spans]
		}
		worst = max(worst, got)
	}
	return worst
}

// The load is a customer that asks for six times its limit, unevenly over six
// entries, from one moment on; all entries are killed twice in the midst of it and
// start again. In no span may it get more than the limit with its tolerance.
func TestLimitHoldsOverAllEntriesAlsoOverARestart(t *testing.T) {
	const perSecond, burst, request = 100_000, 100_000, 5_000.0
	tolerance := Tolerance{Part: 0.1, Units: 140_000}
	c := limited(perSecond, burst)
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
			f.told = nil
		}
		sum := 0.0
		for i, l := range f.limiters {
			if tick < 200 {
				break
			}
			for owed[i] += 6 * perSecond * step.Seconds() * weights[i]; owed[i] >= request; owed[i] -= request {
				if l.Limited("a", request) && l.Take("a", request) == 0 {
					sum += request
				}
			}
		}
		taken = append(taken, sum)
	}
	const window = 8 * time.Second
	allowed := (perSecond*window.Seconds()+burst)*(1+tolerance.Part) + tolerance.Units
	worst := worstSpan(taken, int(window/step))
	qt.Assert(t, worst <= allowed, qt.IsTrue, qt.Commentf("%v taken in a span, %v allowed", worst, allowed))
	qt.Assert(t, worst >= 0.8*perSecond*window.Seconds(), qt.IsTrue, qt.Commentf("only %v taken in a span", worst))
}

func TestCustomerWithinItsLimitIsNotRefused(t *testing.T) {
	const perSecond = 100_000
	f := newFleet(6, Tolerance{Part: 0.1, Units: 140_000}, limited(perSecond, perSecond))
	weights := []float64{0.3, 0.2, 0.2, 0.1, 0.1, 0.1}
	owed := make([]float64, len(weights))
	refused, asked := 0, 0
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
				asked++
				if l.Limited("a", 4000) && l.Take("a", 4000) > 0 {
					refused++
				}
			}
		}
	}
	qt.Assert(t, refused*100 <= asked, qt.IsTrue, qt.Commentf("%d of %d refused", refused, asked))
}

func TestWithoutPeersAnEntryHandsOutItsEqualPart(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLimiter(Tolerance{})
	l.now = func() time.Time { return now }
	l.SetPeers(5, nil)
	l.SetConfiguration(limited(1000, 1000))
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
	r.SetMembers(5)
	spent := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.Deposit("s")
		if r.TryWithdraw("s") {
			spent++
		}
	}
	qt.Assert(t, float64(spent) <= 0.2*1000+50.0/5, qt.IsTrue, qt.Commentf("%d second tries", spent))
	qt.Assert(t, spent >= 100, qt.IsTrue, qt.Commentf("%d second tries", spent))
}
