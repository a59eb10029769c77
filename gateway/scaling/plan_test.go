package scaling

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
)

var domains = []string{"a", "b", "c"}

func bounds() config.Scaling {
	return config.Scaling{
		Min: 1, Max: 8, Boot: 4 * time.Second, SpotPrice: 0.2,
		DomainPrices: map[string]float64{"a": 0.8, "b": 1, "c": 1.2},
	}
}

// market simulates a cloud: replicas that start after a boot time, and
// reclaims.
type market struct {
	now      time.Time
	boot     time.Duration
	have     map[pool]int
	starting []arrival
	// scarceUntil is the time until which no reclaimable replica is available.
	scarceUntil time.Time
	// draining holds, by domain, how many reclaimable replicas are being
	// reclaimed, and until when.
	draining map[string]arrival
	planner  *Planner
	bounds   config.Scaling
}

// arrival is a change of n replicas of a pool at a time.
type arrival struct {
	pool pool
	n    int
	when time.Time
}

func newMarket(onDemand int) *market {
	m := &market{
		now: time.Unix(1000, 0), boot: 4 * time.Second, have: make(map[pool]int),
		draining: make(map[string]arrival), planner: NewPlanner(), bounds: bounds(),
	}
	for _, d := range domains {
		m.have[pool{d, false}] = onDemand
	}
	return m
}

func (m *market) reclaim(domain string, scarcity time.Duration) {
	key := pool{domain, true}
	m.draining[domain] = arrival{n: m.have[key], when: m.now.Add(2 * time.Second)}
	m.have[key] = 0
	m.scarceUntil = m.now.Add(scarcity)
}

// step computes and carries out one plan for the load. It returns the number of
// replicas that served before the plan.
func (m *market) step(busy float64) int {
	m.now = m.now.Add(planPeriod)
	var pending []arrival
	for _, a := range m.starting {
		if m.now.Before(a.when) {
			pending = append(pending, a)
			continue
		}
		m.have[a.pool] += a.n
	}
	m.starting = pending
	supply := make(map[string]Supply)
	serving := 0
	for _, d := range domains {
		s := Supply{OnDemand: m.have[pool{d, false}], Reclaimable: m.have[pool{d, true}]}
		if l := m.draining[d]; m.now.Before(l.when) {
			s.Draining = l.n
		}
		supply[d] = s
		serving += s.OnDemand + s.Reclaimable
	}
	for _, o := range m.planner.Plan(Input{Now: m.now, Busy: busy, Supply: supply, Bounds: m.bounds}) {
		m.carryOut(o)
	}
	return serving
}

func (m *market) carryOut(o Order) {
	key := pool{o.Domain, o.Reclaimable}
	expected := m.have[key]
	for _, a := range m.starting {
		if a.pool == key {
			expected += a.n
		}
	}
	switch {
	case o.Count < expected:
		m.have[key] = min(m.have[key], o.Count)
	case o.Count > expected && o.Reclaimable && m.now.Before(m.scarceUntil):
		m.planner.OrderRefused(o, m.have[key], m.now)
	case o.Count > expected:
		m.starting = append(m.starting, arrival{key, o.Count - expected, m.now.Add(m.boot)})
	}
}

func (m *market) run(d time.Duration, busy float64) (least int) {
	least = 1 << 30
	for end := m.now.Add(d); m.now.Before(end); {
		least = min(least, m.step(busy))
	}
	return least
}

// A large deployment starts with twice the replicas that it needs. The surplus
// must be released within seconds, but no replicas that the load needs.
func TestLargeSurplusIsReleasedSoon(t *testing.T) {
	m := newMarket(30)
	m.bounds.Max = 46
	m.run(14*time.Second, 0)
	before := m.price()
	need := int(replicasNeeded(38))
	least := m.run(8*time.Second, 38)
	qt.Assert(t, least >= need, qt.IsTrue, qt.Commentf("%d served, %d needed", least, need))
	least = m.run(8*time.Second, 38)
	qt.Assert(t, least >= need, qt.IsTrue, qt.Commentf("%d served, %d needed", least, need))
	t.Logf("price %v at first, %v after", before, m.price())
	qt.Assert(t, m.price() <= before*0.55, qt.IsTrue, qt.Commentf("price %v at first, %v after", before, m.price()))
}

func (m *market) price() float64 {
	sum := 0.0
	for key, n := range m.have {
		price := m.bounds.DomainPrices[key.domain]
		if key.reclaimable {
			price *= m.bounds.SpotPrice
		}
		sum += price * float64(n)
	}
	return sum
}

func TestCountsAreNotLoweredDuringWarmUp(t *testing.T) {
	m := newMarket(4)
	qt.Assert(t, m.run(10*time.Second, 0) >= 12, qt.IsTrue)
	qt.Assert(t, m.run(4*time.Second, 0.5) >= 12, qt.IsTrue)
}

func TestCountsFallToSteadyLoad(t *testing.T) {
	m := newMarket(4)
	m.run(10*time.Second, 0)
	before := m.price()
	m.run(40*time.Second, 3)
	serving := m.step(3)
	qt.Assert(t, serving >= 4, qt.IsTrue, qt.Commentf("%d serve", serving))
	qt.Assert(t, m.price() < before/2, qt.IsTrue, qt.Commentf("price %v, before %v", m.price(), before))
}

// The domains' reclaimable replicas are reclaimed one domain after the other
// under a steady load, and no new ones are available for a time. At least as
// many replicas must serve as there are busy engines.
func TestReclaimsOfDomainsLeaveEnough(t *testing.T) {
	m := newMarket(4)
	m.run(10*time.Second, 0)
	const busy = 4.0
	m.run(30*time.Second, busy)
	for _, d := range domains {
		m.reclaim(d, 13*time.Second)
		least := m.run(6*time.Second, busy)
		qt.Assert(t, float64(least) >= busy, qt.IsTrue, qt.Commentf("%d serve after the reclaim of %s", least, d))
	}
	m.run(5*time.Second, busy)
	serving := m.step(busy)
	qt.Assert(t, float64(serving) >= replicasNeeded(busy), qt.IsTrue, qt.Commentf("%d serve", serving))
}

// All reclaimable replicas are reclaimed after a peak, and no new ones are
// available for a long time. The orders of the peak must not be counted as
// replicas that exist.
func TestReclaimedReplicasAreOrderedAgain(t *testing.T) {
	m := newMarket(4)
	m.run(10*time.Second, 0)
	m.run(20*time.Second, 7)
	for _, d := range domains {
		m.reclaim(d, 40*time.Second)
	}
	m.run(20*time.Second, 5)
	serving := m.step(5)
	qt.Assert(t, float64(serving) >= replicasNeeded(5), qt.IsTrue, qt.Commentf("%d serve while none can be had", serving))
	m.run(60*time.Second, 5)
	restored := 0
	for _, d := range domains {
		restored += m.have[pool{d, true}]
	}
	qt.Assert(t, restored >= 3, qt.IsTrue, qt.Commentf("%d reclaimable ones are back", restored))
}

// The reclaimable replicas of a domain begin to drain. On-demand replicas must
// be ordered at once, not only when the reclaimable ones are overdue.
func TestReclaimIsReplacedAtOnce(t *testing.T) {
	m := newMarket(4)
	m.run(10*time.Second, 0)
	m.run(60*time.Second, 6)
	before := 0
	for _, d := range domains {
		before += m.have[pool{d, false}]
	}
	m.reclaim("b", 30*time.Second)
	m.run(m.boot+3*planPeriod, 6)
	after := 0
	for _, d := range domains {
		after += m.have[pool{d, false}]
	}
	serving := m.step(6)
	qt.Assert(t, float64(serving) >= replicasNeeded(6), qt.IsTrue, qt.Commentf("%d serve, on demand %d before and %d after", serving, before, after))
}

func TestBurstIsFollowedAtOnce(t *testing.T) {
	m := newMarket(2)
	m.run(10*time.Second, 0)
	m.run(20*time.Second, 2)
	m.run(m.boot+2*planPeriod, 6)
	serving := m.step(6)
	qt.Assert(t, float64(serving) >= replicasNeeded(6), qt.IsTrue, qt.Commentf("%d serve", serving))
}

// A burst of half as much again arrives at a small load. The serving replicas
// must carry it until the replicas ordered for it have started.
func TestSmallLoadHasBurstHeadroom(t *testing.T) {
	m := newMarket(4)
	m.run(10*time.Second, 0)
	m.run(60*time.Second, 2.5)
	least := m.run(m.boot, 2.5*1.6)
	qt.Assert(t, float64(least) >= 2.5*1.6, qt.IsTrue, qt.Commentf("%d serve", least))
}

func TestDomainBoundsAreRespected(t *testing.T) {
	m := newMarket(2)
	m.bounds.Max = 3
	m.run(10*time.Second, 0)
	m.run(30*time.Second, 50)
	for _, d := range domains {
		total := m.have[pool{d, false}] + m.have[pool{d, true}]
		qt.Assert(t, total <= 3, qt.IsTrue, qt.Commentf("%d in %s", total, d))
	}
	m.run(200*time.Second, 0.01)
	for _, d := range domains {
		total := m.have[pool{d, false}] + m.have[pool{d, true}]
		qt.Assert(t, total >= 1, qt.IsTrue, qt.Commentf("%d in %s", total, d))
	}
}

func TestDomainThatLosesItsReplicasGetsFewer(t *testing.T) {
	m := newMarket(2)
	m.run(10*time.Second, 0)
	for range 3 {
		m.run(15*time.Second, 3)
		m.reclaim("a", time.Second)
	}
	m.run(15*time.Second, 3)
	a, b := m.have[pool{"a", true}], m.have[pool{"b", true}]
	qt.Assert(t, a <= b, qt.IsTrue, qt.Commentf("a has %d, b %d", a, b))
}

// The reclaimable replicas of all domains are reclaimed one domain after the
// other under a steady load, and no new ones are available. Throughout, at most
// one replica less than needed may serve.
func TestSuccessiveReclaimsOfAllDomains(t *testing.T) {
	const busy = 9
	m := newMarket(4)
	m.run(60*time.Second, busy)
	before := m.price()
	m.reclaim("a", 15*time.Second)
	first := m.run(4500*time.Millisecond, busy)
	m.reclaim("b", 15*time.Second)
	second := m.run(4500*time.Millisecond, busy)
	m.reclaim("c", 15*time.Second)
	third := m.run(10*time.Second, busy)
	need := int(replicasNeeded(busy))
	t.Logf("%d needed; %d, %d and %d served; price %.1f before", need, first, second, third, before)
	qt.Assert(t, first >= need-1, qt.IsTrue)
	qt.Assert(t, second >= need-1, qt.IsTrue)
	qt.Assert(t, third >= need-1, qt.IsTrue)
}

// A domain's reclaimable replicas are reclaimed seconds after one of them was
// released. The planner must not count all of the draining replicas as
// released.
func TestReclaimIsDetectedSoonAfterRelease(t *testing.T) {
	const high, low = 12, 9
	m := newMarket(4)
	m.run(60*time.Second, high)
	key := pool{"a", true}
	before := m.have[key]
	for range 100 {
		if m.step(low); m.have[key] < before {
			break
		}
	}
	qt.Assert(t, m.have[key] < before && m.have[key] > 0, qt.IsTrue)
	m.reclaim("a", 15*time.Second)
	m.run(4500*time.Millisecond, low)
	m.reclaim("b", 15*time.Second)
	least := m.run(10*time.Second, low)
	qt.Assert(t, least >= int(replicasNeeded(low))-1, qt.IsTrue, qt.Commentf("%d served, %d needed", least, int(replicasNeeded(low))))
}

// The load of a large deployment rises by two thirds within 16 s while no
// reclaimable replicas are available. Ordered replicas take 4 s to start. While
// the load keeps rising, utilization must be back at its bound after two boot
// times and the interval over which the growth is measured.
func TestRisingLoadIsFollowed(t *testing.T) {
	m := newMarket(30)
	m.bounds.Max = 46
	wave := func(at time.Duration) float64 {
		return 45 - 11*math.Cos(2*math.Pi*at.Seconds()/32)
	}
	m.run(40*time.Second, wave(0))
	for _, d := range domains {
		m.reclaim(d, time.Minute)
	}
	m.run(24*time.Second, wave(0))
	first, later := math.Inf(1), math.Inf(1)
	for at := time.Duration(0); at < 16*time.Second; at += planPeriod {
		ratio := float64(m.step(wave(at))) / wave(at)
		if at < 2*m.boot+growthWindow {
			first = min(first, ratio)
		} else {
			later = min(later, ratio)
		}
	}
	t.Logf("at least %.2f replicas for each busy one at first, %.2f then", first, later)
	qt.Assert(t, first > 1, qt.IsTrue)
	qt.Assert(t, later >= 1/maxUtilization, qt.IsTrue)
}
