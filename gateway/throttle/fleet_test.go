package throttle_test

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the simulated fleets")
	seeds     = flag.Int("seeds", 1, "number of seeds of the simulated fleets")
	sizes     = flag.String("entries", "9,195", "numbers of entries of the simulated fleets")
)

const (
	// A replica that names a limit may get limitTolerance times what it allows
	// in any limitWindow, and limitSlack requests more, from limitKnown after it
	// first named it.
	limitKnown     = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// minUse is the part of a limit that must be used if there is demand.
	minUse = 0.8
	// maxBytesPerSecond is what an entry may spend on control traffic.
	maxBytesPerSecond = 7000
	// maxRefusalTime is the time within which a request that can't be served is
	// refused.
	maxRefusalTime = 500 * time.Millisecond

	namedAt = 5 * time.Second
	// usualTime and lowTime are how long a play lasts; limits below one a second
	// need longer for as many requests.
	usualTime, lowTime = 25 * time.Second, 65 * time.Second
	// perReplica is the number of requests per second for each replica.
	perReplica = 6.0
)

// play is one load with limits.
type play struct {
	name string
	// limit is the limit of the replicas that have one; all says whether that is
	// each of the service or the first.
	limit float64
	all   bool
	// change replaces the limit as a function of time.
	change func(at time.Duration) float64
	// load multiplies the load, requests that for each replica.
	load, requests float64
	// disturb runs beside the load.
	disturb func(f *fleet)
	// customers holds the customers that requests are drawn from.
	customers []int
	// unused is set if less of the limit may be used, because its owner is lost
	// or nobody may know of the limit for a while.
	unused bool
}

func flapping(low, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if int(at/(2*time.Second))%2 == 0 {
			return low
		}
		return high
	}
}

// ownerOfFirst is the entry that owns the limit of the first replica: it finds
// out which one grants the permits by asking all.
func (f *fleet) ownerOfFirst() int {
	for i, e := range f.entries {
		if f.entries[0].throttle.Owner("r0") == e.id {
			return i
		}
	}
	return 0
}

var plays = []play{
	{name: "one replica", limit: 2.5},
	{name: "one replica, below one a second", limit: 0.4},
	{name: "one replica, many a second", limit: 40, requests: 60},
	{name: "one replica, hundreds a second", limit: 300, requests: 400},
	{name: "all replicas", limit: 2.5, all: true},
	{name: "all replicas, twice the load", limit: 2.5, all: true, load: 2},
	{name: "all replicas, below one a second", limit: 0.4, all: true},
	{name: "all replicas, one customer with most requests", limit: 2.5, all: true, customers: []int{0, 0, 0, 0, 0, 0, 0, 1, 2}},
	{name: "the limit rises and falls", limit: 5, change: flapping(2, 5), unused: true},
	{name: "the limit ends", limit: 2.5, change: func(at time.Duration) float64 {
		if at > 15*time.Second {
			return 0
		}
		return 2.5
	}},
	{name: "the replica restarts under its ID", limit: 2.5, unused: true, disturb: func(f *fleet) {
		time.Sleep(12 * time.Second)
		f.nextIncarnation(0)
	}},
	{name: "an entry is cut off", limit: 2.5, disturb: func(f *fleet) {
		time.Sleep(8 * time.Second)
		f.setOut((f.ownerOfFirst()+1)%len(f.entries), true)
		time.Sleep(6 * time.Second)
		f.setOut((f.ownerOfFirst()+1)%len(f.entries), false)
	}},
	{name: "the owner is lost", limit: 2.5, unused: true, disturb: func(f *fleet) {
		time.Sleep(10 * time.Second)
		owner := f.ownerOfFirst()
		f.setOut(owner, true)
		time.Sleep(8 * time.Second)
		f.setOut(owner, false)
	}},
	{name: "the owner restarts", limit: 2.5, unused: true, disturb: func(f *fleet) {
		time.Sleep(10 * time.Second)
		f.restart(f.ownerOfFirst())
	}},
	{name: "owners restart one after the other", limit: 3, unused: true, disturb: func(f *fleet) {
		for i := range min(9, len(f.entries)) {
			time.Sleep(2 * time.Second)
			f.restart((f.ownerOfFirst() + i) % len(f.entries))
		}
	}},
}

// lasts returns how long the play lasts.
func (p play) lasts() time.Duration {
	if p.limit < 1 {
		return lowTime
	}
	return usualTime
}

// run plays one play.
func (p play) run(entries int, seed uint64, throttled bool) *fleet {
	requests := max(p.requests, perReplica)
	replicas := max(6, int(float64(max(72, 2*entries))/requests))
	f := newFleet(entries, replicas, seed, throttled)
	for i, r := range f.replicas {
		if i > 0 && !p.all {
			break
		}
		r.limit = func(at time.Duration) float64 {
			switch {
			case at < namedAt:
				return 0
			case p.change != nil:
				return p.change(at)
			default:
				return p.limit
			}
		}
	}
	if throttled {
		go f.watch(p.lasts())
	}
	if p.disturb != nil {
		go p.disturb(f)
	}
	customers := p.customers
	if customers == nil {
		customers = []int{0, 1, 2, 3, 4}
	}
	f.load(requests*float64(replicas)*max(1, p.load), p.lasts(), customers)
	time.Sleep(10 * time.Second) // the end of disturbances
	return f
}

// used returns the requests that limited replicas got, as a part of what their
// limits allow.
func (f *fleet) used(p play, to time.Duration) float64 {
	sum, n := 0, 0
	for i, r := range f.replicas {
		if i == 0 || p.all {
			sum += r.between(namedAt+limitKnown, to)
			n++
		}
	}
	return float64(sum) / (p.limit * float64(n) * (to - namedAt - limitKnown).Seconds())
}

// Guards against entries that together send replicas more than the limits that
// they name, or much less, or starve a class or a customer.
func TestFleetKeepsTheLimitsOfReplicas(t *testing.T) {
	for _, p := range plays {
		for _, text := range strings.Split(*sizes, ",") {
			entries, err := strconv.Atoi(text)
			qt.Assert(t, err, qt.IsNil)
			for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
				t.Run(fmt.Sprintf("%s/%d/seed=%d", p.name, entries, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { p.check(t, entries, seed) })
				})
			}
		}
	}
}

func (p play) check(t *testing.T, entries int, seed uint64) {
	before := p.run(entries, seed, false)
	f := p.run(entries, seed, true)
	allowed := int(limitTolerance*p.limit*limitWindow.Seconds()) + limitSlack
	most, mostBefore := 0, 0
	end := p.lasts()
	if p.change != nil && p.change(end) == 0 {
		end = 15 * time.Second
	}
	for i := range f.replicas {
		if i == 0 || p.all {
			most = max(most, f.replicas[i].most(namedAt+limitKnown, end))
			mostBefore = max(mostBefore, before.replicas[i].most(namedAt+limitKnown, end))
		}
	}
	used := f.used(p, end)
	bytes := float64(f.bytes) / float64(entries) / (p.lasts() - namedAt).Seconds()
	t.Logf("most in %v: %d, before %d, allowed %d; used %.2f; answered at the first try %.3f of urgent, %.3f of other requests; refused %.3f and %.3f, at most after %v; known to all after %v; %.0f B/s an entry",
		limitWindow, most, mostBefore, allowed, used, f.part(f.result.firstTry, 0), f.part(f.result.firstTry, 1),
		f.part(f.result.refused, 0), f.part(f.result.refused, 1), f.result.refusedAfter.Round(time.Millisecond), f.result.knownAfter, bytes)
	qt.Check(t, most <= allowed, qt.IsTrue, qt.Commentf("%d requests in %v, allowed %d", most, limitWindow, allowed))
	if !p.unused {
		qt.Check(t, used >= minUse, qt.IsTrue, qt.Commentf("%.2f of the limit used", used))
	}
	qt.Check(t, bytes <= maxBytesPerSecond, qt.IsTrue, qt.Commentf("%.0f B/s", bytes))
	qt.Check(t, f.result.refusedAfter <= maxRefusalTime, qt.IsTrue, qt.Commentf("refused after %v", f.result.refusedAfter))
	if !p.all {
		qt.Check(t, f.result.refused[0]+f.result.refused[1], qt.Equals, 0)
	}
	f.checkShares(t, p)
}

func (f *fleet) part(n [3]int, class int) float64 {
	return float64(n[class]) / float64(max(1, f.result.sent[class]))
}

// checkShares checks that short permits are divided by urgency and customer.
func (f *fleet) checkShares(t *testing.T, p play) {
	if !p.all {
		return
	}
	urgent, normal := f.part(f.result.answered, 0), f.part(f.result.answered, 1)
	lowest, highest := 1.0, 0.0
	for _, c := range f.result.byCustomer {
		lowest, highest = min(lowest, float64(c[1])/float64(c[0])), max(highest, float64(c[1])/float64(c[0]))
	}
	t.Logf("answered: %.3f of urgent, %.3f of other requests; by customer %.3f to %.3f", urgent, normal, lowest, highest)
	qt.Check(t, urgent >= normal, qt.IsTrue, qt.Commentf("urgent %.3f, other %.3f", urgent, normal))
	qt.Check(t, normal >= urgent/4, qt.IsTrue, qt.Commentf("urgent %.3f, other %.3f", urgent, normal))
	qt.Check(t, lowest >= highest/4, qt.IsTrue, qt.Commentf("customers %.3f to %.3f", lowest, highest))
}
