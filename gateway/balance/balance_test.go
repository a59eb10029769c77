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

func replicas(n int) *replica.Set {
	set := replica.NewSet(nolog.Or(nil))
	for i := range n {
		set.Put(replica.Registration{ID: fmt.Sprintf("r%d", i), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: "d", Slots: 64})
	}
	return set
}

func balancer(set *replica.Set, seed uint64) *Balancer {
	return New(set, Options{FailureDomain: "d", Seed: seed, Log: nolog.Or(nil)})
}

// event is something that happens to a request in the played load.
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

// played are entries and how often they tell each other their load.
type played struct {
	entries int
	period  time.Duration
}

var (
	fewPlayed  = played{6, 300 * time.Millisecond}
	manyPlayed = played{74, 2 * time.Second}
)

// play plays a load of urgent short prompts and a few that are very long on
// engines that read one prompt after the other, through several entries that
// tell each other their load once a period. It returns the times to the first
// token of the short ones and of the long ones, sorted.
func play(t *testing.T, split, placed bool, crowd played) (short, long []time.Duration) {
	const engines, tokensPerSecond = 8, 68_000.0
	entries := crowd.entries
	rng := rand.New(rand.NewPCG(1, 2))
	set := replicas(engines)
	var balancers []*Balancer
	for i := range entries {
		balancers = append(balancers, balancer(set, uint64(i)))
	}
	free := make(map[string]time.Duration)
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
		if placed && b.Long(q, c) {
			p, err := balancers[0].Place(q)
			qt.Assert(t, err, qt.IsNil)
			var ok bool
			c, ok = b.Placed(q, p, c)
			qt.Assert(t, ok, qt.IsTrue)
		}
		ticket := b.Begin(q, c)
		at := max(now, free[c.Replica.ID]) + time.Duration(float64(q.PromptTokens)/tokensPerSecond*float64(time.Second))
		free[c.Replica.ID] = at
		first := at + 40*time.Millisecond
		if isLong {
			// What is more than reading it takes.
			long = append(long, first-now-time.Duration(float64(q.PromptTokens)/tokensPerSecond*float64(time.Second)))
		} else {
			short = append(short, first-now)
		}
		heap.Push(&queue, event{first, ticket.Started})
		heap.Push(&queue, event{first + 500*time.Millisecond, func() { ticket.End(Fine) }})
	}
	var shortAt, longAt, shareAt time.Duration
	for now < 60*time.Second {
		heap.Push(&queue, event{shortAt, func() { arrive(false) }})
		shortAt += time.Duration(rng.ExpFloat64() * float64(time.Second) / 60)
		for longAt <= shortAt {
			heap.Push(&queue, event{longAt, func() { arrive(true) }})
			longAt += time.Duration(rng.ExpFloat64() * float64(time.Second) / 4)
		}
		for shareAt <= shortAt {
			heap.Push(&queue, event{shareAt, func() { share(balancers, crowd.period) }})
			shareAt += crowd.period
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

// late returns the part of sorted times beyond 300 ms.
func late(times []time.Duration) float64 {
	i, _ := slices.BinarySearch(times, 300*time.Millisecond)
	return float64(len(times)-i) / float64(len(times))
}

// The load is that of long prompts beside urgent short ones at several entries.
// Placed by one of them, long prompts wait for each other less, and the short
// ones no more.
func TestLongPromptsPlacedByOneEntryWaitLess(t *testing.T) {
	for _, crowd := range []played{fewPlayed, manyPlayed} {
		var shortBefore, longBefore, short, long []time.Duration
		synctest.Test(t, func(t *testing.T) { shortBefore, longBefore = play(t, true, false, crowd) })
		synctest.Test(t, func(t *testing.T) { short, long = play(t, true, true, crowd) })
		t.Logf("%d entries: later than 300 ms: long %.3f, before %.3f; short %.3f, before %.3f",
			crowd.entries, late(long), late(longBefore), late(short), late(shortBefore))
		qt.Check(t, late(long) <= late(longBefore)/2, qt.IsTrue)
		qt.Check(t, late(short) <= late(shortBefore), qt.IsTrue)
	}
}

// share lets entries tell each other their load, which is half a period old on
// average when it is used.
func share(balancers []*Balancer, period time.Duration) {
	told := make([]PeerLoad, len(balancers))
	for i, b := range balancers {
		told[i] = loadOf(b, len(balancers))
		told[i].Age = period / 2
	}
	for i, b := range balancers {
		b.SetPeers(append(slices.Clone(told[:i]), told[i+1:]...))
	}
}

// fewEntries tell their load by replica; each of many only by service.
const fewEntries = 16

func loadOf(b *Balancer, entries int) PeerLoad {
	if entries > fewEntries {
		return PeerLoad{Services: b.OwnByService(), PrefillLoad: b.PrefillLoad()}
	}
	return PeerLoad{Endpoints: b.Own(), PrefillLoad: b.PrefillLoad()}
}

// The load: a long prompt takes an engine for longer than the objective of the
// others, and other entries know of it only later.
func TestLongPromptsDontDelayTheOthers(t *testing.T) {
	var with, without []time.Duration
	synctest.Test(t, func(t *testing.T) { without, _ = play(t, false, false, fewPlayed) })
	synctest.Test(t, func(t *testing.T) { with, _ = play(t, true, false, fewPlayed) })
	t.Logf("short prompts later than 300 ms: %.3f with the split, %.3f without", late(with), late(without))
	qt.Assert(t, late(with) < late(without)/2, qt.IsTrue)
}

func TestSharedPartsKeepToAReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := replicas(6)
		one, two := balancer(set, 1), balancer(set, 2)
		q := Query{Service: "s", Slots: 64, PromptTokens: 9000, Parts: []Part{{ID: 7, Tokens: 500}, {ID: 9, Tokens: 5000}}}
		var chosen []string
		for _, b := range []*Balancer{one, two, one, two} {
			c, err := b.Choose(q)
			qt.Assert(t, err, qt.IsNil)
			ticket := b.Begin(q, c)
			time.Sleep(time.Second)
			ticket.Started()
			ticket.End(Fine)
			chosen = append(chosen, c.Replica.ID)
		}
		qt.Assert(t, slices.Compact(chosen), qt.HasLen, 1)
	})
}

func TestReplicaThatFailsIsLeftOutForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balancer(replicas(6), 1)
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
					ticket.End(Fine)
				}
				n[c.Replica.ID]++
			}
			return n
		}
		got := counts()
		qt.Assert(t, got["r0"] < 30, qt.IsTrue, qt.Commentf("%v", got))
	})
}

func TestReplicasLeftOutAndUsedAgainAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := test.NewNullLogger()
		set := replicas(6)
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
		var told []string
		for _, e := range lines.AllEntries() {
			qt.Assert(t, e.Data["replica"], qt.Equals, "r0")
			told = append(told, e.Message)
		}
		qt.Assert(t, told, qt.DeepEquals, []string{"balance: replica is left out.", "balance: replica is used again."})
	})
}

func TestNoMoreThanAThirdIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := replicas(6)
		b := balancer(set, 1)
		for range 20 {
			for _, r := range set.Current().Ready["s"] {
				b.Begin(Query{Service: "s"}, Choice{Replica: r}).End(Failed)
			}
		}
		out := b.ejectedLocked(set.Current().Ready["s"], time.Now())
		qt.Assert(t, len(out) <= 2, qt.IsTrue, qt.Commentf("%d left out", len(out)))
	})
}

func TestRateIsLearnedFromFirstTokens(t *testing.T) {
	r := &rate{perSecond: firstRate, base: baseDelay.Seconds()}
	rng := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		tokens := 500 + rng.Float64()*20_000
		r.measured(tokens, 0.06+tokens/90_000+0.01*rng.NormFloat64())
	}
	qt.Assert(t, math.Abs(r.perSecond-90_000) < 9_000, qt.IsTrue, qt.Commentf("%v", r.perSecond))
	qt.Assert(t, math.Abs(r.base-0.06) < 0.02, qt.IsTrue, qt.Commentf("%v", r.base))
}

func TestServiceWithoutReplicas(t *testing.T) {
	b := balancer(replicas(0), 1)
	_, err := b.Choose(Query{Service: "s"})
	qt.Assert(t, err, qt.ErrorIs, ErrNone)
}

const (
	serviceReplicas, serviceSlots, servicePerSecond = 3, 6, 300
	serviceWork                                     = 30 * time.Millisecond
	// serviceLooks is how often entries take in what the others told.
	serviceLooks = 250 * time.Millisecond
)

// playService plays short requests of a service with few replicas. choose
// returns the replica of each, and a ticket that may be nil. It returns the
// part of the requests that are answered later than a time.
func playService(rng *rand.Rand, late time.Duration, choose func() (string, *Ticket)) float64 {
	free := make(map[string][]time.Duration)
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
		if free[id] == nil {
			free[id] = make([]time.Duration, serviceSlots)
		}
		slices.Sort(free[id])
		end := max(now, free[id][0]) + time.Duration(float64(serviceWork)*(0.5+rng.Float64()))
		free[id][0] = end
		if total++; end-now > late {
			tooLate++
		}
		if ticket != nil {
			heap.Push(&queue, event{end, func() { ticket.Started(); ticket.End(Fine) }})
		}
	}
	return float64(tooLate) / float64(total)
}

// crowd is many entries that tell each other their load one after the other,
// each once in a period.
type crowd struct {
	balancers  []*Balancer
	period     time.Duration
	began      time.Time
	told       []PeerLoad
	at         []time.Time
	next, look int
}

func newCrowd(entries int, period time.Duration) *crowd {
	c := &crowd{period: period, began: time.Now(), told: make([]PeerLoad, entries), at: make([]time.Time, entries)}
	set := replicas(serviceReplicas)
	for i := range entries {
		c.balancers = append(c.balancers, balancer(set, uint64(i)))
	}
	return c
}

// tell lets entries tell and take in what is due by now.
func (c *crowd) tell() {
	for n := len(c.balancers); time.Since(c.began) > time.Duration(c.next)*c.period/time.Duration(n); c.next++ {
		i := c.next % n
		c.told[i], c.at[i] = loadOf(c.balancers[i], n), time.Now()
	}
	for ; time.Since(c.began) > time.Duration(c.look)*serviceLooks; c.look++ {
		for i := range c.told {
			c.told[i].Age = time.Since(c.at[i]) + serviceLooks/2
		}
		for i, b := range c.balancers {
			b.SetPeers(append(slices.Clone(c.told[:i]), c.told[i+1:]...))
		}
	}
}

// choose lets one of the entries choose.
func (c *crowd) choose(entry int) (string, *Ticket) {
	c.tell()
	q := Query{Service: "s"}
	choice, err := c.balancers[entry].Choose(q)
	if err != nil {
		panic(err)
	}
	return choice.Replica.ID, c.balancers[entry].Begin(q, choice)
}

// The load: entries are so many that each knows next to nothing of a service
// with few replicas, which are half busy.
func TestOldFiguresOfOthersDontGatherRequests(t *testing.T) {
	for _, entries := range []int{8, 74} {
		synctest.Test(t, func(t *testing.T) {
			const late = 50 * time.Millisecond
			c, rng := newCrowd(entries, 2*time.Second), rand.New(rand.NewPCG(5, 6))
			chosen := playService(rng, late, func() (string, *Ticket) { return c.choose(rng.IntN(entries)) })
			random := playService(rng, late, func() (string, *Ticket) {
				return fmt.Sprintf("r%d", rng.IntN(serviceReplicas)), nil
			})
			t.Logf("%d entries: later than 50 ms: %.4f, at random %.4f", entries, chosen, random)
			qt.Assert(t, chosen < random*1.2, qt.IsTrue)
		})
	}
}
