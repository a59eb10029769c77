package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

func newReplicas(n int) *replica.Set {
	set := replica.NewSet(nolog.Or(nil))
	for i := range n {
		set.Put(replica.Registration{ID: fmt.Sprintf("r%d", i), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: "d", Slots: 64})
	}
	return set
}

func newBalancer(set *replica.Set, seed uint64) *Balancer {
	return New(set, Options{FailureDomain: "d", Seed: seed, Log: nolog.Or(nil)})
}

// event is an action of the simulation, and the time at which it happens.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation holds the parameters of a simulated deployment. The period is that
// of state updates.
type simulation struct {
	entries int
	period  time.Duration
}

var (
	fewEntries  = simulation{6, 300 * time.Millisecond}
	manyEntries = simulation{74, 2 * time.Second}
)

// simulate sends short prompts with a latency objective and a few very long
// ones to engines that process one prompt at a time. The requests come through
// several entries that report their load to each other once a period. It
// returns the sorted times to the first token of the short prompts, and those
// of the long prompts less their own prefill time.
func simulate(t *testing.T, split, placed bool, sim simulation) (short, long []time.Duration) {
	const engines, tokensPerSecond = 8, 68_000.0
	entries := sim.entries
	rng := rand.New(rand.NewPCG(1, 2))
	set := newReplicas(engines)
	var balancers []*Balancer
	for i := range entries {
		balancers = append(balancers, newBalancer(set, uint64(i)))
	}
	freeAt := make(map[string]time.Duration)
	var queue events
	var now time.Duration
	began := time.Now()
	arrive := func(isLong bool) {
		q := Query{Service: "s", Slots: 64, PromptTokens: 500 + rng.IntN(3000)}
		if split {
			q.LatencyObjective = 500 * time.Millisecond
		}
		if isLong {
			q.PromptTokens = 20_000 + rng.IntN(30_000)
		}
		b := balancers[rng.IntN(entries)]
		c, err := b.Choose(q)
		qt.Assert(t, err, qt.IsNil)
		if placed && b.NeedsCentralPlacement(q, c) {
			p, err := balancers[0].Place(q)
			qt.Assert(t, err, qt.IsNil)
			var ok bool
			c, ok = b.ChoiceOf(q, p, c)
			qt.Assert(t, ok, qt.IsTrue)
		}
		ticket := b.Begin(q, c)
		at := max(now, freeAt[c.Replica.ID]) + time.Duration(float64(q.PromptTokens)/tokensPerSecond*float64(time.Second))
		freeAt[c.Replica.ID] = at
		first := at + 40*time.Millisecond
		if isLong {
			// Record only the time beyond the prompt's own prefill.
			long = append(long, first-now-time.Duration(float64(q.PromptTokens)/tokensPerSecond*float64(time.Second)))
		} else {
			short = append(short, first-now)
		}
		heap.Push(&queue, event{first, ticket.FirstTokenReceived})
		heap.Push(&queue, event{first + 500*time.Millisecond, func() { ticket.End(Answered) }})
	}
	var shortAt, longAt, updateAt time.Duration
	for now < 60*time.Second {
		heap.Push(&queue, event{shortAt, func() { arrive(false) }})
		shortAt += time.Duration(rng.ExpFloat64() * float64(time.Second) / 60)
		for longAt <= shortAt {
			heap.Push(&queue, event{longAt, func() { arrive(true) }})
			longAt += time.Duration(rng.ExpFloat64() * float64(time.Second) / 4)
		}
		for updateAt <= shortAt {
			heap.Push(&queue, event{updateAt, func() { exchangeLoads(balancers, sim.period) }})
			updateAt += sim.period
		}
		for len(queue) > 0 && queue[0].at <= shortAt {
			e := heap.Pop(&queue).(event)
			now = e.at
			time.Sleep(time.Until(began.Add(now)))
			e.do()
		}
	}
	slices.Sort(short)
	slices.Sort(long)
	return short, long
}

// late returns the fraction of sorted times above 300 ms.
func late(times []time.Duration) float64 {
	i, _ := slices.BinarySearch(times, 300*time.Millisecond)
	return float64(len(times)-i) / float64(len(times))
}

// Entries that choose replicas for long prompts locally often choose the same
// engine, because they have no report of each other's latest requests. Central
// placement must at least halve the number of long prompts that start late, and
// must not raise that of short ones.
func TestCentralPlacementShortensWaitOfLongPrompts(t *testing.T) {
	for _, sim := range []simulation{fewEntries, manyEntries} {
		var shortBefore, longBefore, short, long []time.Duration
		synctest.Test(t, func(t *testing.T) { shortBefore, longBefore = simulate(t, true, false, sim) })
		synctest.Test(t, func(t *testing.T) { short, long = simulate(t, true, true, sim) })
		t.Logf("%d entries: later than 300 ms: long %.3f, before %.3f; short %.3f, before %.3f",
			sim.entries, late(long), late(longBefore), late(short), late(shortBefore))
		qt.Check(t, late(long) <= late(longBefore)/2, qt.IsTrue)
		qt.Check(t, late(short) <= late(shortBefore), qt.IsTrue)
	}
}

// exchangeLoads sets each entry's load at the others. The loads count as half a
// period old, which is their mean age when they are used.
func exchangeLoads(balancers []*Balancer, period time.Duration) {
	reported := make([]PeerLoad, len(balancers))
	for i, b := range balancers {
		reported[i] = loadOf(b, len(balancers))
		reported[i].Age = period / 2
	}
	for i, b := range balancers {
		b.SetPeers(append(slices.Clone(reported[:i]), reported[i+1:]...))
	}
}

// maxDetailedEntries is the number of entries up to which they report their
// load by replica; more report it only by service.
const maxDetailedEntries = 16

func loadOf(b *Balancer, entries int) PeerLoad {
	if entries > maxDetailedEntries {
		return PeerLoad{Services: b.OwnLoadByService(), PrefillLoad: b.PrefillLoad()}
	}
	return PeerLoad{Endpoints: b.OwnLoad(), PrefillLoad: b.PrefillLoad()}
}

// Guards against short prompts that wait behind long ones. A long prompt
// occupies an engine for longer than the latency objective of other requests,
// and the other entries have no report of it until the next state update.
func TestSplitProtectsShortPrompts(t *testing.T) {
	var with, without []time.Duration
	synctest.Test(t, func(t *testing.T) { without, _ = simulate(t, false, false, fewEntries) })
	synctest.Test(t, func(t *testing.T) { with, _ = simulate(t, true, false, fewEntries) })
	t.Logf("short prompts later than 300 ms: %.3f with the split, %.3f without", late(with), late(without))
	qt.Assert(t, late(with) < late(without)/2, qt.IsTrue)
}

func TestSharedPromptPartsStayOnOneReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := newReplicas(6)
		one, two := newBalancer(set, 1), newBalancer(set, 2)
		q := Query{Service: "s", Slots: 64, PromptTokens: 9000, Parts: []Part{{ID: 7, Tokens: 500}, {ID: 9, Tokens: 5000}}}
		var chosen []string
		for _, b := range []*Balancer{one, two, one, two} {
			c, err := b.Choose(q)
			qt.Assert(t, err, qt.IsNil)
			ticket := b.Begin(q, c)
			time.Sleep(time.Second)
			ticket.FirstTokenReceived()
			ticket.End(Answered)
			chosen = append(chosen, c.Replica.ID)
		}
		qt.Assert(t, slices.Compact(chosen), qt.HasLen, 1)
	})
}

func TestFailingReplicaIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancer(newReplicas(6), 1)
		counts := func() map[string]int {
			n := make(map[string]int)
			for range 300 {
				q := Query{Service: "s"}
				c, err := b.Choose(q)
				qt.Assert(t, err, qt.IsNil)
				ticket := b.Begin(q, c)
				time.Sleep(10 * time.Millisecond)
				if c.Replica.ID == "r0" {
					ticket.End(Failed)
				} else {
					ticket.End(Answered)
				}
				n[c.Replica.ID]++
			}
			return n
		}
		got := counts()
		qt.Assert(t, got["r0"] < 30, qt.IsTrue, qt.Commentf("%v", got))
	})
}

func TestEjectionAndReadmissionAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := test.NewNullLogger()
		set := newReplicas(6)
		b := New(set, Options{FailureDomain: "d", Log: log.WithField("entry", "e")})
		choose := func() {
			_, err := b.Choose(Query{Service: "s"})
			qt.Assert(t, err, qt.IsNil)
		}
		r := set.Current().Ready["s"][0]
		for range 4 {
			b.Begin(Query{Service: "s"}, Choice{Replica: r}).End(Failed)
		}
		choose()
		choose()
		time.Sleep(20 * time.Second)
		choose()
		choose()
		var logged []string
		for _, e := range lines.AllEntries() {
			qt.Assert(t, e.Data["replica"], qt.Equals, "r0")
			logged = append(logged, e.Message)
		}
		qt.Assert(t, logged, qt.DeepEquals, []string{"balance: replica ejected.", "balance: replica readmitted."})
	})
}

func TestAtMostAThirdIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := newReplicas(6)
		b := newBalancer(set, 1)
		for range 20 {
			for _, r := range set.Current().Ready["s"] {
				b.Begin(Query{Service: "s"}, Choice{Replica: r}).End(Failed)
			}
		}
		out := b.ejectedLocked(set.Current().Ready["s"], time.Now())
		qt.Assert(t, len(out) <= 2, qt.IsTrue, qt.Commentf("%d left out", len(out)))
	})
}

func TestPrefillRateIsFittedToFirstTokens(t *testing.T) {
	r := &prefillRate{perSecond: defaultPrefillRate, base: defaultBaseLatency.Seconds()}
	rng := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		tokens := 500 + rng.Float64()*20_000
		r.observe(tokens, 0.06+tokens/90_000+0.01*rng.NormFloat64())
	}
	qt.Assert(t, math.Abs(r.perSecond-90_000) < 9_000, qt.IsTrue, qt.Commentf("%v", r.perSecond))
	qt.Assert(t, math.Abs(r.base-0.06) < 0.02, qt.IsTrue, qt.Commentf("%v", r.base))
}

func TestServiceWithoutReplicas(t *testing.T) {
	b := newBalancer(newReplicas(0), 1)
	_, err := b.Choose(Query{Service: "s"})
	qt.Assert(t, err, qt.ErrorIs, ErrNoReplica)
}

const (
	serviceReplicas, serviceSlots, servicePerSecond = 3, 6, 300
	serviceTime                                     = 30 * time.Millisecond
	// serviceUpdatePeriod is the interval at which entries apply the loads that
	// the others reported.
	serviceUpdatePeriod = 250 * time.Millisecond
)

// simulateService sends short requests to a service with few replicas. choose
// returns the replica of each and a ticket, which may be nil. It returns the
// fraction of requests that are answered later than late.
func simulateService(rng *rand.Rand, late time.Duration, choose func() (string, *Ticket)) float64 {
	freeAt := make(map[string][]time.Duration)
	began := time.Now()
	var queue events
	total, tooLate := 0, 0
	for now := time.Duration(0); now < 120*time.Second; now += time.Duration(rng.ExpFloat64() * float64(time.Second) / servicePerSecond) {
		for len(queue) > 0 && queue[0].at <= now {
			e := heap.Pop(&queue).(event)
			time.Sleep(time.Until(began.Add(e.at)))
			e.do()
		}
		time.Sleep(time.Until(began.Add(now)))
		id, ticket := choose()
		if freeAt[id] == nil {
			freeAt[id] = make([]time.Duration, serviceSlots)
		}
		slices.Sort(freeAt[id])
		end := max(now, freeAt[id][0]) + time.Duration(float64(serviceTime)*(0.5+rng.Float64()))
		freeAt[id][0] = end
		if total++; end-now > late {
			tooLate++
		}
		if ticket != nil {
			heap.Push(&queue, event{end, func() { ticket.FirstTokenReceived(); ticket.End(Answered) }})
		}
	}
	return float64(tooLate) / float64(total)
}

// cluster is a set of entries that report their load one after the other, each
// once a period.
type cluster struct {
	balancers              []*Balancer
	period                 time.Duration
	began                  time.Time
	reported               []PeerLoad
	reportedAt             []time.Time
	nextReport, nextUpdate int
}

func newCluster(entries int, period time.Duration) *cluster {
	c := &cluster{period: period, began: time.Now(), reported: make([]PeerLoad, entries), reportedAt: make([]time.Time, entries)}
	set := newReplicas(serviceReplicas)
	for i := range entries {
		c.balancers = append(c.balancers, newBalancer(set, uint64(i)))
	}
	return c
}

// update reports and applies all loads that are due.
func (c *cluster) update() {
	for n := len(c.balancers); time.Since(c.began) > time.Duration(c.nextReport)*c.period/time.Duration(n); c.nextReport++ {
		i := c.nextReport % n
		c.reported[i], c.reportedAt[i] = loadOf(c.balancers[i], n), time.Now()
	}
	for ; time.Since(c.began) > time.Duration(c.nextUpdate)*serviceUpdatePeriod; c.nextUpdate++ {
		for i := range c.reported {
			c.reported[i].Age = time.Since(c.reportedAt[i]) + serviceUpdatePeriod/2
		}
		for i, b := range c.balancers {
			b.SetPeers(append(slices.Clone(c.reported[:i]), c.reported[i+1:]...))
		}
	}
}

// choose sends a request through one of the entries.
func (c *cluster) choose(entry int) (string, *Ticket) {
	c.update()
	q := Query{Service: "s"}
	choice, err := c.balancers[entry].Choose(q)
	if err != nil {
		panic(err)
	}
	return choice.Replica.ID, c.balancers[entry].Begin(q, choice)
}

// With many entries and few replicas, most reports that an entry has of the
// load of the replicas are out of date. If they were used unchanged, all
// entries would send to the replica that was idle at the last report. The
// replicas are half busy.
func TestStalePeerLoadsDontConcentrateRequests(t *testing.T) {
	for _, entries := range []int{8, 74} {
		synctest.Test(t, func(t *testing.T) {
			const late = 50 * time.Millisecond
			c, rng := newCluster(entries, 2*time.Second), rand.New(rand.NewPCG(5, 6))
			chosen := simulateService(rng, late, func() (string, *Ticket) { return c.choose(rng.IntN(entries)) })
			random := simulateService(rng, late, func() (string, *Ticket) {
				return fmt.Sprintf("r%d", rng.IntN(serviceReplicas)), nil
			})
			t.Logf("%d entries: later than 50 ms: %.4f, at random %.4f", entries, chosen, random)
			qt.Assert(t, chosen < random*1.2, qt.IsTrue)
		})
	}
}
