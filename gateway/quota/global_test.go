package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/ownership"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

// cluster is a set of entries that reserve units from each other.
type cluster struct {
	ids     []string
	entries map[string]*GlobalLimiter
	// partitioned entries can't be reached and can't reach others.
	partitioned map[string]bool
	// unresponsive entries are reachable members, but don't answer the calls of
	// the entries in unserved.
	unresponsive, unserved map[string]bool
	// isolated entries have started but have no peers yet.
	isolated map[string]bool
}

// clusterPeers implements Peers for one entry of a cluster.
type clusterPeers struct {
	cluster *cluster
	id      string
}

func (p clusterPeers) Members() []string {
	if p.cluster.isolated[p.id] {
		return []string{p.id}
	}
	var out []string
	for _, id := range p.cluster.ids {
		if !p.cluster.isolated[id] && !p.cluster.partitioned[id] || id == p.id {
			out = append(out, id)
		}
	}
	return out
}

func (p clusterPeers) Reserve(_ context.Context, peer, customer string, units float64, maxDelay time.Duration) (rate.Reservation, error) {
	if p.cluster.partitioned[p.id] || p.cluster.partitioned[peer] || p.cluster.unresponsive[peer] && p.cluster.unserved[p.id] {
		return rate.Reservation{}, errors.New("peer unreachable")
	}
	r, owned := p.cluster.entries[peer].ReserveOwned(customer, units, maxDelay)
	if !owned {
		return rate.Reservation{}, ErrNotOwner
	}
	return r, nil
}

func newCluster(entries int, now func() time.Time, t Tolerance) *cluster {
	cl := &cluster{entries: make(map[string]*GlobalLimiter), partitioned: make(map[string]bool), isolated: make(map[string]bool)}
	for i := range entries {
		cl.ids = append(cl.ids, fmt.Sprintf("e%d", i))
	}
	for _, id := range cl.ids {
		cl.start(id, now, t, limitedConfiguration(100_000, 100_000))
	}
	cl.exchangeMembership()
	return cl
}

// start starts a new process of an entry, which has its configuration but no
// peers.
func (cl *cluster) start(id string, now func() time.Time, t Tolerance, c *config.Configuration) {
	l := NewLimiter(t)
	l.now = now
	cl.entries[id] = NewGlobalLimiter(l, id, clusterPeers{cl, id}, nolog.Or(nil))
	l.SetConfiguration(c)
}

// clearBackoff makes all owners available again to all entries.
func (cl *cluster) clearBackoff(now func() time.Time) {
	for id, e := range cl.entries {
		e.owners = ownership.New(now, clusterPeers{cl, id}.Members, nolog.Or(nil))
	}
}

// exchangeMembership sets the reachable peers of each entry, without demand.
func (cl *cluster) exchangeMembership() {
	for _, id := range cl.ids {
		peers := make(map[string]map[string]float64)
		for _, other := range cl.ids {
			if other != id && !cl.partitioned[id] && !cl.partitioned[other] {
				peers[other] = map[string]float64{}
			}
		}
		cl.entries[id].SetPeers(len(cl.ids), len(peers)+1, peers)
	}
}

// Guards against refusing a customer with few large requests at each entry:
// they are within the limit over all entries but exceed the share of one.
func TestLargeRequestsWithinTheLimitAreNotRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	cl := newCluster(6, func() time.Time { return now }, Tolerance{Fraction: 0.1, Units: 140_000})
	now = now.Add(5 * time.Second)
	refused := 0
	for i := range 100 {
		now = now.Add(500 * time.Millisecond)
		if cl.entries[cl.ids[i%6]].Reserve(context.Background(), "a", Request{Units: 40_000}).Delay > 0 {
			refused++
		}
	}
	qt.Assert(t, refused, qt.Equals, 0)
}

// Guards against local shares that lift the limit during a partition: a
// customer requests several times its limit while a third of the entries is
// partitioned from the others.
func TestLimitHoldsWhileEntriesArePartitioned(t *testing.T) {
	now := time.Unix(1000, 0)
	tolerance := Tolerance{Fraction: 0.1, Units: 140_000}
	cl := newCluster(6, func() time.Time { return now }, tolerance)
	taken := 0.0
	const step, steps, request = 20 * time.Millisecond, 400, 5_000.0
	now = now.Add(5 * time.Second)
	cl.partitioned["e0"], cl.partitioned["e1"] = true, true
	cl.exchangeMembership()
	for i := range steps {
		now = now.Add(step)
		for j := range 6 {
			if cl.entries[cl.ids[(i+j)%6]].Reserve(context.Background(), "a", Request{Units: request}).Delay == 0 {
				taken += request
			}
		}
	}
	span := step * steps
	allowed := (100_000*span.Seconds()+100_000)*(1+tolerance.Fraction) + tolerance.Units
	qt.Assert(t, taken <= allowed, qt.IsTrue, qt.Commentf("%v taken, %v allowed", taken, allowed))
	qt.Assert(t, taken >= 0.7*100_000*span.Seconds(), qt.IsTrue, qt.Commentf("%v taken", taken))
}

// Guards against local shares that add up to another burst: a customer requests
// many times its limit while the owner of the limit becomes unreachable again
// and again.
func TestLimitHoldsWhileOwnerIsIntermittent(t *testing.T) {
	now := time.Unix(1000, 0)
	tolerance := Tolerance{Fraction: 0.1, Units: 140_000}
	cl := newCluster(9, func() time.Time { return now }, tolerance)
	owner := cl.entries["e0"].owners.Owner("a")
	const step, steps, request = 20 * time.Millisecond, 400, 5_000.0
	now = now.Add(20 * time.Second)
	cl.exchangeMembership()
	taken := 0.0
	for i := range steps {
		now = now.Add(step)
		if i%50 == 0 {
			cl.partitioned[owner] = i%100 == 50
			cl.exchangeMembership()
			cl.clearBackoff(func() time.Time { return now })
		}
		for j := range 9 {
			if cl.entries[cl.ids[(i+j)%9]].Reserve(context.Background(), "a", Request{Units: request}).Delay == 0 {
				taken += request
			}
		}
	}
	allowed := (100_000*(step*steps).Seconds()+100_000)*(1+tolerance.Fraction) + tolerance.Units
	qt.Assert(t, taken <= allowed, qt.IsTrue, qt.Commentf("%v taken, %v allowed", taken, allowed))
}

// Guards against a burst that is handed out again by starting entries or by new
// owners: a customer requests several times its limit while entries are
// restarted one after the other.
func TestLimitHoldsDuringRollingRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	tolerance := Tolerance{Fraction: 0.1}
	const perSecond, burst = 30, 30
	c := (&config.Configuration{Customers: []config.Customer{{Name: "a", PerSecond: perSecond, Burst: burst}}}).Compile()
	cl := newCluster(4, clock, tolerance)
	for _, e := range cl.entries {
		e.SetConfiguration(c)
	}
	cl.exchangeMembership()
	now = now.Add(20 * time.Second)
	const step, steps = 20 * time.Millisecond, 400
	taken := 0
	for i := range steps {
		now = now.Add(step)
		id := cl.ids[i/30%4]
		switch i % 30 {
		case 0:
			cl.partitioned[id] = true
		case 10:
			// The new process has its configuration, and no peers.
			delete(cl.partitioned, id)
			cl.isolated[id] = true
			cl.start(id, clock, tolerance, c)
		case 22:
			delete(cl.isolated, id)
		}
		if i%12 == 0 {
			cl.exchangeDemand()
		}
		for j := range 4 {
			id := cl.ids[(i+j)%4]
			if cl.partitioned[id] {
				continue
			}
			if cl.entries[id].Reserve(context.Background(), "a", Request{Units: 1}).Delay == 0 {
				taken++
			}
		}
	}
	allowed := (perSecond*(step*steps).Seconds() + burst) * (1 + tolerance.Fraction)
	qt.Assert(t, float64(taken) <= allowed, qt.IsTrue, qt.Commentf("%v taken, %v allowed", taken, allowed))
	qt.Assert(t, float64(taken) >= 0.8*perSecond*(step*steps).Seconds(), qt.IsTrue, qt.Commentf("%v taken", taken))
}

// Guards against a burst that is handed out again when all entries crash and
// start at once, three times, so that no entry has a record of earlier demand.
// A customer requests several times its limit throughout.
func TestLimitHoldsWhileAllEntriesRestart(t *testing.T) {
	for _, entries := range []int{9, 74} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) { restartAll(t, entries) })
	}
}

func restartAll(t *testing.T, entries int) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	tolerance := Tolerance{Fraction: 0.1, Units: 140_000}
	const perSecond, burst, request = 1_000_000, 1_000_000, 5_000.0
	c := limitedConfiguration(perSecond, burst)
	cl := newCluster(entries, clock, tolerance)
	for _, e := range cl.entries {
		e.SetConfiguration(c)
	}
	cl.exchangeMembership()
	now = now.Add(20 * time.Second)
	const step, steps = 20 * time.Millisecond, 400
	taken := 0.0
	for i := range steps {
		now = now.Add(step)
		switch i {
		case 80, 180, 280:
			for _, id := range cl.ids {
				cl.isolated[id] = true
				cl.start(id, clock, tolerance, c)
			}
		case 92, 192, 292:
			clear(cl.isolated)
		}
		if i%12 == 0 {
			cl.exchangeDemand()
		}
		for j := range 18 {
			if cl.entries[cl.ids[(18*i+j)%entries]].Reserve(context.Background(), "a", Request{Units: request}).OK {
				taken += request
			}
		}
	}
	allowed := (perSecond*(step*steps).Seconds()+burst)*(1+tolerance.Fraction) + tolerance.Units
	t.Logf("%v taken, %v allowed", taken, allowed)
	qt.Assert(t, taken <= allowed, qt.IsTrue, qt.Commentf("%v taken, %v allowed", taken, allowed))
	qt.Assert(t, taken >= 0.8*perSecond*(step*steps).Seconds(), qt.IsTrue, qt.Commentf("%v taken", taken))
}

// Guards against initial shares that add up to more than the limit: a customer
// requests many times its limit from a large deployment whose entries have all
// just started, with their configuration but without peers.
func TestLimitHoldsWhileALargeDeploymentStarts(t *testing.T) {
	now := time.Unix(1000, 0)
	const entries, perSecond, step, steps = 74, 1_000_000, 10 * time.Millisecond, 25
	cl := &cluster{entries: make(map[string]*GlobalLimiter), isolated: make(map[string]bool)}
	for i := range entries {
		id := fmt.Sprintf("e%d", i)
		cl.ids, cl.isolated[id] = append(cl.ids, id), true
		cl.start(id, func() time.Time { return now }, Tolerance{Fraction: 0.1, Units: 140_000}, limitedConfiguration(perSecond, perSecond))
	}
	taken := 0.0
	for range steps {
		now = now.Add(step)
		for _, id := range cl.ids {
			if cl.entries[id].Reserve(context.Background(), "a", Request{Units: 500}).OK {
				taken += 500
			}
		}
	}
	allowed := perSecond * (step * steps).Seconds() * 1.1
	qt.Assert(t, taken <= allowed, qt.IsTrue, qt.Commentf("%v taken, %v allowed", taken, allowed))
}

// exchangeDemand sets the reachable peers of each entry with their current
// demand.
func (cl *cluster) exchangeDemand() {
	demands := make(map[string]map[string]float64)
	for id, e := range cl.entries {
		demands[id] = e.Demand()
	}
	for _, id := range cl.ids {
		peers := make(map[string]map[string]float64)
		for _, other := range cl.ids {
			if other != id && !cl.isolated[id] && !cl.isolated[other] && !cl.partitioned[other] {
				peers[other] = demands[other]
			}
		}
		cl.entries[id].SetPeers(len(cl.ids), len(peers)+1, peers)
	}
}

// Guards against an owner and local shares that exceed the limit together: a
// customer starts to send many times its limit while the owner answers only
// two thirds of the entries, although all of them see it as a reachable member.
func TestLimitHoldsWhileSomeEntriesCannotReachOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	tolerance := Tolerance{Fraction: 0.1, Units: 140_000}
	const perSecond, burst, request = 1_000_000, 1_000_000, 5_000.0
	c := limitedConfiguration(perSecond, burst)
	cl := newCluster(24, func() time.Time { return now }, tolerance)
	cl.unserved = make(map[string]bool)
	for i, id := range cl.ids {
		cl.entries[id].SetConfiguration(c)
		cl.unserved[id] = i%3 == 0
	}
	cl.exchangeMembership()
	const step, steps, calmSteps = 20 * time.Millisecond, 600, 200
	owed := 0.0
	var taken []float64
	for i := range steps {
		now = now.Add(step)
		if i%12 == 0 {
			cl.exchangeDemand()
			cl.unresponsive = map[string]bool{cl.entries["e0"].owners.Owner("a"): i >= calmSteps}
			cl.clearBackoff(func() time.Time { return now })
		}
		load := 0.4
		if i >= calmSteps {
			load = 5
		}
		sum := 0.0
		for owed += load * perSecond * step.Seconds(); owed >= request; owed -= request {
			id := cl.ids[int(owed/request+float64(i))%24]
			if cl.entries[id].Reserve(context.Background(), "a", Request{Units: request}).Delay == 0 {
				sum += request
			}
		}
		taken = append(taken, sum)
	}
	worst := maxWindowSum(taken, int(8*time.Second/step))
	allowed := (perSecond*8.0+burst)*(1+tolerance.Fraction) + tolerance.Units
	qt.Assert(t, worst <= allowed, qt.IsTrue, qt.Commentf("%v taken in a span, %v allowed", worst, allowed))
	qt.Assert(t, worst >= 0.8*perSecond*8, qt.IsTrue, qt.Commentf("only %v taken in a span", worst))
}

// Guards against refusing short bursts of a customer close to its limit: a
// request that can wait for some milliseconds is delayed and served instead.
// The limit applies to the times at which requests begin to run.
func TestBurstsWithinTheLimitAreDelayedNotRefused(t *testing.T) {
	const perSecond, burst = 1_000_000, 300_000
	tolerance := Tolerance{Fraction: 0.1, Units: 140_000}
	simulate := func(within time.Duration) (refused int, worst float64) {
		now := time.Unix(1000, 0)
		cl := newCluster(6, func() time.Time { return now }, tolerance)
		for _, e := range cl.entries {
			e.SetConfiguration(limitedConfiguration(perSecond, burst))
		}
		cl.exchangeMembership()
		now = now.Add(20 * time.Second)
		rng := rand.New(rand.NewPCG(7, 8))
		type run struct {
			at    time.Time
			units float64
		}
		var runs []run
		for i := 0; i < 2400; {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(60*time.Millisecond)))
			for range 1 + rng.IntN(9) {
				units := 3_000 + 16_000*rng.Float64()
				i++
				g := cl.entries[cl.ids[rng.IntN(6)]].Reserve(context.Background(), "a", Request{Units: units, MaxDelay: within})
				if !g.OK {
					refused++
					continue
				}
				runs = append(runs, run{now.Add(g.Delay), units})
			}
		}
		slices.SortFunc(runs, func(x, y run) int { return x.at.Compare(y.at) })
		first, units := 0, 0.0
		for _, x := range runs {
			for units += x.units; x.at.Sub(runs[first].at) > 8*time.Second; first++ {
				units -= runs[first].units
			}
			worst = max(worst, units)
		}
		return refused, worst
	}
	without, _ := simulate(0)
	with, worst := simulate(37 * time.Millisecond)
	t.Logf("%d of 2400 refused, %d where requests may wait", without, with)
	qt.Assert(t, with < without, qt.IsTrue)
	allowed := (perSecond*8.0+burst)*(1+tolerance.Fraction) + tolerance.Units
	qt.Assert(t, worst <= allowed, qt.IsTrue, qt.Commentf("%v in a span, %v allowed", worst, allowed))
}

// Guards against refusing the requests that a customer far below its limit
// sends again at once after an outage of all entries. They amount to a fifth of
// a second of the limit. TestLimitHoldsWhileAllEntriesRestart covers that three
// outages in a row hand out no more than the limit allows.
func TestRequestsAfterAnOutageOfAllEntriesAreNotRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	tolerance := Tolerance{Fraction: 0.1, Units: 140_000}
	const entries, perSecond, request, requests = 6, 1_000_000, 10_000.0, 18
	c := limitedConfiguration(perSecond, perSecond)
	cl := newCluster(entries, clock, tolerance)
	for _, id := range cl.ids {
		cl.isolated[id] = true
		cl.start(id, clock, tolerance, c)
	}
	// Each entry reads the members from the registry before their first reports
	// arrive.
	for _, id := range cl.ids {
		cl.entries[id].SetPeers(entries, 1, nil)
	}
	now = now.Add(20 * time.Millisecond)
	clear(cl.isolated)
	cl.exchangeDemand()
	refused := 0
	for i := range requests {
		now = now.Add(time.Millisecond)
		if !cl.entries[cl.ids[i%entries]].Reserve(context.Background(), "a", Request{Units: request, MaxDelay: 37 * time.Millisecond}).OK {
			refused++
		}
	}
	qt.Assert(t, refused, qt.Equals, 0)
}
